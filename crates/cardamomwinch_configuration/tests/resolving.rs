//! Resolving fragments of many teams, and comparing the outcomes.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_configuration::collision::{self, IdentifiedName, NameCollision};
use cardamomwinch_configuration::compare::{AddressRole, BackendLocation};
use cardamomwinch_configuration::prelude::*;
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const VERSION: ConfigurationVersion = ConfigurationVersion::new(7);

fn root(preset: &str) -> RootDocument {
    let text =
        format!(r#"{{"preset": "{preset}", "teams": {{"search": 1, "vault": 2, "desk": 3}}}}"#);
    RootDocument::parse("root", &text).unwrap()
}

fn accepted(team: &str, revision: u64, services: &str) -> AcceptedFragment {
    let text = format!(r#"{{"team": "{team}", "services": {{{services}}}, "presets": {{}}}}"#);
    parsed(team, revision, &text)
}

fn parsed(team: &str, revision: u64, text: &str) -> AcceptedFragment {
    AcceptedFragment {
        team: team.to_owned(),
        revision: FragmentRevision::new(revision),
        fragment: TeamFragment::parse(team, text).unwrap(),
    }
}

fn service(name: &str, port: u16, backends: &[(&str, u16, &str)]) -> String {
    let backends = backends.iter().map(|(name, port, rest)| {
        format!(r#""{name}": {{"domain": "bud-angyal", "address": "127.0.0.1:{port}"{rest}}}"#)
    });
    let backends = backends.collect::<Vec<_>>().join(", ");
    format!(r#""{name}": {{"address": "127.0.0.1:{port}", "backends": {{{backends}}}}}"#)
}

fn in_force(services: &str) -> InForceConfiguration {
    let fragments = [accepted("search", 1, services)];
    let resolution = resolve(&root("ordinary"), VERSION, &fragments);
    assert_eq!(resolution.refused, []);
    resolution.configuration
}

/// Two teams independently claim the same resource. The later fragment is
/// refused. The earlier one and that of an uninvolved team stay in force, in
/// whatever order the host received them.
#[parameterized(
    service_name = { "benchmark-desk", 7002, 9002,
        FragmentRefusal::ServiceNameTaken { service: "benchmark-desk".into(), holder: "search".into() } },
    service_address = { "docvault", 7001, 9002,
        FragmentRefusal::AddressTaken { address: "127.0.0.1:7001".parse().unwrap(), claimant: "docvault".into(), holder: "search".into() } },
    backend_address = { "docvault", 7002, 9001,
        FragmentRefusal::AddressTaken { address: "127.0.0.1:9001".parse().unwrap(), claimant: "dv-1".into(), holder: "search".into() } },
    backend_address_of_service = { "docvault", 7002, 7001,
        FragmentRefusal::AddressTaken { address: "127.0.0.1:7001".parse().unwrap(), claimant: "dv-1".into(), holder: "search".into() } },
)]
fn the_later_claim_is_refused_alone(name: &str, port: u16, backend: u16, reason: FragmentRefusal) {
    let search = accepted(
        "search",
        4,
        &service("benchmark-desk", 7001, &[("bd-1", 9001, "")]),
    );
    let vault = accepted("vault", 5, &service(name, port, &[("dv-1", backend, "")]));
    let desk = accepted("desk", 6, &service("notices", 7003, &[("n-1", 9003, "")]));
    let expected = resolve(&root("ordinary"), VERSION, &[search.clone(), desk.clone()]);
    assert_eq!(expected.configuration.services.len(), 2);
    for order in [
        [&search, &vault, &desk],
        [&desk, &vault, &search],
        [&vault, &desk, &search],
    ] {
        let fragments = order.map(Clone::clone);
        let resolution = resolve(&root("ordinary"), VERSION, &fragments);
        assert_eq!(resolution.configuration, expected.configuration);
        let refused = RefusedFragment {
            team: "vault".into(),
            revision: FragmentRevision::new(5),
            reason: reason.clone(),
        };
        assert_eq!(resolution.refused, [refused]);
    }
}

#[test]
fn of_equal_revisions_the_greater_team_name_is_refused() {
    let search = accepted("search", 4, &service("a", 7001, &[]));
    let vault = accepted("vault", 4, &service("a", 7002, &[]));
    let resolution = resolve(&root("ordinary"), VERSION, &[vault, search]);
    assert_eq!(resolution.refused[0].team, "vault");
}

/// Team vault conflicts with team search and is refused. Team desk claims a name
/// that otherwise only vault claims. If desk were refused too, the mistake of
/// one team would cost another its service.
#[test]
fn a_refused_fragment_holds_nothing() {
    let search = accepted("search", 1, &service("a", 7001, &[]));
    let two = format!("{}, {}", service("a", 7002, &[]), service("b", 7003, &[]));
    let vault = accepted("vault", 2, &two);
    let desk = accepted("desk", 3, &service("b", 7004, &[]));
    let resolution = resolve(&root("ordinary"), VERSION, &[desk, vault, search]);
    assert_eq!(resolution.refused.len(), 1);
    assert_eq!(resolution.refused[0].team, "vault");
    assert_eq!(resolution.configuration.services.len(), 2);
}

#[test]
fn fragments_without_a_listed_team_are_refused() {
    let unlisted = accepted("unlisted", 1, &service("a", 7001, &[]));
    let mut other = accepted("vault", 1, &service("b", 7002, &[]));
    other.team = "search".into();
    let twice = [
        accepted("desk", 1, &service("c", 7003, &[])),
        accepted("desk", 2, ""),
    ];
    let fragments = [vec![unlisted, other], twice.to_vec()].concat();
    let resolution = resolve(&root("ordinary"), VERSION, &fragments);
    let reasons: Vec<_> = resolution
        .refused
        .into_iter()
        .map(|refused| refused.reason)
        .collect();
    let mismatch = FragmentRefusal::TeamMismatch {
        named: "vault".into(),
    };
    assert_eq!(
        reasons,
        [
            FragmentRefusal::TeamRepeated,
            mismatch,
            FragmentRefusal::NotListed
        ]
    );
    assert_eq!(resolution.configuration.services.len(), 1);
}

#[parameterized(
    no_overrides = { "ordinary", 100, BackendPhase::Active, 2 },
    unmentioned = { "maintenance", 100, BackendPhase::Active, 2 },
    overridden = { "deadline-peak", 0, BackendPhase::Draining, 4 },
)]
fn exactly_one_preset_applies(preset: &str, weight: u32, phase: BackendPhase, slots: u32) {
    let service = service("benchmark-desk", 7001, &[("bd-1", 9001, "")]);
    let text = format!(
        r#"{{"team": "search", "services": {{{service}}}, "presets": {{"ordinary": {{}},
        "deadline-peak": {{"benchmark-desk": {{"bd-1": {{"weight": 0, "phase": "draining", "slots": 4}}}}}}}}}}"#
    );
    let resolution = resolve(&root(preset), VERSION, &[parsed("search", 1, &text)]);
    let configuration = resolution.configuration;
    assert_eq!(configuration.preset, preset);
    assert_eq!(configuration.version, VERSION);
    let service = configuration
        .service_at("127.0.0.1:7001".parse().unwrap())
        .unwrap();
    let backend = configuration.backends_of(service.id).next().unwrap();
    assert_eq!(backend.weight, Weight::new(weight));
    assert_eq!(backend.phase, phase);
    assert_eq!(backend.slots, SlotCount::new(slots));
    assert_eq!(backend.connections, ConnectionCount::new(2000));
    assert_eq!(
        resolution.domain_names.get(&backend.domain).unwrap(),
        "bud-angyal"
    );
    assert_eq!(resolution.team_names.get(&service.team).unwrap(), "search");
}

