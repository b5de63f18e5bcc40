//! Servers with slots and a queue.

use std::collections;

use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::packet::PacketKind;
use rand::Rng;

use crate::load_support::events::{CallerMessage, CallerPacket, FlowNumber, LoadEvent, ServerJob};
use crate::load_support::outcomes::{ArrivalFate, ArrivalRecord};
use crate::load_support::{CALLER_DELAY, LoadWorld, domain_id};

/// The number of requests that wait for a slot.
const QUEUE_LIMIT: usize = 8;
/// The time after which a server with a full queue answers that it did not run a request.
const SHED_TIME: std::ops::Range<u64> = 100_000..160_000;
/// The time after which a failing server answers.
const FAILURE_TIME: u64 = 5_000;
/// With this many open flows for each slot, a server resets further ones.
const FLOWS_PER_SLOT: usize = 24;

/// The state of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerMode {
    Healthy,
    /// Requests take so many times as long.
    Slow(f64),
    /// It confirms openings and requests, and answers none.
    Hanging,
    /// It fails this share of the requests.
    Failing(f64),
    /// It resets whatever it gets, and has forgotten its flows.
    Crashed,
    /// It does nothing, and has forgotten its flows.
    Dead,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerFlow {
    /// Whether the caller has acknowledged the answer to its opening.
    open: bool,
    /// The position of the last byte of the last request.
    sequence: u32,
}

#[derive(Debug)]
pub struct LoadServer {
    pub record: ServerRecord,
    /// The number of its domain.
    pub domain: usize,
    pub mode: ServerMode,
    /// The number of open flows from which on it resets further ones.
    pub flow_limit: usize,
    flows: collections::BTreeMap<FlowNumber, ServerFlow>,
    queue: collections::VecDeque<FlowNumber>,
    busy: u32,
    /// How often it has stopped or started.
    life: u32,
}

impl LoadServer {
    pub fn new(record: ServerRecord) -> Self {
        Self {
            domain: (0..).find(|one| domain_id(*one) == record.domain).unwrap(),
            flow_limit: FLOWS_PER_SLOT * record.slots.get() as usize,
            record,
            mode: ServerMode::Healthy,
            flows: collections::BTreeMap::new(),
            queue: collections::VecDeque::new(),
            busy: 0,
            life: 0,
        }
    }

    pub fn set_mode(&mut self, mode: ServerMode) {
        let stopped = [ServerMode::Dead, ServerMode::Crashed];
        if stopped.contains(&self.mode) || stopped.contains(&mode) {
            self.flows.clear();
            self.queue.clear();
            self.busy = 0;
            self.life += 1;
        }
        self.mode = mode;
    }
}

impl LoadWorld {
    pub(crate) fn handle_at_server(&mut self, number: usize, packet: CallerPacket) {
        let flow = packet.number;
        match self.servers[number].mode {
            ServerMode::Dead => return,
            ServerMode::Crashed => return self.reply(number, flow, CallerMessage::ServerReset),
            _ => {}
        }
        let server = &mut self.servers[number];
        if matches!(packet.kind, PacketKind::Opening { .. }) {
            server.flows.entry(flow).or_default();
            let message = CallerMessage::Opened {
                server: number,
                token: packet.token,
            };
            return self.reply(number, flow, message);
        }
        if matches!(packet.kind, PacketKind::Closing | PacketKind::Reset) {
            server.flows.remove(&flow);
            return server.queue.retain(|one| *one != flow);
        }
        let Some(known) = server.flows.get_mut(&flow) else {
            return self.reply(number, flow, CallerMessage::ServerReset);
        };
        let opens = !std::mem::replace(&mut known.open, true);
        let is_new = packet.length > 0 && packet.sequence > known.sequence;
        known.sequence = known.sequence.max(packet.sequence);
        if opens && server.flows.len() > server.flow_limit {
            server.flows.remove(&flow);
            self.record_arrival(number, flow, ArrivalFate::Reset);
            return self.reply(number, flow, CallerMessage::ServerReset);
        }
        if packet.length > 0 {
            let sequence = packet.sequence;
            self.reply(number, flow, CallerMessage::Received { sequence });
        }
        if is_new {
            self.take_request(number, flow);
        }
    }

    fn take_request(&mut self, number: usize, flow: FlowNumber) {
        let server = &mut self.servers[number];
        let fate = match server.mode {
            ServerMode::Hanging => ArrivalFate::Accepted,
            ServerMode::Failing(share) if self.random.random_bool(share) => {
                self.answer_later(number, flow, CallerMessage::Failed, FAILURE_TIME);
                ArrivalFate::Accepted
            }
            _ if server.busy < server.record.slots.get() => {
                self.start_work(number, flow);
                ArrivalFate::Accepted
            }
            _ if server.queue.len() < QUEUE_LIMIT => {
                server.queue.push_back(flow);
                ArrivalFate::Accepted
            }
            _ => {
                let time = self.random.random_range(SHED_TIME);
                self.answer_later(number, flow, CallerMessage::Shed, time);
                ArrivalFate::Shed
            }
        };
        self.record_arrival(number, flow, fate);
    }

    fn record_arrival(&mut self, server: usize, flow: FlowNumber, fate: ArrivalFate) {
        let caller = &self.callers[flow.caller];
        self.arrivals.push(ArrivalRecord {
            at: self.now,
            server,
            domain: self.servers[server].domain,
            from: caller.domain,
            route: caller.route,
            fate,
        });
    }

    fn answer_later(&mut self, server: usize, flow: FlowNumber, message: CallerMessage, time: u64) {
        let job = ServerJob {
            number: flow,
            message,
            in_slot: false,
        };
        self.push_done(server, job, time);
    }

    fn push_done(&mut self, server: usize, job: ServerJob, time: u64) {
        let life = self.servers[server].life;
        let done = LoadEvent::Done { server, job, life };
        self.events.push(self.now + time, done);
    }

    fn start_work(&mut self, number: usize, flow: FlowNumber) {
        let route = &self.routes[self.callers[flow.caller].route];
        let work = route.draw_work(&mut self.random);
        let bytes = route.answer;
        let server = &mut self.servers[number];
        server.busy += 1;
        let work = match server.mode {
            ServerMode::Slow(times) => (work as f64 * times) as u64,
            _ => work,
        };
        let job = ServerJob {
            number: flow,
            message: CallerMessage::Answer { bytes },
            in_slot: true,
        };
        self.push_done(number, job, work);
    }

    pub(crate) fn finish_job(&mut self, number: usize, job: ServerJob, life: u32) {
        let server = &mut self.servers[number];
        if server.life != life {
            return;
        }
        let is_known = server.flows.contains_key(&job.number);
        if job.in_slot {
            server.busy -= 1;
            if let Some(next) = server.queue.pop_front() {
                self.start_work(number, next);
            }
        }
        if is_known {
            self.reply(number, job.number, job.message);
        }
    }

    /// Replies reach callers on their own way, also if domains are cut off from each other.
    fn reply(&mut self, server: usize, flow: FlowNumber, message: CallerMessage) {
        let caller = self.callers[flow.caller].domain;
        let delay = self.distance(self.servers[server].domain, caller);
        let at = self.now + delay + CALLER_DELAY;
        self.events.push(at, LoadEvent::AtCaller { flow, message });
    }
}
