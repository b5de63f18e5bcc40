//! Who of a failure domain reads the store, and how the others learn, played in
//! steps of simulated time: hosts fail, are cut off, stand still, or are turned
//! away by the store.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::net;

use cardamomwinch_coordination::forwarding::beliefs::peer_word::PeerWord;
use cardamomwinch_coordination::forwarding::beliefs::store_call::{
    StoreCall, StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::beliefs::waiting_questions::WaitingQuestions;
use cardamomwinch_coordination::forwarding::beliefs::{BeliefEngine, BeliefSettings};
use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use forwarding_support::*;

/// A step of the simulation, in milliseconds; also the time that a message takes.
const STEP: u64 = 10;
/// How long the store lets a watch wait, in milliseconds.
const WATCH: u64 = 2_000;
/// When the hosts have found each other.
const SETTLED: u64 = 15_000;

/// What became of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Condition {
    Running,
    /// Gone: connections to it break.
    Dead,
    /// Neither reached nor able to reach anybody; nothing breaks.
    Cut,
    /// The store refuses it; peers reach it.
    TurnedAway,
}

struct PendingCall {
    call: StoreCall,
    since: u64,
    until: u64,
}

struct PendingQuestion {
    host: usize,
    limit: u64,
}

struct SimulatedHost {
    engine: BeliefEngine,
    waiting: WaitingQuestions<usize>,
    condition: Condition,
    call: Option<PendingCall>,
    question: Option<PendingQuestion>,
    ask_at: u64,
}

/// Hosts of one domain and a store.
struct Fleet {
    hosts: Vec<SimulatedHost>,
    now: u64,
    revision: u64,
    /// Revision and state of the servers: draining or not.
    log: Vec<(u64, u64, bool)>,
    calls: usize,
    questions: Vec<usize>,
}

fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 8166))
}

impl Fleet {
    fn new(count: usize) -> Self {
        let host = |index: usize| {
            let settings = BeliefSettings {
                domain: domain("near"),
                address: address(index),
                seeds: vec![address(0), address(1), address(2)],
                flow_lifetime: millis(60_000),
                watch_wait: millis(WATCH),
            };
            SimulatedHost {
                engine: BeliefEngine::new(settings, index as u64),
                waiting: WaitingQuestions::default(),
                condition: Condition::Running,
                call: None,
                question: None,
                ask_at: 0,
            }
        };
        Self {
            hosts: (0..count).map(host).collect(),
            now: 0,
            revision: 10,
            log: vec![(9, 1, false), (10, 2, false)],
            calls: 0,
            questions: vec![0; count],
        }
    }

    fn settled(count: usize) -> Self {
        let mut fleet = Self::new(count);
        fleet.run_until(SETTLED);
        fleet.calls = 0;
        fleet.questions.fill(0);
        fleet
    }

