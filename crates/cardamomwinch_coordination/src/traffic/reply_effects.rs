//! Applies replies of backend servers at the home of the server: a reply answers a
//! request, sheds it, or closes its flow.

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendReply, BackendReplyKind, CallerKind, PartNumber, RefusalReason,
};
use cardamomwinch_state::prelude::{BackendId, FlowHash, FlowKey, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::traffic::caller_datagrams::RETRY_AFTER;
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::replies;
use crate::traffic::requests::{
    KEPT_PARTS_LIMIT, KeptPart, RequestKey, RequestState, RunningRequest,
};
use crate::traffic::{TrafficEngine, dispatching};

impl TrafficEngine {
    pub(crate) fn apply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        match reply.kind {
            BackendReplyKind::Answer {
                request,
                attempt,
                part,
                payload,
            } => {
                let answered = AnswerPart {
                    attempt,
                    part,
                    payload,
                };
                self.confirm_search(context, hash, reply);
                let key = replies::request_key(reply, request);
                self.note_part(context, hash, reply.backend, &key, answered);
            }
            BackendReplyKind::Shed { request, attempt } => {
                context.count(Counter::BackendShed);
                match request {
                    Some(request) => {
                        let key = replies::request_key(reply, request);
                        self.note_shed(context, hash, reply.backend, &key, attempt);
                    }
                    None => self.note_opening_shed(context, hash, reply),
                }
            }
            BackendReplyKind::Closed => {
                self.remove_pin(hash, &reply.flow);
            }
            BackendReplyKind::Opened
            | BackendReplyKind::Notice { .. }
            | BackendReplyKind::UnknownFlow { .. } => {}
        }
    }

    /// Records a part of an answer. A part of an earlier attempt is never mixed into a
    /// later one, but an answer in a single part ends the request, whichever attempt it
    /// belongs to.
    fn note_part<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        backend: BackendId,
        key: &RequestKey,
        answered: AnswerPart<'_>,
    ) {
        let limit = self.bounds.held_bytes;
        let held_bytes = self.requests.held_bytes();
        let room = limit.saturating_sub(held_bytes);
        let mut given_up = false;
        let noted = self.requests.change(hash, key, |record| {
            given_up = record.state.is_given_up();
            note_in_state(&mut record.state, answered, room)
        });
        if noted.is_none() {
            let subject = DecisionSubject {
                flow: Some(key.flow),
                request: Some(key.id),
                backend: Some(backend),
                ..DecisionSubject::default()
            };
            context.decide(DecisionReason::ReplyUnmatched, subject);
        }
        let noted = noted.unwrap_or(PartOutcome::Ignored);
        if let PartOutcome::Whole | PartOutcome::Superseded { .. } = noted {
            let reason = DecisionReason::Answered;
            context.decide_attempt(reason, key, backend, answered.attempt);
        }
        match noted {
            PartOutcome::Ignored => {}
            PartOutcome::Progress => self
                .ledgers
                .get_or_create(backend)
                .note_progress(context.now, key),
            PartOutcome::Whole => {
                context.count(Counter::RequestAnswered);
                if given_up {
                    context.count(Counter::RequestAnsweredLate);
                }
                let ledger = self.ledgers.get_or_create(backend);
                ledger.answers.note_seen();
                if let Some(slot) = ledger.finish(key) {
                    ledger.note_answer(context.now, context.now.since(slot.sent));
                }
                self.start_next(context, backend);
            }
            PartOutcome::Superseded { attempt, deadline } => {
                context.count(Counter::RequestAnswered);
                let ledger = self.ledgers.get_or_create(backend);
                ledger.answers.note_seen();
                ledger.remove_from_queue(key);
                ledger.finish(key);
                if let Some(attempt) = attempt {
                    dispatching::cancel(context, key, backend, attempt, deadline);
                }
                self.start_next(context, backend);
            }
        }
    }

    /// Handles a shed: the server did not run a request and will not. It applies only to
    /// the current attempt, and only while no part of an answer has arrived: of two copies
    /// of a datagram, the server may shed one and run the other.
    fn note_shed<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        backend: BackendId,
        key: &RequestKey,
        attempt: AttemptNumber,
    ) {
        let record = self.requests.get(hash, key);
        let Some(RequestState::Running(running)) = record.map(|record| &record.state) else {
            return;
        };
        if running.attempt != attempt || !running.tracker.is_empty() {
            return;
        }
        context.decide_attempt(DecisionReason::Shed, key, backend, attempt);
        let opens = running.held.kind == CallerKind::Open;
        let given_up = running.given_up;
        let ledger = self.ledgers.get_or_create(backend);
        ledger.last_reply = context.now;
        ledger.unreported.sheds += 1;
        let pause = ledger.estimate.pause();
        let Some(slot) = ledger.finish(key) else {
            return;
        };
        let entry = context.snapshot.backend(backend);
        let slots = entry.map_or(1, |entry| entry.slots.get());
        ledger.count_overdue(context.now);
        let busy = ledger.busy();
        ledger.estimate.note_shed(context.now, slots, busy);
        if given_up {
            // Its caller was sent "outcome unknown", so the request must not run later.
            self.requests
                .replace_state(hash, key, RequestState::Unknown);
        } else if entry.is_some() && self.may_retry(context, &slot, attempt, pause) {
            self.queue_again(context, backend, &slot, pause);
        } else {
            let wait = pause.max(self.retry_after(context, backend, hash));
            self.refuse_remembered(context, slot.entry, RefusalReason::Shed, wait);
            if opens {
                self.uncount_shed_opening(hash, &key.flow);
            }
        }
        self.start_next(context, backend);
    }

    fn note_opening_shed<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hash: FlowHash,
        reply: &BackendReply<'_>,
    ) {
        self.uncount_shed_opening(hash, &reply.flow);
        context.refuse(reply.flow, None, RefusalReason::Shed, RETRY_AFTER);
    }

    /// Uncounts a flow whose opening its server shed. The pin stays as long as copies of
    /// the opening may arrive: the server may have accepted another copy, and a request of
    /// the opening may wait or be refused here, so no copy may be placed elsewhere.
    fn uncount_shed_opening(&mut self, hash: FlowHash, flow: &FlowKey) {
        let Some(pin) = self.pins.get_mut(hash, flow) else {
            return;
        };
        let counted = *pin;
        pin.counted = false;
        self.uncount(&counted);
    }
}

