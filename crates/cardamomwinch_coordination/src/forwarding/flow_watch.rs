//! Tracks the flows that this host forwarded packets of recently: their servers, how much
//! the callers acknowledged and how often they repeated themselves.
//!
//! Losing an entry breaks no flow, because each packet carries the token of its server.
//! Only the history of its repetitions is lost.

use std::time;

use cardamomwinch_state::prelude::{
    BackendId, FlowHash, FlowHasher, FlowKey, FlowTable, Timestamp,
};

use crate::forwarding::deliveries::DeliveryRecord;

/// Flows without a packet for this long no longer count as load: they may have ended, or
/// their packets reach other hosts. Callers of long flows pause for a shorter time.
const MAX_COUNTED_IDLE: time::Duration = time::Duration::from_secs(5);
/// How long an idle flow is tracked if the configuration has no idle timeout.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// The number of tried servers that are kept for an opening: callers send two copies.
const TRIED_LIMIT: usize = 2;

/// Callers always wait longer than this before they send anything again.
pub const MIN_RESEND_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// A caller that sends nothing for this long has its answer, or its server has acknowledged
/// the request. It is a few times the usual duration of a request.
const MIN_IDLE_TIME: time::Duration = time::Duration::from_secs(1);
/// The most data that one packet carries, in bytes.
const MAX_PACKET_BYTES: u32 = 1_200;

/// How often, and since when, the data of a flow were sent without an acknowledgement. A
/// caller repeats all packets of a request in one round, which counts as one copy.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FlowSilence {
    /// How often the same data were sent again without progress.
    pub copies: u32,
    /// When they were first sent.
    pub since: Timestamp,
    /// How many of the copies were lost at a time when this host delivered other packets.
    pub losses: u32,
}

/// The stage of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowStage {
    /// Its opening was sent to a server, but no packet of the caller has shown yet that the
    /// server confirmed it.
    Opening {
        /// The number of the last copy.
        copy: u32,
        /// Servers that did not answer.
        tried: [Option<BackendId>; TRIED_LIMIT],
    },
    /// A server confirmed the opening.
    Open,
}

/// The state of a watched flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedFlow {
    /// The server that its last packet was sent to.
    pub server: BackendId,
    /// Its stage.
    pub stage: FlowStage,
    /// When its opening was received, if this host received it.
    pub opened_at: Option<Timestamp>,
    /// When its last packet was received.
    pub seen_at: Timestamp,
    /// The highest position that its caller has acknowledged.
    pub acknowledged: u32,
    /// The highest position of data that were sent, and when they were first sent.
    last_data: Option<(u32, Timestamp)>,
    /// The position of the data that the caller repeats.
    repeated_sequence: Option<u32>,
    /// How often these data were sent again without progress.
    pub copies: u32,
    /// How many of the copies were lost at a time when this host delivered other packets.
    losses: u32,
    /// When the last round of the same data was sent.
    last_round_at: Timestamp,
    /// Whether it was counted as a silent flow of its server since it last made progress.
    silence_counted: bool,
    /// Whether it counts as load of its server.
    pub counted: bool,
    /// Whether its requests may run twice.
    pub idempotent: bool,
    /// The request that the caller waits for.
    pending: Option<PendingRequest>,
}

/// A request whose answer the caller has not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRequest {
    sent_at: Timestamp,
    /// The position that the caller had acknowledged when it sent the request.
    acknowledged: u32,
    /// Whether it was counted as overdue.
    overdue: bool,
}

/// An answer that the caller of a watched flow has begun to acknowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedAnswer {
    /// How much of it the caller has acknowledged, in bytes.
    pub bytes: u32,
    /// The time from the request to the acknowledgement; `None` if it shows nothing about
    /// the server.
    pub response: Option<time::Duration>,
}

impl WatchedFlow {
    /// Creates a flow whose opening is sent to `server`.
    pub const fn opening(server: BackendId, copy: u32, idempotent: bool, now: Timestamp) -> Self {
        Self {
            server,
            stage: FlowStage::Opening {
                copy,
                tried: [None; TRIED_LIMIT],
            },
            opened_at: Some(now),
            seen_at: now,
            acknowledged: 0,
            last_data: None,
            repeated_sequence: None,
            copies: 0,
            losses: 0,
            last_round_at: now,
            silence_counted: false,
            counted: true,
            idempotent,
            pending: None,
        }
    }

    /// Creates an open flow on `server` whose opening this host did not receive.
    pub const fn open(server: BackendId, idempotent: bool, now: Timestamp) -> Self {
        Self {
            server,
            stage: FlowStage::Open,
            opened_at: None,
            seen_at: now,
            acknowledged: 0,
            last_data: None,
            repeated_sequence: None,
            copies: 0,
            losses: 0,
            last_round_at: now,
            silence_counted: false,
            counted: true,
            idempotent,
            pending: None,
        }
    }

