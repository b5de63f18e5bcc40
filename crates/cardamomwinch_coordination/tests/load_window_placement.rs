//! Windows of servers: in how many windows each server is, and which servers the flows of one
//! host go to.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::collections;
use std::ops;

use cardamomwinch_coordination::forwarding::cold_starts::ColdShare;
use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_coordination::load::server_window::HostPosition;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;
use yare::parameterized;

const HOSTS: usize = 23;
const SERVERS: usize = 40;
const POLICY: LoadPolicy = LoadPolicy {
    windows: true,
    spill: false,
    priorities: false,
    outliers: false,
};

/// The sorted hashes of `count` hosts.
fn hashes(count: u64) -> Vec<u64> {
    let mut hashes: Vec<u64> = (1..=count).map(flow::mix).collect();
    hashes.sort_unstable();
    hashes
}

/// In how many windows each of `servers` servers is, if each host of `hosts` knows the hosts
/// that `known` returns for it.
fn coverage(servers: usize, hosts: &[u64], known: impl Fn(u64) -> Vec<u64>) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for host in hosts {
        let position = HostPosition::new(*host, &known(*host));
        for server in position.window(servers).positions() {
            counts[server] += 1;
        }
    }
    counts
}

/// A server in the window of only one host gets no flows once that host fails.
#[test]
fn every_server_is_in_the_windows_of_two_hosts() {
    for host_count in 2..64 {
        let hosts = hashes(host_count);
        for servers in 1..200 {
            let counts = coverage(servers, &hosts, |_| hosts.clone());
            let fewest = counts.iter().min().unwrap();
            assert!(*fewest >= 2, "{servers} servers, {host_count} hosts");
        }
    }
}

/// A host of a large domain knows only the first 64 hosts, and neither its rank nor the
/// number of hosts. Windows by hash are unevenly spaced and could leave servers without
/// hosts.
#[parameterized(
    just_truncated = { 64 },
    one_more = { 65 },
    a_hundred = { 100 },
    two_hundred = { 195 },
    a_thousand = { 1_067 },
)]
fn truncated_lists_leave_no_server_without_two_hosts(host_count: u64) {
    let hosts = hashes(host_count);
    for servers in [5, 10, 40, 195, 1_000, 8_667] {
        let counts = coverage(servers, &hosts, |_| hosts[..64].to_vec());
        let fewest = counts.iter().min().unwrap();
        assert!(*fewest >= 2, "{servers} servers, {host_count} hosts");
    }
}

/// Windows of hosts of a large domain that contained most servers would be of no use.
#[test]
fn windows_stay_small_in_a_large_domain() {
    let hosts = hashes(1_067);
    let size = |servers| {
        let position = HostPosition::new(hosts[500], &hosts[..64]);
        position.window(servers).size()
    };
    assert_eq!(size(40), 8);
    assert!((100..=170).contains(&size(8_667)), "{}", size(8_667));
}

/// Some hosts still list a host that failed, others don't. Their windows shift against each
/// other by up to one place of a host, which must leave no server without a host.
#[test]
fn lists_that_differ_by_a_host_leave_no_server_without_a_host() {
    for host_count in 3..64 {
        let hosts = hashes(host_count);
        for servers in [4, 5, 10, 39, 40, 41, 120] {
            for missing in &hosts {
                let live: Vec<_> = hosts.iter().copied().filter(|one| one != missing).collect();
                let known = |host: u64| {
                    let knows = flow::mix(host ^ missing).is_multiple_of(2);
                    if knows { hosts.clone() } else { live.clone() }
                };
                let counts = coverage(servers, &live, known);
                let fewest = counts.iter().min().unwrap();
                assert!(*fewest >= 1, "{servers} servers, {host_count} hosts");
            }
        }
    }
}

