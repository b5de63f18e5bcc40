//! Specifies which version a host has in force, and where it sends the packets
//! of a flow.
//!
//! Three hosts in two failure domains adopt three versions. Version 1 gives the
//! service of the flow two backend servers, version 2 drains the first, and
//! version 3 either removes the first or gives its address to another service.
//! Both servers and the home that places flows are in the first failure domain.

mod flows;
mod mistake;
mod state;
mod versions;

use std::fmt;

pub use crate::adoption::mistake::AdoptionMistake;
pub use crate::adoption::state::{
    AdoptionState, FlowState, HostPhase, HostState, ServerChoice, VersionNumber,
};

use crate::bounded;
use crate::search::Specification;

/// A host. The last one is in a failure domain of its own.
pub type HostIndex = usize;

/// The number of hosts.
pub const HOST_COUNT: usize = 3;
/// The host that can be cut off from the failure domain of the servers.
pub const REMOTE_HOST: HostIndex = 2;
/// The last version that is published.
pub const LAST_VERSION: VersionNumber = 3;

/// A property that adoption and routing must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdoptionProperty {
    /// The version in force on a host never decreases while its process runs.
    VersionOnlyRises,
    /// A packet reaches no service but that of its flow.
    OwnServiceOnly,
    /// An established flow keeps its server through every planned change.
    FlowKeepsServer,
    /// A host that has adopted the draining of a server gives it no new flow.
    DrainingSpared,
    /// Once all faults are over, all hosts can reach the last published version.
    PublishedReached,
    /// Once the hosts reach each other, all can reach the highest version that
    /// any of them has, without the platform.
    PeersConverge,
}

impl fmt::Display for AdoptionProperty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// What the last version does to the first server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastChange {
    /// It is no longer listed. Its process still serves its open flows.
    Removed,
    /// Its address is given to another service.
    Reassigned,
}

/// Bounds on what is searched: the kind of change and the number of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptionBounds {
    /// What the last version does to the first server.
    pub last_change: LastChange,
    /// Whether the caller echoes the token of its flow.
    pub echoes_token: bool,
    /// Whether a server refuses packets of a service that is not its own.
    pub server_refuses: bool,
    /// Maximum number of crashes.
    pub crashes: u8,
    /// Maximum number of planned stops.
    pub stops: u8,
    /// Maximum number of process pauses.
    pub pauses: u8,
    /// How often the platform may go back to an earlier version.
    pub relapses: u8,
    /// Maximum number of cuts between the failure domains.
    pub cuts: u8,
}

