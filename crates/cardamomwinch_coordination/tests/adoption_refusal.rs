//! Documents that cannot be in force are refused alone.
#![allow(clippy::unwrap_used, missing_docs)]

mod adoption_support;

use std::time;

use adoption_support::documents::{self, FleetShape};
use adoption_support::{FleetHost, TestFleet};
use cardamomwinch_configuration::prelude::FragmentRefusal;
use cardamomwinch_coordination::control::adoption::refusal::{RefusalReason, RefusedDocument};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const SIX: FleetShape = FleetShape {
    domains: 3,
    per_domain: 2,
};

fn settle(fleet: &mut TestFleet) {
    fleet.run_for(time::Duration::from_secs(4));
    fleet.expect_same_state();
}

fn refused(host: &FleetHost) -> Vec<RefusedDocument> {
    host.engine.as_ref().unwrap().refused_fragments()
}

fn services(host: &FleetHost) -> Vec<String> {
    let services = host.snapshot.configuration.services.values();
    let mut names: Vec<String> = services.map(|service| service.name.clone()).collect();
    names.sort();
    names
}

fn conflict_with_search(service: &str) -> FragmentRefusal {
    FragmentRefusal::AddressTaken {
        address: "127.0.0.1:7001".parse().unwrap(),
        claimant: service.into(),
        holder: "search".into(),
    }
}

/// One team publishes a fragment with a syntax error together with another
/// team's good one. The team's service must stay as it was and the other
/// team's change must come into force; on every host, also on those that never
/// read the platform themselves, the refused fragment is named.
#[test]
fn a_malformed_fragment_is_refused_alone() {
    let mut fleet = TestFleet::settled(SIX, 1);
    let bad = fleet.publish_team("vault", "{\"team\": \"vault\",, }");
    fleet.publish_team("search", &documents::fragment("search", "desk", 7005, 9005));
    fleet.publish_root("peak");
    settle(&mut fleet);
    fleet.expect_everywhere("peak");
    for (_, host) in fleet.running() {
        assert_eq!(services(host), ["desk", "docvault"]);
        let [refused] = &refused(host)[..] else {
            panic!("one refusal expected, found {:?}", refused(host));
        };
        assert_eq!(refused.key, PlatformKey::Team("vault".into()));
        assert_eq!(refused.revision, bad);
        assert!(matches!(refused.reason, RefusalReason::Malformed { .. }));
        assert_eq!(host.refusals, std::slice::from_ref(refused), "logged once");
        assert_eq!(host.count(Counter::DocumentRefused), 1);
    }
    fleet.publish_team(
        "vault",
        &documents::fragment("vault", "docvault", 7006, 9006),
    );
    fleet.publish_root("ordinary");
    settle(&mut fleet);
    for (_, host) in fleet.running() {
        assert_eq!(refused(host), [], "the repaired fragment is in force");
        assert!(
            host.snapshot
                .configuration
                .service_at("127.0.0.1:7006".parse().unwrap())
                .is_some()
        );
    }
}

/// A team's newer fragment claims the address of another team. Resolving
/// dropped the team's service altogether, though its last accepted fragment
/// clashed with nobody: all its callers were cut off.
#[test]
fn a_conflicting_fragment_leaves_the_last_accepted_one() {
    let mut fleet = TestFleet::settled(SIX, 2);
    let bad = fleet.publish_team(
        "vault",
        &documents::fragment("vault", "docvault", 7001, 9009),
    );
    fleet.publish_root("peak");
    settle(&mut fleet);
    fleet.expect_everywhere("peak");
    for (_, host) in fleet.running() {
        assert_eq!(services(host), ["desk", "docvault"]);
        let address = "127.0.0.1:7002".parse().unwrap();
        assert!(host.snapshot.configuration.service_at(address).is_some());
        let expected = RefusedDocument {
            key: PlatformKey::Team("vault".into()),
            revision: bad,
            reason: RefusalReason::Conflict {
                refusal: conflict_with_search("docvault"),
            },
        };
        assert_eq!(refused(host), [expected]);
    }
    // The other team gives the address up: the fragment can be in force.
    fleet.publish_team("search", &documents::fragment("search", "desk", 7008, 9001));
    fleet.publish_root("ordinary");
    settle(&mut fleet);
    for (_, host) in fleet.running() {
        assert_eq!(refused(host), []);
        let address = "127.0.0.1:7001".parse().unwrap();
        let service = host.snapshot.configuration.service_at(address).unwrap();
        assert_eq!(service.name, "docvault");
    }
}

/// A host that starts afterwards knows of the last accepted fragment from its
/// peers alone, since the platform only gives the refused one. It must come to
/// the same outcome as the others.
#[parameterized(malformed = { "{" }, conflicting = { r#"{"team": "vault", "presets": {}, "services": {"docvault": {
    "address": "127.0.0.1:7001", "backends": {}}}}"# })]