/// Each host misses up to three other hosts, not the same ones. With windows of twice the
/// share of a host, a few servers are then in one window or in none. Their share must stay
/// small, because the hosts use only the others.
#[test]
fn lists_that_differ_by_several_hosts_leave_few_servers_without_hosts() {
    let (mut total, mut without_two, mut without_any) = (0, 0, 0);
    for seed in 0..200 {
        let hosts = hashes(23);
        let counts = coverage(40, &hosts, |host| {
            let missing = |turn: u64| hosts[flow::mix(host ^ (seed * 3 + turn)) as usize % 23];
            let missing: Vec<u64> = (0..3).map(missing).collect();
            let listed = |other: &u64| *other == host || !missing.contains(other);
            hosts.iter().copied().filter(listed).collect()
        });
        total += counts.len();
        without_two += counts.iter().filter(|count| **count < 2).count();
        without_any += counts.iter().filter(|count| **count == 0).count();
    }
    println!("{without_two} of {total} in fewer than two windows, {without_any} in none");
    assert!(without_two * 5 <= total, "{without_two} of {total}");
    assert!(without_any * 50 <= total, "{without_any} of {total}");
}

/// A host that knows only itself must use all servers.
#[test]
fn a_host_that_knows_only_itself_uses_all_servers() {
    for servers in [0, 1, 4, 40, 8_667] {
        assert!(HostPosition::new(7, &[7]).window(servers).covers_all());
    }
}

#[test]
fn a_window_doubles_until_it_covers_all_servers() {
    let hosts = hashes(23);
    let window = HostPosition::new(hosts[22], &hosts).window(40);
    assert_eq!((window.start(), window.size()), (38, 4));
    assert_eq!(window.positions().collect::<Vec<_>>(), [38, 39, 0, 1]);
    let sizes = [window.doubled(), window.doubled().doubled()];
    assert_eq!(sizes.map(|one| one.size()), [8, 16]);
    assert!(window.doubled().doubled().doubled().doubled().covers_all());
}

/// The host with this rank among the hosts of a domain, with windows.
fn host_with_rank(rank: usize) -> TestHost {
    let hosts = hashes(HOSTS as u64);
    let servers = (1..=SERVERS as u64).map(near_server).collect();
    let mut host = TestHost::new(servers);
    host.engine = ForwardingEngine::new(1_000, 0, ReporterId::new(1)).with_load_policy(POLICY);
    host.view.cold_share = Some(ColdShare {
        host_number: hosts[rank],
        host_numbers: hosts.into(),
    });
    host
}

/// The servers that receive the flows from `ports`, each of which stays open.
fn servers_of(host: &mut TestHost, ports: ops::Range<u16>) -> collections::BTreeSet<BackendId> {
    let opened = ports.map(|port| host.establish(at(5 * u64::from(port)), port));
    opened.collect()
}

/// Nobody waits for answers on a route without a latency goal. It is placed as without
/// windows.
#[test]
fn routes_without_a_latency_goal_use_all_servers() {
    let mut host = host_with_rank(5);
    let mut route = route(true);
    route.latency_goal = millis(0);
    host.adopt(document(2, vec![(service_address(), route)]));
    assert_eq!(servers_of(&mut host, 1..41).len(), SERVERS);
}

/// A host that has just started knows no others. With a window that it cannot compute, its
/// flows would meet on the same servers as those of other such hosts.
#[test]
fn a_host_that_does_not_know_the_others_uses_all_servers() {
    let mut host = host_with_rank(5);
    host.view.cold_share = None;
    assert_eq!(servers_of(&mut host, 1..41).len(), SERVERS);
}

/// A window whose servers are all full would keep its flows waiting while others idle. A
/// server with two slots is full with two flows of one host.
#[test]
fn a_full_window_doubles() {
    let mut host = host_with_rank(5);
    let first = servers_of(&mut host, 1..9);
    assert_eq!(first.len(), 4);
    let second = servers_of(&mut host, 9..17);
    assert_eq!(second.len(), 4);
    assert!(second.is_disjoint(&first));
    let third = servers_of(&mut host, 17..33);
    assert_eq!(third.len(), 8);
    assert!(third.is_disjoint(&first) && third.is_disjoint(&second));
    let others = servers_of(&mut host, 33..81);
    assert_eq!(others.len(), SERVERS - 16);
    let all = servers_of(&mut host, 81..121);
    assert_eq!(all.len(), SERVERS);
}

