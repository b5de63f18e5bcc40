//! The accepted state is a join-semilattice.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_configuration::host_list;
use cardamomwinch_coordination::control::adoption::accepted::AcceptedState;
use cardamomwinch_coordination::control::adoption::document::{HeldFragment, HeldRoot};
use cardamomwinch_coordination::control::adoption::host_lists::HeldHosts;
use cardamomwinch_coordination::control::adoption::selection;
use cardamomwinch_protocol::peer::configuration::PublishedText;
use cardamomwinch_state::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TEAMS: [&str; 3] = ["search", "vault", "news"];

fn fragment(team: &str, revision: u64, variant: u64) -> HeldFragment {
    // Variant 0 is malformed; the others use one of a few addresses.
    let text = match variant {
        0 => "{".to_owned(),
        _ => format!(
            r#"{{"team": "{team}", "presets": {{}}, "services": {{"{team}-service": {{
            "address": "127.0.0.1:{}", "backends": {{}}}}}}}}"#,
            7000 + variant
        ),
    };
    HeldFragment::read(team, PublishedText { revision, text })
}

fn root(revision: u64, preset: u64) -> HeldRoot {
    let text = format!(
        r#"{{"preset": "preset-{preset}", "teams": {{"search": 1, "vault": 1, "news": 1}}}}"#
    );
    HeldRoot::read(PublishedText { revision, text }).unwrap()
}

fn hosts(revision: u64, count: u64) -> HeldHosts {
    let entries = (1..=count).map(|host| {
        format!(
            r#""host-{host}": {{"domain": "here", "traffic_address": "127.0.0.{host}:1",
            "relay_address": "127.0.0.{host}:2", "peer_address": "127.0.0.{host}:3"}}"#
        )
    });
    let text = format!(
        r#"{{"hosts": {{{}}}}}"#,
        entries.collect::<Vec<_>>().join(",")
    );
    HeldHosts::new(host_list::parse("hosts", &text, HostListVersion::new(revision)).unwrap())
}

/// The effect of one published document on a state.
#[derive(Debug, Clone, Copy)]
enum Step {
    Root(u64, u64),
    Hosts(u64, u64),
    Note(usize, u64, u64),
    Accept(usize, u64, u64),
}

fn build(steps: &[Step]) -> AcceptedState {
    let mut state = AcceptedState::default();
    for step in steps {
        match *step {
            Step::Root(revision, preset) => state.merge_root(root(revision, preset)),
            Step::Hosts(revision, count) => {
                state.hosts.replace_if_newer(hosts(revision, count));
            }
            Step::Note(team, revision, variant) => {
                let held = fragment(TEAMS[team], revision, variant);
                state.team_mut(TEAMS[team]).record_published(&held);
            }
            Step::Accept(team, revision, variant) => {
                let held = fragment(TEAMS[team], revision, variant + 1);
                state.team_mut(TEAMS[team]).accept(&held);
            }
        }
    }
    state
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1..5_u64, 0..2_u64).prop_map(|(revision, preset)| Step::Root(revision, preset)),
        (1..5_u64, 1..4_u64).prop_map(|(revision, count)| Step::Hosts(revision, count)),
        (0..3_usize, 1..6_u64, 0..4_u64)
            .prop_map(|(team, revision, variant)| Step::Note(team, revision, variant)),
        (0..3_usize, 1..6_u64, 0..3_u64)
            .prop_map(|(team, revision, variant)| Step::Accept(team, revision, variant)),
    ];
    proptest::collection::vec(step, 0..12)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn joined(left: &AcceptedState, right: &AcceptedState) -> AcceptedState {
    let mut joined = left.clone();
    joined.merge(right);
    joined
}

/// Whether each part of `high` is at least as new as that of `low`.
fn covers(high: &AcceptedState, low: &AcceptedState) -> bool {
    let team_covers = |(name, team): (&String, &_)| {
        let team: &cardamomwinch_coordination::control::adoption::accepted::TeamFragments = team;
        let held = high.teams.get(name).unwrap();
        let newest = |team: &Option<HeldFragment>| team.as_ref().map(|held| held.stamp);
        newest(&held.newest) >= newest(&team.newest)
            && held.accepted.first().map(|held| held.stamp)
                >= team.accepted.first().map(|held| held.stamp)
    };
    high.root_stamp() >= low.root_stamp()
        && high.hosts.stamp() >= low.hosts.stamp()
        && low.teams.iter().all(team_covers)
}

#[test]
fn merging_is_a_join() {
    let states = (steps(), steps(), steps());
    runner()
        .run(&states, |(first, second, third)| {
            let [a, b, c] = [first, second, third].map(|steps| build(&steps));
            let ab = joined(&a, &b);
            prop_assert_eq!(&ab, &joined(&b, &a), "commutative");
            prop_assert_eq!(joined(&ab, &c), joined(&a, &joined(&b, &c)), "associative");
            prop_assert_eq!(&joined(&a, &a), &a, "idempotent");
            prop_assert_eq!(&joined(&ab, &b), &ab, "absorbing");
            prop_assert!(covers(&ab, &a) && covers(&ab, &b), "keeps newer parts");
            prop_assert_eq!(
                ab == a,
                ab.digest() == a.digest(),
                "states differ exactly if their digests do"
            );
            prop_assert_eq!(
                ab != a,
                a.lacks(&b.known()),
                "stamps suffice to find what is missing"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn equal_states_select_alike_and_without_conflicts() {
    let states = (steps(), steps());
    runner()
        .run(&states, |(first, second)| {
            let (a, b) = (build(&first), build(&second));
            let (ab, ba) = (joined(&a, &b), joined(&b, &a));
            let Some(root) = &ab.root else {
                return Ok(());
            };
            let chosen = selection::select(root, &ab);
            let other = selection::select(root, &ba);
            prop_assert_eq!(&chosen.resolution, &other.resolution);
            prop_assert_eq!(&chosen.refused, &other.refused);
            prop_assert_eq!(
                &chosen.resolution.refused[..],
                &[],
                "no conflict between fragments in force"
            );
            for (team, held) in &chosen.chosen {
                prop_assert!(held.is_well_formed(), "{} has a malformed fragment", team);
            }
            Ok(())
        })
        .unwrap();
}

/// A host that applies the difference offered by a peer has the joined state.
#[test]
fn an_offer_contains_all_that_is_missing() {
    let states = (steps(), steps());
    runner()
        .run(&states, |(first, second)| {
            let (mut own, peer) = (build(&first), build(&second));
            let expected = joined(&own, &peer);
            let offer = peer.difference(&own.known(), Timestamp::ZERO, true);
            if let Some(root) = offer.root {
                own.merge_root(HeldRoot::read(root).unwrap());
            }
            for offered in offer.fragments {
                let held = HeldFragment::read(&offered.team, offered.document);
                let team = own.team_mut(&offered.team);
                match offered.accepted {
                    true => team.accept(&held),
                    false => team.record_published(&held),
                }
            }
            if let Some(hosts) = offer.hosts {
                let hosts = own.hosts.assemble(&hosts);
                prop_assert!(hosts.is_some(), "the changes apply");
                own.hosts.replace_if_newer(hosts.unwrap());
            }
            prop_assert_eq!(own, expected);
            Ok(())
        })
        .unwrap();
}
