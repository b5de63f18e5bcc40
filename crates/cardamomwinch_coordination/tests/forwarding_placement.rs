//! The choice of a server for a new flow.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::cold_starts::ColdLimiter;
use cardamomwinch_coordination::forwarding::directory::{
    ServerDirectory, ServerPhase, ServerRecord,
};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::flow_lifetimes::FlowLifetimes;
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, PacketKind};
use cardamomwinch_coordination::forwarding::permission::FlowPermission;
use cardamomwinch_coordination::forwarding::placement::PlacementInput;
use cardamomwinch_coordination::forwarding::progress::ProgressTable;
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

/// Serves one request on each of `ports`, each answered after `response` ms.
fn serve_requests(host: &mut TestHost, begin: u64, ports: std::ops::Range<u16>, response: u64) {
    for (turn, port) in ports.enumerate() {
        let now = begin + 10 * turn as u64;
        let server = host.establish(at(now), port);
        host.handle(at(now + 5), &data(port, server, 500, 1, 80));
        host.handle(at(now + 5 + response), &data(port, server, 580, 2_401, 0));
    }
}

/// Opens a flow on each of `ports`, and returns how many were sent to the other domain.
fn count_far(host: &mut TestHost, begin: u64, ports: std::ops::Range<u16>) -> usize {
    let mut far = 0;
    for (turn, port) in ports.enumerate() {
        let server = host.open(at(begin + turn as u64), port);
        far += usize::from(host.view.directory.get(server).unwrap().domain == domain("far"));
    }
    far
}

#[test]
fn flows_stay_in_the_own_domain_and_are_spread_there() {
    let servers = vec![near_server(1), near_server(2), far_server(1)];
    let mut host = TestHost::new(servers);
    let mut counts = SortedVector::new();
    for port in 0..20 {
        let server = host.establish(at(u64::from(port)), 100 + port);
        *counts.get_or_insert_with(server, || 0) += 1;
    }
    let counts: Vec<i32> = counts.values().copied().collect();
    assert_eq!(counts, [10, 10]);
}

#[test]
fn flows_go_to_another_domain_if_the_own_one_has_no_server() {
    let mut host = TestHost::new(vec![far_server(1)]);
    assert_eq!(host.open(at(0), 1), far_server(1).id);
}

/// Half of a domain's servers fail while its callers stay. The remaining servers answer late
/// and then refuse requests, although the other domain is half idle.
#[test]
fn flows_spill_over_from_an_overloaded_domain() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    serve_requests(&mut host, 0, 1..20, 30);
    assert_eq!(count_far(&mut host, 250, 1_000..1_050), 0, "no overload");
    serve_requests(&mut host, 400, 2_000..2_040, 140);
    let far = count_far(&mut host, 900, 3_000..3_100);
    assert!(
        (20..=80).contains(&far),
        "{far} of 100 flows were sent to the other domain"
    );
}

/// All domains are equally overloaded. Moving flows between them would only add delay.
#[test]
fn an_overloaded_domain_keeps_its_flows_if_others_are_no_better() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    let far = far_server(1).id;
    serve_requests(&mut host, 0, 1..40, 140);
    for port in 5_000..5_040 {
        let now = 400 + u64::from(port - 5_000);
        host.handle(at(now), &data(port, far, 500, 1, 80));
        host.handle(at(now + 200), &data(port, far, 580, 2_401, 0));
    }
    assert_eq!(count_far(&mut host, 650, 3_000..3_050), 0);
}

/// A server that has just started is slow for some seconds. If it received all new flows
/// because it has the fewest, its first callers would wait in a queue.
#[test]
fn a_cold_server_gets_a_smaller_share() {
    let mut cold = near_server(2);
    cold.warm_at = at(10_000);
    let mut host = TestHost::new(vec![near_server(1), cold]);
    let mut warm_flows = 0;
    for port in 0..26 {
        let server = host.establish(at(u64::from(port)), 100 + port);
        warm_flows += usize::from(server == near_server(1).id);
    }
    assert!((15..=17).contains(&warm_flows), "{warm_flows} of 26");
}

#[test]
fn a_draining_server_gets_no_new_flows_and_keeps_its_old_ones() {
    let mut host = TestHost::new(vec![near_server(1), near_server(2)]);
    let leaving = host.establish(at(0), 1);
    host.change(|directory| {
        let mut record = directory.get(leaving).unwrap().clone();
        record.phase = cardamomwinch_coordination::forwarding::directory::ServerPhase::Draining;
        directory.note(record);
    });
    for port in 10..30 {
        assert_ne!(host.open(at(100), port), leaving);
    }
    let sink = host.handle(at(200), &data(1, leaving, 500, 1, 80));
    assert_eq!(sink.sent[0].0, leaving);
}

