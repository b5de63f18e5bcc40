//! The state of a caller's flow: the token, the outcome of each request, and
//! the notices received.

use std::net;
use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerReply, CallerReplyKind, PartNumber, RefusalReason, ResetReason,
    RoutingToken,
};
use cardamomwinch_state::prelude::{FlowKey, RequestId, SortedVector};
use serde::{Deserialize, Serialize};

/// The largest number of parts that an answer may have.
const MAX_PARTS: u32 = 4096;
/// The number of unexpected replies that are kept.
const MAX_UNEXPECTED_REPLIES: usize = 4;

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was received.
    Answered {
        /// All parts, joined.
        payload: Vec<u8>,
    },
    /// It was not run and never will be.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// How long to wait before another attempt.
        retry_after: time::Duration,
    },
    /// It is not known whether it ran.
    OutcomeUnknown {
        /// How long to wait before another attempt.
        retry_after: time::Duration,
    },
    /// No outcome was received before the deadline.
    TimedOut,
    /// The flow ended first.
    Reset {
        /// Why.
        reason: ResetReason,
    },
}

/// The outcome of opening a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The flow is open.
    Opened,
    /// The flow was refused.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// How long to wait before another attempt.
        retry_after: time::Duration,
    },
    /// No outcome was received in time.
    TimedOut,
    /// The flow was reset instead of opened.
    Reset {
        /// Why.
        reason: ResetReason,
    },
}

/// The notices that a caller received.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoticeSummary {
    /// Distinct notices received.
    pub received: u64,
    /// Notices received again.
    pub duplicates: u64,
    /// The highest sequence number received.
    pub highest: u64,
    /// Notices below the highest that were not received.
    pub missing: u64,
}

/// A reply that a caller should never receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnexpectedReply {
    /// It could not be decoded.
    Unreadable {
        /// The address it came from.
        sender: net::SocketAddr,
        /// Its length in bytes.
        length: usize,
    },
    /// It belongs to another flow.
    OtherFlow(FlowKey),
    /// It is about a request that this caller has not sent.
    OtherRequest(RequestId),
}

/// Counters of unusual replies; some are violations, others may occur.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerCounters {
    /// Unexpected replies; see [`UnexpectedReply`].
    pub malformed: u64,
    /// Parts of an answer received again with the same content.
    pub duplicate_parts: u64,
    /// Answers whose first part was received again.
    pub duplicate_answers: u64,
    /// Parts received again with other content, or whose numbers do not fit the
    /// other parts; a violation.
    pub conflicting_parts: u64,
    /// Requests for which both an answer and "not run" were received; a violation.
    pub contradictions: u64,
    /// Answers that were complete after "outcome unknown" or a reset.
    pub late_answers: u64,
    /// Resets.
    pub resets: u64,
}

#[derive(Debug, Default)]
struct TrackedAnswer {
    total: u32,
    parts: SortedVector<u32, Vec<u8>>,
}

#[derive(Debug, Default)]
struct TrackedRequest {
    /// Parts of different runs of one request are never mixed.
    answers: SortedVector<AttemptNumber, TrackedAnswer>,
    refused: bool,
    /// Whether both an answer and "not run" were received.
    contradicted: bool,
    outcome: Option<RequestOutcome>,
}

/// The state of one flow at its caller.
#[derive(Debug, Default)]
pub struct CallerState {
    /// The first token received.
    pub token: Option<RoutingToken>,
    /// The outcome of the opening.
    pub opening: Option<OpenOutcome>,
    /// Counters.
    pub counters: CallerCounters,
    /// The first unexpected replies.
    pub unexpected: Vec<UnexpectedReply>,
    requests: SortedVector<RequestId, TrackedRequest>,
    notices: SortedVector<u64, ()>,
    duplicate_notices: u64,
}

impl CallerState {
    /// Starts to track `request`.
    pub fn track(&mut self, request: RequestId) {
        self.requests.insert(request, TrackedRequest::default());
    }

    /// The outcome of `request`, if known.
    pub fn outcome(&self, request: RequestId) -> Option<RequestOutcome> {
        self.requests.get(&request)?.outcome.clone()
    }

    /// The requests for which both an answer and "not run" were received.
    pub fn contradicted(&self) -> Vec<RequestId> {
        let requests = self.requests.iter();
        let contradicted = requests.filter(|(_, tracked)| tracked.contradicted);
        contradicted.map(|(id, _)| *id).collect()
    }

