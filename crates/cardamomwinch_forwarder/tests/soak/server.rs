//! A backend server.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use cardamomwinch_platform::packet::SERVER_PREFIX_LENGTH;
use cardamomwinch_state::prelude::SortedVector;
use rand::Rng;

use crate::flow_packet::{ACK, EndPacket, FIN, RST, SYN};
use crate::network::SoakNetwork;
use crate::observations::{FlowAddress, Promise, ServerNumber, SoakObservations};
use crate::planted::PlantedMistake;

/// How long the thread waits for a packet before it sends the answers that are due.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_millis(5);
/// The duration of a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 3..25;
/// The number of requests that run at the same time, and of those that wait.
pub(crate) const SLOTS: usize = 2;
const QUEUE_LIMIT: usize = 8;
/// The time after which a request that does not run is answered, in milliseconds.
const SHED_MS: std::ops::Range<u64> = 100..160;
/// The answer to a request that did not run begins with this.
pub(crate) const SHED_PREFIX: &[u8] = b"shed ";
/// The first pause before an answer is resent; it doubles each time.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(200);
const MAX_RESENDS: u32 = 8;
/// The prefix of the names of requests that may run more than once.
pub(crate) const IDEMPOTENT_PREFIX: &str = "any-";

/// The properties of a server that don't change.
#[derive(Debug, Clone)]
pub(crate) struct ServerIdentity {
    pub(crate) number: ServerNumber,
    pub(crate) service: &'static str,
    pub(crate) domain: usize,
    pub(crate) address: net::SocketAddrV4,
    /// The port at which callers receive packets.
    pub(crate) caller_port: u16,
}

/// A running server. Its thread ends when this is dropped.
#[derive(Debug)]
pub(crate) struct SoakServer {
    pub(crate) identity: ServerIdentity,
    silent: sync::Arc<atomic::AtomicBool>,
    ended: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl SoakServer {
    pub(crate) fn start(
        identity: ServerIdentity,
        observations: SoakObservations,
        network: sync::Arc<SoakNetwork>,
    ) -> Self {
        let socket = net::UdpSocket::bind(identity.address).expect("the address is the soak's own");
        socket
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .expect("the pause is not zero");
        let silent = sync::Arc::<atomic::AtomicBool>::default();
        let ended = sync::Arc::<atomic::AtomicBool>::default();
        let end = ServerThread {
            identity: identity.clone(),
            socket,
            observations,
            network,
            flows: SortedVector::new(),
            due: Vec::new(),
            ends: Vec::new(),
        };
        let (is_silent, is_ended) = (silent.clone(), ended.clone());
        let thread = thread::spawn(move || end.run(&is_silent, &is_ended));
        Self {
            identity,
            silent,
            ended,
            thread: Some(thread),
        }
    }

    /// Makes the server lose its flows and neither handle nor send packets any longer.
    pub(crate) fn go_silent(&self) {
        self.silent.store(true, atomic::Ordering::Relaxed);
    }
}

impl Drop for SoakServer {
    fn drop(&mut self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, it has printed the reason.
            drop(thread.join());
        }
    }
}

#[derive(Debug)]
struct ServedFlow {
    route: net::SocketAddrV4,
    /// The position of the caller's next byte.
    expected: u32,
    /// The position of the next byte to the caller.
    sequence: u32,
    /// The position that the caller has acknowledged.
    acknowledged: u32,
    /// Whether the caller has acknowledged this server's answer to its opening.
    opened: bool,
    token: u32,
}

/// An answer that is sent or resent until it is acknowledged.
#[derive(Debug)]
struct DueAnswer {
    flow: FlowAddress,
    at: time::Instant,
    tries: u32,
    /// `None` until the request is done.
    sequence: Option<u32>,
    data: Vec<u8>,
}

struct ServerThread {
    identity: ServerIdentity,
    socket: net::UdpSocket,
    observations: SoakObservations,
    network: sync::Arc<SoakNetwork>,
    flows: SortedVector<FlowAddress, ServedFlow>,
    due: Vec<DueAnswer>,
    /// When the requests end that run or wait.
    ends: Vec<time::Instant>,
}

impl ServerThread {
    fn run(mut self, silent: &atomic::AtomicBool, ended: &atomic::AtomicBool) {
        let mut buffer = [0; 2_048];
        while !ended.load(atomic::Ordering::Relaxed) {
            let received = self.socket.recv_from(&mut buffer);
            if silent.load(atomic::Ordering::Relaxed) {
                self.flows.clear();
                self.due.clear();
                continue;
            }
            if let Ok((length, host)) = received
                && !self.network.is_cut(host)
            {
                self.handle_datagram(&buffer[..length], host);
            }
            self.send_due();
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], host: net::SocketAddr) {
        let Some((prefix, packet)) = datagram.split_at_checked(SERVER_PREFIX_LENGTH) else {
            return;
        };
        let addressee = u64::from_be_bytes(prefix.try_into().expect("eight bytes"));
        if addressee != 0 && addressee != self.identity.number {
            return;
        }
        let Some((packet, intact)) = EndPacket::decode(packet) else {
            return;
        };
        if !intact {
            let what = format!("{packet:?} at {:x} from {host}", self.identity.number);
            return self.observations.record_violation(Promise::Unchanged, what);
        }
        if packet.is(SYN) {
            self.open(&packet, host);
        } else {
            self.continue_flow(packet);
        }
    }

