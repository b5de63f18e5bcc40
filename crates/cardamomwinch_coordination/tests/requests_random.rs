//! What must hold for every request, whatever callers, servers and the network
//! do, in whichever order: many seeded stories against one home.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{Bench, Sent, Told, host};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STORIES: u64 = 150;
const STEPS: usize = 400;
const FLOWS: u16 = 6;

/// A reply on its way from a server.
#[derive(Debug, Clone)]
struct ReplyInFlight {
    at: Timestamp,
    sent: Sent,
    kind: ReplyKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyKind {
    Part(PartNumber),
    Shed,
    UnknownFlow,
}

/// What has become of one request.
#[derive(Debug, Default, Clone)]
struct RequestFate {
    idempotent: bool,
    runs: u32,
    not_run: bool,
    unknown: bool,
    answer_parts: u32,
    copies: u32,
    /// Another host was asked, which speaks from then on.
    relayed: bool,
}

struct Story {
    seed: u64,
    random: SmallRng,
    bench: Bench,
    tokens: Vec<RoutingToken>,
    replies: Vec<ReplyInFlight>,
    fates: SortedVector<RequestId, RequestFate>,
    headers: Vec<(u16, RequestHeader)>,
    without_lease_until: Option<Timestamp>,
}

impl Story {
    fn new(seed: u64) -> Self {
        let bounds = TrafficBounds {
            request_records: 60,
            held_bytes: 400,
            ..TrafficBounds::default()
        };
        let mut bench = Bench::with_bounds(2, 2, bounds);
        let tokens = (0..FLOWS).map(|number| bench.open(number)).collect();
        bench.take();
        Self {
            seed,
            random: SmallRng::seed_from_u64(seed),
            bench,
            tokens,
            replies: Vec::new(),
            fates: SortedVector::new(),
            headers: Vec::new(),
            without_lease_until: None,
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            match self.random.random_range(0..100) {
                0..30 => self.ask_new(),
                30..45 => self.ask_again(),
                45..47 => self.lose_lease(),
                _ => self.pass(),
            }
            self.settle();
        }
        self.bench.pass(time::Duration::from_secs(3));
        self.regain_lease();
        self.bench.pass(time::Duration::from_secs(20));
        self.settle();
        self.check_end();
    }

    fn ask_new(&mut self) {
        let number = self.headers.len() as u64 + 1;
        let flow = self.random.random_range(0..FLOWS);
        let idempotent = self.random.random_bool(0.5);
        let millis = self.random.random_range(50..5000);
        let header = self.bench.header(number, idempotent, millis);
        self.headers.push((flow, header));
        let fate = RequestFate {
            idempotent,
            ..RequestFate::default()
        };
        self.fates.insert(header.id, fate);
        self.ask(flow, header);
    }

    fn ask_again(&mut self) {
        if self.headers.is_empty() {
            return;
        }
        let first = self.headers.len().saturating_sub(20);
        let position = self.random.random_range(first..self.headers.len());
        let (flow, header) = self.headers[position];
        self.fates.get_mut(&header.id).unwrap().copies += 1;
        self.ask(flow, header);
    }

    fn ask(&mut self, flow: u16, header: RequestHeader) {
        let token = self.tokens[usize::from(flow)];
        self.bench.ask(flow, token, header);
    }

    fn lose_lease(&mut self) {
        if self.without_lease_until.is_none() {
            let nobody = self.random.random_bool(0.5);
            let next = (!nobody).then(|| host("muc-nord-2"));
            self.bench.lose_home(next);
            let until = self.bench.now.after(time::Duration::from_secs(2));
            self.without_lease_until = Some(until);
            // Replies come before the next tick has looked at what waits.
            for reply in std::mem::take(&mut self.replies) {
                self.deliver(&reply);
                self.settle();
            }
        }
    }

    fn regain_lease(&mut self) {
        self.without_lease_until = None;
        self.bench.renews_lease = true;
        self.bench.records_since = self.bench.now;
        self.bench.renew();
    }

    fn pass(&mut self) {
        let millis = self.random.random_range(1..150);
        self.bench.pass_ms(millis);
        let now = self.bench.now;
        if self.without_lease_until.is_some_and(|until| until <= now) {
            self.regain_lease();
        }
        self.settle();
        let (due, later) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|reply| reply.at <= now);
        self.replies = later;
        for reply in due {
            self.deliver(&reply);
            self.settle();
        }
    }

