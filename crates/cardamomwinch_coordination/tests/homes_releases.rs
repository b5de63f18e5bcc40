//! A released lease goes to the successor that the release names, and to no other
//! host before the grant of the former holder has expired.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::control::homes::outgoing::OutgoingTable;
use cardamomwinch_coordination::control::homes::voters::{HostIncarnation, VoterTable};
use cardamomwinch_coordination::control::homes::{HomeAction, HomeContext, HomeTable};
use cardamomwinch_coordination::control::membership::PeerMembership;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{
    ChunkReceipt, HandOverId, HomeMessage, LeaseRelease, LeaseRequest, LeaseRound, LeaseSuccessor,
    ShardSet,
};
use cardamomwinch_state::prelude::*;

const BEGIN: Timestamp = Timestamp::new(1_000_000_000_000);
const HOSTS: [&str; 4] = ["kut-1", "kut-2", "kut-3", "kut-4"];
const MOMENT: time::Duration = time::Duration::from_millis(50);
/// The hosts in the tests. The voter holds no shard.
const HOME: usize = 0;
const SUCCESSOR: usize = 1;
const THIRD: usize = 2;
const VOTER: usize = 3;

fn domain() -> DomainId {
    DomainId::from_name("kut")
}

fn incarnation_of(index: usize, incarnation: u64) -> HostIncarnation {
    let host = HostId::from_name(HOSTS[index]);
    HostIncarnation::new(host, Incarnation::new(incarnation))
}

fn hosts(version: u64) -> HostTable {
    let entries = (0..HOSTS.len()).map(|index| {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16));
        let entry = HostEntry {
            id: HostId::from_name(HOSTS[index]),
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
        version: HostListVersion::new(version),
        hosts: entries.collect(),
    }
}

/// One voter, which decides requests for one shard.
struct VoterBench {
    voter: VoterTable,
    hosts: HostTable,
    limits: ConfigurationLimits,
    membership: PeerMembership,
    now: Timestamp,
}

fn context<'c>(
    index: usize,
    hosts: &'c HostTable,
    limits: &'c ConfigurationLimits,
    membership: &'c PeerMembership,
) -> HomeContext<'c> {
    let own = incarnation_of(index, 1);
    HomeContext {
        identity: HostIdentity {
            host: own.host,
            domain: domain(),
            incarnation: own.incarnation,
        },
        phase: ServingPhase::Serving,
        adopted: true,
        limits,
        hosts,
        membership,
    }
}

impl VoterBench {
    fn new() -> Self {
        let mut voter = VoterTable::default();
        let hosts = hosts(1);
        voter.adopt_hosts(&hosts);
        Self {
            voter,
            hosts,
            limits: ConfigurationLimits {
                shards_per_domain: 1,
                ..ConfigurationLimits::default()
            },
            membership: PeerMembership::default(),
            now: BEGIN,
        }
    }

    fn pass(&mut self, by: time::Duration) {
        self.now = self.now.after(by);
    }

    /// Whether the voter grants the shard to a candidate with the list `list`.
    fn grants_by(&mut self, list: u64, candidate: HostIncarnation, round: u32) -> bool {
        let request = LeaseRequest {
            round: LeaseRound(round),
            lease_millis: self.limits.home_lease.as_millis() as u32,
            host_list: HostListVersion::new(list),
            shard_count: 1,
            stopping: false,
            wanted: [0].into_iter().collect(),
            held: ShardSet::default(),
            unsettled: ShardSet::default(),
        };
        let context = context(VOTER, &self.hosts, &self.limits, &self.membership);
        let answer = self.voter.decide(self.now, &context, candidate, &request);
        answer.is_some_and(|answer| answer.granted.contains(0))
    }

    fn grants(&mut self, candidate: HostIncarnation, round: u32) -> bool {
        self.grants_by(self.hosts.version.get(), candidate, round)
    }

