//! A backend server that runs every request it receives, duplicates included,
//! so that a test sees each run.
//!
//! UDP carries the traffic; HTTP on the same port number serves `GET /load`,
//! `GET /runs`, `POST /drain`, `POST /freeze` and `POST /health`.

use std::net;
use std::sync;
use std::time;

use async_executor::Task;
use async_net::UdpSocket;
use cardamomwinch_protocol::backend::{
    BackendDatagram, BackendKind, BackendReply, BackendReplyKind,
};
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::PartNumber;
use cardamomwinch_state::prelude::{ConnectionCount, SlotCount};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::backend_state::{
    Admission, BackendState, HealthMode, ReplyRoute, RequestJob, RunReport,
};
use crate::error::StandinError;
use crate::fabric;
use crate::http::{self, HttpAction, HttpReply, HttpRequest};
use crate::runtime::{self, TaskExecutor};

const MAX_BIND_ATTEMPTS: usize = 50;
/// The exponent of the Pareto distribution of service times. It is barely above 2, below which
/// the variance is infinite; the mean is finite.
const TAIL_EXPONENT: f64 = 2.1;
/// The longest service time, as a multiple of the mean.
const MAX_SERVICE_FACTOR: f64 = 50.0;
/// Service times of a cold server are this many times longer.
const COLD_FACTOR: f64 = 5.0;

/// How a backend server behaves.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Where it listens, UDP and TCP alike.
    pub listen: net::SocketAddr,
    /// The fabric's address for replies.
    pub fabric: net::SocketAddr,
    /// The public address of its service.
    pub service: net::SocketAddr,
    /// Its name, appended to each answer.
    pub name: String,
    /// The number of requests that run at the same time.
    pub slots: SlotCount,
    /// The number of flows that may be open at the same time.
    pub connections: ConnectionCount,
    /// The number of requests that may wait for a slot.
    pub queue_limit: usize,
    /// The mean service time.
    pub service_time: time::Duration,
    /// Whether service times vary widely (Pareto distribution); otherwise each is
    /// the mean.
    pub heavy_tail: bool,
    /// How long after its start it is cold, that is, slower by a factor of five.
    pub cold_start: time::Duration,
    /// The time between two notices on an open flow; zero for no notices.
    pub notice_interval: time::Duration,
    /// The number of parts of each answer.
    pub parts: u32,
    /// What the load endpoint reports.
    pub health: HealthMode,
    /// Makes the service times repeatable.
    pub seed: u64,
}

impl BackendSettings {
    /// A server for `service` that sends its replies to `fabric`, with default
    /// values for everything else.
    pub fn new(service: net::SocketAddr, fabric: net::SocketAddr) -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            fabric,
            service,
            name: "backend".to_owned(),
            slots: SlotCount::new(2),
            connections: ConnectionCount::new(2000),
            queue_limit: 2,
            service_time: time::Duration::from_millis(5),
            heavy_tail: false,
            cold_start: time::Duration::ZERO,
            notice_interval: time::Duration::ZERO,
            parts: 1,
            health: HealthMode::Truth,
            seed: 1,
        }
    }
}

/// Body of `POST /freeze`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FreezeOrder {
    /// How long the server answers nothing, in milliseconds.
    pub ms: u64,
}

#[derive(Debug)]
struct SharedBackend {
    executor: TaskExecutor,
    settings: BackendSettings,
    started: time::Instant,
    socket: UdpSocket,
    state: sync::Mutex<BackendState>,
    random: sync::Mutex<SmallRng>,
    frozen_until: sync::Mutex<Option<time::Instant>>,
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct BackendStandin {
    /// Where it listens, UDP and TCP alike.
    pub address: net::SocketAddr,
    shared: sync::Arc<SharedBackend>,
    _tasks: Vec<Task<()>>,
}

impl BackendStandin {
    /// Binds both sockets and serves them.
    ///
    /// # Errors
    /// Fails if the port is not free for both UDP and TCP.
    pub async fn start(
        executor: &TaskExecutor,
        settings: BackendSettings,
    ) -> Result<Self, StandinError> {
        let (socket, listener, address) = bind_both(settings.listen).await?;
        let state = BackendState::new(
            settings.service,
            settings.slots,
            settings.connections,
            settings.queue_limit,
            settings.health,
        );
        let shared = sync::Arc::new(SharedBackend {
            executor: executor.clone(),
            started: time::Instant::now(),
            socket,
            state: sync::Mutex::new(state),
            random: sync::Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            frozen_until: sync::Mutex::new(None),
            settings,
        });
        let served = shared.clone();
        let serve = http::serve(executor, listener, move |request| {
            let shared = served.clone();
            async move {
                shared.wait_while_frozen().await;
                HttpAction::Reply(shared.answer_http(&request))
            }
        });
        let mut tasks = vec![serve, executor.spawn(shared.clone().receive())];
        if !shared.settings.notice_interval.is_zero() {
            tasks.push(executor.spawn(shared.clone().send_notices()));
        }
        Ok(Self {
            address,
            shared,
            _tasks: tasks,
        })
    }

