//! Observations of backend servers that traffic threads report to the control thread,
//! summed up over many datagrams to cost little.

use std::time;

use cardamomwinch_state::prelude::BackendId;

/// How often a traffic thread reports its observations.
pub const OBSERVATION_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// What a traffic thread observed of one server since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendObservation {
    /// The server.
    pub backend: BackendId,
    /// Number of requests answered completely.
    pub answers: u32,
    /// Number of requests and openings shed.
    pub sheds: u32,
    /// Number of requests that have been unanswered for longer than usual, where the server
    /// has sent nothing since they were sent.
    pub unanswered: u32,
    /// How long the first of these has been unanswered.
    pub silent_for: time::Duration,
}
