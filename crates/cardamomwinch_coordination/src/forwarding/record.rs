//! What is told of each decision, for logs and counters.

use std::time;

use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, FlowKey};

use crate::forwarding::packet::FlowToken;

/// What was decided about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ForwardingOutcome {
    /// A new flow was given to a server.
    OpeningPlaced,
    /// A copy of an opening went to the server that was chosen before.
    OpeningRepeated,
    /// The server chosen before did not answer; another one was chosen.
    OpeningMoved,
    /// No route leads from the address; the caller was told.
    NoRouteReset,
    /// No route leads from the address as far as this host knows, whose word is
    /// old; the packet waits for a newer one.
    NoRouteHeld,
    /// No server can take the flow; the packet waits for one.
    NoServerHeld,
    /// No server can take the flow; the caller was told.
    NoServerReset,
    /// Operators let no server take the flow, since all of them stand in evacuated
    /// failure domains or outside the regions of the route; the caller was told.
    ForbiddenReset,
    /// The packet went to the server of its flow.
    Forwarded,
    /// Like [`Self::Forwarded`], and a request begins in the packet.
    RequestForwarded,
    /// The packet went to the server of its flow, which had been sent the same
    /// before and has not acknowledged it.
    Resent,
    /// The route of the flow was dropped; the caller was told.
    RouteDroppedReset,
    /// No known server has the token; the packet waits until more are known.
    UnknownTokenHeld,
    /// No known server has the token, still not; the caller was told.
    UnknownTokenReset,
    /// The server of the flow is silent; the caller was told.
    SilentServerReset,
    /// The server of the flow has gone; the caller, who waits for nothing that
    /// may run only once, was told before it sends anything more.
    AbsentServerReset,
}

impl ForwardingOutcome {
    /// Every outcome.
    pub const ALL: [Self; 16] = [
        Self::OpeningPlaced,
        Self::OpeningRepeated,
        Self::OpeningMoved,
        Self::NoRouteReset,
        Self::NoRouteHeld,
        Self::NoServerHeld,
        Self::NoServerReset,
        Self::ForbiddenReset,
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

    /// Whether the decision is one of the many that go well and get a counter
    /// but no line: it repeats what the line of the opening or request said.
    pub const fn is_routine(self) -> bool {
        matches!(self, Self::Forwarded)
    }

    /// Whether a caller was refused, ignored or kept waiting.
    pub const fn is_failure(self) -> bool {
        !matches!(
            self,
            Self::OpeningPlaced | Self::OpeningRepeated | Self::Forwarded | Self::RequestForwarded
        )
    }
}

/// A decision with the inputs that decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingRecord<'a> {
    /// What was decided.
    pub outcome: ForwardingOutcome,
    /// The flow.
    pub flow: FlowKey,
    /// The request that begins in the packet, where its identifier can be read.
    pub request: Option<&'a str>,
    /// The name of the route of the flow, if there is one.
    pub route: Option<&'a str>,
    /// The token that the caller sent.
    pub token: FlowToken,
    /// The server that got the packet, or was to get it.
    pub server: Option<BackendId>,
    /// Whether the server stands in the failure domain of this host.
    pub own_domain: Option<bool>,
    /// Which copy of an opening, or how often data were sent again.
    pub copies: u32,
    /// The flows that this host sees on the server.
    pub server_flows: u32,
    /// The version of the configuration that decided.
    pub version: ConfigurationVersion,
    /// The age of the word of the store that decided.
    pub view_age: time::Duration,
}
