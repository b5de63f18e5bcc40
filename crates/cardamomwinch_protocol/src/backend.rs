//! Datagrams between entry hosts and backend servers, and the load report.

use cardamomwinch_state::prelude::{BackendId, FlowKey, HostId, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::caller::{AttemptNumber, PartNumber};

/// What a datagram asks of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum BackendKind {
    /// Opens the flow.
    Open,
    /// Belongs to an open flow.
    Carry,
    /// Closes the flow.
    Close,
    /// Cancels the request that it names.
    Cancel,
}

/// What a backend server is told about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BackendRequest {
    /// The request, unique within its flow.
    pub id: RequestId,
    /// Copied into each reply about the request.
    pub attempt: AttemptNumber,
    /// The server must not begin to run the request after this point.
    pub start_before: Timestamp,
    /// When nobody waits for the answer any more.
    pub deadline: Timestamp,
}

/// A datagram to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendDatagram<'a> {
    /// The flow it belongs to. A server refuses a service that is not its own.
    pub flow: FlowKey,
    /// The server it is meant for; copied into each reply.
    pub backend: BackendId,
    /// The host that sent it; copied into each reply.
    pub via: HostId,
    /// What it asks.
    pub kind: BackendKind,
    /// The request that it carries or cancels, if any.
    pub request: Option<BackendRequest>,
    /// Opaque bytes from the caller.
    pub payload: &'a [u8],
}

/// What a backend server says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BackendReplyKind<'a> {
    /// The flow is open.
    Opened,
    /// A part of the answer to a request.
    Answer {
        /// The request that it answers.
        request: RequestId,
        /// The attempt that the server was given.
        attempt: AttemptNumber,
        /// Which part it is.
        part: PartNumber,
        /// Opaque bytes for the caller.
        payload: &'a [u8],
    },
    /// The request, or the opening where it names none, was shed: it did not
    /// run and will not.
    Shed {
        /// The request that was shed.
        request: Option<RequestId>,
        /// The attempt that the server was given.
        attempt: AttemptNumber,
    },
    /// Something sent unasked.
    Notice {
        /// Counts the notices of the flow from one.
        sequence: u64,
        /// Opaque bytes for the caller.
        payload: &'a [u8],
    },
    /// The server holds no such flow, so that the request that came with the
    /// datagram, if any, did not run and will not.
    UnknownFlow {
        /// The request that it is about.
        request: Option<RequestId>,
        /// The attempt that the server was given.
        attempt: AttemptNumber,
    },
    /// The flow is closed.
    Closed,
}

/// A datagram from a backend server. The server sends it to the fabric, which
/// hands it to any entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendReply<'a> {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// The server that sent it.
    pub backend: BackendId,
    /// The host that forwarded what it replies to.
    pub via: HostId,
    /// What it says.
    #[serde(borrow)]
    pub kind: BackendReplyKind<'a>,
}

/// What the load endpoint of a backend server answers (HTTP `GET /load`, JSON).
/// It may lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running now.
    pub busy_slots: u32,
    /// Flows open now.
    pub connections: u32,
    /// Whether the server calls itself healthy.
    pub healthy: bool,
    /// Whether the server calls itself draining.
    pub draining: bool,
    /// Requests whose whole answer it has sent since it started, where it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<u64>,
}
