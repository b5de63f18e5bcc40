//! Datagrams between callers and hosts.

use std::fmt;
use std::time;

use cardamomwinch_state::prelude::{FlowKey, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::token::RoutingToken;

/// What a caller's datagram does to its flow.
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

/// The header of a request from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestHeader {
    /// The request, unique within its flow. A caller that retries after a reply of
    /// [`CallerReplyKind::NotRun`] must use a new identifier.
    pub id: RequestId,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// When the caller stops waiting for the answer.
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
    /// Whether the caller will echo the routing token that it receives.
    pub echoes_token: bool,
    /// The token that the caller received when the flow was opened, if it echoes it.
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

    /// A datagram of the open flow `flow`, without a request.
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

    /// The same datagram with `request`.
    #[must_use]
    pub const fn with_request(mut self, request: RequestHeader) -> Self {
        self.request = Some(request);
        self
    }
}

/// The position of a part within an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartNumber {
    /// The index of this part, from zero.
    pub index: u32,
    /// The number of parts in the whole answer.
    pub total: u32,
}

impl PartNumber {
    /// The only part of an answer that is not split.
    pub const WHOLE: Self = Self { index: 0, total: 1 };
}

/// The number of an attempt to run a request, from zero. A request is sent to a backend server
/// again only if it is idempotent or certainly did not run.
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
    /// No backend server of the service accepts new flows.
    NoBackend,
    /// The address belongs to no service.
    UnknownService,
    /// The deadline has passed, or is further in the future than allowed.
    Deadline,
    /// The host is stopping, or has not started to serve.
    NotServing,
    /// The host that decides about the flow cannot be reached.
    HomeUnreachable,
    /// A table of the host is full.
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

/// Why the load balancer ended a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// No host knows which backend server the flow belongs to.
    UnknownFlow,
    /// The backend server of the flow no longer exists.
    BackendGone,
}

/// The content of a reply to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallerReplyKind<'a> {
    /// The flow is open. If a caller receives several tokens for a flow, it echoes the first.
    Opened {
        /// The token to echo.
        token: RoutingToken,
    },
    /// A part of the answer to a request.
    Answer {
        /// The request that it answers.
        request: RequestId,
        /// The attempt that was answered. A caller must not combine parts of different
        /// attempts.
        attempt: AttemptNumber,
        /// The position of the part.
        part: PartNumber,
        /// Opaque bytes from the backend server.
        payload: &'a [u8],
    },
    /// A message from the backend server that is not the answer to a request.
    Notice {
        /// Counts the notices of the flow from one.
        sequence: u64,
        /// Opaque bytes from the backend server.
        payload: &'a [u8],
    },
    /// The request was not run and never will be.
    NotRun {
        /// The request; `None` if the opening of a flow without a request was refused.
        request: Option<RequestId>,
        /// Why.
        reason: RefusalReason,
        /// How long the caller should wait before it tries again.
        retry_after: time::Duration,
    },
    /// It is not known whether the request ran.
    OutcomeUnknown {
        /// The request.
        request: RequestId,
        /// How long the caller should wait before it asks about the outcome.
        retry_after: time::Duration,
    },
    /// The flow is no longer open.
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
    /// Its content.
    #[serde(borrow)]
    pub kind: CallerReplyKind<'a>,
}
