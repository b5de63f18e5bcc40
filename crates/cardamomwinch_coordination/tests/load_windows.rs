//! Windows of servers: which servers each host of a domain uses, and how full their queues
//! become.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_coordination::load::server_window::HostPosition;
use cardamomwinch_state::flow;
use yare::parameterized;

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
    assert_eq!(size(40), 4);
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
