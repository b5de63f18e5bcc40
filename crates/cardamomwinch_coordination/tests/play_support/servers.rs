//! Backend servers with slots and a short queue, which record each run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net;

use cardamomwinch_protocol::backend::BackendRequest;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::Rng;

use super::hosts::{EngineInput, encoded};
use super::{MILLIS, Play, PlayEvent, PlayPlan};

/// One run of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlayedRun {
    pub at: u64,
    pub server: usize,
    pub via: HostId,
    pub attempt: AttemptNumber,
}

#[derive(Debug, Clone, Copy)]
struct ServerJob {
    number: u64,
    flow: FlowKey,
    backend: BackendId,
    via: HostId,
    request: BackendRequest,
}

#[derive(Debug, Default)]
struct PlayedServer {
    flows: BTreeSet<FlowKey>,
    running: Vec<ServerJob>,
    queue: VecDeque<ServerJob>,
    answers: u64,
    frozen_until: u64,
}

/// All backend servers, and the runs on them.
#[derive(Debug)]
pub struct Servers {
    servers: Vec<PlayedServer>,
    pub runs: BTreeMap<(FlowKey, RequestId), Vec<PlayedRun>>,
    next_job: u64,
}

pub fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 9_000 + index as u16))
}

/// The position of the server `id` in `plan`.
pub fn index_of(plan: &PlayPlan, id: BackendId) -> Option<usize> {
    let service = ServiceId::from_name("desk");
    let id_at = |index| BackendId::from_parts(service, &format!("s{index}"), address(index));
    (0..plan.servers.len()).find(|index| id_at(*index) == id)
}

impl Servers {
    pub fn new(plan: &PlayPlan) -> Self {
        Self {
            servers: plan
                .servers
                .iter()
                .map(|_| PlayedServer::default())
                .collect(),
            runs: BTreeMap::new(),
            next_job: 0,
        }
    }

    pub fn is_frozen(&self, index: usize, now: u64) -> bool {
        self.servers[index].frozen_until > now
    }

    /// Lets a server handle nothing until `until`.
    pub fn freeze(&mut self, index: usize, until: u64) {
        self.servers[index].frozen_until = until;
    }

    pub fn load(&self, index: usize) -> LoadReport {
        let server = &self.servers[index];
        LoadReport {
            busy_slots: server.running.len() as u32,
            connections: server.flows.len() as u32,
            healthy: true,
            draining: false,
            answers: Some(server.answers),
        }
    }
}

impl Play {
    pub fn send_to_server(&mut self, address: net::SocketAddr, datagram: &BackendDatagram<'_>) {
        let server = usize::from(address.port()) - 9_000;
        let bytes = encoded(datagram);
        if let Some(request) = datagram.request {
            let via = self
                .host_of(datagram.via)
                .map(|host| &self.hosts[host].name);
            let line = format!(
                "{} {via:?} sends {:?} {} request {} attempt {} to server {server}, start before {}",
                self.now,
                datagram.kind,
                datagram.flow,
                request.id,
                request.attempt.0,
                request.start_before
            );
            self.note(line);
        }
        let faults = self.plan.to_servers;
        for delay in faults.copies(&mut self.rng) {
            let bytes = bytes.clone();
            self.schedule(delay, PlayEvent::ToServer { server, bytes });
        }
    }

    pub fn receive_at_server(&mut self, server: usize, bytes: &[u8]) {
        let frozen_until = self.servers.servers[server].frozen_until;
        if frozen_until > self.now {
            let bytes = bytes.to_vec();
            let event = PlayEvent::ToServer { server, bytes };
            return self.schedule(frozen_until - self.now, event);
        }
        let datagram: BackendDatagram<'_> = codec::decode(bytes).unwrap();
        let job = datagram.request.map(|request| ServerJob {
            number: 0,
            flow: datagram.flow,
            backend: datagram.backend,
            via: datagram.via,
            request,
        });
        let full = self.servers.servers[server].flows.len() >= self.plan.connections as usize;
        let flows = &mut self.servers.servers[server].flows;
        let held = flows.contains(&datagram.flow);
        let request = datagram.request.map(|request| request.id);
        let attempt = datagram.request.map(|request| request.attempt);
        let attempt = attempt.unwrap_or_default();
        match datagram.kind {
            BackendKind::Open if held || !full => {
                flows.insert(datagram.flow);
                self.reply(&datagram, BackendReplyKind::Opened);
                self.admit(server, job);
            }
            BackendKind::Open => self.reply(&datagram, BackendReplyKind::Shed { request, attempt }),
            BackendKind::Carry if held => self.admit(server, job),
            BackendKind::Carry => {
                self.reply(
                    &datagram,
                    BackendReplyKind::UnknownFlow { request, attempt },
                );
            }
            BackendKind::Close => {
                flows.remove(&datagram.flow);
                self.reply(&datagram, BackendReplyKind::Closed);
            }
            BackendKind::Cancel => self.cancel(server, &datagram),
        }
    }

