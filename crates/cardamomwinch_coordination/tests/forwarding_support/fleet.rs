//! Hosts and a store in steps of simulated time: hosts fail, are cut off, start again, or
//! are refused by the store.

use std::net;

use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerAnswer;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    StoreCall, StoreChange, StoreEra, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::discovery::waiting_queries::WaitingQueries;
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryEngine, DiscoverySettings};
use cardamomwinch_coordination::forwarding::regions::DomainRegions;

use crate::forwarding_support::*;

/// A step of the simulation, in milliseconds; also the time that a message takes.
pub const STEP: u64 = 10;
/// How long the store lets a watch wait, in milliseconds.
pub const WATCH: u64 = 2_000;
/// How long after the end of its wait a watch times out, in milliseconds.
const WATCH_TIMEOUT: u64 = 1_000;
/// After this time the call for a page of a listing times out, in milliseconds.
const PAGE_TIMEOUT: u64 = 4_000;
/// How long a host without data waits for a connection, in milliseconds.
const START_CONNECT: u64 = 15;
/// The least time between two messages of a host with reports, in milliseconds.
const REPORT_PAUSE: u64 = 100;
/// The time at which all hosts have found their sources, in milliseconds.
pub const SETTLED: u64 = 15_000;

/// The condition of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    Running,
    /// It does not run: connections to it break.
    Dead,
    /// It reaches nothing and cannot be reached, but no connection breaks.
    Cut,
    /// The store refuses it; peers reach it.
    Refused,
    /// It does not reach the store, but no connection breaks; peers reach it.
    StoreSilent,
}

pub struct PendingCall {
    pub call: StoreCall,
    pub since: u64,
    pub until: u64,
}

pub struct PendingQuery {
    pub host: usize,
    pub limit: u64,
}

pub struct SimulatedHost {
    pub engine: DiscoveryEngine,
    pub waiting: WaitingQueries<usize>,
    pub condition: Condition,
    pub call: Option<PendingCall>,
    pub query: Option<PendingQuery>,
    pub query_at: u64,
    /// When it may send reports again.
    pub report_at: u64,
    /// When its process starts, if it has not started yet.
    pub starts_at: Option<u64>,
    /// Until when its link is busy with parts of the list.
    pub sends_until: u64,
}

/// Hosts of one domain and a store.
pub struct Fleet {
    pub hosts: Vec<SimulatedHost>,
    pub now: u64,
    pub revision: u64,
    /// The era of the store.
    pub era: u64,
    /// The changes: revision, number of the server, and whether it drains.
    pub log: Vec<(u64, u64, bool)>,
    pub calls: usize,
    /// Calls that begin a listing.
    pub listings: usize,
    pub queries: Vec<usize>,
    /// How many messages with reports each host received, and how many reports it sent.
    pub report_messages: Vec<usize>,
    pub reports_sent: Vec<usize>,
    /// How many full lists each host sent.
    pub full_lists_sent: Vec<usize>,
    pub domains: usize,
    pub weight: DirectoryWeight,
    /// The store no longer has the changes up to this revision.
    pub history_begins: u64,
    /// Until when watches return nothing, in milliseconds.
    pub watches_silent_until: u64,
    /// Parts of the list that have not arrived yet.
    sent: Vec<SentAnswer>,
}

/// What it takes to send all servers, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryWeight {
    /// Number of pages of the store's listing.
    pub pages: u64,
    /// How long a page takes on the link of its reader.
    pub page_time: u64,
    /// Number of parts in which hosts send the list. Each part holds one server here.
    pub parts: u64,
    /// How long a part takes on the link of its sender.
    pub part_time: u64,
}

impl DirectoryWeight {
    const NONE: Self = Self {
        pages: 1,
        page_time: 0,
        parts: 2,
        part_time: 0,
    };

    /// The weight of `servers`: a page holds 500 of them at 500 bytes each, a part holds
    /// [`server_list::MAX_PART_SERVERS`] at `wire_bytes` each, and links have 20 Mbit/s.
    pub const fn of_servers(servers: u64, wire_bytes: u64) -> Self {
        const BYTES_PER_MS: u64 = 2_500;
        let part = server_list::MAX_PART_SERVERS as u64;
        Self {
            pages: servers.div_ceil(500),
            page_time: 500 * 500 / BYTES_PER_MS,
            parts: servers.div_ceil(part),
            part_time: (part * wire_bytes).div_ceil(BYTES_PER_MS),
        }
    }
}

/// An answer that has not arrived yet.
struct SentAnswer {
    arrives_at: u64,
    sender: usize,
    receiver: usize,
    answer: PeerAnswer,
}

pub fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 8166))
}