    /// `holder` releases the shard to `successor`, whose last round was `known`.
    fn release(
        &mut self,
        holder: HostIncarnation,
        round: u32,
        successor: HostIncarnation,
        known: u32,
    ) {
        let release = LeaseRelease {
            round: LeaseRound(round),
            successor: LeaseSuccessor {
                host: successor.host,
                incarnation: successor.incarnation,
                round: LeaseRound(known),
            },
            shards: [0].into_iter().collect(),
        };
        let context = context(VOTER, &self.hosts, &self.limits, &self.membership);
        self.voter.release(&context, holder, &release);
    }
}

/// Guards against a request that runs twice after a hand-over. A home releases a
/// shard, and its commit reaches the successor late. A third host, which received
/// the records of an earlier hand-over, requests the lease first. It would assume
/// that its records are complete and run a request again. This happened when a
/// release freed the shard for any host: the mistake `ReleasedToAnybody` of the
/// specification in the crate cardamomwinch_model.
#[test]
fn released_shard_is_granted_to_the_named_successor_alone() {
    let mut bench = VoterBench::new();
    assert!(bench.grants(incarnation_of(HOME, 1), 1));
    bench.pass(MOMENT);
    bench.release(incarnation_of(HOME, 1), 2, incarnation_of(SUCCESSOR, 1), 0);
    assert!(
        !bench.grants(incarnation_of(THIRD, 1), 1),
        "granted to a third host"
    );
    assert!(
        !bench.grants(incarnation_of(HOME, 1), 3),
        "granted to the old home"
    );
    assert!(
        !bench.grants(incarnation_of(SUCCESSOR, 2), 1),
        "granted to a new incarnation"
    );
    bench.pass(bench.limits.home_lease);
    assert!(
        bench.grants(incarnation_of(THIRD, 1), 2),
        "the old grant has run out"
    );

    let mut bench = VoterBench::new();
    assert!(bench.grants(incarnation_of(HOME, 1), 1));
    bench.pass(MOMENT);
    assert!(!bench.grants(incarnation_of(SUCCESSOR, 1), 1));
    bench.release(incarnation_of(HOME, 1), 2, incarnation_of(SUCCESSOR, 1), 1);
    assert!(
        bench.grants(incarnation_of(SUCCESSOR, 1), 2),
        "granted to the successor"
    );
    bench.pass(bench.limits.home_lease - MOMENT);
    assert!(
        !bench.grants(incarnation_of(THIRD, 1), 1),
        "a whole lease is granted"
    );
}

/// Guards against a delayed release. A home hands a shard over to one host, gets it
/// back, and hands it over to the same host again. A release that the successor sent
/// when it was home before arrives only now, and would pass the shard to a host that
/// lacks the records since then. The round that the successor names in its
/// acknowledgement distinguishes that release from later ones.
#[test]
fn release_from_before_the_hand_over_does_not_pass_the_shard_on() {
    let mut bench = VoterBench::new();
    assert!(bench.grants(incarnation_of(HOME, 1), 1));
    bench.release(incarnation_of(HOME, 1), 2, incarnation_of(SUCCESSOR, 1), 7);
    bench.release(incarnation_of(SUCCESSOR, 1), 7, incarnation_of(THIRD, 1), 0);
    assert!(
        !bench.grants(incarnation_of(THIRD, 1), 1),
        "by the delayed release"
    );
    assert!(bench.grants(incarnation_of(SUCCESSOR, 1), 8));
    bench.release(incarnation_of(SUCCESSOR, 1), 9, incarnation_of(THIRD, 1), 1);
    assert!(
        bench.grants(incarnation_of(THIRD, 1), 2),
        "by the new release"
    );
}

