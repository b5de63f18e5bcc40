//! Work that is done a little at a time with each tick: expiry of requests and
//! waiting ones whose deadline has passed.

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::{BackendDatagram, BackendKind};
use cardamomwinch_state::prelude::{BackendId, PartedTable};

use crate::counter::Counter;
use crate::traffic::TrafficEngine;
use crate::traffic::context::EventContext;
use crate::traffic::effect::{TrafficEffect, TrafficSink};
use crate::traffic::requests::{KeptPart, RequestKey, RequestState, RunningRequest};

/// Parts of the request table that one tick sweeps.
const PARTS_PER_TICK: usize = 128;

impl TrafficEngine {
    pub(crate) fn sweep<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let mut freed: Vec<BackendId> = Vec::new();
        let mut released = 0;
        for _ in 0..PARTS_PER_TICK {
            let position = self.sweep_position;
            self.sweep_position = (position + 1) % PartedTable::<RequestKey, ()>::part_count();
            self.requests
                .sweep_part(position, context.now, |key, state| {
                    released += kept_bytes(&state);
                    if let RequestState::Running(running) = state {
                        cancel(context, key, &running);
                        freed.push(running.backend);
                    }
                });
        }
        self.held_bytes = self.held_bytes.saturating_sub(released);
        for backend in freed {
            context.count(Counter::RequestExpired);
            self.release_slot(context, backend);
        }
    }
}

pub(crate) fn kept_bytes(state: &RequestState) -> usize {
    let sum = |kept: &[KeptPart]| kept.iter().map(|part| part.payload.len()).sum();
    match state {
        RequestState::Running(running) => sum(&running.kept),
        RequestState::Answered {
            kept: Some(kept), ..
        } => sum(kept),
        _ => 0,
    }
}

/// Tells the server that nobody waits for the answer any more.
fn cancel<S: TrafficSink>(
    context: &mut EventContext<'_, S>,
    key: &RequestKey,
    running: &RunningRequest,
) {
    let Some(entry) = context.snapshot.backend(running.backend) else {
        return;
    };
    let deadline = running.held.header.deadline;
    context.sink.emit(TrafficEffect::ToBackend {
        address: entry.address,
        datagram: BackendDatagram {
            flow: key.flow,
            backend: running.backend,
            via: context.identity.host,
            kind: BackendKind::Cancel,
            request: Some(BackendRequest {
                id: key.id,
                attempt: running.attempt,
                start_before: deadline,
                deadline,
            }),
            payload: &[],
        },
    });
}
