//! Pins: the flows whose backend server this thread remembers.

use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::{ConfigurationVersion, ShardId, Timestamp};

/// Why a thread remembers a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PinRole {
    /// It placed the flow as home of the server, or took it over from a home.
    Placed,
    /// It was told by the home, so as to send data straight to the server. The
    /// home may know better since.
    Learned,
    /// It passed the opening on to the home of the server. Copies of the
    /// opening must go the same way, or two homes would place the flow.
    Redirect,
}

/// Remembers the backend server of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPin {
    /// The server.
    pub claim: TokenClaim,
    /// The shard as whose home it is remembered: that of the server, or of the
    /// server that a redirect leads away from.
    pub shard: ShardId,
    /// Why it is remembered.
    pub role: PinRole,
    /// Whether another home may have placed the flow as well, because one that
    /// should have been asked could not be. Only requests that name the flow by
    /// its token are run then.
    pub disputed: bool,
    /// When the flow was placed.
    pub since: Timestamp,
    /// The last datagram of the flow that this thread saw.
    pub last_seen: Timestamp,
    /// Whether this thread counts the flow as a connection of the server.
    pub counted: bool,
    /// The version for which the home that the newest table leads to was told.
    pub announced: ConfigurationVersion,
    /// Whether the caller echoes the token, so that the flow survives the
    /// loss of this pin.
    pub echoes_token: bool,
}