/// The host at `address`.
fn index_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else {
        unreachable!("hosts have addresses of version 4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        Self::of_domains(count, 1)
    }

    /// Creates hosts that are spread evenly over `domains`, and all start now.
    pub fn of_domains(count: usize, domains: usize) -> Self {
        Self {
            hosts: (0..count).map(|index| new_host(index, domains)).collect(),
            now: 0,
            revision: 10,
            era: 1,
            log: vec![(9, 1, false), (10, 2, false)],
            calls: 0,
            listings: 0,
            queries: vec![0; count],
            report_messages: vec![0; count],
            reports_sent: vec![0; count],
            full_lists_sent: vec![0; count],
            domains,
            weight: DirectoryWeight::NONE,
            history_begins: 0,
            watches_silent_until: 0,
            sent: Vec::new(),
        }
    }

    /// Like [`Self::of_domains`], but each host starts some time within `spread`
    /// milliseconds, in an order that has nothing to do with that of the hosts.
    pub fn starting_within(count: usize, domains: usize, spread: u64) -> Self {
        let mut fleet = Self::of_domains(count, domains);
        let steps = spread / STEP;
        for index in 0..count {
            let step = (index as u64 * 7_919 + 13) % 1_009 % steps;
            fleet.hosts[index].condition = Condition::Dead;
            fleet.hosts[index].starts_at = Some((step + 1) * STEP);
        }
        fleet
    }

    /// Restarts the process of a host, which then has no data. Queries to the earlier
    /// process break off.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = new_host(index, self.domains);
        let queries = self.hosts.iter_mut().filter_map(|host| host.query.as_mut());
        for query in queries.filter(|query| query.host == index) {
            query.limit = self.now;
        }
    }

    /// Fills the store with the servers of `weight`.
    pub fn with_weight(mut self, weight: DirectoryWeight) -> Self {
        self.weight = weight;
        for number in 3..=weight.parts {
            self.write(number, false);
        }
        self
    }

    /// Resets all counters.
    pub fn reset_counters(&mut self) {
        self.calls = 0;
        self.listings = 0;
        self.queries.fill(0);
        self.full_lists_sent.fill(0);
    }

    /// Number of reachable hosts that cannot forward anything yet.
    pub fn unready_count(&self) -> usize {
        let in_reach =
            |host: &&SimulatedHost| !matches!(host.condition, Condition::Dead | Condition::Cut);
        let hosts = self.hosts.iter().filter(in_reach);
        hosts.filter(|host| !host.engine.view().is_usable()).count()
    }

    /// How long it takes until all reachable hosts can forward, in milliseconds.
    pub fn time_to_serve(&mut self) -> u64 {
        let start = self.now;
        let starts = |host: &SimulatedHost| host.starts_at.is_some();
        while (self.unready_count() > 0 || self.hosts.iter().any(starts))
            && self.now < start + 20_000
        {
            self.run_until(self.now + STEP);
        }
        self.now - start
    }

    pub fn settled(count: usize) -> Self {
        let mut fleet = Self::new(count);
        fleet.run_until(SETTLED);
        fleet.reset_counters();
        fleet
    }

    pub fn write(&mut self, number: u64, draining: bool) {
        self.revision += 1;
        self.log.push((self.revision, number, draining));
    }

    /// Restores the store from a backup without the last `lost` changes, and breaks all
    /// watches.
    pub fn restore(&mut self, lost: u64) {
        self.era += 1;
        self.revision -= lost.min(self.revision - 10);
        let last = self.revision;
        self.log.retain(|(written, ..)| *written <= last);
        for host in &mut self.hosts {
            let watches = |call: &PendingCall| matches!(call.call, StoreCall::Watch { .. });
            if host.call.take_if(|call| watches(call)).is_some() {
                let now = at(self.now);
                host.engine.handle_store(now, StoreOutcome::Failed);
            }
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            self.deliver_sent();
            for index in 0..self.hosts.len() {
                if self.hosts[index].starts_at == Some(self.now) {
                    self.restart(index);
                }
                if self.hosts[index].condition != Condition::Dead {
                    self.read_store(index);
                    self.query(index);
                    self.answer(index);
                    self.send_reports(index);
                }
            }
        }
    }

    pub fn outcome(&self, index: usize, call: &PendingCall) -> Option<StoreOutcome> {
        if matches!(call.call, StoreCall::Pause(_)) {
            return (self.now >= call.until).then_some(StoreOutcome::Paused);
        }
        let is_listing = matches!(call.call, StoreCall::List { .. });
        let timeout = if is_listing {
            PAGE_TIMEOUT
        } else {
            WATCH_TIMEOUT
        };
        let timeout = self.now >= call.until + timeout;
        match self.hosts[index].condition {
            Condition::Cut | Condition::StoreSilent => {
                return timeout.then_some(StoreOutcome::Failed);
            }
            Condition::Refused => return Some(StoreOutcome::Failed),
            Condition::Running | Condition::Dead => {}
        }
        let in_era = |number| StoreRevision::in_era(StoreEra::new(self.era), number);
        let revision = in_era(self.revision);
        let since = |after: u64| {
            let later = self.log.iter().filter(move |entry| entry.0 > after);
            later.map(move |(written, number, draining)| {
                server_entry_at(*number, in_era(*written), *draining)
            })
        };
        match &call.call {
            StoreCall::Pause(_) => (self.now >= call.until).then_some(StoreOutcome::Paused),
            StoreCall::List { after } => {
                let page = after.as_ref().map_or(0, |key| key.parse().unwrap());
                if self.now < call.since + self.weight.page_time {
                    return None;
                }
                if page + 1 < self.weight.pages {
                    let (items, next) = (Vec::new(), Some((page + 1).to_string()));
                    return Some(StoreOutcome::Page {
                        items,
                        revision,
                        next,
                    });
                }
                let routes = document(1, vec![(service_address(), route(true))]);
                let items = since(0).chain([StoreChange::Routes(routes)]).collect();
                let next = None;
                Some(StoreOutcome::Page {
                    items,
                    revision,
                    next,
                })
            }
            StoreCall::Watch { after, .. } if after.get() > self.revision => {
                Some(StoreOutcome::HistoryGone)
            }
            StoreCall::Watch { .. } if self.now < self.watches_silent_until => None,
            StoreCall::Watch { after, .. } if after.get() < self.history_begins => {
                Some(StoreOutcome::HistoryGone)
            }
            StoreCall::Watch { after, .. } => {
                let changes: Vec<_> = since(after.get()).collect();
                let due = !changes.is_empty() || self.now >= call.until;
                due.then_some(StoreOutcome::Changes { changes, revision })
            }
        }
    }

    pub fn read_store(&mut self, index: usize) {
        let now = at(self.now);
        if let Some(call) = self.hosts[index].call.take() {
            let is_new = self.now < call.since + STEP;
            match self.outcome(index, &call).filter(|_| !is_new) {
                Some(outcome) => self.hosts[index].engine.handle_store(now, outcome),
                None => self.hosts[index].call = Some(call),
            }
        }
        let host = &mut self.hosts[index];
        if host.call.is_none() {
            let call = host.engine.next_store_call(now);
            let wait = match &call {
                StoreCall::Pause(pause) => pause.as_millis() as u64,
                StoreCall::Watch { wait, .. } => wait.as_millis() as u64,
                StoreCall::List { .. } => 0,
            };
            self.calls += usize::from(!matches!(call, StoreCall::Pause(_)));
            self.listings += usize::from(matches!(call, StoreCall::List { after: None }));
            host.call = Some(PendingCall {
                call,
                since: self.now,
                until: self.now + wait,
            });
        }
    }

    pub fn query(&mut self, index: usize) {
        let now = at(self.now);
        let pending = self.hosts[index].query.as_ref();
        let failed = pending.is_some_and(|query| {
            self.hosts[query.host].condition == Condition::Dead || self.now >= query.limit
        });
        if failed {
            let query = self.hosts[index].query.take().unwrap();
            self.handle_answer(index, query.host, None);
        }
        let host = &mut self.hosts[index];
        if host.query.is_some() || self.now < host.query_at {
            return;
        }
        let Some((peer, query)) = host.engine.next_query(now) else {
            host.query_at = self.now + host.engine.peer_pause().as_millis() as u64;
            return;
        };
        let peer_index = index_of(peer);
        self.queries[peer_index] += 1;
        let reachable = |index: usize| self.hosts[index].condition != Condition::Cut;
        let connects = reachable(index) && reachable(peer_index);
        let limit = if !connects && query.revision == StoreRevision::ZERO {
            START_CONNECT
        } else {
            query.timeout().as_millis() as u64
        };
        let limit = self.now + limit;
        self.hosts[index].query = Some(PendingQuery {
            host: peer_index,
            limit,
        });
        if connects {
            self.hosts[peer_index].waiting.push(query, now, index);
        }
    }

    /// Sends reports, as often as hosts do.
    pub fn send_reports(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if self.now < host.report_at {
            return;
        }
        let Some((peer, reports)) = host.engine.next_reports(at(self.now)) else {
            return;
        };
        host.report_at = self.now + REPORT_PAUSE;
        self.reports_sent[index] += reports.len();
        let receiver = index_of(peer);
        let in_reach = |index: usize| {
            !matches!(
                self.hosts[index].condition,
                Condition::Dead | Condition::Cut
            )
        };
        if in_reach(index) && in_reach(receiver) {
            self.report_messages[receiver] += 1;
            let now = at(self.now);
            let reports = reports.into_iter().map(|report| report.into_report(now));
            self.hosts[receiver].engine.add_reports(now, reports);
        } else {
            self.hosts[index].report_at = self.now + 400;
            self.hosts[index].engine.forget_sent_reports();
        }
    }

    pub fn answer(&mut self, index: usize) {
        let now = at(self.now);
        let host = &mut self.hosts[index];
        let due = host.waiting.take_due(&mut host.engine, now);
        let answers: Vec<_> = due
            .into_iter()
            .map(|due| {
                let mut answer = host.engine.answer_query(now, &due.query);
                answer.waited = due.waited;
                (due.answer, answer)
            })
            .collect();
        for (receiver, answer) in answers {
            if answer.list.is_some() {
                self.send_part(index, receiver, answer);
                continue;
            }
            self.deliver(index, receiver, answer);
        }
    }

    /// Sends a part of the list after the earlier parts on the link of `sender`.
    fn send_part(&mut self, sender: usize, receiver: usize, answer: PeerAnswer) {
        self.full_lists_sent[sender] += usize::from(answer.all_servers);
        let host = &mut self.hosts[sender];
        host.sends_until = host.sends_until.max(self.now) + self.weight.part_time;
        self.sent.push(SentAnswer {
            arrives_at: host.sends_until,
            sender,
            receiver,
            answer,
        });
    }

    fn deliver_sent(&mut self) {
        let now = self.now;
        let arrived = self.sent.extract_if(.., |sent| sent.arrives_at <= now);
        for sent in arrived.collect::<Vec<_>>() {
            self.deliver(sent.sender, sent.receiver, sent.answer);
        }
    }

    fn deliver(&mut self, sender: usize, receiver: usize, answer: PeerAnswer) {
        let waits = self.hosts[receiver].query.as_ref();
        let cut = [sender, receiver].map(|one| self.hosts[one].condition == Condition::Cut);
        if waits.is_some_and(|query| query.host == sender) && cut == [false; 2] {
            self.hosts[receiver].query = None;
            self.handle_answer(receiver, sender, Some(answer));
        }
    }

    pub fn handle_answer(&mut self, index: usize, peer: usize, answer: Option<PeerAnswer>) {
        let host = &mut self.hosts[index];
        host.engine
            .handle_answer(at(self.now), address(peer), answer);
        host.query_at = self.now + host.engine.peer_pause().as_millis() as u64;
    }

    /// The running hosts that have a call at the store.
    pub fn readers(&self) -> Vec<usize> {
        let reads = |host: &SimulatedHost| {
            let call = host.call.as_ref();
            let waits = call.is_none_or(|call| matches!(call.call, StoreCall::Pause(_)));
            host.condition == Condition::Running && !waits
        };
        let indexed = self.hosts.iter().enumerate();
        indexed
            .filter(|(_, host)| reads(host))
            .map(|(index, _)| index)
            .collect()
    }

    /// The reachable hosts that do not know that server `number` drains.
    pub fn unaware(&self, number: u64) -> Vec<usize> {
        let id = near_server(number).id;
        let knows = |host: &SimulatedHost| {
            let view = host.engine.view();
            view.directory.get(id).unwrap().phase == ServerPhase::Draining
        };
        let indexed = self.hosts.iter().enumerate();
        indexed
            .filter(|(_, host)| !matches!(host.condition, Condition::Dead | Condition::Cut))
            .filter(|(_, host)| !knows(host))
            .map(|(index, _)| index)
            .collect()
    }

    /// How long it takes until all reachable hosts know a change, in milliseconds.
    pub fn time_to_all(&mut self) -> u64 {
        let start = self.now;
        self.write(1, true);
        while !self.unaware(1).is_empty() && self.now < start + 20_000 {
            self.run_until(self.now + STEP);
        }
        self.now - start
    }

    pub fn oldest_view(&self) -> u64 {
        let running = |host: &&SimulatedHost| host.condition == Condition::Running;
        let ages = self.hosts.iter().filter(running);
        let age = |host: &SimulatedHost| host.engine.view().age(at(self.now)).as_millis() as u64;
        ages.map(age).max().unwrap()
    }
}

fn new_host(index: usize, domains: usize) -> SimulatedHost {
    let names = ["near", "far", "third", "fourth", "fifth"];
    let settings = DiscoverySettings {
        domain: domain(names[index % domains]),
        regions: DomainRegions::default(),
        address: address(index),
        seeds: vec![address(0), address(1), address(2)],
        flow_lifetime: millis(60_000),
        watch_wait: millis(WATCH),
        max_part_servers: 1,
    };
    SimulatedHost {
        engine: DiscoveryEngine::new(settings, index as u64),
        waiting: WaitingQueries::default(),
        condition: Condition::Running,
        call: None,
        query: None,
        query_at: 0,
        report_at: 0,
        starts_at: None,
        sends_until: 0,
    }
}
