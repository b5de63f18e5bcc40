//! Exports the state that only the home of a shard has for the next home, and imports it
//! there.
//!
//! While a shard is frozen, its datagrams are dropped, because callers send again. Replies
//! of its servers are held back, and are sent to the next home, or applied here if the
//! shard thaws.

use cardamomwinch_protocol::peer::hand_over::{
    ConnectionsItem, HandOverChunk, HandOverItem, PinItem, RecordItem,
};
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::BackendReply;
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, FlowKey, ShardId, SortedVector, Timestamp,
};

use crate::control::event::TakeOverReport;
use crate::counter::Counter;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::{TrafficEffect, TrafficSink};
use crate::traffic::handover_items::{self, KeyedRecord};
use crate::traffic::held_replies::HeldReplies;
use crate::traffic::ledger::QueueEntry;
use crate::traffic::packing::{ChunkPacker, HandOverFullError};
use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::requests::{RequestKey, RequestState};
use crate::traffic::resolve;

#[derive(Debug)]
struct FrozenShard {
    until: Timestamp,
    handed_over: bool,
    held_back: HeldReplies,
}

/// Shards that are being handed over. A frozen shard is not served until it thaws.
#[derive(Debug, Default)]
pub(crate) struct FrozenShards {
    shards: SortedVector<ShardId, FrozenShard>,
    /// Imported shards whose lease has not arrived, and until when it may arrive.
    awaiting_lease: SortedVector<ShardId, Timestamp>,
    /// Shards handed over, and until when the next home's lease may arrive.
    recently_released: SortedVector<ShardId, Timestamp>,
}

impl FrozenShards {
    /// Whether no decision about `shard` is allowed.
    pub(crate) fn is_frozen(&self, shard: ShardId, now: Timestamp) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|frozen| now < frozen.until)
    }

    /// Whether `shard` is being handed over by this host, which has not forgotten it yet.
    pub(crate) fn is_handing_over(&self, shard: ShardId, now: Timestamp) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|frozen| !frozen.handed_over && now < frozen.until)
    }

    /// Whether `shard` was recently handed over by or to this host, so that its next lease
    /// is expected soon.
    pub(crate) fn is_moving(&self, shard: ShardId, now: Timestamp) -> bool {
        let awaited = self
            .awaiting_lease
            .get(&shard)
            .is_some_and(|until| now < *until);
        awaited || self.was_released(shard, now)
    }

    /// Whether this host recently handed `shard` over.
    pub(crate) fn was_released(&self, shard: ShardId, now: Timestamp) -> bool {
        self.recently_released
            .get(&shard)
            .is_some_and(|until| now < *until)
    }

    /// Keeps a reply until the home is known.
    pub(crate) fn hold_back(&mut self, shard: ShardId, reply: &BackendReply<'_>) {
        if let Some(frozen) = self.shards.get_mut(&shard) {
            frozen.held_back.push(reply);
        }
    }
}

