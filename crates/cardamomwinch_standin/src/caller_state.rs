//! What a caller remembers of its flow: the token, what became of each
//! request, and which notices came.

use std::net;
use std::time;

use cardamomwinch_protocol::prelude::{
    AttemptNumber, CallerReply, CallerReplyKind, PartNumber, RefusalReason, ResetReason,
    RoutingToken,
};
use cardamomwinch_state::prelude::{FlowKey, RequestId, SortedVector};
use serde::{Deserialize, Serialize};

/// The largest number of parts that an answer may claim.
const PART_LIMIT: u32 = 4096;
/// Stray replies that are remembered.
const STRAY_LIMIT: usize = 4;

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer came.
    Answered {
        /// All parts, put together.
        payload: Vec<u8>,
    },
    /// It was not run and never will be.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// How long to wait before another attempt.
        retry_after: time::Duration,
    },
    /// Whether it ran is not known.
    OutcomeUnknown {
        /// How long to wait before asking.
        retry_after: time::Duration,
    },
    /// Nothing was heard before the deadline.
    TimedOut,
    /// The flow ended first.
    Reset {
        /// Why.
        reason: ResetReason,
    },
}

/// What became of an opening.
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
    /// Nothing was heard in time.
    TimedOut,
    /// The flow ended at once.
    Reset {
        /// Why.
        reason: ResetReason,
    },
}

/// Which notices came.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoticeSummary {
    /// Different notices that came.
    pub received: u64,
    /// Notices that came again.
    pub duplicates: u64,
    /// The highest sequence number that came.
    pub highest: u64,
    /// Notices below the highest that did not come.
    pub missing: u64,
}

/// A reply that a caller should not get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrayReply {
    /// It could not be understood.
    Unreadable {
        /// Who sent it.
        sender: net::SocketAddr,
        /// Its length in bytes.
        length: usize,
    },
    /// It belongs to another flow.
    OtherFlow(FlowKey),
    /// It is about a request that this caller has not sent.
    OtherRequest(RequestId),
}

/// What a caller should never see, and what it may see.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerCounters {
    /// Datagrams that could not be understood or belong to another flow.
    pub malformed: u64,
    /// Parts of an answer that came again with the same content.
    pub duplicate_parts: u64,
    /// Answers whose first part came again.
    pub duplicate_answers: u64,
    /// Parts that came again with other content; a violation.
    pub conflicting_parts: u64,
    /// Both an answer and "not run" came for one request; a violation.
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
    /// Whether both an answer and "not run" came.
    contradicted: bool,
    outcome: Option<RequestOutcome>,
}

/// The state of one flow as its caller sees it.
#[derive(Debug, Default)]
pub struct CallerState {
    /// The first token that came.
    pub token: Option<RoutingToken>,
    /// What became of the opening.
    pub opening: Option<OpenOutcome>,
    /// Counters.
    pub counters: CallerCounters,
    /// The first stray replies.
    pub strays: Vec<StrayReply>,
    requests: SortedVector<RequestId, TrackedRequest>,
    notices: SortedVector<u64, ()>,
    duplicate_notices: u64,
}

impl CallerState {
    /// Begins to track `request`.
    pub fn track(&mut self, request: RequestId) {
        self.requests.insert(request, TrackedRequest::default());
    }

    /// What became of `request`, once that is known.
    pub fn outcome(&self, request: RequestId) -> Option<RequestOutcome> {
        self.requests.get(&request)?.outcome.clone()
    }

    /// The requests to which both an answer and "not run" came.
    pub fn contradicted(&self) -> Vec<RequestId> {
        let requests = self.requests.iter();
        let contradicted = requests.filter(|(_, tracked)| tracked.contradicted);
        contradicted.map(|(id, _)| *id).collect()
    }

    /// Which notices came.
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

    /// Counts a stray reply.
    pub fn note_stray(&mut self, stray: StrayReply) {
        self.counters.malformed += 1;
        if self.strays.len() < STRAY_LIMIT {
            self.strays.push(stray);
        }
    }

    /// Takes in a reply about this flow.
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
            return self.note_stray(StrayReply::OtherRequest(request));
        };
        let answer = tracked
            .answers
            .get_or_insert_with(attempt, TrackedAnswer::default);
        let known = answer.total != 0;
        if part.index >= part.total
            || part.total > PART_LIMIT
            || (known && answer.total != part.total)
        {
            self.counters.conflicting_parts += 1;
            return;
        }
        answer.total = part.total;
        if let Some(held) = answer.parts.get(&part.index) {
            if held == payload {
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
            None => self.note_stray(StrayReply::OtherRequest(request)),
        }
    }
}