    /// The report of all runs so far.
    pub fn report(&self) -> RunReport {
        runtime::locked(&self.shared.state).report()
    }
}

/// Binds the same port for UDP and TCP. A port that the system chooses for UDP
/// may be taken for TCP; then another one is tried.
pub(crate) async fn bind_both(
    address: net::SocketAddr,
) -> Result<(UdpSocket, async_net::TcpListener, net::SocketAddr), StandinError> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let (socket, bound) = fabric::bind_datagrams(address).await?;
        match http::bind(bound).await {
            Ok(listener) => return Ok((socket, listener, bound)),
            Err(error) if address.port() != 0 || attempt == MAX_BIND_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}

impl SharedBackend {
    async fn receive(self: sync::Arc<Self>) {
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        loop {
            // An error here belongs to an earlier send; receiving can continue.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.wait_while_frozen().await;
            match codec::decode::<BackendDatagram<'_>>(&buffer[..length]) {
                Ok(datagram) => self.handle(&datagram).await,
                Err(_) => runtime::locked(&self.state).counters.malformed += 1,
            }
        }
    }

    async fn handle(self: &sync::Arc<Self>, datagram: &BackendDatagram<'_>) {
        let route = ReplyRoute::from(datagram);
        if !runtime::locked(&self.state).accepts_service(&route.flow) {
            return;
        }
        match datagram.kind {
            BackendKind::Open => self.open(route, datagram).await,
            BackendKind::Carry => self.carry(route, datagram).await,
            BackendKind::Close => {
                runtime::locked(&self.state).close(&route.flow);
                self.reply(route, BackendReplyKind::Closed).await;
            }
            BackendKind::Cancel => self.cancel(route, datagram).await,
        }
    }

    async fn open(self: &sync::Arc<Self>, route: ReplyRoute, datagram: &BackendDatagram<'_>) {
        let open = runtime::locked(&self.state).open(route);
        if open {
            self.reply(route, BackendReplyKind::Opened).await;
            self.handle_request(route, datagram).await;
        } else {
            let attempt = datagram.request.map(|request| request.attempt);
            let kind = BackendReplyKind::Shed {
                request: datagram.request.map(|request| request.id),
                attempt: attempt.unwrap_or_default(),
            };
            self.reply(route, kind).await;
        }
    }

    async fn carry(self: &sync::Arc<Self>, route: ReplyRoute, datagram: &BackendDatagram<'_>) {
        let open = runtime::locked(&self.state).update_route(route);
        if open {
            self.handle_request(route, datagram).await;
        } else {
            runtime::locked(&self.state).counters.unknown_flow += 1;
            let attempt = datagram.request.map(|request| request.attempt);
            let kind = BackendReplyKind::UnknownFlow {
                request: datagram.request.map(|request| request.id),
                attempt: attempt.unwrap_or_default(),
            };
            self.reply(route, kind).await;
        }
    }

    async fn cancel(&self, route: ReplyRoute, datagram: &BackendDatagram<'_>) {
        let Some(request) = datagram.request else {
            return;
        };
        let cancelled = runtime::locked(&self.state).cancel(&route.flow, request.id);
        if cancelled.is_some() {
            let kind = BackendReplyKind::Shed {
                request: Some(request.id),
                attempt: request.attempt,
            };
            self.reply(route, kind).await;
        }
    }

    async fn handle_request(
        self: &sync::Arc<Self>,
        route: ReplyRoute,
        datagram: &BackendDatagram<'_>,
    ) {
        let Some(request) = datagram.request else {
            return;
        };
        let job = RequestJob {
            route,
            request,
            payload: datagram.payload.to_vec(),
        };
        let admission = runtime::locked(&self.state).admit(job, runtime::now());
        match admission {
            Admission::Queued => {}
            Admission::Shed(job) => self.shed(&job).await,
            Admission::Run(job) => {
                let worker = self.clone().run_jobs(job);
                self.executor.spawn(worker).detach();
            }
        }
    }

