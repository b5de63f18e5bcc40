//! Servers that only seem to be silent, because of a fault of the host, its link or one
//! caller.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use forwarding_support::watched_flows::*;
use forwarding_support::*;

/// Guards against the reset of a flow that loses packets, while other flows of its server
/// make progress.
#[test]
fn one_flow_that_repeats_itself_is_not_reset() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = near_server(1).id;
    host.establish(at(0), 1);
    host.establish(at(0), 2);
    for (round, moment) in [1_000, 1_200, 1_600, 2_400].into_iter().enumerate() {
        let sink = host.handle(at(moment), &data(1, server, 500, 1, 80));
        assert_eq!(sink.resets, 0);
        let progress = 1 + 2_000 * (round as u32 + 1);
        host.handle(at(moment + 10), &data(2, server, 600, progress, 0));
    }
}

/// Guards against a host that considers all servers silent after a process pause, because
/// packets were queued during the pause.
#[test]
fn a_host_that_was_paused_suspects_no_server() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = near_server(1).id;
    for port in 1..4 {
        host.establish(at(0), port);
    }
    host.tick(at(500));
    for port in 1..4 {
        host.handle(at(600), &data(port, server, 500, 1, 80));
    }
    host.pause_until(at(4_500));
    assert_eq!(host.tick(at(4_500)).ended, []);
    for port in 1..4 {
        for moment in [4_501, 4_502, 4_503] {
            let sink = host.handle(at(moment), &data(port, server, 500, 1, 80));
            assert_eq!(sink.resets, 0);
        }
    }
}

/// Guards against flows that are ended because entries expired during an outage of the store.
#[test]
fn flows_are_kept_if_entries_expired_in_an_outage_of_the_store() {
    let mut host = host_with_two_servers(8);
    let server = near_server(1).id;
    host.view.store_failed_at = Some(at(900));
    host.change(|directory| directory.note_removed(server, StoreRevision::new(2), at(1_000)));
    host.view.as_of = at(1_000);
    assert_eq!(host.tick(at(1_100)).ended, []);
}

/// Guards against flows that are ended on a server that left after a drain: it still serves
/// them to their end.
#[test]
fn flows_of_a_server_that_left_are_kept() {
    let mut host = host_with_two_servers(8);
    let leaving = ServerRecord {
        phase: ServerPhase::Draining,
        ..near_server(1)
    };
    host.change(|directory| {
        directory.note(leaving.clone());
        directory.note_removed(leaving.id, StoreRevision::new(2), at(1_000));
    });
    host.view.as_of = at(1_000);
    assert_eq!(host.tick(at(1_100)).ended, []);
}

/// Guards against flows that are ended because of an earlier pause of a server that makes
/// progress again.
#[test]
fn flows_of_a_server_that_makes_progress_again_are_kept() {
    let mut host = host_with_two_servers(16);
    let server = near_server(1).id;
    let on_it = ports_on(&host, server);
    for moment in [1_000, 1_200] {
        for port in &on_it[..5] {
            host.handle(at(moment), &data(*port, server, 500, 1, 80));
        }
    }
    show_progress(&mut host, 1_235, near_server(2).id);
    host.handle(at(1_240), &data(on_it[5], server, 500, 9_000, 0));
    assert_eq!(host.tick(at(1_250)).ended, []);
    assert_eq!(host.tick(at(4_000)).ended, []);
}

/// Guards against a host that ends dozens of flows because its own link is full, so that
/// callers repeat themselves on flows of all servers.
#[test]
fn a_host_that_is_slow_itself_ends_no_flows() {
    let mut host = host_with_two_servers(12);
    for moment in [1_000, 1_200, 1_600] {
        for server in [near_server(1).id, near_server(2).id] {
            for port in ports_on(&host, server) {
                let sink = host.handle(at(moment), &data(port, server, 500, 1, 80));
                assert_eq!(sink.resets, 0);
            }
        }
        assert_eq!(host.tick(at(moment + 100)).ended, []);
    }
}

