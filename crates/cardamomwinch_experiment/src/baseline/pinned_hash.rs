//! A local flow table and a plain hash: a flow that is not in the table goes to
//! the server whose index is the flow's hash modulo the number of servers.

use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::{
    BackendId, FlowHash, FlowHasher, FlowKey, FlowTable, InForceConfiguration, ServiceId,
    SortedVector,
};

use crate::baseline::FlowChoice;

const MAX_FLOWS: usize = 500_000;

/// The flow table of one host, and the servers of each service.
#[derive(Debug)]
pub struct PinnedHash {
    flows: FlowTable<TokenClaim>,
    servers: SortedVector<ServiceId, Vec<BackendId>>,
}

impl Default for PinnedHash {
    fn default() -> Self {
        Self {
            flows: FlowTable::new(MAX_FLOWS),
            servers: SortedVector::new(),
        }
    }
}

impl FlowChoice for PinnedHash {
    const NAME: &'static str = "flow table + hash";

    fn adopt(&mut self, configuration: &InForceConfiguration) {
        self.servers = SortedVector::new();
        let accepting = configuration.backends.values();
        for entry in accepting.filter(|entry| entry.accepts_new_flows()) {
            let servers = self.servers.get_or_insert_with(entry.service, Vec::new);
            servers.push(entry.id);
        }
    }

    fn choose(
        &mut self,
        configuration: &InForceConfiguration,
        flow: &FlowKey,
    ) -> Option<TokenClaim> {
        let hash = hash(flow);
        if let Some(claim) = self.flows.get(hash, flow) {
            return Some(*claim);
        }
        let service = configuration.service_at(flow.service)?;
        let servers = self.servers.get(&service.id)?;
        let chosen = servers[(hash.get() % servers.len() as u64) as usize];
        let claim = TokenClaim::from(configuration.backends.get(&chosen)?);
        // If the table is full, the next datagram of the flow is hashed again.
        let _ = self.flows.insert(hash, *flow, claim);
        Some(claim)
    }

    fn close(&mut self, flow: &FlowKey) {
        self.flows.remove(hash(flow), flow);
    }
}

fn hash(flow: &FlowKey) -> FlowHash {
    FlowHasher::new(0).hash(flow)
}
