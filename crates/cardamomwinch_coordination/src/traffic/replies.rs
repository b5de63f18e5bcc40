//! Replies of backend servers. The fabric hands them to any host: that host
//! sends on at once what concerns the caller, and tells the home of the server.

use cardamomwinch_protocol::prelude::{
    AttemptNumber, BackendReply, BackendReplyKind, CallerKind, CallerReplyKind, PartNumber,
    RefusalReason, RelayFrame, TokenClaim,
};
use cardamomwinch_state::prelude::{BackendId, FlowHash, HostId, RequestId, ShardId, Timestamp};

use crate::counter::Counter;
use crate::decision::DecisionReason;
use crate::snapshot::ServingPhase;
use crate::traffic::caller_datagrams::RETRY_AFTER;
use crate::traffic::context::{DecisionSubject, EventContext};
use crate::traffic::effect::TrafficSink;
use crate::traffic::requests::{
    KEPT_PARTS_LIMIT, KeptPart, RequestKey, RequestState, RunningRequest,
};
use crate::traffic::{HOP_LIMIT, TrafficEngine, dispatching};

/// A reply that was relayed so often meets hosts that disagree about the home. It goes
/// to the host that had sent the request, which was home then.
const DISAGREEING_HOPS: u8 = 2;

impl TrafficEngine {
    pub(crate) fn take_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        tell_caller(context, reply);
        match reply.kind {
            BackendReplyKind::Notice { .. } => return,
            _ if context.snapshot.phase == ServingPhase::Starting => {
                return self.early_replies.push(reply);
            }
            BackendReplyKind::Opened => return self.tell_opened(context, reply),
            _ => {}
        }
        self.bring_to_home(context, reply);
    }

    /// Brings on the replies that came while this host was starting.
    ///
    /// Guards against slots that stay taken: the fabric hands replies to a host as soon
    /// as it is up, and one that knows no other host yet can tell the caller, but not
    /// the home. It shows as servers that seem full, and as requests that their home
    /// calls unknown though they were answered.
    pub(crate) fn account_early_replies<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
    ) {
        if self.early_replies.is_empty() || context.snapshot.phase == ServingPhase::Starting {
            return;
        }
        let replies = std::mem::take(&mut self.early_replies);
        replies.drain(|reply| match reply.kind {
            BackendReplyKind::Opened => self.tell_opened(context, reply),
            _ => self.bring_to_home(context, reply),
        });
    }

    fn bring_to_home<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        if let BackendReplyKind::UnknownFlow { .. } = reply.kind {
            return self.take_unknown(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(shard) => self.account(context, reply, shard, 0),
            None => self.account_by_sender(context, reply),
        }
    }

    /// Tells the caller that its flow is open, and gives it its token. Only the
    /// server's word says so: if its datagram is lost on the way, the caller
    /// must send its opening again instead of data for a flow that is not open.
    pub(crate) fn tell_opened<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        match context.snapshot.backend(reply.backend) {
            Some(entry) => {
                let token = self.tokens.issue(&reply.flow, TokenClaim::from(entry));
                context.reply(reply.flow, CallerReplyKind::Opened { token });
            }
            None if reply.via != self.identity.host => self.relay_to_sender(context, reply),
            None => {}
        }
    }

    /// Brings a reply of a server that this host does not know to the host that
    /// had sent it what it replies to, which knew it. This host may be behind in
    /// its configuration; without the reply the slot would stay taken until the
    /// deadline.
    fn account_by_sender<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        if reply.via == self.identity.host {
            return self.apply(context, reply);
        }
        self.relay_to_sender(context, reply);
    }

    fn relay_to_sender<S: TrafficSink>(
        &self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
    ) {
        let relayed = context.snapshot.any_shard().is_some_and(|shard| {
            let reply = shortened(reply);
            let frame = RelayFrame::Backend {
                reply,
                shard,
                hops: 1,
            };
            context.relay(reply.via, frame)
        });
        let reason = match relayed {
            true => DecisionReason::ReplyRelayed,
            false => DecisionReason::ReplyLost,
        };
        context.decide(reason, subject_of(reply, None, Some(reply.via)));
    }

    /// Takes a reply that another host or thread passed on. What this host
    /// knows of the server goes before what the sender took for its shard.
    pub(crate) fn take_relayed_reply<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        if let BackendReplyKind::Opened = reply.kind {
            return self.tell_opened(context, reply);
        }
        let entry = context.snapshot.backend(reply.backend);
        match entry.map(|entry| context.snapshot.shard_of(entry)) {
            Some(known) => self.account(context, reply, known, hops),
            None if reply.via == self.identity.host => self.apply(context, reply),
            None => self.account(context, reply, shard, hops),
        }
    }

    /// Brings a reply to the thread that counts for its server.
    pub(crate) fn account<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
        hops: u8,
    ) {
        let frame = RelayFrame::Backend {
            reply: shortened(reply),
            shard,
            hops: hops.saturating_add(1),
        };
        let me = self.identity.host;
        let believed = context.snapshot.shard(shard).home;
        let home = believed
            .filter(|home| *home == me || reply.via == me || hops < DISAGREEING_HOPS)
            .filter(|home| {
                let may_move = *home == me && hops < DISAGREEING_HOPS;
                !may_move || !self.is_sender_home(context, reply, shard)
            })
            .unwrap_or(reply.via);
        if home == me {
            match self.place.owns(shard) {
                true if self.frozen.is_frozen(shard, context.now) => {
                    self.frozen.hold_back(shard, reply);
                }
                true => self.apply(context, reply),
                false => context.pass_to_thread(self.place.owner(shard), frame),
            }
        } else if hops < HOP_LIMIT {
            let reason = match context.relay(home, frame) {
                true => DecisionReason::ReplyRelayed,
                false => DecisionReason::ReplyLost,
            };
            context.decide(reason, subject_of(reply, Some(shard), Some(home)));
        } else {
            context.count(Counter::HopLimit);
            let subject = subject_of(reply, Some(shard), Some(home));
            context.decide(DecisionReason::ReplyLost, subject);
        }
    }

    /// Whether the host that had sent what `reply` answers is the home, although this one
    /// takes itself for it.
    ///
    /// Guards against answers that end at a host which was just added: it takes itself for
    /// the home, and others do, before it holds the lease. It shows as requests that the
    /// home hands over as running though they were answered, and as a server that seems
    /// full until they are given up. Who knows the request accounts for it in any case.
    fn is_sender_home<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        reply: &BackendReply<'_>,
        shard: ShardId,
    ) -> bool {
        let may_be_home = context.snapshot.lease_at(shard, context.now).is_some()
            || self.frozen.is_frozen(shard, context.now)
            || self.frozen.is_changing_hands(shard, context.now);
        if may_be_home || reply.via == self.identity.host || !self.place.owns(shard) {
            return false;
        }
        let hash = Self::hasher(context.snapshot).hash(&reply.flow);
        let request = request_of(reply).map(|request| request_key(reply, request));
        request.is_none_or(|key| self.requests.get(hash, &key).is_none())
    }

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
                let key = request_key(reply, request);
                self.note_part(context, hash, reply.backend, &key, answered);
            }
            BackendReplyKind::Shed { request, attempt } => {
                context.count(Counter::BackendShed);
                match request {
                    Some(request) => {
                        let key = request_key(reply, request);
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

    /// Notes a part of an answer. A part of an earlier attempt is never mixed
    /// into a later one; but a whole answer in one part ends the request,
    /// whichever attempt gave it.
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
        match noted.unwrap_or(PartOutcome::Ignored) {
            PartOutcome::Ignored => {}
            PartOutcome::Progress => self.ledgers.of(backend).note_progress(context.now, key),
            PartOutcome::Whole => {
                context.count(Counter::RequestAnswered);
                if given_up {
                    context.count(Counter::RequestAnsweredLate);
                }
                let ledger = self.ledgers.of(backend);
                if let Some(slot) = ledger.finish(key) {
                    ledger.note_answer(context.now, context.now.since(slot.sent));
                }
                self.start_next(context, backend);
            }
            PartOutcome::Superseded { attempt, deadline } => {
                context.count(Counter::RequestAnswered);
                let ledger = self.ledgers.of(backend);
                ledger.leave_queue(key);
                ledger.finish(key);
                if let Some(attempt) = attempt {
                    dispatching::cancel(context, key, backend, attempt, deadline);
                }
                self.start_next(context, backend);
            }
        }
    }

    /// Takes a server's word that it did not run a request and will not. It
    /// counts only for the attempt that is under way, and only while no part of
    /// an answer has come: a doubled datagram may be shed in one copy and run
    /// in the other.
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
        let opens = running.held.kind == CallerKind::Open;
        let given_up = running.given_up;
        let ledger = self.ledgers.of(backend);
        ledger.last_heard = context.now;
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
            // Its caller reckons with a run that has been, not with one to come.
            self.requests.put(hash, key, RequestState::Unknown);
        } else if entry.is_some() && self.may_retry(context, &slot, attempt, pause) {
            self.queue_again(context, backend, &slot, pause);
        } else {
            let wait = pause.max(self.retry_after(context, backend, hash));
            self.refuse_known(context, slot.entry, RefusalReason::Shed, wait);
            if opens && let Some(pin) = self.pins.remove(hash, &key.flow) {
                self.uncount(&pin);
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
        if let Some(pin) = self.pins.remove(hash, &reply.flow) {
            self.uncount(&pin);
        }
        context.refuse(reply.flow, None, RefusalReason::Shed, RETRY_AFTER);
    }
}

/// The request that `reply` answers, where it answers one.
const fn request_of(reply: &BackendReply<'_>) -> Option<RequestId> {
    match reply.kind {
        BackendReplyKind::Answer { request, .. } => Some(request),
        BackendReplyKind::Shed { request, .. } => request,
        _ => None,
    }
}

/// What a decision about `reply` concerns, which belongs to `shard` and goes to `peer`.
fn subject_of(
    reply: &BackendReply<'_>,
    shard: Option<ShardId>,
    peer: Option<HostId>,
) -> DecisionSubject {
    DecisionSubject {
        flow: Some(reply.flow),
        request: request_of(reply),
        backend: Some(reply.backend),
        peer,
        shard,
        ..DecisionSubject::default()
    }
}

/// Sends the caller what concerns it, whoever accounts for it.
fn tell_caller<S: TrafficSink>(context: &mut EventContext<'_, S>, reply: &BackendReply<'_>) {
    let kind = match reply.kind {
        BackendReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        } => CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        },
        BackendReplyKind::Notice { sequence, payload } => {
            CallerReplyKind::Notice { sequence, payload }
        }
        _ => return,
    };
    context.reply(reply.flow, kind);
}

