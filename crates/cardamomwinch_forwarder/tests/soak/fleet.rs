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

use crate::book::{DisturbanceGuard, DisturbedPart, Promise, SoakBook};
use crate::network::SoakNetwork;
use crate::support::{HostOrder, HostProcess};

/// How long a host may take to end after SIGTERM: what its settings give it to
/// drain, three seconds, and as much again for a busy machine.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(6);
/// How long a host that was started may take to be ready.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);

/// One host and its way to the store.
pub(crate) struct SoakHost {
    pub(crate) order: HostOrder,
    process: Option<HostProcess>,
    paused: bool,
    /// When it was told to stop.
    stopping: Option<time::Instant>,
    /// Held until it is ready.
    start_guard: Option<DisturbanceGuard>,
    started: time::Instant,
}

/// All hosts of a run.
pub(crate) struct HostFleet {
    pub(crate) hosts: Vec<SoakHost>,
    book: SoakBook,
    network: sync::Arc<SoakNetwork>,
    proxies: ProxyStandin,
    executor: sync::Arc<Executor<'static>>,
    log: path::PathBuf,
}

impl HostFleet {
    pub(crate) fn new(
        book: SoakBook,
        network: sync::Arc<SoakNetwork>,
        proxies: ProxyStandin,
        executor: sync::Arc<Executor<'static>>,
        log: path::PathBuf,
    ) -> Self {
        Self {
            hosts: Vec::new(),
            book,
            network,
            proxies,
            executor,
            log,
        }
    }

    /// Starts a host that reaches the store at `order.store` through a proxy of
    /// its own.
    pub(crate) fn add(&mut self, mut order: HostOrder, domain: usize) {
        let listen = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let pair = ProxyPair {
            listen,
            to: order.store,
        };
        let added = async_io::block_on(self.executor.run(self.proxies.add(pair)));
        order.store = added.expect("any port is free").listen;
        self.network
            .add_host(order.traffic, order.readiness, domain);
        let mut host = SoakHost {
            order,
            process: None,
            paused: false,
            stopping: None,
            start_guard: None,
            started: time::Instant::now(),
        };
        host.start(&self.book);
        self.hosts.push(host);
    }

    fn host(&mut self, pick: usize) -> &mut SoakHost {
        let count = self.hosts.len();
        &mut self.hosts[pick % count]
    }

    /// The position of a host, by `pick`. It stays the same when hosts are added.
    pub(crate) fn position(&self, pick: usize) -> usize {
        pick % self.hosts.len()
    }

    /// The address of a host's traffic, by `pick`.
    pub(crate) fn traffic(&mut self, pick: usize) -> net::SocketAddr {
        self.host(pick).order.traffic
    }

    pub(crate) fn kill(&mut self, pick: usize) {
        let book = self.book.clone();
        let host = self.host(pick);
        if let Some(mut process) = host.process.take() {
            let guard = book.disturb(DisturbedPart::Host(host.order.traffic));
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

    /// Ends a process behind the back of the book.
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

    /// Tells a host to stop. It starts again once it has ended.
    pub(crate) fn terminate(&mut self, pick: usize) {
        let book = self.book.clone();
        let host = self.host(pick);
        if host.paused || host.stopping.is_some() {
            return;
        }
        if let Some(process) = &mut host.process {
            process.terminate();
            host.stopping = Some(time::Instant::now());
            let part = DisturbedPart::StoppingHost(host.order.traffic);
            host.start_guard = Some(book.disturb(part));
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
        let listen = Some(self.host(pick).order.store);
        self.proxies.set_rules(RulesOrder { listen, rules });
    }

    /// Ends every pause and cut.
    pub(crate) fn heal(&mut self) {
        for pick in 0..self.hosts.len() {
            self.resume(pick);
            self.cut_store(pick, CutMode::None, CutMode::None);
            let traffic = self.traffic(pick);
            self.network.cut(traffic, false);
        }
    }

    /// Takes note of processes that ended and of what hosts logged, and starts again
    /// what is not running.
    pub(crate) fn look_after(&mut self) {
        let (book, log) = (self.book.clone(), self.log.clone());
        for host in &mut self.hosts {
            host.keep_log(&book, &log);
            host.look_at_end(&book);
            if host.process.is_none() {
                host.start(&book);
            }
            host.look_at_start(&book);
        }
    }
}

impl SoakHost {
    fn start(&mut self, book: &SoakBook) {
        if self.start_guard.is_none() {
            let part = DisturbedPart::Host(self.order.traffic);
            self.start_guard = Some(book.disturb(part));
        }
        self.process = Some(HostProcess::start_as(&self.order));
        self.started = time::Instant::now();
    }

    /// A host counts as starting until it says that it is ready.
    fn look_at_start(&mut self, book: &SoakBook) {
        if self.start_guard.is_none() || self.paused || self.stopping.is_some() {
            return;
        }
        let limit = time::Duration::from_millis(200);
        if HostProcess::is_ready_within(self.order.readiness, limit) {
            self.start_guard = None;
        } else if self.started.elapsed() > START_LIMIT {
            let what = format!("{} is not ready after {START_LIMIT:?}", self.order.name);
            book.break_promise(Promise::Recovery, what);
            self.started = time::Instant::now();
        }
    }

    fn look_at_end(&mut self, book: &SoakBook) {
        let Some(process) = &mut self.process else {
            return;
        };
        let name = &self.order.name;
        let ended = process
            .child
            .ended()
            .expect("the process is this one's child");
        match (ended, self.stopping) {
            (Some(status), stopping) => {
                if stopping.is_none() || status.code() != Some(0) {
                    let what = format!("{name} ended with {status}, stopping: {stopping:?}");
                    book.break_promise(Promise::CleanStop, what);
                }
                self.stopping = None;
                self.process = None;
                let part = DisturbedPart::Host(self.order.traffic);
                self.start_guard = Some(book.disturb(part));
            }
            (None, Some(since)) if since.elapsed() > STOP_LIMIT && book.is_timed() => {
                let what = format!("{name} has not ended {STOP_LIMIT:?} after it was told to");
                book.break_promise(Promise::CleanStop, what);
                self.stopping = Some(time::Instant::now());
            }
            (None, _) => {}
        }
    }

    fn keep_log(&self, book: &SoakBook, log: &path::Path) {
        let Some(process) = &self.process else {
            return;
        };
        let file = log.join(format!("{}.jsonl", self.order.name));
        let opened = fs::File::options().create(true).append(true).open(file);
        let mut kept = opened.expect("the directory of logs is there");
        while let Some(line) = process.child.next_line(time::Duration::ZERO) {
            if serde_json::from_str::<serde_json::Value>(&line).is_err() {
                let what = format!("{} wrote {line:?}", self.order.name);
                book.break_promise(Promise::ReadableLog, what);
            }
            writeln!(kept, "{line}").expect("the disk has room");
        }
    }
}
