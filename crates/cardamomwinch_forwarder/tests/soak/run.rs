//! One run: its hosts and everything around them, and how its disruptions are carried out.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::sync;
use std::thread;
use std::time;

use async_executor::Executor;
use cardamomwinch_standin::faults::{CutMode, DatagramFaults};
use cardamomwinch_standin::proxy::ProxyStandin;

use crate::addresses::AddressBlock;
use crate::caller::{CallerBehavior, SoakCaller, URGENT_PORT};
use crate::fleet::HostFleet;
use crate::network::SoakNetwork;
use crate::observations::{
    DisturbanceGuard, DisturbedPart, Promise, RequestCounts, SoakObservations, Violation,
};
use crate::plan::{DisruptionKind, PlannedDisruption, SoakPlan};
use crate::planted::{MistakenHost, PlantedMistake};
use crate::server::{IDEMPOTENT_PREFIX, SLOTS, ServerIdentity, SoakServer};
use crate::support::store::{LostWrites, StoreBackup, StoreFault};
use crate::support::{HostSpec, StandInStore};
use crate::surge::{self, SURGE_CALLERS};

const DOMAINS: [&str; 3] = ["north", "south", "west"];
/// The default number of hosts of a failure domain.
const HOSTS_PER_DOMAIN: usize = 2;
/// The maximum number; there are no addresses for more in a block.
const MAX_HOSTS_PER_DOMAIN: usize = 15;
/// The maximum number of hosts that are added to those of the start.
const MAX_ADDED_HOSTS: usize = 3;
const CALLERS_PER_DOMAIN: usize = 4;
/// The pauses between the requests of a flow, in milliseconds.
const IDLE_TIME_MS: std::ops::Range<u64> = 20..300;
const SERVERS_PER_SERVICE: usize = 6;
const SERVICES: [&str; 2] = ["desk", "vault"];
/// The public address, and the ports of the permanent routes.
const PUBLIC: net::Ipv4Addr = net::Ipv4Addr::new(198, 18, 0, 1);
const SAFE_PORT: u16 = 443;
const VAULT_PORT: u16 = 445;
/// The ports of routes that are added and dropped, one for the callers of each failure domain.
const EXTRA_PORTS: [u16; DOMAINS.len()] = [501, 502, 503];
/// The idle timeout of the configuration, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// The time from when a server stops responding until its entry expires: three heartbeats of
/// the platform.
const ENTRY_EXPIRY: time::Duration = time::Duration::from_millis(3_600);
/// The time from the start of an outage of the store until the entries of live servers expire:
/// two heartbeats, if the last one was just before the outage.
const OUTAGE_ENTRY_EXPIRY: time::Duration = time::Duration::from_millis(2_400);
/// How long a draining server keeps serving.
const DRAIN_DURATION: time::Duration = time::Duration::from_millis(4_000);
/// The time after which an address is reused.
const REUSE_DELAY: time::Duration = time::Duration::from_secs(2);
/// The time from the end of an outage until expired entries and lost writes are written again.
const REWRITE_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// The interval of backups of the store.
const BACKUP_PERIOD: time::Duration = time::Duration::from_secs(1);
/// The number of backups that are kept: a restore loses some seconds.
const MAX_BACKUPS: usize = 5;
/// The interval at which the run checks its processes and performs due actions.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// If a step takes longer than its interval by this time, this process did not run meanwhile.
const STALL: time::Duration = time::Duration::from_millis(150);
/// The time limit of the recovery after the last disruption if time bounds are checked.
const TIMED_RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);
/// The same if they aren't.
const UNTIMED_RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(90);
/// The number of successive answers, without a failed request, that show the recovery.
const RECOVERY_ANSWERS: u64 = 60;

