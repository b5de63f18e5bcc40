//! The openings that were refused a short time ago.
//!
//! Guards against a request that runs although a reset has stated that it does not: the
//! reset may be lost, and a later copy of the opening, or an earlier one that was delayed,
//! would be sent to a server.

use std::time;

use cardamomwinch_state::prelude::{FlowHash, FlowKey, FlowTable, Timestamp};

use crate::load::admission::AdmissionRefusal;

/// How long copies of an opening may arrive after the first one: callers give up after 1.4 s,
/// and the network may delay the last copy.
pub const COPY_TIME: time::Duration = time::Duration::from_secs(3);
/// The maximum number of refused openings: what a host refuses in [`COPY_TIME`] at 5,000
/// refusals per second. Others are admitted, because their refusal could not be repeated.
const FLOW_LIMIT: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct RefusedFlow {
    refusal: AdmissionRefusal,
    at: Timestamp,
}

/// The refused openings, limited in number.
#[derive(Debug)]
pub struct RefusedFlows {
    flows: FlowTable<RefusedFlow>,
}

impl Default for RefusedFlows {
    fn default() -> Self {
        Self {
            flows: FlowTable::new(FLOW_LIMIT),
        }
    }
}

impl RefusedFlows {
    /// Whether another refusal can be remembered.
    pub fn has_space(&self) -> bool {
        self.flows.len() < FLOW_LIMIT
    }

    /// The refusal of `flow`, if it was refused a short time ago.
    pub fn get(&self, flow: &FlowKey, hash: FlowHash, now: Timestamp) -> Option<AdmissionRefusal> {
        let refused = self.flows.get(hash, flow);
        let recent = refused.filter(|refused| now.since(refused.at) <= COPY_TIME);
        recent.map(|refused| refused.refusal)
    }

    /// Records that the opening of `flow` is refused. Returns whether it found space.
    pub fn note(
        &mut self,
        flow: &FlowKey,
        hash: FlowHash,
        refusal: AdmissionRefusal,
        now: Timestamp,
    ) -> bool {
        let refused = RefusedFlow { refusal, at: now };
        self.flows.insert(hash, *flow, refused).is_ok()
    }

    /// Removes refusals whose copies have all arrived.
    pub fn sweep(&mut self, now: Timestamp) {
        self.flows
            .retain(|_, refused| now.since(refused.at) <= COPY_TIME);
    }
}
