//! A local flow table over a plain hash: a flow that this host has not seen
//! goes to the server at its hash modulo the number of servers.

use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::{
    BackendId, FlowHash, FlowHasher, FlowKey, FlowTable, InForceConfiguration, ServiceId,
    SortedVector,
};

use crate::baseline::FlowChoice;

const FLOW_LIMIT: usize = 500_000;

/// Flows that this host has seen, and servers by service.
#[derive(Debug)]
pub struct PinnedHash {
    flows: FlowTable<TokenClaim>,
    servers: SortedVector<ServiceId, Vec<BackendId>>,
}

impl Default for PinnedHash {
    fn default() -> Self {
        Self {
            flows: FlowTable::new(FLOW_LIMIT),
            servers: SortedVector::new(),
        }
    }
}

impl FlowChoice for PinnedHash {
    const NAME: &'static str = "flow table + hash";

    fn adopt(&mut self, configuration: &InForceConfiguration) {
        self.servers = SortedVector::new();
        let takers = configuration.backends.values();
        for entry in takers.filter(|entry| entry.takes_new_flows()) {
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
        // A full table only means that the next datagram is hashed anew.
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
