//! Reports to control at intervals what backend servers did.

use std::time;

use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::control::health::observation::{BackendObservation, OBSERVATION_INTERVAL};
use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::{TrafficEffect, TrafficSink};
use crate::traffic::ledger::ServerLedger;

impl TrafficEngine {
    pub(crate) fn observe<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        if context.now < self.next_observation {
            return;
        }
        self.next_observation = context.now.after(OBSERVATION_INTERVAL);
        let now = context.now;
        let ledgers = self.ledgers.iter_mut();
        let observations: Vec<BackendObservation> = ledgers
            .map(|(backend, ledger)| observation(now, *backend, ledger))
            .collect();
        if !observations.is_empty() {
            context.sink.emit(TrafficEffect::Observe(observations));
        }
    }
}

fn observation(
    now: Timestamp,
    backend: BackendId,
    ledger: &mut ServerLedger,
) -> BackendObservation {
    let counts = std::mem::take(&mut ledger.unreported);
    let last_reply = ledger.last_reply;
    let running = ledger.running().iter();
    let unanswered = running.filter(|slot| slot.overdue && slot.sent >= last_reply);
    let first_sent = unanswered.clone().map(|slot| slot.sent).min();
    BackendObservation {
        backend,
        answers: counts.answers,
        sheds: counts.sheds,
        unanswered: unanswered.count() as u32,
        silent_for: first_sent.map_or(time::Duration::ZERO, |sent| now.since(sent)),
    }
}
