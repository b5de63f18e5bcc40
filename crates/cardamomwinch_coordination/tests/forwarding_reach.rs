//! Hosts that no server answers.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

/// A host of an evacuated domain. All its flows are on servers of another domain.
fn host() -> (TestHost, Vec<(u16, BackendId)>) {
    let mut host = TestHost::new((1..=8).map(far_server).collect());
    let flows = (1..=8).map(|port| (port, host.establish(at(u64::from(port)), port)));
    let flows = flows.collect();
    (host, flows)
}

/// Callers send requests and repeat them, and no server answers. Returns the number of resets.
fn send_without_answers(host: &mut TestHost, flows: &[(u16, BackendId)], begin: u64) -> usize {
    let mut resets = 0;
    for delay in [0, 200, 600, 1_000] {
        for (port, server) in flows {
            let request = data(*port, *server, 500, 1, 80);
            resets += host
                .handle_stale(at(begin + delay + u64::from(*port)), &request)
                .resets;
        }
    }
    resets
}

fn answer_round(host: &mut TestHost, port: u16, server: BackendId, moment: u64, round: u32) {
    let answered = data(port, server, 580 + 80 * round, 3_001 + round, 0);
    host.handle_stale(at(moment), &answered);
}

fn answer(host: &mut TestHost, port: u16, server: BackendId, moment: u64) {
    host.handle(at(moment), &data(port, server, 580, 3_001, 0));
}

/// The domain of the host is evacuated and then cut off. Callers still reach the host, but the
/// host reaches none of the servers that it may use. Hosts in other domains could serve the
/// callers if this one left the rotation. Resets would only use up the callers' retries, because
/// the domain will be connected again.
#[test]
fn a_host_that_no_server_answers_leaves_the_rotation_and_resets_no_flow() {
    let (mut host, flows) = host();
    assert!(host.engine.reaches_servers());
    let resets = send_without_answers(&mut host, &flows, 1_000);
    assert!(!host.engine.reaches_servers());
    assert_eq!((resets, host.ended.len()), (0, 0));
}

/// The domain is connected again: the view of the host is updated, and it returns to the
/// rotation.
#[test]
fn a_host_whose_view_is_updated_again_returns_to_the_rotation() {
    let (mut host, flows) = host();
    send_without_answers(&mut host, &flows, 1_000);
    host.run_until(at(6_000));
    assert!(!host.engine.reaches_servers(), "no update of its view yet");
    host.view.as_of = at(6_100);
    host.run_until(at(6_200));
    assert!(host.engine.reaches_servers());
    let (port, server) = flows[0];
    answer(&mut host, port, server, 6_300);
    host.run_until(at(6_400));
    assert!(host.engine.reaches_servers());
}

/// The store is down as well, so the view is not updated. The host must not stay out of the
/// rotation forever.
#[test]
fn a_host_without_updates_of_its_view_tries_again_after_ten_seconds() {
    let (mut host, flows) = host();
    send_without_answers(&mut host, &flows, 1_000);
    host.run_until(at(11_500));
    assert!(!host.engine.reaches_servers());
    host.run_until(at(12_500));
    assert!(host.engine.reaches_servers());
}

/// The domain of the host is evacuated and cut off. Callers that still have flows on its servers
/// make progress, but no server answers new flows: the host must leave the rotation nevertheless.
#[test]
fn a_host_that_can_open_no_flow_leaves_the_rotation_despite_open_flows() {
    let servers = (1..=8).map(far_server).chain([near_server(1)]).collect();
    let mut host = TestHost::new(servers);
    let kept = host.establish(at(0), 500);
    assert_eq!(kept, near_server(1).id);
    let begun = EvacuationRecord {
        domain: domain("near"),
        phase: EvacuationPhase::Active,
        changed: StoreRevision::new(9),
    };
    host.change(|directory| {
        directory.note_evacuation(begun);
    });
    host.establish(at(900), 501);
    for step in 0..12_u32 {
        let moment = 1_000 + u64::from(step) * 100;
        host.handle_stale(at(moment), &data(500, kept, 500 + 80 * step, 1 + step, 80));
        answer_round(&mut host, 500, kept, moment + 9, step);
        for copy in [0, 1, 2] {
            let sent_at = [0, 200, 600][copy as usize];
            if step * 100 == sent_at {
                host.handle_stale(at(moment + 20), &opening(601, copy));
                host.handle_stale(at(moment + 30), &opening(602, copy));
            }
        }
    }
    assert!(!host.engine.reaches_servers());
}

/// One server answers, so the silence of the others may be their own fault, and other hosts would
/// reach no more servers.
#[test]
fn a_host_that_one_server_answers_stays_in_the_rotation() {
    let (mut host, flows) = host();
    for step in 0..12 {
        let moment = 1_000 + step * 100;
        for (port, server) in &flows[1..] {
            host.handle(at(moment), &data(*port, *server, 500, 1, 80));
        }
        let (port, server) = flows[0];
        let round = step as u32;
        host.handle(at(moment), &data(port, server, 500 + 80 * round, 1, 80));
        host.handle(
            at(moment + 9),
            &data(port, server, 580 + 80 * round, 3_001 + round, 0),
        );
        assert!(host.engine.reaches_servers());
    }
}

/// A time without any requests is no evidence against servers.
#[test]
fn a_host_without_traffic_stays_in_the_rotation() {
    let (mut host, _) = host();
    for second in 1..30 {
        host.run_until(at(second * 1_000));
        assert!(host.engine.reaches_servers());
    }
}