/// A part of an answer, as received.
#[derive(Debug, Clone, Copy)]
struct AnswerPart<'p> {
    attempt: AttemptNumber,
    part: PartNumber,
    payload: &'p [u8],
}

impl AnswerPart<'_> {
    fn kept(&self) -> KeptPart {
        KeptPart {
            part: self.part,
            payload: self.payload.into(),
        }
    }
}

/// The effect of a part of an answer.
#[derive(Debug, Clone, Copy)]
enum PartOutcome {
    /// None: it was known, malformed, or of an attempt that has ended.
    Ignored,
    /// More parts are missing.
    Progress,
    /// The answer of the current attempt is complete.
    Whole,
    /// The answer of an earlier attempt is complete; the current one is not needed.
    Superseded {
        attempt: Option<AttemptNumber>,
        deadline: Timestamp,
    },
}

/// Records a part in the state of its request. At most `room` more bytes may be kept.
fn note_in_state(state: &mut RequestState, answered: AnswerPart<'_>, room: usize) -> PartOutcome {
    let (current, begun, deadline) = match &*state {
        RequestState::Queued { attempt, held, .. } => (*attempt, false, held.header.deadline),
        RequestState::Running(running) => (running.attempt, true, running.held.header.deadline),
        _ => return PartOutcome::Ignored,
    };
    if answered.attempt < current && answered.part == PartNumber::WHOLE {
        let kept = (answered.payload.len() <= room).then(|| vec![answered.kept()]);
        let attempt = answered.attempt;
        *state = RequestState::Answered { attempt, kept };
        let attempt = begun.then_some(current);
        return PartOutcome::Superseded { attempt, deadline };
    }
    let RequestState::Running(running) = state else {
        return PartOutcome::Ignored;
    };
    if answered.attempt != current || !running.tracker.note(answered.part) {
        return PartOutcome::Ignored;
    }
    keep_part(running, answered, room);
    if !running.tracker.is_whole() {
        return PartOutcome::Progress;
    }
    let attempt = current;
    let kept = running.complete.then(|| std::mem::take(&mut running.kept));
    *state = RequestState::Answered { attempt, kept };
    PartOutcome::Whole
}

/// Keeps a part for repeated requests, unless the answer has too many parts or too many
/// bytes are held already. In that case the parts that were kept are dropped too, because
/// an incomplete answer is useless.
fn keep_part(running: &mut RunningRequest, answered: AnswerPart<'_>, room: usize) {
    if answered.part.total > KEPT_PARTS_LIMIT || answered.payload.len() > room {
        running.complete = false;
        running.kept.clear();
    }
    if running.complete {
        running.kept.push(answered.kept());
    }
}
