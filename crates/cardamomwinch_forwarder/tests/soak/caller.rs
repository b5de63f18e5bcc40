//! A caller: it opens flows, sends requests on them, and resends lost packets.

use std::net;
use std::sync;
use std::time;

use rand::Rng;

use crate::flow_packet::{ACK, EndPacket, FIN, RST, SYN};
use crate::network::SoakNetwork;
use crate::observations::{Promise, SoakObservations};
use crate::server::SHED_PREFIX;

/// When an opening and its copies are sent, and when the caller gives up.
const OPENING_TIMES_MS: [u64; 4] = [0, 200, 600, 1_400];
/// The first and the longest pause before data is resent.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(200);
const MAX_RESEND_PAUSE: time::Duration = time::Duration::from_millis(1_600);
/// How long a caller waits for the answer to a request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// A reset of a host is accepted within this distance from the acknowledged position.
const RESET_WINDOW: u32 = 76_800;
const FIRST_PORT: u16 = 20_000;
/// The port of the route of the highest priority, whose requests may run once.
pub(crate) const URGENT_PORT: u16 = 444;

/// The behavior of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerBehavior {
    /// The prefix of the names of its requests.
    pub(crate) name: String,
    pub(crate) service: net::SocketAddrV4,
    pub(crate) domain: usize,
    /// The number of requests before it closes a flow.
    pub(crate) requests: u32,
    /// The pauses before its requests, in milliseconds.
    pub(crate) idle_ms: std::ops::Range<u64>,
    /// Whether its requests count for the recovery. They don't if its route is sometimes
    /// dropped.
    pub(crate) counts: bool,
}

/// The outcome of an opening.
enum OpeningOutcome {
    Open(OpenFlow),
    Refused,
    Unanswered,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Answered,
    /// Its server did not run it.
    Shed,
    /// The flow was reset.
    Reset,
    Unanswered,
}

#[derive(Debug, Clone)]
struct OpenFlow {
    address: net::SocketAddrV4,
    /// The address from which its server answers.
    server: net::SocketAddr,
    token: u32,
    sequence: u32,
    /// The position of the server's next byte.
    expected: u32,
    reset: bool,
}

/// The thread of one caller.
pub(crate) struct SoakCaller {
    behavior: CallerBehavior,
    socket: net::UdpSocket,
    observations: SoakObservations,
    network: sync::Arc<SoakNetwork>,
    address: net::Ipv4Addr,
    port: u16,
    requests: u64,
}

impl SoakCaller {
    /// A caller that receives packets at `address`.
    pub(crate) fn new(
        behavior: CallerBehavior,
        address: net::SocketAddrV4,
        observations: SoakObservations,
        network: sync::Arc<SoakNetwork>,
    ) -> Self {
        let socket = net::UdpSocket::bind(address).expect("the address is the soak's own");
        Self {
            behavior,
            socket,
            observations,
            network,
            address: *address.ip(),
            port: FIRST_PORT,
            requests: 0,
        }
    }

    /// Opens flows and sends requests on them until the network ends.
    pub(crate) fn run(mut self) {
        while !self.network.is_ended() {
            self.run_once(self.behavior.domain);
        }
    }

    /// Opens a flow in `domain` and sends requests on it.
    pub(crate) fn run_once(&mut self, domain: usize) {
        self.behavior.domain = domain;
        match self.open() {
            OpeningOutcome::Open(flow) => self.use_flow(flow),
            OpeningOutcome::Refused | OpeningOutcome::Unanswered => {
                if self.behavior.counts {
                    self.observations.note_request(false);
                }
                self.idle(None);
            }
        }
    }

    fn use_flow(&mut self, mut flow: OpenFlow) {
        for _ in 0..self.behavior.requests {
            self.idle(Some(&mut flow));
            if flow.reset || self.network.is_ended() {
                break;
            }
            let outcome = self.send_request(&mut flow);
            if self.behavior.counts {
                self.observations
                    .note_request(outcome == RequestOutcome::Answered);
            }
            match outcome {
                RequestOutcome::Answered => {}
                RequestOutcome::Shed => break,
                RequestOutcome::Reset | RequestOutcome::Unanswered => return,
            }
        }
        if !flow.reset {
            self.send(&flow, FIN | ACK, Vec::new());
        }
    }