/// The servers of a window take no new flows, because of a release or a failure. The host
/// must use others at once.
#[parameterized(
    draining = { ServerPhase::Draining },
    vanished = { ServerPhase::Vanished { since: at(0) } },
    left = { ServerPhase::Left { since: at(0) } },
    unreadable = { ServerPhase::Unreadable },
)]
fn servers_that_take_no_flows_are_replaced_in_the_window(phase: ServerPhase) {
    let mut host = host_with_rank(5);
    let before = servers_of(&mut host, 1..9);
    host.change(|directory| {
        for id in &before {
            let known = directory.get(*id).unwrap().clone();
            directory.note(ServerRecord { phase, ..known });
        }
    });
    let after = servers_of(&mut host, 20..28);
    assert_eq!(after.len(), 4);
    assert!(after.is_disjoint(&before));
}

/// Servers of a window do not answer openings. The copies, and the openings of other callers,
/// must reach others, also if the whole window is silent.
#[test]
fn servers_that_do_not_answer_are_replaced_in_the_window() {
    let mut host = host_with_rank(5);
    let tried: Vec<_> = (1..=4).map(|port| host.open(at(5), port)).collect();
    for port in 1..=4 {
        let sink = host.handle(at(205), &opening(port, 1));
        assert!(!tried.contains(&sink.sent[0].0));
    }
    let others = servers_of(&mut host, 50..54);
    assert!(others.iter().all(|id| !tried.contains(id)));
}

/// No server of the domain takes flows. They must go to another domain, as without windows.
#[test]
fn flows_leave_a_domain_without_usable_servers() {
    let mut host = host_with_rank(5);
    host.change(|directory| {
        let drained = (1..=SERVERS as u64).map(|number| ServerRecord {
            phase: ServerPhase::Draining,
            ..near_server(number)
        });
        directory.note_all(drained.chain([far_server(100)]));
    });
    assert_eq!(host.open(at(0), 1), far_server(100).id);
}

/// Windows count positions among the active servers. If the directory counted one that left,
/// the windows of all hosts from there on would be shifted, and those of hosts that are not
/// aware of it would not.
#[test]
fn the_directory_counts_active_servers_after_any_change() {
    let mut known = directory((1..=20).map(near_server).collect());
    for step in 0..2_000 {
        let draw = flow::mix(step);
        let server = near_server(1 + draw % 25);
        let (now, revision) = (at(step * 100), StoreRevision::new(step + 2));
        let record = |phase, name: &str| ServerRecord {
            phase,
            domain: domain(name),
            changed: revision,
            ..server.clone()
        };
        match (draw >> 32) % 8 {
            0 => known.note_removed(server.id, revision, now),
            1 => known.note_unreadable(server.id, revision),
            2 => known.note(record(ServerPhase::Draining, "near")),
            3 => known.note(record(ServerPhase::Active, "far")),
            4 if draw.is_multiple_of(9) => {
                let listed = (3..=20).map(|number| ServerRecord {
                    changed: revision,
                    ..near_server(number)
                });
                known.replace(listed.collect(), &[(server.id, revision)], revision, now);
            }
            5 => _ = known.expire(now, millis(5_000)),
            _ => known.note(record(ServerPhase::Active, "near")),
        }
        for name in ["near", "far"] {
            let active = |one: &&ServerRecord| {
                one.phase == ServerPhase::Active && one.domain == domain(name)
            };
            let expected: Vec<_> = known.of_service(service("desk")).filter(active).collect();
            let found = known.active_from(service("desk"), domain(name), 0);
            assert_eq!(found.collect::<Vec<_>>(), expected, "step {step}");
            let count = known.active_count(service("desk"), domain(name));
            assert_eq!(count, expected.len());
        }
    }
}

/// A window of a service with thousands of servers can have thousands of servers. An opening
/// must compare only some of them, and all must be used.
#[test]
fn large_windows_are_used_as_a_whole() {
    let mut host = host_with_rank(0);
    host.change(|directory| directory.note_all((41..=4_000).map(near_server)));
    let used = servers_of(&mut host, 1..800);
    let window = 4_000 * 2 / HOSTS + 1;
    assert!(used.len() > window * 9 / 10, "{} of {window}", used.len());
    let beyond = used.iter().map(|id| id.get() & 0xffff).max();
    assert!(beyond <= Some(window as u64 + 128), "{beyond:?}");
}