    fn reply(&mut self, datagram: &BackendDatagram<'_>, kind: BackendReplyKind<'_>) {
        let reply = BackendReply {
            flow: datagram.flow,
            backend: datagram.backend,
            via: datagram.via,
            kind,
        };
        self.spray(|| EngineInput::backend(&reply));
    }

    fn reply_to_job(&mut self, job: &ServerJob, kind: BackendReplyKind<'_>) {
        let reply = BackendReply {
            flow: job.flow,
            backend: job.backend,
            via: job.via,
            kind,
        };
        self.spray(|| EngineInput::backend(&reply));
    }

    fn cancel(&mut self, server: usize, datagram: &BackendDatagram<'_>) {
        let Some(request) = datagram.request else {
            return;
        };
        let queue = &mut self.servers.servers[server].queue;
        let before = queue.len();
        queue.retain(|job| job.flow != datagram.flow || job.request.id != request.id);
        if queue.len() < before {
            let (request, attempt) = (Some(request.id), request.attempt);
            self.reply(datagram, BackendReplyKind::Shed { request, attempt });
        }
    }

    fn admit(&mut self, server: usize, job: Option<ServerJob>) {
        let Some(mut job) = job else {
            return;
        };
        self.servers.next_job += 1;
        job.number = self.servers.next_job;
        let played = &mut self.servers.servers[server];
        if is_late(&job, self.now) {
            self.shed(server, &job);
        } else if played.running.len() < self.plan.slots as usize {
            self.run(server, job);
        } else if played.queue.len() < self.plan.server_queue {
            played.queue.push_back(job);
        } else {
            self.shed(server, &job);
        }
    }

    fn shed(&mut self, server: usize, job: &ServerJob) {
        let (flow, id, attempt) = (job.flow, job.request.id, job.request.attempt);
        let line = format!(
            "{} server {server} sheds {flow} request {id} attempt {}",
            self.now, attempt.0
        );
        self.note(line);
        let request = Some(id);
        self.reply_to_job(job, BackendReplyKind::Shed { request, attempt });
    }

    fn run(&mut self, server: usize, job: ServerJob) {
        let (flow, request) = (job.flow, job.request);
        let run = PlayedRun {
            at: self.now,
            server,
            via: job.via,
            attempt: request.attempt,
        };
        let via = self.host_of(job.via).map(|host| &self.hosts[host].name);
        let line = format!(
            "{} server {server} RUNS {flow} request {} attempt {} of {via:?}",
            self.now, request.id, request.attempt.0
        );
        self.note(line);
        let runs = self.servers.runs.entry((flow, request.id)).or_default();
        runs.push(run);
        self.servers.servers[server].running.push(job);
        let mean = self.plan.service_time;
        let time = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..=mean * 20),
            _ => self.rng.random_range(mean / 2..=mean * 3 / 2),
        };
        let job = job.number;
        self.schedule(time, PlayEvent::ServerDone { server, job });
    }

    pub fn finish_job(&mut self, server: usize, number: u64) {
        let frozen_until = self.servers.servers[server].frozen_until;
        if frozen_until > self.now {
            let job = number;
            let event = PlayEvent::ServerDone { server, job };
            return self.schedule(frozen_until - self.now, event);
        }
        let played = &mut self.servers.servers[server];
        let position = played.running.iter().position(|job| job.number == number);
        let job = played.running.remove(position.unwrap());
        played.answers += 1;
        let answer = BackendReplyKind::Answer {
            request: job.request.id,
            attempt: job.request.attempt,
            part: PartNumber::WHOLE,
            payload: b"done",
        };
        self.reply_to_job(&job, answer);
        while let Some(next) = self.servers.servers[server].queue.pop_front() {
            if !is_late(&next, self.now) {
                return self.run(server, next);
            }
            self.shed(server, &next);
        }
    }

    /// Lets any server handle nothing for up to `longest` microseconds.
    pub fn freeze_any_server(&mut self, longest: u64) {
        let server = self.rng.random_range(0..self.plan.servers.len());
        let micros = self.rng.random_range(20 * MILLIS..=longest);
        let line = format!("# {} server {server} freezes for {micros}", self.now);
        self.note(line);
        self.servers.freeze(server, self.now + micros);
    }
}

fn is_late(job: &ServerJob, now: u64) -> bool {
    now > job.request.start_before.get() || now > job.request.deadline.get()
}