/// Guards against a successor that relies on outdated voters. The hosts of the
/// domain change between a hand-over and the request of the successor. A successor
/// that does not know the new list counts a majority that may no longer be one, so
/// the voter must check it like any new holder.
#[test]
fn successor_with_an_earlier_list_is_refused() {
    let mut bench = VoterBench::new();
    assert!(bench.grants(incarnation_of(HOME, 1), 1));
    bench.release(incarnation_of(HOME, 1), 2, incarnation_of(SUCCESSOR, 1), 0);
    let mut changed = hosts(2);
    changed.hosts.remove(&incarnation_of(THIRD, 1).host);
    bench.voter.adopt_hosts(&changed);
    bench.hosts = changed;
    assert!(!bench.grants_by(1, incarnation_of(SUCCESSOR, 1), 1));
    assert!(bench.grants_by(2, incarnation_of(SUCCESSOR, 1), 2));
}

/// Guards against an acknowledgement without the last round of the successor. The
/// home passes this round on to the voters, which need it to recognise delayed
/// releases.
#[test]
fn acknowledgement_names_the_last_round() {
    let (hosts, membership) = (hosts(1), PeerMembership::default());
    let limits = ConfigurationLimits {
        shards_per_domain: 1,
        ..ConfigurationLimits::default()
    };
    let context = context(SUCCESSOR, &hosts, &limits, &membership);
    let (mut table, mut out, mut now) = (HomeTable::default(), Vec::new(), BEGIN);
    for _ in 0..200 {
        table.note_event(now, &context);
        table.advance(now, &context, &mut out);
        now = now.after(MOMENT);
    }
    let shard = ShardId {
        domain: domain(),
        index: 0,
    };
    let chunk = HandOverChunk {
        hand_over: HandOverId { shard, begun: now },
        position: 0,
        total: 1,
        records_since: None,
        items: Vec::new(),
    };
    table.note_event(now, &context);
    table.handle_message(
        now,
        &context,
        incarnation_of(HOME, 1),
        &HomeMessage::HandOver(chunk),
        &mut out,
    );
    let mut last = LeaseRound(0);
    let mut acknowledged = None;
    for action in &out {
        match action {
            HomeAction::Send {
                message: HomeMessage::Request(request),
                ..
            } => last = last.max(request.round),
            HomeAction::Send {
                message: HomeMessage::Received(receipt),
                ..
            } => acknowledged = Some(receipt.round),
            _ => {}
        }
    }
    assert!(last > LeaseRound(0), "the host has sent requests");
    assert_eq!(acknowledged, Some(last));
}

/// Guards against records lost when a successor restarts during a hand-over. It has
/// acknowledged the first half; its new incarnation acknowledges the second half. If
/// the home gave up the lease now, no host would have the first half. Only the
/// incarnation that acknowledged first may complete the hand-over.
#[test]
fn two_incarnations_of_a_successor_do_not_complete_a_hand_over() {
    let shard = ShardId {
        domain: domain(),
        index: 0,
    };
    let hand_over = HandOverId {
        shard,
        begun: BEGIN,
    };
    let successor = incarnation_of(SUCCESSOR, 1);
    let limits = ConfigurationLimits::default();
    let (mut table, mut out) = (OutgoingTable::default(), Vec::new());
    table.begin(BEGIN, shard, successor.host, limits.home_lease, &mut out);
    for position in 0..2 {
        let chunk = HandOverChunk {
            hand_over,
            position,
            total: 2,
            records_since: None,
            items: Vec::new(),
        };
        table.send_chunk(BEGIN, chunk, &mut out);
    }
    let receipt = |position, round| ChunkReceipt {
        hand_over,
        position,
        round: LeaseRound(round),
    };
    let now = BEGIN.after(MOMENT);
    assert!(
        table
            .handle_receipt(now, successor, receipt(0, 4))
            .is_none()
    );
    let other = table.handle_receipt(now, incarnation_of(SUCCESSOR, 2), receipt(1, 1));
    assert!(other.is_none(), "completed by another incarnation");
    let ready = table.handle_receipt(now, successor, receipt(1, 5)).unwrap();
    let acknowledged = ready.acknowledged_by().unwrap();
    assert_eq!(acknowledged.incarnation, successor.incarnation);
    assert_eq!(acknowledged.round, LeaseRound(5));
}
