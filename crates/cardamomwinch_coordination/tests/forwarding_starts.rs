//! How starting hosts get all routes and servers, alone and hundreds at a time.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use forwarding_support::fleet::*;
use yare::parameterized;

/// The time within which all hosts that start together must forward, in milliseconds. To
/// callers a delay of 300 ms is no more than one retransmission.
const SERVING_LIMIT: u64 = 300;
/// The time within which all hosts start, in milliseconds.
const START_SPREAD: u64 = 300;
/// The time within which a host that reaches no other host must forward, in milliseconds.
const ALONE_LIMIT: u64 = 300;
/// The most hosts that one host sends the full list to while all start: four per quarter of
/// a second.
const MAX_LISTS_SENT: usize = 16;

/// All hosts lose power and restart at the same time, without data. Each used to list the
/// store, a megabyte, and watch it for seconds until it had found its source: a thousand
/// calls for 195 hosts. Now the three seeds list it, and pass the list on.
#[parameterized(
    of_8 = { 8, 2 },
    of_75 = { 75, 5 },
    of_195 = { 195, 5 },
    of_300 = { 300, 5 },
)]
fn hosts_that_start_together_read_the_store_once(count: usize, domains: usize) {
    let mut fleet = Fleet::of_domains(count, domains);
    let time = fleet.time_to_serve();
    assert!(time <= SERVING_LIMIT, "{time} ms");
    let most = *fleet.full_lists_sent.iter().max().unwrap();
    assert!(most <= MAX_LISTS_SENT, "one host sent {most} lists");
    assert!(
        fleet.listings <= 3 + count / 20,
        "{} listings",
        fleet.listings
    );
    fleet.run_until(6_000);
    // The two readers of each domain make three calls in four seconds, and some hosts do
    // not find their source at once.
    let calls = 30 * domains + count / 2;
    assert!(fleet.calls <= calls, "{} calls", fleet.calls);
}

/// A host is restarted or added while the others run: another host sends it the full list.
#[test]
fn a_host_that_starts_alone_costs_the_store_nothing() {
    let mut fleet = Fleet::settled(25);
    for index in [5, 9, 17] {
        fleet.restart(index);
    }
    assert!(fleet.time_to_serve() <= 100);
    fleet.run_until(fleet.now + 2_000);
    assert_eq!(fleet.listings, 0);
}

/// The seeds are down, or cut off without breaking connections, when all others start. No
/// host can send them the list; they must list the store themselves, without waiting for
/// the seeds any longer than they wait for other hosts.
#[parameterized(
    gone = { Condition::Dead },
    cut_off = { Condition::Cut },
)]
fn hosts_that_reach_no_seed_list_the_store_themselves(condition: Condition) {
    let mut fleet = Fleet::of_domains(60, 3);
    for index in 0..3 {
        fleet.hosts[index].condition = condition;
    }
    let time = fleet.time_to_serve();
    assert!(time <= ALONE_LIMIT, "{time} ms");
}

/// The store refuses a third of the hosts, one seed among them, while all start. They must
/// get the full list from the others, and later changes, too.
#[test]
fn hosts_that_the_store_refuses_start_with_the_others() {
    let mut fleet = Fleet::of_domains(60, 3);
    for index in (0..60).step_by(3) {
        fleet.hosts[index].condition = Condition::Refused;
    }
    let time = fleet.time_to_serve();
    assert!(time <= SERVING_LIMIT, "{time} ms");
    fleet.run_until(10_000);
    let time = fleet.time_to_all();
    assert!(time <= 3_000, "{time} ms");
}

/// Two thirds of the hosts lose power and restart without data, while a third keeps
/// running. Only the seeds list the store.
#[test]
fn hosts_that_start_again_learn_from_those_that_stayed() {
    let mut fleet = Fleet::of_domains(90, 3);
    fleet.run_until(SETTLED);
    fleet.reset_counters();
    for index in (0..90).filter(|index| index % 9 < 6) {
        fleet.restart(index);
    }
    let time = fleet.time_to_serve();
    assert!(time <= SERVING_LIMIT, "{time} ms");
    assert!(fleet.listings <= 3 + 60 / 20, "{} listings", fleet.listings);
    let most = *fleet.full_lists_sent.iter().max().unwrap();
    assert!(most <= MAX_LISTS_SENT, "one host sent {most} lists");
}

/// A change is written shortly after all hosts started, while they are still finding their
/// sources. All must know it in time.
#[test]
fn a_change_right_after_the_start_is_known_to_all() {
    let mut fleet = Fleet::of_domains(195, 5);
    fleet.run_until(1_000);
    let time = fleet.time_to_all();
    assert!(time <= 2_500, "{time} ms");
}

/// Hosts start in any order within a third of a second, with three seeds. Hosts of failure
/// domains without a seed knew two or three hosts of their own domain, took themselves for
/// readers and kept watching the store: 44 of 195 hosts instead of ten.
#[parameterized(
    of_75 = { 75, 5 },
    of_195 = { 195, 5 },
    of_300 = { 300, 5 },
)]
fn hosts_find_those_of_their_domain_within_seconds(count: usize, domains: usize) {
    let mut fleet = Fleet::starting_within(count, domains, START_SPREAD);
    let time = fleet.time_to_serve();
    assert!(time <= START_SPREAD + SERVING_LIMIT, "{time} ms");
    fleet.run_until(SETTLED / 2);
    fleet.reset_counters();
    fleet.run_until(SETTLED / 2 + 10_000);
    // Two readers per domain, with an answer every two seconds.
    let calls = 2 * domains * 5;
    assert!(fleet.calls <= calls + calls / 5, "{} calls", fleet.calls);
}
