//! The flows that this host has lately seen. Forgetting one breaks nothing,
//! because its packets name their server; what is lost is how long it waits.

use std::time;

use cardamomwinch_state::prelude::{
    BackendId, FlowHash, FlowHasher, FlowKey, FlowTable, Timestamp,
};

use crate::forwarding::deliveries::DeliveryRecord;

/// Flows that were not seen for so long may have ended, or their packets meet
/// other hosts; they no longer count as load. Callers of long flows pause for less.
const COUNTING_TIME: time::Duration = time::Duration::from_secs(5);
/// How long an idle flow is remembered where no configuration says how long flows
/// may rest.
const DEFAULT_MEMORY: time::Duration = time::Duration::from_secs(15);
/// Servers that an opening remembers as tried: callers send two copies.
const TRIED_LIMIT: usize = 2;

/// Callers wait longer than this before they send anything again.
pub const LEAST_PATIENCE: time::Duration = time::Duration::from_millis(150);
/// A caller that neither repeats itself nor goes on for so long has its answer, or
/// waits for a server that took the request: a few times what requests take.
const RESTING_TIME: time::Duration = time::Duration::from_secs(1);
/// The most data that one packet carries, in bytes.
const ONE_PACKET: u32 = 1_200;

/// What the repetitions of a caller tell.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FlowSilence {
    /// How often the same data were sent again without any progress.
    pub copies: u32,
    /// When they were sent first.
    pub since: Timestamp,
    /// How many copies were lost while what this host sent to others arrived.
    pub losses: u32,
}

/// How far a flow has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowStage {
    /// Its opening went to a server; the caller has not answered the server yet.
    Opening {
        /// The number of the copy that was sent last.
        copy: u32,
        /// Servers that did not answer.
        tried: [Option<BackendId>; TRIED_LIMIT],
    },
    /// The caller has heard its server.
    Open,
}

/// What is remembered of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedFlow {
    /// The server that its packets went to last.
    pub server: BackendId,
    /// How far it has got.
    pub stage: FlowStage,
    /// When its opening came, where this host has seen it.
    pub opened_at: Option<Timestamp>,
    /// When its last packet came.
    pub seen_at: Timestamp,
    /// The highest acknowledgement of its caller.
    pub acknowledged: u32,
    /// The furthest position of data that were sent, and when it first was.
    sequence: Option<(u32, Timestamp)>,
    /// The position that is sent again and again.
    repeated: Option<u32>,
    /// How often these data were sent again without any progress.
    pub copies: u32,
    /// How many of these were lost while what this host sent to others arrived.
    losses: u32,
    /// When the latest round of the same data was sent.
    round_at: Timestamp,
    /// Whether it was counted as met with silence since it last made progress.
    silence_noted: bool,
    /// Whether it counts as load of its server.
    pub counted: bool,
    /// Whether its requests may run twice.
    pub idempotent: bool,
    /// The request that is waited for.
    pending: Option<PendingRequest>,
}

/// A request whose answer has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRequest {
    asked_at: Timestamp,
    /// What the caller had of the server's stream when it asked.
    acknowledged: u32,
    /// Whether it was counted as waiting for too long.
    overdue: bool,
}