#[test]
fn colliding_names_are_found() {
    let named = |id: u8, name: &str| IdentifiedName {
        id,
        name: name.to_owned(),
    };
    let names = vec![named(2, "c"), named(1, "b"), named(1, "a"), named(1, "a")];
    let expected = NameCollision {
        first: "a".into(),
        second: "b".into(),
    };
    assert_eq!(collision::find_collisions(names), [expected]);
}

#[test]
fn equal_configurations_do_not_differ() {
    let configuration = in_force(&service("a", 7001, &[("a-1", 9001, "")]));
    assert!(compare(&configuration, &configuration).is_empty());
}

#[test]
fn shares_follow_weights_of_servers_that_accept_new_flows() {
    let old = in_force(&service("a", 7001, &[("a-1", 9001, ""), ("a-2", 9002, "")]));
    let draining = r#", "phase": "draining""#;
    let new = in_force(&service(
        "a",
        7001,
        &[
            ("a-1", 9001, r#", "weight": 200"#),
            ("a-2", 9002, draining),
            ("a-3", 9003, ""),
        ],
    ));
    let difference = compare(&old, &new);
    let shares = difference.shares[0].backends.iter();
    let shares: Vec<_> = shares
        .map(|change| {
            format!(
                "{} {} {}",
                change.backend, change.share.old, change.share.new
            )
        })
        .collect();
    assert_eq!(
        shares,
        ["a-1 50.00% 66.67%", "a-2 50.00% 0.00%", "a-3 0.00% 33.33%"]
    );
    let changed: Vec<_> = difference
        .backends_changed
        .iter()
        .map(|change| &change.backend)
        .collect();
    assert_eq!(changed, ["a-1", "a-2"]);
    assert_eq!(difference.backends_added.len(), 1);
    assert_eq!("66.67%".parse::<FlowShare>().unwrap(), FlowShare::new(6667));
}

/// A change gives the addresses of service a to service b. A caller that still
/// uses the old address, or a late datagram, would reach b. The comparison
/// lists both addresses so that an operator sees this beforehand.
#[test]
fn reassigned_addresses_are_named() {
    let old = in_force(&service("a", 7001, &[("a-1", 9001, "")]));
    let new = in_force(&service("b", 7001, &[("b-1", 9001, "")]));
    let difference = compare(&old, &new);
    let roles: Vec<_> = difference
        .addresses_reassigned
        .iter()
        .map(|danger| danger.role)
        .collect();
    assert_eq!(roles, [AddressRole::Service, AddressRole::BackendServer]);
    assert_eq!(difference.services_removed[0].service, "a");
    assert!(difference.backends_removed[0].accepts_new_flows);
}

#[test]
fn moves_and_missing_servers_are_named() {
    let old = in_force(&service("a", 7001, &[("a-1", 9001, ""), ("a-2", 9002, "")]));
    let new = in_force(&service("a", 7002, &[("a-1", 9003, r#", "weight": 0"#)]));
    let difference = compare(&old, &new);
    assert_eq!(difference.services_moved[0].address.new.port(), 7002);
    assert_eq!(difference.backends_moved[0].address.new.port(), 9003);
    assert_eq!(difference.services_without_backends, ["a"]);
    let expected = BackendLocation {
        service: "a".into(),
        backend: "a-2".into(),
        address: "127.0.0.1:9002".parse().unwrap(),
    };
    assert_eq!(difference.backends_removed[0].location, expected);
    assert_eq!(difference.backends_added, []);
}