/// Guards against a server that is considered silent because, by chance, the callers of two of
/// its few flows repeat themselves once.
#[test]
fn two_flows_with_one_repetition_each_are_too_little_evidence() {
    let mut host = host_with_two_servers(4);
    let server = near_server(1).id;
    let on_it = ports_on(&host, server);
    for round in 0..4_u32 {
        let start = 1_000 + 2_000 * u64::from(round);
        let (sequence, acknowledged) = (500 + 80 * round, 1 + 2_000 * round);
        for moment in [start, start + 200] {
            show_progress(&mut host, moment - 1, near_server(2).id);
            for port in &on_it {
                let packet = data(*port, server, sequence, acknowledged, 80);
                assert_eq!(host.handle(at(moment), &packet).resets, 0);
            }
        }
        for port in &on_it {
            let answered = data(*port, server, sequence, acknowledged + 900, 0);
            host.handle(at(start + 590), &answered);
        }
        assert_eq!(host.tick(at(start + 1_400)).ended, []);
    }
}

/// Guards against a host that considers servers dead while nothing that it sends is
/// delivered, because it sends a large configuration to other hosts and its link is full.
#[test]
fn losses_while_this_host_delivers_nothing_reset_no_flow() {
    let mut host = host_with_two_servers(8);
    let (server, other) = (near_server(1).id, near_server(2).id);
    let waiting = ports_on(&host, server);
    show_delivery(&mut host, 800, other);
    for port in &waiting {
        host.handle(at(1_000), &data(*port, server, 500, 1, 80));
    }
    for port in &waiting {
        let sink = host.handle(at(1_180), &data(*port, server, 500, 1, 80));
        assert_eq!(sink.resets, 0);
    }
    show_delivery(&mut host, 1_400, other);
    for port in &waiting {
        let sink = host.handle(at(1_600), &data(*port, server, 500, 1, 80));
        assert_eq!(
            sink.resets, 0,
            "two losses, but nothing else was delivered either"
        );
    }
    assert_eq!(host.tick(at(2_100)).ended, []);
}

/// Guards against the same if the full link lets a part of the packets through: servers that
/// answer only repetitions show that the host itself loses packets.
#[test]
fn a_host_whose_servers_answer_repetitions_resets_no_flow() {
    let mut host = TestHost::new((1..=4).map(near_server).collect());
    for port in 1..=8 {
        host.establish(at(0), port);
    }
    let server = near_server(1).id;
    let port = ports_on(&host, server)[0];
    for moment in [1_000, 1_200, 1_600] {
        show_delivery(&mut host, moment - 4, near_server(2).id);
        for late in [3, 4].map(|number| near_server(number).id) {
            let request = 500 + moment as u32 / 400;
            host.handle(
                at(moment),
                &data(ports_on(&host, late)[0], late, request, 1, 80),
            );
        }
        if moment == 1_200 {
            for late in [3, 4].map(|number| near_server(number).id) {
                let answered = data(ports_on(&host, late)[0], late, 583, 2_000, 0);
                host.handle(at(1_300), &answered);
            }
        }
        let sink = host.handle(at(moment + 1), &data(port, server, 500, 1, 80));
        assert_eq!(sink.resets, 0, "at {moment}");
    }
}

/// Guards against a host that resets the only flow of a server although no progress of any
/// other server shows that its own link works.
#[test]
fn the_only_flow_of_a_server_is_kept_if_no_server_makes_progress() {
    let mut host = host_with_two_servers(4);
    let repeating = [near_server(1).id, near_server(2).id].map(|id| (ports_on(&host, id)[0], id));
    for moment in [1_000, 1_200, 1_600, 2_400] {
        for (port, server) in repeating {
            let sink = host.handle(at(moment), &data(port, server, 500, 1, 80));
            assert_eq!(sink.resets, 0);
        }
    }
}

/// Guards against a host that, after a process pause, counts the queued repetitions before its
/// timers run.
#[test]
fn packets_that_were_queued_during_a_pause_reset_no_flow() {
    let mut host = host_with_two_servers(12);
    let server = near_server(1).id;
    let on_it = ports_on(&host, server);
    host.tick(at(500));
    for port in &on_it {
        host.handle(at(600), &data(*port, server, 500, 1, 80));
    }
    host.pause_until(at(4_600));
    show_progress(&mut host, 4_600, near_server(2).id);
    for port in &on_it {
        let sink = host.handle(at(4_601), &data(*port, server, 500, 1, 80));
        assert_eq!(sink.resets, 0);
    }
    assert_eq!(host.tick(at(4_602)).ended, []);
}