    fn write(&mut self, number: u64, draining: bool) {
        self.revision += 1;
        self.log.push((self.revision, number, draining));
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            for index in 0..self.hosts.len() {
                if self.hosts[index].condition != Condition::Dead {
                    self.read_store(index);
                    self.ask(index);
                    self.answer(index);
                }
            }
        }
    }

    fn outcome(&self, index: usize, call: &PendingCall) -> Option<StoreOutcome> {
        let timeout = self.now >= call.until + 1_000;
        match self.hosts[index].condition {
            Condition::Cut => return timeout.then_some(StoreOutcome::Failed),
            Condition::TurnedAway => return Some(StoreOutcome::Failed),
            Condition::Running | Condition::Dead => {}
        }
        let revision = StoreRevision::new(self.revision);
        let since = |after: u64| {
            let later = self.log.iter().filter(move |entry| entry.0 > after);
            later.map(|(written, number, draining)| server_entry(*number, *written, *draining))
        };
        match &call.call {
            StoreCall::Pause(_) => (self.now >= call.until).then_some(StoreOutcome::Paused),
            StoreCall::List { .. } => {
                let routes = document(1, vec![(service_address(), route(true))]);
                let items = since(0).chain([StoreChange::Routes(routes)]).collect();
                let next = None;
                Some(StoreOutcome::Page {
                    items,
                    revision,
                    next,
                })
            }
            StoreCall::Watch { after, .. } => {
                let changes: Vec<_> = since(after.get()).collect();
                let due = !changes.is_empty() || self.now >= call.until;
                due.then_some(StoreOutcome::Changes { changes, revision })
            }
        }
    }

    fn read_store(&mut self, index: usize) {
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
            host.call = Some(PendingCall {
                call,
                since: self.now,
                until: self.now + wait,
            });
        }
    }

    fn ask(&mut self, index: usize) {
        let now = at(self.now);
        let pending = self.hosts[index].question.as_ref();
        let failed = pending.is_some_and(|question| {
            self.hosts[question.host].condition == Condition::Dead || self.now >= question.limit
        });
        if failed {
            let question = self.hosts[index].question.take().unwrap();
            self.take_word(index, question.host, None);
        }
        let host = &mut self.hosts[index];
        if host.question.is_some() || self.now < host.ask_at {
            return;
        }
        let Some((peer, question)) = host.engine.next_peer(now) else {
            host.ask_at = self.now + host.engine.peer_pause().as_millis() as u64;
            return;
        };
        let asked = (0..self.hosts.len()).find(|other| address(*other) == peer);
        let asked = asked.unwrap();
        self.questions[asked] += 1;
        let limit = self.now + question.wait.as_millis() as u64 + 400;
        self.hosts[index].question = Some(PendingQuestion { host: asked, limit });
        let reachable = |index: usize| self.hosts[index].condition != Condition::Cut;
        if reachable(index) && reachable(asked) {
            self.hosts[asked].waiting.push(question, now, index);
        }
    }

    fn answer(&mut self, index: usize) {
        let now = at(self.now);
        let host = &mut self.hosts[index];
        let due = host.waiting.take_due(&host.engine, now);
        let words: Vec<_> = due
            .into_iter()
            .map(|due| {
                let mut word = host.engine.answer_peer(now, &due.question);
                word.waited = due.waited;
                (due.answer, word)
            })
            .collect();
        for (asker, word) in words {
            let waits = self.hosts[asker].question.as_ref();
            let cut = [index, asker].map(|one| self.hosts[one].condition == Condition::Cut);
            if waits.is_some_and(|question| question.host == index) && cut == [false; 2] {
                self.hosts[asker].question = None;
                self.take_word(asker, index, Some(word));
            }
        }
    }

    fn take_word(&mut self, index: usize, peer: usize, word: Option<PeerWord>) {
        let host = &mut self.hosts[index];
        host.engine.handle_peer(at(self.now), address(peer), word);
        host.ask_at = self.now + host.engine.peer_pause().as_millis() as u64;
    }

    /// The running hosts that have a call at the store.
    fn readers(&self) -> Vec<usize> {
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

    /// The hosts in reach that do not know that `number` drains.
    fn ignorant(&self, number: u64) -> Vec<usize> {
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

    /// How long it takes until all hosts in reach know a change, in milliseconds.
    fn time_to_all(&mut self) -> u64 {
        let start = self.now;
        self.write(1, true);
        while !self.ignorant(1).is_empty() && self.now < start + 20_000 {
            self.run_until(self.now + STEP);
        }
        self.now - start
    }

    fn oldest_view(&self) -> u64 {
        let running = |host: &&SimulatedHost| host.condition == Condition::Running;
        let ages = self.hosts.iter().filter(running);
        let age = |host: &SimulatedHost| host.engine.view().age(at(self.now)).as_millis() as u64;
        ages.map(age).max().unwrap()
    }
}

/// Twenty-five hosts: if each read the store, calls would grow with the hosts, and
/// each has its price. Two read it, and all know a change within half a second.
#[test]
fn two_hosts_of_a_domain_read_the_store() {
    let mut fleet = Fleet::settled(25);
    assert_eq!(fleet.readers().len(), 2);
    let mut oldest = 0;
    for moment in 1..=100 {
        fleet.run_until(SETTLED + 100 * moment);
        oldest = oldest.max(fleet.oldest_view());
    }
    assert!(fleet.calls <= 2 * 6, "{} calls in ten seconds", fleet.calls);
    assert!(oldest <= 2_300, "what a host knew was {oldest} ms old");
    let most = fleet.questions.iter().max().unwrap();
    assert!(*most <= 40, "{most} questions to one host in ten seconds");
    assert!(fleet.time_to_all() <= 500);
}

/// The reader is the host that all others depend on. It dies, and nobody says so.
#[test]
fn a_reader_that_dies_is_replaced() {
    let mut fleet = Fleet::settled(9);
    let readers = fleet.readers();
    for reader in readers {
        fleet.hosts[reader].condition = Condition::Dead;
    }
    let time = fleet.time_to_all();
    assert!(time <= 1_500, "{time} ms");
    fleet.run_until(fleet.now + 10_000);
    assert!(fleet.readers().len() <= 2);
}

/// Readers are cut off without a word: no connection breaks, and questions to
/// them stay without an answer. Nobody may go on with what was true before, and
/// the store must not meet a whole domain for long.
#[test]
fn hosts_whose_readers_are_cut_off_read_themselves() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::Cut;
    }
    let time = fleet.time_to_all();
    assert!(time <= 3_500, "{time} ms");
    let start = fleet.now;
    let mut oldest = 0;
    while fleet.now < start + 25_000 {
        fleet.run_until(fleet.now + 100);
        oldest = oldest.max(fleet.oldest_view());
    }
    assert!(oldest <= 3_500, "what a host knew was {oldest} ms old");
    assert!(fleet.calls <= 120, "{} calls in half a minute", fleet.calls);
    assert!(fleet.readers().len() <= 2, "{:?}", fleet.readers());
}