/// Leaves the payload out where the answer is too long to be kept.
fn shortened<'p>(reply: &BackendReply<'p>) -> BackendReply<'p> {
    let mut reply = *reply;
    if let BackendReplyKind::Answer { part, payload, .. } = &mut reply.kind
        && part.total > KEPT_PARTS_LIMIT
    {
        *payload = &[];
    }
    reply
}

fn request_key(reply: &BackendReply<'_>, request: RequestId) -> RequestKey {
    RequestKey {
        flow: reply.flow,
        id: request,
    }
}

/// A part of an answer, as it came.
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

/// What a part of an answer did.
#[derive(Debug, Clone, Copy)]
enum PartOutcome {
    /// Nothing: it was known, malformed, or of an attempt that is over.
    Ignored,
    /// More parts have to come.
    Progress,
    /// The attempt under way is answered whole.
    Whole,
    /// An earlier attempt is answered whole; the one under way is not needed.
    Superseded {
        attempt: Option<AttemptNumber>,
        deadline: Timestamp,
    },
}

/// Notes a part in the state of its request, of which at most `room` more bytes
/// may be kept.
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

/// Keeps a part for a repeated request, unless the answer is long or too many
/// bytes are held already; then what was kept of it is of no use either.
fn keep_part(running: &mut RunningRequest, answered: AnswerPart<'_>, room: usize) {
    if answered.part.total > KEPT_PARTS_LIMIT || answered.payload.len() > room {
        running.complete = false;
        running.kept.clear();
    }
    if running.complete {
        running.kept.push(answered.kept());
    }
}
