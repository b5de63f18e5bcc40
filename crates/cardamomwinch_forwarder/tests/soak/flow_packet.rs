//! Packets as both ends of a flow write them.

use std::hash::Hasher;
use std::net;

use cardamomwinch_platform::packet;
use siphasher::sip::SipHasher13;

pub(crate) const SYN: u8 = 128;
pub(crate) const ACK: u8 = 8;
pub(crate) const FIN: u8 = 16;
pub(crate) const RST: u8 = 64;

/// Known to both ends and to no host.
const SUM_KEY: (u64, u64) = (0x0dd5_a11d, 0x5ea1_ed01);
const SUM_AT: usize = 2;
const PAD_AT: usize = 7;
const TOKEN_AT: usize = 28;

/// The parts of a packet that its sender writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndPacket {
    pub(crate) from: net::SocketAddrV4,
    pub(crate) to: net::SocketAddrV4,
    pub(crate) flags: u8,
    pub(crate) sequence: u32,
    pub(crate) acknowledged: u32,
    /// Handed back as the other end wrote it last; hosts may change it.
    pub(crate) token: u32,
    pub(crate) data: Vec<u8>,
}

fn sum(bytes: &[u8]) -> u32 {
    let mut covered = bytes.to_vec();
    covered[SUM_AT..SUM_AT + 4].fill(0);
    covered[PAD_AT] = 0;
    covered[TOKEN_AT..packet::HEAD_LENGTH].fill(0);
    let mut hasher = SipHasher13::new_with_keys(SUM_KEY.0, SUM_KEY.1);
    hasher.write(&covered);
    hasher.finish() as u32
}

fn number(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

fn address(bytes: &[u8], address_at: usize, port_at: usize) -> net::SocketAddrV4 {
    let port = u16::from_le_bytes([bytes[port_at], bytes[port_at + 1]]);
    net::SocketAddrV4::new(number(bytes, address_at).into(), port)
}

impl EndPacket {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; packet::HEAD_LENGTH];
        bytes[..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[6] = self.flags;
        bytes[8..10].copy_from_slice(&self.to.port().to_le_bytes());
        bytes[10..12].copy_from_slice(&self.from.port().to_le_bytes());
        bytes[12..16].copy_from_slice(&u32::from(*self.from.ip()).to_le_bytes());
        bytes[16..20].copy_from_slice(&u32::from(*self.to.ip()).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[24..28].copy_from_slice(&self.acknowledged.to_le_bytes());
        bytes[TOKEN_AT..].copy_from_slice(&self.token.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[SUM_AT..SUM_AT + 4].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// The packet, and whether its sum is that of an end; `None` where the bytes
    /// are no packet.
    pub(crate) fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < packet::HEAD_LENGTH {
            return None;
        }
        let length = usize::from(u16::from_le_bytes([bytes[0], bytes[1]]));
        let data = bytes[packet::HEAD_LENGTH..].to_vec();
        if data.len() != length {
            return None;
        }
        let decoded = Self {
            from: address(bytes, 12, 10),
            to: address(bytes, 16, 8),
            flags: bytes[6],
            sequence: number(bytes, 20),
            acknowledged: number(bytes, 24),
            token: number(bytes, TOKEN_AT),
            data,
        };
        Some((decoded, number(bytes, SUM_AT) == sum(bytes)))
    }

    pub(crate) const fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
