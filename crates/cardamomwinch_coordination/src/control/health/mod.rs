//! Health of the backend servers that this host is the home of. Only the home probes a
//! server's load endpoint, and only the home sees all of its traffic, so no other host
//! needs to track its health.
//!
//! Both endpoint and traffic may mislead; what the home observes itself takes precedence. A
//! server that answers requests is healthy, whatever its endpoint reports. A server that
//! leaves requests unanswered, while others of its failure domain answer, is ejected: it
//! gets no new flows, but keeps those it has. If no server of a domain answers, the network
//! between them and this host is probably at fault, and none is ejected.

pub mod observation;
pub(crate) mod probing;
pub(crate) mod server;
pub(crate) mod warm_up;

use std::net;
use std::time;

use cardamomwinch_protocol::prelude::LoadReport;
use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, DomainId, InForceConfiguration, ServiceId, ShardId, SortedVector,
    Timestamp,
};

use crate::control::event::LoadFailure;
use crate::control::health::observation::BackendObservation;
use crate::control::health::server::{HealthState, ServerHealth};
use crate::control::health::warm_up::ColdServers;
use crate::snapshot::{BackendView, ShardView};

/// How often the set of servers that this host is the home of is updated.
const TRACKING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How a server's health changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthTransition {
    /// It gets no new flows, because it appears to fail.
    Ejected,
    /// It gets new flows again, few at first.
    Returned,
    /// It reports that it drains, and gets no new flows.
    Draining,
    /// It no longer reports that it drains.
    DrainingEnded,
}

/// A change of one server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthChange {
    /// The server.
    pub backend: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Its shard.
    pub shard: ShardId,
    /// How its health changed.
    pub transition: HealthTransition,
}

/// A probe of a load endpoint to send now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadProbe {
    /// The server.
    pub backend: BackendId,
    /// The address of the endpoint.
    pub address: net::SocketAddr,
}

/// The health of the servers that this host is the home of.
#[derive(Debug, Default)]
pub struct HealthTable {
    servers: SortedVector<BackendId, ServerHealth>,
    cold: ColdServers,
    next_tracking: Timestamp,
}

impl HealthTable {
    /// Records that `next` comes into force after `earlier`: servers that are new in it are
    /// cold.
    pub fn note_configuration(
        &mut self,
        now: Timestamp,
        earlier: &InForceConfiguration,
        next: &InForceConfiguration,
    ) {
        self.next_tracking = now;
        if earlier.backends.is_empty() {
            // The host has just started; the servers are not new.
            return;
        }
        for backend in next.backends.keys() {
            if !earlier.backends.contains_key(backend) {
                self.cold.note(now, *backend);
            }
        }
    }

    /// Tracks the servers whose shards this host holds the lease of, and no others. This
    /// looks through all servers, so it is done only at intervals.
    pub fn track(
        &mut self,
        now: Timestamp,
        configuration: &InForceConfiguration,
        shards: &SortedVector<ShardId, ShardView>,
    ) {
        if now < self.next_tracking {
            return;
        }
        self.next_tracking = now.after(TRACKING_INTERVAL);
        let count = configuration.limits.shards_per_domain;
        let is_home = |entry: &BackendEntry| {
            let view = shards.get(&entry.shard(count));
            let lease = view.and_then(|view| view.lease);
            lease.is_some_and(|lease| now < lease.held_until)
        };
        self.servers
            .retain(|id, _| configuration.backends.get(id).is_some_and(is_home));
        for entry in configuration.backends.values() {
            if is_home(entry) {
                self.servers
                    .get_or_insert_with(entry.id, || ServerHealth::new(now, entry.id));
            }
        }
    }

    /// The probes to send now.
    pub fn due_probes(
        &mut self,
        now: Timestamp,
        configuration: &InForceConfiguration,
    ) -> Vec<LoadProbe> {
        let mut probes = Vec::new();
        for (backend, server) in self.servers.iter_mut() {
            let entry = configuration.backends.get(backend);
            if let Some(entry) = entry.filter(|_| server.probes.probe_if_due(now)) {
                probes.push(LoadProbe {
                    backend: *backend,
                    address: entry.address,
                });
            }
        }
        probes
    }

    /// Records the outcome of a probe.
    pub fn handle_load(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        result: Result<LoadReport, LoadFailure>,
    ) {
        if let Some(server) = self.servers.get_mut(&backend) {
            server.handle_load(now, result);
        }
    }

    /// Records the observations of traffic threads.
    pub fn apply_observations(&mut self, now: Timestamp, observations: &[BackendObservation]) {
        for observation in observations {
            if let Some(server) = self.servers.get_mut(&observation.backend) {
                server.apply_observation(now, observation);
            }
        }
    }

