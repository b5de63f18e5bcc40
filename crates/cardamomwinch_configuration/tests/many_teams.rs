//! Many teams claim a few names and addresses at random, from a fixed seed.
#![allow(clippy::unwrap_used, missing_docs)]

use std::cell::Cell;

use cardamomwinch_configuration::prelude::*;
use cardamomwinch_state::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 300;
const TEAMS: usize = 6;
const NAMES: usize = 8;
const ADDRESSES: u16 = 20;

/// What one team claims: its revision, and services by name, address and the
/// address of the only backend server.
type TeamClaims = (u64, Vec<(usize, u16, u16)>);

fn fragments(claims: &[TeamClaims]) -> Vec<AcceptedFragment> {
    let fragments = claims.iter().enumerate().filter_map(|(team, (revision, services))| {
        let services = services.iter().map(|(name, public, backend)| {
            format!(r#""s{name}": {{"address": "127.0.0.1:{public}", "backends": {{"b": {{"domain": "d", "address": "127.0.0.1:{backend}"}}}}}}"#)
        });
        let services = services.collect::<Vec<_>>().join(",");
        let text = format!(r#"{{"team": "t{team}", "services": {{{services}}}}}"#);
        // A fragment with errors of its own is not passed to `resolve`.
        let fragment = TeamFragment::parse("f", &text).ok()?;
        let revision = FragmentRevision::new(*revision);
        Some(AcceptedFragment { team: format!("t{team}"), revision, fragment })
    });
    fragments.collect()
}

fn root() -> RootDocument {
    let teams = (0..TEAMS).map(|team| (format!("t{team}"), FragmentRevision::ZERO));
    RootDocument {
        preset: "ordinary".to_owned(),
        teams: teams.collect(),
        limits: ConfigurationLimits::default(),
    }
}

/// Hosts receive the fragments in different orders. If the outcome depended on
/// the order, two hosts would have different services under one version. If two
/// conflicting fragments were both in force, a datagram could reach the wrong
/// service.
#[test]
fn every_host_resolves_alike_and_no_claim_is_held_twice() {
    let service = (0..NAMES, 1..ADDRESSES, 1..ADDRESSES);
    let team = (0_u64..4, prop::collection::vec(service, 0..3));
    let teams = prop::collection::vec(team, TEAMS);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::XorShift, &[11; 16]);
    let refusals = Cell::new(0);
    let held_services = Cell::new(0);
    let outcome = TestRunner::new_with_rng(config, random).run(
        &(teams, any::<prop::sample::Index>()),
        |(teams, rotation)| {
            let mut fragments = fragments(&teams);
            let resolution = resolve(&root(), ConfigurationVersion::ZERO, &fragments);
            if !fragments.is_empty() {
                let rotation = rotation.index(fragments.len());
                fragments.rotate_left(rotation);
            }
            fragments.reverse();
            prop_assert_eq!(
                &resolve(&root(), ConfigurationVersion::ZERO, &fragments),
                &resolution
            );

            let refused = |team: &str| {
                resolution
                    .refused
                    .iter()
                    .any(|refused| refused.team == team)
            };
            let accepted: Vec<_> = fragments
                .iter()
                .filter(|fragment| !refused(&fragment.team))
                .collect();
            let claimed: usize = accepted
                .iter()
                .map(|accepted| accepted.fragment.services.len())
                .sum();
            let configuration = &resolution.configuration;
            prop_assert_eq!(configuration.services.len(), claimed);
            prop_assert_eq!(configuration.addresses.len(), claimed);
            prop_assert_eq!(configuration.backends.len(), claimed);
            let backends = configuration
                .backends
                .values()
                .map(|backend| backend.address);
            let mut addresses: Vec<_> = backends
                .chain(configuration.addresses.keys().copied())
                .collect();
            addresses.sort();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), 2 * claimed);

            // Without the refused fragments nothing changes for the others.
            let rest: Vec<_> = accepted.into_iter().cloned().collect();
            let alone = resolve(&root(), ConfigurationVersion::ZERO, &rest);
            prop_assert_eq!(&alone.configuration, configuration);
            prop_assert!(alone.refused.is_empty());
            refusals.set(refusals.get() + resolution.refused.len());
            held_services.set(held_services.get() + claimed);
            Ok(())
        },
    );
    outcome.unwrap();
    assert!(refusals.get() > 100, "hardly any case had a conflict");
    assert!(held_services.get() > 100, "hardly any case had a service");
}
