//! The state of the specification of homes. Timers are in ticks, and only as much
//! history is kept as the properties need.

use crate::homes::{HomeBounds, HomeProperty, ProcessIndex, VOTER_COUNT};

/// Datagrams that may be under way to the server at once.
pub const DISPATCH_COUNT: usize = 2;

/// What a voter remembers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterState {
    /// The host of the last grant, while the grant runs.
    pub holder: Option<ProcessIndex>,
    /// Whether that host has crashed since, so that its present incarnation may
    /// not use the grant.
    pub of_earlier_life: bool,
    /// How long the grant still runs.
    pub remaining: u8,
    /// How long the voter, after its start, still gives no grant.
    pub mute: u8,
    /// The successor in a message under way to the voter that says that the
    /// holder has handed over.
    pub transfer: Option<ProcessIndex>,
}

/// What a home remembers of the request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestRecord {
    /// Nothing.
    #[default]
    Absent,
    /// It waits for a slot.
    Queued,
    /// It was dispatched in this attempt, and may have been answered since.
    Running(u8),
    /// It was refused.
    Refused,
}

impl RequestRecord {
    /// Returns the more advanced of two records of the same request.
    pub(crate) fn merged_with(self, other: Self) -> Self {
        let progress = |record: Self| match record {
            Self::Absent => 0,
            Self::Queued => 1,
            Self::Running(attempt) => 2 + attempt,
            Self::Refused => u8::MAX,
        };
        match progress(other) > progress(self) {
            true => other,
            false => self,
        }
    }
}

/// What a successor has received from the host that has handed over.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Inheritance {
    /// How long it may still be used. Zero if nothing was received.
    pub remaining: u8,
    /// Whether the message that the predecessor gave up its lease has arrived. If
    /// not, it is still under way.
    pub committed: bool,
    /// The record of the predecessor, until that message arrives.
    pub record: RequestRecord,
    /// Whether a host before the predecessor may have received the request.
    pub may_be_known_elsewhere: bool,
}

/// What a host knows as the holder of the lease, or as a candidate for it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateState {
    /// How long the host may still act as holder by its own clock.
    pub lease: u8,
    /// How long a lease from the present round of lease requests would last.
    pub round: u8,
    /// The voters that granted the present round, one bit each.
    pub granted: u8,
    /// The successor, while a hand-over is under way.
    pub frozen_for: Option<ProcessIndex>,
    /// The record that the successor has buffered, if it has done so.
    pub copied: Option<RequestRecord>,
    /// What was received from a predecessor.
    pub inheritance: Inheritance,
    /// What the host remembers of the request.
    pub record: RequestRecord,
    /// Whether the request may have been sent before the records begin.
    pub may_be_known_elsewhere: bool,
    /// Whether the host acts as home without reading the clock, which happens
    /// only with a mistake.
    pub believes: bool,
}

impl CandidateState {
    /// Whether the host acts as home.
    pub fn serves(&self) -> bool {
        self.lease > 0 && self.frozen_for.is_none()
    }
}

/// A request on its way to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchState {
    /// The home that sent it, unless it has crashed or handed over since.
    pub sender: Option<ProcessIndex>,
    /// The number of the attempt.
    pub attempt: u8,
    /// How long the server may still begin it if its clock is behind.
    pub remaining: u8,
}

/// The state of the request from the view of its caller.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPhase {
    /// Not sent yet.
    #[default]
    Unsent,
    /// Sent. Copies may arrive at any host until the deadline, which is this many
    /// ticks ahead.
    Open(u8),
    /// Its deadline has passed.
    Over,
}

/// The whole state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeState {
    /// Whether each process runs.
    pub up: [bool; VOTER_COUNT],
    /// The votes.
    pub voters: [VoterState; VOTER_COUNT],
    /// The holder and the candidates.
    pub hosts: [CandidateState; VOTER_COUNT],
    /// The request.
    pub phase: RequestPhase,
    /// Datagrams under way to the server.
    pub dispatches: [Option<DispatchState>; DISPATCH_COUNT],
    /// The attempts that were shed, one bit each. A reply that says so may arrive
    /// at any time.
    pub shed: u8,
    /// How often the request ran, at most 2.
    pub runs: u8,
    /// How long a former holder's last grants may still run after a hand-over.
    pub handed_over: u8,
    /// Whether another host than the intended successor became home after a
    /// hand-over.
    pub successor_failed: bool,
    /// Whether "not run" was sent to the caller.
    pub told_not_run: bool,
    /// Crashes that may still happen.
    pub crashes: u8,
    /// Hand-overs that may still begin.
    pub hand_overs: u8,
    /// The property that failed, if any.
    pub breach: Option<HomeProperty>,
}

impl HomeState {
    /// Returns the state in which all processes run and no host holds the lease.
    pub(crate) fn initial(bounds: &HomeBounds) -> Self {
        Self {
            up: [true; VOTER_COUNT],
            voters: Default::default(),
            hosts: Default::default(),
            phase: RequestPhase::Unsent,
            dispatches: [None; DISPATCH_COUNT],
            shed: 0,
            runs: 0,
            handed_over: 0,
            successor_failed: false,
            told_not_run: false,
            crashes: bounds.crashes,
            hand_overs: bounds.hand_overs,
            breach: None,
        }
    }

    pub(crate) fn host(&self, host: ProcessIndex) -> &CandidateState {
        &self.hosts[usize::from(host)]
    }

    pub(crate) fn host_mut(&mut self, host: ProcessIndex) -> &mut CandidateState {
        &mut self.hosts[usize::from(host)]
    }

    pub(crate) fn voter(&self, voter: ProcessIndex) -> &VoterState {
        &self.voters[usize::from(voter)]
    }

    pub(crate) fn voter_mut(&mut self, voter: ProcessIndex) -> &mut VoterState {
        &mut self.voters[usize::from(voter)]
    }

    pub(crate) fn is_up(&self, process: ProcessIndex) -> bool {
        self.up[usize::from(process)]
    }

    /// Records that `property` fails, unless another has failed before.
    pub(crate) fn fail(&mut self, property: HomeProperty) {
        self.breach = self.breach.or(Some(property));
    }

    /// Checks that the request ran at most once, and not at all after "not run" was
    /// sent to the caller.
    pub(crate) fn check_outcome(&mut self) {
        if self.runs > 1 {
            self.fail(HomeProperty::RunsOnce);
        }
        if self.told_not_run && self.runs > 0 {
            self.fail(HomeProperty::NotRunIsTrue);
        }
    }
}
