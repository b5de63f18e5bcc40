//! Flows whose token belongs to no known server.

use std::time;

use cardamomwinch_state::prelude::{FlowKey, SortedVector, Timestamp};

/// The maximum number of flows. Others are not reset, and their callers time out.
const UNKNOWN_LIMIT: usize = 4_096;
/// How long a flow is kept: longer than callers wait between two copies.
const RETENTION: time::Duration = time::Duration::from_secs(5);

/// When the first packet with an unknown token was received of each flow.
#[derive(Debug, Default)]
pub struct UnknownFlows {
    since: SortedVector<FlowKey, Timestamp>,
}

impl UnknownFlows {
    /// Records a packet of `flow`, and returns when the first one was received.
    pub fn note(&mut self, flow: FlowKey, now: Timestamp) -> Timestamp {
        if self.since.len() >= UNKNOWN_LIMIT && !self.since.contains_key(&flow) {
            return now;
        }
        *self.since.get_or_insert_with(flow, || now)
    }

    /// Removes `flow`.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.since.remove(flow);
    }

    /// Removes flows whose first packet was received too long ago.
    pub fn sweep(&mut self, now: Timestamp) {
        self.since.retain(|_, since| now.since(*since) <= RETENTION);
    }
}
