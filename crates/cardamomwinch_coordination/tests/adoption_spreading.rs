//! A published change comes into force on every host.
#![allow(clippy::unwrap_used, missing_docs)]

mod adoption_support;

use std::time;

use adoption_support::TestFleet;
use adoption_support::documents::{self, FleetShape};
use cardamomwinch_coordination::prelude::*;
use yare::parameterized;

const NINE: FleetShape = FleetShape {
    domains: 3,
    per_domain: 3,
};
/// A change must be in force on every host this long after it is published.
const ADOPTION_TIMEOUT: time::Duration = time::Duration::from_secs(3);

fn expect_adoption(fleet: &mut TestFleet, preset: &str) {
    let done = fleet.run_until(ADOPTION_TIMEOUT, |fleet| fleet.all_have(preset));
    if !done {
        fleet.expect_everywhere(preset);
    }
}

/// Guards against a host that misses a change. A preset is switched while the network
/// loses, delays and reorders messages. One host in nine kept the old preset forever,
/// because the only message that announced the new one to it was lost.
#[parameterized(calm = { 1, 0.0, 2 }, lossy = { 2, 0.05, 20 }, lossier = { 3, 0.2, 60 }, other_seed = { 4, 0.2, 60 })]
fn a_switch_is_in_force_on_every_host(seed: u64, loss: f64, delay: u64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    fleet.loss = loss;
    fleet.delay = time::Duration::from_millis(delay);
    for preset in ["peak", "ordinary", "maintenance"] {
        fleet.publish_root(preset);
        expect_adoption(&mut fleet, preset);
        fleet.run_for(time::Duration::from_secs(2));
    }
    fleet.expect_same_state();
}

/// Guards against a change that is lost with the readers. All readers crash just after
/// a change is published, before or after they have announced it. No other host of a
/// domain watched the platform, so the domain kept the old preset until the next
/// change.
#[parameterized(at_once = { 1, 0 }, while_reading = { 2, 6 }, while_announcing = { 3, 12 }, later = { 4, 40 })]
fn a_change_survives_a_crash_of_its_readers(seed: u64, after: u64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    let readers = fleet.readers();
    assert_eq!(readers.len(), 6);
    fleet.publish_team("search", &documents::fragment("search", "desk", 7001, 9101));
    fleet.publish_root("peak");
    fleet.run_for(time::Duration::from_millis(after));
    for reader in readers {
        fleet.crash(reader);
    }
    expect_adoption(&mut fleet, "peak");
    fleet.run_for(time::Duration::from_secs(3));
    fleet.expect_same_state();
    assert_eq!(fleet.readers().len(), 3, "the survivors read");
}

/// Guards against too many calls to the platform. Nothing changes for a minute. If
/// every host watched the platform, the calls would grow with the fleet and exceed
/// what the platform allows for all hosts together.
#[test]
fn few_hosts_read_the_platform() {
    let shape = FleetShape {
        domains: 3,
        per_domain: 8,
    };
    let mut fleet = TestFleet::serving(shape, 5);
    assert_eq!(fleet.readers().len(), 6);
    let from = fleet.now;
    fleet.run_for(time::Duration::from_secs(60));
    // Six readers hold two watches of ten seconds each.
    let calls = fleet.platform.calls_since(from);
    assert!(calls <= 6 * 2 * 7, "{calls} calls in a minute");
}

/// Guards against a domain that misses changes. It is cut off from the platform, but
/// not from other domains. Its own readers receive nothing, so hosts of other domains
/// must send it the changes.
#[test]
fn a_domain_without_the_platform_learns_from_the_others() {
    let mut fleet = TestFleet::serving(NINE, 6);
    fleet.cut_platform(|host| host < 3);
    fleet.run_for(time::Duration::from_secs(2));
    fleet.publish_root("peak");
    expect_adoption(&mut fleet, "peak");
}

/// Guards against an outdated domain. It is cut off from the other domains and the
/// platform while presets are switched twice. After the cut it must adopt the newest
/// configuration, and its old one must not spread to the others.
#[test]
fn a_domain_that_was_cut_off_catches_up() {
    let mut fleet = TestFleet::serving(NINE, 7);
    fleet.cut_platform(|host| host < 3);
    fleet.cut = Box::new(|from, to| (from < 3) != (to < 3));
    fleet.publish_root("peak");
    fleet.run_for(time::Duration::from_secs(20));
    fleet.publish_root("maintenance");
    fleet.run_for(time::Duration::from_secs(20));
    for host in 0..9 {
        let expected = if host < 3 { "ordinary" } else { "maintenance" };
        assert_eq!(fleet.hosts[host].preset(), expected);
        assert!(fleet.hosts[host].serves());
    }
    fleet.cut = Box::new(|_, _| false);
    expect_adoption(&mut fleet, "maintenance");
    fleet.run_for(time::Duration::from_secs(3));
    fleet.expect_same_state();
}

/// Guards against different presets on different hosts. Operators switch presets at
/// nearly the same time, and hosts learn of the switches in different orders and from
/// different peers. If the last message won instead of the highest version, some
/// hosts would keep an earlier preset.
#[parameterized(one = { 8, 0 }, two = { 9, 3 }, three = { 10, 30 }, four = { 11, 300 })]
fn the_last_of_two_racing_switches_wins(seed: u64, apart: u64) {
    let mut fleet = TestFleet::serving(NINE, seed);
    fleet.loss = 0.1;
    fleet.delay = time::Duration::from_millis(50);
    for preset in ["peak", "maintenance", "peak", "ordinary", "maintenance"] {
        fleet.publish_root(preset);
        fleet.run_for(time::Duration::from_millis(apart));
    }
    expect_adoption(&mut fleet, "maintenance");
    fleet.run_for(time::Duration::from_secs(4));
    fleet.expect_everywhere("maintenance");
    fleet.expect_same_state();
}

/// Guards against different lists of hosts on different hosts. A host leaves the list,
/// and another one joins it. Hosts whose list is one version behind receive only the
/// changes, and must end with the same list as all others.
#[test]
fn lists_of_hosts_spread_like_presets() {
    let mut fleet = TestFleet::serving(NINE, 12);
    fleet.loss = 0.1;
    for gone in [8, 2, 5] {
        let list = fleet.shape.host_list(|host| host != gone);
        let revision = fleet.publish(PlatformKey::Hosts, &list);
        let done = fleet.run_until(ADOPTION_TIMEOUT, |fleet| {
            let mut hosts = fleet.running().filter(|(index, _)| *index != gone);
            hosts.all(|(_, host)| host.snapshot.hosts.version.get() >= revision)
        });
        assert!(done);
        let counts = fleet
            .running()
            .map(|(_, host)| host.snapshot.hosts.hosts.len());
        assert!(counts.filter(|count| *count == 8).count() >= 8);
    }
}
