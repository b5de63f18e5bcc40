//! Adoption while the platform does not answer, is slow, is stale, or recovers.
#![allow(clippy::unwrap_used, missing_docs)]

mod adoption_support;

use std::time;

use adoption_support::TestFleet;
use adoption_support::documents::FleetShape;
use cardamomwinch_coordination::prelude::*;
use yare::parameterized;

const NINE: FleetShape = FleetShape {
    domains: 3,
    per_domain: 3,
};

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

/// Guards against older versions in force. The platform was restored from an old
/// backup and returns older versions; a host that adopted them went back to the
/// preset of the week before. Such answers must be ignored and counted, and the next
/// newer version must come into force.
#[test]
fn an_older_answer_is_never_adopted() {
    let mut fleet = TestFleet::serving(NINE, 1);
    let old = fleet.platform.copy_of_values();
    fleet.publish_root("peak");
    let list = fleet.shape.host_list(|host| host != 8);
    fleet.publish(PlatformKey::Hosts, &list);
    fleet.run_for(seconds(3));
    fleet.platform.serve_stale(&old);
    fleet.run_for(seconds(60));
    for (index, host) in fleet.running() {
        assert_eq!(host.preset(), "peak");
        assert_eq!(host.snapshot.hosts.hosts.len(), 8, "at host {index}");
    }
    assert!(fleet.total(Counter::PlatformStale) > 0);
    // Readers back off from a stale platform.
    let from = fleet.now;
    fleet.run_for(seconds(30));
    let calls = fleet.platform.calls_since(from);
    assert!(calls <= 7 * 2 * 31, "{calls} calls in half a minute");
    fleet.platform.serve_current();
    fleet.publish_root("maintenance");
    assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have("maintenance")));
}

/// Guards against effects of an outage of the platform. It does not answer for a
/// minute, in which the configuration in force must not change. When it recovers, a
/// burst of simultaneous calls would overload it, and the documents published
/// meanwhile must come into force.
#[parameterized(nine = { 3, 3 }, thirty = { 3, 10 })]
fn an_outage_of_the_platform_changes_nothing_and_ends_without_a_burst(
    domains: usize,
    per_domain: usize,
) {
    let shape = FleetShape {
        domains,
        per_domain,
    };
    let mut fleet = TestFleet::serving(shape, 2);
    fleet.platform.set_unavailable(true);
    fleet.run_for(seconds(60));
    fleet.expect_everywhere("ordinary");
    fleet.publish_root("peak");
    fleet.platform.set_unavailable(false);
    let from = fleet.now;
    assert!(fleet.run_until(seconds(4), |fleet| fleet.all_have("peak")));
    fleet.run_for(seconds(10));
    // Two readers per domain with two watches each, for any number of hosts. Each
    // watch is answered once and made again, and renewed once in ten seconds.
    let calls = fleet.platform.calls_since(from);
    let readers = domains * 2;
    assert!(calls <= readers * 2 * 4, "{calls} calls");
}

/// Guards against a mixture of old and new documents. Each answer of the platform
/// takes half a second. A root document must come into force as a whole, after its
/// fragments were read.
#[test]
fn a_slow_platform_causes_no_mixture_of_documents() {
    let mut fleet = TestFleet::serving(NINE, 3);
    fleet.platform.delay = time::Duration::from_millis(500);
    fleet.run_for(seconds(2));
    let fragment = adoption_support::documents::fragment("search", "desk", 7010, 9010);
    let revision = fleet.publish_team("search", &fragment);
    fleet.publish_root("peak");
    let done = fleet.run_until(seconds(3), |fleet| {
        for (_, host) in fleet.running() {
            let address = "127.0.0.1:7010".parse().unwrap();
            let moved = host.snapshot.configuration.service_at(address).is_some();
            assert_eq!(
                moved,
                host.preset() == "peak",
                "half of revision {revision}"
            );
        }
        fleet.all_have("peak")
    });
    assert!(done);
}

/// Guards against a root document that never comes into force. The platform fails
/// after a root document was read and before its fragments are. The preset must
/// still be switched.
#[test]
fn a_root_document_does_not_wait_forever() {
    let mut fleet = TestFleet::serving(NINE, 4);
    let fragment = adoption_support::documents::fragment("search", "desk", 7010, 9010);
    fleet.publish_team("search", &fragment);
    fleet.publish_root("peak");
    fleet.run_for(time::Duration::from_millis(4));
    fleet.platform.set_unavailable(true);
    assert!(fleet.run_until(seconds(3), |fleet| fleet.all_have("peak")));
    fleet.platform.set_unavailable(false);
    fleet.run_for(seconds(6));
    for (_, host) in fleet.running() {
        let address = "127.0.0.1:7010".parse().unwrap();
        assert!(host.snapshot.configuration.service_at(address).is_some());
    }
    fleet.expect_same_state();
}

/// Guards against lost configuration when keys disappear from the platform. The
/// documents in force must stay.
#[test]
fn missing_keys_change_nothing() {
    let mut fleet = TestFleet::serving(NINE, 5);
    for key in [
        PlatformKey::Root,
        PlatformKey::Hosts,
        PlatformKey::Team("search".into()),
    ] {
        fleet.platform.remove(&key);
    }
    fleet.run_for(seconds(30));
    fleet.expect_everywhere("ordinary");
}
