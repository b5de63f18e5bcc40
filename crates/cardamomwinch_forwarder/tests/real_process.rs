//! A real process of a forwarding host between a caller, a backend server and a store on
//! loopback.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;

use cardamomwinch_platform::prelude::*;
use support::*;

const SERVICE: [u8; 4] = [198, 18, 0, 1];
const SERVICE_PORT: u16 = 8443;
const OPENING: u8 = 128;
const DATA: u8 = 8;
const RESET: u8 = 64;

/// A configuration with one route for each port of `ports`.
fn configuration(version: u64, ports: &[u16]) -> String {
    let route = |port: &u16| {
        format!(
            r#"{{"name":"r-{port}","host":"198.18.0.1","prefix":"/{port}/","type":"safe",
               "latency-goal-ms":150,"service":"desk"}}"#
        )
    };
    let routes: Vec<_> = ports.iter().map(route).collect();
    let routes = routes.join(",");
    format!(r#"{{"version":{version},"routes":[{routes}],"limits":{{"idle-timeout-ms":15000}}}}"#)
}

fn server_entry(address: net::SocketAddr, state: &str) -> String {
    format!(
        r#"{{"service":"desk","address":"{address}","zone":"near","version":"v1",
           "concurrency":2,"state":"{state}","cold-left-ms":0,"sequence":1}}"#
    )
}

