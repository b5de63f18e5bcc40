//! The product's voters and successors behave as the specification of homes
//! requires.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections;
use std::net;
use std::time;

use cardamomwinch_coordination::control::event::TakeOverReport;
use cardamomwinch_coordination::control::homes::voters::{HostIncarnation, VoterTable};
use cardamomwinch_coordination::control::homes::{HomeAction, HomeContext, HomeTable};
use cardamomwinch_coordination::control::membership::PeerMembership;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_model::homes::{RunningGrant, VoterFacts};
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{
    HandOverCommit, HandOverId, HomeMessage, LeaseGrant, LeaseRelease, LeaseRequest, LeaseRound,
    LeaseSuccessor, ShardSet,
};
use cardamomwinch_state::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const CASES: u32 = 2_000;
const BEGIN: Timestamp = Timestamp::new(1_000_000_000_000);
/// Number of hosts that request leases from the voter.
const CANDIDATES: usize = 3;
const HOSTS: [&str; 3] = ["bud-angyal-1", "bud-angyal-2", "bud-angyal-3"];

fn domain() -> DomainId {
    DomainId::from_name("bud-angyal")
}

fn host(index: usize) -> HostId {
    HostId::from_name(HOSTS[index])
}

fn hosts() -> HostTable {
    let entries = (0..HOSTS.len()).map(|index| {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16));
        let entry = HostEntry {
            id: host(index),
            name: HOSTS[index].to_owned(),
            domain: domain(),
            traffic_address: address,
            peer_address: address,
            relay_address: address,
            phase: HostPhase::Live,
        };
        (entry.id, entry)
    });
    HostTable {
        version: HostListVersion::new(1),
        hosts: entries.collect(),
    }
}

fn limits() -> ConfigurationLimits {
    ConfigurationLimits {
        shards_per_domain: 1,
        ..ConfigurationLimits::default()
    }
}

fn only_shard() -> ShardSet {
    [0].into_iter().collect()
}

fn context<'w>(
    own: usize,
    limits: &'w ConfigurationLimits,
    hosts: &'w HostTable,
    membership: &'w PeerMembership,
) -> HomeContext<'w> {
    HomeContext {
        identity: HostIdentity {
            host: host(own),
            domain: domain(),
            incarnation: Incarnation::new(1),
        },
        phase: ServingPhase::Serving,
        adopted: true,
        limits,
        hosts,
        membership,
    }
}

#[derive(Debug, Clone, Copy)]
enum VoterStep {
    Advance(u64),
    Restart(usize),
    Request(usize),
    LateRequest(usize, u32),
    /// A host releases its grant to a successor.
    Release(usize, usize),
    LateRelease(usize, usize, u32),
}

fn steps() -> impl Strategy<Value = Vec<VoterStep>> {
    let host = 0..CANDIDATES;
    let pair = (host.clone(), host.clone());
    let back = 0..3_u32;
    let step = prop_oneof![
        3 => (1..1_200_u64).prop_map(VoterStep::Advance),
        1 => host.clone().prop_map(VoterStep::Restart),
        6 => host.clone().prop_map(VoterStep::Request),
        1 => (host.clone(), back.clone()).prop_map(|(host, back)| VoterStep::LateRequest(host, back)),
        2 => pair.clone().prop_map(|(host, to)| VoterStep::Release(host, to)),
        1 => (pair, back).prop_map(|((host, to), back)| VoterStep::LateRelease(host, to, back)),
    ];
    prop::collection::vec(step, 1..60)
}

/// The grant that a voter remembers according to the specification.
#[derive(Debug, Clone, Copy)]
struct MirroredGrant {
    holder: HostIncarnation,
    until: Timestamp,
    round: LeaseRound,
    /// Whether a release named the holder as successor, and the voter has not
    /// granted it the shard yet.
    is_named: bool,
}

/// A voter, and its state according to the specification.
struct VoterReplay {
    voter: VoterTable,
    now: Timestamp,
    muted_until: Timestamp,
    grant: Option<MirroredGrant>,
    incarnations: [u64; CANDIDATES],
    rounds: collections::BTreeMap<(usize, u64), u32>,
    granted: usize,
    refused: usize,
    /// Number of grants to a named successor while the old grant ran.
    passed_on: usize,
}

