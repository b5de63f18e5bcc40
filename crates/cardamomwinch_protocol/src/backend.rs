//! Datagrams between hosts and backend servers, and the load report.

use cardamomwinch_state::prelude::{BackendId, FlowKey, HostId, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::caller::{AttemptNumber, PartNumber};

/// The purpose of a datagram to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum BackendKind {
    /// Opens the flow.
    Open,
    /// Belongs to an open flow.
    Carry,
    /// Closes the flow.
    Close,
    /// Cancels the request in [`BackendDatagram::request`].
    Cancel,
}

/// The header of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BackendRequest {
    /// The request, unique within its flow.
    pub id: RequestId,
    /// Copied into each reply about the request.
    pub attempt: AttemptNumber,
    /// The server must not start to run the request after this point.
    pub start_before: Timestamp,
    /// When the caller stops waiting for the answer.
    pub deadline: Timestamp,
}

/// A datagram to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendDatagram<'a> {
    /// The flow it belongs to. A server refuses flows of services other than its own.
    pub flow: FlowKey,
    /// The destination; copied into each reply.
    pub backend: BackendId,
    /// The host that sent it; copied into each reply.
    pub via: HostId,
    /// Its purpose.
    pub kind: BackendKind,
    /// The request that it carries or cancels, if any.
    pub request: Option<BackendRequest>,
    /// Opaque bytes from the caller.
    pub payload: &'a [u8],
}

/// The content of a reply from a backend server.
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
        /// The position of the part.
        part: PartNumber,
        /// Opaque bytes for the caller.
        payload: &'a [u8],
    },
    /// The server is overloaded and shed the request, which did not run and will not.
    Shed {
        /// The request; `None` if the opening of a flow without a request was shed.
        request: Option<RequestId>,
        /// The attempt that the server was given.
        attempt: AttemptNumber,
    },
    /// A message that is not the answer to a request.
    Notice {
        /// Counts the notices of the flow from one.
        sequence: u64,
        /// Opaque bytes for the caller.
        payload: &'a [u8],
    },
    /// The server does not know the flow, so the request in the datagram, if any, did not run
    /// and will not.
    UnknownFlow {
        /// The request in the datagram, if any.
        request: Option<RequestId>,
        /// The attempt that the server was given.
        attempt: AttemptNumber,
    },
    /// The flow is closed.
    Closed,
}

/// A datagram from a backend server. The server sends it to the fabric, which delivers it to
/// any host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendReply<'a> {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// The server that sent it.
    pub backend: BackendId,
    /// The host that sent the datagram to which this replies.
    pub via: HostId,
    /// Its content.
    #[serde(borrow)]
    pub kind: BackendReplyKind<'a>,
}

/// The answer of the load endpoint of a backend server (HTTP `GET /load`, JSON). It may be out
/// of date or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests that are running.
    pub busy_slots: u32,
    /// The number of open flows.
    pub connections: u32,
    /// Whether the server reports that it is healthy.
    pub healthy: bool,
    /// Whether the server reports that it is draining.
    pub draining: bool,
    /// The number of requests that it has fully answered since it started; `None` if it does
    /// not count them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<u64>,
}