/// The entry of a server that contains the start time of its process.
fn entry_of_start(address: net::SocketAddr, start: u64) -> String {
    server_entry(address, "ready").replacen('{', &format!(r#"{{"born":{start},"#), 1)
}

fn packet(caller: net::SocketAddr, port: u16, flags: u8, token: u32) -> Vec<u8> {
    let net::IpAddr::V4(address) = caller.ip() else {
        panic!("callers have addresses of four bytes");
    };
    let mut bytes = vec![0; packet::HEAD_LENGTH];
    bytes[6] = flags;
    bytes[8..10].copy_from_slice(&port.to_le_bytes());
    bytes[10..12].copy_from_slice(&caller.port().to_le_bytes());
    bytes[12..16].copy_from_slice(&u32::from(address).to_le_bytes());
    bytes[16..20].copy_from_slice(&u32::from(net::Ipv4Addr::from(SERVICE)).to_le_bytes());
    bytes[28..32].copy_from_slice(&token.to_le_bytes());
    bytes
}

fn socket(address: impl net::ToSocketAddrs) -> net::UdpSocket {
    let socket = net::UdpSocket::bind(address).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket
}

fn receive(socket: &net::UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 2_000];
    let (length, _) = socket.recv_from(&mut buffer).unwrap();
    buffer[..length].to_vec()
}

/// A store with one route and one server, `i-00000001aaaa0001`.
struct Setup {
    store: StandInStore,
    server: net::UdpSocket,
    caller: net::SocketAddr,
}

const TOKEN: u32 = 0xaaaa_0001;
const SERVER_KEY: &str = "servers/i-1aaaa0001";

impl Setup {
    fn new() -> Self {
        let store = StandInStore::start();
        let server = socket("127.0.0.1:0");
        let address = server.local_addr().unwrap();
        store.write("op/config", Some(&configuration(1, &[SERVICE_PORT])));
        store.write(SERVER_KEY, Some(&server_entry(address, "ready")));
        let caller = net::SocketAddr::from(([127, 0, 0, 1], 40_001));
        Self {
            store,
            server,
            caller,
        }
    }

    fn send(&self, host: &HostProcess, port: u16, flags: u8, token: u32) {
        let bytes = packet(self.caller, port, flags, token);
        socket("127.0.0.1:0").send_to(&bytes, host.traffic).unwrap();
    }
}

/// The whole path: an opening gets a server and a token, data is forwarded by the token
/// through another host that never received the opening, and the metrics count the packets.
#[test]
fn flows_pass_through_any_host() {
    let setup = Setup::new();
    let first = HostProcess::start("first", setup.store.address, &[]);
    let second = HostProcess::start("second", setup.store.address, &[first.peer]);
    first.wait_until_ready(true);
    second.wait_until_ready(true);
    setup.send(&first, SERVICE_PORT, OPENING, 0);
    let opening = receive(&setup.server);
    assert_eq!(
        opening[..8],
        [0, 0, 0, 1, 0xaa, 0xaa, 0, 1],
        "the incarnation"
    );
    assert_eq!(opening[36..40], TOKEN.to_le_bytes());
    setup.send(&second, SERVICE_PORT, DATA, TOKEN);
    assert_eq!(receive(&setup.server)[14], DATA);
    let (_, metrics) = HostProcess::get(second.admin, "/metrics").unwrap();
    let counted = r#"cardamomwinch_forwarding_packets_total{outcome="forwarded"} 1"#;
    assert!(metrics.contains(counted), "{metrics}");
    let (_, metrics) = HostProcess::get(first.admin, "/metrics").unwrap();
    let help = "# HELP cardamomwinch_forwarding_packets_total";
    assert!(metrics.contains(help), "{metrics}");
}

/// An operator queries what a host knows and where it would send a flow, with the same
/// command as for other hosts.
#[test]
fn operators_can_query_what_a_host_knows() {
    let setup = Setup::new();
    let host = HostProcess::start("asked", setup.store.address, &[]);
    host.wait_until_ready(true);
    let admin = host.admin.to_string();
    let run = |arguments: &[&str]| {
        let arguments = arguments.iter().copied().chain(["--admin", &admin]);
        let arguments: Vec<String> = arguments.map(str::to_owned).collect();
        let outcome = cardamomwinch_ctl::outcome::run(&arguments);
        assert_eq!(outcome.errors, "");
        outcome.output
    };
    let report = run(&["beliefs"]);
    assert!(report.contains("store") && report.contains("00000001aaaa0001"));
    let flow = "127.0.0.1:40001->198.18.0.1:8443";
    let opening = run(&["explain", flow]);
    assert!(opening.contains("opening_placed"), "{opening}");
    let data = run(&["explain", flow, "--token", "aaaa0001"]);
    assert!(data.contains("forwarded"), "{data}");
    assert!(data.contains("00000001aaaa0001"), "{data}");
}

/// A packet arrives before the host knows any route. If it were dropped, the caller would
/// have to wait for its own timeout; it must be forwarded as soon as the store answers.
#[test]
fn packets_wait_for_the_first_view() {
    let setup = Setup::new();
    let host = HostProcess::start("early", setup.store.address, &[]);
    let bytes = packet(setup.caller, SERVICE_PORT, OPENING, 0);
    let sender = socket("127.0.0.1:0");
    let mut buffer = [0; 2_000];
    let step = std::time::Duration::from_millis(20);
    setup.server.set_read_timeout(Some(step)).unwrap();
    wait_until("the opening", || {
        sender.send_to(&bytes, host.traffic).unwrap();
        setup.server.recv_from(&mut buffer).is_ok()
    });
}

/// An operator drops a route. The callers of its open flows must get a reset at once, at the
/// port where callers listen.
#[test]
fn a_dropped_route_resets_its_flows() {
    let mut setup = Setup::new();
    let host = HostProcess::start("dropping", setup.store.address, &[]);
    host.wait_until_ready(true);
    let listener = socket(("127.0.0.2", host.traffic.port()));
    setup.caller.set_ip(net::Ipv4Addr::new(127, 0, 0, 2).into());
    setup.send(&host, SERVICE_PORT, OPENING, 0);
    receive(&setup.server);
    let other = configuration(2, &[8080]);
    setup.store.write("op/config", Some(&other));
    wait_until("version 2", || {
        let (_, metrics) = HostProcess::get(host.admin, "/metrics").unwrap();
        metrics.contains("cardamomwinch_configuration_version 2")
    });
    setup.send(&host, SERVICE_PORT, DATA, TOKEN);
    let reset = receive(&listener);
    assert_eq!((reset[6], reset.len()), (RESET, packet::HEAD_LENGTH));
}

/// A server restarts under the same identifier before its entry expires. A caller with an
/// idle flow there must get a reset at the port where callers listen, before it sends a
/// request that may run only once on a flow that the server no longer has.
#[test]
fn an_idle_flow_on_a_restarted_server_is_reset() {
    let mut setup = Setup::new();
    let address = setup.server.local_addr().unwrap();
    let first = entry_of_start(address, 1_796_262_744_123);
    setup.store.write(SERVER_KEY, Some(&first));
    let host = HostProcess::start("seeing", setup.store.address, &[]);
    host.wait_until_ready(true);
    let listener = socket(("127.0.0.2", host.traffic.port()));
    setup.caller.set_ip(net::Ipv4Addr::new(127, 0, 0, 2).into());
    setup.send(&host, SERVICE_PORT, OPENING, 0);
    receive(&setup.server);
    setup.send(&host, SERVICE_PORT, DATA, TOKEN);
    receive(&setup.server);
    let again = entry_of_start(address, 1_796_262_750_456);
    setup.store.write(SERVER_KEY, Some(&again));
    let reset = receive(&listener);
    assert_eq!((reset[6], reset.len()), (RESET, packet::HEAD_LENGTH));
}

/// A host starts during an outage of the store and has no data. It must get the data from
/// its peer; otherwise callers in its domain are refused until the store is back.
#[test]
fn a_host_that_starts_without_the_store_gets_its_data_from_its_peer() {
    let setup = Setup::new();
    let old = HostProcess::start("old", setup.store.address, &[]);
    old.wait_until_ready(true);
    setup.store.set_down(true);
    let new = HostProcess::start("new", setup.store.address, &[old.peer]);
    new.wait_until_ready(true);
    setup.send(&new, SERVICE_PORT, OPENING, 0);
    assert_eq!(receive(&setup.server)[36..40], TOKEN.to_le_bytes());
}

/// A host is stopped while the fabric still sends it packets. It must report that it is not
/// ready, forward the packets, and end by itself in time.
#[test]
fn a_stopping_host_forwards_until_no_packets_arrive() {
    let setup = Setup::new();
    let mut host = HostProcess::start("stopping", setup.store.address, &[]);
    host.wait_until_ready(true);
    host.terminate();
    host.wait_until_ready(false);
    setup.send(&host, SERVICE_PORT, DATA, TOKEN);
    assert_eq!(receive(&setup.server)[14], DATA);
    assert_eq!(host.wait_for_end(), Some(0));
}

/// The settings file is replaced by an invalid one. The host must keep serving with the old
/// settings; if it ended, a typing error would cause an outage.
#[test]
fn invalid_settings_are_ignored_on_reload() {
    let setup = Setup::new();
    let mut host = HostProcess::start("reloading", setup.store.address, &[]);
    host.wait_until_ready(true);
    std::fs::write(&host.settings, "{ \"host\": }").unwrap();
    host.reload();
    setup.send(&host, SERVICE_PORT, OPENING, 0);
    receive(&setup.server);
    host.wait_until_ready(true);
}

#[test]
fn invalid_settings_prevent_the_start() {
    let file = std::env::temp_dir().join(format!("wrong-{}.jsonc", std::process::id()));
    std::fs::write(&file, r#"{"host": "a b"}"#).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_cardamomwinch-forwarder"))
        .arg("--settings")
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("host") && text.contains("platform"), "{text}");
}
