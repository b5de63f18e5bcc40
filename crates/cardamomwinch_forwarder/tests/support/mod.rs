//! Support for tests of a forwarding host on loopback: a store that answers from memory, and
//! the process of the host.
#![allow(clippy::unwrap_used, missing_docs, dead_code, unreachable_pub)]

pub mod store;

use std::fs;
use std::io::{Read, Write};
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use cardamomwinch_standin::process::ChildProcess;

pub use store::StandInStore;

/// How long a test waits for something that must happen.
pub const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The addresses of a host, and the other settings that differ between hosts.
#[derive(Debug, Clone)]
pub struct HostSpec {
    pub name: String,
    pub domain: String,
    pub traffic: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub admin: net::SocketAddr,
    pub store: net::SocketAddr,
    pub seeds: Vec<net::SocketAddr>,
    /// Whether it makes all decisions under load.
    pub load: bool,
}

impl HostSpec {
    /// A host at ports that the operating system chooses. A port that a test finds free may
    /// be in use before the host listens there, and the host would end.
    pub fn at_any_ports(name: &str, store: net::SocketAddr, seeds: &[net::SocketAddr]) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.to_owned(),
            domain: "near".to_owned(),
            traffic: any,
            readiness: any,
            peer: any,
            admin: any,
            store,
            seeds: seeds.to_vec(),
            load: false,
        }
    }

    fn text(&self) -> String {
        let Self {
            name,
            domain,
            traffic,
            readiness,
            peer,
            admin,
            store,
            load,
            ..
        } = self;
        let seeds: Vec<_> = self.seeds.iter().map(|one| format!("\"{one}\"")).collect();
        let seeds = seeds.join(",");
        let key = "1".repeat(64);
        format!(
            r#"{{ "host": "{name}", "domain": "{domain}", "traffic_address": "{traffic}",
              "readiness_address": "{readiness}", "peer_address": "{peer}",
              "admin_address": "{admin}", "seeds": [{seeds}],
              "platform": {{"addresses": ["{store}"], "timeout_ms": 500, "watch_ms": 1000}},
              "keys": {{"signing": "{key}"}}, "stop_within_s": 3,
              "load": {{"windows": {load}, "spill": {load}, "priorities": {load},
                "outliers": {load}}} }}"#
        )
    }
}

/// The process of a forwarding host. It is ended when this is dropped.
pub struct HostProcess {
    pub child: ChildProcess,
    pub settings: path::PathBuf,
    pub traffic: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub peer: net::SocketAddr,
    pub admin: net::SocketAddr,
}

impl HostProcess {
    /// Starts a host of the domain `near` at ports that the operating system chooses.
    pub fn start(name: &str, store: net::SocketAddr, seeds: &[net::SocketAddr]) -> Self {
        Self::start_with(&HostSpec::at_any_ports(name, store, seeds))
    }

    pub fn start_with(spec: &HostSpec) -> Self {
        let file = format!("forwarder-{}-{}.jsonc", process::id(), spec.name);
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, spec.text()).unwrap();
        let binary = env!("CARGO_BIN_EXE_cardamomwinch-forwarder");
        let arguments = ["--settings".as_ref(), settings.as_os_str()];
        let child = ChildProcess::start(binary, arguments).unwrap();
        Self {
            traffic: child.address("traffic_address").unwrap(),
            readiness: child.address("readiness_address").unwrap(),
            peer: child.address("peer_address").unwrap(),
            admin: child.address("admin_address").unwrap(),
            child,
            settings,
        }
    }

    /// The status and the text of the answer to `GET path` at `address`; `None` if nobody
    /// answers.
    pub fn get(address: net::SocketAddr, path: &str) -> Option<(u16, String)> {
        let mut stream = net::TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    }

    /// Whether the host at `readiness` reports within `limit` that it is ready.
    pub fn is_ready_within(readiness: net::SocketAddr, limit: time::Duration) -> bool {
        let probe = || -> std::io::Result<bool> {
            let mut stream = net::TcpStream::connect_timeout(&readiness, limit)?;
            stream.set_read_timeout(Some(limit))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
            let mut status = [0; 12];
            stream.read_exact(&mut status)?;
            Ok(status.ends_with(b" 200"))
        };
        probe().unwrap_or(false)
    }

    /// Waits until the host reports the readiness `ready`.
    pub fn wait_until_ready(&self, ready: bool) {
        let expected = if ready { 200 } else { 503 };
        wait_until("readiness", || {
            Self::get(self.readiness, "/readyz").is_some_and(|(status, _)| status == expected)
        });
    }

    /// Asks the process to stop.
    pub fn terminate(&mut self) {
        self.child.terminate().unwrap();
    }

    /// Makes the process reload its settings.
    pub fn reload(&mut self) {
        self.child.reload().unwrap();
    }

    /// Waits until the process has ended, and returns its exit code.
    pub fn wait_for_end(&mut self) -> Option<i32> {
        self.child.wait(TEST_TIMEOUT).unwrap()?.code()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // Nothing else uses this file, and the next run writes it again.
        fs::remove_file(&self.settings).ok();
    }
}

/// Waits until `holds` returns true; fails with `what` after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting for {what}"
        );
        thread::sleep(time::Duration::from_millis(20));
    }
}
