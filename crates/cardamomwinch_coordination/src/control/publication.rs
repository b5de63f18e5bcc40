//! Builds the snapshots that traffic threads route by.

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

/// How long after its creation a snapshot is fresh.
pub(crate) const SNAPSHOT_LIFETIME: time::Duration = time::Duration::from_millis(1500);

/// The configuration in force and the data derived from it for snapshots.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPublisher {
    configuration: sync::Arc<InForceConfiguration>,
    history: GenerationHistory,
    /// Tables of earlier versions that were received before the first
    /// configuration came into force.
    pending_tables: Option<EarlierTables>,
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

    /// Puts a configuration in force. Servers that it no longer contains are
    /// retained until no kept generation contains them, so that their open flows
    /// continue. Flows with a token do not depend on this, because the token
    /// contains the server.
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
        self.drop_unused_servers();
        if let Some(tables) = self.pending_tables.take() {
            self.merge_earlier_tables(tables);
        }
    }

    /// Merges the tables of earlier versions that a peer keeps. Otherwise, a
    /// restart of all hosts one after another would lose these tables, and flows
    /// without token that were placed by them would be reset.
    pub(crate) fn merge_earlier_tables(&mut self, tables: EarlierTables) {
        if self.configuration.version == ConfigurationVersion::ZERO {
            self.pending_tables = Some(tables);
            return;
        }
        self.history.add_missing(&tables.generations);
        for entry in tables.retained {
            self.retained.insert(entry.id, entry);
        }
        self.drop_unused_servers();
    }

    /// The tables and servers of earlier versions, for a host that is starting.
    pub(crate) fn earlier_tables(&self) -> EarlierTables {
        EarlierTables {
            generations: self.history.listed(),
            retained: self.retained.values().cloned().collect(),
        }
    }

    fn drop_unused_servers(&mut self) {
        let in_force = &self.configuration.backends;
        let history = &self.history;
        self.retained.retain(|id, entry| {
            !in_force.contains_key(id) && history.contains_server(entry.service, *id)
        });
    }

    pub(crate) fn make_snapshot(
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
            fresh_until: now.after(SNAPSHOT_LIFETIME),
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
            relay_peers: relay_peers(now, identity, hosts, membership),
        }
    }
}

/// Whether some domain has no reachable home. Shards are sorted by domain, so
/// those of a domain are adjacent.
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

fn relay_peers(
    now: Timestamp,
    identity: HostIdentity,
    hosts: &HostTable,
    membership: &PeerMembership,
) -> Vec<HostId> {
    let peers = hosts.hosts.values();
    let reachable = peers
        .filter(|host| host.id != identity.host)
        .filter(|host| membership.is_reachable(now, host.id));
    let (own_domain, other_domains): (Vec<_>, Vec<_>) =
        reachable.partition(|host| host.domain == identity.domain);
    let chosen = if own_domain.is_empty() {
        other_domains
    } else {
        own_domain
    };
    chosen.into_iter().map(|host| host.id).collect()
}
