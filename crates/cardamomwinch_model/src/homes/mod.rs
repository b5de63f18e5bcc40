//! Specifies which host is home of one shard, and how homes handle one request
//! that must not run twice.
//!
//! Time is discrete. All timers count down together, and a timer that has
//! reached zero has expired. A host can take its steps at any time, so a paused
//! process is one that takes no step for some ticks. A lost message is a step
//! that is never taken. A duplicated or late message is a step that is taken
//! again or later, with the content that the message had when it was sent.

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

use crate::bounded;
use crate::search::Specification;

/// A process that votes. The first ones may also hold the lease.
pub type ProcessIndex = u8;

/// The number of processes that vote for the shard.
pub const VOTER_COUNT: usize = 3;

/// A property that homes must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HomeProperty {
    /// At most one host holds the lease.
    OneHolder,
    /// The request never runs twice.
    RunsOnce,
    /// A request that was answered "not run" has not run and never runs.
    NotRunIsTrue,
    /// The request does not begin to run on behalf of an earlier home while a
    /// later home, which does not know of the run, decides what the server runs.
    OneDispatcher,
    /// Each copy that reaches a home is answered, or its answer is under way.
    CopyAnswered,
    /// While a majority of voters and a candidate are up, a candidate can become
    /// home.
    HomeEmerges,
}

impl fmt::Display for HomeProperty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Bounds on what is searched. Times are in ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBounds {
    /// Number of processes that may hold the lease. The other voters are
    /// witnesses.
    pub candidates: u8,
    /// How long a voter's grant runs.
    pub lease: u8,
    /// By how much the clocks of two processes may differ.
    pub skew: u8,
    /// The longest time between the sending of the request and its deadline. If
    /// it is zero, no request is ever sent.
    pub lifetime: u8,
    /// How far beyond the allowed time a faulty caller sets its deadline.
    pub excess: u8,
    /// Maximum number of crashes.
    pub crashes: u8,
    /// Maximum number of planned hand-overs, including aborted ones.
    pub hand_overs: u8,
    /// Whether a home may refuse the request because it has no room.
    pub refusals: bool,
    /// Whether a request may wait for a slot.
    pub queues: bool,
    /// Whether a lease request may reach a voter late or twice.
    pub late_lease_requests: bool,
    /// Whether the server may shed the request, which may then be tried once more.
    pub sheds: bool,
}

impl HomeBounds {
    /// Bounds that take seconds to search.
    pub const ALL: [(&'static str, Self); 3] = [
        ("homes, leases only", Self::leases_only()),
        ("homes, request and crash", Self::request_and_crash()),
        ("homes, request never refused", Self::without_refusals()),
    ];

    /// Bounds that take minutes to search.
    pub const LARGE: [(&'static str, Self); 3] = [
        ("homes, request", Self::with_request()),
        (
            "homes, request and hand-over, longer lease",
            Self {
                lease: 3,
                lifetime: 4,
                excess: 0,
                crashes: 0,
                late_lease_requests: false,
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
            late_lease_requests: true,
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

    /// Returns the same bounds, but no lease request is late or duplicated.
    pub const fn on_time(self) -> Self {
        Self {
            late_lease_requests: false,
            ..self
        }
    }

    /// Two hosts, a witness and one request. A lease is long enough to be
    /// renewed without a gap, and nothing is handed over.
    pub const fn request_and_crash() -> Self {
        Self {
            lease: 3,
            hand_overs: 0,
            queues: false,
            late_lease_requests: false,
            ..Self::with_request()
        }
    }

    /// Three hosts and two hand-overs without a crash. No message is late.
    pub const fn three_hosts() -> Self {
        Self {
            candidates: 3,
            excess: 0,
            queues: false,
            late_lease_requests: false,
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

    /// Like [`Self::with_request`], but the request is never refused.
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
pub type HomeSpecification = bounded::BoundedSpecification<HomeBounds, HomeMistake>;

impl HomeSpecification {
    /// Returns how long a candidate may act as holder, counted from its lease
    /// request: the duration of a grant less the clock skew.
    pub(crate) const fn holder_lease(&self) -> u8 {
        self.bounds.lease - self.bounds.skew
    }

    pub(crate) fn candidates(&self) -> std::ops::Range<ProcessIndex> {
        0..self.bounds.candidates
    }

    pub(crate) const fn voters() -> std::ops::Range<ProcessIndex> {
        0..VOTER_COUNT as ProcessIndex
    }
}

/// A step of the homes, the network or their environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeAction {
    /// Every timer counts down.
    Tick,
    /// A process crashes and forgets everything.
    Crash(ProcessIndex),
    /// A process starts again and grants nothing for a while.
    Restart(ProcessIndex),
    /// A candidate requests the lease from all voters.
    Ask(ProcessIndex),
    /// A voter grants the lease to the candidate, and the answer arrives.
    Grant(ProcessIndex, ProcessIndex),
    /// A voter grants a duplicated or late lease request of an earlier round.
    LateGrant(ProcessIndex, ProcessIndex),
    /// A candidate has the grants of a majority in its round and begins or renews
    /// its lease.
    Acquire(ProcessIndex),
    /// A holder stops serving, to hand over to another host.
    Freeze(ProcessIndex, ProcessIndex),
    /// The successor receives the records of the holder.
    CopyRecords(ProcessIndex),
    /// The holder gives up its lease and notifies the voters.
    GiveUp(ProcessIndex),
    /// The holder aborts the hand-over and continues to serve.
    Unfreeze(ProcessIndex),
    /// The successor receives the message that the holder gave up its lease.
    Commit(ProcessIndex),
    /// A voter receives the message that a holder has handed over.
    Transfer(ProcessIndex),
    /// The caller sends the request, with the deadline this many ticks ahead.
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
    /// A host learns that an attempt was shed, and refuses the request.
    RefuseShed(ProcessIndex, u8),
    /// A host learns that an attempt was shed, and sends the request again.
    Retry(ProcessIndex, u8),
}

impl fmt::Display for HomeAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Collects the steps that are possible in one state.
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
        self.push_process_steps(state, &mut sink);
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

    /// Excludes restarts, because a crashed process may stay down, and faults of the
    /// network or the server.
    fn may_rely_on(&self, _property: HomeProperty, action: HomeAction) -> bool {
        !matches!(
            action,
            HomeAction::Crash(_)
                | HomeAction::Restart(_)
                | HomeAction::LateGrant(..)
                | HomeAction::Shed(_)
        )
    }
}
