//! Who of a failure domain reads the store, and how the others learn.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use forwarding_support::fleet::*;

/// Twenty-five hosts: if each read the store, calls would grow with the hosts, and
/// each has its price. Two read it, and all know a change within half a second.
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
    let most = fleet.questions.iter().max().unwrap();
    assert!(*most <= 40, "{most} questions to one host in ten seconds");
    assert!(fleet.time_to_all() <= 500);
}

/// The reader is the host that all others depend on. It dies, and nobody says so.
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

/// Readers are cut off without a word: no connection breaks, and questions to
/// them stay without an answer. Nobody may go on with what was true before, and
/// the store must not meet a whole domain for long.
#[test]
fn hosts_whose_readers_are_cut_off_read_themselves() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::Cut;
    }
    let time = fleet.time_to_all();
    assert!(time <= 3_500, "{time} ms");
    let start = fleet.now;
    let mut oldest = 0;
    while fleet.now < start + 25_000 {
        fleet.run_until(fleet.now + 100);
        oldest = oldest.max(fleet.oldest_view());
    }
    assert!(oldest <= 3_500, "what a host knew was {oldest} ms old");
    assert!(fleet.calls <= 120, "{} calls in half a minute", fleet.calls);
    assert!(fleet.readers().len() <= 2, "{:?}", fleet.readers());
}

/// The store refuses the readers and serves everyone else. They answer their
/// peers as before, but what they tell grows old.
#[test]
fn hosts_whose_readers_are_turned_away_learn_elsewhere() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::TurnedAway;
    }
    fleet.run_until(fleet.now + 1_000);
    let time = fleet.time_to_all();
    assert!(time <= 4_000, "{time} ms");
    fleet.run_until(fleet.now + 10_000);
    assert!(fleet.oldest_view() <= 3_500, "{} ms", fleet.oldest_view());
}

/// A host that was cut off comes back with what it knew before.
#[test]
fn a_host_that_was_cut_off_catches_up() {
    let mut fleet = Fleet::settled(9);
    fleet.hosts[4].condition = Condition::Cut;
    assert!(fleet.time_to_all() <= 4_000);
    fleet.run_until(fleet.now + 5_000);
    fleet.hosts[4].condition = Condition::Running;
    let back = fleet.now;
    fleet.run_until(back + 3_000);
    assert!(fleet.ignorant(1).is_empty());
}

/// Three hundred hosts of a domain are more than anyone remembers. No host may
/// be asked by all of them, and calls must not grow with them.
#[test]
fn no_host_is_asked_by_a_whole_domain() {
    let mut fleet = Fleet::settled(300);
    fleet.run_until(SETTLED + 10_000);
    let most = fleet.questions.iter().max().unwrap();
    assert!(*most <= 100, "{most} questions to one host in ten seconds");
    assert!(fleet.calls <= 24, "{} calls in ten seconds", fleet.calls);
    let time = fleet.time_to_all();
    assert!(time <= 700, "{time} ms");
}

/// The store refuses everybody for ten seconds. What hosts know grows old, and each would
/// ask it again and again, though the two readers of the domain do so already. All must
/// know of a change soon after its return.
#[test]
fn a_store_that_refuses_everybody_is_asked_by_few() {
    let mut fleet = Fleet::settled(25);
    for host in &mut fleet.hosts {
        host.condition = Condition::TurnedAway;
    }
    fleet.run_until(SETTLED + 10_000);
    // One a second a host.
    assert!(fleet.calls <= 250, "{} calls", fleet.calls);
    for host in &mut fleet.hosts {
        host.condition = Condition::Running;
    }
    let time = fleet.time_to_all();
    assert!(time <= 1_500, "{time} ms");
}
