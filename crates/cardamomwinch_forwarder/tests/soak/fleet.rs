//! The hosts under test: real processes that are started, signalled and replaced.

use std::fs;
use std::io::Write;
use std::net;
use std::path;
use std::sync;
use std::time;

use async_executor::Executor;
use cardamomwinch_standin::faults::{CutMode, DatagramFaults};
use cardamomwinch_standin::proxy::{ProxyPair, ProxyRules, ProxyStandin, RulesOrder};

use crate::network::SoakNetwork;
use crate::observations::{DisturbanceGuard, DisturbedPart, Promise, SoakObservations};
use crate::support::{HostProcess, HostSpec};

/// How long a host may take to end after SIGTERM: the three seconds for draining in its
/// settings, and three more for a busy machine.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// How long a host may take to be ready after its start.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// One host and its connection to the store.
pub(crate) struct SoakHost {
    pub(crate) spec: HostSpec,
    process: Option<HostProcess>,
    paused: bool,
    /// When it got the signal to stop.
    stopping: Option<time::Instant>,
    /// Kept until the host is ready.
    start_guard: Option<DisturbanceGuard>,
    started: time::Instant,
}

/// All hosts of a run.
pub(crate) struct HostFleet {
    pub(crate) hosts: Vec<SoakHost>,
    observations: SoakObservations,
    network: sync::Arc<SoakNetwork>,
    proxies: ProxyStandin,
    executor: sync::Arc<Executor<'static>>,
    log: path::PathBuf,
}

impl HostFleet {
    pub(crate) fn new(
        observations: SoakObservations,
        network: sync::Arc<SoakNetwork>,
        proxies: ProxyStandin,
        executor: sync::Arc<Executor<'static>>,
        log: path::PathBuf,
    ) -> Self {
        Self {
            hosts: Vec::new(),
            observations,
            network,
            proxies,
            executor,
            log,
        }
    }

    /// Starts a host that is connected to the store at `spec.store` through its own proxy.
    pub(crate) fn add(&mut self, mut spec: HostSpec, domain: usize) {
        let listen = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let pair = ProxyPair {
            listen,
            to: spec.store,
        };
        let added = async_io::block_on(self.executor.run(self.proxies.add(pair)));
        spec.store = added.expect("any port is free").listen;
        self.network.add_host(spec.traffic, spec.readiness, domain);
        let mut host = SoakHost {
            spec,
            process: None,
            paused: false,
            stopping: None,
            start_guard: None,
            started: time::Instant::now(),
        };
        host.start(&self.observations);
        self.hosts.push(host);
    }

    fn host(&mut self, pick: usize) -> &mut SoakHost {
        let count = self.hosts.len();
        &mut self.hosts[pick % count]
    }

    /// The index of the host that `pick` currently selects. The index selects the same host
    /// after others are added.
    pub(crate) fn position(&self, pick: usize) -> usize {
        pick % self.hosts.len()
    }

    /// The traffic address of the host for `pick`.
    pub(crate) fn traffic(&mut self, pick: usize) -> net::SocketAddr {
        self.host(pick).spec.traffic
    }

    pub(crate) fn kill(&mut self, pick: usize) {
        let observations = self.observations.clone();
        let host = self.host(pick);
        if let Some(mut process) = host.process.take() {
            let guard = observations.disturb(DisturbedPart::Host(host.spec.traffic));
            process
                .child
                .kill()
                .expect("the process is this one's child");
            host.paused = false;
            host.stopping = None;
            host.start_guard = Some(guard);
        }
    }

    pub(crate) fn kill_all(&mut self) {
        for pick in 0..self.hosts.len() {
            self.kill(pick);
        }
    }

    /// Kills a process without recording a disturbance.
    pub(crate) fn end_suddenly(&mut self, pick: usize) {
        if let Some(process) = &mut self.host(pick).process {
            process
                .child
                .kill()
                .expect("the process is this one's child");
        }
    }

    pub(crate) fn pause(&mut self, pick: usize) {
        let host = self.host(pick);
        if let Some(process) = &mut host.process
            && !host.paused
            && host.stopping.is_none()
        {
            process
                .child
                .pause()
                .expect("the process is this one's child");
            host.paused = true;
        }
    }

    pub(crate) fn resume(&mut self, pick: usize) {
        let host = self.host(pick);
        if let Some(process) = &mut host.process
            && host.paused
        {
            process
                .child
                .resume()
                .expect("the process is this one's child");
        }
        host.paused = false;
    }

