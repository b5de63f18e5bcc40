//! Bulk exchange between hosts on loopback.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use async_io::block_on;
use cardamomwinch_protocol::prelude::{AuthenticationKeys, SecretKey};
use cardamomwinch_transport::peer_frame::{FRAME_LIMIT, FrameError};
use cardamomwinch_transport::prelude::*;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use yare::parameterized;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);

static METRICS: sync::OnceLock<MetricsSink> = sync::OnceLock::new();

fn keys(signing: u8, accepted: Option<u8>) -> AuthenticationKeys {
    let key = |byte| SecretKey::new([byte; 32]);
    AuthenticationKeys::new(key(signing), accepted.map(key))
}

fn limits() -> PeerLimits {
    PeerLimits {
        connections: 8,
        handshake_timeout: TIMEOUT,
        frame_timeout: TIMEOUT,
    }
}

type RunCounter = sync::Arc<atomic::AtomicU64>;

/// Starts a server of the methods `echo` and `run`, which counts how often it ran.
fn start(keys: AuthenticationKeys, limits: PeerLimits) -> (net::SocketAddr, RunCounter) {
    METRICS.get_or_init(|| MetricsSink::install().unwrap());
    let counter = RunCounter::default();
    let runs = sync::Arc::clone(&counter);
    let (sender, receiver) = mpsc::channel();
    ExecutorThread::start("peer", async move |_| {
        let mut module = RpcModule::new(());
        let echo = module.register_method("echo", |params, (), _| {
            let (text,): (String,) = params.parse()?;
            Ok::<_, ErrorObjectOwned>(text)
        });
        echo.unwrap();
        let run = module.register_method("run", move |_, (), _| {
            runs.fetch_add(1, atomic::Ordering::SeqCst) + 1
        });
        run.unwrap();
        let any = "127.0.0.1:0".parse().unwrap();
        let server = PeerServer::bind(any, module, keys, limits).await.unwrap();
        sender.send(server.local_address().unwrap()).unwrap();
        server.serve().await;
    })
    .unwrap();
    (receiver.recv().unwrap(), counter)
}

fn run(address: net::SocketAddr, keys: AuthenticationKeys) -> Result<u64, PeerRpcError> {
    let empty: [u8; 0] = [];
    block_on(PeerClient::new(keys).call(address, "run", &empty, TIMEOUT))
}

fn connect(address: net::SocketAddr) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Reads until the peer closes the connection; fails if it does not.
fn read_until_closed(mut stream: &net::TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    bytes
}

type RelayHandle = thread::JoinHandle<(Vec<u8>, Vec<u8>)>;

/// Relays one connection to `server` and applies `alter` to each byte that the client
/// sends, with its position. The handle returns the bytes that each side sent.
fn relay(server: net::SocketAddr, alter: fn(usize, u8) -> u8) -> (net::SocketAddr, RelayHandle) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        let (client, _) = listener.accept().unwrap();
        let upstream = connect(server);
        let (from, to) = (client.try_clone().unwrap(), upstream.try_clone().unwrap());
        let requested = thread::spawn(move || copy(&from, &to, alter));
        let answered = copy(&upstream, &client, |_, byte| byte);
        (requested.join().unwrap(), answered)
    });
    (address, handle)
}

fn copy(mut from: &net::TcpStream, mut to: &net::TcpStream, alter: fn(usize, u8) -> u8) -> Vec<u8> {
    let mut copied = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        for byte in &mut buffer[..length] {
            *byte = alter(copied.len(), *byte);
            copied.push(*byte);
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(net::Shutdown::Both);
    copied
}

#[test]
fn a_call_carries_bulk_both_ways() {
    let (address, _) = start(keys(1, None), limits());
    let client = PeerClient::new(keys(1, None));
    let text = "ä\"\n".repeat(300_000);
    let echoed: String = block_on(client.call(address, "echo", &[&text], TIMEOUT)).unwrap();
    assert_eq!(echoed, text);
}

#[parameterized(
    same_key = { keys(1, None), keys(1, None) },
    peer_has_the_new_key = { keys(1, Some(2)), keys(2, Some(1)) },
    peer_still_has_the_old_key = { keys(2, Some(1)), keys(1, Some(2)) },
)]
fn an_accepted_key_works(server: AuthenticationKeys, client: AuthenticationKeys) {
    let (address, _) = start(server, limits());
    assert_eq!(run(address, client).unwrap(), 1);
}

#[test]
fn a_wrong_key_is_refused_and_counted() {
    let (address, counter) = start(keys(1, Some(2)), limits());
    let error = run(address, keys(3, None)).unwrap_err();
    assert!(matches!(error, PeerRpcError::Exchange { .. }), "{error:?}");
    assert_eq!(counter.load(atomic::Ordering::SeqCst), 0);
    await_count("unauthenticated");
}