    /// The notices received so far.
    pub fn notices(&self) -> NoticeSummary {
        let received = self.notices.len() as u64;
        let highest = self.notices.keys().next_back().copied().unwrap_or_default();
        NoticeSummary {
            received,
            duplicates: self.duplicate_notices,
            highest,
            missing: highest.saturating_sub(received),
        }
    }

    /// Counts an unexpected reply.
    pub fn note_unexpected(&mut self, reply: UnexpectedReply) {
        self.counters.malformed += 1;
        if self.unexpected.len() < MAX_UNEXPECTED_REPLIES {
            self.unexpected.push(reply);
        }
    }

    /// Handles a reply about this flow.
    pub fn handle(&mut self, reply: &CallerReply<'_>) {
        match reply.kind {
            CallerReplyKind::Opened { token } => {
                self.token.get_or_insert(token);
                self.opening = Some(OpenOutcome::Opened);
            }
            CallerReplyKind::Answer {
                request,
                attempt,
                part,
                payload,
            } => self.handle_part(request, attempt, part, payload),
            CallerReplyKind::Notice { sequence, .. } => {
                if self.notices.insert(sequence, ()).is_some() {
                    self.duplicate_notices += 1;
                }
            }
            CallerReplyKind::NotRun {
                request,
                reason,
                retry_after,
            } => self.handle_refusal(request, reason, retry_after),
            CallerReplyKind::OutcomeUnknown {
                request,
                retry_after,
            } => self.settle(request, RequestOutcome::OutcomeUnknown { retry_after }),
            CallerReplyKind::Reset { reason } => self.handle_reset(reason),
        }
    }

    fn handle_part(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        part: PartNumber,
        payload: &[u8],
    ) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return self.note_unexpected(UnexpectedReply::OtherRequest(request));
        };
        let answer = tracked
            .answers
            .get_or_insert_with(attempt, TrackedAnswer::default);
        let known = answer.total != 0;
        if part.index >= part.total
            || part.total > MAX_PARTS
            || (known && answer.total != part.total)
        {
            self.counters.conflicting_parts += 1;
            return;
        }
        answer.total = part.total;
        if let Some(received) = answer.parts.get(&part.index) {
            if received == payload {
                self.counters.duplicate_parts += 1;
                self.counters.duplicate_answers += u64::from(part.index == 0);
            } else {
                self.counters.conflicting_parts += 1;
            }
            return;
        }
        answer.parts.insert(part.index, payload.to_vec());
        if answer.parts.len() < part.total as usize {
            return;
        }
        self.counters.contradictions += u64::from(tracked.refused);
        tracked.contradicted |= tracked.refused;
        let payload = answer.parts.values().flatten().copied().collect();
        if tracked.outcome.is_some() {
            self.counters.late_answers += u64::from(!tracked.refused);
        } else {
            tracked.outcome = Some(RequestOutcome::Answered { payload });
        }
    }

    fn handle_refusal(
        &mut self,
        request: Option<RequestId>,
        reason: RefusalReason,
        retry_after: time::Duration,
    ) {
        let Some(request) = request else {
            let refusal = OpenOutcome::NotRun {
                reason,
                retry_after,
            };
            self.opening.get_or_insert(refusal);
            return;
        };
        if let Some(tracked) = self.requests.get_mut(&request) {
            let answered = matches!(tracked.outcome, Some(RequestOutcome::Answered { .. }));
            self.counters.contradictions += u64::from(answered && !tracked.refused);
            tracked.contradicted |= answered;
            tracked.refused = true;
        }
        self.settle(
            request,
            RequestOutcome::NotRun {
                reason,
                retry_after,
            },
        );
    }

    fn handle_reset(&mut self, reason: ResetReason) {
        self.counters.resets += 1;
        self.opening.get_or_insert(OpenOutcome::Reset { reason });
        for (_, tracked) in self.requests.iter_mut() {
            let reset = || RequestOutcome::Reset { reason };
            tracked.outcome.get_or_insert_with(reset);
        }
    }

    fn settle(&mut self, request: RequestId, outcome: RequestOutcome) {
        match self.requests.get_mut(&request) {
            Some(tracked) => drop(tracked.outcome.get_or_insert(outcome)),
            None => self.note_unexpected(UnexpectedReply::OtherRequest(request)),
        }
    }
}