    /// Sends a host the signal to stop. It is started again after it has ended.
    pub(crate) fn terminate(&mut self, pick: usize) {
        let observations = self.observations.clone();
        let host = self.host(pick);
        if host.paused || host.stopping.is_some() {
            return;
        }
        if let Some(process) = &mut host.process {
            process.terminate();
            host.stopping = Some(time::Instant::now());
            let part = DisturbedPart::StoppingHost(host.spec.traffic);
            host.start_guard = Some(observations.disturb(part));
        }
    }

    pub(crate) fn reload(&mut self, pick: usize) {
        let host = self.host(pick);
        if let Some(process) = &mut host.process {
            process.reload();
        }
    }

    /// Sets how the connections of a host to the store are cut.
    pub(crate) fn cut_store(&mut self, pick: usize, forward: CutMode, backward: CutMode) {
        let faults = |cut| DatagramFaults {
            cut,
            ..DatagramFaults::default()
        };
        let rules = ProxyRules {
            forward: faults(forward),
            backward: faults(backward),
        };
        let listen = Some(self.host(pick).spec.store);
        self.proxies.set_rules(RulesOrder { listen, rules });
    }

    /// Ends all pauses and partitions.
    pub(crate) fn heal(&mut self) {
        for pick in 0..self.hosts.len() {
            self.resume(pick);
            self.cut_store(pick, CutMode::None, CutMode::None);
            let traffic = self.traffic(pick);
            self.network.cut(traffic, false);
        }
    }

    /// Checks for processes that have ended, saves the logs of hosts, and starts hosts again
    /// that are not running.
    pub(crate) fn maintain(&mut self) {
        let (observations, log) = (self.observations.clone(), self.log.clone());
        for host in &mut self.hosts {
            host.save_log(&observations, &log);
            host.check_end(&observations);
            if host.process.is_none() {
                host.start(&observations);
            }
            host.check_start(&observations);
        }
    }
}

impl SoakHost {
    fn start(&mut self, observations: &SoakObservations) {
        if self.start_guard.is_none() {
            let part = DisturbedPart::Host(self.spec.traffic);
            self.start_guard = Some(observations.disturb(part));
        }
        self.process = Some(HostProcess::start_with(&self.spec));
        self.started = time::Instant::now();
    }

    /// Checks whether a starting host is ready. It counts as starting until then.
    fn check_start(&mut self, observations: &SoakObservations) {
        if self.start_guard.is_none() || self.paused || self.stopping.is_some() {
            return;
        }
        let limit = time::Duration::from_millis(200);
        if HostProcess::is_ready_within(self.spec.readiness, limit) {
            self.start_guard = None;
        } else if self.started.elapsed() > START_TIMEOUT {
            let what = format!("{} is not ready after {START_TIMEOUT:?}", self.spec.name);
            observations.record_violation(Promise::Recovery, what);
            self.started = time::Instant::now();
        }
    }

    fn check_end(&mut self, observations: &SoakObservations) {
        let Some(process) = &mut self.process else {
            return;
        };
        let name = &self.spec.name;
        let ended = process
            .child
            .ended()
            .expect("the process is this one's child");
        match (ended, self.stopping) {
            (Some(status), stopping) => {
                if stopping.is_none() || status.code() != Some(0) {
                    let what = format!("{name} ended with {status}, stopping: {stopping:?}");
                    observations.record_violation(Promise::CleanStop, what);
                }
                self.stopping = None;
                self.process = None;
                let part = DisturbedPart::Host(self.spec.traffic);
                self.start_guard = Some(observations.disturb(part));
            }
            (None, Some(since)) if since.elapsed() > STOP_TIMEOUT && observations.is_timed() => {
                let what =
                    format!("{name} is still running {STOP_TIMEOUT:?} after the signal to stop");
                observations.record_violation(Promise::CleanStop, what);
                self.stopping = Some(time::Instant::now());
            }
            (None, _) => {}
        }
    }

    fn save_log(&self, observations: &SoakObservations, log: &path::Path) {
        let Some(process) = &self.process else {
            return;
        };
        let file = log.join(format!("{}.jsonl", self.spec.name));
        let opened = fs::File::options().create(true).append(true).open(file);
        let mut saved = opened.expect("the directory of logs is there");
        while let Some(line) = process.child.next_line(time::Duration::ZERO) {
            if serde_json::from_str::<serde_json::Value>(&line).is_err() {
                let what = format!("{} wrote {line:?}", self.spec.name);
                observations.record_violation(Promise::ReadableLog, what);
            }
            writeln!(saved, "{line}").expect("the disk has room");
        }
    }
}