    async fn shed(&self, job: &RequestJob) {
        let kind = BackendReplyKind::Shed {
            request: Some(job.request.id),
            attempt: job.request.attempt,
        };
        self.reply(job.route, kind).await;
    }

    /// Runs `job` and then the queued requests until the queue is empty.
    async fn run_jobs(self: sync::Arc<Self>, job: RequestJob) {
        let mut next = Some(Admission::Run(job));
        while let Some(admission) = next {
            match admission {
                Admission::Run(job) => {
                    async_io::Timer::after(self.service_time()).await;
                    self.answer(&job).await;
                }
                Admission::Shed(job) => self.shed(&job).await,
                Admission::Queued => {}
            }
            next = runtime::locked(&self.state).next_job(runtime::now());
        }
    }

    fn service_time(&self) -> time::Duration {
        let mut factor = 1.0;
        if self.settings.heavy_tail {
            let uniform: f64 = runtime::locked(&self.random).random_range(0.0..1.0);
            let pareto = (1.0 - uniform).powf(-1.0 / TAIL_EXPONENT);
            let mean = TAIL_EXPONENT / (TAIL_EXPONENT - 1.0);
            factor = (pareto / mean).min(MAX_SERVICE_FACTOR);
        }
        if self.started.elapsed() < self.settings.cold_start {
            factor *= COLD_FACTOR;
        }
        self.settings.service_time.mul_f64(factor)
    }

    async fn answer(&self, job: &RequestJob) {
        runtime::locked(&self.state).note_answer(job, runtime::now());
        let mut whole = b"echo:".to_vec();
        whole.extend_from_slice(&job.payload);
        whole.extend_from_slice(self.settings.name.as_bytes());
        let total = self.settings.parts.max(1);
        let size = whole.len().div_ceil(total as usize);
        for index in 0..total {
            let start = (index as usize * size).min(whole.len());
            let end = (start + size).min(whole.len());
            let kind = BackendReplyKind::Answer {
                request: job.request.id,
                attempt: job.request.attempt,
                part: PartNumber { index, total },
                payload: &whole[start..end],
            };
            self.reply(job.route, kind).await;
        }
    }

    async fn send_notices(self: sync::Arc<Self>) {
        loop {
            async_io::Timer::after(self.settings.notice_interval).await;
            let flows = runtime::locked(&self.state).next_notices();
            for flow in flows {
                let payload = format!("notice-{}", flow.notices);
                let kind = BackendReplyKind::Notice {
                    sequence: flow.notices,
                    payload: payload.as_bytes(),
                };
                self.reply(flow.route, kind).await;
            }
        }
    }

    async fn reply(&self, route: ReplyRoute, kind: BackendReplyKind<'_>) {
        self.wait_while_frozen().await;
        let reply = BackendReply {
            flow: route.flow,
            backend: route.backend,
            via: route.via,
            kind,
        };
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        match codec::encode(&reply, &mut buffer) {
            // If the fabric no longer runs, the reply is lost, as on a network.
            Ok(bytes) => drop(self.socket.send_to(bytes, self.settings.fabric).await),
            Err(error) => eprintln!("{error}"),
        }
    }

    /// Waits while the server is frozen.
    async fn wait_while_frozen(&self) {
        loop {
            let frozen = *runtime::locked(&self.frozen_until);
            match frozen.filter(|limit| time::Instant::now() < *limit) {
                Some(limit) => drop(async_io::Timer::at(limit).await),
                None => return,
            }
        }
    }

    fn freeze(&self, order: FreezeOrder) {
        let limit = time::Instant::now() + time::Duration::from_millis(order.ms);
        *runtime::locked(&self.frozen_until) = Some(limit);
    }

    fn answer_http(&self, request: &HttpRequest) -> HttpReply {
        let mut state = runtime::locked(&self.state);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/load") => HttpReply::with_json(&state.load(time::Instant::now())),
            ("GET", "/runs") => HttpReply::with_json(&state.report()),
            ("POST", "/drain") => {
                state.drain();
                HttpReply::empty(204)
            }
            ("POST", "/freeze") => {
                HttpReply::for_result(&request.json().map(|order| self.freeze(order)))
            }
            ("POST", "/health") => {
                HttpReply::for_result(&request.json().map(|health| state.set_health(health)))
            }
            _ => HttpReply::empty(404),
        }
    }
}
