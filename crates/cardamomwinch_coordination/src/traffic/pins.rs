//! Pins: the flows whose backend server this thread remembers.

use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::{ConfigurationVersion, ShardId, Timestamp};

/// Why a thread remembers a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PinRole {
    /// It placed the flow as home of the server, or imported it from an earlier home.
    Placed,
    /// The home reported the server, so that data can be sent directly to it. The home's
    /// pin may have changed since.
    Learned,
    /// It relayed the opening to the home of the server. Copies of the opening must go the
    /// same way, or two homes would place the flow.
    Redirect,
}

/// Remembers the backend server of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPin {
    /// The server.
    pub claim: TokenClaim,
    /// The shard for which this thread keeps the pin: that of the server or, for a
    /// redirect, that of the server that the flow was redirected from.
    pub shard: ShardId,
    /// Why it is remembered.
    pub role: PinRole,
    /// Whether another home may have placed the flow as well, because one that should have
    /// been asked was unreachable. If so, only requests with the flow's token are run.
    pub disputed: bool,
    /// When the flow was placed.
    pub since: Timestamp,
    /// When this thread last saw a datagram of the flow.
    pub last_seen: Timestamp,
    /// Whether this thread counts the flow as a connection of the server. It does not if
    /// the pin is learned or a redirect, or if the server shed the opening.
    pub counted: bool,
    /// The newest version for which the flow was announced to the home that its lookup
    /// table selects.
    pub announced: ConfigurationVersion,
    /// Whether the caller echoes the token, so that the flow survives the
    /// loss of this pin.
    pub echoes_token: bool,
}

impl FlowPin {
    /// Whether the server shed the opening of the flow.
    pub fn is_shed(&self) -> bool {
        self.role == PinRole::Placed && !self.counted
    }
}
