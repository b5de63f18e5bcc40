//! Which host is home of which shard: leases granted by a majority of a few
//! voters per shard, renewed in batches, and handed over on planned changes.
//! `docs/design/home-leases.md` weighs this against other ways.

pub(crate) mod asking;
pub mod eras;
pub(crate) mod handing_over;
pub mod holders;
pub mod incoming;
pub mod leases;
pub mod outgoing;
pub mod ranking;
pub(crate) mod views;
pub mod voters;

use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{HandOverId, HomeMessage, LeaseSuccessor};
use cardamomwinch_state::prelude::{
    ConfigurationLimits, HostId, HostListVersion, HostTable, Incarnation, ShardId, SortedVector,
    Timestamp,
};

use crate::control::homes::holders::HolderTable;
use crate::control::homes::incoming::IncomingTable;
use crate::control::homes::leases::LeaseTable;
use crate::control::homes::outgoing::OutgoingTable;
use crate::control::homes::voters::{CandidateLife, VoterTable};
use crate::control::membership::PeerMembership;
use crate::identity::HostIdentity;
use crate::snapshot::{ServingPhase, ShardView};

/// A lease is renewed this often while it runs.
const RENEWALS_PER_LEASE: u32 = 3;
/// A host that stops is drained after this time at the latest.
pub const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);
/// A list is in force everywhere within this time. A cold host is unsure of
/// earlier voters until then and for one lease more, which a holder that has
/// lagged behind may still have left.
const ADOPTION_BOUND: time::Duration = time::Duration::from_secs(3);

/// What the rest of control knows and homes are decided by.
#[derive(Debug, Clone, Copy)]
pub struct HomeWorld<'w> {
    /// Who this host is.
    pub identity: HostIdentity,
    /// Whether it serves.
    pub phase: ServingPhase,
    /// Whether a configuration is in force.
    pub adopted: bool,
    /// The limits in force.
    pub limits: &'w ConfigurationLimits,
    /// The list of hosts in force.
    pub hosts: &'w HostTable,
    /// Who is reachable.
    pub membership: &'w PeerMembership,
}

impl HomeWorld<'_> {
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase == ServingPhase::Stopping
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase == ServingPhase::Serving
    }

    /// Whether this host may be given shards by the list in force.
    fn may_hold(&self) -> bool {
        let own = self.hosts.get(self.identity.host);
        own.is_some_and(|own| ranking::may_hold(own, self.identity.domain))
    }

    fn life(&self) -> CandidateLife {
        CandidateLife {
            host: self.identity.host,
            incarnation: self.identity.incarnation,
        }
    }
}

/// Something to be done about homes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Send a message to another host.
    Send {
        /// The host.
        host: HostId,
        /// The message.
        message: HomeMessage,
    },
    /// The traffic thread of the shard is to freeze it and give out what it knows.
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws, unless it is to be forgotten before.
        frozen_until: Timestamp,
    },
    /// The hand-over is broken off; the traffic thread of the shard is to go on.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// The shard is handed over; the traffic thread is to forget it.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// The traffic thread of the shard is to take the chunk in.
    TakeOver {
        /// What to take in.
        chunk: HandOverChunk,
    },
    /// The home of a shard changed, to or from this host.
    HomeChanged {
        /// The shard.
        shard: ShardId,
        /// Its home from now on.
        home: HostId,
    },
    /// The homes changed, so that a new snapshot is due.
    Publish,
    /// This host stops and holds nothing any more.
    Drained,
}

#[derive(Debug, Clone, Copy)]
struct ShardClaim {
    host: HostId,
    /// When the host asked last.
    heard: Timestamp,
    /// When it first asked, without another one asking since.
    since: Timestamp,
    /// Whether it knows that nobody counts on earlier voters.
    settled: bool,
}

/// A lease that this host has given up.
#[derive(Debug, Clone, Copy)]
struct SentRelease {
    released: Timestamp,
    successor: LeaseSuccessor,
}

/// The homes of all shards as this host sees them, and its part in choosing them.
#[derive(Debug, Default)]
pub struct HomeTable {
    views: SortedVector<ShardId, ShardView>,
    voters: VoterTable,
    leases: LeaseTable,
    holders: HolderTable,
    outgoing: OutgoingTable,
    incoming: IncomingTable,
    claims: SortedVector<ShardId, ShardClaim>,
    releases: SortedVector<ShardId, SentRelease>,
    next_release: Timestamp,
    host_list: HostListVersion,
    shard_count: u16,
    started: Option<Timestamp>,
    last_event: Timestamp,
    next_round: Timestamp,
    next_notice: Timestamp,
    notices: usize,
    stop_by: Option<Timestamp>,
    drained: bool,
}

