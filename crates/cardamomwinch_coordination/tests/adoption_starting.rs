//! A host that starts, or resumes after a pause, compares its state with others
//! before it serves.
#![allow(clippy::unwrap_used, missing_docs)]

mod adoption_support;

use std::time;

use adoption_support::TestFleet;
use adoption_support::documents::{self, FleetShape};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const NINE: FleetShape = FleetShape {
    domains: 3,
    per_domain: 3,
};

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

fn restart(fleet: &mut TestFleet, host: usize) {
    fleet.crash(host);
    fleet.run_for(seconds(2));
    fleet.start(host);
}

/// Runs until `host` serves, and checks that it serves under `preset`.
fn expect_serving(fleet: &mut TestFleet, host: usize, preset: &str, limit: time::Duration) {
    let done = fleet.run_until(limit, |fleet| fleet.hosts[host].serves());
    assert!(done, "host {host} does not serve");
    assert_eq!(fleet.hosts[host].preset(), preset);
}

/// Guards against a configuration that exceeds the size of one message. A host that
/// starts from peers receives it in parts, and must serve once it has all of them. A
/// running host must never have some of the parts in force without the others.
#[test]
fn a_large_configuration_comes_in_parts() {
    let mut fleet = TestFleet::serving(NINE, 15);
    for (index, team) in ["search", "vault", "news", "desk"].iter().enumerate() {
        let port = 7100 + index as u16;
        let service = format!("{team}-service");
        let text = documents::fragment(team, &service, port, port + 1000);
        let padding = "x".repeat(900 * 1024);
        fleet.publish_team(team, &format!("// {padding}\n{text}"));
    }
    fleet.publish_root("peak");
    let done = fleet.run_until(seconds(3), |fleet| {
        for (_, host) in fleet.running() {
            let mut services = host.snapshot.configuration.services.values();
            let large = services.any(|service| service.name.ends_with("-service"));
            assert_eq!(large, host.preset() == "peak", "a mixture is in force");
        }
        fleet.all_have("peak")
    });
    assert!(done);
    fleet.platform.set_unavailable(true);
    restart(&mut fleet, 4);
    expect_serving(&mut fleet, 4, "peak", seconds(6));
    let services = &fleet.hosts[4].snapshot.configuration.services;
    assert_eq!(services.len(), 4);
}

/// Guards against a host that cannot start during an outage of the platform. It has no
/// list of hosts and knows no peer, so its peers must contact it.
#[parameterized(calm = { 1, 0.0 }, lossy = { 2, 0.1 })]
fn a_host_starts_from_peers_alone(seed: u64, loss: f64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    fleet.loss = loss;
    fleet.platform.set_unavailable(true);
    for host in 0..9 {
        restart(&mut fleet, host);
        expect_serving(&mut fleet, host, "ordinary", seconds(6));
    }
}

/// Guards against lookup tables that are lost in a rolling restart after backend
/// servers have changed. With only the tables in force, hosts would not look for a
/// flow on the server that an earlier table selected, and callers that echo no token
/// would be cut off although that server still has their flow.
#[parameterized(calm = { 21, 0.0 }, lossy = { 22, 0.1 })]
fn a_rolling_restart_keeps_the_earlier_tables(seed: u64, loss: f64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    let old = fleet.hosts[0].snapshot.configuration.backends.clone();
    for port in [9101, 9102] {
        fleet.publish_team("search", &documents::fragment("search", "desk", 7001, port));
        fleet.publish_root("peak");
        fleet.run_for(seconds(3));
    }
    fleet.loss = loss;
    let kept: Vec<_> = fleet.hosts[0].snapshot.generations.clone();
    assert_eq!(kept.len(), 3);
    for host in 0..9 {
        restart(&mut fleet, host);
        expect_serving(&mut fleet, host, "peak", seconds(6));
    }
    for (_, host) in fleet.running() {
        let generations = &host.snapshot.generations;
        assert_eq!(generations.len(), kept.len());
        for (held, wanted) in generations.iter().zip(&kept) {
            assert!(held.places_like(wanted));
        }
        for server in old.keys() {
            assert!(host.snapshot.backend(*server).is_some());
        }
    }
}

