//! Drives the decision logic of one host without I/O: answers its calls to the
//! platform, passes it a datagram, and prints the effects that it returns.
#![allow(missing_docs)]

use std::net;

use cardamomwinch::coordination::control::event::PlatformAnswer;
use cardamomwinch::prelude::*;

const SECOND: u64 = 1_000_000;

fn main() {
    let domain = "bud-angyal";
    let identity = HostIdentity {
        host: HostId::from_name("bud-angyal-1"),
        domain: DomainId::from_name(domain),
        incarnation: Incarnation::new(1),
    };
    let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
    let mut engine = HostBuilder::new(identity, keys).build();
    let mut now = Timestamp::new(1);
    let mut calls = Vec::new();
    handle(&mut engine, now, ControlEvent::Start, &mut calls);
    for _ in 0..50 {
        now = Timestamp::new(now.get() + SECOND / 10);
        for request in std::mem::take(&mut calls) {
            if let Some(text) = document(&request.key).filter(|_| request.after.is_none()) {
                let result = Ok(PlatformAnswer::Value { revision: 1, text });
                let outcome = PlatformOutcome { request, result };
                handle(
                    &mut engine,
                    now,
                    ControlEvent::Platform(outcome),
                    &mut calls,
                );
            }
        }
        handle(&mut engine, now, ControlEvent::Tick, &mut calls);
    }
    println!("the host is {:?}", engine.snapshot().phase);
    let flow = FlowKey {
        caller: net::SocketAddr::from(([127, 0, 0, 1], 40_000)),
        service: net::SocketAddr::from(([127, 0, 0, 1], 7001)),
    };
    let datagram = FabricDatagram::Caller(CallerDatagram::open(flow, b"hello"));
    let event = HostEvent::Traffic(TrafficEvent::Fabric(datagram));
    engine.handle(now, event, &mut |effect: HostEffect<'_>| {
        println!("{effect:?}");
    });
}

fn handle(
    engine: &mut HostEngine,
    now: Timestamp,
    event: ControlEvent,
    calls: &mut Vec<PlatformRequest>,
) {
    engine.handle(now, HostEvent::Control(event), &mut |effect: HostEffect<
        '_,
    >| {
        if let HostEffect::Control(ControlEffect::Platform(request)) = effect {
            calls.push(request);
        }
    });
}

fn document(key: &PlatformKey) -> Option<String> {
    let text = match key {
        PlatformKey::Root => r#"{"preset": "ordinary", "teams": {"search": 1}}"#,
        PlatformKey::Hosts => {
            r#"{"hosts": {"bud-angyal-1": {"domain": "bud-angyal",
                "traffic_address": "127.0.0.1:7100", "relay_address": "127.0.0.1:7101",
                "peer_address": "127.0.0.1:7102"}}}"#
        }
        PlatformKey::Team(_) => {
            r#"{"team": "search", "services": {"benchmark-desk": {
                "address": "127.0.0.1:7001", "backends": {
                    "bd-1": {"domain": "bud-angyal", "address": "127.0.0.1:9001"}}}}}"#
        }
    };
    Some(text.to_owned())
}
