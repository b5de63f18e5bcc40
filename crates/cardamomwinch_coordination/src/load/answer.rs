//! What a host has seen of an answer, by the acknowledgements of the caller.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, Timestamp};

/// An answer to a request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerObservation {
    /// The server that answered.
    pub server: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address that the caller opened the flow to.
    pub address: net::SocketAddr,
    /// How much of the answer the caller has acknowledged, in bytes.
    pub bytes: u32,
    /// The time from the request to that acknowledgement. `None` if it shows nothing about
    /// the server, because the caller sent it only with its next request.
    pub response: Option<time::Duration>,
    /// Whether the caller closes the flow with this acknowledgement.
    pub closing: bool,
    /// When the acknowledgement was received.
    pub at: Timestamp,
}
