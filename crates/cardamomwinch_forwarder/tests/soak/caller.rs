//! A caller's end of flows: opens them, asks on them, and copes with losses.

use std::net;
use std::sync;
use std::time;

use rand::Rng;

use crate::book::{Promise, SoakBook};
use crate::flow_packet::{ACK, EndPacket, FIN, RST, SYN};
use crate::network::SoakNetwork;

/// When an opening and its copies are sent, and when the caller gives up.
const OPENING_TIMES_MS: [u64; 4] = [0, 200, 600, 1_400];
/// The first pause before data are sent again, and the longest.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(200);
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(1_600);
/// How long a caller waits for an answer.
const DEADLINE: time::Duration = time::Duration::from_secs(3);
/// The pauses between the requests of a flow, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..300;
/// A host's reset is good within this distance of what was acknowledged.
const RESET_WINDOW: u32 = 76_800;
const FIRST_PORT: u16 = 20_000;

/// What a caller does.
#[derive(Debug, Clone)]
pub(crate) struct CallerHabit {
    /// Begins the names of its requests.
    pub(crate) name: String,
    pub(crate) service: net::SocketAddrV4,
    pub(crate) domain: usize,
    /// Requests before it closes a flow.
    pub(crate) requests: u32,
    /// Whether its openings are answered everywhere; those of others say nothing
    /// about the recovery.
    pub(crate) counts: bool,
}

/// How an opening ended.
enum OpeningEnd {
    Open(OpenFlow),
    Refused,
    Unanswered,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    /// The flow is over.
    Reset,
    Unanswered,
}

#[derive(Debug, Clone)]
struct OpenFlow {
    end: net::SocketAddrV4,
    /// Where its server answers from.
    server: net::SocketAddr,
    token: u32,
    sequence: u32,
    /// The position of the server's next byte.
    expected: u32,
    reset: bool,
}

/// The thread of one caller.
pub(crate) struct SoakCaller {
    habit: CallerHabit,
    socket: net::UdpSocket,
    book: SoakBook,
    network: sync::Arc<SoakNetwork>,
    address: net::Ipv4Addr,
    port: u16,
    requests: u64,
}

impl SoakCaller {
    /// A caller that takes packets at `address`.
    pub(crate) fn new(
        habit: CallerHabit,
        address: net::SocketAddrV4,
        book: SoakBook,
        network: sync::Arc<SoakNetwork>,
    ) -> Self {
        let socket = net::UdpSocket::bind(address).expect("the address is the soak's own");
        Self {
            habit,
            socket,
            book,
            network,
            address: *address.ip(),
            port: FIRST_PORT,
            requests: 0,
        }
    }

    /// Opens flows and asks on them until the network ends.
    pub(crate) fn run(mut self) {
        while !self.network.is_ended() {
            match self.open() {
                OpeningEnd::Open(flow) => self.use_flow(flow),
                OpeningEnd::Refused | OpeningEnd::Unanswered => {
                    if self.habit.counts {
                        self.book.note_request(false);
                    }
                    self.rest(None);
                }
            }
        }
    }

    fn use_flow(&mut self, mut flow: OpenFlow) {
        for _ in 0..self.habit.requests {
            self.rest(Some(&mut flow));
            if flow.reset || self.network.is_ended() {
                break;
            }
            let end = self.ask(&mut flow);
            if self.habit.counts {
                self.book.note_request(end == RequestEnd::Answered);
            }
            if end != RequestEnd::Answered {
                return;
            }
        }
        if !flow.reset {
            self.send(&flow, FIN | ACK, Vec::new());
        }
    }

    fn open(&mut self) -> OpeningEnd {
        self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
        let end = net::SocketAddrV4::new(self.address, self.port);
        let sequence: u32 = rand::rng().random();
        let start = time::Instant::now();
        let times = OPENING_TIMES_MS.map(time::Duration::from_millis);
        for (copy, next) in times.iter().skip(1).enumerate() {
            let opening = EndPacket {
                from: end,
                to: self.habit.service,
                flags: SYN,
                sequence,
                acknowledged: copy as u32,
                token: 0,
                data: Vec::new(),
            };
            self.network
                .send(&self.socket, self.habit.domain, &opening.encode());
            while let Some((packet, from_end, sender)) = self.receive(end, start + *next) {
                if packet.is(RST) {
                    if !from_end {
                        let route = self.habit.service.port();
                        self.book.note_refusal(end, route, sender);
                    }
                    return OpeningEnd::Refused;
                }
                if packet.is(SYN) {
                    let flow = OpenFlow {
                        end,
                        server: sender,
                        token: packet.token,
                        sequence: sequence.wrapping_add(1),
                        expected: packet.sequence.wrapping_add(1),
                        reset: false,
                    };
                    self.send(&flow, ACK, Vec::new());
                    return OpeningEnd::Open(flow);
                }
            }
        }
        OpeningEnd::Unanswered
    }

