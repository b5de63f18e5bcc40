//! The log lines of changes of the data that a host has discovered.

use std::net;

use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::DiscoveryChange;
use cardamomwinch_coordination::forwarding::discovery::store_call::ServerStart;
use cardamomwinch_transport::prelude::DecisionRecord;
use serde::Serialize;

/// A change of the discovered data.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum DiscoveryLine {
    /// A configuration is now in force.
    ConfigurationInForce {
        /// Its version.
        version: u64,
        /// The number of its routes.
        routes: usize,
    },
    /// The known state of a server changed.
    ServerChanged {
        /// The incarnation.
        server: String,
        /// The address at which it receives packets.
        address: net::SocketAddr,
        /// The service that it serves, by identifier.
        service: String,
        /// The failure domain, by identifier.
        domain: String,
        /// The phase, see [`phase_name`].
        phase: &'static str,
        /// When its process started, if its entry says so.
        started: Option<u64>,
        /// The revision that changed it.
        revision: String,
    },
    /// The store sent a change of a server, but a newer one is known.
    ChangeOutdated {
        /// The incarnation.
        server: String,
        /// The revision of the change that the store sent.
        revision: String,
        /// The revision of the known change.
        known_revision: String,
    },
    /// An evacuation began or ended.
    EvacuationChanged {
        /// The failure domain, by identifier.
        domain: String,
        /// Whether its servers now get no new flows.
        evacuated: bool,
        /// The revision that began or ended it.
        revision: String,
    },
    /// A complete listing was applied.
    ServersListed {
        /// Its revision.
        revision: String,
        /// The number of its servers.
        servers: usize,
    },
    /// Many servers disappeared from the store at once without draining.
    ManyVanished {
        /// The number of servers.
        servers: usize,
    },
    /// The store cannot be read.
    StoreLost {},
    /// The store can be read again.
    StoreRegained {
        /// The duration of the outage, in milliseconds.
        silence_ms: u64,
    },
    /// The store was restored from a backup.
    StoreRestored {
        /// The last known revision before.
        last_revision: String,
        /// The first known revision of the new era.
        revision: String,
    },
    /// A peer doesn't answer.
    PeerLost {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// A peer that didn't answer responds again.
    PeerRegained {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// No server of the own domain accepts new flows of a service any longer.
    OwnServersLost {
        /// The service, by identifier.
        service: String,
    },
    /// A server of the own domain accepts new flows of the service again.
    OwnServersRegained {
        /// The service, by identifier.
        service: String,
    },
    /// The host now gets its data from another source.
    SourceChanged {
        /// `store`, or the address of the peer.
        source: String,
    },
    /// Newer data of a peer was applied.
    PeerDataApplied {
        /// The peer.
        peer: net::SocketAddr,
        /// The revision of its data.
        revision: String,
        /// The version of its configuration.
        version: u64,
    },
}

/// The name of `phase` in logs and reports.
pub const fn phase_name(phase: ServerPhase) -> &'static str {
    match phase {
        ServerPhase::Active => "active",
        ServerPhase::Draining => "draining",
        ServerPhase::Unreadable => "unreadable",
        ServerPhase::Vanished { .. } => "vanished",
        ServerPhase::Left { .. } => "left",
    }
}

impl From<&ServerRecord> for DiscoveryLine {
    fn from(server: &ServerRecord) -> Self {
        Self::ServerChanged {
            server: server.id.to_string(),
            address: server.address,
            service: server.service.to_string(),
            domain: server.domain.to_string(),
            phase: phase_name(server.phase),
            started: server.started.map(ServerStart::get),
            revision: server.changed.to_string(),
        }
    }
}

impl From<&DiscoveryChange> for DiscoveryLine {
    fn from(change: &DiscoveryChange) -> Self {
        match change {
            DiscoveryChange::ConfigurationInForce { version, routes } => {
                Self::ConfigurationInForce {
                    version: version.get(),
                    routes: *routes,
                }
            }
            DiscoveryChange::ServerChanged { server } => server.into(),
            DiscoveryChange::ChangeOutdated {
                server,
                revision,
                known,
            } => Self::ChangeOutdated {
                server: server.to_string(),
                revision: revision.to_string(),
                known_revision: known.to_string(),
            },
            DiscoveryChange::EvacuationChanged { evacuation } => Self::EvacuationChanged {
                domain: evacuation.domain.to_string(),
                evacuated: evacuation.is_active(),
                revision: evacuation.changed.to_string(),
            },
            DiscoveryChange::ServersListed { revision, servers } => Self::ServersListed {
                revision: revision.to_string(),
                servers: *servers,
            },
            DiscoveryChange::ManyVanished { servers } => Self::ManyVanished { servers: *servers },
            DiscoveryChange::StoreLost => Self::StoreLost {},
            DiscoveryChange::StoreRegained { outage } => Self::StoreRegained {
                silence_ms: outage.as_millis() as u64,
            },
            DiscoveryChange::StoreRestored { last, first } => Self::StoreRestored {
                last_revision: last.to_string(),
                revision: first.to_string(),
            },
            DiscoveryChange::PeerLost { peer } => Self::PeerLost { peer: *peer },
            DiscoveryChange::PeerRegained { peer } => Self::PeerRegained { peer: *peer },
            DiscoveryChange::OwnServersLost { service } => Self::OwnServersLost {
                service: service.to_string(),
            },
            DiscoveryChange::OwnServersRegained { service } => Self::OwnServersRegained {
                service: service.to_string(),
            },
            DiscoveryChange::SourceChanged { source } => Self::SourceChanged {
                source: source.to_string(),
            },
            DiscoveryChange::PeerDataApplied {
                peer,
                revision,
                version,
            } => Self::PeerDataApplied {
                peer: *peer,
                revision: revision.to_string(),
                version: version.get(),
            },
        }
    }
}

impl DecisionRecord for DiscoveryLine {
    fn event(&self) -> &'static str {
        match self {
            Self::ConfigurationInForce { .. } => "configuration_in_force",
            Self::ServerChanged { .. } => "server_changed",
            Self::ChangeOutdated { .. } => "change_outdated",
            Self::EvacuationChanged {
                evacuated: true, ..
            } => "evacuation_begun",
            Self::EvacuationChanged {
                evacuated: false, ..
            } => "evacuation_ended",
            Self::ServersListed { .. } => "servers_listed",
            Self::ManyVanished { .. } => "many_vanished",
            Self::PeerLost { .. } => "peer_lost",
            Self::PeerRegained { .. } => "peer_regained",
            Self::OwnServersLost { .. } => "own_servers_lost",
            Self::OwnServersRegained { .. } => "own_servers_regained",
            Self::StoreLost {} => "store_lost",
            Self::StoreRegained { .. } => "store_regained",
            Self::StoreRestored { .. } => "store_restored",
            Self::SourceChanged { .. } => "source_changed",
            Self::PeerDataApplied { .. } => "peer_believed",
        }
    }
}
