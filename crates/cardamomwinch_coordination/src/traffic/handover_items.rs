//! Converts the state of a home to and from the items of a hand-over.

use cardamomwinch_protocol::peer::hand_over::{
    HeldItem, PartItem, PartsItem, PinItem, RecordItem, RecordState,
};
use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, ShardId};
use snafu::Snafu;

use crate::traffic::pins::{FlowPin, PinRole};
use crate::traffic::requests::{
    HeldRequest, KEPT_PARTS_LIMIT, KeptPart, PARTS_LIMIT, PartTracker, RequestKey, RequestRecord,
    RequestState, RunningRequest,
};

/// Why an item of a hand-over is not imported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum HandOverItemError {
    /// More parts than an answer may have, or a bit set that does not match their number.
    #[snafu(display("{bits} words of bits for {total} parts"))]
    Parts {
        /// The number of parts that the item names.
        total: u32,
        /// The number of words in the bit set.
        bits: usize,
    },
    /// More parts are kept than a home keeps.
    #[snafu(display("{kept} parts kept"))]
    Kept {
        /// Their number.
        kept: usize,
    },
}

/// A record with its key, as it is imported.
#[derive(Debug)]
pub(crate) struct KeyedRecord {
    pub(crate) key: RequestKey,
    pub(crate) record: RequestRecord,
}

/// The server of a record whose state names none; nothing is sent to it.
const NO_BACKEND: BackendId = BackendId::new(0);

impl From<&HeldRequest> for HeldItem {
    fn from(held: &HeldRequest) -> Self {
        Self {
            header: held.header,
            kind: held.kind,
            payload: held.payload.to_vec(),
        }
    }
}

impl From<HeldItem> for HeldRequest {
    fn from(item: HeldItem) -> Self {
        Self {
            header: item.header,
            kind: item.kind,
            payload: item.payload.into(),
        }
    }
}

impl From<&PartTracker> for PartsItem {
    fn from(tracker: &PartTracker) -> Self {
        Self {
            total: tracker.total,
            bits: tracker.bits.clone(),
        }
    }
}

impl TryFrom<PartsItem> for PartTracker {
    type Error = HandOverItemError;

    fn try_from(item: PartsItem) -> Result<Self, HandOverItemError> {
        let PartsItem { total, bits } = item;
        let words = total.div_ceil(u64::BITS) as usize;
        let spare = words as u32 * u64::BITS - total.min(PARTS_LIMIT);
        let last = bits.last().copied().unwrap_or_default();
        let beyond = spare > 0 && spare < u64::BITS && last >> (u64::BITS - spare) != 0;
        if total > PARTS_LIMIT || bits.len() != words || beyond {
            let bits = bits.len();
            return Err(HandOverItemError::Parts { total, bits });
        }
        let seen = bits.iter().map(|word| word.count_ones()).sum();
        Ok(Self { total, seen, bits })
    }
}

fn part_items(kept: &[KeptPart]) -> Vec<PartItem> {
    let items = kept.iter().map(|kept| PartItem {
        part: kept.part,
        payload: kept.payload.to_vec(),
    });
    items.collect()
}

fn kept_parts(items: Vec<PartItem>) -> Result<Vec<KeptPart>, HandOverItemError> {
    let kept = items.len();
    if kept > KEPT_PARTS_LIMIT as usize {
        return Err(HandOverItemError::Kept { kept });
    }
    let parts = items.into_iter().map(|item| KeptPart {
        part: item.part,
        payload: item.payload.into(),
    });
    Ok(parts.collect())
}

/// The record of `key` for the next home.
pub(crate) fn record_item(key: &RequestKey, record: &RequestRecord) -> RecordItem {
    let (backend, state) = match &record.state {
        RequestState::Queued {
            backend,
            attempt,
            held,
        } => {
            let state = RecordState::Queued {
                attempt: *attempt,
                held: held.into(),
            };
            (*backend, state)
        }
        // Its caller was sent "outcome unknown", and the next home must not reply
        // otherwise.
        RequestState::Running(running) if running.given_up => (NO_BACKEND, RecordState::Unknown),
        RequestState::Running(running) => (running.backend, running_state(running)),
        RequestState::Answered { attempt, kept } => {
            let state = RecordState::Answered {
                attempt: *attempt,
                kept: kept.as_deref().map(part_items),
            };
            (NO_BACKEND, state)
        }
        RequestState::Refused { reason } => (NO_BACKEND, RecordState::Refused { reason: *reason }),
        // It did not run here, but a copy may have been relayed and run.
        RequestState::Moved { .. } | RequestState::Unknown => (NO_BACKEND, RecordState::Unknown),
    };
    RecordItem {
        flow: key.flow,
        id: key.id,
        backend,
        expires: record.expires,
        idempotent: record.idempotent,
        may_have_run: record.may_have_run,
        state,
    }
}

fn running_state(running: &RunningRequest) -> RecordState {
    RecordState::Running {
        attempt: running.attempt,
        sent: running.sent,
        held: (&running.held).into(),
        seen: (&running.tracker).into(),
        kept: running.complete.then(|| part_items(&running.kept)),
    }
}

/// The same record without the parts of its answer, for records that are too large for one
/// message. A copy of the request is then answered with "outcome unknown" instead of the
/// answer.
pub(crate) fn without_parts(mut item: RecordItem) -> RecordItem {
    match &mut item.state {
        RecordState::Running { kept, .. } | RecordState::Answered { kept, .. } => *kept = None,
        RecordState::Queued { .. } | RecordState::Refused { .. } | RecordState::Unknown => {}
    }
    item
}

/// Converts a record that was handed over with `shard` into one of this host.
///
/// # Errors
/// Returns an error if the parts are inconsistent.
pub(crate) fn keyed_record(
    item: RecordItem,
    shard: ShardId,
) -> Result<KeyedRecord, HandOverItemError> {
    let backend = item.backend;
    let state = match item.state {
        RecordState::Queued { attempt, held } => RequestState::Queued {
            backend,
            attempt,
            held: held.into(),
        },
        RecordState::Running {
            attempt,
            sent,
            held,
            seen,
            kept,
        } => RequestState::Running(Box::new(RunningRequest {
            backend,
            attempt,
            sent,
            held: held.into(),
            tracker: seen.try_into()?,
            complete: kept.is_some(),
            given_up: false,
            kept: kept_parts(kept.unwrap_or_default())?,
        })),
        RecordState::Answered { attempt, kept } => RequestState::Answered {
            attempt,
            kept: kept.map(kept_parts).transpose()?,
        },
        RecordState::Refused { reason } => RequestState::Refused { reason },
        RecordState::Unknown => RequestState::Unknown,
    };
    let key = RequestKey {
        flow: item.flow,
        id: item.id,
    };
    let record = RequestRecord {
        shard,
        expires: item.expires,
        idempotent: item.idempotent,
        may_have_run: item.may_have_run || state.may_have_run_before(),
        state,
    };
    Ok(KeyedRecord { key, record })
}

/// The pin that `item` becomes at the next home of `shard`. If the flow is not counted
/// there, the pin redirects to the home of another server.
pub(crate) const fn pin_of(item: &PinItem, shard: ShardId) -> FlowPin {
    FlowPin {
        claim: item.claim,
        shard,
        role: match item.counted {
            true => PinRole::Placed,
            false => PinRole::Redirect,
        },
        disputed: item.disputed,
        since: item.since,
        last_seen: item.last_seen,
        counted: item.counted,
        announced: ConfigurationVersion::ZERO,
        echoes_token: item.echoes_token,
    }
}