impl VoterReplay {
    fn new(hosts: &HostTable, limits: &ConfigurationLimits) -> Self {
        let mut voter = VoterTable::default();
        voter.adopt_hosts(hosts);
        let muted_until = BEGIN.after(limits.home_lease);
        voter.withhold_grants_until(muted_until);
        Self {
            voter,
            now: BEGIN,
            muted_until,
            grant: None,
            incarnations: [1; CANDIDATES],
            rounds: collections::BTreeMap::new(),
            granted: 0,
            refused: 0,
            passed_on: 0,
        }
    }

    fn candidate(&self, index: usize) -> HostIncarnation {
        HostIncarnation::new(host(index), Incarnation::new(self.incarnations[index]))
    }

    /// Returns the next round of a host, or with `back` the round that is so many
    /// before its last one.
    fn round(&mut self, index: usize, back: Option<u32>) -> Option<LeaseRound> {
        let last = self
            .rounds
            .entry((index, self.incarnations[index]))
            .or_insert(0);
        match back {
            None => *last += 1,
            Some(back) if *last <= back => return None,
            Some(_) => {}
        }
        Some(LeaseRound(*last - back.unwrap_or(0)))
    }

    fn apply(&mut self, context: &HomeContext<'_>, step: VoterStep) -> Result<(), TestCaseError> {
        match step {
            VoterStep::Advance(by) => self.now = self.now.after(time::Duration::from_millis(by)),
            VoterStep::Restart(index) => self.incarnations[index] += 1,
            VoterStep::Request(index) => self.request(context, index, None)?,
            VoterStep::LateRequest(index, back) => self.request(context, index, Some(back))?,
            VoterStep::Release(index, to) => self.release(context, index, to, None),
            VoterStep::LateRelease(index, to, back) => {
                self.release(context, index, to, Some(back));
            }
        }
        Ok(())
    }

    fn request(
        &mut self,
        context: &HomeContext<'_>,
        index: usize,
        back: Option<u32>,
    ) -> Result<(), TestCaseError> {
        let candidate = self.candidate(index);
        let Some(round) = self.round(index, back) else {
            return Ok(());
        };
        let running = self.grant.filter(|grant| self.now < grant.until);
        let facts = VoterFacts {
            muted: self.now < self.muted_until,
            running: match running {
                None => RunningGrant::Nobody,
                Some(grant) if grant.holder == candidate => RunningGrant::SameIncarnation,
                Some(_) => RunningGrant::Another,
            },
        };
        let request = LeaseRequest {
            round,
            lease_millis: context.limits.home_lease.as_millis() as u32,
            host_list: context.hosts.version,
            shard_count: 1,
            stopping: false,
            wanted: only_shard(),
            held: ShardSet::default(),
            unsettled: ShardSet::default(),
        };
        let answer = self.voter.decide(self.now, context, candidate, &request);
        let granted = answer.is_some_and(|answer| answer.granted.contains(0));
        prop_assert!(!granted || facts.may_grant(), "granted against {:?}", facts);
        // A voter need not grant a late request.
        let must = facts.may_grant() && back.is_none();
        prop_assert!(granted || !must, "refused against {:?}", facts);
        if granted {
            let own = self.grant.filter(|grant| grant.holder == candidate);
            let until = self.now.after(context.limits.home_lease);
            self.grant = Some(MirroredGrant {
                holder: candidate,
                until: own.map_or(until, |own| own.until.max(until)),
                round: own.map_or(round, |own| own.round.max(round)),
                is_named: false,
            });
        }
        let passed_on = granted && running.is_some_and(|grant| grant.is_named);
        self.passed_on += usize::from(passed_on);
        self.granted += usize::from(granted);
        self.refused += usize::from(!granted);
        Ok(())
    }

    fn release(&mut self, context: &HomeContext<'_>, index: usize, to: usize, back: Option<u32>) {
        let candidate = self.candidate(index);
        let Some(round) = self.round(index, back) else {
            return;
        };
        let shards = only_shard();
        let successor = self.candidate(to);
        let known = self.rounds.get(&(to, self.incarnations[to])).copied();
        let known = LeaseRound(known.unwrap_or(0));
        let release = LeaseRelease {
            round,
            successor: LeaseSuccessor {
                host: successor.host,
                incarnation: successor.incarnation,
                round: known,
            },
            shards,
        };
        self.voter.release(context, candidate, &release);
        // The message of a hand-over does not pass on a later grant. The shard is
        // reserved for the successor until the old grant ends.
        let ended = self
            .grant
            .filter(|grant| grant.holder == candidate && round > grant.round);
        if let Some(grant) = ended {
            self.grant = Some(MirroredGrant {
                holder: successor,
                round: known,
                is_named: true,
                ..grant
            });
        }
    }
}

