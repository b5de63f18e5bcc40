//! Which version a host has in force, and where it sends the packets of a flow.
//!
//! Three hosts in two failure domains adopt three versions. Version 1 gives the
//! service of the flow two backend servers, version 2 drains the first, and
//! version 3 either removes that one or gives its address to another service.
//! Both servers stand in the first failure domain, and so does the home that
//! places flows.

mod flows;
mod mistake;
mod state;
mod versions;

use std::fmt;

pub use crate::adoption::mistake::AdoptionMistake;
pub use crate::adoption::state::{
    AdoptionState, FlowState, HostPhase, HostState, ServerChoice, VersionNumber,
};

use crate::search::Specification;

/// A host; the last one stands in a failure domain of its own.
pub type HostIndex = usize;

/// The number of hosts.
pub const HOST_COUNT: usize = 3;
/// The host that the failure domain of the servers can be cut off from.
pub const FAR_HOST: HostIndex = 2;
/// The last version that is published.
pub const LAST_VERSION: VersionNumber = 3;

/// What must hold of adoption and routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdoptionProperty {
    /// The version in force on a host never falls while the host lives.
    VersionOnlyRises,
    /// A packet reaches no service but its flow's.
    OwnServiceOnly,
    /// An established flow keeps its server over every planned change.
    FlowKeepsServer,
    /// A host that has adopted the draining of a server gives it no new flow.
    DrainingSpared,
    /// Once everything is healed, all hosts can reach the last published version.
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
    /// It is no longer listed; its process serves its open flows.
    Removed,
    /// Its address is given to another service.
    Reassigned,
}

/// How much of the world is searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptionBounds {
    /// What the last version does to the first server.
    pub last_change: LastChange,
    /// Whether the caller echoes the token of its flow.
    pub echoes_token: bool,
    /// Whether a server refuses packets of a service that is not its own.
    pub server_refuses: bool,
    /// Crashes that may happen.
    pub crashes: u8,
    /// Planned stops that may happen.
    pub stops: u8,
    /// Pauses that may happen.
    pub pauses: u8,
    /// Times that the platform may go back to an earlier version.
    pub relapses: u8,
    /// Cuts between the failure domains that may happen.
    pub cuts: u8,
}

impl AdoptionBounds {
    /// Worlds that take seconds to search.
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

    /// Worlds in which every fault may happen twice.
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

    /// Everything may go wrong, and servers refuse what is not theirs.
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

    /// Servers refuse nothing. What the hosts can promise then rests on two
    /// assumptions: the platform does not go back, and a process begins to
    /// serve another service only when every host that is awake has adopted.
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptionSpecification {
    pub(crate) bounds: AdoptionBounds,
    pub(crate) mistake: Option<AdoptionMistake>,
    symmetric: bool,
}

impl AdoptionSpecification {
    /// The specification without a mistake.
    pub const fn new(bounds: AdoptionBounds) -> Self {
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
    pub const fn with_mistake(mut self, mistake: AdoptionMistake) -> Self {
        self.mistake = Some(mistake);
        self.numbered()
    }

    pub(crate) fn makes(&self, mistake: AdoptionMistake) -> bool {
        self.mistake == Some(mistake)
    }
}

/// A step of the hosts, of the platform or of the world around them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptionAction {
    /// The platform publishes the next version.
    Publish,
    /// The platform answers with this earlier version from now on.
    Relapse(VersionNumber),
    /// The platform answers with the last published version again.
    Recover,
    /// A host hears from the platform.
    Read(HostIndex),
    /// A host hears from another host what that one has accepted.
    Pull(HostIndex, HostIndex),
    /// A host dies.
    Crash(HostIndex),
    /// A host hands over and stops.
    Stop(HostIndex),
    /// A host starts with nothing.
    Restart(HostIndex),
    /// The process of a host is paused.
    Pause(HostIndex),
    /// The process of a host wakes, still believing what it did.
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
    /// A home lets a request of the flow wait for a slot.
    Hold(HostIndex),
    /// A home sends the waiting request.
    SendWaiting(HostIndex),
}

impl fmt::Display for AdoptionAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Collects the steps that lead on from one state.
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
        self.push_world(state, &mut sink);
        self.push_lives(state, &mut sink);
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
        let judged = |property: &AdoptionProperty| {
            let mistake = self.mistake;
            mistake.is_none_or(|mistake| mistake.property() == *property)
        };
        all.into_iter().filter(judged).collect()
    }

    fn is_good(&self, property: AdoptionProperty, state: &AdoptionState) -> bool {
        let highest = state.hosts.iter().map(|host| host.version).max();
        let mut hosts = state.hosts.iter();
        match property {
            AdoptionProperty::PublishedReached => {
                hosts.all(|host| host.acts() && host.version == state.published)
            }
            _ => hosts.all(|host| host.is_awake() && Some(host.version) == highest),
        }
    }

    fn helps(&self, property: AdoptionProperty, action: AdoptionAction) -> bool {
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
