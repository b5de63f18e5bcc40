//! The traffic engine handles copies of requests as the specification requires.
//!
//! Random steps are replayed into two engines. Each copy that reaches the home
//! must have one of the outcomes that the specification allows for what that
//! home remembers. The properties of the specification must hold for what the
//! server ran and for what the caller received.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::cell;
use std::collections;
use std::time;

use cardamomwinch_model::homes::CopyOutcome;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use crate::support::{SmallWorld, UnderWay, VisibleOutcome, WorldLayout};

const CASES: u32 = 2_000;
const REQUESTS: u16 = 4;
/// Enough room, so that no request waits and none is refused.
const ROOMY: WorldLayout = WorldLayout {
    slots: 100,
    connections: 100,
};

/// With one slot, requests wait.
const ONE_SLOT: WorldLayout = WorldLayout {
    slots: 1,
    connections: 100,
};
/// With one connection, openings are refused.
const ONE_CONNECTION: WorldLayout = WorldLayout {
    slots: 100,
    connections: 1,
};

#[derive(Debug, Clone, Copy)]
enum WorldStep {
    Advance(u64),
    Grant(usize),
    Crash(usize),
    Copy {
        host: usize,
        request: u16,
        opens: bool,
    },
    Begin(prop::sample::Index),
    Shed(prop::sample::Index, usize),
    Lose(prop::sample::Index),
    Answer(prop::sample::Index, usize),
    RepeatShed(prop::sample::Index, usize),
}

fn steps() -> impl Strategy<Value = Vec<WorldStep>> {
    let index = any::<prop::sample::Index>();
    let host = 0..2_usize;
    let copy = (host.clone(), 0..REQUESTS, any::<bool>());
    let step = prop_oneof![
        3 => (1..2_500_u64).prop_map(WorldStep::Advance),
        4 => host.clone().prop_map(WorldStep::Grant),
        1 => host.clone().prop_map(WorldStep::Crash),
        8 => copy.prop_map(|(host, request, opens)| WorldStep::Copy { host, request, opens }),
        3 => index.clone().prop_map(WorldStep::Begin),
        1 => (index.clone(), host.clone()).prop_map(|(at, host)| WorldStep::Shed(at, host)),
        1 => index.clone().prop_map(WorldStep::Lose),
        2 => (index.clone(), host.clone()).prop_map(|(at, host)| WorldStep::Answer(at, host)),
        1 => (index, host).prop_map(|(at, host)| WorldStep::RepeatShed(at, host)),
    ];
    prop::collection::vec(step, 1..60)
}

/// What a host remembers of a request according to the specification, by host and
/// request.
type RememberedOutcomes = collections::BTreeMap<(usize, u16), CopyOutcome>;

struct Replay {
    world: SmallWorld,
    far_deadlines: bool,
    remembered: RememberedOutcomes,
    headers: collections::BTreeMap<u16, RequestHeader>,
    begun: Vec<UnderWay>,
    shed: Vec<UnderWay>,
    shown: Vec<CopyOutcome>,
}

impl Replay {
    fn new(layout: WorldLayout, far_deadlines: bool) -> Self {
        Self {
            world: SmallWorld::new(layout),
            far_deadlines,
            remembered: RememberedOutcomes::new(),
            headers: collections::BTreeMap::new(),
            begun: Vec::new(),
            shed: Vec::new(),
            shown: Vec::new(),
        }
    }

    /// Returns the header of a request, whose deadline is set when it is first
    /// sent. Request 1 may run twice, request 2 is sent by a caller whose clock is
    /// ahead by the skew, and the deadline of request 3 may be too far away.
    fn header(&mut self, request: u16) -> RequestHeader {
        let limits = &self.world.limits;
        let beyond = match request {
            2 => limits.clock_skew,
            3 if self.far_deadlines => limits.home_lease * 3,
            _ => time::Duration::ZERO,
        };
        let deadline = self.world.now.after(limits.request_lifetime + beyond);
        *self.headers.entry(request).or_insert(RequestHeader {
            id: RequestId::new(u64::from(request)),
            idempotent: request == 1,
            deadline,
        })
    }

    fn apply(&mut self, step: WorldStep) -> Result<(), TestCaseError> {
        match step {
            WorldStep::Advance(milliseconds) => {
                let seen = self
                    .world
                    .advance(time::Duration::from_millis(milliseconds));
                // Only a home may send a waiting request.
                self.check_dispatch(&seen)?;
                let dispatched = seen.dispatched;
                let only_dispatched = VisibleOutcome {
                    dispatched,
                    ..VisibleOutcome::default()
                };
                prop_assert_eq!(seen, only_dispatched);
            }
            WorldStep::Grant(host) => {
                self.world.grant(host);
            }
            WorldStep::Crash(host) => {
                self.world.crash(host);
                self.remembered.retain(|(holder, _), _| *holder != host);
            }
            WorldStep::Copy {
                host,
                request,
                opens,
            } => self.apply_copy(host, request, opens)?,
            WorldStep::Begin(at) => {
                if let Some(position) = position_in(&at, self.world.under_way.len()) {
                    self.begun.extend(self.world.begin(position));
                }
            }
            WorldStep::Lose(at) => {
                if let Some(position) = position_in(&at, self.world.under_way.len()) {
                    self.world.under_way.remove(position);
                }
            }
            WorldStep::Shed(at, host) => {
                if let Some(position) = position_in(&at, self.world.under_way.len()) {
                    let dispatch = self.world.under_way.remove(position);
                    self.shed.push(dispatch);
                    let seen = self.world.reply(host, &dispatch, true);
                    self.check_dispatch(&seen)?;
                }
            }
            WorldStep::RepeatShed(at, host) => {
                if let Some(position) = position_in(&at, self.shed.len()) {
                    let dispatch = self.shed[position];
                    let seen = self.world.reply(host, &dispatch, true);
                    self.check_dispatch(&seen)?;
                }
            }
            WorldStep::Answer(at, host) => {
                if let Some(position) = position_in(&at, self.begun.len()) {
                    let dispatch = self.begun[position];
                    let seen = self.world.reply(host, &dispatch, false);
                    prop_assert_eq!(seen.answered, 1);
                    self.check_dispatch(&seen)?;
                }
            }
        }
        self.check_outcomes()
    }