/// An action that is performed later. Due actions are performed in the order in which they
/// were added.
enum DueAction {
    /// The guard is dropped afterwards.
    EndDisruption(PlannedDisruption, Option<DisturbanceGuard>),
    RemoveEntry(u64),
    /// A server of another service reuses the address of a server that has ended.
    Reuse(net::SocketAddrV4, usize),
    EndServer(u64),
    StartServer(&'static str),
    /// Entries of live servers expire during an outage of the store.
    ExpireEntries,
    RestoreEntries,
    /// The writes that a restored store lost are repeated; the guard is dropped afterwards.
    WriteAgain(LostWrites, Option<DisturbanceGuard>),
}

/// One run of the soak.
pub(crate) struct SoakRun {
    plan: SoakPlan,
    observations: SoakObservations,
    store: StandInStore,
    /// The latest one is the last.
    backups: collections::VecDeque<StoreBackup>,
    backed_up_at: time::Instant,
    network: sync::Arc<SoakNetwork>,
    fleet: HostFleet,
    block: AddressBlock,
    hosts_per_domain: usize,
    servers: Vec<SoakServer>,
    /// Servers whose entries are no longer written, because they have crashed or drain.
    removed: Vec<u64>,
    next_server: u64,
    next_address: u8,
    next_host: u8,
    version: u64,
    extra: Vec<u16>,
    due: Vec<(time::Instant, DueAction)>,
    callers: Vec<thread::JoinHandle<()>>,
}

/// The number of hosts of a failure domain: `SOAK_HOSTS`, or two.
fn hosts_per_domain() -> usize {
    let count = std::env::var("SOAK_HOSTS").ok();
    let count = count.and_then(|text| text.parse().ok());
    count
        .unwrap_or(HOSTS_PER_DOMAIN)
        .clamp(1, MAX_HOSTS_PER_DOMAIN)
}

/// The results of a run.
pub(crate) struct SoakReport {
    pub(crate) violations: Vec<Violation>,
    pub(crate) counts: RequestCounts,
    pub(crate) recovered: Option<time::Duration>,
    pub(crate) calls: u64,
}

impl SoakRun {
    /// Starts everything; returns when all processes are running.
    pub(crate) fn start(
        plan: SoakPlan,
        timed: bool,
        mistake: Option<PlantedMistake>,
        log: &path::Path,
    ) -> Self {
        fs::create_dir_all(log).expect("logs can be written");
        let observations = SoakObservations::new(timed);
        let block = AddressBlock::choose();
        let mistaken_address = block.address(AddressBlock::MISTAKEN, 0);
        let mistaken = mistake.map(|mistake| MistakenHost::new(mistake, mistaken_address));
        let network = SoakNetwork::start(plan.seed, mistaken);
        let executor = sync::Arc::new(Executor::new());
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let started = ProxyStandin::start(&executor, any, plan.seed);
        let proxies = async_io::block_on(executor.run(started)).expect("any port is free");
        let (running, ended) = (executor.clone(), network.clone());
        thread::spawn(move || {
            async_io::block_on(running.run(async {
                while !ended.is_ended() {
                    async_io::Timer::after(STEP_INTERVAL).await;
                }
            }));
        });
        let fleet = HostFleet::new(
            observations.clone(),
            network.clone(),
            proxies,
            executor,
            log.to_owned(),
        );
        let mut run = Self {
            plan,
            observations,
            store: StandInStore::start(),
            backups: collections::VecDeque::new(),
            backed_up_at: time::Instant::now(),
            network,
            fleet,
            block,
            hosts_per_domain: hosts_per_domain(),
            servers: Vec::new(),
            removed: Vec::new(),
            next_server: 1,
            next_address: AddressBlock::SERVERS,
            next_host: AddressBlock::HOSTS,
            version: 0,
            extra: Vec::new(),
            due: Vec::new(),
            callers: Vec::new(),
        };
        for service in SERVICES {
            for _ in 0..SERVERS_PER_SERVICE {
                run.add_server(service);
            }
        }
        for (port, service) in [
            (SAFE_PORT, "desk"),
            (URGENT_PORT, "desk"),
            (VAULT_PORT, "vault"),
        ] {
            run.observations.note_route(port, Some(service));
        }
        run.publish();
        for _ in 0..DOMAINS.len() * run.hosts_per_domain {
            run.add_host();
        }
        run.start_callers();
        run
    }

    /// Executes the plan, ends all disruptions, and waits for the recovery. The plan is cut
    /// short if the promise `until` is broken.
    pub(crate) fn execute(mut self, until: Option<Promise>) -> SoakReport {
        let start = time::Instant::now();
        let disruptions = self.plan.disruptions.clone();
        let mut disruptions = disruptions.into_iter().peekable();
        while start.elapsed() < self.plan.length && !until.is_some_and(|one| self.is_broken(one)) {
            while let Some(next) = disruptions.next_if(|next| next.at <= start.elapsed()) {
                println!("  {:?}: {next}", self.observations.now());
                self.begin(next);
            }
            self.step();
        }
        self.end_disruptions();
        let recovered = self.wait_for_recovery();
        for written in self.store.writes() {
            self.observations
                .record_violation(Promise::StoreOnlyRead, written);
        }
        self.network.end();
        for caller in self.callers.drain(..) {
            if caller.join().is_err() {
                let what = "a caller's thread panicked".to_owned();
                self.observations.record_violation(Promise::Recovery, what);
            }
        }
        SoakReport {
            violations: self.observations.violations(),
            counts: self.observations.counts(),
            recovered,
            calls: self.store.calls(),
        }
    }

