//! How the report of a draining server affects the placement of new flows, through a whole
//! host.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

const STEP: time::Duration = time::Duration::from_millis(50);

struct HostBench {
    engine: HostEngine,
    now: Timestamp,
    calls: Vec<PlatformRequest>,
    probes: Vec<(BackendId, net::SocketAddr)>,
    logged: Vec<DecisionRecord>,
    draining: Option<net::SocketAddr>,
    root_revision: u64,
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

impl HostBench {
    /// A host whose configuration is in force.
    fn serving() -> Self {
        let identity = HostIdentity {
            host: HostId::from_name("bud-angyal-1"),
            domain: DomainId::from_name("bud-angyal"),
            incarnation: Incarnation::new(1),
        };
        let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let mut bench = Self {
            engine: HostBuilder::new(identity, keys).build(),
            now: Timestamp::new(1_000_000_000),
            calls: Vec::new(),
            probes: Vec::new(),
            logged: Vec::new(),
            draining: None,
            root_revision: 1,
        };
        bench.control(ControlEvent::Start);
        bench.pass_ms(8000);
        assert_eq!(bench.engine.snapshot().phase, ServingPhase::Serving);
        bench
    }

    fn control(&mut self, event: ControlEvent) {
        let (calls, probes, logged) = (&mut self.calls, &mut self.probes, &mut self.logged);
        let mut sink = |effect: HostEffect<'_>| match effect {
            HostEffect::Control(ControlEffect::Platform(request)) => calls.push(request),
            HostEffect::Control(ControlEffect::ProbeLoad { backend, address }) => {
                probes.push((backend, address));
            }
            HostEffect::Control(ControlEffect::Decide(record)) => logged.push(record),
            _ => {}
        };
        self.engine
            .handle(self.now, HostEvent::Control(event), &mut sink);
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        for request in std::mem::take(&mut self.calls) {
            let (revision, text) = self.document(&request.key);
            if request.after.is_some_and(|after| after >= revision) {
                self.calls.push(request);
                continue;
            }
            let result = Ok(PlatformAnswer::Value { revision, text });
            self.control(ControlEvent::Platform(PlatformOutcome { request, result }));
        }
        for (backend, address) in std::mem::take(&mut self.probes) {
            let result = Ok(LoadReport {
                busy_slots: 0,
                connections: 0,
                healthy: true,
                draining: self.draining == Some(address),
                answers: None,
            });
            self.control(ControlEvent::Load { backend, result });
        }
        self.control(ControlEvent::Tick);
        let tick = HostEvent::Traffic(TrafficEvent::Tick);
        self.engine
            .handle(self.now, tick, &mut |_: HostEffect<'_>| {});
    }

    fn pass_ms(&mut self, millis: u64) {
        let end = self.now.after(time::Duration::from_millis(millis));
        while self.now < end {
            self.step();
        }
    }

    fn document(&self, key: &PlatformKey) -> (u64, String) {
        let text = match key {
            PlatformKey::Root => format!(
                r#"{{"preset": "{}", "teams": {{"search": 1}}}}"#,
                if self.root_revision > 1 {
                    "peak"
                } else {
                    "ordinary"
                }
            ),
            PlatformKey::Hosts => r#"{"hosts": {"bud-angyal-1": {"domain": "bud-angyal",
                    "traffic_address": "127.0.0.1:7100", "relay_address": "127.0.0.1:7101",
                    "peer_address": "127.0.0.1:7102"}}}"#
                .to_owned(),
            PlatformKey::Team(_) => r#"{"team": "search", "services": {"benchmark-desk": {
                    "address": "127.0.0.1:7001", "backends": {
                    "bd-1": {"domain": "bud-angyal", "address": "127.0.0.1:9001"},
                    "bd-2": {"domain": "bud-angyal", "address": "127.0.0.1:9002"}}}},
                    "presets": {"peak": {"benchmark-desk": {"bd-1": {"phase": "draining"}}}}}"#
                .to_owned(),
        };
        let revision = match key {
            PlatformKey::Root => self.root_revision,
            _ => 1,
        };
        (revision, text)
    }

    /// Opens flows and returns how many went to the server at `port`.
    fn opened_at(&mut self, port: u16, first: u16) -> usize {
        let mut opened = 0;
        for number in first..first + 50 {
            let flow = FlowKey {
                caller: address(20_000 + number),
                service: address(7001),
            };
            let datagram = FabricDatagram::Caller(CallerDatagram::open(flow, b""));
            let event = HostEvent::Traffic(TrafficEvent::Fabric(datagram));
            self.engine
                .handle(self.now, event, &mut |effect: HostEffect<'_>| {
                    if let HostEffect::Traffic(TrafficEffect::ToBackend { address: to, .. }) =
                        effect
                    {
                        opened += usize::from(to == address(port));
                    }
                });
        }
        opened
    }
}

/// An operator drains a server at the server itself, whose endpoint then reports so. Within
/// three seconds no new flow may go there, and the decision must be logged.
#[test]
fn a_server_that_reports_draining_gets_no_new_flow_after_three_seconds() {
    let mut bench = HostBench::serving();
    assert!(bench.opened_at(9001, 0) > 0);
    bench.draining = Some(address(9001));
    bench.pass_ms(3000);
    assert_eq!(bench.opened_at(9001, 100), 0);
    assert_eq!(bench.opened_at(9002, 200), 50);
    let logged = bench.logged.iter();
    let health = logged.filter(|record| record.reason == DecisionReason::BackendHealth);
    assert_eq!(health.count(), 1);
}

/// A preset under which a server drains comes into force. The server must get no new flow
/// once the host has adopted the preset.
#[test]
fn a_server_that_drains_by_configuration_gets_no_new_flow_after_three_seconds() {
    let mut bench = HostBench::serving();
    assert!(bench.opened_at(9001, 0) > 0);
    bench.root_revision = 2;
    bench.pass_ms(3000);
    assert_eq!(bench.opened_at(9001, 100), 0);
    assert_eq!(bench.opened_at(9002, 200), 50);
}
