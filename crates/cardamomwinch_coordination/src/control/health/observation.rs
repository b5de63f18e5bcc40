//! What traffic threads tell control about backend servers, gathered over many
//! datagrams so that it costs next to nothing.

use std::time;

use cardamomwinch_state::prelude::BackendId;

/// How often a traffic thread tells what it saw.
pub const OBSERVATION_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// What one server did since it was last told about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendObservation {
    /// The server.
    pub backend: BackendId,
    /// Requests answered whole.
    pub answers: u32,
    /// Requests and openings shed.
    pub sheds: u32,
    /// Requests that are without a word for longer than usual, where the server
    /// has said nothing since they were sent.
    pub unanswered: u32,
    /// How long the first of them has been without a word.
    pub silent_for: time::Duration,
}
