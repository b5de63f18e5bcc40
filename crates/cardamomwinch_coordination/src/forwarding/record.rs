//! The record of each decision, for logs and counters.

use std::time;

use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, FlowKey};

use crate::forwarding::packet::FlowToken;
use crate::load::admission::AdmissionRefusal;
use crate::load::spill_shares::SpillTarget;

/// What was decided about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ForwardingOutcome {
    /// A new flow was sent to a server.
    OpeningPlaced,
    /// A copy of an opening was sent to the server that was chosen before.
    OpeningRepeated,
    /// The server chosen before did not answer; another one was chosen.
    OpeningMoved,
    /// The address has no route; the flow was reset.
    NoRouteReset,
    /// The address has no route in a view that may be incomplete; the packet is held for the
    /// next one.
    NoRouteHeld,
    /// No server can take the flow; the packet is held for the next view.
    NoServerHeld,
    /// No server can take the flow; it was reset.
    NoServerReset,
    /// No server may take the flow by the settings of operators, because all are in evacuated
    /// failure domains or outside the regions of the route; the flow was reset.
    ForbiddenReset,
    /// The service has room for too few requests; the flow was reset before a server was
    /// chosen.
    AdmissionReset,
    /// The packet was sent to the server of its flow.
    Forwarded,
    /// Like [`Self::Forwarded`], and a request begins in the packet.
    RequestForwarded,
    /// The packet was sent to the server of its flow, which was sent the same data before
    /// and has not acknowledged them.
    Resent,
    /// The route of the flow was dropped; the flow was reset.
    RouteDroppedReset,
    /// No known server has the token; the packet is held for the next view.
    UnknownTokenHeld,
    /// No known server has the token, also after a later update; the flow was reset.
    UnknownTokenReset,
    /// The server of the flow is silent or has left the store; the flow was reset when its
    /// caller repeated data.
    SilentServerReset,
    /// The server of the flow is dead or has restarted; the flow, which is idle or
    /// idempotent, was reset before its caller sends anything more.
    AbsentServerReset,
}

impl ForwardingOutcome {
    /// Every outcome.
    pub const ALL: [Self; 17] = [
        Self::OpeningPlaced,
        Self::OpeningRepeated,
        Self::OpeningMoved,
        Self::NoRouteReset,
        Self::NoRouteHeld,
        Self::NoServerHeld,
        Self::NoServerReset,
        Self::ForbiddenReset,
        Self::AdmissionReset,
        Self::Forwarded,
        Self::RequestForwarded,
        Self::Resent,
        Self::RouteDroppedReset,
        Self::UnknownTokenHeld,
        Self::UnknownTokenReset,
        Self::SilentServerReset,
        Self::AbsentServerReset,
    ];

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OpeningPlaced => "opening_placed",
            Self::OpeningRepeated => "opening_repeated",
            Self::OpeningMoved => "opening_moved",
            Self::NoRouteReset => "no_route_reset",
            Self::NoRouteHeld => "no_route_held",
            Self::NoServerHeld => "no_server_held",
            Self::NoServerReset => "no_server_reset",
            Self::ForbiddenReset => "forbidden_reset",
            Self::AdmissionReset => "admission_reset",
            Self::Forwarded => "forwarded",
            Self::RequestForwarded => "request_forwarded",
            Self::Resent => "resent",
            Self::RouteDroppedReset => "route_dropped_reset",
            Self::UnknownTokenHeld => "unknown_token_held",
            Self::UnknownTokenReset => "unknown_token_reset",
            Self::SilentServerReset => "silent_server_reset",
            Self::AbsentServerReset => "absent_server_reset",
        }
    }

    /// Whether the decision is so frequent that it is counted but not logged; the log has a
    /// line for the opening or request before it.
    pub const fn is_routine(self) -> bool {
        matches!(self, Self::Forwarded)
    }

    /// Whether the caller was refused or had to wait, or the server did not answer.
    pub const fn is_failure(self) -> bool {
        !matches!(
            self,
            Self::OpeningPlaced | Self::OpeningRepeated | Self::Forwarded | Self::RequestForwarded
        )
    }
}

/// Why the flows of a server are ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// Several open flows get no acknowledgement.
    SilentFlows,
    /// One flow sent the same data three times, and the server made no progress meanwhile.
    TripleLoss,
    /// Several hosts report that flows get no acknowledgement.
    Reports,
    /// The entry of the server vanished from the store, which was reachable all the time.
    Vanished,
    /// The server has left the store.
    Left,
    /// The process of the server was started again.
    Restarted,
}

impl EndCause {
    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SilentFlows => "silent_flows",
            Self::TripleLoss => "triple_loss",
            Self::Reports => "reports",
            Self::Vanished => "vanished",
            Self::Left => "left",
            Self::Restarted => "restarted",
        }
    }
}

/// What this host has observed of a server when it ends flows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEvidence {
    /// Why the flows are ended.
    pub cause: EndCause,
    /// The number of open flows that became silent since the server last made progress.
    pub silent_flows: u32,
    /// The number of openings that were not answered since then; a server that is full
    /// answers none.
    pub unanswered_openings: u32,
}

/// A decision and the inputs that it was based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingRecord<'a> {
    /// What was decided.
    pub outcome: ForwardingOutcome,
    /// The flow.
    pub flow: FlowKey,
    /// The identifier of the request that begins in the packet, if it can be read.
    pub request: Option<&'a str>,
    /// The name of the route of the flow, if there is one.
    pub route: Option<&'a str>,
    /// The token that the caller sent.
    pub token: FlowToken,
    /// The server that the packet was sent to, or the server of the flow that was reset.
    pub server: Option<BackendId>,
    /// Whether the server is in the failure domain of this host.
    pub own_domain: Option<bool>,
    /// The failure domain that an opening left the domain of this host for, and why, if it did.
    pub spilled: Option<SpillTarget>,
    /// The number of the copy of an opening, or how often data were sent again.
    pub copies: u32,
    /// The number of flows on the server that this host counts.
    pub server_flows: u32,
    /// The version of the configuration that was used.
    pub version: ConfigurationVersion,
    /// The age of the view that was used.
    pub view_age: time::Duration,
    /// Why the opening was refused, if it was refused for lack of room.
    pub refusal: Option<AdmissionRefusal>,
    /// Why the flow was reset, if that was for its server.
    pub end: Option<EndEvidence>,
}