fn a_host_that_starts_gets_the_last_accepted_fragment_from_peers(bad: &str) {
    let mut fleet = TestFleet::settled(SIX, 3);
    fleet.publish_team("vault", bad);
    fleet.publish_root("peak");
    settle(&mut fleet);
    fleet.kill(1);
    fleet.run_for(time::Duration::from_secs(5));
    fleet.start(1);
    settle(&mut fleet);
    fleet.expect_everywhere("peak");
    assert_eq!(services(&fleet.hosts[1]), ["desk", "docvault"]);
    assert_eq!(refused(&fleet.hosts[1]), refused(&fleet.hosts[0]));
}

/// A team is new to the root document and its first fragment is bad, clashing
/// or not there at all. Only its own services are missing.
#[parameterized(malformed = { Some("[]") }, missing = { None }, conflicting = { Some(r#"{"team": "news",
    "presets": {}, "services": {"notices": {"address": "127.0.0.1:7001", "backends": {}}}}"#) })]
fn only_the_new_team_is_missing(text: Option<&str>) {
    let mut fleet = TestFleet::settled(SIX, 4);
    let mut teams = fleet.platform.team_revisions();
    teams.push(("news".into(), 3));
    if let Some(text) = text {
        fleet.publish_team("news", text);
    }
    let revision = fleet.publish(PlatformKey::Root, &documents::root("peak", &teams));
    fleet.published.insert(revision, "peak".into());
    settle(&mut fleet);
    fleet.expect_everywhere("peak");
    for (_, host) in fleet.running() {
        assert_eq!(services(host), ["desk", "docvault"]);
        let [refused] = &refused(host)[..] else {
            panic!("one refusal expected, found {:?}", refused(host));
        };
        assert_eq!(refused.key, PlatformKey::Team("news".into()));
        match (text, &refused.reason) {
            (Some("[]"), RefusalReason::Malformed { .. }) => {}
            (Some(_), RefusalReason::Conflict { refusal }) => {
                assert_eq!(*refusal, conflict_with_search("notices"));
            }
            (None, RefusalReason::Missing { .. }) => {}
            (_, reason) => panic!("unexpected reason {reason}"),
        }
    }
    if text.is_none() {
        // The fragment appears later, without a new root document.
        fleet.publish_team("news", &documents::fragment("news", "notices", 7009, 9009));
        fleet.run_for(time::Duration::from_secs(6));
        for (_, host) in fleet.running() {
            assert_eq!(services(host), ["desk", "docvault", "notices"]);
            assert_eq!(refused(host), []);
        }
    }
}

/// The root document or the list of hosts is published with an error. All
/// that was in force stays; the next good one comes into force as ever.
#[parameterized(root = { PlatformKey::Root }, hosts = { PlatformKey::Hosts })]
fn a_malformed_shared_document_changes_nothing(key: PlatformKey) {
    let mut fleet = TestFleet::settled(SIX, 5);
    let revision = fleet.publish(key.clone(), "{\"preset\": ");
    settle(&mut fleet);
    fleet.expect_everywhere("ordinary");
    let readers = fleet.readers();
    assert!(!readers.is_empty());
    for reader in readers {
        let [refused] = &refused(&fleet.hosts[reader])[..] else {
            panic!("one refusal expected");
        };
        assert_eq!((&refused.key, refused.revision), (&key, revision));
        assert_eq!(fleet.hosts[reader].refusals.len(), 1, "logged once");
    }
    let hosts = fleet.shape.host_list(|_| true);
    fleet.publish(PlatformKey::Hosts, &hosts);
    fleet.publish_root("peak");
    settle(&mut fleet);
    fleet.expect_everywhere("peak");
    for (_, host) in fleet.running() {
        assert_eq!(refused(host), []);
    }
}

/// Two failure domains are cut from each other and from newer news, and accept
/// fragments that clash with one another. When the cut heals, each team still
/// has a service, and all hosts agree on which.
#[test]
fn clashing_fragments_of_two_sides_end_alike() {
    let mut fleet = TestFleet::settled(SIX, 6);
    fleet.cut = Box::new(|from, to| (from < 2) != (to < 2));
    fleet.cut_platform(|host| host < 2);
    fleet.publish_team(
        "vault",
        &documents::fragment("vault", "docvault", 7007, 9002),
    );
    fleet.publish_root("peak");
    fleet.run_for(time::Duration::from_secs(3));
    fleet.publish_team("search", &documents::fragment("search", "desk", 7007, 9001));
    fleet.publish_root("maintenance");
    fleet.run_for(time::Duration::from_secs(3));
    fleet.cut_platform(|host| host >= 2);
    fleet.run_for(time::Duration::from_secs(12));
    fleet.cut = Box::new(|_, _| false);
    settle(&mut fleet);
    fleet.expect_everywhere("maintenance");
    let first = fleet.hosts[0].snapshot.configuration.clone();
    for (_, host) in fleet.running() {
        assert_eq!(services(host), ["desk", "docvault"]);
        assert_eq!(*host.snapshot.configuration, *first);
        assert_eq!(
            host.snapshot.version(),
            ConfigurationVersion::new(first.version.get())
        );
    }
}
