//! Datagrams between callers and entry hosts.

use std::fmt;
use std::time;

use cardamomwinch_state::prelude::{FlowKey, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::token::RoutingToken;

/// What a datagram does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum CallerKind {
    /// Opens the flow.
    Open,
    /// Belongs to an open flow.
    Carry,
    /// Closes the flow.
    Close,
}

/// What a datagram that carries a request says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestHeader {
    /// The request, unique within its flow. After an answer that says "not
    /// run" a caller that tries again uses a new identifier.
    pub id: RequestId,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// A datagram from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerDatagram<'a> {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// What it does to the flow.
    pub kind: CallerKind,
    /// Whether the caller will echo the routing token it is given.
    pub echoes_token: bool,
    /// The token from the answer that opened the flow, echoed.
    pub token: Option<RoutingToken>,
    /// The request that it carries, if any.
    pub request: Option<RequestHeader>,
    /// Opaque bytes for the backend server.
    pub payload: &'a [u8],
}

impl<'a> CallerDatagram<'a> {
    /// A datagram that opens `flow` and carries no request.
    pub const fn open(flow: FlowKey, payload: &'a [u8]) -> Self {
        Self {
            flow,
            kind: CallerKind::Open,
            echoes_token: true,
            token: None,
            request: None,
            payload,
        }
    }

    /// A datagram on the open flow `flow`.
    pub const fn carry(flow: FlowKey, token: Option<RoutingToken>, payload: &'a [u8]) -> Self {
        Self {
            flow,
            kind: CallerKind::Carry,
            echoes_token: token.is_some(),
            token,
            request: None,
            payload,
        }
    }

    /// The same datagram, carrying `request`.
    #[must_use]
    pub const fn with_request(mut self, request: RequestHeader) -> Self {
        self.request = Some(request);
        self
    }
}

/// Which part of an answer a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartNumber {
    /// The position of this part, from zero.
    pub index: u32,
    /// The number of parts that make the whole answer.
    pub total: u32,
}

impl PartNumber {
    /// The only part of an answer.
    pub const WHOLE: Self = Self { index: 0, total: 1 };
}

/// Counts the runs of one request, from zero. Only an idempotent request, or
/// one that provably did not run, is sent to a backend server again.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptNumber(pub u8);

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No slot or connection is free.
    Full,
    /// No backend server of the service takes new flows.
    NoBackend,
    /// The address belongs to no service.
    UnknownService,
    /// The deadline has passed, or is further away than is allowed.
    Deadline,
    /// This host is stopping, or does not serve yet.
    NotServing,
    /// The host that decides about the flow cannot be reached.
    HomeUnreachable,
    /// A table of this host holds its limit.
    TableFull,
    /// Every backend server that was tried shed the request.
    Shed,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Full => "full",
            Self::NoBackend => "no_backend",
            Self::UnknownService => "unknown_service",
            Self::Deadline => "deadline",
            Self::NotServing => "not_serving",
            Self::HomeUnreachable => "home_unreachable",
            Self::TableFull => "table_full",
            Self::Shed => "shed",
        })
    }
}

/// Why a flow ended without its caller asking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// No host knows which backend server the flow belongs to.
    UnknownFlow,
    /// The backend server of the flow is gone.
    BackendGone,
}

/// What an entry host tells a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallerReplyKind<'a> {
    /// The flow is open. A caller keeps the first token of a flow and echoes it.
    Opened {
        /// The token to echo.
        token: RoutingToken,
    },
    /// A part of the answer to a request.
    Answer {
        /// The request that it answers.
        request: RequestId,
        /// Which run of the request gave it; parts of different runs are never mixed.
        attempt: AttemptNumber,
        /// Which part it is.
        part: PartNumber,
        /// Opaque bytes from the backend server.
        payload: &'a [u8],
    },
    /// Something the backend server sent unasked.
    Notice {
        /// Counts the notices of the flow from one.
        sequence: u64,
        /// Opaque bytes from the backend server.
        payload: &'a [u8],
    },
    /// The request was not run and never will be.
    NotRun {
        /// The request that was refused; absent where an opening without a request was.
        request: Option<RequestId>,
        /// Why.
        reason: RefusalReason,
        /// How long the caller should wait before it tries again.
        retry_after: time::Duration,
    },
    /// Whether the request ran is not known.
    OutcomeUnknown {
        /// The request.
        request: RequestId,
        /// How long the caller should wait before it asks about the outcome.
        retry_after: time::Duration,
    },
    /// The flow is not open any more.
    Reset {
        /// Why.
        reason: ResetReason,
    },
}

/// A datagram to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerReply<'a> {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// What it says.
    #[serde(borrow)]
    pub kind: CallerReplyKind<'a>,
}
