//! Who is home of one shard, and what becomes of one request that must not run
//! twice.
//!
//! Time is discrete. All timers count down together, and a timer that has
//! reached zero has run out. A host takes its steps whenever it likes, so that
//! a process that is paused and wakes late is one that takes no step for some
//! ticks. A message that is lost is a step that is never taken; one that is
//! doubled or late is a step taken again or later, with what the message says
//! fixed at its sending.

mod leases;
mod mistake;
mod requests;
mod state;
mod symmetry;

use std::fmt;

pub use crate::homes::leases::{RunningGrant, VoterFacts};
pub use crate::homes::mistake::HomeMistake;
pub use crate::homes::requests::{CopyFacts, CopyOutcome};
pub use crate::homes::state::{
    CandidateState, DISPATCH_COUNT, DispatchState, HomeState, Inheritance, RequestPhase,
    RequestRecord, VoterState,
};

use crate::search::Specification;

/// A process that votes; the first ones may also hold the lease.
pub type ProcessIndex = u8;

/// The number of processes that vote for the shard.
pub const VOTER_COUNT: usize = 3;

/// What must hold of homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HomeProperty {
    /// Never two hosts hold the lease.
    OneHolder,
    /// The request never runs twice.
    RunsOnce,
    /// A request that was answered "not run" neither ran nor runs.
    NotRunIsTrue,
    /// The request does not begin to run on behalf of an earlier home while a
    /// later one, which does not know of the run, decides about the server.
    OneDispatcher,
    /// Each copy that reaches a home is answered, or its answer is under way.
    CopyAnswered,
    /// While a majority of voters and a candidate are up, a home can emerge.
    HomeEmerges,
}

impl fmt::Display for HomeProperty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// How much of the world is searched. Times are in ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBounds {
    /// Processes that may hold the lease; the rest of the voters are witnesses.
    pub candidates: u8,
    /// How long a voter's grant runs.
    pub lease: u8,
    /// By how much the clocks of two processes may differ.
    pub skew: u8,
    /// The longest time between the sending of the request and its deadline;
    /// zero where no request is ever sent.
    pub lifetime: u8,
    /// How far beyond what is allowed a wrong caller puts its deadline.
    pub excess: u8,
    /// Crashes that may happen.
    pub crashes: u8,
    /// Planned hand-overs that may be begun.
    pub hand_overs: u8,
    /// Whether a home may refuse the request for want of room.
    pub refusals: bool,
    /// Whether a request may wait for a slot.
    pub queues: bool,
    /// Whether a voter may be reached by an ask that is late or doubled.
    pub late_asks: bool,
    /// Whether the server may shed the request, which may be tried once more.
    pub sheds: bool,
}

impl HomeBounds {
    /// Worlds that take seconds to search.
    pub const ALL: [(&'static str, Self); 3] = [
        ("homes, leases only", Self::leases_only()),
        ("homes, request and crash", Self::request_and_crash()),
        ("homes, request never refused", Self::without_refusals()),
    ];

    /// Worlds that take minutes to search.
    pub const LARGE: [(&'static str, Self); 3] = [
        ("homes, request", Self::with_request()),
        (
            "homes, request and hand-over, longer lease",
            Self {
                lease: 3,
                lifetime: 4,
                excess: 0,
                crashes: 0,
                late_asks: false,
                ..Self::without_refusals()
            },
        ),
        ("homes, three hosts, two hand-overs", Self::three_hosts()),
    ];

    /// Two hosts and a witness without a request.
    pub const fn leases_only() -> Self {
        Self {
            candidates: 2,
            lease: 3,
            skew: 1,
            lifetime: 0,
            excess: 0,
            crashes: 2,
            hand_overs: 1,
            refusals: false,
            queues: false,
            late_asks: true,
            sheds: false,
        }
    }

    /// Two hosts, a witness and one request.
    pub const fn with_request() -> Self {
        Self {
            lifetime: 3,
            excess: 3,
            lease: 2,
            crashes: 1,
            refusals: true,
            queues: true,
            sheds: true,
            ..Self::leases_only()
        }
    }

    /// The same world, in which no ask is late or doubled.
    pub const fn on_time(self) -> Self {
        Self {
            late_asks: false,
            ..self
        }
    }

    /// Two hosts, a witness and one request; a lease is long enough to be
    /// renewed without a gap, and nothing is handed over.
    pub const fn request_and_crash() -> Self {
        Self {
            lease: 3,
            hand_overs: 0,
            queues: false,
            late_asks: false,
            ..Self::with_request()
        }
    }

    /// Three hosts and two hand-overs without a crash; no message is late.
    pub const fn three_hosts() -> Self {
        Self {
            candidates: 3,
            excess: 0,
            queues: false,
            late_asks: false,
            ..Self::handed_over_twice()
        }
    }

    /// Like [`Self::without_refusals`] with two hand-overs and no crash.
    pub const fn handed_over_twice() -> Self {
        Self {
            hand_overs: 2,
            crashes: 0,
            ..Self::without_refusals()
        }
    }

    /// Like [`Self::with_request`], but that the request is never refused.
    pub const fn without_refusals() -> Self {
        Self {
            excess: 0,
            refusals: false,
            sheds: false,
            ..Self::with_request()
        }
    }
}

/// The specification of homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeSpecification {
    pub(crate) bounds: HomeBounds,
    pub(crate) mistake: Option<HomeMistake>,
    symmetric: bool,
}

impl HomeSpecification {
    /// The specification without a mistake.
    pub const fn new(bounds: HomeBounds) -> Self {
        Self {
            bounds,
            mistake: None,
            symmetric: true,
        }
    }

