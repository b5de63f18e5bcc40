//! Invariants of every request, checked in many seeded random scenarios of callers,
//! servers and the network against one home.

#![allow(clippy::unwrap_used, missing_docs)]

mod admission_support;

use std::time;

use admission_support::{CallerMessage, EngineBench, SentDatagram, host};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SCENARIO_COUNT: u64 = 150;
const STEPS: usize = 400;
const FLOWS: u16 = 6;

/// A reply on its way from a server.
#[derive(Debug, Clone)]
struct ReplyInFlight {
    at: Timestamp,
    sent: SentDatagram,
    kind: ReplyKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyKind {
    Part(PartNumber),
    Shed,
    UnknownFlow,
}

/// The observed outcome of one request.
#[derive(Debug, Default, Clone)]
struct RequestOutcome {
    idempotent: bool,
    runs: u32,
    not_run: bool,
    unknown: bool,
    answer_parts: u32,
    copies: u32,
    /// The request was relayed to another host, which replies from then on.
    relayed: bool,
}

struct RandomScenario {
    seed: u64,
    random: SmallRng,
    bench: EngineBench,
    tokens: Vec<RoutingToken>,
    replies: Vec<ReplyInFlight>,
    outcomes: SortedVector<RequestId, RequestOutcome>,
    headers: Vec<(u16, RequestHeader)>,
    without_lease_until: Option<Timestamp>,
}

impl RandomScenario {
    fn new(seed: u64) -> Self {
        let bounds = TrafficBounds {
            request_records: 60,
            held_bytes: 400,
            ..TrafficBounds::default()
        };
        let mut bench = EngineBench::with_bounds(2, 2, bounds);
        let tokens = (0..FLOWS).map(|number| bench.open(number)).collect();
        bench.take();
        Self {
            seed,
            random: SmallRng::seed_from_u64(seed),
            bench,
            tokens,
            replies: Vec::new(),
            outcomes: SortedVector::new(),
            headers: Vec::new(),
            without_lease_until: None,
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            match self.random.random_range(0..100) {
                0..30 => self.send_new_request(),
                30..45 => self.send_copy(),
                45..47 => self.lose_lease(),
                _ => self.advance(),
            }
            self.settle();
        }
        self.bench.advance(time::Duration::from_secs(3));
        self.regain_lease();
        self.bench.advance(time::Duration::from_secs(20));
        self.settle();
        self.check_end();
    }

    fn send_new_request(&mut self) {
        let number = self.headers.len() as u64 + 1;
        let flow = self.random.random_range(0..FLOWS);
        let idempotent = self.random.random_bool(0.5);
        let millis = self.random.random_range(50..5000);
        let header = self.bench.header(number, idempotent, millis);
        self.headers.push((flow, header));
        let outcome = RequestOutcome {
            idempotent,
            ..RequestOutcome::default()
        };
        self.outcomes.insert(header.id, outcome);
        self.send_request(flow, header);
    }

    fn send_copy(&mut self) {
        if self.headers.is_empty() {
            return;
        }
        let first = self.headers.len().saturating_sub(20);
        let position = self.random.random_range(first..self.headers.len());
        let (flow, header) = self.headers[position];
        self.outcomes.get_mut(&header.id).unwrap().copies += 1;
        self.send_request(flow, header);
    }

    fn send_request(&mut self, flow: u16, header: RequestHeader) {
        let token = self.tokens[usize::from(flow)];
        self.bench.send_request(flow, token, header);
    }

    fn lose_lease(&mut self) {
        if self.without_lease_until.is_none() {
            let nobody = self.random.random_bool(0.5);
            let next = (!nobody).then(|| host("muc-nord-2"));
            self.bench.lose_home(next);
            let until = self.bench.now.after(time::Duration::from_secs(2));
            self.without_lease_until = Some(until);
            // Replies arrive before the next tick reviews the waiting requests.
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

    fn advance(&mut self) {
        let millis = self.random.random_range(1..150);
        self.bench.advance_ms(millis);
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

    /// Lets servers react to requests, and records messages to callers.
    fn settle(&mut self) {
        loop {
            let output = self.bench.take();
            for id in output.relayed.iter().filter_map(|(_, id)| *id) {
                self.outcomes.get_mut(&id).unwrap().relayed = true;
            }
            if output.to_callers.is_empty() && output.sent.is_empty() {
                return;
            }
            for (_, message) in &output.to_callers {
                self.note_message(message);
            }
            for sent in output.runs() {
                self.react(sent);
            }
        }
    }

    fn note_message(&mut self, message: &CallerMessage) {
        let seed = self.seed;
        match message {
            CallerMessage::NotRun(Some(id), ..) => {
                let outcome = self.outcomes.get_mut(id).unwrap();
                assert_eq!(outcome.runs, 0, "seed {seed}: {id:?} ran, then was not run");
                outcome.not_run = true;
            }
            CallerMessage::OutcomeUnknown(id, _) => {
                self.outcomes.get_mut(id).unwrap().unknown = true;
            }
            CallerMessage::Answer(id, ..) => self.outcomes.get_mut(id).unwrap().answer_parts += 1,
            _ => {}
        }
    }

    fn react(&mut self, sent: &SentDatagram) {
        let held = sent.request.unwrap();
        let lease = self
            .bench
            .snapshot
            .lease_at(self.bench.home_shard(), self.bench.now);
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
        let outcome = self.outcomes.get_mut(&id).unwrap();
        outcome.runs += 1;
        assert!(
            !outcome.not_run,
            "seed {seed}: {id:?} was not run, then ran"
        );
        assert!(
            outcome.runs == 1 || outcome.idempotent,
            "seed {seed}: {id:?} ran twice"
        );
    }

    fn answer(&mut self, sent: &SentDatagram) {
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

    fn reply(&mut self, sent: &SentDatagram, kind: ReplyKind) {
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
        for (id, outcome) in self.outcomes.iter() {
            let replied =
                outcome.relayed || outcome.not_run || outcome.unknown || outcome.answer_parts > 0;
            assert!(replied, "seed {seed}: no reply about {id:?}: {outcome:?}");
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

/// Guards against requests that run twice, run although the reply was "not run", end
/// without a reply or stay counted, for any sequence of replies, lost leases and full
/// tables.
#[test]
fn every_request_gets_a_correct_final_reply() {
    for seed in 0..SCENARIO_COUNT {
        RandomScenario::new(seed).run();
    }
}
