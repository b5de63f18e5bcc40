//! Passes events to the home table and carries out the resulting actions.

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HomeMessage;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{ConfigurationVersion, HostId, ShardId, Timestamp};

use crate::control::ControlEngine;
use crate::control::effect::{ControlEffect, ControlSink};
use crate::control::event::TakeOverReport;
use crate::control::homes::voters::HostIncarnation;
use crate::control::homes::{HomeAction, HomeContext};
use crate::counter::Counter;
use crate::decision::{DecisionReason, DecisionRecord};

/// Borrows the home table together with the state that its decisions depend on.
/// A macro, because a method would borrow the whole engine.
macro_rules! homes_and_context {
    ($engine:ident) => {{
        let context = HomeContext {
            identity: $engine.identity,
            phase: $engine.phase,
            adopted: $engine.adoption.version() > ConfigurationVersion::ZERO,
            limits: &$engine.publisher.configuration().limits,
            hosts: $engine.adoption.hosts(),
            membership: &$engine.membership,
        };
        (&mut $engine.homes, context)
    }};
}

impl ControlEngine {
    /// To be called before each event is handled, so that the home table detects
    /// a pause of the process and changes of the host list.
    pub(crate) fn prepare_homes(&mut self, now: Timestamp) {
        let (homes, context) = homes_and_context!(self);
        homes.note_event(now, &context);
    }

    pub(crate) fn advance_homes<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let mut actions = Vec::new();
        let (homes, context) = homes_and_context!(self);
        homes.advance(now, &context, &mut actions);
        self.carry_out(now, actions, sink);
    }

    pub(crate) fn stop_homes<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        self.homes.stop(now);
        self.advance_homes(now, sink);
    }

    pub(crate) fn handle_home_message<S: ControlSink>(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
        message: &HomeMessage,
        sink: &mut S,
    ) {
        let mut actions = Vec::new();
        let sender = HostIncarnation::new(envelope.sender, envelope.incarnation);
        let (homes, context) = homes_and_context!(self);
        homes.handle_message(now, &context, sender, message, &mut actions);
        self.carry_out(now, actions, sink);
    }

    pub(crate) fn handle_exported_chunk<S: ControlSink>(
        &mut self,
        now: Timestamp,
        chunk: HandOverChunk,
        sink: &mut S,
    ) {
        let mut actions = Vec::new();
        self.homes.send_exported(now, chunk, &mut actions);
        self.carry_out(now, actions, sink);
    }

    pub(crate) fn handle_import_report<S: ControlSink>(
        &mut self,
        now: Timestamp,
        report: TakeOverReport,
        sink: &mut S,
    ) {
        let mut actions = Vec::new();
        let (homes, context) = homes_and_context!(self);
        homes.handle_imported(now, &context, report, &mut actions);
        self.carry_out(now, actions, sink);
    }

    pub(crate) fn refresh_homes(&mut self, now: Timestamp) {
        let (homes, context) = homes_and_context!(self);
        homes.refresh(now, &context);
    }

    fn home_record(&self, now: Timestamp, shard: ShardId, home: HostId) -> DecisionRecord {
        DecisionRecord {
            time: now,
            host: self.identity.host,
            version: self.adoption.version(),
            reason: DecisionReason::HomeChanged,
            flow: None,
            request: None,
            service: None,
            backend: None,
            peer: Some(home),
            shard: Some(shard),
            attempt: None,
            evidence: None,
        }
    }

    fn carry_out<S: ControlSink>(
        &mut self,
        now: Timestamp,
        actions: Vec<HomeAction>,
        sink: &mut S,
    ) {
        for action in actions {
            match action {
                HomeAction::Send { host, message } => {
                    self.send(host, PeerMessage::Home(message), sink);
                }
                HomeAction::ReleaseShard {
                    hand_over,
                    frozen_until,
                } => sink.emit(ControlEffect::ReleaseShard {
                    hand_over,
                    frozen_until,
                }),
                HomeAction::ThawShard { shard } => sink.emit(ControlEffect::ThawShard { shard }),
                HomeAction::ForgetShard { shard } => {
                    sink.emit(ControlEffect::Count(Counter::ShardHandedOver));
                    sink.emit(ControlEffect::ForgetShard { shard });
                }
                HomeAction::TakeOver { chunk } => sink.emit(ControlEffect::TakeOver { chunk }),
                HomeAction::HomeChanged { shard, home } => {
                    let record = self.home_record(now, shard, home);
                    sink.emit(ControlEffect::Decide(record));
                }
                HomeAction::Publish => self.publish(now, sink),
                HomeAction::Drained => sink.emit(ControlEffect::Drained),
            }
        }
    }
}