    fn deliver(&mut self, reply: &ReplyInFlight) {
        let held = reply.sent.request.unwrap();
        let flow = reply.sent.flow.caller.port() - 1024;
        let kind = match reply.kind {
            ReplyKind::Part(part) => BackendReplyKind::Answer {
                request: held.id,
                attempt: held.attempt,
                part,
                payload: b"0123456789",
            },
            ReplyKind::Shed => BackendReplyKind::Shed {
                request: Some(held.id),
                attempt: held.attempt,
            },
            ReplyKind::UnknownFlow => BackendReplyKind::UnknownFlow {
                request: Some(held.id),
                attempt: held.attempt,
            },
        };
        self.bench.reply(flow, reply.sent.backend, kind);
    }

    /// Lets servers react to what was sent, and notes what callers were told.
    fn settle(&mut self) {
        loop {
            let wanted = self.bench.take();
            for id in wanted.relayed.iter().filter_map(|(_, id)| *id) {
                self.fates.get_mut(&id).unwrap().relayed = true;
            }
            if wanted.told.is_empty() && wanted.sent.is_empty() {
                return;
            }
            for (_, told) in &wanted.told {
                self.note_told(told);
            }
            for sent in wanted.runs() {
                self.react(sent);
            }
        }
    }

    fn note_told(&mut self, told: &Told) {
        let seed = self.seed;
        match told {
            Told::NotRun(Some(id), ..) => {
                let fate = self.fates.get_mut(id).unwrap();
                assert_eq!(fate.runs, 0, "seed {seed}: {id:?} ran, then was not run");
                fate.not_run = true;
            }
            Told::OutcomeUnknown(id, _) => self.fates.get_mut(id).unwrap().unknown = true,
            Told::Answer(id, ..) => self.fates.get_mut(id).unwrap().answer_parts += 1,
            _ => {}
        }
    }

    fn react(&mut self, sent: &Sent) {
        let held = sent.request.unwrap();
        let lease = self
            .bench
            .snapshot
            .lease_at(self.bench.home(), self.bench.now);
        assert!(lease.is_some(), "seed {}: sent without lease", self.seed);
        let late = self.bench.now > held.start_before;
        match self.random.random_range(0..100) {
            _ if late => self.reply(sent, ReplyKind::Shed),
            0..20 => self.reply(sent, ReplyKind::Shed),
            20..23 => self.reply(sent, ReplyKind::UnknownFlow),
            23..30 => {}
            roll => {
                self.note_run(held.id);
                if roll > 40 {
                    self.answer(sent);
                }
            }
        }
    }

    fn note_run(&mut self, id: RequestId) {
        let seed = self.seed;
        let fate = self.fates.get_mut(&id).unwrap();
        fate.runs += 1;
        assert!(!fate.not_run, "seed {seed}: {id:?} was not run, then ran");
        assert!(
            fate.runs == 1 || fate.idempotent,
            "seed {seed}: {id:?} ran twice"
        );
    }

    fn answer(&mut self, sent: &Sent) {
        let total = match self.random.random_bool(0.7) {
            true => 1,
            false => self.random.random_range(2..12),
        };
        for index in 0..total {
            if self.random.random_bool(0.03) {
                continue;
            }
            self.reply(sent, ReplyKind::Part(PartNumber { index, total }));
        }
    }

    fn reply(&mut self, sent: &Sent, kind: ReplyKind) {
        let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let millis = self.random.random_range(1..600);
            self.replies.push(ReplyInFlight {
                at: self.bench.now.after(time::Duration::from_millis(millis)),
                sent: sent.clone(),
                kind,
            });
        }
    }

    fn check_end(&self) {
        let seed = self.seed;
        for (id, fate) in self.fates.iter() {
            let heard = fate.relayed || fate.not_run || fate.unknown || fate.answer_parts > 0;
            assert!(heard, "seed {seed}: nobody spoke about {id:?}: {fate:?}");
        }
        let requests = self.bench.engine.remembered_requests();
        assert_eq!(requests.len(), 0, "seed {seed}");
        assert_eq!(requests.held_bytes(), 0, "seed {seed}");
        for (_, ledger) in self.bench.engine.ledgers().iter() {
            assert_eq!(ledger.busy(), 0, "seed {seed}");
            assert!(ledger.queue.is_empty(), "seed {seed}");
        }
    }
}

/// Guards against requests that run twice, run although they were called "not run", end
/// without a word or stay counted, whatever servers, replies, leases and tables do.
#[test]
fn every_request_ends_once_and_truly() {
    for seed in 0..STORIES {
        Story::new(seed).run();
    }
}
