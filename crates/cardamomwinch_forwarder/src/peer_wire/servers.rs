//! Backend servers on the wire.

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::beliefs::peer_word::PeerServer;
use cardamomwinch_coordination::forwarding::beliefs::store_call::{ServerStart, StoreRevision};
use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, SlotCount};
use serde::{Deserialize, Serialize};

use crate::peer_wire::kinds::{self, UnknownKindError};

/// What servers of one service and failure domain have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireServerKind {
    service: ServiceId,
    domain: DomainId,
    slots: SlotCount,
}

/// A server. What is absent is as it is with a server that takes flows and has been
/// up for long.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireServer {
    id: BackendId,
    address: net::SocketAddr,
    kind: usize,
    changed: StoreRevision,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started: Option<ServerStart>,
    #[serde(default, skip_serializing_if = "is_default")]
    draining: bool,
    #[serde(default, skip_serializing_if = "is_default")]
    unreadable: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unlisted_for_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "is_default")]
    vanished: bool,
    #[serde(default, skip_serializing_if = "is_default")]
    cold_left_ms: u64,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Servers that a host tells of.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireServers {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    kinds: Vec<WireServerKind>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<WireServer>,
}

impl From<Vec<PeerServer>> for WireServers {
    fn from(servers: Vec<PeerServer>) -> Self {
        let mut wire = Self::default();
        for server in servers {
            let kind = WireServerKind {
                service: server.service,
                domain: server.domain,
                slots: server.slots,
            };
            let kind = kinds::place_of(&mut wire.kinds, kind);
            wire.servers.push(WireServer::new(server, kind));
        }
        wire
    }
}

impl WireServer {
    fn new(server: PeerServer, kind: usize) -> Self {
        Self {
            id: server.id,
            address: server.address,
            kind,
            changed: server.changed,
            started: server.started,
            draining: server.draining,
            unreadable: server.unreadable,
            unlisted_for_ms: server.unlisted_for.map(|age| age.as_millis() as u64),
            vanished: server.vanished,
            cold_left_ms: server.cold_left.as_millis() as u64,
        }
    }

    fn of_kind(self, kind: &WireServerKind) -> PeerServer {
        PeerServer {
            id: self.id,
            started: self.started,
            address: self.address,
            service: kind.service,
            domain: kind.domain,
            slots: kind.slots,
            draining: self.draining,
            unreadable: self.unreadable,
            unlisted_for: self.unlisted_for_ms.map(time::Duration::from_millis),
            vanished: self.vanished,
            cold_left: time::Duration::from_millis(self.cold_left_ms),
            changed: self.changed,
        }
    }
}

impl TryFrom<WireServers> for Vec<PeerServer> {
    type Error = UnknownKindError;

    fn try_from(wire: WireServers) -> Result<Self, Self::Error> {
        let servers = wire.servers.into_iter();
        let restore = |server: WireServer| {
            let kind = kinds::kind_at(&wire.kinds, server.kind)?;
            Ok(server.of_kind(kind))
        };
        servers.map(restore).collect()
    }
}