    fn open(&mut self, packet: &EndPacket, host: net::SocketAddr) {
        let identity = &self.identity;
        let (flow, route) = (packet.from, packet.to.port());
        self.observations
            .note_opening(flow, route, identity.number, identity.service, host);
        let sequence: u32 = rand::rng().random();
        let fresh = || ServedFlow {
            route: packet.to,
            expected: packet.sequence.wrapping_add(1),
            sequence: sequence.wrapping_add(1),
            acknowledged: sequence.wrapping_add(1),
            opened: false,
            token: packet.token,
        };
        let served = self.flows.get_or_insert_with(flow, fresh);
        let sequence = served.sequence.wrapping_sub(1);
        self.reply(
            flow,
            packet.to,
            SYN | ACK,
            sequence,
            packet.token,
            Vec::new(),
        );
    }

    fn continue_flow(&mut self, packet: EndPacket) {
        let (flow, number) = (packet.from, self.identity.number);
        let open_flow = self.flows.get_mut(&flow).and_then(|served| {
            served.opened |= packet.acknowledged == served.sequence;
            served.opened.then_some(served)
        });
        self.observations
            .note_packet(flow, number, open_flow.is_some());
        let Some(served) = open_flow else {
            // Resets a flow that this server no longer has, unless the packet ends it.
            if !packet.is(FIN) && !packet.is(RST) {
                self.reply(
                    flow,
                    packet.to,
                    RST,
                    packet.acknowledged,
                    packet.token,
                    Vec::new(),
                );
            }
            return;
        };
        served.token = packet.token;
        served.acknowledged = packet.acknowledged;
        if packet.is(FIN) || packet.is(RST) {
            self.flows.remove(&flow);
            self.due.retain(|one| one.flow != flow);
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        let is_next = packet.sequence == served.expected;
        if is_next {
            served.expected = served.expected.wrapping_add(packet.data.len() as u32);
        }
        let (route, sequence, token) = (served.route, served.sequence, served.token);
        self.reply(flow, route, ACK, sequence, token, Vec::new());
        if is_next {
            self.run_request(flow, packet.data);
        }
    }

    fn run_request(&mut self, flow: FlowAddress, data: Vec<u8>) {
        let request = String::from_utf8_lossy(&data).into_owned();
        let now = time::Instant::now();
        self.ends.retain(|end| *end > now);
        if self.ends.len() >= SLOTS + QUEUE_LIMIT {
            self.observations.note_shed();
            let pause = rand::rng().random_range(SHED_MS);
            let at = now + time::Duration::from_millis(pause);
            return self.answer_at(at, flow, [SHED_PREFIX, data.as_slice()].concat());
        }
        let once = !request.starts_with(IDEMPOTENT_PREFIX);
        self.observations.note_run(&request, once);
        if self
            .network
            .mistaken()
            .is_some_and(|host| host.mistake == PlantedMistake::RunTwice)
        {
            self.observations.note_run(&request, once);
        }
        let work = time::Duration::from_millis(rand::rng().random_range(WORK_MS));
        // The request begins when fewer than SLOTS of those before it are left.
        self.ends.sort_unstable();
        let waits_for = self.ends.len().checked_sub(SLOTS);
        let begin = waits_for.map_or(now, |index| self.ends[index]);
        self.ends.push(begin + work);
        self.answer_at(begin + work, flow, format!("done {request}").into_bytes());
    }

    fn answer_at(&mut self, at: time::Instant, flow: FlowAddress, data: Vec<u8>) {
        self.due.push(DueAnswer {
            flow,
            at,
            tries: 0,
            sequence: None,
            data,
        });
    }

    fn send_due(&mut self) {
        let now = time::Instant::now();
        let mut due = std::mem::take(&mut self.due);
        due.retain_mut(|answer| {
            let Some(served) = self.flows.get_mut(&answer.flow) else {
                return false;
            };
            let start = answer.sequence;
            let end = start.map(|start| start.wrapping_add(answer.data.len() as u32));
            let confirmed =
                end.is_some_and(|end| served.acknowledged.wrapping_sub(end) < u32::MAX / 2);
            if confirmed || answer.tries > MAX_RESENDS {
                return false;
            }
            if answer.at > now {
                return true;
            }
            let sequence = *answer.sequence.get_or_insert_with(|| {
                let sequence = served.sequence;
                served.sequence = sequence.wrapping_add(answer.data.len() as u32);
                sequence
            });
            let (route, token) = (served.route, served.token);
            answer.at = now + RESEND_PAUSE * 2_u32.pow(answer.tries.min(3));
            answer.tries += 1;
            self.reply(
                answer.flow,
                route,
                ACK,
                sequence,
                token,
                answer.data.clone(),
            );
            true
        });
        self.due.append(&mut due);
    }

    fn reply(
        &self,
        flow: FlowAddress,
        route: net::SocketAddrV4,
        flags: u8,
        sequence: u32,
        token: u32,
        data: Vec<u8>,
    ) {
        let acknowledged = self.flows.get(&flow).map_or(0, |served| served.expected);
        let packet = EndPacket {
            from: route,
            to: flow,
            flags,
            sequence,
            acknowledged,
            token,
            data,
        };
        let caller = net::SocketAddrV4::new(*flow.ip(), self.identity.caller_port);
        // A packet to a caller that has ended is lost, as on a network.
        drop(self.socket.send_to(&packet.encode(), caller));
    }
}
