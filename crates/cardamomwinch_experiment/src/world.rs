//! Drives the hosts of one deployment through one scenario: takes events off
//! the queue, gives them to whom they are for, and carries out what comes back.

use std::fmt;
use std::time;

use cardamomwinch_coordination::control::event::{LoadFailure, PlatformAnswer, PlatformFailure};
use cardamomwinch_coordination::prelude::{
    ControlEvent, PlatformKey, PlatformOutcome, PlatformRequest,
};
use cardamomwinch_protocol::prelude::{
    BackendDatagram, BackendKind, BackendReply, BackendReplyKind, CallerDatagram, CallerReply,
    CallerReplyKind, FabricDatagram, PeerEnvelope, RelayEnvelope, RelayFrame,
};
use cardamomwinch_state::prelude::{BackendId, FlowKey, HostId, SortedVector, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backends::{self, BackendServer, ServerOutput};
use crate::callers::{self, CallerFleet, CallerOutput, CallerTimer, FlowRole};
use crate::changes::{ChangeScenario, ChangeStep};
use crate::deployment::{self, DeploymentPlan};
use crate::documents::PublishedState;
use crate::event_queue::EventQueue;
use crate::hosts::{HostInput, HostProcess};
use crate::measures::RunMeasures;
use crate::network::NetworkModel;
use crate::platform::{PlatformStore, WaitingCall};
use crate::policy::HostPolicy;
use crate::wire::HostOutput;

const EPOCH: Timestamp = Timestamp::new(1_700_000_000_000_000);
const TICK: time::Duration = time::Duration::from_millis(100);
const CALLERS_FROM: time::Duration = time::Duration::from_secs(4);
const SESSIONS_WITHIN: time::Duration = time::Duration::from_secs(6);
const MEASURE_FROM: time::Duration = time::Duration::from_secs(14);
const CHANGE_AT: time::Duration = time::Duration::from_secs(20);
const SETTLE: time::Duration = time::Duration::from_secs(44);
const LAST_REQUESTS: time::Duration = time::Duration::from_secs(12);
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
    /// Shows all that happens to the request of this number on standard error.
    pub traced: Option<u64>,
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
        let servers = (0..plan.server_count()).map(|_| BackendServer::new(fork(), cold_until));
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
            measures: RunMeasures::new(&plan, EPOCH.after(MEASURE_FROM), load_until, end),
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
        let Some(traced) = self.options.traced else {
            return;
        };
        let shown = format!("{subject:?}");
        if shown.contains(&format!("RequestId({traced})")) {
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

/// Changes.
impl<P: HostPolicy> WorldRun<P> {
    fn change(&mut self, step: ChangeStep) {
        match step {
            ChangeStep::SwitchPreset => {
                self.published.preset = crate::documents::PEAK_PRESET;
                self.publish_root();
            }
            ChangeStep::Drain(server) => {
                self.published.draining.push(server);
                self.servers[server].draining = true;
                self.publish_server(server);
            }
            ChangeStep::Remove(server) => {
                self.published.removed.push(server);
                self.servers[server].draining = true;
                self.publish_server(server);
            }
            ChangeStep::Start(host) => {
                self.start_host(host, READY_AFTER);
                self.list(host, false);
            }
            ChangeStep::Stop(host) => self.stop(host),
            ChangeStep::End(host) => {
                self.hosts[host].kill();
                self.published.hosts.remove(&host);
                self.after(LIST_LAG, WorldEvent::PublishHosts);
            }
            ChangeStep::Kill(host) => {
                let life = self.hosts[host].life;
                self.hosts[host].kill();
                self.after(FABRIC_LAG, WorldEvent::Spray(host, false));
                self.after(DEATH_LAG, WorldEvent::Unlist(host, life));
            }
            ChangeStep::Cut(domain) => self.network.cut = Some(domain),
            ChangeStep::Heal => self.network.cut = None,
            ChangeStep::Stale(stale) => {
                let ready = self.platform.set_stale(stale);
                self.finish_watches(ready);
            }
            ChangeStep::Pause(host) => {
                self.hosts[host].pause();
                self.after(FABRIC_LAG * 2, WorldEvent::Spray(host, false));
            }
            ChangeStep::Wake(host) => {
                let mut outputs = Vec::new();
                self.hosts[host].wake(self.now, &mut outputs);
                self.carry_out_host(host, outputs);
                self.after(FABRIC_LAG, WorldEvent::Spray(host, true));
            }
        }
    }

    fn stop(&mut self, host: usize) {
        if !self.hosts[host].is_up() {
            return;
        }
        self.list(host, true);
        self.after(FABRIC_LAG, WorldEvent::Spray(host, false));
        self.give_to_host(host, HostInput::Control(ControlEvent::Stop));
    }

    fn list(&mut self, host: usize, leaving: bool) {
        self.published.hosts.insert(host, leaving);
        self.after(LIST_LAG, WorldEvent::PublishHosts);
    }

    fn unlist(&mut self, host: usize, life: u32) {
        if self.hosts[host].life == life {
            self.published.hosts.remove(&host);
            self.publish_hosts();
        }
    }

    fn spray(&mut self, host: usize, handed: bool) {
        self.network.sprayed.retain(|other| *other != host);
        if handed && self.hosts[host].is_up() {
            self.network.sprayed.push(host);
        }
    }

    fn start_host(&mut self, host: usize, ready: time::Duration) {
        if host == self.hosts.len() {
            let id = self.options.plan.host_id(host);
            let domain = self.options.plan.domain_id(self.domain_of(host));
            let ahead = self.rng.random_range(0..CLOCK_SPREAD_MICROS);
            let ahead = time::Duration::from_micros(ahead);
            self.hosts.push(HostProcess::new(id, domain, ahead));
            self.host_index.insert(id, host);
        }
        let mut outputs = Vec::new();
        self.hosts[host].start(self.now, &mut outputs);
        let life = self.hosts[host].life;
        let phase = TICK.mul_f64(self.rng.random());
        self.after(phase, WorldEvent::Tick(host, life));
        self.after(ready, WorldEvent::Spray(host, true));
        self.carry_out_host(host, outputs);
    }
}

/// The platform.
impl<P: HostPolicy> WorldRun<P> {
    fn publish_server(&mut self, server: usize) {
        self.publish_fragment(self.options.plan.service_of_server(server));
        self.publish_root();
    }

    fn publish_fragment(&mut self, service: usize) {
        let plan = &self.options.plan;
        let text = self.published.fragment(plan, service);
        let key = PlatformKey::Team(plan.services[service].name.to_owned());
        self.revisions[service] = self.publish(key, text);
    }

    fn publish_root(&mut self) {
        let text = self.published.root(&self.options.plan, self.revisions);
        self.publish(PlatformKey::Root, text);
    }

    fn publish_hosts(&mut self) {
        let text = self.published.host_list(&self.options.plan);
        self.publish(PlatformKey::Hosts, text);
    }

    fn publish(&mut self, key: PlatformKey, text: String) -> u64 {
        let (revision, ready) = self.platform.publish(key, text);
        self.finish_watches(ready);
        revision
    }

    fn finish_watches(&mut self, ready: Vec<WaitingCall>) {
        for call in ready {
            let spread = self.rng.random_range(0..WATCH_SPREAD_MILLIS);
            let spread = time::Duration::from_millis(spread);
            self.finish_call(call, PLATFORM_DELAY + spread);
        }
    }

    fn finish_call(&mut self, call: WaitingCall, delay: time::Duration) {
        let answer = self.platform.answer(&call.request);
        let answer = answer.unwrap_or(PlatformAnswer::Unchanged);
        self.after(delay, WorldEvent::PlatformDone(call, Ok(answer)));
    }

    fn call_platform(&mut self, host: usize, request: PlatformRequest) {
        let life = self.hosts[host].life;
        let call = WaitingCall {
            host,
            life,
            request,
        };
        match self.network.reaches_platform(self.domain_of(host)) {
            true => self.after(PLATFORM_DELAY, WorldEvent::PlatformCall(call)),
            false => {
                let failed = WorldEvent::PlatformDone(call, Err(PlatformFailure));
                self.after(CALL_TIMEOUT, failed);
            }
        }
    }

    fn answer_platform(&mut self, call: WaitingCall) {
        self.platform.calls += 1;
        if self.platform.answer(&call.request).is_some() {
            return self.finish_call(call, PLATFORM_DELAY);
        }
        self.platform.wait(call.clone());
        self.after(call.request.wait, WorldEvent::PlatformTimeout(call));
    }

    fn give_outcome(&mut self, call: WaitingCall, result: Result<PlatformAnswer, PlatformFailure>) {
        if result.is_ok() && !self.network.reaches_platform(self.domain_of(call.host)) {
            let failed = WorldEvent::PlatformDone(call, Err(PlatformFailure));
            return self.after(CALL_TIMEOUT, failed);
        }
        if self.hosts[call.host].life != call.life {
            return;
        }
        let outcome = PlatformOutcome {
            request: call.request,
            result,
        };
        self.give_to_host(
            call.host,
            HostInput::Control(ControlEvent::Platform(outcome)),
        );
    }
}

/// Hosts.
impl<P: HostPolicy> WorldRun<P> {
    fn tick(&mut self, host: usize, life: u32) {
        if self.hosts[host].life != life || !self.hosts[host].is_up() {
            return;
        }
        self.give_to_host(host, HostInput::Tick);
        self.after(TICK, WorldEvent::Tick(host, life));
    }

    fn give_to_host(&mut self, host: usize, input: HostInput) {
        self.note_fabric(&input);
        let notice = is_notice(&input);
        let mut outputs = Vec::new();
        let taken = self.hosts[host].take(self.now, input, &mut outputs);
        if notice && !taken {
            self.measures.counts.notices_to_gone_hosts += 1;
        }
        self.carry_out_host(host, outputs);
    }

    fn note_fabric(&mut self, input: &HostInput) {
        let HostInput::Fabric(datagram) = input else {
            return;
        };
        self.measures.counts.fabric_datagrams += 1;
        if let FabricDatagram::Caller(datagram) = datagram
            && let Some(request) = datagram.request
        {
            self.fleet.note_arrival(self.now, request.id);
        }
    }

    fn carry_out_host(&mut self, host: usize, outputs: Vec<HostOutput>) {
        for output in outputs {
            self.trace(Some(host), &output);
            match output {
                HostOutput::ToCaller(reply) => self.send_to_caller(reply),
                HostOutput::ToBackend(address, datagram) => {
                    self.send_to_server(host, deployment::server_at(address), datagram);
                }
                HostOutput::Relay(peer, envelope) => self.relay(host, peer, envelope),
                HostOutput::ToPeer(peer, envelope) => self.send_to_peer(host, peer, envelope),
                HostOutput::Platform(request) => self.call_platform(host, request),
                HostOutput::AskLoad(backend, address) => {
                    self.ask_load(host, backend, deployment::server_at(address));
                }
                HostOutput::Drained => self.hosts[host].kill(),
                HostOutput::Count(counter) => self.measures.count(counter),
            }
        }
    }

    fn send_to_caller(&mut self, reply: CallerReply<'static>) {
        if self.network.loses() {
            let notice = matches!(reply.kind, CallerReplyKind::Notice { .. });
            self.measures.counts.notices_lost_by_fabric += u64::from(notice);
            return;
        }
        let delay = self.network.caller_delay();
        self.after(delay, WorldEvent::ToCaller(reply));
    }

    fn send_to_server(&mut self, host: usize, server: usize, datagram: BackendDatagram<'static>) {
        let domain = self.options.plan.domain_of_server(server);
        let from = self.domain_of(host);
        if self.network.connects(from, domain) && !self.network.loses() {
            let delay = self.network.delay(from, domain);
            self.after(delay, WorldEvent::ToServer(server, datagram));
        }
    }

    /// The time to another host; absent where a datagram does not get there.
    fn way_to_host(&mut self, host: usize, peer: HostId) -> Option<(usize, time::Duration)> {
        let target = *self.host_index.get(&peer)?;
        let (from, to) = (self.domain_of(host), self.domain_of(target));
        let connected = self.network.connects(from, to);
        connected.then(|| (target, self.network.delay(from, to)))
    }

    fn relay(&mut self, host: usize, peer: HostId, envelope: RelayEnvelope<'static>) {
        match envelope.frame {
            RelayFrame::Caller { .. } => self.measures.counts.relayed_callers += 1,
            RelayFrame::Backend { .. } => self.measures.counts.relayed_replies += 1,
        }
        if let Some((target, delay)) = self.way_to_host(host, peer)
            && !self.network.loses()
        {
            let input = HostInput::Relay(envelope);
            self.after(delay, WorldEvent::ToHost(target, input));
        }
    }

    fn send_to_peer(&mut self, host: usize, peer: HostId, envelope: PeerEnvelope) {
        let encoded = postcard::to_allocvec(&envelope);
        let length = encoded.map_or(0, |bytes| bytes.len() as u64);
        self.measures
            .count_control(self.now, host, length + CONTROL_OVERHEAD);
        let lost = length <= DATAGRAM_MESSAGE_LIMIT && self.network.loses();
        if let Some((target, delay)) = self.way_to_host(host, peer)
            && !lost
        {
            let input = HostInput::Control(ControlEvent::Peer(envelope));
            self.after(delay, WorldEvent::ToHost(target, input));
        }
    }

    fn ask_load(&mut self, host: usize, backend: BackendId, server: usize) {
        let (from, to) = (
            self.domain_of(host),
            self.options.plan.domain_of_server(server),
        );
        let connected = self.network.connects(from, to);
        let result = match connected {
            true => Ok(self.servers[server].load()),
            false => Err(LoadFailure),
        };
        let delay = match connected {
            true => self.network.delay(from, to) * 2,
            false => CALL_TIMEOUT,
        };
        let input = HostInput::Control(ControlEvent::Load { backend, result });
        self.after(delay, WorldEvent::ToHost(host, input));
    }
}

/// Callers and backend servers.
impl<P: HostPolicy> WorldRun<P> {
    fn carry_out_callers(&mut self, outputs: Vec<CallerOutput>) {
        for output in outputs {
            match output {
                CallerOutput::Send(datagram) => self.send_from_caller(datagram),
                CallerOutput::At(time, timer) => self.queue.push(time, WorldEvent::Caller(timer)),
            }
        }
    }

    fn send_from_caller(&mut self, datagram: CallerDatagram<'static>) {
        for _ in 0..self.network.copies() {
            if let Some(host) = self.network.spray() {
                let delay = self.network.caller_delay();
                let input = HostInput::Fabric(FabricDatagram::Caller(datagram));
                self.after(delay, WorldEvent::ToHost(host, input));
            }
        }
    }

    fn give_to_server(&mut self, server: usize, datagram: &BackendDatagram<'static>) {
        let service = self.options.plan.service_of_server(server);
        if deployment::service_at(&datagram.flow) != service {
            self.measures.counts.wrong_service += 1;
        }
        if datagram.kind == BackendKind::Carry {
            let mut outputs = Vec::new();
            let measures = &mut self.measures;
            let flow = &datagram.flow;
            self.fleet
                .note_delivery(self.now, flow, server, measures, &mut outputs);
            self.carry_out_callers(outputs);
        }
        let mut outputs = Vec::new();
        self.servers[server].take(self.now, datagram, &mut outputs);
        self.carry_out_server(server, outputs);
    }

    fn carry_out_server(&mut self, server: usize, outputs: Vec<ServerOutput>) {
        for output in outputs {
            match output {
                ServerOutput::Reply(reply) => self.send_from_server(server, reply),
                ServerOutput::Began(request, number, end) => {
                    let measures = &mut self.measures;
                    self.fleet.note_run(self.now, request, measures);
                    self.queue.push(end, WorldEvent::RunEnds(server, number));
                }
                ServerOutput::Busy(from, to) => self.measures.busy.add(server, from, to),
                ServerOutput::Holds(flow, backend, via) => {
                    if self.fleet.is_session(deployment::flow_at(&flow)) {
                        let pause = callers::NOTICE_INTERVAL.mul_f64(self.rng.random());
                        self.after(pause, WorldEvent::Notice(server, flow, backend, via));
                    }
                }
            }
        }
    }

    fn send_notice(&mut self, server: usize, flow: FlowKey, backend: BackendId, via: HostId) {
        let index = deployment::flow_at(&flow);
        if self.now >= self.load_until || self.fleet.is_over(index) {
            return;
        }
        let next = WorldEvent::Notice(server, flow, backend, via);
        self.after(callers::NOTICE_INTERVAL, next);
        if !self.fleet.is_open_on(index, server) {
            return;
        }
        let Some(sequence) = self.servers[server].next_notice(index) else {
            return;
        };
        self.measures.counts.notices += 1;
        let kind = BackendReplyKind::Notice {
            sequence,
            payload: &[],
        };
        let reply = BackendReply {
            flow,
            backend,
            via,
            kind,
        };
        self.send_from_server(server, reply);
    }

    fn send_from_server(&mut self, server: usize, reply: BackendReply<'static>) {
        let domain = self.options.plan.domain_of_server(server);
        let domain_count = self.options.plan.domains.len();
        let copies = self.network.copies();
        if copies == 0 && matches!(reply.kind, BackendReplyKind::Notice { .. }) {
            self.measures.counts.notices_lost_by_fabric += 1;
        }
        for _ in 0..copies {
            if let Some(host) = self.network.spray_from(domain, domain_count) {
                let delay = self.network.delay(domain, self.domain_of(host));
                let input = HostInput::Fabric(FabricDatagram::Backend(reply));
                self.after(delay, WorldEvent::ToHost(host, input));
            }
        }
    }
}

const fn is_notice(input: &HostInput) -> bool {
    matches!(
        input,
        HostInput::Fabric(FabricDatagram::Backend(BackendReply {
            kind: BackendReplyKind::Notice { .. },
            ..
        }))
    )
}

/// Requests a second to `service` at the offered load.
fn request_rate(options: &RunOptions, service: usize) -> f64 {
    let servers = options.plan.servers_of(service).len();
    let slots = servers as f64 * f64::from(deployment::SLOTS);
    options.load * slots / backends::mean_service_time().as_secs_f64()
}