#[test]
fn a_truncated_frame_is_counted() {
    let (address, _) = start(keys(1, None), limits());
    let mut stream = connect(address);
    stream.write_all(&[0, 0]).unwrap();
    drop(stream);
    await_count("truncated");
}

fn await_count(reason: &str) {
    let counted = format!("cardamomwinch_peer_rpc_errors_total{{reason=\"{reason}\"}}");
    let metrics = METRICS.get().unwrap();
    let limit = time::Instant::now() + TIMEOUT;
    while !metrics.render().contains(&counted) {
        assert!(time::Instant::now() < limit, "{}", metrics.render());
        thread::sleep(time::Duration::from_millis(5));
    }
}

// An attacker records a call between two hosts and sends the same bytes again later.
// They are signed with the right key. If that were enough, the call would run a
// second time.
#[test]
fn recorded_bytes_are_refused() {
    let (address, counter) = start(keys(1, None), limits());
    let (relayed, recording) = relay(address, |_, byte| byte);
    assert_eq!(run(relayed, keys(1, None)).unwrap(), 1);
    let (requested, answered) = recording.join().unwrap();

    let mut replay = connect(address);
    replay.write_all(&requested).unwrap();
    read_until_closed(&replay);
    assert_eq!(counter.load(atomic::Ordering::SeqCst), 1);

    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let impostor = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(&answered).unwrap();
        read_until_closed(&stream);
    });
    let error = run(impostor, keys(1, None)).unwrap_err();
    let refused = matches!(
        error,
        PeerRpcError::Exchange {
            source: FrameError::Unauthenticated,
            ..
        }
    );
    assert!(refused, "{error:?}");
    server.join().unwrap();
}

// A byte of the request is altered on the way. The length and the hello are intact,
// so only the authentication code of the request can reveal it.
#[test]
fn an_altered_request_is_refused() {
    const HELLO_LENGTH: usize = 4 + 16 + 32;
    let (address, counter) = start(keys(1, None), limits());
    let (relayed, recording) = relay(address, |position, byte| {
        byte ^ u8::from(position == HELLO_LENGTH + 4 + 16 + 5)
    });
    let error = run(relayed, keys(1, None)).unwrap_err();
    assert!(matches!(error, PeerRpcError::Exchange { .. }), "{error:?}");
    assert_eq!(counter.load(atomic::Ordering::SeqCst), 0);
    recording.join().unwrap();
}

#[parameterized(
    too_long = { &[0xff, 0xff, 0xff, 0xff] },
    longer_than_a_hello = { &[0, 0, 1, 0] },
    too_short_for_a_code = { &[0, 0, 0, 3, 1, 2, 3] },
)]
fn a_bad_length_closes_the_connection(bytes: &[u8]) {
    let (address, _) = start(keys(1, None), limits());
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    assert!(read_until_closed(&stream).is_empty());
}

#[test]
fn a_silent_connection_is_closed() {
    let limits = PeerLimits {
        handshake_timeout: time::Duration::from_millis(50),
        ..limits()
    };
    let (address, _) = start(keys(1, None), limits);
    assert!(read_until_closed(&connect(address)).is_empty());
}

#[test]
fn failures_of_a_call_are_typed() {
    let (address, _) = start(keys(1, None), limits());
    let client = PeerClient::new(keys(1, None));
    let call = |method| block_on(client.call::<u64, _>(address, method, &["a"], TIMEOUT));
    let Err(PeerRpcError::Refused { error, .. }) = call("none") else {
        panic!("an unknown method was not refused");
    };
    assert_eq!(error.code(), -32601);
    assert!(matches!(call("echo"), Err(PeerRpcError::Malformed { .. })));

    let long = "a".repeat(FRAME_LIMIT);
    let outcome = block_on(client.call::<String, _>(address, "echo", &[long], TIMEOUT));
    let Err(PeerRpcError::Exchange { source, .. }) = outcome else {
        panic!("an oversized request was sent");
    };
    assert!(matches!(source, FrameError::Length { .. }));

    let silent = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let limit = time::Duration::from_millis(50);
    let silent_address = silent.local_addr().unwrap();
    let outcome = block_on(client.call::<u64, _>(silent_address, "run", &[0], limit));
    assert!(matches!(outcome, Err(PeerRpcError::TimedOut { .. })));
    drop(silent);
    let outcome = block_on(client.call::<u64, _>(silent_address, "run", &[0], TIMEOUT));
    assert!(matches!(outcome, Err(PeerRpcError::Connect { .. })));
}
