//! Handles copies of requests that the home remembers: each gets the same reply as the
//! first one, and no request runs again that must not.

use std::time;

use cardamomwinch_protocol::prelude::{AttemptNumber, CallerReplyKind, PartNumber, TokenClaim};
use cardamomwinch_state::prelude::{BackendId, FlowHash};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::TrafficEngine;
use crate::traffic::caller_datagrams::{RETRY_AFTER, RoutedDatagram};
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::requests::{RequestKey, RequestState};
use crate::traffic::serving::ArrivingRequest;

impl TrafficEngine {
    /// Handles a copy of a remembered request. An idempotent request whose answer was not
    /// kept may run again, with a new attempt number so that the parts of two runs are
    /// never mixed.
    pub(crate) fn handle_duplicate<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
        claim: TokenClaim,
        arriving: &ArrivingRequest,
    ) {
        let record = self.requests.get(arriving.hash, &arriving.key);
        let attempt = record.and_then(|record| match record.state {
            RequestState::Answered {
                attempt,
                kept: None,
            } if record.idempotent => attempt.0.checked_add(1),
            _ => None,
        });
        let percent = context.snapshot.configuration.limits.retry_percent;
        let in_time = arriving.header.deadline > context.now;
        match attempt {
            Some(attempt) if in_time && self.retry_budgets.take(routed.service.id, percent) => {
                self.admit(context, routed, claim, arriving, AttemptNumber(attempt));
            }
            _ => {
                let retry_after = self.retry_after(context, claim.backend, arriving.hash);
                self.resend_outcome(context, arriving.hash, arriving.key, retry_after);
            }
        }
    }

    /// When a caller should try again whose request `backend` cannot accept now.
    pub(crate) fn retry_after<S: TrafficSink>(
        &mut self,
        context: &EventContext<'_, S>,
        backend: BackendId,
        hash: FlowHash,
    ) -> time::Duration {
        let Some(entry) = context.snapshot.backend(backend) else {
            return RETRY_AFTER;
        };
        let view = context.snapshot.view(backend);
        let ledger = self.ledgers.get_or_create(backend);
        ledger.retry_after(context.now, entry, view, hash)
    }

    /// Handles a copy of a request that is remembered here, whichever server it went to.
    /// Returns whether it is.
    pub(crate) fn resend_remembered<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        routed: &RoutedDatagram<'_, '_>,
    ) -> bool {
        let Some(header) = routed.datagram.request else {
            return false;
        };
        let key = RequestKey {
            flow: routed.datagram.flow,
            id: header.id,
        };
        let known = self.requests.get(routed.hash, &key).is_some();
        if known {
            self.resend_outcome(context, routed.hash, key, RETRY_AFTER);
        }
        known
    }

    pub(crate) fn resend_outcome<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        key: RequestKey,
        retry_after: time::Duration,
    ) {
        context.count(Counter::RequestDuplicate);
        let subject = DecisionSubject {
            flow: Some(key.flow),
            request: Some(key.id),
            ..DecisionSubject::default()
        };
        context.decide(DecisionReason::Duplicate, subject);
        let Some(record) = self.requests.get(hash, &key) else {
            return;
        };
        match &record.state {
            RequestState::Queued { .. } | RequestState::Moved { .. } => {}
            RequestState::Running(running) if running.given_up => {
                context.outcome_unknown(key.flow, key.id, retry_after);
            }
            RequestState::Running(running) => {
                for kept in &running.kept {
                    let (attempt, part) = (running.attempt, kept.part);
                    context.reply(key.flow, answer(&key, attempt, part, &kept.payload));
                }
            }
            RequestState::Answered {
                attempt,
                kept: Some(parts),
            } => {
                for kept in parts {
                    context.reply(key.flow, answer(&key, *attempt, kept.part, &kept.payload));
                }
            }
            RequestState::Refused { reason } => {
                context.refuse(key.flow, Some(key.id), *reason, retry_after);
            }
            RequestState::Answered { kept: None, .. } | RequestState::Unknown => {
                context.outcome_unknown(key.flow, key.id, retry_after);
            }
        }
    }
}

fn answer<'p>(
    key: &RequestKey,
    attempt: AttemptNumber,
    part: PartNumber,
    payload: &'p [u8],
) -> CallerReplyKind<'p> {
    CallerReplyKind::Answer {
        request: key.id,
        attempt,
        part,
        payload,
    }
}
