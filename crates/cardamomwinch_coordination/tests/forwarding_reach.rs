//! Hosts that no server answers.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::beliefs::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

/// A host of an evacuated domain: all its flows are elsewhere.
fn host() -> (TestHost, Vec<(u16, BackendId)>) {
    let mut host = TestHost::new((1..=8).map(far_server).collect());
    let flows = (1..=8).map(|port| (port, host.establish(at(u64::from(port)), port)));
    let flows = flows.collect();
    (host, flows)
}

/// Callers ask and ask again, and nobody answers.
fn ask_in_vain(host: &mut TestHost, flows: &[(u16, BackendId)], begin: u64) -> usize {
    let mut resets = 0;
    for delay in [0, 200, 600, 1_000] {
        for (port, server) in flows {
            let ask = data(*port, *server, 500, 1, 80);
            resets += host
                .handle_stale(at(begin + delay + u64::from(*port)), &ask)
                .resets;
        }
    }
    resets
}

fn answer_with(host: &mut TestHost, port: u16, server: BackendId, moment: u64, turn: u32) {
    let answered = data(port, server, 580 + 80 * turn, 3_001 + turn, 0);
    host.handle_stale(at(moment), &answered);
}

fn answer(host: &mut TestHost, port: u16, server: BackendId, moment: u64) {
    host.handle(at(moment), &data(port, server, 580, 3_001, 0));
}

/// The domain of the host is evacuated and then cut off. Its callers still reach it, but
/// none of the servers that it may use does. Hosts elsewhere could serve them, if this one
/// stepped aside. Telling callers that their servers have gone would only cost them their
/// retries, for the cut ends.
#[test]
fn a_host_that_no_server_answers_steps_aside_and_resets_nothing() {
    let (mut host, flows) = host();
    assert!(host.engine.reaches_servers());
    let resets = ask_in_vain(&mut host, &flows, 1_000);
    assert!(!host.engine.reaches_servers());
    assert_eq!((resets, host.ended.len()), (0, 0));
}

/// The cut has healed: the host hears of the store again, and takes its place.
#[test]
fn a_host_that_hears_of_the_store_again_comes_back() {
    let (mut host, flows) = host();
    ask_in_vain(&mut host, &flows, 1_000);
    host.run_until(at(6_000));
    assert!(!host.engine.reaches_servers(), "it has heard nothing");
    host.view.heard_at = at(6_100);
    host.run_until(at(6_200));
    assert!(host.engine.reaches_servers());
    let (port, server) = flows[0];
    answer(&mut host, port, server, 6_300);
    host.run_until(at(6_400));
    assert!(host.engine.reaches_servers());
}

/// The store is down as well, so that nothing is heard. The host must not stay away for
/// ever.
#[test]
fn a_host_that_hears_nothing_tries_again_after_a_while() {
    let (mut host, flows) = host();
    ask_in_vain(&mut host, &flows, 1_000);
    host.run_until(at(11_500));
    assert!(!host.engine.reaches_servers());
    host.run_until(at(12_500));
    assert!(host.engine.reaches_servers());
}

/// The domain of the host is evacuated and cut off, and callers that still have flows on
/// its servers go on there. All others open flows in vain: the host must step aside all
/// the same.
#[test]
fn open_flows_that_go_on_do_not_keep_a_host_that_can_open_none() {
    let servers = (1..=8).map(far_server).chain([near_server(1)]).collect();
    let mut host = TestHost::new(servers);
    let kept = host.establish(at(0), 500);
    assert_eq!(kept, near_server(1).id);
    let begun = EvacuationRecord {
        domain: domain("near"),
        phase: EvacuationPhase::Lasting,
        changed: StoreRevision::new(9),
    };
    host.change(|directory| {
        directory.note_evacuation(begun);
    });
    host.establish(at(900), 501);
    for step in 0..12_u32 {
        let moment = 1_000 + u64::from(step) * 100;
        host.handle_stale(at(moment), &data(500, kept, 500 + 80 * step, 1 + step, 80));
        answer_with(&mut host, 500, kept, moment + 9, step);
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

/// One server answers: the host reaches what there is, and others would reach no more.
#[test]
fn a_host_that_one_server_answers_stays() {
    let (mut host, flows) = host();
    for step in 0..12 {
        let moment = 1_000 + step * 100;
        for (port, server) in &flows[1..] {
            host.handle(at(moment), &data(*port, *server, 500, 1, 80));
        }
        let (port, server) = flows[0];
        let turn = step as u32;
        host.handle(at(moment), &data(port, server, 500 + 80 * turn, 1, 80));
        host.handle(
            at(moment + 9),
            &data(port, server, 580 + 80 * turn, 3_001 + turn, 0),
        );
        assert!(host.engine.reaches_servers());
    }
}

/// A night without requests says nothing about servers.
#[test]
fn a_host_without_traffic_stays() {
    let (mut host, _) = host();
    for second in 1..30 {
        host.run_until(at(second * 1_000));
        assert!(host.engine.reaches_servers());
    }
}