    fn open(&mut self) -> OpeningOutcome {
        self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
        let address = net::SocketAddrV4::new(self.address, self.port);
        let sequence: u32 = rand::rng().random();
        let start = time::Instant::now();
        let times = OPENING_TIMES_MS.map(time::Duration::from_millis);
        for (copy, next) in times.iter().skip(1).enumerate() {
            let opening = EndPacket {
                from: address,
                to: self.behavior.service,
                flags: SYN,
                sequence,
                acknowledged: copy as u32,
                token: 0,
                data: Vec::new(),
            };
            self.network
                .send(&self.socket, self.behavior.domain, &opening.encode());
            while let Some((packet, from_server, sender)) = self.receive(address, start + *next) {
                if packet.is(RST) {
                    if !from_server {
                        let route = self.behavior.service.port();
                        let urgent = route == URGENT_PORT;
                        self.observations
                            .note_refusal(address, route, urgent, sender);
                    }
                    return OpeningOutcome::Refused;
                }
                if packet.is(SYN) {
                    let flow = OpenFlow {
                        address,
                        server: sender,
                        token: packet.token,
                        sequence: sequence.wrapping_add(1),
                        expected: packet.sequence.wrapping_add(1),
                        reset: false,
                    };
                    self.send(&flow, ACK, Vec::new());
                    return OpeningOutcome::Open(flow);
                }
            }
        }
        OpeningOutcome::Unanswered
    }

    fn send_request(&mut self, flow: &mut OpenFlow) -> RequestOutcome {
        self.requests += 1;
        let data = format!("{}{}-{}", self.behavior.name, flow.address, self.requests).into_bytes();
        let start = time::Instant::now();
        let (limit, mut pause) = (start + REQUEST_TIMEOUT, RESEND_PAUSE);
        let mut next = start;
        while time::Instant::now() < limit {
            if time::Instant::now() >= next {
                self.send(flow, ACK, data.clone());
                next = time::Instant::now() + pause;
                pause = (pause * 2).min(MAX_RESEND_PAUSE);
            }
            let Some((packet, from_server, sender)) = self.receive(flow.address, next.min(limit))
            else {
                continue;
            };
            if self.is_reset(flow, &packet, from_server, sender) {
                return RequestOutcome::Reset;
            }
            if packet.data.is_empty() || packet.sequence != flow.expected {
                continue;
            }
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.sequence = flow.sequence.wrapping_add(data.len() as u32);
            flow.token = packet.token;
            self.send(flow, ACK, Vec::new());
            if packet.data == [SHED_PREFIX, data.as_slice()].concat() {
                return RequestOutcome::Shed;
            }
            if packet.data != [b"done ", data.as_slice()].concat() {
                let what = format!("{} got another answer", flow.address);
                self.observations.record_violation(Promise::Unchanged, what);
            }
            return RequestOutcome::Answered;
        }
        RequestOutcome::Unanswered
    }

    /// Waits for a random pause, and handles a reset of the flow meanwhile.
    fn idle(&self, flow: Option<&mut OpenFlow>) {
        let pause = rand::rng().random_range(self.behavior.idle_ms.clone());
        let until = time::Instant::now() + time::Duration::from_millis(pause);
        let mut none = OpenFlow {
            address: net::SocketAddrV4::new(self.address, 0),
            server: net::SocketAddrV4::new(self.address, 0).into(),
            token: 0,
            sequence: 0,
            expected: 0,
            reset: false,
        };
        let flow = flow.unwrap_or(&mut none);
        while let Some((packet, from_server, sender)) = self.receive(flow.address, until) {
            if self.is_reset(flow, &packet, from_server, sender) {
                return;
            }
        }
    }

    /// Whether `packet` resets the open `flow`; records the sender of the reset.
    fn is_reset(
        &self,
        flow: &mut OpenFlow,
        packet: &EndPacket,
        from_server: bool,
        sender: net::SocketAddr,
    ) -> bool {
        let distance = packet.sequence.wrapping_sub(flow.expected);
        let near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
        if !packet.is(RST) || !(from_server || near) {
            return false;
        }
        flow.reset = true;
        if !from_server {
            let route = self.behavior.service.port();
            self.observations.note_reset(flow.address, route, sender);
        } else if sender != flow.server {
            self.observations.note_foreign_reset(flow.address, sender);
        }
        true
    }

    fn send(&self, flow: &OpenFlow, flags: u8, data: Vec<u8>) {
        let packet = EndPacket {
            from: flow.address,
            to: self.behavior.service,
            flags,
            sequence: flow.sequence,
            acknowledged: flow.expected,
            token: flow.token,
            data,
        };
        self.network
            .send(&self.socket, self.behavior.domain, &packet.encode());
    }

    /// The next packet to `address` before `until`, whether a server wrote it, and its sender.
    /// Packets of earlier flows are skipped.
    fn receive(
        &self,
        address: net::SocketAddrV4,
        until: time::Instant,
    ) -> Option<(EndPacket, bool, net::SocketAddr)> {
        let mut buffer = [0; 2_048];
        loop {
            let left = until.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).ok()?;
            let Ok((length, from)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some((packet, from_server)) = EndPacket::decode(&buffer[..length]) else {
                continue;
            };
            let own_reset = packet.flags == RST && packet.data.is_empty();
            if !from_server && !own_reset {
                let what = format!("{packet:?} from {from}");
                self.observations.record_violation(Promise::Unchanged, what);
            } else if packet.to == address {
                return Some((packet, from_server, from));
            }
        }
    }
}
