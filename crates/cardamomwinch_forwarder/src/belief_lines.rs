//! The log lines of what a host comes to believe.

use std::net;

use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::DiscoveryChange;
use cardamomwinch_coordination::forwarding::discovery::store_call::ServerStart;
use cardamomwinch_transport::prelude::DecisionRecord;
use serde::Serialize;

/// A change of beliefs.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum BeliefLine {
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
        /// How many routes it has.
        routes: usize,
    },
    /// What is known of a server changed.
    Server {
        /// The incarnation.
        server: String,
        /// Where it takes packets.
        address: net::SocketAddr,
        /// The service that it serves, by identifier.
        service: String,
        /// The failure domain, by identifier.
        domain: String,
        /// What it does.
        phase: &'static str,
        /// When its process started, where it says so.
        started: Option<u64>,
        /// The revision that changed it.
        revision: String,
    },
    /// The store said something of a server, and something later is known.
    Outdated {
        /// The incarnation.
        server: String,
        /// The revision of what the store said.
        revision: String,
        /// The revision of what is known.
        known_revision: String,
    },
    /// An evacuation began or ended.
    Evacuation {
        /// The failure domain, by identifier.
        domain: String,
        /// Whether its servers get no new flows now.
        evacuated: bool,
        /// The revision that said so.
        revision: String,
    },
    /// A whole listing was taken over.
    Listing {
        /// Its revision.
        revision: String,
        /// How many servers it has.
        servers: usize,
    },
    /// Many servers vanished together.
    ManyVanished {
        /// How many.
        servers: usize,
    },
    /// The store cannot be read.
    StoreLost {},
    /// The store can be read again.
    StoreRegained {
        /// How long it could not.
        silence_ms: u64,
    },
    /// The store came back from a copy of itself.
    StoreRestored {
        /// The last revision that was known.
        last_revision: String,
        /// The first one of the new era that is known.
        revision: String,
    },
    /// A peer does not answer.
    PeerLost {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// A peer that did not answer lives.
    PeerRegained {
        /// The peer.
        peer: net::SocketAddr,
    },
    /// No server of the own domain takes flows of a service any more.
    OwnServersLost {
        /// The service, by identifier.
        service: String,
    },
    /// One does again.
    OwnServersRegained {
        /// The service, by identifier.
        service: String,
    },
    /// The host learns from somewhere else than before.
    Source {
        /// `store`, or the peer.
        source: String,
    },
    /// A peer knew something newer.
    Peer {
        /// The peer.
        peer: net::SocketAddr,
        /// The revision that it knew.
        revision: String,
        /// The version that it knew.
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

impl From<&ServerRecord> for BeliefLine {
    fn from(server: &ServerRecord) -> Self {
        Self::Server {
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

impl From<&DiscoveryChange> for BeliefLine {
    fn from(change: &DiscoveryChange) -> Self {
        match change {
            DiscoveryChange::ConfigurationInForce { version, routes } => Self::Configuration {
                version: version.get(),
                routes: *routes,
            },
            DiscoveryChange::ServerChanged { server } => server.into(),
            DiscoveryChange::ChangeOutdated {
                server,
                revision,
                known,
            } => Self::Outdated {
                server: server.to_string(),
                revision: revision.to_string(),
                known_revision: known.to_string(),
            },
            DiscoveryChange::EvacuationChanged { evacuation } => Self::Evacuation {
                domain: evacuation.domain.to_string(),
                evacuated: evacuation.is_active(),
                revision: evacuation.changed.to_string(),
            },
            DiscoveryChange::ServersListed { revision, servers } => Self::Listing {
                revision: revision.to_string(),
                servers: *servers,
            },
            DiscoveryChange::ManyVanished { servers } => Self::ManyVanished { servers: *servers },
            DiscoveryChange::StoreLost => Self::StoreLost {},
            DiscoveryChange::StoreRegained { outage: silence } => Self::StoreRegained {
                silence_ms: silence.as_millis() as u64,
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
            DiscoveryChange::SourceChanged { source } => Self::Source {
                source: source.to_string(),
            },
            DiscoveryChange::PeerDataApplied {
                peer,
                revision,
                version,
            } => Self::Peer {
                peer: *peer,
                revision: revision.to_string(),
                version: version.get(),
            },
        }
    }
}

impl DecisionRecord for BeliefLine {
    fn event(&self) -> &'static str {
        match self {
            Self::Configuration { .. } => "configuration_in_force",
            Self::Server { .. } => "server_changed",
            Self::Outdated { .. } => "change_outdated",
            Self::Evacuation {
                evacuated: true, ..
            } => "evacuation_begun",
            Self::Evacuation {
                evacuated: false, ..
            } => "evacuation_ended",
            Self::Listing { .. } => "servers_listed",
            Self::ManyVanished { .. } => "many_vanished",
            Self::PeerLost { .. } => "peer_lost",
            Self::PeerRegained { .. } => "peer_regained",
            Self::OwnServersLost { .. } => "own_servers_lost",
            Self::OwnServersRegained { .. } => "own_servers_regained",
            Self::StoreLost {} => "store_lost",
            Self::StoreRegained { .. } => "store_regained",
            Self::StoreRestored { .. } => "store_restored",
            Self::Source { .. } => "source_changed",
            Self::Peer { .. } => "peer_believed",
        }
    }
}