/// During an outage of the store the entries of all servers expire, although the servers are
/// alive. They may receive new flows for a grace period of two and a half seconds, and none
/// after that.
#[test]
fn vanished_servers_take_new_flows_only_in_the_grace_period() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = near_server(1).id;
    host.change(|directory| directory.note_removed(server, StoreRevision::new(2), at(0)));
    assert_eq!(host.open(at(100), 1), server);
    host.change(|directory| {
        directory.expire(at(3_000), millis(60_000));
    });
    let sink = host.handle(at(3_000), &opening(2, 0));
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoServerHeld]);
}

/// No server can take the flow. Until the caller's last copy a server may be added; after
/// that the caller would only wait until its deadline, so the flow is reset.
#[test]
fn a_flow_without_a_server_is_reset_at_its_last_copy() {
    let mut host = TestHost::new(Vec::new());
    for (copy, moment) in [(0, 0), (1, 200)] {
        let sink = host.handle(at(moment), &opening(1, copy));
        assert_eq!(sink.outcomes, [ForwardingOutcome::NoServerHeld]);
        assert_eq!((sink.held, sink.resets), (1, 0));
    }
    let sink = host.handle(at(600), &opening(1, 2));
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoServerReset]);
}

/// One of four servers becomes five times slower, but its entry does not show it. It has no
/// more flows than the others, and its callers are answered late. It must receive fewer new
/// flows in proportion, but not none.
#[test]
fn a_slow_server_gets_fewer_flows_and_never_none() {
    let servers: Vec<_> = (1..=4).map(near_server).collect();
    let slow = servers[0].id;
    let mut host = TestHost::new(servers);
    let flows: Vec<_> = (1..=8)
        .map(|port| (port, host.establish(at(0), port)))
        .collect();
    for (port, server) in &flows {
        host.handle(at(100), &data(*port, *server, 500, 1, 80));
    }
    for (moment, is_slow) in [(140, false), (300, true)] {
        for (port, server) in flows.iter().filter(|flow| (flow.1 == slow) == is_slow) {
            host.handle(at(moment), &data(*port, *server, 580, 2_401, 0));
        }
    }
    let moments = 310..390;
    let opened = moments.map(|moment| host.establish(at(moment), 1_000 + moment as u16));
    let received = opened.filter(|server| *server == slow).count();
    assert!((1..=8).contains(&received), "{received} of 80");
}

/// Opens a flow from `port`, sends a request, and closes the flow with the answer, all within
/// 50 ms. Returns the server.
fn serve_short_flow(host: &mut TestHost, moment: u64, port: u16) -> BackendId {
    let server = host.establish(at(moment), port);
    host.handle(at(moment + 4), &data(port, server, 500, 1, 80));
    let closing = FlowPacket {
        kind: PacketKind::Closing,
        ..data(port, server, 580, 601, 0)
    };
    host.handle(at(moment + 50), &closing);
    server
}

/// One of six servers is in this domain, but a third of all callers. Sessions stay in the
/// domain, because they would break in another one if a domain were cut off. So the server is
/// always busier than all others, and its callers are answered late. Flows that last for one
/// request may leave the domain.
#[test]
fn short_flows_leave_a_domain_with_few_servers_and_sessions_stay() {
    let mut servers: Vec<_> = (1..=5).map(far_server).collect();
    servers.push(near_server(1));
    let mut host = TestHost::new(servers);
    let near = near_server(1).id;
    for port in 1..=12 {
        assert_eq!(host.establish(at(u64::from(port)), port), near);
    }
    assert_eq!(
        serve_short_flow(&mut host, 100, 100),
        near,
        "no lifetime was measured yet"
    );
    let left = (0..10).filter(|number| {
        let moment = 200 + 60 * u64::from(*number);
        serve_short_flow(&mut host, moment, 200 + number) != near
    });
    assert_eq!(left.count(), 10);
}

/// The same callers, but the same number of servers in each domain. A short flow that left
/// the domain would gain nothing, and would be lost if a domain were cut off.
#[test]
fn short_flows_stay_in_a_domain_that_has_its_share_of_the_servers() {
    let mut servers: Vec<_> = (1..=3).map(far_server).collect();
    servers.extend((1..=3).map(near_server));
    let mut host = TestHost::new(servers);
    for port in 1..=12 {
        host.establish(at(u64::from(port)), port);
    }
    for number in 0..20 {
        let server = serve_short_flow(&mut host, 100 + 60 * u64::from(number), 100 + number);
        assert!((1..=3).any(|near| near_server(near).id == server));
    }
}