/// Guards against a host that, after a process pause of 400 ms, receives requests together with
/// their copies and considers them three flows without an answer.
#[test]
fn a_host_that_was_paused_for_400_ms_resets_no_flow() {
    let mut host = host_with_two_servers(12);
    let server = near_server(1).id;
    let on_it = ports_on(&host, server);
    for moment in [700, 800, 900, 1_000] {
        host.tick(at(moment));
        show_progress(&mut host, moment, server);
        show_progress(&mut host, moment, near_server(2).id);
    }
    host.pause_until(at(1_400));
    for copies in 0..2 {
        for port in &on_it {
            let sink = host.handle(at(1_400), &data(*port, server, 500, 1, 80));
            assert_eq!(sink.resets, 0, "copies: {copies}");
        }
    }
    show_progress(&mut host, 1_450, near_server(2).id);
    for port in &on_it {
        let sink = host.handle(at(1_460), &data(*port, server, 500, 1, 80));
        assert_eq!(sink.resets, 0);
    }
}

/// Guards against six packets of one request that arrive in another order, on a flow that was
/// idle, and count as six flows without an answer.
#[test]
fn packets_in_another_order_are_no_repetition() {
    let mut host = host_with_two_servers(8);
    let server = near_server(1).id;
    let port = ports_on(&host, server)[0];
    show_progress(&mut host, 3_000, near_server(2).id);
    for sequence in [6_500, 1_700, 500, 2_900, 5_300, 4_100] {
        let sink = host.handle(at(3_001), &data(port, server, sequence, 1, 1_200));
        assert_eq!(sink.outcomes, [ForwardingOutcome::Forwarded]);
    }
    assert_eq!(host.tick(at(3_010)).ended, []);
}

/// Guards against one caller that counts as many silent flows because it can no longer reach a
/// server and repeats six packets in each round.
#[test]
fn one_flow_counts_once_however_many_packets_it_repeats() {
    let mut host = host_with_two_servers(8);
    let server = near_server(1).id;
    let port = ports_on(&host, server)[0];
    for moment in [3_000, 3_200] {
        show_progress(&mut host, moment, near_server(2).id);
        for sequence in [500, 1_700, 2_900, 4_100, 5_300, 6_500] {
            let sink = host.handle(at(moment), &data(port, server, sequence, 1, 1_200));
            assert_eq!(sink.resets, 0, "at {moment}");
        }
    }
    for moment in [3_210, 3_320, 3_430] {
        show_progress(&mut host, moment, near_server(2).id);
        host.handle(at(moment), &data(port, server, 500, 1, 1_200));
        assert_eq!(host.tick(at(moment + 10)).ended, [], "at {moment}");
    }
}

/// Guards against a host whose link was full a short time ago, and that resets a flow which
/// loses the same data twice.
#[test]
fn a_host_that_recently_lost_packets_resets_no_flow() {
    let mut host = TestHost::new((1..=5).map(near_server).collect());
    for port in 1..=15 {
        host.establish(at(0), port);
    }
    let servers = [1, 2, 3].map(|number| near_server(number).id);
    for moment in [1_000, 1_200] {
        for server in servers {
            let port = ports_on(&host, server)[0];
            host.handle(at(moment), &data(port, server, 500, 1, 80));
        }
        show_delivery(&mut host, moment + 2, near_server(4).id);
    }
    for server in servers {
        let port = ports_on(&host, server)[0];
        host.handle(at(1_300), &data(port, server, 580, 2_000, 0));
    }
    let (server, port) = (servers[0], ports_on(&host, servers[0])[1]);
    for moment in [2_164, 2_364, 2_764] {
        show_delivery(&mut host, moment - 4, near_server(5).id);
        let sink = host.handle(at(moment), &data(port, server, 500, 1, 80));
        assert_eq!(sink.resets, 0, "at {moment}");
        show_delivery(&mut host, moment + 4, near_server(4).id);
        assert_eq!(host.tick(at(moment + 10)).ended, [], "at {moment}");
    }
}
