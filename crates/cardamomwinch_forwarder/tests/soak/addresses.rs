//! The addresses of one run.

use std::net;
use std::sync::atomic;

static BLOCKS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A block of addresses of the loopback network that only this run uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressBlock {
    pub(crate) first: [u8; 3],
    /// The port for packets, the same for hosts, servers and callers.
    port: u16,
}

impl AddressBlock {
    /// The last numbers of addresses at which those of hosts, of the host with a planted
    /// mistake, of servers and of callers begin.
    pub(crate) const HOSTS: u8 = 1;
    pub(crate) const MISTAKEN: u8 = 50;
    pub(crate) const SERVERS: u8 = 60;
    pub(crate) const CALLERS: u8 = 200;

    pub(crate) fn choose() -> Self {
        let process = std::process::id();
        let block = BLOCKS.fetch_add(1, atomic::Ordering::Relaxed);
        let second = 64 + (process / 251 % 150) as u8;
        let third = ((process % 251) + block) as u8;
        let first = [127, second, third];
        let probe = net::SocketAddr::from(([first[0], first[1], first[2], 254], 0));
        let probe = net::UdpSocket::bind(probe).expect("the whole loopback network is there");
        let port = probe.local_addr().expect("the socket is bound").port();
        Self { first, port }
    }

    pub(crate) fn address(&self, number: u8, offset: u16) -> net::SocketAddrV4 {
        let [a, b, c] = self.first;
        // Leaves space for the three ports after the one for packets.
        net::SocketAddrV4::new([a, b, c, number].into(), self.port.min(65_000) + offset)
    }
}