/// Guards against a host that waits for peers forever. No peer answers; the host must
/// start from the platform alone after a short wait for peers.
#[test]
fn a_host_starts_from_the_platform_alone() {
    let mut fleet = TestFleet::serving(NINE, 3);
    fleet.publish_root("peak");
    fleet.cut = Box::new(|_, _| true);
    restart(&mut fleet, 4);
    expect_serving(&mut fleet, 4, "peak", seconds(3));
}

/// Guards against a single host that waits for peers: the fleet has no other host.
#[test]
fn the_only_host_starts() {
    let shape = FleetShape {
        domains: 1,
        per_domain: 1,
    };
    TestFleet::serving(shape, 4);
}

/// Guards against hosts that wait for each other when the whole fleet starts at once.
#[test]
fn a_whole_fleet_starts_at_once() {
    let shape = FleetShape {
        domains: 4,
        per_domain: 10,
    };
    let fleet = TestFleet::serving(shape, 5);
    fleet.expect_same_state();
}

/// Guards against a start with outdated configuration. A stale platform answers before
/// any peer does. A host that served the platform's version until then sent requests
/// to backend servers that had been removed hours before.
#[parameterized(near = { 6, 2 }, far = { 7, 60 }, lossy = { 8, 20 })]
fn a_starting_host_adopts_the_newest_version(seed: u64, delay: u64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    let old = fleet.platform.copy_of_values();
    fleet.publish_root("peak");
    fleet.run_for(seconds(3));
    fleet.platform.serve_stale(&old);
    fleet.delay = time::Duration::from_millis(delay);
    for host in 0..9 {
        restart(&mut fleet, host);
        expect_serving(&mut fleet, host, "peak", seconds(4));
        assert!(fleet.total(Counter::PlatformStale) > 0);
    }
}

/// Guards against a change that a starting host keeps to itself. The platform is ahead
/// of all peers, because they are cut off from it. The starting host must announce the
/// change to them.
#[test]
fn a_starting_host_announces_a_newer_version() {
    let mut fleet = TestFleet::serving(NINE, 9);
    fleet.cut_platform(|host| host != 0);
    fleet.crash(0);
    fleet.publish_root("peak");
    fleet.run_for(seconds(3));
    fleet.expect_everywhere("ordinary");
    fleet.start(0);
    expect_serving(&mut fleet, 0, "peak", seconds(3));
    assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have("peak")));
}

/// Guards against a host that serves outdated configuration after a pause. It is
/// paused for half a minute while a preset is switched, and resumes with queued
/// messages and its old state. Until it has compared its state, no snapshot that it
/// publishes may count as fresh.
#[parameterized(with_peers = { 10, false, false }, peers_only = { 11, true, false }, platform_only = { 12, false, true })]
fn a_paused_host_compares_its_state_before_it_serves(
    seed: u64,
    platform_down: bool,
    peers_cut: bool,
) {
    let mut fleet = TestFleet::serving(NINE, seed);
    fleet.pause(4, seconds(30));
    fleet.run_for(seconds(10));
    fleet.publish_root("peak");
    fleet.run_for(seconds(10));
    fleet.platform.set_unavailable(platform_down);
    if peers_cut {
        fleet.cut = Box::new(|_, _| true);
    }
    fleet.run_for(seconds(9));
    let resumed = fleet.hosts[4].paused_until;
    let done = fleet.run_until(seconds(12), |fleet| {
        let snapshot = &fleet.hosts[4].snapshot;
        if fleet.now >= resumed && snapshot.made >= resumed {
            let fresh = snapshot.fresh_until > fleet.now;
            assert!(!fresh || snapshot.configuration.preset == "peak");
        }
        fleet.hosts[4].preset() == "peak" && snapshot.fresh_until > fleet.now
    });
    assert!(done, "the host does not serve again");
    assert_eq!(fleet.hosts[4].count(Counter::WokeLate), 1);
}