    fn ask(&mut self, flow: &mut OpenFlow) -> RequestEnd {
        self.requests += 1;
        let data = format!("{}{}-{}", self.habit.name, flow.end, self.requests).into_bytes();
        let start = time::Instant::now();
        let (limit, mut pause) = (start + DEADLINE, RESEND_PAUSE);
        let mut next = start;
        while time::Instant::now() < limit {
            if time::Instant::now() >= next {
                self.send(flow, ACK, data.clone());
                next = time::Instant::now() + pause;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
            let Some((packet, from_end, sender)) = self.receive(flow.end, next.min(limit)) else {
                continue;
            };
            if self.is_reset(flow, &packet, from_end, sender) {
                return RequestEnd::Reset;
            }
            if packet.data.is_empty() || packet.sequence != flow.expected {
                continue;
            }
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.sequence = flow.sequence.wrapping_add(data.len() as u32);
            flow.token = packet.token;
            self.send(flow, ACK, Vec::new());
            if packet.data != [b"done ", data.as_slice()].concat() {
                let what = format!("{} got another answer", flow.end);
                self.book.break_promise(Promise::Unchanged, what);
            }
            return RequestEnd::Answered;
        }
        RequestEnd::Unanswered
    }

    /// Waits a while, during which a flow may be ended.
    fn rest(&self, flow: Option<&mut OpenFlow>) {
        let pause = rand::rng().random_range(PAUSE_MS);
        let until = time::Instant::now() + time::Duration::from_millis(pause);
        let mut none = OpenFlow {
            end: net::SocketAddrV4::new(self.address, 0),
            server: net::SocketAddrV4::new(self.address, 0).into(),
            token: 0,
            sequence: 0,
            expected: 0,
            reset: false,
        };
        let flow = flow.unwrap_or(&mut none);
        while let Some((packet, from_end, sender)) = self.receive(flow.end, until) {
            if self.is_reset(flow, &packet, from_end, sender) {
                return;
            }
        }
    }

    /// Whether `packet` ends the open `flow`; notes who did.
    fn is_reset(
        &self,
        flow: &mut OpenFlow,
        packet: &EndPacket,
        from_end: bool,
        sender: net::SocketAddr,
    ) -> bool {
        let distance = packet.sequence.wrapping_sub(flow.expected);
        let near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
        if !packet.is(RST) || !(from_end || near) {
            return false;
        }
        flow.reset = true;
        if !from_end {
            let route = self.habit.service.port();
            self.book.note_reset(flow.end, route, sender);
        } else if sender != flow.server {
            self.book.note_foreign_reset(flow.end, sender);
        }
        true
    }

    fn send(&self, flow: &OpenFlow, flags: u8, data: Vec<u8>) {
        let packet = EndPacket {
            from: flow.end,
            to: self.habit.service,
            flags,
            sequence: flow.sequence,
            acknowledged: flow.expected,
            token: flow.token,
            data,
        };
        self.network
            .send(&self.socket, self.habit.domain, &packet.encode());
    }

    /// The next packet to `end` before `until`, whether a server wrote it, and
    /// where it came from. What concerns earlier flows is passed over.
    fn receive(
        &self,
        end: net::SocketAddrV4,
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
            let Some((packet, from_end)) = EndPacket::decode(&buffer[..length]) else {
                continue;
            };
            let own_reset = packet.flags == RST && packet.data.is_empty();
            if !from_end && !own_reset {
                let what = format!("{packet:?} from {from}");
                self.book.break_promise(Promise::Unchanged, what);
            } else if packet.to == end {
                return Some((packet, from_end, from));
            }
        }
    }
}