impl TrafficEngine {
    pub(crate) fn release_shard<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        hand_over: HandOverId,
        frozen_until: Timestamp,
    ) {
        let shard = hand_over.shard;
        if !self.place.owns(shard) {
            return;
        }
        let held_back = self.frozen.shards.remove(&shard);
        let frozen = FrozenShard {
            until: frozen_until,
            handed_over: false,
            held_back: held_back.map_or_else(HeldReplies::default, |frozen| frozen.held_back),
        };
        self.frozen.shards.insert(shard, frozen);
        for chunk in self.export(context, hand_over) {
            context.sink.emit(TrafficEffect::HandOver { chunk });
        }
    }

    /// Packs the state of the shard. If it does not all fit, the chunks state that an
    /// earlier home may know any request sent until now.
    fn export<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        hand_over: HandOverId,
    ) -> Vec<HandOverChunk> {
        let mut packer = ChunkPacker::new();
        let skew = context.snapshot.configuration.limits.clock_skew;
        let unknown_before = context.now.after(skew);
        let (needed, other) = self.pins_of(context, hand_over.shard);
        let mut left_out = Vec::new();
        for pin in needed {
            if packer.add(HandOverItem::Pin(pin)).is_err() {
                packer.cut_off(unknown_before);
                left_out.push(pin);
            }
        }
        for item in self.records_of(context, hand_over.shard) {
            if add_record(&mut packer, item).is_err() {
                packer.cut_off(unknown_before);
            }
        }
        for pin in other {
            if pin.echoes_token || packer.add(HandOverItem::Pin(pin)).is_err() {
                left_out.push(pin);
            }
        }
        for connections in self.unpinned_of(context.snapshot, hand_over.shard, &left_out) {
            // Without its connection count a server seems emptier than it is, until its
            // flows close.
            let _ = packer.add_last(HandOverItem::Connections(connections));
        }
        packer.finish(hand_over)
    }

    /// The pins of flows that move with `shard`: flows on its servers, and flows on other
    /// servers for which the lookup table selects a server of the shard. The first list
    /// holds the pins that the next home needs: those of flows opened so recently that a
    /// copy of the opening may still arrive, and those of callers that echo no token whose
    /// flows are not on the server that the table selects. Without its pin, a copy of an
    /// opening would be placed again, also elsewhere if the server of the table is full.
    fn pins_of<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        shard: ShardId,
    ) -> (Vec<PinItem>, Vec<PinItem>) {
        let limits = &context.snapshot.configuration.limits;
        let copies_for = limits.request_lifetime + limits.clock_skew;
        let mut needed = Vec::new();
        let mut other = Vec::new();
        for (flow, pin) in self.pins.iter() {
            let table = server_by_table(context.snapshot, flow);
            let off_table = table.is_none_or(|entry| entry.id != pin.claim.backend);
            let counted = resolve::shard_of(context.snapshot, &pin.claim) == shard;
            let found_here = table.is_some_and(|entry| context.snapshot.shard_of(entry) == shard);
            let goes_with_shard = match pin.role {
                PinRole::Learned => false,
                PinRole::Redirect => pin.shard == shard || (found_here && off_table),
                PinRole::Placed => counted || (found_here && off_table),
            };
            if !goes_with_shard {
                continue;
            }
            let recent = context.now.since(pin.since) < copies_for;
            let item = pin_item(flow, pin, counted && pin.counted);
            let unlike_table = off_table || pin.role == PinRole::Redirect;
            match recent || (unlike_table && !pin.echoes_token) {
                true => needed.push(item),
                false => other.push(item),
            }
        }
        (needed, other)
    }

    /// The records of `shard` that have not expired, running requests first.
    fn records_of<S: TrafficSink>(
        &self,
        context: &EventContext<'_, S>,
        shard: ShardId,
    ) -> Vec<RecordItem> {
        let records = self.requests.iter();
        let mut wanted: Vec<_> = records
            .filter(|(_, record)| record.shard == shard && record.expires > context.now)
            .collect();
        wanted.sort_by_key(|(_, record)| std::cmp::Reverse(export_rank(&record.state)));
        let items = wanted.into_iter();
        items
            .map(|(key, record)| handover_items::record_item(key, record))
            .collect()
    }

    fn unpinned_of(
        &self,
        snapshot: &RoutingSnapshot,
        shard: ShardId,
        left_out: &[PinItem],
    ) -> Vec<ConnectionsItem> {
        let ledgers = self.ledgers.iter();
        let own = ledgers.filter(|(id, _)| belongs_to(snapshot, **id, shard));
        own.filter_map(|(backend, ledger)| {
            let backend = *backend;
            let pinned = left_out
                .iter()
                .filter(|pin| pin.counted && pin.claim.backend == backend);
            let connections = ledger.unpinned + pinned.count() as u32;
            (connections > 0).then_some(ConnectionsItem {
                backend,
                connections,
            })
        })
        .collect()
    }

    /// Forgets a shard whose home is now another host. A request that waits here was
    /// handed over and waits there as well; this host must not send it if it becomes the
    /// home again.
    pub(crate) fn forget_shard<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        shard: ShardId,
    ) {
        if !self.place.owns(shard) {
            return;
        }
        if let Some(frozen) = self.frozen.shards.get_mut(&shard) {
            frozen.handed_over = true;
            let lease = context.snapshot.configuration.limits.home_lease;
            self.frozen
                .recently_released
                .insert(shard, context.now.after(lease));
        }
        self.requests.retain(|_, record| record.shard != shard);
        let snapshot = context.snapshot;
        self.ledgers
            .retain(|backend, _| !belongs_to(snapshot, backend, shard));
        self.pins.retain(|flow, pin| {
            if pin.shard != shard || pin.role == PinRole::Learned {
                return true;
            }
            pin.counted = false;
            pin.role = PinRole::Redirect;
            // Its datagrams may still arrive here because of the lookup table.
            let found_by = server_by_table(snapshot, flow).map(|entry| snapshot.shard_of(entry));
            let elsewhere = found_by.filter(|found_by| *found_by != shard);
            pin.shard = elsewhere.unwrap_or(shard);
            elsewhere.is_some()
        });
    }

    pub(crate) fn thaw_shard<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        shard: ShardId,
    ) {
        if let Some(frozen) = self.frozen.shards.get_mut(&shard) {
            frozen.until = context.now;
        }
        self.thaw(context);
    }

    /// Processes the replies that were held back for shards that are no longer frozen:
    /// relays them to the home, or applies them here.
    pub(crate) fn thaw<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let now = context.now;
        self.frozen.awaiting_lease.retain(|_, until| now < *until);
        self.frozen
            .recently_released
            .retain(|_, until| now < *until);
        let mut thawed = Vec::new();
        self.frozen.shards.retain(|shard, frozen| {
            let keep = !frozen.handed_over && now < frozen.until;
            if !keep {
                thawed.push((*shard, std::mem::take(&mut frozen.held_back)));
            }
            keep
        });
        for (shard, held_back) in thawed {
            held_back.drain(|reply| self.account(context, reply, shard, 0));
        }
    }

    pub(crate) fn take_over<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        chunk: &HandOverChunk,
    ) {
        let shard = chunk.hand_over.shard;
        if !self.place.owns(shard) {
            return;
        }
        let lease = context.snapshot.configuration.limits.home_lease;
        self.frozen
            .awaiting_lease
            .insert(shard, context.now.after(lease));
        let mut whole = true;
        for item in &chunk.items {
            whole &= match item {
                HandOverItem::Pin(pin) => self.import_pin(context, pin, shard),
                HandOverItem::Record(record) => self.import_record(context, record, shard),
                HandOverItem::Connections(connections) => {
                    let ledger = self.ledgers.get_or_create(connections.backend);
                    ledger.connections += connections.connections;
                    ledger.unpinned += connections.connections;
                    true
                }
            };
        }
        context.count(Counter::ChunkTakenOver);
        let skew = context.snapshot.configuration.limits.clock_skew;
        let missing = (!whole).then(|| context.now.after(skew));
        let report = TakeOverReport {
            hand_over: chunk.hand_over,
            position: chunk.position,
            records_since: chunk.records_since.max(missing),
        };
        context.sink.emit(TrafficEffect::TookOver(report));
    }

    fn import_pin<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        item: &PinItem,
        shard: ShardId,
    ) -> bool {
        let hash = Self::hasher(context.snapshot).hash(&item.flow);
        let mut counted = item.counted;
        if let Some(pin) = self.pins.get_mut(hash, &item.flow) {
            counted &= !(pin.counted && pin.claim == item.claim);
            let imported = handover_items::pin_of(item, shard);
            let placed_here = pin.role == PinRole::Placed && pin.counted;
            if placed_here && !imported.counted {
                // This host is the home of the server itself. A redirect of another shard
                // that it becomes the home of must not replace the pin.
                return true;
            }
            *pin = FlowPin {
                disputed: pin.disputed || imported.disputed,
                last_seen: pin.last_seen.max(item.last_seen),
                ..imported
            };
        } else if self
            .pins
            .insert(hash, item.flow, handover_items::pin_of(item, shard))
            .is_err()
        {
            context.count(Counter::TableFull);
            if counted {
                let ledger = self.ledgers.get_or_create(item.claim.backend);
                ledger.connections += 1;
                ledger.unpinned += 1;
            }
            return false;
        }
        if counted {
            self.ledgers.get_or_create(item.claim.backend).connections += 1;
        }
        true
    }

    /// Imports a record; of two records of one request, the one further along is kept.
    /// Returns `false` if the record could not be imported.
    fn import_record<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        item: &RecordItem,
        shard: ShardId,
    ) -> bool {
        if item.expires <= context.now {
            return true;
        }
        let Ok(KeyedRecord { key, record }) = handover_items::keyed_record(item.clone(), shard)
        else {
            context.count(Counter::HandOverRefused);
            return false;
        };
        let hash = Self::hasher(context.snapshot).hash(&key.flow);
        if let Some(known) = self.requests.get(hash, &key) {
            if progress_rank(&known.state) >= progress_rank(&record.state) {
                return true;
            }
            self.uncount_record(&key);
        }
        let queued = QueueEntry { hash, key };
        let waits = record.state.clone();
        if self.requests.insert(hash, key, record).is_err() {
            context.count(Counter::TableFull);
            return false;
        }
        match waits {
            RequestState::Queued {
                backend,
                attempt,
                held,
            } => {
                self.import_waiting(context, backend, queued, attempt, held.header.deadline);
            }
            RequestState::Running(running) => self.import_running(context, queued, &running),
            _ => {}
        }
        true
    }

    fn uncount_record(&mut self, key: &RequestKey) {
        for (_, ledger) in self.ledgers.iter_mut() {
            ledger.finish(key);
            ledger.remove_from_queue(key);
        }
    }
}

