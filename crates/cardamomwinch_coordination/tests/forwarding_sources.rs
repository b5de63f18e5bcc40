//! Which hosts of a failure domain read the store, and how the others learn from them.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use forwarding_support::fleet::*;

/// A change must be in force at all hosts that reach the store within this time, in
/// milliseconds.
const MAX_CHANGE_TIME: u64 = 3_000;

/// Guards against calls to the store that grow with the number of hosts. Of 25 hosts two
/// read the store, and all know a change within half a second.
#[test]
fn two_hosts_of_a_domain_read_the_store() {
    let mut fleet = Fleet::settled(25);
    assert_eq!(fleet.readers().len(), 2);
    let mut oldest = 0;
    for moment in 1..=100 {
        fleet.run_until(SETTLED + 100 * moment);
        oldest = oldest.max(fleet.oldest_view());
    }
    assert!(fleet.calls <= 2 * 6, "{} calls in ten seconds", fleet.calls);
    assert!(oldest <= 2_300, "what a host knew was {oldest} ms old");
    let most = fleet.queries.iter().max().unwrap();
    assert!(*most <= 40, "{most} queries to one host in ten seconds");
    assert!(fleet.time_to_all() <= 500);
}

/// The readers, which all other hosts depend on, fail without announcing it.
#[test]
fn a_reader_that_dies_is_replaced() {
    let mut fleet = Fleet::settled(9);
    let readers = fleet.readers();
    for reader in readers {
        fleet.hosts[reader].condition = Condition::Dead;
    }
    let time = fleet.time_to_all();
    assert!(time <= 1_500, "{time} ms");
    fleet.run_until(fleet.now + 10_000);
    assert!(fleet.readers().len() <= 2);
}

/// Readers are cut off: no connection breaks, but queries to them stay unanswered. No host
/// may keep relying on old data, and the calls of the whole domain to the store must not
/// last.
#[test]
fn hosts_whose_readers_are_cut_off_read_the_store() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::Cut;
    }
    let time = fleet.time_to_all();
    assert!(time <= MAX_CHANGE_TIME, "{time} ms");
    let start = fleet.now;
    let mut oldest = 0;
    while fleet.now < start + 25_000 {
        fleet.run_until(fleet.now + 100);
        oldest = oldest.max(fleet.oldest_view());
    }
    assert!(
        oldest <= MAX_CHANGE_TIME,
        "what a host knew was {oldest} ms old"
    );
    assert!(fleet.calls <= 120, "{} calls in half a minute", fleet.calls);
    assert!(fleet.readers().len() <= 2, "{:?}", fleet.readers());
}

/// Cuts `readers` off from the store and writes a change. Returns how long it takes until all
/// other hosts know it.
fn time_to_others(fleet: &mut Fleet, readers: &[usize]) -> u64 {
    for reader in readers {
        fleet.hosts[*reader].condition = Condition::StoreSilent;
    }
    let start = fleet.now;
    fleet.write(2, true);
    let is_other = |host: &usize| !readers.contains(host);
    while fleet.unaware(2).iter().any(is_other) && fleet.now < start + 20_000 {
        fleet.run_until(fleet.now + STEP);
    }
    fleet.now - start
}

/// Guards against new flows on a leaving server, and routes of an earlier configuration, at
/// hosts that reach the store while the readers they learn from do not.
#[yare::parameterized(
    two_a_domain = { 10, 5 },
    three_a_domain = { 15, 5 },
    nine_a_domain = { 18, 2 },
    one_domain = { 25, 1 },
    large_domain = { 80, 1 },
)]
fn hosts_know_a_change_in_time_although_their_readers_lose_the_store(hosts: usize, domains: usize) {
    for delay in [0, 20, 50, 100, 300, 450, 1_000, 1_990] {
        let mut fleet = Fleet::of_domains(hosts, domains);
        fleet.run_until(SETTLED);
        // A reader makes no call right after a change.
        let readers = fleet.readers();
        assert!(fleet.time_to_all() <= MAX_CHANGE_TIME);
        fleet.run_until(fleet.now + delay);
        let time = time_to_others(&mut fleet, &readers);
        assert!(
            time <= MAX_CHANGE_TIME,
            "{time} ms, cut off after {delay} ms"
        );
    }
}

/// Like the test above, but the readers lose the store while they list it, and the others wait
/// for their listing.
#[yare::parameterized(
    two_a_domain = { 10, 5 },
    three_a_domain = { 15, 5 },
    one_domain = { 25, 1 },
)]
fn hosts_know_a_change_in_time_although_the_host_that_lists_the_store_loses_it(
    hosts: usize,
    domains: usize,
) {
    let mut fleet = Fleet::of_domains(hosts, domains);
    fleet.run_until(SETTLED);
    let readers = fleet.readers();
    fleet.reset_counters();
    fleet.write(1, true);
    fleet.history_begins = fleet.revision;
    while fleet.listings < readers.len() && fleet.now < SETTLED + WATCH {
        fleet.run_until(fleet.now + STEP);
    }
    let time = time_to_others(&mut fleet, &readers);
    assert!(time <= MAX_CHANGE_TIME, "{time} ms");
}

/// The store refuses the readers and serves all others. The readers still answer queries,
/// but their data gets old.
#[test]
fn hosts_whose_readers_are_refused_use_another_source() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::Refused;
    }
    fleet.run_until(fleet.now + 1_000);
    let time = fleet.time_to_all();
    assert!(time <= 4_000, "{time} ms");
    fleet.run_until(fleet.now + 10_000);
    assert!(fleet.oldest_view() <= 3_500, "{} ms", fleet.oldest_view());
}

/// A host that was cut off comes back with old data.
#[test]
fn a_host_that_was_cut_off_catches_up() {
    let mut fleet = Fleet::settled(9);
    fleet.hosts[4].condition = Condition::Cut;
    assert!(fleet.time_to_all() <= 4_000);
    fleet.run_until(fleet.now + 5_000);
    fleet.hosts[4].condition = Condition::Running;
    let back = fleet.now;
    fleet.run_until(back + 3_000);
    assert!(fleet.unaware(1).is_empty());
}

/// A domain has 300 hosts, more than any host remembers. No host may be queried by all of
/// them, and the calls to the store must not grow with them.
#[test]
fn no_host_is_queried_by_a_whole_domain() {
    let mut fleet = Fleet::settled(300);
    fleet.run_until(SETTLED + 10_000);
    let most = fleet.queries.iter().max().unwrap();
    assert!(*most <= 100, "{most} queries to one host in ten seconds");
    assert!(fleet.calls <= 24, "{} calls in ten seconds", fleet.calls);
    let time = fleet.time_to_all();
    assert!(time <= 700, "{time} ms");
}

/// The store refuses all hosts for ten seconds. Their data gets old, and each would keep
/// calling the store, though the two readers of the domain do so already. All must know of
/// a change soon after the store is back.
#[test]
fn a_store_that_refuses_all_hosts_is_called_by_few() {
    let mut fleet = Fleet::settled(25);
    for host in &mut fleet.hosts {
        host.condition = Condition::Refused;
    }
    fleet.run_until(SETTLED + 10_000);
    // One call per second and host.
    assert!(fleet.calls <= 250, "{} calls", fleet.calls);
    for host in &mut fleet.hosts {
        host.condition = Condition::Running;
    }
    let time = fleet.time_to_all();
    assert!(time <= 1_500, "{time} ms");
}
