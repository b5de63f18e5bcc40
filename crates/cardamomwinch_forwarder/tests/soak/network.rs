//! The fabric: hands each packet of a caller to some host in rotation, and loses,
//! doubles and delays some.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use cardamomwinch_standin::faults::DatagramFaults;
use cardamomwinch_state::prelude::SortedVector;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::planted::MistakenHost;
use crate::support::HostProcess;

/// How often hosts are asked whether they are ready.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// A host is out of rotation after so many probes without a good answer.
const MISSES: u32 = 2;

#[derive(Debug, Clone)]
struct RotationEntry {
    readiness: net::SocketAddr,
    domain: usize,
    misses: u32,
}

#[derive(Debug, Default)]
struct FabricState {
    hosts: SortedVector<net::SocketAddr, RotationEntry>,
    faults: DatagramFaults,
    /// Hosts whose packets no server gets.
    cut: Vec<net::SocketAddr>,
}

/// What callers and servers share of the network.
#[derive(Debug)]
pub(crate) struct SoakNetwork {
    /// A host that makes a mistake, where one is planted.
    mistaken: Option<MistakenHost>,
    state: sync::Mutex<FabricState>,
    random: sync::Mutex<SmallRng>,
    ended: atomic::AtomicBool,
}

impl SoakNetwork {
    /// A network without hosts, whose probes run until [`Self::end`].
    pub(crate) fn start(seed: u64, mistaken: Option<MistakenHost>) -> sync::Arc<Self> {
        let network = sync::Arc::new(Self {
            mistaken,
            state: sync::Mutex::default(),
            random: sync::Mutex::new(SmallRng::seed_from_u64(seed)),
            ended: atomic::AtomicBool::new(false),
        });
        let probing = network.clone();
        thread::spawn(move || {
            while !probing.is_ended() {
                probing.probe();
                thread::sleep(PROBE_INTERVAL);
            }
        });
        network
    }

    fn state(&self) -> sync::MutexGuard<'_, FabricState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The host that makes a mistake, where one is planted.
    pub(crate) const fn mistaken(&self) -> Option<&MistakenHost> {
        self.mistaken.as_ref()
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(atomic::Ordering::Relaxed)
    }

    /// Adds a host; it comes into rotation when it says that it is ready.
    pub(crate) fn add_host(
        &self,
        traffic: net::SocketAddr,
        readiness: net::SocketAddr,
        domain: usize,
    ) {
        let misses = MISSES;
        let entry = RotationEntry {
            readiness,
            domain,
            misses,
        };
        self.state().hosts.insert(traffic, entry);
    }

    fn probe(&self) {
        let hosts: Vec<_> = {
            let state = self.state();
            let hosts = state.hosts.iter();
            hosts
                .map(|(traffic, entry)| (*traffic, entry.readiness))
                .collect()
        };
        // Each in its own thread: one that stands still must not hold up the rest.
        let probes = hosts.into_iter().map(|(traffic, readiness)| {
            thread::spawn(move || {
                (
                    traffic,
                    HostProcess::is_ready_within(readiness, PROBE_INTERVAL),
                )
            })
        });
        let probes: Vec<_> = probes.collect();
        for (traffic, ready) in probes.into_iter().filter_map(|probe| probe.join().ok()) {
            if let Some(entry) = self.state().hosts.get_mut(&traffic) {
                entry.misses = if ready { 0 } else { entry.misses + 1 };
            }
        }
    }

    pub(crate) fn set_faults(&self, faults: DatagramFaults) {
        self.state().faults = faults;
    }

    /// Loses the packets of `host` to servers from now on, or no longer.
    pub(crate) fn cut(&self, host: net::SocketAddr, cut: bool) {
        let mut state = self.state();
        state.cut.retain(|held| *held != host);
        if cut {
            state.cut.push(host);
        }
    }

    pub(crate) fn is_cut(&self, host: net::SocketAddr) -> bool {
        self.state().cut.contains(&host)
    }

    /// The host that gets the next packet of a caller in `domain`: any in rotation
    /// there; any at all where none is.
    fn host(&self, domain: usize) -> Option<net::SocketAddr> {
        let pick: usize = self.random().random_range(0..usize::MAX);
        let state = self.state();
        let ready = |entry: &RotationEntry| entry.misses < MISSES;
        let near = state.hosts.iter().filter(|(_, entry)| ready(entry));
        let mut hosts: Vec<_> = near.filter(|(_, entry)| entry.domain == domain).collect();
        if hosts.is_empty() {
            hosts = state.hosts.iter().collect();
        }
        (!hosts.is_empty()).then(|| *hosts[pick % hosts.len()].0)
    }

    fn random(&self) -> sync::MutexGuard<'_, SmallRng> {
        self.random
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Hands `packet` of a caller in `domain` to some host.
    pub(crate) fn send(&self, socket: &net::UdpSocket, domain: usize, packet: &[u8]) {
        if let Some(mistaken) = &self.mistaken
            && mistaken.take(packet)
        {
            return;
        }
        let faults = self.state().faults;
        let copies = faults.copies(&mut self.random());
        for delay in copies {
            let Some(host) = self.host(domain) else {
                return;
            };
            if delay.is_zero() {
                // A host that is gone loses the packet, as on a network.
                drop(socket.send_to(packet, host));
                continue;
            }
            let Ok(socket) = socket.try_clone() else {
                return;
            };
            let packet = packet.to_vec();
            thread::spawn(move || {
                thread::sleep(delay);
                drop(socket.send_to(&packet, host));
            });
        }
    }
}
