//! The management endpoint, called over plain sockets.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::time;

use cardamomwinch_transport::prelude::*;
use jsonrpsee::RpcModule;
use yare::parameterized;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(100);

struct FixedMetrics;

impl MetricsSource for FixedMetrics {
    fn render(&self) -> String {
        "flows 7\n".to_owned()
    }
}

#[derive(Clone, Default)]
struct ReadySwitch(sync::Arc<atomic::AtomicBool>);

impl ReadinessSource for ReadySwitch {
    fn is_ready(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

fn generous_limits() -> EndpointLimits {
    EndpointLimits {
        connections: 4,
        body: 1024,
        head_timeout: TIMEOUT,
        body_timeout: TIMEOUT,
        connection_lifetime: TIMEOUT,
    }
}

fn start(limits: EndpointLimits) -> (net::SocketAddr, ReadySwitch) {
    let switch = ReadySwitch::default();
    let readiness = switch.clone();
    let (sender, receiver) = mpsc::channel();
    ExecutorThread::start("endpoint", async move |_| {
        let mut module = RpcModule::new(());
        let sum = module.register_method("sum", |params, (), _| {
            let terms: Vec<u64> = params.parse()?;
            Ok::<u64, jsonrpsee::types::ErrorObjectOwned>(terms.iter().sum())
        });
        sum.unwrap();
        let any = "127.0.0.1:0".parse().unwrap();
        let endpoint = RpcEndpoint::bind(any, module, FixedMetrics, readiness, limits);
        let endpoint = endpoint.await.unwrap();
        sender.send(endpoint.local_address().unwrap()).unwrap();
        endpoint.serve().await;
    })
    .unwrap();
    (receiver.recv().unwrap(), switch)
}

fn connect(address: net::SocketAddr) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn exchange(address: net::SocketAddr, bytes: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[parameterized(
    call = { r#"{"jsonrpc":"2.0","id":4,"method":"sum","params":[1,2,3]}"#, r#""result":6"# },
    keeps_id = { r#"{"jsonrpc":"2.0","id":4,"method":"sum","params":[]}"#, r#""id":4"# },
    unknown_method = { r#"{"jsonrpc":"2.0","id":1,"method":"none"}"#, "-32601" },
    bad_parameters = { r#"{"jsonrpc":"2.0","id":1,"method":"sum","params":["a"]}"#, "-32602" },
    not_json = { "{", "-32700" },
    not_a_request = { r#"{"jsonrpc":"2.0"}"#, "-32600" },
)]
fn a_call_is_answered(body: &str, expected: &str) {
    let (address, _) = start(generous_limits());
    let answer = exchange(address, &request("POST", "/", body));
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains(expected), "{answer}");
}

#[parameterized(
    metrics = { "GET", "/metrics", "200", "flows 7" },
    health = { "GET", "/healthz", "200", "ok" },
    unknown_path = { "GET", "/other", "404", "not_found" },
    wrong_method = { "GET", "/", "405", "allow: POST" },
    write_to_metrics = { "PUT", "/metrics", "405", "method_not_allowed" },
)]
fn a_path_is_answered(method: &str, path: &str, status: &str, expected: &str) {
    let (address, _) = start(generous_limits());
    let answer = exchange(address, &request(method, path, ""));
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains(expected), "{answer}");
}

#[test]
fn readiness_follows_its_source() {
    let (address, switch) = start(generous_limits());
    let ask = || exchange(address, &request("GET", "/readyz", ""));
    assert!(ask().starts_with("HTTP/1.1 503 "));
    switch.0.store(true, atomic::Ordering::Relaxed);
    assert!(ask().starts_with("HTTP/1.1 200 "));
}

#[test]
fn an_oversized_body_is_refused_announced_or_not() {
    let (address, _) = start(generous_limits());
    let announced = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1025\r\n\r\n";
    let mut stream = connect(address);
    stream.write_all(announced.as_bytes()).unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
    let chunk = "a".repeat(1025);
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = connect(address);
    stream
        .write_all(format!("{chunked}401\r\n{chunk}\r\n").as_bytes())
        .unwrap();
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
}

// A client opens as many connections as are allowed and then sends nothing, or half
// a head, or half a body. If these connections were kept, the operator's command and
// the probes of the platform would be refused until the process is restarted.
#[parameterized(
    half_a_head = { EndpointLimits { head_timeout: SHORT_TIMEOUT, ..generous_limits() }, "POST / HT" },
    half_a_body = { EndpointLimits { body_timeout: SHORT_TIMEOUT, ..generous_limits() }, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{" },
    nothing = { EndpointLimits { connection_lifetime: SHORT_TIMEOUT, ..generous_limits() }, "" },
)]
fn slow_clients_do_not_block_the_endpoint(limits: EndpointLimits, bytes: &str) {
    let (address, _) = start(limits);
    let mut slow: Vec<_> = (0..limits.connections).map(|_| connect(address)).collect();
    for stream in &mut slow {
        stream.write_all(bytes.as_bytes()).unwrap();
    }
    for stream in &mut slow {
        let mut rest = Vec::new();
        // A reset counts as closed as well; only a timeout would be a failure.
        if let Err(error) = stream.read_to_end(&mut rest) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
    }
    let answer = exchange(address, &request("GET", "/healthz", ""));
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn connections_beyond_the_bound_are_closed() {
    let (address, _) = start(generous_limits());
    let held: Vec<_> = (0..generous_limits().connections)
        .map(|_| connect(address))
        .collect();
    let mut refused = connect(address);
    let read = refused.read_to_end(&mut Vec::new());
    assert!(matches!(read, Ok(0)), "{read:?}");
    drop(held);
}
