//! Drives the hosts of one deployment through one scenario: takes events off
//! the queue, gives them to whom they are for, and carries out what comes back.

mod change_steps;
mod endpoints;
mod host_links;
mod platform_calls;

use std::fmt;
use std::time;

use cardamomwinch_coordination::control::event::{PlatformAnswer, PlatformFailure};
use cardamomwinch_protocol::prelude::{BackendDatagram, CallerReply};
use cardamomwinch_state::prelude::{BackendId, FlowKey, HostId, SortedVector, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backends::{self, BackendServer};
use crate::callers::{self, CallerFleet, CallerTimer, FlowRole};
use crate::changes::{ChangeScenario, ChangeStep};
use crate::deployment::{self, DeploymentPlan};
use crate::documents::PublishedState;
use crate::event_queue::EventQueue;
use crate::hosts::{HostInput, HostProcess};
use crate::measures::RunMeasures;
use crate::network::NetworkModel;
use crate::platform::{PlatformStore, WaitingCall};
use crate::policy::HostPolicy;

const EPOCH: Timestamp = Timestamp::new(1_700_000_000_000_000);
const TICK: time::Duration = time::Duration::from_millis(100);
const CALLERS_FROM: time::Duration = time::Duration::from_secs(4);
const SESSIONS_WITHIN: time::Duration = time::Duration::from_secs(6);
const MEASURE_FROM: time::Duration = time::Duration::from_secs(14);
const CHANGE_AT: time::Duration = time::Duration::from_secs(20);
const SETTLE: time::Duration = time::Duration::from_secs(44);
const LAST_REQUESTS: time::Duration = time::Duration::from_secs(12);
/// A published change has to be in force everywhere within this time.
const IN_FORCE_WITHIN: time::Duration = time::Duration::from_secs(3);
/// A server that starts in the middle of a run is cold for this long.
const COLD_FOR: time::Duration = time::Duration::from_secs(6);
const CLOCK_SPREAD_MICROS: u64 = 40_000;
/// The fabric learns this late that a host is gone.
const FABRIC_LAG: time::Duration = time::Duration::from_secs(1);
/// The fabric hands a new host its first datagram this late.
const READY_AFTER: time::Duration = time::Duration::from_secs(3);
const LIST_LAG: time::Duration = time::Duration::from_secs(1);
/// The list still has a dead host for this long.
const DEATH_LAG: time::Duration = time::Duration::from_secs(5);
const PLATFORM_DELAY: time::Duration = time::Duration::from_millis(2);
/// A change reaches the watches of different hosts within this time.
const WATCH_SPREAD_MILLIS: u64 = 800;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Code and headers of a control datagram besides its message.
const CONTROL_OVERHEAD: u64 = 16 + 28;
const DATAGRAM_MESSAGE_LIMIT: u64 = 1200;
const SESSIONS_PER_SLOT: usize = 72;
/// The share of requests that sessions make; short flows make the rest.
const SESSION_SHARE: f64 = 0.7;
/// One session in this many is busy.
const BUSY_SESSIONS: usize = 5;

/// What a run is about.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The deployment.
    pub plan: DeploymentPlan,
    /// The changes.
    pub scenario: ChangeScenario,
    /// The offered load as a share of all slots.
    pub load: f64,
    /// The share of callers that echo their tokens.
    pub echo_share: f64,
    /// The share of datagrams that get lost.
    pub loss: f64,
    /// The seed of everything random.
    pub seed: u64,
    /// Shows every event and output whose debug form has this text, such as
    /// `RequestId(7)`, on standard error.
    pub traced: Option<String>,
}