impl HomeTable {
    /// The homes by shard.
    pub fn shards(&self) -> &SortedVector<ShardId, ShardView> {
        &self.views
    }

    /// What this host has promised as a voter.
    pub fn voters(&self) -> &VoterTable {
        &self.voters
    }

    /// What this host holds.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Whether this host has stopped and holds nothing any more.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// To be called before each event is decided. Guards against a control
    /// thread that slept: what it held may be held by another host by now, and
    /// what it promised may be forgotten by whom it promised it. It shows as a
    /// gap between two events that is longer than a lease; then every lease is
    /// given up and nothing is granted for as long again.
    pub fn note_event(&mut self, now: Timestamp, world: &HomeWorld<'_>) {
        let lease = world.limits.home_lease;
        let slept = self.started.is_some() && now.since(self.last_event) > lease;
        if slept {
            self.leases.give_up_all();
            self.outgoing.break_off();
            self.incoming.break_off();
            self.voters.stay_silent(now.after(lease));
        }
        self.last_event = self.last_event.max(now);
        self.note_start(now, world);
        self.note_hosts(now, world);
    }

    fn note_start(&mut self, now: Timestamp, world: &HomeWorld<'_>) {
        let started = *self.started.get_or_insert(now);
        if self.shard_count == 0 && world.adopted {
            let lease = world.limits.home_lease;
            self.voters.stay_silent(started.after(lease));
            self.leases
                .be_unsure_until(started.after(ADOPTION_BOUND + lease));
        }
    }

    fn note_hosts(&mut self, now: Timestamp, world: &HomeWorld<'_>) {
        let count = world.limits.shards_per_domain;
        if !world.adopted || world.hosts.version == HostListVersion::ZERO {
            return;
        }
        if self.host_list == world.hosts.version && self.shard_count == count {
            return;
        }
        self.host_list = world.hosts.version;
        self.shard_count = count;
        self.voters.adopt_hosts(world.hosts);
        self.leases.adopt_hosts(world);
        self.next_round = now;
    }

    /// Begins to hand everything over.
    pub fn stop(&mut self, now: Timestamp) {
        if self.stop_by.is_none() {
            self.stop_by = Some(now.after(STOP_LIMIT));
            self.next_round = now;
        }
    }

    /// Does what is due at `now`.
    pub fn advance(&mut self, now: Timestamp, world: &HomeWorld<'_>, out: &mut Vec<HomeAction>) {
        if self.shard_count > 0 {
            self.outgoing.advance(now, out);
            self.incoming.advance(now);
            self.repeat_releases(now, world, out);
            self.ask_for_inherited(now, world, out);
            if now >= self.next_round {
                let interval = world.limits.home_lease / RENEWALS_PER_LEASE;
                self.next_round = now.after(interval);
                self.ask(now, world, out);
            }
            self.begin_hand_overs(now, world, out);
            self.send_notice(now, world, out);
        }
        self.finish_stop(now, world, out);
    }

    /// Takes a message of another host.
    pub fn take(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        sender: CandidateLife,
        message: &HomeMessage,
        out: &mut Vec<HomeAction>,
    ) {
        if self.shard_count == 0 {
            return;
        }
        let host = sender.host;
        match message {
            HomeMessage::Request(request) => self.take_request(now, world, sender, request, out),
            HomeMessage::Grant(grant) => self.take_grant(now, world, host, grant, out),
            HomeMessage::Release(release) => self.voters.release(world, sender, release),
            HomeMessage::Holders(notice) => {
                if self.holders.take_notice(now, world, host, notice) && notice.stopped {
                    out.push(HomeAction::Publish);
                }
            }
            HomeMessage::HandOver(chunk) => {
                let own = chunk.hand_over.shard.domain == world.identity.domain;
                if own && world.is_serving() && world.may_hold() {
                    // The sender has been home since, so that what an earlier
                    // hand-over left is not all that is known any more.
                    self.leases.forget_inherited_before(chunk.hand_over);
                    // No release of this host is sent after the round that it
                    // names to the holder.
                    self.releases.remove(&chunk.hand_over.shard);
                    let round = self.leases.last_round();
                    self.incoming
                        .take_chunk(now, host, chunk.clone(), round, out);
                }
            }
            HomeMessage::Received(receipt) => {
                if let Some(ready) = self.outgoing.take_receipt(now, sender, *receipt) {
                    self.commit(now, world, ready, out);
                }
            }
            HomeMessage::Commit(commit) => self.incoming.take_commit(host, *commit, out),
            HomeMessage::Committed(id) => self.outgoing.confirm(host, *id),
        }
    }
}

impl CandidateLife {
    /// The life of `host` that bears `incarnation`.
    pub const fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}
