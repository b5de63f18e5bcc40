//! Packets as callers and servers write them.

use std::hash::Hasher;
use std::net;

use cardamomwinch_platform::packet;
use siphasher::sip::SipHasher13;

pub(crate) const SYN: u8 = 128;
pub(crate) const ACK: u8 = 8;
pub(crate) const FIN: u8 = 16;
pub(crate) const RST: u8 = 64;

/// The key of checksums, which callers and servers know, but hosts don't.
const CHECKSUM_KEY: (u64, u64) = (0x0dd5_a11d, 0x5ea1_ed01);
const CHECKSUM_OFFSET: usize = 2;
const PAD_OFFSET: usize = 7;
const TOKEN_OFFSET: usize = 28;

/// The fields of a packet that its sender writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndPacket {
    pub(crate) from: net::SocketAddrV4,
    pub(crate) to: net::SocketAddrV4,
    pub(crate) flags: u8,
    pub(crate) sequence: u32,
    pub(crate) acknowledged: u32,
    /// Echoed as last received from the other end; hosts may change it.
    pub(crate) token: u32,
    pub(crate) data: Vec<u8>,
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut covered = bytes.to_vec();
    covered[CHECKSUM_OFFSET..CHECKSUM_OFFSET + 4].fill(0);
    covered[PAD_OFFSET] = 0;
    covered[TOKEN_OFFSET..packet::HEAD_LENGTH].fill(0);
    let mut hasher = SipHasher13::new_with_keys(CHECKSUM_KEY.0, CHECKSUM_KEY.1);
    hasher.write(&covered);
    hasher.finish() as u32
}

fn number(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes"))
}

fn address(bytes: &[u8], address_offset: usize, port_offset: usize) -> net::SocketAddrV4 {
    let port = u16::from_le_bytes([bytes[port_offset], bytes[port_offset + 1]]);
    net::SocketAddrV4::new(number(bytes, address_offset).into(), port)
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
        bytes[TOKEN_OFFSET..].copy_from_slice(&self.token.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let checksum = checksum(&bytes);
        bytes[CHECKSUM_OFFSET..CHECKSUM_OFFSET + 4].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The packet, and whether its checksum is one of a caller or a server; `None` if the
    /// bytes are not a packet.
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
            token: number(bytes, TOKEN_OFFSET),
            data,
        };
        Some((decoded, number(bytes, CHECKSUM_OFFSET) == checksum(bytes)))
    }

    pub(crate) const fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