    fn is_broken(&self, promise: Promise) -> bool {
        let violations = self.observations.violations();
        violations.iter().any(|one| one.promise == promise)
    }

    /// Makes the planted mistake if it is one that doesn't concern packets.
    pub(crate) fn plant_mistake(&mut self) {
        match self.network.mistaken().map(|host| host.mistake) {
            Some(PlantedMistake::SuddenEnd) => self.fleet.end_suddenly(0),
            Some(PlantedMistake::StoreWrite) => self.store.note_write("POST /x"),
            _ => {}
        }
    }

    fn step(&mut self) {
        let from = self.observations.now();
        thread::sleep(STEP_INTERVAL);
        if self.observations.now() - from > STEP_INTERVAL + STALL {
            self.observations.note_stall(from);
        }
        self.fleet.maintain();
        let now = time::Instant::now();
        if now - self.backed_up_at >= BACKUP_PERIOD {
            self.backed_up_at = now;
            if self.backups.len() == MAX_BACKUPS {
                self.backups.pop_front();
            }
            self.backups.push_back(self.store.backup());
        }
        let (due, later) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<_> = due;
        for (_, action) in due {
            self.perform(action);
        }
    }

    fn after(&mut self, delay: time::Duration, action: DueAction) {
        self.due.push((time::Instant::now() + delay, action));
    }

    fn add_host(&mut self) {
        let index = usize::from(self.next_host - AddressBlock::HOSTS);
        let domain = index % DOMAINS.len();
        let at = |offset| net::SocketAddr::from(self.block.address(self.next_host, offset));
        let first = net::SocketAddr::from(self.block.address(AddressBlock::HOSTS, 1));
        let second = net::SocketAddr::from(self.block.address(AddressBlock::HOSTS + 1, 1));
        let spec = HostSpec {
            name: format!("host-{}-{index}", self.block.first[2]),
            domain: DOMAINS[domain].to_owned(),
            traffic: at(0),
            readiness: at(3),
            peer: at(1),
            admin: at(2),
            store: self.store.address,
            seeds: vec![first, second],
            load: true,
        };
        self.next_host += 1;
        self.fleet.add(spec, domain);
    }

    fn add_server(&mut self, service: &'static str) {
        let address = self.block.address(self.next_address, 0);
        self.next_address += 1;
        self.add_server_at(service, address);
    }

    fn add_server_at(&mut self, service: &'static str, address: net::SocketAddrV4) {
        let index = self.next_server;
        self.next_server += 1;
        let identity = ServerIdentity {
            // The low half is the token; both halves differ from server to server.
            number: index << 32 | (0x1000 + index),
            service,
            domain: index as usize % DOMAINS.len(),
            address,
            caller_port: self.block.address(0, 0).port(),
        };
        let server = SoakServer::start(identity, self.observations.clone(), self.network.clone());
        self.write_entry(&server.identity, "ready");
        if let Some(mistaken) = self.network.mistaken() {
            mistaken.add_server(server.identity.clone());
        }
        self.servers.push(server);
    }

