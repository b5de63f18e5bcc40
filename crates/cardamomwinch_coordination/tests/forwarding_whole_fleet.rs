//! Five domains of 117 hosts in front of 6,000 servers, and twice as many of both: calls,
//! queries and times must not grow with the product of the two when all hosts do something
//! at the same time.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use forwarding_support::fleet::*;
use yare::parameterized;

const DOMAINS: usize = 5;
const SERVERS_PER_HOST: u64 = 10;
/// The size of a server in a message, in bytes.
const WIRE_BYTES: u64 = 50;
/// The time within which all hosts start, in milliseconds.
const START_SPREAD: u64 = 300;
/// Hosts that receive the list from the same host at the same time, over the same link.
const CONCURRENT_TRANSFERS: u64 = 4;
/// The time that passing the list from host to host may take in addition, in milliseconds.
const PASSING_TIME: u64 = 600;
/// How long watches return nothing before the store drops its history, in milliseconds.
const WATCH_OUTAGE: u64 = 1_000;
/// How long calls to the store are counted, in milliseconds.
const COUNTING_PERIOD: u64 = 12_000;

fn weight(hosts: usize) -> DirectoryWeight {
    DirectoryWeight::of_servers(hosts as u64 * SERVERS_PER_HOST, WIRE_BYTES)
}

/// How long it takes to list the store, in milliseconds.
fn listing_time(weight: DirectoryWeight) -> u64 {
    weight.pages * weight.page_time
}

/// How long it takes to list the store and to send the list to others, in milliseconds.
fn spreading_time(weight: DirectoryWeight) -> u64 {
    listing_time(weight) + CONCURRENT_TRANSFERS * weight.parts * weight.part_time
}

/// Guards against hosts that each list thousands of servers at their start, because the few
/// hosts that send them the list take longer to receive it than the others wait.
#[parameterized(
    whole_fleet = { 585 },
    twice_the_fleet = { 1_170 },
)]
fn hosts_that_start_together_leave_a_long_list_to_few(hosts: usize) {
    let weight = weight(hosts);
    let mut fleet = Fleet::of_domains(hosts, DOMAINS).with_weight(weight);
    let time = fleet.time_to_serve();
    assert!(time <= spreading_time(weight) + PASSING_TIME, "{time} ms");
    assert!(fleet.listings <= 12, "{} listings", fleet.listings);
    assert!(fleet.calls <= hosts / 2, "{} calls", fleet.calls);
    let queries = *fleet.queries.iter().max().unwrap();
    assert!(queries <= hosts, "{queries} queries to one host");
    let sent = *fleet.full_lists_sent.iter().max().unwrap();
    assert!(sent <= 8, "one host sent {sent} lists");
}

/// Guards against the same if more than half of the hosts lose power, the seeds among them.
/// Also guards against sending the list as a whole: that takes a narrow link a quarter of a
/// second for each host.
#[parameterized(
    whole_fleet = { 585 },
    twice_the_fleet = { 1_170 },
)]
fn hosts_that_lost_power_together_leave_a_long_list_to_few(hosts: usize) {
    let weight = weight(hosts);
    let mut fleet = Fleet::starting_within(hosts, DOMAINS, START_SPREAD).with_weight(weight);
    fleet.run_until(SETTLED / 2);
    fleet.reset_counters();
    for index in (0..hosts).filter(|index| index % 20 < 11) {
        fleet.restart(index);
    }
    let time = fleet.time_to_serve();
    assert!(time <= spreading_time(weight) + PASSING_TIME, "{time} ms");
    assert!(fleet.listings <= 12, "{} listings", fleet.listings);
    assert!(fleet.calls <= hosts / 2, "{} calls", fleet.calls);
}

/// Guards against an old configuration that stays in force for ten seconds after the store
/// has dropped its history: every host listed the whole store again, over the same links.
#[parameterized(
    whole_fleet = { 585 },
    twice_the_fleet = { 1_170 },
)]
fn a_lost_history_costs_few_listings(hosts: usize) {
    let weight = weight(hosts);
    let mut fleet = Fleet::starting_within(hosts, DOMAINS, START_SPREAD).with_weight(weight);
    fleet.run_until(SETTLED / 2);
    fleet.reset_counters();
    let begun = fleet.now;
    fleet.watches_silent_until = begun + WATCH_OUTAGE;
    fleet.run_until(begun + WATCH_OUTAGE / 4);
    fleet.write(1, true);
    fleet.history_begins = fleet.revision;
    fleet.run_until(begun + WATCH_OUTAGE);
    while !fleet.unaware(1).is_empty() && fleet.now < begun + COUNTING_PERIOD {
        fleet.run_until(fleet.now + STEP);
    }
    let time = fleet.now - begun - WATCH_OUTAGE;
    assert!(time <= listing_time(weight) + 2 * PASSING_TIME, "{time} ms");
    fleet.run_until(begun + COUNTING_PERIOD);
    assert!(fleet.listings <= hosts / 20, "{} listings", fleet.listings);
    assert!(fleet.calls <= hosts / 2, "{} calls", fleet.calls);
}