    /// Moves the opening to `server`, because the previous server did not answer.
    pub fn move_opening(&mut self, server: BackendId, next_copy: u32) {
        if let FlowStage::Opening { copy, tried } = &mut self.stage {
            *copy = next_copy;
            if let Some(free) = tried.iter_mut().find(|slot| slot.is_none()) {
                *free = Some(self.server);
            }
        }
        self.server = server;
    }

    /// Whether `server` did not answer an opening of this flow.
    pub fn was_tried(&self, server: BackendId) -> bool {
        match self.stage {
            FlowStage::Opening { tried, .. } => tried.contains(&Some(server)),
            FlowStage::Open => false,
        }
    }

    /// Records an acknowledgement. Returns whether it shows progress of the server.
    pub fn note_acknowledged(&mut self, acknowledged: u32) -> bool {
        let opened = matches!(self.stage, FlowStage::Opening { .. });
        // Positions wrap around; half of the range lies ahead.
        let ahead = acknowledged.wrapping_sub(self.acknowledged) as i32 > 0;
        if !opened && !ahead {
            return false;
        }
        let first = self.acknowledged == 0 && !opened;
        self.stage = FlowStage::Open;
        self.acknowledged = acknowledged;
        self.reset_repetitions();
        !first
    }

    const fn reset_repetitions(&mut self) {
        self.copies = 0;
        self.losses = 0;
        self.repeated_sequence = None;
        self.silence_counted = false;
    }

    /// Records that the caller sends a request at `now`, unless one is pending. Returns
    /// whether none was.
    pub fn note_request(&mut self, now: Timestamp) -> bool {
        let is_first = self.pending.is_none();
        let acknowledged = self.acknowledged;
        self.pending.get_or_insert(PendingRequest {
            sent_at: now,
            acknowledged,
            overdue: false,
        });
        is_first
    }

    /// Whether the caller has acknowledged a part of the answer to its pending request.
    pub fn has_answer(&self) -> bool {
        let pending = self.pending;
        pending.is_some_and(|pending| self.acknowledged != pending.acknowledged)
    }

    /// When the pending request was sent, if it has waited for `timeout` or longer; only once
    /// for each request.
    pub fn take_overdue(&mut self, timeout: time::Duration, now: Timestamp) -> Option<Timestamp> {
        let pending = self.pending.as_mut()?;
        let is_overdue = !pending.overdue && now.since(pending.sent_at) >= timeout;
        pending.overdue |= is_overdue;
        is_overdue.then_some(pending.sent_at)
    }

    /// The answer to the pending request, once the caller has acknowledged a part of it.
    ///
    /// Its time is known if the caller has acknowledged more than one packet, or closes the
    /// flow. Callers acknowledge other answers of one packet only with the next request.
    pub fn take_answer(&mut self, closing: bool, now: Timestamp) -> Option<WatchedAnswer> {
        let pending = self.pending?;
        let bytes = self.acknowledged.wrapping_sub(pending.acknowledged);
        if bytes == 0 {
            return None;
        }
        self.pending = None;
        let is_prompt = closing || bytes > MAX_PACKET_BYTES;
        let response = is_prompt.then(|| now.since(pending.sent_at));
        Some(WatchedAnswer { bytes, response })
    }

    /// Whether a reset loses no request that may run only once.
    pub fn can_be_ended(&self, now: Timestamp) -> bool {
        self.idempotent || self.is_idle(now)
    }

