//! Pins: the flows whose backend server this thread remembers.

use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::Timestamp;

/// Remembers the backend server of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPin {
    /// The server.
    pub claim: TokenClaim,
    /// When the flow was placed.
    pub since: Timestamp,
    /// The last datagram of the flow that this thread saw.
    pub last_seen: Timestamp,
    /// Whether this thread counts the flow as a connection of the server.
    pub counted: bool,
    /// Whether the caller echoes the token, so that the flow survives the
    /// loss of this pin.
    pub echoes_token: bool,
}