/// Whether flows of a route count as short depends on those that callers closed recently.
#[test]
fn flows_count_as_short_after_callers_closed_short_ones() {
    let mut lifetimes = FlowLifetimes::default();
    let service = service_address();
    assert!(!lifetimes.are_short(&service));
    lifetimes.note(service, millis(60));
    assert!(lifetimes.are_short(&service));
    for _ in 0..3 {
        lifetimes.note(service, millis(12_000));
    }
    assert!(
        !lifetimes.are_short(&service),
        "sessions were closed in between"
    );
}

/// Callers that open a flow for each request receive an answer of one packet and close the
/// flow. If only longer answers were measured, the servers of such callers would have no
/// measurements.
#[test]
fn short_answers_are_measured_if_the_caller_closes_the_flow() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = host.establish(at(0), 1);
    host.handle(at(10), &data(1, server, 500, 1, 80));
    let closing = FlowPacket {
        kind: PacketKind::Closing,
        ..data(1, server, 580, 601, 0)
    };
    assert_eq!(host.handle(at(62), &closing).responses, [millis(52)]);
}

#[test]
fn opening_and_response_times_are_measured() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = host.open(at(0), 1);
    let confirmed = host.handle(at(4), &data(1, server, 500, 1, 80));
    assert_eq!(confirmed.openings, [millis(4)]);
    let one_packet = host.handle(at(40), &data(1, server, 580, 601, 80));
    assert_eq!(
        one_packet.responses,
        [],
        "acknowledged only with the next request"
    );
    let answered = host.handle(at(70), &data(1, server, 660, 3_001, 0));
    assert_eq!(answered.responses, [millis(30)]);
}

/// A service with `near` servers in the own domain and the same number in another one.
fn large_service(near: u64) -> ServerDirectory {
    let near_ones = (1..=near).map(near_server);
    let far_ones = (1..=near).map(|number| ServerRecord {
        domain: domain("far"),
        ..near_server(1_000_000 + number)
    });
    directory(near_ones.chain(far_ones).collect())
}

/// Returns the chosen server, and the number of servers that were compared.
fn choose(
    directory: &ServerDirectory,
    progress: &ProgressTable,
    subject: u64,
    avoided: impl Fn(BackendId) -> bool,
) -> (Option<BackendId>, usize) {
    let compared = std::cell::Cell::new(0);
    let view = ForwardingView::default();
    let limiter = ColdLimiter::default();
    let input = PlacementInput {
        spill_to: None,
        spills_by_share: false,
        directory,
        progress,
        reports: &view.reports,
        domain: Some(domain("near")),
        permission: FlowPermission::new(&view, service("desk"), &[], &limiter, at(0)),
        service: service("desk"),
        subject,
        is_short: false,
        latency_goal: millis(150),
        now: at(0),
    };
    let chosen = input.choose(|id| {
        compared.set(compared.get() + 1);
        avoided(id)
    });
    (chosen.map(|server| server.id), compared.get())
}

/// Guards against high processor load if a service has thousands of servers. When each opening
/// compared all of them, a host of the largest planned fleet spent a third of a core on that.
#[test]
fn an_opening_compares_few_servers_of_a_large_service() {
    let directory = large_service(5_000);
    let progress = ProgressTable::default();
    for subject in 0..100 {
        let (chosen, compared) = choose(&directory, &progress, subject * 7_919, |_| false);
        let chosen = directory.get(chosen.unwrap()).unwrap();
        assert_eq!(chosen.domain, domain("near"));
        assert!(compared <= 400, "{compared} servers");
    }
}

/// Openings spread over all servers of a large service, although each compares only a few.
#[test]
fn openings_spread_over_a_large_service() {
    let directory = large_service(1_000);
    let mut progress = ProgressTable::default();
    let mut counts: SortedVector<BackendId, u32> = SortedVector::new();
    for number in 0..10_000 {
        let subject = cardamomwinch_state::flow::mix(number);
        let (chosen, _) = choose(&directory, &progress, subject, |_| false);
        progress.add_flow(chosen.unwrap(), at(0));
        *counts.get_or_insert_with(chosen.unwrap(), || 0) += 1;
    }
    assert_eq!(counts.len(), 1_000);
    let most = counts.values().max().unwrap();
    assert!(*most <= 13, "{most} flows on one server of ten each");
}

/// Almost all servers of a domain drain together. The remaining one, which may not be in the
/// sample of an opening, must be found.
#[test]
fn the_last_servers_of_a_large_service_are_found() {
    let last = near_server(4_321).id;
    let mut directory = large_service(5_000);
    let leaving = (1..=5_000)
        .filter(|number| *number != 4_321)
        .map(|number| ServerRecord {
            phase: ServerPhase::Draining,
            ..near_server(number)
        });
    leaving.for_each(|server| directory.note(server));
    let progress = ProgressTable::default();
    let (chosen, _) = choose(&directory, &progress, 1, |id| id != last);
    assert_eq!(chosen, Some(last));
}
