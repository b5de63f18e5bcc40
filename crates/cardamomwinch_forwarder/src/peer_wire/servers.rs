//! Backend servers on the wire.

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerServer;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    ServerStart, StoreEra, StoreRevision,
};
use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, SlotCount, SortedVector};
use serde::{Deserialize, Serialize};

use crate::peer_wire::kinds::{self, UnknownKindError};
use crate::peer_wire::packed;

/// The properties that servers of one service and failure domain share.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireServerKind {
    service: ServiceId,
    domain: DomainId,
    slots: SlotCount,
}

/// A revision with its era. The era is always written, because the packed form cannot
/// distinguish revisions with and without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireRevision {
    era: u64,
    number: u64,
}

impl From<StoreRevision> for WireRevision {
    fn from(revision: StoreRevision) -> Self {
        Self {
            era: revision.era().get(),
            number: revision.get(),
        }
    }
}

impl From<WireRevision> for StoreRevision {
    fn from(revision: WireRevision) -> Self {
        Self::in_era(StoreEra::new(revision.era), revision.number)
    }
}

/// A server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireServer {
    id: BackendId,
    address: net::SocketAddr,
    kind: usize,
    changed: WireRevision,
    started: Option<ServerStart>,
    draining: bool,
    unreadable: bool,
    unlisted_for_ms: Option<u64>,
    vanished: bool,
    cold_left_ms: u64,
}

/// When a server registered. Sent only for servers that share a token with another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct WireRegistration {
    id: BackendId,
    revision: StoreRevision,
}

/// The servers in an answer.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireServers {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    kinds: Vec<WireServerKind>,
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "packed")]
    servers: Vec<WireServer>,
    /// A field of its own, because earlier builds cannot decode servers with further fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    registrations: Vec<WireRegistration>,
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
            let kind = kinds::index_of(&mut wire.kinds, kind);
            let id = server.id;
            let registration = server
                .registered
                .map(|revision| WireRegistration { id, revision });
            wire.registrations.extend(registration);
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
            changed: server.changed.into(),
            started: server.started,
            draining: server.draining,
            unreadable: server.unreadable,
            unlisted_for_ms: server.removed_ago.map(|age| age.as_millis() as u64),
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
            removed_ago: self.unlisted_for_ms.map(time::Duration::from_millis),
            vanished: self.vanished,
            cold_left: time::Duration::from_millis(self.cold_left_ms),
            registered: None,
            changed: self.changed.into(),
        }
    }
}

impl TryFrom<WireServers> for Vec<PeerServer> {
    type Error = UnknownKindError;

    fn try_from(wire: WireServers) -> Result<Self, Self::Error> {
        let servers = wire.servers.into_iter();
        let registrations = wire.registrations.iter();
        let registrations = registrations.map(|one| (one.id, one.revision));
        let registrations: SortedVector<_, _> = registrations.collect();
        let restore = |server: WireServer| {
            let kind = kinds::kind_at(&wire.kinds, server.kind)?;
            let mut server = server.of_kind(kind);
            server.registered = registrations.get(&server.id).copied();
            Ok(server)
        };
        servers.map(restore).collect()
    }
}