#[derive(Debug)]
enum WorldEvent {
    Tick(usize, u32),
    ToHost(usize, HostInput),
    ToServer(usize, BackendDatagram<'static>),
    ToCaller(CallerReply<'static>),
    RunEnds(usize, u64),
    Notice(usize, FlowKey, BackendId, HostId),
    Caller(CallerTimer),
    PlatformCall(WaitingCall),
    PlatformTimeout(WaitingCall),
    PlatformDone(WaitingCall, Result<PlatformAnswer, PlatformFailure>),
    Spray(usize, bool),
    Unlist(usize, u32),
    PublishHosts,
    Change(ChangeStep),
}

/// One deployment with everything around it.
#[derive(Debug)]
pub struct WorldRun<P> {
    options: RunOptions,
    rng: SmallRng,
    queue: EventQueue<WorldEvent>,
    now: Timestamp,
    load_until: Timestamp,
    network: NetworkModel,
    hosts: Vec<HostProcess<P>>,
    host_index: SortedVector<HostId, usize>,
    servers: Vec<BackendServer>,
    fleet: CallerFleet,
    platform: PlatformStore,
    published: PublishedState,
    revisions: [u64; 2],
    measures: RunMeasures,
    moved_at: Timestamp,
}

impl<P: HostPolicy> WorldRun<P> {
    /// Runs the scenario of `options` to its end.
    pub fn measure(options: RunOptions, progress: &mut dyn FnMut(time::Duration)) -> RunMeasures {
        let mut run = Self::new(options);
        run.set_up();
        let mut shown = EPOCH;
        while let Some((time, event)) = run.queue.pop() {
            if time >= run.measures.end {
                break;
            }
            if time.since(shown) >= time::Duration::from_secs(10) {
                shown = time;
                progress(time.since(EPOCH));
            }
            run.now = time;
            run.handle(event);
        }
        run.fleet.count_silent(&mut run.measures);
        run.measures.counts.platform_calls = run.platform.calls;
        run.measures
    }

    fn new(options: RunOptions) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let plan = options.plan.clone();
        let steps = options.scenario.steps(&plan);
        let last = steps.iter().map(|(after, _)| *after).max();
        let load_until = EPOCH.after(CHANGE_AT + last.unwrap_or_default() + SETTLE);
        let end = load_until.after(LAST_REQUESTS);
        let mut fork = || SmallRng::from_rng(&mut rng);
        let arrivals = [0, 1].map(|service| {
            let rate = request_rate(&options, service) * (1.0 - SESSION_SHARE);
            time::Duration::from_secs_f64(f64::from(callers::SHORT_FLOW_REQUESTS) / rate)
        });
        let fleet = CallerFleet::new(fork(), options.echo_share, arrivals, load_until);
        let network = NetworkModel::new(fork(), plan.caller_delay, options.loss);
        let cold_until = EPOCH.after(CALLERS_FROM + SESSIONS_WITHIN);
        let servers = (0..plan.server_count())
            .map(|server| BackendServer::new(plan.service_of_server(server), fork(), cold_until));
        let servers = servers.collect();
        Self {
            queue: EventQueue::default(),
            now: EPOCH,
            load_until,
            network,
            hosts: Vec::new(),
            host_index: SortedVector::new(),
            servers,
            fleet,
            platform: PlatformStore::default(),
            published: PublishedState::initial(&plan),
            revisions: [0; 2],
            moved_at: EPOCH,
            measures: RunMeasures::new(
                &plan,
                options.seed,
                EPOCH.after(MEASURE_FROM),
                load_until,
                end,
            ),
            rng,
            options,
        }
    }

    fn set_up(&mut self) {
        for service in 0..2 {
            self.publish_fragment(service);
        }
        self.publish_root();
        self.publish_hosts();
        for host in 0..self.options.plan.host_count {
            self.start_host(host, time::Duration::ZERO);
        }
        for service in 0..2 {
            self.add_sessions(service);
            let first = EPOCH.after(CALLERS_FROM);
            self.queue
                .push(first, WorldEvent::Caller(CallerTimer::Arrival(service)));
        }
        let plan = self.options.plan.clone();
        for (after, step) in self.options.scenario.steps(&plan) {
            let time = EPOCH.after(CHANGE_AT + after);
            self.queue.push(time, WorldEvent::Change(step));
        }
    }

    fn add_sessions(&mut self, service: usize) {
        let servers = self.options.plan.servers_of(service).len();
        let count = servers * deployment::SLOTS as usize * SESSIONS_PER_SLOT;
        let rate = request_rate(&self.options, service) * SESSION_SHARE / count as f64;
        for index in 0..count {
            let activity = match index % BUSY_SESSIONS {
                0 => 3.0,
                _ => 0.5,
            };
            let interval = time::Duration::from_secs_f64(1.0 / (rate * activity));
            let flow = self.fleet.add_flow(service, FlowRole::Session(interval));
            let offset = SESSIONS_WITHIN.mul_f64(self.rng.random());
            let time = EPOCH.after(CALLERS_FROM + offset);
            self.queue
                .push(time, WorldEvent::Caller(CallerTimer::Open(flow)));
        }
    }

    fn after(&mut self, delay: time::Duration, event: WorldEvent) {
        self.queue.push(self.now.after(delay), event);
    }

    fn domain_of(&self, host: usize) -> usize {
        self.options.plan.domain_of_host(host)
    }

    fn trace(&self, host: Option<usize>, subject: &dyn fmt::Debug) {
        let Some(traced) = &self.options.traced else {
            return;
        };
        let shown = format!("{subject:?}");
        if shown.contains(traced) {
            let micros = self.now.since(EPOCH).as_micros();
            eprintln!("{micros} us, host {host:?}: {shown}");
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        self.trace(None, &event);
        match event {
            WorldEvent::Tick(host, life) => self.tick(host, life),
            WorldEvent::ToHost(host, input) => self.give_to_host(host, input),
            WorldEvent::ToServer(server, datagram) => self.give_to_server(server, &datagram),
            WorldEvent::ToCaller(reply) => {
                let mut outputs = Vec::new();
                let measures = &mut self.measures;
                self.fleet.receive(self.now, &reply, measures, &mut outputs);
                self.carry_out_callers(outputs);
            }
            WorldEvent::RunEnds(server, number) => {
                let mut outputs = Vec::new();
                self.servers[server].end(self.now, number, &mut outputs);
                self.carry_out_server(server, outputs);
            }
            WorldEvent::Notice(server, flow, backend, via) => {
                self.send_notice(server, flow, backend, via);
            }
            WorldEvent::Caller(timer) => {
                let mut outputs = Vec::new();
                let measures = &mut self.measures;
                self.fleet.act(self.now, timer, measures, &mut outputs);
                self.carry_out_callers(outputs);
            }
            WorldEvent::PlatformCall(call) => self.answer_platform(call),
            WorldEvent::PlatformTimeout(call) => {
                if self.platform.give_up(&call) {
                    self.finish_call(call, PLATFORM_DELAY);
                }
            }
            WorldEvent::PlatformDone(call, result) => self.give_outcome(call, result),
            WorldEvent::Spray(host, handed) => self.spray(host, handed),
            WorldEvent::Unlist(host, life) => self.unlist(host, life),
            WorldEvent::PublishHosts => self.publish_hosts(),
            WorldEvent::Change(step) => self.change(step),
        }
    }
}

/// Requests a second to `service` at the offered load.
fn request_rate(options: &RunOptions, service: usize) -> f64 {
    let servers = options.plan.servers_of(service).len();
    let slots = servers as f64 * f64::from(deployment::SLOTS);
    options.load * slots / backends::mean_service_time().as_secs_f64()
}
