//! The state of the specification of adoption and routing.

use crate::adoption::{AdoptionBounds, AdoptionProperty, HOST_COUNT, HostIndex, REMOTE_HOST};

/// A version of the configuration. A host that has none has version zero.
pub type VersionNumber = u8;

/// One of the two backend servers of the flow's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerChoice {
    /// The one that is drained and then removed or reassigned.
    First,
    /// The one that stays.
    Second,
}

/// Whether a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostPhase {
    /// It does not run.
    Down,
    /// It is paused.
    Paused,
    /// It runs, but has not confirmed since its start or a pause that its version
    /// is current.
    Unconfirmed,
    /// It decides about packets.
    Serving,
}

/// One host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostState {
    /// Whether it runs.
    pub phase: HostPhase,
    /// The version in force.
    pub version: VersionNumber,
    /// Whether it has pinned the server of the flow.
    pub pinned: bool,
    /// Whether a request of the flow waits here for a slot of its server.
    pub waiting: bool,
    /// Whether it has stopped reading, which happens only with a mistake.
    pub stopped_reading: bool,
}

impl HostState {
    /// Whether it is neither down nor paused, so that it receives messages.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, HostPhase::Unconfirmed | HostPhase::Serving)
    }

    /// Whether it decides about packets.
    pub fn acts(&self) -> bool {
        self.phase == HostPhase::Serving && self.version > 0
    }
}

/// The state of the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowState {
    /// Not open yet.
    Unopened,
    /// Established on a server.
    Open(ServerChoice),
    /// Ended.
    Over,
}

/// The whole state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdoptionState {
    /// The hosts.
    pub hosts: [HostState; HOST_COUNT],
    /// The last version that the platform has published.
    pub published: VersionNumber,
    /// The version in the answers of the platform.
    pub answered: VersionNumber,
    /// Whether the failure domains are cut off from each other.
    pub cut: bool,
    /// Whether the process of the first server serves another service.
    pub moved: bool,
    /// The flow.
    pub flow: FlowState,
    /// The server that the sender has found for a relayed packet under way, if
    /// there is such a packet.
    pub relayed: Option<ServerChoice>,
    /// Whether a host that remembered the server of the flow has crashed.
    pub pin_lost: bool,
    /// Crashes, planned stops, pauses, relapses and cuts that may still happen.
    pub budgets: FaultBudgets,
    /// The property that failed, if any.
    pub breach: Option<AdoptionProperty>,
}

/// The number of faults of each kind that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultBudgets {
    /// Crashes.
    pub crashes: u8,
    /// Planned stops.
    pub stops: u8,
    /// Pauses.
    pub pauses: u8,
    /// Times that the platform goes back to an earlier version.
    pub relapses: u8,
    /// Cuts between the failure domains.
    pub cuts: u8,
}

impl AdoptionState {
    /// Returns the state in which all hosts serve version 1.
    pub(crate) fn initial(bounds: &AdoptionBounds) -> Self {
        let host = HostState {
            phase: HostPhase::Serving,
            version: 1,
            pinned: false,
            waiting: false,
            stopped_reading: false,
        };
        Self {
            hosts: [host; HOST_COUNT],
            published: 1,
            answered: 1,
            cut: false,
            moved: false,
            flow: FlowState::Unopened,
            relayed: None,
            pin_lost: false,
            budgets: FaultBudgets {
                crashes: bounds.crashes,
                stops: bounds.stops,
                pauses: bounds.pauses,
                relapses: bounds.relapses,
                cuts: bounds.cuts,
            },
            breach: None,
        }
    }

    /// Returns whether two hosts can reach each other.
    pub(crate) fn reaches(&self, one: HostIndex, other: HostIndex) -> bool {
        !self.cut || (one == REMOTE_HOST) == (other == REMOTE_HOST)
    }

    /// Records that `property` fails, unless another has failed before.
    pub(crate) fn fail(&mut self, property: AdoptionProperty) {
        self.breach = self.breach.or(Some(property));
    }

    /// Sorts the hosts of the first failure domain. They are interchangeable, so
    /// states that differ only in their numbering are searched once.
    pub(crate) fn make_canonical(&mut self) {
        self.hosts[..REMOTE_HOST].sort_unstable();
    }
}