impl AdoptionBounds {
    /// Bounds that take seconds to search.
    pub const ALL: [(&'static str, Self); 6] = [
        (
            "adoption, server removed, token echoed",
            Self::everything(LastChange::Removed, true),
        ),
        (
            "adoption, server removed, no token",
            Self::everything(LastChange::Removed, false),
        ),
        (
            "adoption, address reassigned, token echoed",
            Self::everything(LastChange::Reassigned, true),
        ),
        (
            "adoption, address reassigned, no token",
            Self::everything(LastChange::Reassigned, false),
        ),
        (
            "adoption, servers refuse nothing, token echoed",
            Self::trusting_servers(true),
        ),
        (
            "adoption, servers refuse nothing, no token",
            Self::trusting_servers(false),
        ),
    ];

    /// Bounds in which every fault may happen twice.
    pub const LARGE: [(&'static str, Self); 4] = [
        (
            "adoption, server removed, token echoed, faults twice",
            Self::everything(LastChange::Removed, true).twice(),
        ),
        (
            "adoption, server removed, no token, faults twice",
            Self::everything(LastChange::Removed, false).twice(),
        ),
        (
            "adoption, address reassigned, no token, faults twice",
            Self::everything(LastChange::Reassigned, false).twice(),
        ),
        (
            "adoption, servers refuse nothing, token echoed, faults twice",
            Self {
                relapses: 0,
                ..Self::trusting_servers(true).twice()
            },
        ),
    ];

    const fn twice(self) -> Self {
        Self {
            crashes: 2,
            stops: 2,
            pauses: 2,
            relapses: 2,
            cuts: 2,
            ..self
        }
    }

    /// Every fault may happen once, and servers refuse packets of other services.
    pub const fn everything(last_change: LastChange, echoes_token: bool) -> Self {
        Self {
            last_change,
            echoes_token,
            server_refuses: true,
            crashes: 1,
            stops: 1,
            pauses: 1,
            relapses: 1,
            cuts: 1,
        }
    }

    /// Servers refuse nothing. The properties then rely on two assumptions: the
    /// platform does not go back, and a process begins to serve another service
    /// only after every host that is neither down nor paused has adopted the
    /// change.
    pub const fn trusting_servers(echoes_token: bool) -> Self {
        Self {
            server_refuses: false,
            pauses: 2,
            relapses: 0,
            ..Self::everything(LastChange::Reassigned, echoes_token)
        }
    }
}

/// The specification of adoption and routing.
pub type AdoptionSpecification = bounded::BoundedSpecification<AdoptionBounds, AdoptionMistake>;

/// A step of the hosts, the platform or their environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptionAction {
    /// The platform publishes the next version.
    Publish,
    /// The platform answers with this earlier version from now on.
    Relapse(VersionNumber),
    /// The platform answers with the last published version again.
    Recover,
    /// A host reads the answer of the platform.
    Read(HostIndex),
    /// A host receives from another host the version that is in force there.
    Pull(HostIndex, HostIndex),
    /// A host crashes.
    Crash(HostIndex),
    /// A host hands over and stops.
    Stop(HostIndex),
    /// A host starts without any state.
    Restart(HostIndex),
    /// The process of a host is paused.
    Pause(HostIndex),
    /// The process of a host resumes with the state from before the pause.
    Wake(HostIndex),
    /// The failure domains are cut off from each other.
    Cut,
    /// The failure domains reach each other again.
    Heal,
    /// The process at the address of the first server begins to serve another
    /// service.
    MoveProcess,
    /// The home places the new flow on a server.
    Open(HostIndex, ServerChoice),
    /// A packet of the flow arrives at a host.
    Carry(HostIndex),
    /// A host relays a packet with the server that it has found.
    Relay(HostIndex),
    /// A relayed packet arrives at a host.
    TakeRelayed(HostIndex),
    /// A home makes a request of the flow wait for a slot.
    Hold(HostIndex),
    /// A home sends the waiting request.
    SendWaiting(HostIndex),
}

impl fmt::Display for AdoptionAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Collects the steps that are possible in one state.
pub(crate) struct StepSink<'s> {
    pub(crate) steps: &'s mut Vec<(AdoptionAction, AdoptionState)>,
}

impl StepSink<'_> {
    pub(crate) fn push(&mut self, action: AdoptionAction, state: AdoptionState) {
        self.steps.push((action, state));
    }
}

impl Specification for AdoptionSpecification {
    type State = AdoptionState;
    type Action = AdoptionAction;
    type Property = AdoptionProperty;

    fn initial(&self) -> AdoptionState {
        AdoptionState::initial(&self.bounds)
    }

    fn push_successors(
        &self,
        state: &AdoptionState,
        steps: &mut Vec<(AdoptionAction, AdoptionState)>,
    ) {
        let begun = steps.len();
        let mut sink = StepSink { steps };
        self.push_platform(state, &mut sink);
        self.push_environment(state, &mut sink);
        self.push_process_steps(state, &mut sink);
        self.push_adoption(state, &mut sink);
        self.push_flow(state, &mut sink);
        for (_, next) in &mut steps[begun..] {
            if let Some(mistake) = self.mistake {
                next.breach = next.breach.filter(|found| *found == mistake.property());
            }
            if self.symmetric {
                next.make_canonical();
            }
        }
    }

    fn breach(&self, state: &AdoptionState) -> Option<AdoptionProperty> {
        state.breach
    }

    fn liveness(&self) -> Vec<AdoptionProperty> {
        let all = [
            AdoptionProperty::PublishedReached,
            AdoptionProperty::PeersConverge,
        ];
        let is_checked = |property: &AdoptionProperty| {
            let mistake = self.mistake;
            mistake.is_none_or(|mistake| mistake.property() == *property)
        };
        all.into_iter().filter(is_checked).collect()
    }

    fn is_good(&self, property: AdoptionProperty, state: &AdoptionState) -> bool {
        let highest = state.hosts.iter().map(|host| host.version).max();
        let mut hosts = state.hosts.iter();
        match property {
            AdoptionProperty::PublishedReached => {
                hosts.all(|host| host.acts() && host.version == state.published)
            }
            _ => hosts.all(|host| host.is_running() && Some(host.version) == highest),
        }
    }

    fn may_rely_on(&self, property: AdoptionProperty, action: AdoptionAction) -> bool {
        match action {
            AdoptionAction::Pull(..)
            | AdoptionAction::Restart(_)
            | AdoptionAction::Wake(_)
            | AdoptionAction::Heal => true,
            AdoptionAction::Read(_) | AdoptionAction::Recover => {
                property == AdoptionProperty::PublishedReached
            }
            _ => false,
        }
    }
}