#[test]
fn voters_grant_as_specified() {
    let (limits, hosts) = (limits(), hosts());
    let membership = PeerMembership::default();
    let context = context(2, &limits, &hosts, &membership);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::XorShift, &[3; 16]);
    let counts = std::cell::Cell::new((0, 0, 0));
    let outcome = TestRunner::new_with_rng(config, random).run(&steps(), |steps| {
        let mut replay = VoterReplay::new(&hosts, &limits);
        for step in steps {
            replay.apply(&context, step)?;
        }
        let (granted, refused, passed_on) = counts.get();
        counts.set((
            granted + replay.granted,
            refused + replay.refused,
            passed_on + replay.passed_on,
        ));
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    let (granted, refused, passed_on) = counts.get();
    println!("{granted} granted, {refused} refused, {passed_on} passed on");
    assert!(granted > 1_000 && refused > 1_000 && passed_on > 100);
}

/// Guards against a submission that runs twice. A home hands over, and its
/// successor cannot reach the voters at once. The home becomes home again, runs a
/// submission, and hands over a second time. Now the voters answer the successor
/// before the commit message of the second hand-over arrives. The successor trusts
/// the records of the first hand-over and runs a copy of the submission.
/// Cause: the records of an earlier hand-over are used although a newer one has
/// begun.
/// Mistake `EarlierHandOverUsed` of the specification.
#[test]
fn newer_hand_over_ends_the_earlier_inheritance() {
    const SHORT_TIME: time::Duration = time::Duration::from_millis(50);
    let (limits, hosts) = (limits(), hosts());
    let membership = PeerMembership::default();
    let context = context(1, &limits, &hosts, &membership);
    let holder = HostIncarnation::new(host(0), Incarnation::new(1));
    let mut table = HomeTable::default();
    let mut out = Vec::new();
    let mut now = BEGIN;
    for _ in 0..4 {
        table.note_event(now, &context);
        now = now.after(limits.home_lease);
    }
    table.note_event(now, &context);
    let shard = ShardId {
        domain: domain(),
        index: 0,
    };
    let chunk_of = |begun: Timestamp| HandOverChunk {
        hand_over: HandOverId { shard, begun },
        position: 0,
        total: 1,
        records_since: None,
        items: Vec::new(),
    };
    let first = chunk_of(now);
    let message = HomeMessage::HandOver(first.clone());
    table.handle_message(now, &context, holder, &message, &mut out);
    let message = HomeMessage::Commit(HandOverCommit {
        hand_over: first.hand_over,
        released: now,
        records_since: BEGIN,
    });
    table.handle_message(now, &context, holder, &message, &mut out);
    let report = TakeOverReport {
        hand_over: first.hand_over,
        position: 0,
        records_since: None,
    };
    table.handle_imported(now, &context, report, &mut out);
    let mut rounds = out.iter().filter_map(|action| match action {
        HomeAction::Send {
            message: HomeMessage::Request(request),
            ..
        } => Some(request.round),
        _ => None,
    });
    let round = rounds
        .next_back()
        .expect("the successor requests the lease at once");

    now = now.after(SHORT_TIME * 5);
    table.note_event(now, &context);
    let message = HomeMessage::HandOver(chunk_of(now));
    table.handle_message(now, &context, holder, &message, &mut out);
    now = now.after(SHORT_TIME);
    for voter in [0, 2] {
        let voter = HostIncarnation::new(host(voter), Incarnation::new(1));
        let message = HomeMessage::Grant(LeaseGrant {
            round,
            host_list: hosts.version,
            granted: only_shard(),
            earlier: Vec::new(),
        });
        table.handle_message(now, &context, voter, &message, &mut out);
    }
    let lease = table.leases().lease(now, shard);
    let since = lease
        .expect("two voters of three have granted")
        .records_since;
    assert!(
        since >= now,
        "trusts records since {since}, taken over at {now}"
    );
}
