//! The state of the specification of homes: timers in ticks, no history but
//! what the properties need.

use crate::homes::{HomeBounds, HomeProperty, ProcessIndex, VOTER_COUNT};

/// Datagrams that may be under way to the server at once.
pub const DISPATCH_COUNT: usize = 2;

/// What a voter remembers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterState {
    /// Whom the last grant is for; kept only while the grant runs.
    pub holder: Option<ProcessIndex>,
    /// Whether that host has died since, so that its present life may not use
    /// the grant.
    pub of_earlier_life: bool,
    /// How long the grant still runs.
    pub remaining: u8,
    /// How long the voter still gives no grant after its start.
    pub mute: u8,
    /// Under way to the voter: the holder has handed over to this host.
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
    /// It was dispatched, at this attempt; it may have been answered since.
    Running(u8),
    /// It was refused.
    Refused,
}

impl RequestRecord {
    /// The record that has got further, of two of the same request.
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
    /// How long it may still be used; zero where there is nothing.
    pub remaining: u8,
    /// Whether the word that the predecessor gave up has come, or is still
    /// under way.
    pub committed: bool,
    /// What the predecessor remembers, until the word has come.
    pub record: RequestRecord,
    /// Whether the predecessor may not know all that happened.
    pub may_be_known_elsewhere: bool,
}

/// What a host knows in its role of holder, or of one that wants to be.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CandidateState {
    /// How long the host still believes to hold the lease.
    pub lease: u8,
    /// How long a lease from the present round of asking would last.
    pub round: u8,
    /// The voters that granted the present round, one bit each.
    pub granted: u8,
    /// The successor, while a hand-over is under way.
    pub frozen_for: Option<ProcessIndex>,
    /// What the successor has put by, once it has.
    pub copied: Option<RequestRecord>,
    /// What was received from a predecessor.
    pub inheritance: Inheritance,
    /// What the host remembers of the request.
    pub record: RequestRecord,
    /// Whether the request may have been sent before the records begin.
    pub may_be_known_elsewhere: bool,
    /// Only with a mistake: the host takes itself for home without a look at
    /// the clock.
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
    /// The home that sent it; none where that life has ended, or where it has
    /// handed over since.
    pub sender: Option<ProcessIndex>,
    /// The attempt that it makes.
    pub attempt: u8,
    /// How long the server may still begin it, its clock being late.
    pub remaining: u8,
}

/// Where the request stands in the eyes of its caller.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPhase {
    /// Not sent yet.
    #[default]
    Unsent,
    /// Sent; copies may arrive anywhere until the deadline, in so many ticks.
    Open(u8),
    /// Its deadline has passed.
    Over,
}

/// Everything.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeState {
    /// Whether each process runs.
    pub up: [bool; VOTER_COUNT],
    /// The votes.
    pub voters: [VoterState; VOTER_COUNT],
    /// The holder and those that want to be.
    pub hosts: [CandidateState; VOTER_COUNT],
    /// The request.
    pub phase: RequestPhase,
    /// Datagrams under way to the server.
    pub dispatches: [Option<DispatchState>; DISPATCH_COUNT],
    /// Attempts that were shed, one bit each; word of it may arrive any time.
    pub shed: u8,
    /// How often the request ran.
    pub runs: u8,
    /// How long a former holder's last grants may still run after a hand-over.
    pub handed_over: u8,
    /// Whether a hand-over was followed by a home that it was not meant for.
    pub successor_failed: bool,
    /// Whether the caller was told "not run".
    pub told_not_run: bool,
    /// Crashes that may still happen.
    pub crashes: u8,
    /// Hand-overs that may still be begun.
    pub hand_overs: u8,
    /// The property that failed, if any.
    pub breach: Option<HomeProperty>,
}

impl HomeState {
    /// Everybody runs, nobody holds.
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

    /// Notes that `property` fails, unless another failed before.
    pub(crate) fn fail(&mut self, property: HomeProperty) {
        self.breach = self.breach.or(Some(property));
    }

    /// Notes a failure of what the caller was told, if there is one.
    pub(crate) fn judge_outcome(&mut self) {
        if self.runs > 1 {
            self.fail(HomeProperty::RunsOnce);
        }
        if self.told_not_run && self.runs > 0 {
            self.fail(HomeProperty::NotRunIsTrue);
        }
    }
}
