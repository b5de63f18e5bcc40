//! Drives the hosts of one deployment through one scenario: removes events from
//! the queue, delivers them, and applies the resulting effects.

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
/// When callers start, from the start of the run.
const CALLERS_START: time::Duration = time::Duration::from_secs(4);
/// All sessions open within this time after [`CALLERS_START`].
const SESSION_OPENING_DURATION: time::Duration = time::Duration::from_secs(6);
const MEASURE_START: time::Duration = time::Duration::from_secs(14);
const CHANGE_START: time::Duration = time::Duration::from_secs(20);
/// From the last change to the end of the load.
const SETTLE_DURATION: time::Duration = time::Duration::from_secs(44);
/// From the end of the load to the end of the run, for the last requests to end.
const LAST_REQUESTS_DURATION: time::Duration = time::Duration::from_secs(12);
/// A published change must be in force on all hosts within this time.
const MAX_ADOPTION_TIME: time::Duration = time::Duration::from_secs(3);
/// A server that starts in the middle of a run is cold for this long.
const COLD_DURATION: time::Duration = time::Duration::from_secs(6);
const CLOCK_SPREAD_MICROS: u64 = 40_000;
/// The delay with which the fabric learns that a host failed, stopped or resumed.
const FABRIC_LAG: time::Duration = time::Duration::from_secs(1);
/// The fabric starts to send to a new host this long after its start.
const READY_DELAY: time::Duration = time::Duration::from_secs(3);
const LIST_LAG: time::Duration = time::Duration::from_secs(1);
/// A killed host is removed from the list after this time.
const DEATH_LAG: time::Duration = time::Duration::from_secs(5);
const PLATFORM_DELAY: time::Duration = time::Duration::from_millis(2);
/// A change reaches the watches of all hosts within this time.
const WATCH_SPREAD_MILLIS: u64 = 800;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Bytes of a control datagram besides its message: 16 for the authentication
/// code, 28 for the headers.
const CONTROL_OVERHEAD: u64 = 16 + 28;
/// Longer messages are not sent as datagrams, so none of them is lost.
const DATAGRAM_MESSAGE_LIMIT: u64 = 1200;
const SESSIONS_PER_SLOT: usize = 72;
/// The share of requests made on sessions; the others are made on short flows.
const SESSION_SHARE: f64 = 0.7;
/// One session in this many is busy.
const BUSY_SESSIONS: usize = 5;

/// The options of a run.
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
    /// Prints every event and output whose debug form contains this text, such as
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

/// One deployment with its callers, network and platform.
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
        let load_until = EPOCH.after(CHANGE_START + last.unwrap_or_default() + SETTLE_DURATION);
        let end = load_until.after(LAST_REQUESTS_DURATION);
        let mut fork = || SmallRng::from_rng(&mut rng);
        let arrivals = [0, 1].map(|service| {
            let rate = request_rate(&options, service) * (1.0 - SESSION_SHARE);
            time::Duration::from_secs_f64(f64::from(callers::SHORT_FLOW_REQUESTS) / rate)
        });
        let fleet = CallerFleet::new(fork(), options.echo_share, arrivals, load_until);
        let network = NetworkModel::new(fork(), plan.caller_delay, options.loss);
        let cold_until = EPOCH.after(CALLERS_START + SESSION_OPENING_DURATION);
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
                EPOCH.after(MEASURE_START),
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
            let first = EPOCH.after(CALLERS_START);
            self.queue
                .push(first, WorldEvent::Caller(CallerTimer::Arrival(service)));
        }
        let plan = self.options.plan.clone();
        for (after, step) in self.options.scenario.steps(&plan) {
            let time = EPOCH.after(CHANGE_START + after);
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
            let offset = SESSION_OPENING_DURATION.mul_f64(self.rng.random());
            let time = EPOCH.after(CALLERS_START + offset);
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
            WorldEvent::Tick(host, start_count) => self.tick(host, start_count),
            WorldEvent::ToHost(host, input) => self.deliver_to_host(host, input),
            WorldEvent::ToServer(server, datagram) => self.deliver_to_server(server, &datagram),
            WorldEvent::ToCaller(reply) => {
                let mut outputs = Vec::new();
                let measures = &mut self.measures;
                self.fleet
                    .handle_reply(self.now, &reply, measures, &mut outputs);
                self.apply_caller_outputs(outputs);
            }
            WorldEvent::RunEnds(server, number) => {
                let mut outputs = Vec::new();
                self.servers[server].end(self.now, number, &mut outputs);
                self.apply_server_outputs(server, outputs);
            }
            WorldEvent::Notice(server, flow, backend, via) => {
                self.send_notice(server, flow, backend, via);
            }
            WorldEvent::Caller(timer) => {
                let mut outputs = Vec::new();
                let measures = &mut self.measures;
                self.fleet
                    .handle_timer(self.now, timer, measures, &mut outputs);
                self.apply_caller_outputs(outputs);
            }
            WorldEvent::PlatformCall(call) => self.answer_platform(call),
            WorldEvent::PlatformTimeout(call) => {
                if self.platform.remove_waiting(&call) {
                    self.finish_call(call, PLATFORM_DELAY);
                }
            }
            WorldEvent::PlatformDone(call, result) => self.deliver_outcome(call, result),
            WorldEvent::Spray(host, included) => self.update_fabric_hosts(host, included),
            WorldEvent::Unlist(host, start_count) => self.unlist(host, start_count),
            WorldEvent::PublishHosts => self.publish_hosts(),
            WorldEvent::Change(step) => self.change(step),
        }
    }
}

/// Requests per second to `service` at the offered load.
fn request_rate(options: &RunOptions, service: usize) -> f64 {
    let servers = options.plan.servers_of(service).len();
    let slots = servers as f64 * f64::from(deployment::SLOTS);
    options.load * slots / backends::mean_service_time().as_secs_f64()
}