impl WatchedFlow {
    /// A flow whose opening goes to `server`.
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
            sequence: None,
            repeated: None,
            copies: 0,
            losses: 0,
            round_at: now,
            silence_noted: false,
            counted: true,
            idempotent,
            pending: None,
        }
    }

    /// A flow on `server` whose opening this host has not seen.
    pub const fn open(server: BackendId, idempotent: bool, now: Timestamp) -> Self {
        Self {
            server,
            stage: FlowStage::Open,
            opened_at: None,
            seen_at: now,
            acknowledged: 0,
            sequence: None,
            repeated: None,
            copies: 0,
            losses: 0,
            round_at: now,
            silence_noted: false,
            counted: true,
            idempotent,
            pending: None,
        }
    }

    /// The opening goes to `server` next, because the one before was silent.
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

    /// Notes an acknowledgement; returns whether it is new.
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
        self.note_advance();
        !first
    }

    const fn note_advance(&mut self) {
        self.copies = 0;
        self.losses = 0;
        self.repeated = None;
        self.silence_noted = false;
    }

    /// Notes that the caller asks for something at `now`, where it was not waiting.
    pub fn note_asked(&mut self, now: Timestamp) {
        let acknowledged = self.acknowledged;
        self.pending.get_or_insert(PendingRequest {
            asked_at: now,
            acknowledged,
            overdue: false,
        });
    }

    /// Whether the caller has the beginning of the answer that it waited for.
    pub fn has_answer(&self) -> bool {
        let pending = self.pending;
        pending.is_some_and(|pending| self.acknowledged != pending.acknowledged)
    }

    /// When the caller asked, the first time that it has waited for longer than `patience`.
    pub fn take_overdue(&mut self, patience: time::Duration, now: Timestamp) -> Option<Timestamp> {
        let pending = self.pending.as_mut()?;
        let is_overdue = !pending.overdue && now.since(pending.asked_at) >= patience;
        pending.overdue |= is_overdue;
        is_overdue.then_some(pending.asked_at)
    }

    /// The time from the request to its answer, once the caller has acknowledged
    /// more than one packet of that, or closes the flow with it. Other answers of one
    /// packet are acknowledged with the next request only, and tell nothing.
    pub fn take_response_time(&mut self, closing: bool, now: Timestamp) -> Option<time::Duration> {
        let pending = self.pending?;
        let advance = self.acknowledged.wrapping_sub(pending.acknowledged);
        if advance == 0 {
            return None;
        }
        self.pending = None;
        (closing || advance > ONE_PACKET).then(|| now.since(pending.asked_at))
    }

    /// Whether its caller waits for nothing that may run only once, so that a
    /// reset costs it nothing.
    pub fn can_be_ended(&self, now: Timestamp) -> bool {
        self.idempotent || self.is_resting(now)
    }

    /// Whether its caller seems to wait for nothing. Answers of one packet are
    /// acknowledged with the next request only, so that time has to tell.
    pub fn is_resting(&self, now: Timestamp) -> bool {
        let answered = self.copies == 0 && now.since(self.seen_at) >= RESTING_TIME;
        self.pending.is_none() || answered
    }

    /// Notes data; returns how often the same were sent before without progress,
    /// and since when.
    /// A request may take several packets, which are all sent again: one round of
    /// them counts once.
    ///
    /// Packets of one round may overtake each other. Those that come sooner than
    /// any caller repeats itself are no repetition.
    ///
    /// `deliveries` tells whether a copy without an answer was lost behind this host.
    pub fn note_data(
        &mut self,
        sequence: u32,
        now: Timestamp,
        deliveries: &DeliveryRecord,
    ) -> FlowSilence {
        let earlier = self
            .sequence
            .filter(|(last, _)| sequence.wrapping_sub(*last) as i32 <= 0);
        let Some((_, sent_at)) = earlier else {
            // Callers send on only while their server acknowledges.
            self.sequence = Some((sequence, now));
            self.round_at = now;
            self.note_advance();
            return FlowSilence {
                copies: 0,
                losses: 0,
                since: now,
            };
        };
        let is_late = now.since(sent_at) >= LEAST_PATIENCE;
        if is_late && *self.repeated.get_or_insert(sequence) == sequence {
            self.copies = self.copies.saturating_add(1);
            let lost_at = std::mem::replace(&mut self.round_at, now);
            self.losses += u32::from(deliveries.was_open_at(lost_at));
        }
        FlowSilence {
            copies: self.copies,
            losses: self.losses,
            since: sent_at,
        }
    }

    /// When its latest data were sent, where nothing had to be sent again.
    pub fn sent_once_at(&self) -> Option<Timestamp> {
        let (_, sent_at) = self.sequence?;
        (self.copies == 0).then_some(sent_at)
    }

    /// Whether this repetition is the first since the flow last made progress.
    /// However often a caller repeats itself, it is one flow without an answer.
    pub const fn begin_silence(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_noted, true)
    }
}

/// The flows, bounded in number.
#[derive(Debug)]
pub struct FlowWatch {
    table: FlowTable<WatchedFlow>,
    hasher: FlowHasher,
}

impl FlowWatch {
    /// Watches at most `limit` flows. The seed of the hash is the same on all
    /// hosts, so that they choose services alike.
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

    /// What is known of `flow`.
    pub fn get(&self, hash: FlowHash, flow: &FlowKey) -> Option<&WatchedFlow> {
        self.table.get(hash, flow)
    }

    /// What is known of `flow`, to be changed.
    pub fn get_mut(&mut self, hash: FlowHash, flow: &FlowKey) -> Option<&mut WatchedFlow> {
        self.table.get_mut(hash, flow)
    }

    /// Watches `flow`; returns whether there was room, and what it replaced.
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

    /// Gives every flow to `visit`.
    pub fn visit(&mut self, mut visit: impl FnMut(&mut WatchedFlow)) {
        self.table.retain(|_, watched| {
            visit(watched);
            true
        });
    }

    /// Stops counting flows that were not seen lately, and forgets those that have
    /// been idle for `idle_timeout`; `uncount` is given each that counted.
    pub fn sweep(
        &mut self,
        now: Timestamp,
        idle_timeout: time::Duration,
        mut uncount: impl FnMut(&WatchedFlow),
    ) {
        let memory = if idle_timeout.is_zero() {
            DEFAULT_MEMORY
        } else {
            idle_timeout
        };
        self.table.retain(|_, watched| {
            let idle = now.since(watched.seen_at);
            if watched.counted && idle > COUNTING_TIME {
                watched.counted = false;
                uncount(watched);
            }
            idle <= memory
        });
    }

    /// Flows on `servers`, which are in rising order, no longer count as load until
    /// they are seen again.
    pub fn stop_counting(&mut self, servers: &[BackendId]) {
        self.table.retain(|_, watched| {
            watched.counted &= servers.binary_search(&watched.server).is_err();
            true
        });
    }

    /// Takes out the flows on `servers`, which are in rising order, that `may_end`.
    pub fn take_endable(
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
