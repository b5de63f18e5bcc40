//! The product's lookup table alone, without any flow table.

use cardamomwinch_coordination::routing::lookup_table::LookupTables;
use cardamomwinch_protocol::prelude::TokenClaim;
use cardamomwinch_state::prelude::{FlowHasher, FlowKey, InForceConfiguration};

use crate::baseline::FlowChoice;

/// The lookup tables in force.
#[derive(Debug, Default)]
pub struct ConsistentTable {
    tables: LookupTables,
}

impl FlowChoice for ConsistentTable {
    const NAME: &'static str = "table only";

    fn adopt(&mut self, configuration: &InForceConfiguration) {
        self.tables = LookupTables::derive(configuration, Some(&self.tables));
    }

    fn choose(
        &mut self,
        configuration: &InForceConfiguration,
        flow: &FlowKey,
    ) -> Option<TokenClaim> {
        let service = configuration.service_at(flow.service)?;
        let hash = FlowHasher::new(0).hash(flow);
        let chosen = self.tables.select(service.id, hash)?;
        configuration.backends.get(&chosen).map(TokenClaim::from)
    }

    fn close(&mut self, _flow: &FlowKey) {}
}