    fn write_entry(&self, identity: &ServerIdentity, state: &str) {
        let ServerIdentity {
            number,
            service,
            domain,
            address,
            ..
        } = identity;
        let zone = DOMAINS[*domain];
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1",
               "concurrency":{SLOTS},"state":"{state}","cold-left-ms":0,"sequence":1}}"#
        );
        self.store
            .write(&format!("servers/i-{number:x}"), Some(&entry));
    }

    fn remove_entry(&self, number: u64) {
        self.store.write(&format!("servers/i-{number:x}"), None);
    }

    fn publish(&mut self) {
        self.version += 1;
        let extra = self.extra.iter().map(|port| (*port, "desk", "safe"));
        let fixed = [
            (SAFE_PORT, "desk", "safe"),
            (URGENT_PORT, "desk", "unsafe"),
            (VAULT_PORT, "vault", "download"),
        ];
        let routes = fixed.into_iter().chain(extra).map(|(port, service, kind)| {
            let priority = if port == URGENT_PORT { 0 } else { 1 };
            format!(
                r#"{{"name":"r-{port}","host":"{PUBLIC}","prefix":"/{port}/","type":"{kind}",
                   "latency-goal-ms":150,"priority":{priority},"timeout-ms":3000,
                   "service":"{service}"}}"#
            )
        });
        let routes: Vec<_> = routes.collect();
        let (version, routes) = (self.version, routes.join(","));
        let text = format!(
            r#"{{"version":{version},"routes":[{routes}],
               "limits":{{"idle-timeout-ms":{IDLE_TIMEOUT_MS}}}}}"#
        );
        self.store.write("op/config", Some(&text));
    }

    fn start_callers(&mut self) {
        let mut number = AddressBlock::CALLERS;
        for (domain, extra_port) in EXTRA_PORTS.into_iter().enumerate() {
            for index in 0..CALLERS_PER_DOMAIN {
                let (prefix, port, requests) = match index % CALLERS_PER_DOMAIN {
                    0 => (IDEMPOTENT_PREFIX, SAFE_PORT, 40),
                    1 => ("once-", URGENT_PORT, 40),
                    2 => (IDEMPOTENT_PREFIX, VAULT_PORT, 1),
                    _ => (IDEMPOTENT_PREFIX, extra_port, 3),
                };
                let behavior = CallerBehavior {
                    name: prefix.to_owned(),
                    service: net::SocketAddrV4::new(PUBLIC, port),
                    domain,
                    requests,
                    idle_ms: IDLE_TIME_MS,
                    counts: !EXTRA_PORTS.contains(&port),
                };
                let address = self.block.address(number, 0);
                number += 1;
                let (observations, network) = (self.observations.clone(), self.network.clone());
                let caller = SoakCaller::new(behavior, address, observations, network);
                self.callers.push(thread::spawn(move || caller.run()));
            }
        }
        for index in 0..SURGE_CALLERS {
            let (name, port) = match index % 4 {
                0 => ("once-", URGENT_PORT),
                _ => (IDEMPOTENT_PREFIX, SAFE_PORT),
            };
            let service = net::SocketAddrV4::new(PUBLIC, port);
            let address = self.block.address(number + index, 0);
            let (observations, network) = (self.observations.clone(), self.network.clone());
            let caller = surge::start_caller(name, service, address, observations, network);
            self.callers.push(caller);
        }
    }

    /// The serving server for `pick`, if enough others of its service remain.
    fn spare_server(&self, pick: usize) -> Option<ServerIdentity> {
        let mut serving: Vec<_> = self.servers.iter().map(|server| &server.identity).collect();
        serving.retain(|identity| !self.removed.contains(&identity.number));
        let chosen = *serving.get(pick % serving.len().max(1))?;
        let left = serving.iter().filter(|one| one.service == chosen.service);
        (left.count() > SERVERS_PER_SERVICE / 2).then(|| chosen.clone())
    }

    /// Records what `disruption` disturbs; the guard ends the record.
    fn disturb(&mut self, disruption: PlannedDisruption) -> Option<DisturbanceGuard> {
        let part = match disruption.kind {
            DisruptionKind::StoreDown
            | DisruptionKind::StoreSlow
            | DisruptionKind::StoreRestored => DisturbedPart::Store,
            DisruptionKind::FabricPoor => DisturbedPart::Everything,
            DisruptionKind::DomainPressed => DisturbedPart::Load,
            kind if kind.affects_host() => DisturbedPart::Host(self.fleet.traffic(disruption.pick)),
            _ => return None,
        };
        Some(self.observations.disturb(part))
    }

    fn begin(&mut self, mut disruption: PlannedDisruption) {
        if disruption.kind.affects_host() {
            disruption.pick = self.fleet.position(disruption.pick);
        }
        let guard = self.disturb(disruption);
        let PlannedDisruption {
            kind, pick, lasts, ..
        } = disruption;
        match kind {
            DisruptionKind::HostKilled => self.fleet.kill(pick),
            DisruptionKind::AllHostsKilled => self.fleet.kill_all(),
            DisruptionKind::HostPaused => self.fleet.pause(pick),
            DisruptionKind::HostStopped => self.fleet.terminate(pick),
            DisruptionKind::HostReloaded => self.fleet.reload(pick),
            DisruptionKind::HostAdded => {
                let limit = DOMAINS.len() * self.hosts_per_domain + MAX_ADDED_HOSTS;
                if self.fleet.hosts.len() < limit {
                    self.add_host();
                }
            }
            DisruptionKind::StoreDown => {
                let faults = [StoreFault::Reset, StoreFault::Busy, StoreFault::Silent];
                self.store.set_fault(faults[pick % faults.len()]);
                if pick % 2 == 0 && lasts > OUTAGE_ENTRY_EXPIRY {
                    self.after(OUTAGE_ENTRY_EXPIRY, DueAction::ExpireEntries);
                    self.after(lasts + REWRITE_DELAY, DueAction::RestoreEntries);
                }
            }
            DisruptionKind::StoreSlow => {
                let delay = time::Duration::from_millis(50 + pick as u64 % 400);
                self.store.set_fault(StoreFault::Slow(delay));
            }
            DisruptionKind::HistoryDropped => self.store.drop_history(),
            DisruptionKind::StoreRestored => self.store.set_fault(StoreFault::Reset),
            DisruptionKind::StoreRefusesHost => {
                self.fleet.cut_store(pick, CutMode::Close, CutMode::Close);
            }
            DisruptionKind::StoreSilentForHost => {
                self.fleet.cut_store(pick, CutMode::Hold, CutMode::Hold);
            }
            DisruptionKind::StoreOneWayForHost => {
                self.fleet.cut_store(pick, CutMode::None, CutMode::Hold);
            }
            DisruptionKind::FabricPoor => self.network.set_faults(DatagramFaults {
                loss: 0.03,
                double: 0.05,
                reorder: 0.05,
                delay_ms_max: 8,
                ..DatagramFaults::default()
            }),
            DisruptionKind::HostCutFromServers => {
                let host = self.fleet.traffic(pick);
                self.network.cut(host, true);
            }
            DisruptionKind::ServerCrashed => self.crash_server(pick, false),
            DisruptionKind::AddressReused => self.crash_server(pick, true),
            DisruptionKind::ServerDrained => self.drain_server(pick),
            DisruptionKind::ServerAdded => self.add_server(SERVICES[pick % SERVICES.len()]),
            DisruptionKind::RouteAdded => self.add_route(pick),
            DisruptionKind::RouteDropped => self.drop_route(pick),
            DisruptionKind::ConfigurationStorm => {
                for _ in 0..3 + pick % 10 {
                    self.publish();
                }
            }
            DisruptionKind::DomainPressed => {
                self.network.set_surge(Some(pick % DOMAINS.len()));
            }
        }
        self.after(lasts, DueAction::EndDisruption(disruption, guard));
    }

    /// Removes or restores the entries of every second live server.
    fn expire_entries(&self, expire: bool) {
        let live = self.servers.iter().map(|one| &one.identity);
        let live = live.filter(|one| !self.removed.contains(&one.number));
        for identity in live.step_by(2) {
            if expire {
                self.remove_entry(identity.number);
            } else {
                self.write_entry(identity, "ready");
            }
        }
    }

    fn crash_server(&mut self, pick: usize, reuse: bool) {
        let Some(identity) = self.spare_server(pick) else {
            return;
        };
        self.removed.push(identity.number);
        self.observations.note_ended(identity.number);
        let crashed = self
            .servers
            .iter()
            .find(|one| one.identity.number == identity.number);
        if let Some(server) = crashed {
            server.go_silent();
        }
        self.after(ENTRY_EXPIRY, DueAction::RemoveEntry(identity.number));
        self.after(ENTRY_EXPIRY, DueAction::EndServer(identity.number));
        if reuse {
            let other = SERVICES
                .iter()
                .position(|service| *service != identity.service);
            let action = DueAction::Reuse(identity.address, other.unwrap_or_default());
            self.after(ENTRY_EXPIRY + REUSE_DELAY, action);
        }
        self.after(ENTRY_EXPIRY, DueAction::StartServer(identity.service));
    }

    fn drain_server(&mut self, pick: usize) {
        let Some(identity) = self.spare_server(pick) else {
            return;
        };
        self.removed.push(identity.number);
        self.write_entry(&identity, "draining");
        self.observations.note_draining(identity.number);
        if let Some(mistaken) = self.network.mistaken() {
            mistaken.note_draining(identity.number);
        }
        self.after(DRAIN_DURATION, DueAction::RemoveEntry(identity.number));
        self.after(DRAIN_DURATION, DueAction::EndServer(identity.number));
        self.after(
            time::Duration::ZERO,
            DueAction::StartServer(identity.service),
        );
    }

    fn add_route(&mut self, pick: usize) {
        let port = EXTRA_PORTS[pick % EXTRA_PORTS.len()];
        if !self.extra.contains(&port) {
            self.extra.push(port);
            self.observations.note_route(port, Some("desk"));
        }
        self.publish();
    }

    fn drop_route(&mut self, pick: usize) {
        let port = EXTRA_PORTS[pick % EXTRA_PORTS.len()];
        let before = self.extra.len();
        self.extra.retain(|held| *held != port);
        self.publish();
        if self.extra.len() < before {
            self.observations.note_route(port, None);
        }
    }

    fn perform(&mut self, action: DueAction) {
        match action {
            DueAction::EndDisruption(disruption, guard) => {
                if disruption.kind == DisruptionKind::StoreRestored {
                    self.restore_store(disruption.pick, guard);
                } else {
                    self.end(disruption);
                    drop(guard);
                }
            }
            DueAction::WriteAgain(lost, guard) => {
                self.store.write_again(lost);
                drop(guard);
            }
            DueAction::RemoveEntry(number) => self.remove_entry(number),
            DueAction::Reuse(address, service) => self.add_server_at(SERVICES[service], address),
            DueAction::EndServer(number) => {
                self.observations.note_ended(number);
                self.servers.retain(|one| one.identity.number != number);
            }
            DueAction::StartServer(service) => self.add_server(service),
            DueAction::ExpireEntries => self.expire_entries(true),
            DueAction::RestoreEntries => self.expire_entries(false),
        }
    }

    /// Restores the store from a backup. The store counts as disturbed until the lost writes
    /// are repeated.
    fn restore_store(&mut self, pick: usize, guard: Option<DisturbanceGuard>) {
        if let Some(backup) = self.backups.get(pick % self.backups.len().max(1)) {
            let lost = self.store.restore(backup.clone());
            // The other backups contain revisions from before the restore.
            self.backups.clear();
            self.after(REWRITE_DELAY, DueAction::WriteAgain(lost, guard));
        }
        self.store.set_fault(StoreFault::None);
    }

    fn end(&mut self, disruption: PlannedDisruption) {
        let pick = disruption.pick;
        match disruption.kind {
            DisruptionKind::HostPaused => self.fleet.resume(pick),
            DisruptionKind::StoreDown | DisruptionKind::StoreSlow => {
                self.store.set_fault(StoreFault::None);
            }
            DisruptionKind::StoreRefusesHost
            | DisruptionKind::StoreSilentForHost
            | DisruptionKind::StoreOneWayForHost => {
                self.fleet.cut_store(pick, CutMode::None, CutMode::None);
            }
            DisruptionKind::FabricPoor => self.network.set_faults(DatagramFaults::default()),
            DisruptionKind::DomainPressed => self.network.set_surge(None),
            DisruptionKind::HostCutFromServers => {
                let host = self.fleet.traffic(pick);
                self.network.cut(host, false);
            }
            _ => {}
        }
    }

    fn end_disruptions(&mut self) {
        self.store.set_fault(StoreFault::None);
        self.network.set_faults(DatagramFaults::default());
        self.network.set_surge(None);
        self.fleet.heal();
    }

    /// Waits until all requests are served again; returns how long that took.
    fn wait_for_recovery(&mut self) -> Option<time::Duration> {
        let start = time::Instant::now();
        let limit = if self.observations.is_timed() {
            TIMED_RECOVERY_LIMIT
        } else {
            UNTIMED_RECOVERY_LIMIT
        };
        let mut counts = self.observations.counts();
        let mut good_since = start;
        while start.elapsed() < limit + time::Duration::from_secs(3) {
            self.step();
            let now = self.observations.counts();
            if now.unanswered > counts.unanswered {
                counts = now;
                good_since = time::Instant::now();
            }
            if now.answered >= counts.answered + RECOVERY_ANSWERS {
                let took = good_since - start;
                if took <= limit {
                    return Some(took);
                }
            }
        }
        let what = format!("requests still fail {limit:?} after the last disruption");
        self.observations.record_violation(Promise::Recovery, what);
        None
    }
}