    fn apply_copy(&mut self, host: usize, request: u16, opens: bool) -> Result<(), TestCaseError> {
        let header = self.header(request);
        let flow = support::flow(request);
        let datagram = match opens {
            true => CallerDatagram::open(flow, b"new"),
            false => CallerDatagram::carry(flow, None, b"more"),
        };
        let home = self.world.home();
        let mut seen = self.world.copy(host, datagram.with_request(header));
        if opens {
            // An opening reaches the server even if its request does not.
            seen.forwarded = 0;
        }
        let Some(home) = home else {
            prop_assert_eq!(
                seen.not_run,
                0,
                "only a home says that a request was not run"
            );
            prop_assert_eq!(seen.dispatched, 0, "only a home dispatches");
            return Ok(());
        };
        let remembered = self.remembered.get(&(home, request)).copied();
        let facts = self.world.facts(home, &header, remembered.is_some());
        let mut allowed = facts.outcomes().to_vec();
        if header.idempotent && self.world.predates(home, &header) {
            // The request may run again, but "not run" must not be sent if an
            // earlier home may have run it.
            for outcome in &mut allowed {
                if *outcome == CopyOutcome::Refuse {
                    *outcome = CopyOutcome::OutcomeUnknown;
                }
            }
        }
        if remembered.is_some() && facts.past_deadline {
            // The record may be dropped once no copy can be accepted any more.
            allowed.push(CopyOutcome::Late);
        }
        let shown = allowed.iter().find(|outcome| seen.shows(**outcome));
        prop_assert!(
            shown.is_some(),
            "{:?} is none of {:?}, {:?}",
            seen,
            allowed,
            facts
        );
        self.shown.extend(shown);
        if remembered == Some(CopyOutcome::Refuse) && !facts.past_deadline {
            prop_assert_eq!(seen.not_run, 1, "a refusal is repeated");
        }
        match shown {
            // These add no record. What a refused attempt leaves behind shows in
            // the next copy.
            Some(CopyOutcome::Repeat | CopyOutcome::Late | CopyOutcome::OutcomeUnknown) | None => {}
            Some(outcome) => {
                self.remembered.insert((home, request), *outcome);
            }
        }
        Ok(())
    }

    fn check_dispatch(&self, seen: &VisibleOutcome) -> Result<(), TestCaseError> {
        let has_home = self.world.home().is_some();
        prop_assert!(seen.dispatched == 0 || has_home, "sent without a lease");
        Ok(())
    }

    fn check_outcomes(&self) -> Result<(), TestCaseError> {
        for (request, header) in &self.headers {
            let outcome = self
                .world
                .outcomes
                .get(&header.id)
                .copied()
                .unwrap_or_default();
            prop_assert!(
                header.idempotent || outcome.runs <= 1,
                "{} ran twice",
                request
            );
            let true_refusal = header.idempotent || !outcome.received_not_run || outcome.runs == 0;
            prop_assert!(true_refusal, "{} ran although refused", request);
        }
        Ok(())
    }
}

/// Returns the position of `index` in a list of `length`, or `None` if the list
/// is empty.
fn position_in(index: &prop::sample::Index, length: usize) -> Option<usize> {
    (length > 0).then(|| index.index(length))
}

/// A runner whose cases are the same on every run.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::XorShift, &[5; 16]);
    TestRunner::new_with_rng(config, random)
}

#[yare::parameterized(
    roomy = { ROOMY, false },
    one_slot = { ONE_SLOT, false },
    one_connection = { ONE_CONNECTION, false },
    far_deadlines = { ROOMY, true },
)]
fn copies_are_handled_as_specified(layout: WorldLayout, far_deadlines: bool) {
    let shown = cell::RefCell::new(Vec::new());
    let runs = cell::Cell::new(0);
    let outcome = runner().run(&steps(), |steps| {
        let mut replay = Replay::new(layout, far_deadlines);
        for step in steps {
            replay.apply(step)?;
        }
        shown.borrow_mut().append(&mut replay.shown);
        runs.set(runs.get() + replay.begun.len());
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    // The steps are the same on every run. Each outcome must occur often enough
    // for the test to mean something.
    let shown = shown.into_inner();
    let count = |wanted| shown.iter().filter(|outcome| **outcome == wanted).count();
    println!("{} copies at a home, {} runs", shown.len(), runs.get());
    let mut wanted = vec![
        CopyOutcome::Dispatch,
        CopyOutcome::OutcomeUnknown,
        CopyOutcome::Repeat,
        CopyOutcome::Late,
    ];
    if layout.slots == 1 {
        wanted.push(CopyOutcome::Queue);
    }
    if layout.connections == 1 {
        wanted.push(CopyOutcome::Refuse);
    }
    for outcome in wanted {
        println!("{outcome:?}: {}", count(outcome));
        assert!(count(outcome) > 50, "{outcome:?} hardly ever occurs");
    }
}
