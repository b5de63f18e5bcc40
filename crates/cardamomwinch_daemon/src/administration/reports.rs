//! Creates the reports of the administration API.

use cardamomwinch_configuration::settings::HostSettings;
use cardamomwinch_coordination::control::membership;
use cardamomwinch_coordination::prelude::{
    ControlEngine, PlatformKey, RoutingSnapshot, ServingPhase,
};
use cardamomwinch_coordination::snapshot::BackendView;
use cardamomwinch_protocol::administration as api;
use cardamomwinch_state::prelude::{
    BackendEntry, BackendPhase, ConfigurationVersion, ConnectionCount, FragmentRevision, HostEntry,
    HostListVersion, SlotCount, Timestamp,
};

use crate::messages::TrafficLoad;

/// All slots of a server, in percent.
const WHOLE_PERCENT: u8 = 100;

/// The state of the host. `flows` and `pending_requests` are zero; the administration API fills
/// them in.
pub fn status(
    engine: &ControlEngine,
    settings: &HostSettings,
    now: Timestamp,
) -> api::StatusReport {
    let identity = engine.identity();
    let adoption = engine.adoption();
    let version = adoption.version();
    let adopted = version > ConfigurationVersion::ZERO;
    let host_list = adoption.hosts().version;
    let started = Timestamp::new(identity.incarnation.get());
    let refused = engine.refused_fragments().into_iter();
    api::StatusReport {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation: identity.incarnation,
        phase: phase(engine.phase()),
        version: adopted.then_some(version),
        preset: adopted.then(|| engine.configuration().preset.clone()),
        host_list_version: (host_list > HostListVersion::ZERO).then_some(host_list),
        refused_fragments: refused
            .map(|document| api::RefusedFragmentReport {
                team: match document.key {
                    PlatformKey::Team(team) => team,
                    shared => shared.to_string(),
                },
                revision: FragmentRevision::new(document.revision),
                // Each error of a document is on its own line.
                reason: document.reason.to_string().replace('\n', "; "),
            })
            .collect(),
        platform: api::PlatformReport {
            reachable: engine.platform_health().reachable,
            stale_answers: engine.platform_health().stale_answers,
        },
        flows: 0,
        pending_requests: 0,
        uptime_ms: now.since(started).as_millis() as u64,
    }
}

const fn phase(phase: ServingPhase) -> api::ServingPhase {
    match phase {
        ServingPhase::Starting => api::ServingPhase::Starting,
        ServingPhase::Serving => api::ServingPhase::Serving,
        ServingPhase::Stopping => api::ServingPhase::Stopping,
    }
}

/// The hosts of the published list, including this one, as this host sees them.
pub fn members(
    engine: &ControlEngine,
    settings: &HostSettings,
    now: Timestamp,
) -> Vec<api::MemberReport> {
    let hosts = engine.adoption().hosts().hosts.values();
    hosts
        .map(|host| member(engine, settings, host, now))
        .collect()
}

fn member(
    engine: &ControlEngine,
    settings: &HostSettings,
    host: &HostEntry,
    now: Timestamp,
) -> api::MemberReport {
    let known = engine.membership().get(host.id);
    let own = host.id == engine.identity().host;
    let reachability = match known {
        _ if own => api::Reachability::Alive,
        None => api::Reachability::Unknown,
        Some(_) if !engine.membership().is_reachable(now, host.id) => api::Reachability::Dead,
        Some(_) => match engine.membership().reachability(host.id) {
            membership::Reachability::Suspect => api::Reachability::Suspect,
            _ => api::Reachability::Alive,
        },
    };
    let own_version = own.then(|| engine.adoption().version());
    let domain = match host.domain == settings.domain_id() {
        true => settings.domain.clone(),
        false => engine.domain_name(host.domain),
    };
    api::MemberReport {
        host: host.name.clone(),
        domain,
        published_phase: Some(host.phase),
        reachability,
        incarnation: match own {
            true => Some(engine.identity().incarnation),
            false => known.map(|known| known.incarnation),
        },
        last_received_ms: known.map(|known| now.since(known.last_received).as_millis() as u64),
        configuration_version: own_version.or(known.map(|known| known.digest.version)),
    }
}

/// The backend servers in the configuration, as this host sees them.
pub fn backends(snapshot: &RoutingSnapshot, load: &TrafficLoad) -> Vec<api::BackendReport> {
    let backends = snapshot.configuration.backends.values();
    backends
        .map(|entry| backend(snapshot, load, entry))
        .collect()
}

/// Only the home of a server probes its load endpoint, so the other hosts report its health as
/// unknown.
fn health(known: BackendView) -> api::HealthState {
    match known {
        BackendView { ejected: true, .. } => api::HealthState::Unhealthy,
        BackendView { report: None, .. } => api::HealthState::Unknown,
        BackendView { warm_percent, .. } if warm_percent < WHOLE_PERCENT => {
            api::HealthState::Warming
        }
        _ => api::HealthState::Healthy,
    }
}

fn backend(
    snapshot: &RoutingSnapshot,
    load: &TrafficLoad,
    entry: &BackendEntry,
) -> api::BackendReport {
    let shard = snapshot.shard_of(entry);
    let service = snapshot.configuration.services.get(&entry.service);
    let view = snapshot.shard(shard);
    let home = view.home;
    let home = home.and_then(|id| snapshot.hosts.get(id));
    let known = snapshot.view(entry.id);
    let phase = match known.draining {
        true => BackendPhase::Draining,
        false => entry.phase,
    };
    let count = |count: Option<&u32>| count.copied().unwrap_or_default();
    api::BackendReport {
        service: service.map_or_else(|| entry.service.to_string(), |service| service.name.clone()),
        backend: entry.name.clone(),
        id: entry.id.to_string(),
        domain: snapshot.domain_name(entry.domain),
        address: entry.address.to_string(),
        phase,
        weight: entry.weight,
        health: health(known),
        busy_slots: SlotCount::new(count(load.busy_slots.get(&entry.id))),
        slots: entry.slots,
        connections: ConnectionCount::new(count(load.connections.get(&entry.id))),
        shard: shard.index,
        home_host: home.map(|host| host.name.clone()),
        holds_home: view
            .lease
            .is_some_and(|lease| lease.records_since <= snapshot.made),
    }
}