    /// The same specification, in which hosts keep their numbers, so that a
    /// trace can be read. More states are searched.
    #[must_use]
    pub const fn numbered(mut self) -> Self {
        self.symmetric = false;
        self
    }

    /// The same specification with one rule left out. Only the property that
    /// the rule is for is judged, since others may fail on a shorter way.
    #[must_use]
    pub const fn with_mistake(mut self, mistake: HomeMistake) -> Self {
        self.mistake = Some(mistake);
        self.numbered()
    }

    pub(crate) fn makes(&self, mistake: HomeMistake) -> bool {
        self.mistake == Some(mistake)
    }

    pub(crate) const fn belief(&self) -> u8 {
        self.bounds.lease - self.bounds.skew
    }

    pub(crate) fn candidates(&self) -> std::ops::Range<ProcessIndex> {
        0..self.bounds.candidates
    }

    pub(crate) const fn voters() -> std::ops::Range<ProcessIndex> {
        0..VOTER_COUNT as ProcessIndex
    }
}

/// A step of the homes, of the network or of the world around them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeAction {
    /// Every timer counts down.
    Tick,
    /// A process dies and forgets everything.
    Crash(ProcessIndex),
    /// A process starts anew and mutes its vote.
    Restart(ProcessIndex),
    /// A candidate asks all voters for the lease.
    Ask(ProcessIndex),
    /// A voter grants what the candidate asks, and the answer arrives.
    Grant(ProcessIndex, ProcessIndex),
    /// A voter grants an ask of an earlier round that was doubled or late.
    LateGrant(ProcessIndex, ProcessIndex),
    /// A candidate counts the grants of its round and begins to hold.
    Acquire(ProcessIndex),
    /// A holder stops serving, to hand over to another host.
    Freeze(ProcessIndex, ProcessIndex),
    /// The successor receives what only the holder knows.
    CopyRecords(ProcessIndex),
    /// The holder gives up its lease and tells the voters.
    GiveUp(ProcessIndex),
    /// The holder breaks the hand-over off and goes on serving.
    Unfreeze(ProcessIndex),
    /// The successor hears that the holder gave up.
    Commit(ProcessIndex),
    /// A voter hears that a holder has handed over.
    Transfer(ProcessIndex),
    /// The caller sends the request, with the deadline so many ticks ahead.
    Send(u8),
    /// A copy of the request arrives and is sent to the server.
    Dispatch(ProcessIndex),
    /// A copy of the request arrives and waits for a slot.
    Queue(ProcessIndex),
    /// A copy of the request arrives and is refused as not run.
    Refuse(ProcessIndex),
    /// A copy of the request arrives and gets no answer.
    Ignore(ProcessIndex),
    /// A waiting request is sent to the server.
    StartQueued(ProcessIndex),
    /// The server begins to run what was dispatched.
    Begin(u8),
    /// The server sheds what was dispatched.
    Shed(u8),
    /// A host hears that an attempt was shed, and refuses the request.
    RefuseShed(ProcessIndex, u8),
    /// A host hears that an attempt was shed, and sends the request again.
    Retry(ProcessIndex, u8),
}

impl fmt::Display for HomeAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Collects the steps that lead on from one state.
pub(crate) struct StepSink<'s> {
    pub(crate) steps: &'s mut Vec<(HomeAction, HomeState)>,
}

impl StepSink<'_> {
    pub(crate) fn push(&mut self, action: HomeAction, state: HomeState) {
        self.steps.push((action, state));
    }
}

impl Specification for HomeSpecification {
    type State = HomeState;
    type Action = HomeAction;
    type Property = HomeProperty;

    fn initial(&self) -> HomeState {
        HomeState::initial(&self.bounds)
    }

    fn push_successors(&self, state: &HomeState, steps: &mut Vec<(HomeAction, HomeState)>) {
        let begun = steps.len();
        let mut sink = StepSink { steps };
        self.push_time(state, &mut sink);
        self.push_lives(state, &mut sink);
        self.push_leases(state, &mut sink);
        self.push_hand_overs(state, &mut sink);
        if self.bounds.lifetime > 0 {
            self.push_request(state, &mut sink);
        }
        if let Some(mistake) = self.mistake {
            for (_, next) in &mut steps[begun..] {
                next.breach = next.breach.filter(|found| *found == mistake.property());
            }
        }
        if self.symmetric {
            for (_, next) in &mut steps[begun..] {
                *next = symmetry::canonical(next, self.bounds.candidates);
            }
        }
    }

    fn breach(&self, state: &HomeState) -> Option<HomeProperty> {
        state.breach
    }

    fn liveness(&self) -> Vec<HomeProperty> {
        vec![HomeProperty::HomeEmerges]
    }

    fn is_good(&self, _property: HomeProperty, state: &HomeState) -> bool {
        let voters = state.up.iter().filter(|up| **up).count();
        let mut candidates = self.candidates().map(usize::from);
        let has_home = state.hosts.iter().any(CandidateState::serves);
        let excused = voters * 2 <= VOTER_COUNT || !candidates.any(|host| state.up[host]);
        has_home || excused
    }

    /// Crashed processes stay away, and nothing that the network or the server
    /// does wrong may help.
    fn helps(&self, _property: HomeProperty, action: HomeAction) -> bool {
        !matches!(
            action,
            HomeAction::Crash(_)
                | HomeAction::Restart(_)
                | HomeAction::LateGrant(..)
                | HomeAction::Shed(_)
        )
    }
}
