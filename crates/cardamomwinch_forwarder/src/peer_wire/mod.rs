//! What hosts say to each other, as JSON.

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::beliefs::peer_word::{
    PeerHost, PeerQuestion, PeerServer, PeerWord,
};
use cardamomwinch_coordination::forwarding::beliefs::store_call::{ServerStart, StoreRevision};
use cardamomwinch_coordination::forwarding::routes::{RouteDifference, RouteEntry};
use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, ServiceId, SlotCount,
};
use serde::{Deserialize, Serialize};

/// A host that can be asked.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct WireHost {
    address: net::SocketAddr,
    domain: Option<DomainId>,
}

impl From<PeerHost> for WireHost {
    fn from(host: PeerHost) -> Self {
        Self {
            address: host.address,
            domain: host.domain,
        }
    }
}

impl From<WireHost> for PeerHost {
    fn from(host: WireHost) -> Self {
        Self {
            address: host.address,
            domain: host.domain,
        }
    }
}

/// What a host that asks knows already.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireQuestion {
    revision: StoreRevision,
    version: ConfigurationVersion,
    knows_left: bool,
    store_silent: bool,
    age_ms: u64,
    wait_ms: u64,
    hosts: Vec<WireHost>,
    host: WireHost,
}

impl From<PeerQuestion> for WireQuestion {
    fn from(question: PeerQuestion) -> Self {
        Self {
            revision: question.revision,
            version: question.version,
            knows_left: question.knows_left,
            store_silent: question.store_silent,
            age_ms: question.age.as_millis() as u64,
            wait_ms: question.wait.as_millis() as u64,
            hosts: question.hosts.into_iter().map(WireHost::from).collect(),
            host: question.host.into(),
        }
    }
}

impl From<WireQuestion> for PeerQuestion {
    fn from(question: WireQuestion) -> Self {
        Self {
            revision: question.revision,
            version: question.version,
            knows_left: question.knows_left,
            store_silent: question.store_silent,
            age: time::Duration::from_millis(question.age_ms),
            wait: time::Duration::from_millis(question.wait_ms),
            hosts: question.hosts.into_iter().map(PeerHost::from).collect(),
            host: question.host.into(),
        }
    }
}

/// What is newer in a configuration.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireRoutes {
    version: ConfigurationVersion,
    all: bool,
    changed: Vec<(net::SocketAddr, RouteEntry)>,
    dropped: Vec<net::SocketAddr>,
    idle_timeout_ms: u64,
}

impl From<RouteDifference> for WireRoutes {
    fn from(difference: RouteDifference) -> Self {
        Self {
            version: difference.version,
            all: difference.all,
            changed: difference.changed,
            dropped: difference.dropped,
            idle_timeout_ms: difference.idle_timeout.as_millis() as u64,
        }
    }
}

impl From<WireRoutes> for RouteDifference {
    fn from(routes: WireRoutes) -> Self {
        Self {
            version: routes.version,
            all: routes.all,
            changed: routes.changed,
            dropped: routes.dropped,
            idle_timeout: time::Duration::from_millis(routes.idle_timeout_ms),
        }
    }
}

/// A server.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireServer {
    id: BackendId,
    /// Absent where the server or the peer does not tell it.
    #[serde(default)]
    started: Option<ServerStart>,
    address: net::SocketAddr,
    service: ServiceId,
    domain: DomainId,
    slots: SlotCount,
    draining: bool,
    #[serde(default)]
    unreadable: bool,
    unlisted_for_ms: Option<u64>,
    vanished: bool,
    cold_left_ms: u64,
    changed: StoreRevision,
}

impl From<PeerServer> for WireServer {
    fn from(server: PeerServer) -> Self {
        Self {
            id: server.id,
            started: server.started,
            address: server.address,
            service: server.service,
            domain: server.domain,
            slots: server.slots,
            draining: server.draining,
            unreadable: server.unreadable,
            unlisted_for_ms: server.unlisted_for.map(|age| age.as_millis() as u64),
            vanished: server.vanished,
            cold_left_ms: server.cold_left.as_millis() as u64,
            changed: server.changed,
        }
    }
}

impl From<WireServer> for PeerServer {
    fn from(server: WireServer) -> Self {
        Self {
            id: server.id,
            started: server.started,
            address: server.address,
            service: server.service,
            domain: server.domain,
            slots: server.slots,
            draining: server.draining,
            unreadable: server.unreadable,
            unlisted_for: server.unlisted_for_ms.map(time::Duration::from_millis),
            vanished: server.vanished,
            cold_left: time::Duration::from_millis(server.cold_left_ms),
            changed: server.changed,
        }
    }
}

/// What a host answers.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireWord {
    revision: StoreRevision,
    waited_ms: u64,
    age_ms: u64,
    store_silent_for_ms: Option<u64>,
    routes: Option<WireRoutes>,
    servers: Vec<WireServer>,
    all_servers: bool,
    hosts_digest: Option<u64>,
    hosts: Vec<WireHost>,
}

impl From<PeerWord> for WireWord {
    fn from(word: PeerWord) -> Self {
        Self {
            revision: word.revision,
            waited_ms: word.waited.as_millis() as u64,
            age_ms: word.age.as_millis() as u64,
            store_silent_for_ms: word.store_silent_for.map(|ago| ago.as_millis() as u64),
            routes: word.routes.map(WireRoutes::from),
            servers: word.servers.into_iter().map(WireServer::from).collect(),
            all_servers: word.all_servers,
            hosts_digest: word.hosts_digest,
            hosts: word.hosts.into_iter().map(WireHost::from).collect(),
        }
    }
}

impl From<WireWord> for PeerWord {
    fn from(word: WireWord) -> Self {
        Self {
            revision: word.revision,
            waited: time::Duration::from_millis(word.waited_ms),
            age: time::Duration::from_millis(word.age_ms),
            store_silent_for: word.store_silent_for_ms.map(time::Duration::from_millis),
            routes: word.routes.map(RouteDifference::from),
            servers: word.servers.into_iter().map(PeerServer::from).collect(),
            all_servers: word.all_servers,
            hosts_digest: word.hosts_digest,
            hosts: word.hosts.into_iter().map(PeerHost::from).collect(),
        }
    }
}