fn add_record(packer: &mut ChunkPacker, record: RecordItem) -> Result<(), HandOverFullError> {
    let mut item = HandOverItem::Record(record);
    if let HandOverItem::Record(record) = &item
        && !packer.fits_a_chunk(&item)
    {
        item = HandOverItem::Record(handover_items::without_parts(record.clone()));
    }
    packer.add(item)
}

fn pin_item(flow: &FlowKey, pin: &FlowPin, counted: bool) -> PinItem {
    PinItem {
        flow: *flow,
        claim: pin.claim,
        since: pin.since,
        last_seen: pin.last_seen,
        echoes_token: pin.echoes_token,
        disputed: pin.disputed,
        counted,
    }
}

/// The server that the lookup table in force selects for `flow`.
fn server_by_table<'s>(snapshot: &'s RoutingSnapshot, flow: &FlowKey) -> Option<&'s BackendEntry> {
    let service = snapshot.service_of(flow.service)?;
    let hash = TrafficEngine::hasher(snapshot).hash(flow);
    let tables = snapshot.generations.first()?;
    snapshot.backend(tables.select(service.id, hash)?)
}

/// Whether the server `backend` belongs to `shard`.
fn belongs_to(snapshot: &RoutingSnapshot, backend: BackendId, shard: ShardId) -> bool {
    match snapshot.backend(backend) {
        Some(entry) => snapshot.shard_of(entry) == shard,
        None => {
            let count = snapshot.configuration.limits.shards_per_domain;
            ShardId::of_backend(shard.domain, backend, count) == shard
        }
    }
}

/// Running requests come first, because each occupies a slot.
fn export_rank(state: &RequestState) -> u8 {
    match state {
        RequestState::Running(_) => 2,
        RequestState::Queued { .. } => 1,
        RequestState::Answered { .. }
        | RequestState::Refused { .. }
        | RequestState::Moved { .. }
        | RequestState::Unknown => 0,
    }
}

/// How far a request has progressed, to choose between two records of it.
fn progress_rank(state: &RequestState) -> u8 {
    match state {
        RequestState::Queued { .. } => 0,
        RequestState::Unknown | RequestState::Moved { .. } => 1,
        RequestState::Running(_) => 2,
        RequestState::Refused { .. } => 3,
        RequestState::Answered { .. } => 4,
    }
}
