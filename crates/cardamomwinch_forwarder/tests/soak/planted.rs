//! Planted mistakes, which show that the checks find violations: a host of the test that
//! makes one mistake while the real hosts run.

use std::fmt;
use std::net;
use std::sync;

use cardamomwinch_platform::packet;
use cardamomwinch_platform::prelude::FlowToken;
use cardamomwinch_state::prelude::BackendId;

use crate::flow_packet::{EndPacket, RST, SYN};
use crate::observations::Promise;
use crate::server::ServerIdentity;

/// One of this number of flows is affected by the mistake, with all its packets.
const FLOWS_PER_MISTAKE: u16 = 3;

/// The mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlantedMistake {
    /// Openings go to servers of another service.
    OtherService,
    /// Data is changed.
    ChangedData,
    /// A server runs each request twice.
    RunTwice,
    /// Open flows are reset.
    ResetFlow,
    /// Packets of open flows go to other servers.
    OtherServer,
    /// Openings go to draining servers.
    LeavingServer,
    /// Openings are forwarded although their route was dropped.
    DroppedRoute,
    /// A process ends without a signal to stop.
    SuddenEnd,
    /// A request writes to the store.
    StoreWrite,
    /// All packets are lost.
    LostPackets,
}

impl PlantedMistake {
    /// The promise that the mistake breaks.
    pub(crate) const fn breaks(self) -> Promise {
        match self {
            Self::OtherService => Promise::OwnService,
            Self::ChangedData => Promise::Unchanged,
            Self::RunTwice => Promise::RunsOnce,
            Self::ResetFlow => Promise::FlowKept,
            Self::OtherServer => Promise::OwnServer,
            Self::LeavingServer => Promise::LeavingSpared,
            Self::DroppedRoute => Promise::ChangeInForce,
            Self::SuddenEnd => Promise::CleanStop,
            Self::StoreWrite => Promise::StoreOnlyRead,
            Self::LostPackets => Promise::Recovery,
        }
    }

    /// Whether the violation is only found at the end of a run.
    pub(crate) const fn shows_at_end(self) -> bool {
        matches!(self, Self::StoreWrite | Self::LostPackets)
    }
}

/// A server that the host with the mistake knows.
#[derive(Debug, Clone)]
struct KnownServer {
    identity: ServerIdentity,
    draining: bool,
}

/// A host that makes a mistake.
pub(crate) struct MistakenHost {
    pub(crate) mistake: PlantedMistake,
    socket: net::UdpSocket,
    caller_port: u16,
    servers: sync::Mutex<Vec<KnownServer>>,
}

impl fmt::Debug for MistakenHost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a host with the mistake {:?}", self.mistake)
    }
}

impl MistakenHost {
    pub(crate) fn new(mistake: PlantedMistake, address: net::SocketAddrV4) -> Self {
        Self {
            mistake,
            socket: net::UdpSocket::bind(address).expect("the address is the soak's own"),
            caller_port: address.port(),
            servers: sync::Mutex::default(),
        }
    }

    fn servers(&self) -> sync::MutexGuard<'_, Vec<KnownServer>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn add_server(&self, identity: ServerIdentity) {
        let draining = false;
        self.servers().push(KnownServer { identity, draining });
    }

    /// Records that a server is draining.
    pub(crate) fn note_draining(&self, number: u64) {
        for known in self.servers().iter_mut() {
            known.draining |= known.identity.number == number;
        }
    }

    /// Handles the packet of a caller in `bytes` with the mistake. Returns whether it did;
    /// otherwise a real host has to handle it.
    pub(crate) fn handle_packet(&self, bytes: &[u8]) -> bool {
        let Some((packet, _)) = EndPacket::decode(bytes) else {
            return false;
        };
        let all = self.mistake == PlantedMistake::LostPackets;
        if !all && !packet.from.port().is_multiple_of(FLOWS_PER_MISTAKE) {
            return false;
        }
        let opening = packet.is(SYN);
        let is_own = |known: &KnownServer| known.identity.number as u32 == packet.token;
        let is_other = |known: &KnownServer| !is_own(known);
        match self.mistake {
            PlantedMistake::OtherService if opening => {
                self.send_to(bytes, |known| known.identity.service == "vault")
            }
            PlantedMistake::ChangedData if !packet.data.is_empty() => {
                let mut changed = bytes.to_vec();
                changed[packet::HEAD_LENGTH] ^= 1;
                self.send_to(&changed, is_own)
            }
            PlantedMistake::ResetFlow if !packet.data.is_empty() => self.reset(&packet),
            PlantedMistake::OtherServer if !packet.data.is_empty() => self.send_to(bytes, is_other),
            PlantedMistake::LeavingServer if opening => self.send_to(bytes, |known| {
                known.draining && known.identity.service == "desk"
            }),
            PlantedMistake::DroppedRoute if opening => self.send_to(bytes, |known| {
                !known.draining && known.identity.service == "desk"
            }),
            PlantedMistake::LostPackets => true,
            _ => false,
        }
    }

    fn send_to(&self, packet: &[u8], fits: impl Fn(&KnownServer) -> bool) -> bool {
        let servers = self.servers();
        let Some(known) = servers.iter().find(|known| fits(known)) else {
            return false;
        };
        let number = known.identity.number;
        let mut datagram = vec![0; packet::SERVER_PREFIX_LENGTH];
        datagram.extend_from_slice(packet);
        let token = FlowToken::new(number as u32);
        packet::prepare_for_server(&mut datagram, BackendId::new(number), token);
        // A packet to a server that has ended is lost, as on a network.
        drop(self.socket.send_to(&datagram, known.identity.address));
        true
    }

    fn reset(&self, packet: &EndPacket) -> bool {
        let reset = EndPacket {
            from: packet.to,
            to: packet.from,
            flags: RST,
            sequence: packet.acknowledged,
            acknowledged: 0,
            token: 0,
            data: Vec::new(),
        };
        let mut bytes = reset.encode();
        // A host doesn't know the key of checksums.
        bytes[2..6].fill(0);
        let caller = net::SocketAddrV4::new(*packet.from.ip(), self.caller_port);
        drop(self.socket.send_to(&bytes, caller));
        true
    }
}
