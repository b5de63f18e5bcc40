//! The fabric: sends each packet of a caller to a random host in rotation, and loses,
//! duplicates and delays some packets.

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

/// The interval of the readiness probes, and the timeout of each.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The number of successive failed probes after which a host is out of rotation.
const MISSED_PROBES_THRESHOLD: u32 = 2;

#[derive(Debug, Clone)]
struct RotationEntry {
    readiness: net::SocketAddr,
    domain: usize,
    missed_probes: u32,
}

#[derive(Debug, Default)]
struct FabricState {
    hosts: SortedVector<net::SocketAddr, RotationEntry>,
    faults: DatagramFaults,
    /// Hosts whose packets to servers are lost.
    cut: Vec<net::SocketAddr>,
    /// The domain in which a surge lasts.
    surge: Option<usize>,
}

/// The network, which callers and servers share.
#[derive(Debug)]
pub(crate) struct SoakNetwork {
    /// The host with a planted mistake, if any.
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

    /// The host with a planted mistake, if any.
    pub(crate) const fn mistaken(&self) -> Option<&MistakenHost> {
        self.mistaken.as_ref()
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(atomic::Ordering::Relaxed)
    }

    /// Adds a host; it is in rotation once it reports that it is ready.
    pub(crate) fn add_host(
        &self,
        traffic: net::SocketAddr,
        readiness: net::SocketAddr,
        domain: usize,
    ) {
        let missed_probes = MISSED_PROBES_THRESHOLD;
        let entry = RotationEntry {
            readiness,
            domain,
            missed_probes,
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
        // Each probe has its own thread, because a paused host must not delay the others.
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
                entry.missed_probes = if ready { 0 } else { entry.missed_probes + 1 };
            }
        }
    }

    pub(crate) fn set_faults(&self, faults: DatagramFaults) {
        self.state().faults = faults;
    }

    /// Sets whether the packets of `host` to servers are lost.
    pub(crate) fn cut(&self, host: net::SocketAddr, cut: bool) {
        let mut state = self.state();
        state.cut.retain(|held| *held != host);
        if cut {
            state.cut.push(host);
        }
    }

    /// Sets the domain in which many callers open flows.
    pub(crate) fn set_surge(&self, domain: Option<usize>) {
        self.state().surge = domain;
    }

    /// The domain in which many callers open flows.
    pub(crate) fn surge(&self) -> Option<usize> {
        self.state().surge
    }

    pub(crate) fn is_cut(&self, host: net::SocketAddr) -> bool {
        self.state().cut.contains(&host)
    }

    /// The host that gets the next packet of a caller in `domain`: a random one of those in
    /// rotation in the domain, or of all hosts if there is none.
    fn host(&self, domain: usize) -> Option<net::SocketAddr> {
        let pick: usize = self.random().random_range(0..usize::MAX);
        let state = self.state();
        let ready = |entry: &RotationEntry| entry.missed_probes < MISSED_PROBES_THRESHOLD;
        let in_rotation = state.hosts.iter().filter(|(_, entry)| ready(entry));
        let mut hosts: Vec<_> = in_rotation
            .filter(|(_, entry)| entry.domain == domain)
            .collect();
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

    /// Sends `packet` of a caller in `domain` to a host.
    pub(crate) fn send(&self, socket: &net::UdpSocket, domain: usize, packet: &[u8]) {
        if let Some(mistaken) = &self.mistaken
            && mistaken.handle_packet(packet)
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
                // A packet to a host that has ended is lost, as on a network.
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