    /// Updates the health of all servers and returns what has changed.
    pub fn review(
        &mut self,
        now: Timestamp,
        configuration: &InForceConfiguration,
    ) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        self.cold.forget_warm(now);
        self.note_draining(configuration, &mut changes);
        self.return_healthy(now, configuration, &mut changes);
        self.eject_failing(now, configuration, &mut changes);
        changes
    }

    fn note_draining(
        &mut self,
        configuration: &InForceConfiguration,
        changes: &mut Vec<HealthChange>,
    ) {
        for (backend, server) in self.servers.iter_mut() {
            let transition = match (server.draining, server.logged_draining) {
                (true, false) => HealthTransition::Draining,
                (false, true) => HealthTransition::DrainingEnded,
                _ => continue,
            };
            server.logged_draining = server.draining;
            changes.extend(change(configuration, *backend, transition));
        }
    }

    fn return_healthy(
        &mut self,
        now: Timestamp,
        configuration: &InForceConfiguration,
        changes: &mut Vec<HealthChange>,
    ) {
        for (backend, server) in self.servers.iter_mut() {
            if server.return_if_healthy(now) {
                self.cold.note(now, *backend);
                changes.extend(change(configuration, *backend, HealthTransition::Returned));
            }
        }
    }

    /// Guards against ejecting healthy servers: if a whole failure domain is silent, the
    /// network is probably cut, and if many servers of a service appear to fail at the same
    /// time, the cause is more likely something that they share.
    fn eject_failing(
        &mut self,
        now: Timestamp,
        configuration: &InForceConfiguration,
        changes: &mut Vec<HealthChange>,
    ) {
        for backend in self.failing(now) {
            let Some(entry) = configuration.backends.get(&backend) else {
                continue;
            };
            let answered = self.domain_answers(now, configuration, entry.domain);
            if !answered || !self.may_eject(configuration, entry) {
                continue;
            }
            if let Some(server) = self.servers.get_mut(&backend) {
                server.eject(now);
                changes.extend(change(configuration, backend, HealthTransition::Ejected));
            }
        }
    }

    fn failing(&self, now: Timestamp) -> Vec<BackendId> {
        let servers = self.servers.iter();
        let failing = servers
            .filter(|(_, server)| !server.is_ejected())
            .filter(|(_, server)| server.is_failing(now));
        failing.map(|(backend, _)| *backend).collect()
    }

    fn domain_answers(
        &self,
        now: Timestamp,
        configuration: &InForceConfiguration,
        domain: DomainId,
    ) -> bool {
        self.servers.iter().any(|(backend, server)| {
            let entry = configuration.backends.get(backend);
            entry.is_some_and(|entry| entry.domain == domain) && server.is_answering(now)
        })
    }

    /// Whether one more server of the same service and failure domain may be ejected: at
    /// most half of those that this host is the home of. Each server has one home, so at
    /// most half of all of them are ejected, and never the last one, without any agreement
    /// between homes.
    fn may_eject(&self, configuration: &InForceConfiguration, entry: &BackendEntry) -> bool {
        let mut all = 0;
        let mut ejected = 0;
        for (backend, server) in self.servers.iter() {
            let other = configuration.backends.get(backend);
            let alike = other
                .is_some_and(|held| held.service == entry.service && held.domain == entry.domain);
            all += usize::from(alike);
            ejected += usize::from(alike && server.is_ejected());
        }
        (ejected + 1) * 2 <= all
    }

    /// The view of each server for traffic threads.
    pub fn views(&self, now: Timestamp) -> SortedVector<BackendId, BackendView> {
        let mut views: SortedVector<BackendId, BackendView> = SortedVector::new();
        for (backend, warm_percent) in self.cold.percents(now) {
            let view = BackendView {
                warm_percent,
                ..BackendView::default()
            };
            views.insert(backend, view);
        }
        for (backend, server) in self.servers.iter() {
            let view = views.get_or_insert_with(*backend, BackendView::default);
            view.ejected = matches!(server.state, HealthState::Ejected { .. });
            view.draining = server.draining;
            view.report = server.report;
        }
        views
    }
}

fn change(
    configuration: &InForceConfiguration,
    backend: BackendId,
    transition: HealthTransition,
) -> Option<HealthChange> {
    let entry = configuration.backends.get(&backend)?;
    Some(HealthChange {
        backend,
        service: entry.service,
        shard: entry.shard(configuration.limits.shards_per_domain),
        transition,
    })
}
