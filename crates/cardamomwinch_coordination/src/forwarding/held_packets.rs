//! Packets that are held until the next view.
//!
//! Guards against delays while a host lacks the routes or servers that it needs: right
//! after its start, and while only other hosts know a new server. They arrive within
//! milliseconds. If the packet were dropped, its caller would wait until it sends again,
//! which takes up to more than a second.

use std::collections;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// The maximum number of packets. The oldest are dropped first.
const HELD_LIMIT: usize = 512;
/// How long a packet is held. Its caller has sent it again by then.
const HELD_TIME: time::Duration = time::Duration::from_millis(600);

#[derive(Debug)]
struct HeldPacket {
    since: Timestamp,
    bytes: Box<[u8]>,
}

/// The held packets, in the order of arrival.
#[derive(Debug, Default)]
pub struct HeldPackets {
    packets: collections::VecDeque<HeldPacket>,
}

impl HeldPackets {
    /// Holds the packet `bytes`, which arrived at `since`.
    pub fn hold(&mut self, since: Timestamp, bytes: &[u8]) {
        if self.packets.len() >= HELD_LIMIT {
            self.packets.pop_front();
        }
        let bytes = bytes.into();
        self.packets.push_back(HeldPacket { since, bytes });
    }

    /// Removes all packets. Returns those that have not expired at `now`, with their times of
    /// arrival.
    pub fn take(&mut self, now: Timestamp) -> Vec<(Timestamp, Box<[u8]>)> {
        let packets = self.packets.drain(..);
        packets
            .filter(|packet| now.since(packet.since) <= HELD_TIME)
            .map(|packet| (packet.since, packet.bytes))
            .collect()
    }

    /// The number of held packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