/// Guards against a host that serves after a pause without an answer from any peer or
/// the platform: addresses may have been reassigned to other servers meanwhile.
#[test]
fn a_paused_host_without_any_answer_does_not_serve() {
    let mut fleet = TestFleet::serving(NINE, 13);
    fleet.pause(4, seconds(30));
    fleet.run_for(seconds(10));
    fleet.platform.set_unavailable(true);
    fleet.cut = Box::new(|_, _| true);
    fleet.run_for(seconds(60));
    assert_eq!(fleet.hosts[4].snapshot.fresh_until, Timestamp::ZERO);
    fleet.cut = Box::new(|_, _| false);
    let done = fleet.run_until(seconds(3), |fleet| {
        fleet.hosts[4].snapshot.fresh_until > fleet.now
    });
    assert!(done);
}

/// Guards against a domain that never serves again. All its hosts are paused together
/// and are cut off from all others when they resume. None of them has compared its
/// state, but there is no better source: after a while they must accept the answers of
/// each other.
#[test]
fn a_domain_that_was_paused_as_a_whole_serves_again() {
    let mut fleet = TestFleet::serving(NINE, 14);
    for host in 0..3 {
        fleet.pause(host, seconds(20));
    }
    fleet.run_for(seconds(5));
    fleet.platform.set_unavailable(true);
    fleet.cut = Box::new(|from, to| (from < 3) != (to < 3));
    fleet.run_for(seconds(15));
    let done = fleet.run_until(seconds(6), |fleet| {
        let domain = &fleet.hosts[..3];
        domain
            .iter()
            .all(|host| host.snapshot.fresh_until > fleet.now)
    });
    assert!(done, "the domain does not serve again");
}

/// Guards against an answer from before a pause. A host queries a peer, and is paused
/// before it reads the answer. Half a minute later it resumes and reads that answer
/// first. It took the answer for current and, cut off from all others, served a preset
/// that had been replaced meanwhile.
#[parameterized(first = { 1 }, second = { 3 }, third = { 4 }, fourth = { 5 }, fifth = { 7 }, sixth = { 9 })]
fn an_answer_from_before_a_pause_does_not_count(after: u64) {
    for seed in 20..26 {
        let mut fleet = TestFleet::serving(NINE, seed);
        let paused = (0..9).find(|host| !fleet.readers().contains(host)).unwrap();
        fleet.publish_root("peak");
        fleet.run_for(time::Duration::from_millis(after));
        fleet.pause(paused, seconds(30));
        fleet.run_for(seconds(10));
        fleet.publish_root("maintenance");
        fleet.run_for(seconds(10));
        fleet.cut = Box::new(|_, _| true);
        fleet.platform.set_unavailable(true);
        let resumed = fleet.hosts[paused].paused_until;
        let served = fleet.run_until(seconds(30), |fleet| {
            let snapshot = &fleet.hosts[paused].snapshot;
            snapshot.made >= resumed && snapshot.fresh_until > fleet.now
        });
        assert!(!served, "seed {seed}: serves outdated configuration");
    }
}

/// Guards against platform answers from before a pause. A host is paused during its
/// start while the answers are on their way. They are outdated when it resumes, and
/// must not count as a comparison.
#[test]
fn a_platform_answer_from_before_a_pause_does_not_count() {
    for after in [1, 2, 3, 4, 6] {
        let mut fleet = TestFleet::serving(NINE, 30 + after);
        fleet.cut = Box::new(|_, _| true);
        fleet.crash(4);
        fleet.run_for(seconds(2));
        fleet.start(4);
        fleet.run_for(time::Duration::from_millis(after));
        fleet.pause(4, seconds(30));
        fleet.run_for(seconds(10));
        fleet.publish_root("maintenance");
        fleet.run_for(seconds(5));
        fleet.platform.set_unavailable(true);
        let served = fleet.run_until(seconds(40), |fleet| fleet.hosts[4].serves());
        assert!(
            !served,
            "paused after {after} ms: serves what it read before"
        );
    }
}