/// The store refuses the readers and serves everyone else. They answer their
/// peers as before, but what they tell grows old.
#[test]
fn hosts_whose_readers_are_turned_away_learn_elsewhere() {
    let mut fleet = Fleet::settled(25);
    for reader in fleet.readers() {
        fleet.hosts[reader].condition = Condition::TurnedAway;
    }
    fleet.run_until(fleet.now + 1_000);
    let time = fleet.time_to_all();
    assert!(time <= 4_000, "{time} ms");
    fleet.run_until(fleet.now + 10_000);
    assert!(fleet.oldest_view() <= 3_500, "{} ms", fleet.oldest_view());
}

/// A host that was cut off comes back with what it knew before.
#[test]
fn a_host_that_was_cut_off_catches_up() {
    let mut fleet = Fleet::settled(9);
    fleet.hosts[4].condition = Condition::Cut;
    assert!(fleet.time_to_all() <= 4_000);
    fleet.run_until(fleet.now + 5_000);
    fleet.hosts[4].condition = Condition::Running;
    let back = fleet.now;
    fleet.run_until(back + 3_000);
    assert!(fleet.ignorant(1).is_empty());
}

/// Three hundred hosts of a domain are more than anyone remembers. No host may
/// be asked by all of them, and calls must not grow with them.
#[test]
fn no_host_is_asked_by_a_whole_domain() {
    let mut fleet = Fleet::settled(300);
    fleet.run_until(SETTLED + 10_000);
    let most = fleet.questions.iter().max().unwrap();
    assert!(*most <= 100, "{most} questions to one host in ten seconds");
    assert!(fleet.calls <= 24, "{} calls in ten seconds", fleet.calls);
    let time = fleet.time_to_all();
    assert!(time <= 700, "{time} ms");
}