    /// Whether its caller seems to wait for no answer. Answers of one packet are acknowledged
    /// only with the next request, so a flow also counts as idle after some time without a
    /// packet.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        let is_quiet = self.copies == 0 && now.since(self.seen_at) >= MIN_IDLE_TIME;
        self.pending.is_none() || is_quiet
    }

    /// Records data. Returns how often the same data were sent before without progress, and
    /// since when.
    ///
    /// A request may take several packets, which are all sent again; each round of them
    /// counts once. Packets of one round may overtake each other, so packets that come
    /// sooner than any caller sends again are no repetition.
    ///
    /// `deliveries` shows whether a copy without an answer was lost after it left this host.
    pub fn note_data(
        &mut self,
        sequence: u32,
        now: Timestamp,
        deliveries: &DeliveryRecord,
    ) -> FlowSilence {
        let earlier = self
            .last_data
            .filter(|(last, _)| sequence.wrapping_sub(*last) as i32 <= 0);
        let Some((_, sent_at)) = earlier else {
            // Callers send new data only while their server acknowledges.
            self.last_data = Some((sequence, now));
            self.last_round_at = now;
            self.reset_repetitions();
            return FlowSilence {
                copies: 0,
                losses: 0,
                since: now,
            };
        };
        let is_late = now.since(sent_at) >= MIN_RESEND_INTERVAL;
        if is_late && *self.repeated_sequence.get_or_insert(sequence) == sequence {
            self.copies = self.copies.saturating_add(1);
            let lost_at = std::mem::replace(&mut self.last_round_at, now);
            self.losses += u32::from(deliveries.was_delivering_at(lost_at));
        }
        FlowSilence {
            copies: self.copies,
            losses: self.losses,
            since: sent_at,
        }
    }

    /// When its latest data were sent; `None` if they were sent more than once.
    pub fn sent_once_at(&self) -> Option<Timestamp> {
        let (_, sent_at) = self.last_data?;
        (self.copies == 0).then_some(sent_at)
    }

    /// Returns true once after each progress of the flow, so that a flow counts only once as
    /// silent, however often its caller repeats itself.
    pub const fn count_silence_once(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_counted, true)
    }
}

/// The watched flows, limited in number.
#[derive(Debug)]
pub struct FlowWatch {
    table: FlowTable<WatchedFlow>,
    hasher: FlowHasher,
}

impl FlowWatch {
    /// Creates a table of at most `limit` flows. `seed` must be the same on all hosts, so
    /// that they choose the same service for a flow.
    pub fn new(limit: usize, seed: u64) -> Self {
        Self {
            table: FlowTable::new(limit),
            hasher: FlowHasher::new(seed),
        }
    }

    /// The hash of `flow`.
    pub fn hash(&self, flow: &FlowKey) -> FlowHash {
        self.hasher.hash(flow)
    }

    /// The number of flows watched.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no flow is watched.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// The state of `flow`.
    pub fn get(&self, hash: FlowHash, flow: &FlowKey) -> Option<&WatchedFlow> {
        self.table.get(hash, flow)
    }

    /// The state of `flow`, to be changed.
    pub fn get_mut(&mut self, hash: FlowHash, flow: &FlowKey) -> Option<&mut WatchedFlow> {
        self.table.get_mut(hash, flow)
    }

    /// Starts to watch `flow`. Returns the state that it replaced, or an error if the table
    /// is full.
    pub fn insert(
        &mut self,
        hash: FlowHash,
        flow: FlowKey,
        watched: WatchedFlow,
    ) -> Result<Option<WatchedFlow>, cardamomwinch_state::parted_table::TableFullError> {
        self.table.insert(hash, flow, watched)
    }

    /// Stops watching `flow`.
    pub fn remove(&mut self, hash: FlowHash, flow: &FlowKey) -> Option<WatchedFlow> {
        self.table.remove(hash, flow)
    }

    /// Calls `visit` for every flow.
    pub fn visit(&mut self, mut visit: impl FnMut(&FlowKey, &mut WatchedFlow)) {
        self.table.retain(|flow, watched| {
            visit(flow, watched);
            true
        });
    }

    /// Stops counting flows without recent packets as load, and removes those that have been
    /// idle for longer than `idle_timeout`. Calls `uncount` for each flow that stops counting.
    pub fn sweep(
        &mut self,
        now: Timestamp,
        idle_timeout: time::Duration,
        mut uncount: impl FnMut(&WatchedFlow),
    ) {
        let timeout = if idle_timeout.is_zero() {
            DEFAULT_IDLE_TIMEOUT
        } else {
            idle_timeout
        };
        self.table.retain(|_, watched| {
            let idle = now.since(watched.seen_at);
            if watched.counted && idle > MAX_COUNTED_IDLE {
                watched.counted = false;
                uncount(watched);
            }
            idle <= timeout
        });
    }

    /// Stops counting flows on `servers`, which are in ascending order, as load until their
    /// next packet.
    pub fn stop_counting(&mut self, servers: &[BackendId]) {
        self.table.retain(|_, watched| {
            watched.counted &= servers.binary_search(&watched.server).is_err();
            true
        });
    }

    /// Removes and returns the flows on `servers`, which are in ascending order, for which
    /// `may_end` holds.
    pub fn take_matching(
        &mut self,
        servers: &[BackendId],
        may_end: impl Fn(&WatchedFlow) -> bool,
    ) -> Vec<(FlowKey, WatchedFlow)> {
        let mut taken = Vec::new();
        self.table.retain(|flow, watched| {
            let take = servers.binary_search(&watched.server).is_ok() && may_end(watched);
            if take {
                taken.push((*flow, *watched));
            }
            !take
        });
        taken
    }
}
