//! Makes the snapshots that traffic threads decide against.

use std::net;
use std::sync;
use std::time;

use cardamomwinch_protocol::peer::earlier_tables::EarlierTables;
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, DomainId, HostId, HostListVersion, HostTable,
    InForceConfiguration, ServiceId, SortedVector, Timestamp,
};

use crate::control::homes::HomeTable;
use crate::control::membership::PeerMembership;
use crate::identity::HostIdentity;
use crate::routing::generations::GenerationHistory;
use crate::snapshot::{RoutingSnapshot, ServingPhase};

/// Traffic may rely on a snapshot this long.
pub(crate) const SNAPSHOT_FRESH_FOR: time::Duration = time::Duration::from_millis(1500);

/// What is in force, in the form that traffic needs.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPublisher {
    configuration: sync::Arc<InForceConfiguration>,
    history: GenerationHistory,
    /// Earlier tables that came before the first configuration.
    awaiting: Option<EarlierTables>,
    retained: SortedVector<BackendId, BackendEntry>,
    server_addresses: sync::Arc<SortedVector<net::SocketAddr, ServiceId>>,
    domain_names: sync::Arc<SortedVector<DomainId, String>>,
    hosts_version: HostListVersion,
    hosts_since: Timestamp,
}

impl SnapshotPublisher {
    pub(crate) fn configuration(&self) -> &sync::Arc<InForceConfiguration> {
        &self.configuration
    }

    /// Takes a configuration into force. Servers that it no longer has are
    /// retained, so that their open flows go on, for as long as a kept
    /// generation names them; a token names its server by itself.
    pub(crate) fn adopt(
        &mut self,
        now: Timestamp,
        configuration: InForceConfiguration,
        domain_names: SortedVector<DomainId, String>,
    ) {
        self.domain_names = sync::Arc::new(domain_names);
        self.history.adopt(now, &configuration);
        for entry in self.configuration.backends.values() {
            if !configuration.backends.contains_key(&entry.id) {
                self.retained.insert(entry.id, entry.clone());
            }
        }
        let in_force = &configuration.backends;
        let addresses = in_force
            .values()
            .map(|entry| (entry.address, entry.service));
        self.server_addresses = sync::Arc::new(addresses.collect());
        self.configuration = sync::Arc::new(configuration);
        self.drop_unnamed();
        if let Some(tables) = self.awaiting.take() {
            self.learn(tables);
        }
    }

    /// Takes in what a peer keeps of earlier versions. Guards against a fleet
    /// that forgets, host by host as it is restarted, where earlier tables
    /// placed flows without token: those flows would be reset.
    pub(crate) fn learn(&mut self, tables: EarlierTables) {
        if self.configuration.version == ConfigurationVersion::ZERO {
            self.awaiting = Some(tables);
            return;
        }
        self.history.learn(&tables.generations);
        for entry in tables.retained {
            self.retained.insert(entry.id, entry);
        }
        self.drop_unnamed();
    }

    /// What a host that starts lacks of earlier versions.
    pub(crate) fn earlier_tables(&self) -> EarlierTables {
        EarlierTables {
            generations: self.history.listed(),
            retained: self.retained.values().cloned().collect(),
        }
    }

    fn drop_unnamed(&mut self) {
        let in_force = &self.configuration.backends;
        let history = &self.history;
        self.retained
            .retain(|id, entry| !in_force.contains_key(id) && history.names(entry.service, *id));
    }

    pub(crate) fn make(
        &mut self,
        now: Timestamp,
        identity: HostIdentity,
        phase: ServingPhase,
        hosts: &sync::Arc<HostTable>,
        homes: &HomeTable,
        membership: &PeerMembership,
    ) -> RoutingSnapshot {
        self.history.settle(now, any_domain_cut_off(homes));
        if std::mem::replace(&mut self.hosts_version, hosts.version) != hosts.version {
            self.hosts_since = now;
        }
        RoutingSnapshot {
            made: now,
            phase,
            fresh_until: now.after(SNAPSHOT_FRESH_FOR),
            configuration: sync::Arc::clone(&self.configuration),
            hosts: sync::Arc::clone(hosts),
            hosts_since: self.hosts_since,
            generations: self.history.tables(),
            opening_generations: self.history.opening_count(),
            history_missing: self.history.history_missing(now),
            retained: self.retained.clone(),
            server_addresses: sync::Arc::clone(&self.server_addresses),
            domain_names: sync::Arc::clone(&self.domain_names),
            shards: homes.shards().clone(),
            backends: SortedVector::new(),
            helpers: helpers(now, identity, hosts, membership),
        }
    }
}

/// Whether some domain has no home that can be reached. Shards are sorted by
/// domain, so that those of a domain lie side by side.
fn any_domain_cut_off(homes: &HomeTable) -> bool {
    let mut current: Option<(DomainId, bool)> = None;
    for (shard, view) in homes.shards().iter() {
        current = match current {
            Some((domain, reached)) if domain == shard.domain => {
                Some((domain, reached || view.home.is_some()))
            }
            Some((_, false)) => return true,
            _ => Some((shard.domain, view.home.is_some())),
        };
    }
    current.is_some_and(|(_, reached)| !reached)
}

fn helpers(
    now: Timestamp,
    identity: HostIdentity,
    hosts: &HostTable,
    membership: &PeerMembership,
) -> Vec<HostId> {
    let peers = hosts.hosts.values();
    let reachable = peers
        .filter(|host| host.id != identity.host)
        .filter(|host| membership.is_reachable(now, host.id));
    let (near, far): (Vec<_>, Vec<_>) = reachable.partition(|host| host.domain == identity.domain);
    let chosen = if near.is_empty() { far } else { near };
    chosen.into_iter().map(|host| host.id).collect()
}
