//! Decides which host is the home of each shard. The home holds a lease that a
//! majority of a few voters per shard has granted. Leases are renewed in
//! batches, and handed over on planned changes.
//! `docs/design/home-leases.md` compares this design with alternatives.

pub(crate) mod handing_over;
pub mod holders;
pub mod incoming;
pub mod leases;
pub mod outgoing;
pub mod ranking;
pub(crate) mod requesting;
pub(crate) mod views;
pub mod voter_sets;
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
use crate::control::homes::voters::{HostIncarnation, VoterTable};
use crate::control::membership::PeerMembership;
use crate::identity::HostIdentity;
use crate::snapshot::{ServingPhase, ShardView};

/// Renewal rounds within the duration of a lease.
const ROUNDS_PER_LEASE: u32 = 3;
/// A stopping host gives up the shards that it still holds after this time.
pub const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Every host has adopted a new list of hosts within this time. A host that has
/// just started waits for this time plus one lease before it relies on its own
/// list alone, because a holder that adopted the list late may hold a lease that
/// earlier voters granted.
const MAX_ADOPTION_TIME: time::Duration = time::Duration::from_secs(3);

/// The state of the control engine that decisions about homes depend on.
#[derive(Debug, Clone, Copy)]
pub struct HomeContext<'c> {
    /// The identity of this host.
    pub identity: HostIdentity,
    /// Whether this host is starting, serving or stopping.
    pub phase: ServingPhase,
    /// Whether a configuration is in force.
    pub adopted: bool,
    /// The limits in force.
    pub limits: &'c ConfigurationLimits,
    /// The list of hosts in force.
    pub hosts: &'c HostTable,
    /// Which hosts are reachable.
    pub membership: &'c PeerMembership,
}

impl HomeContext<'_> {
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase == ServingPhase::Stopping
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.phase == ServingPhase::Serving
    }

    /// Whether the list in force allows this host to hold shards.
    fn may_hold(&self) -> bool {
        let own = self.hosts.get(self.identity.host);
        own.is_some_and(|own| ranking::may_hold(own, self.identity.domain))
    }

    fn own_incarnation(&self) -> HostIncarnation {
        HostIncarnation {
            host: self.identity.host,
            incarnation: self.identity.incarnation,
        }
    }
}

/// An action that the home table requests from the control engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Send a message to another host.
    Send {
        /// The receiver.
        host: HostId,
        /// The message.
        message: HomeMessage,
    },
    /// Make the traffic thread of the shard freeze it and export its records.
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws by itself, unless it is forgotten before.
        frozen_until: Timestamp,
    },
    /// Make the traffic thread of the shard serve it again, because the
    /// hand-over was aborted.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// Make the traffic thread forget the shard, which was handed over.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// Make the traffic thread of the shard import a chunk.
    TakeOver {
        /// The chunk.
        chunk: HandOverChunk,
    },
    /// Report that the home of a shard changed, to or from this host.
    HomeChanged {
        /// The shard.
        shard: ShardId,
        /// The new home.
        home: HostId,
    },
    /// Publish a new snapshot, because the homes changed.
    Publish,
    /// Report that this host is stopping and no longer holds a shard.
    Drained,
}

/// A request of another host of the domain for a shard that it does not hold.
#[derive(Debug, Clone, Copy)]
struct ShardClaim {
    host: HostId,
    /// When the last request arrived.
    last_request: Timestamp,
    /// When its first request arrived. Starts again after a request of another
    /// host.
    first_request: Timestamp,
    /// Whether the host reports that only the current voters count; see
    /// [`voter_sets`].
    settled: bool,
}

/// A lease that this host has given up to a successor.
#[derive(Debug, Clone, Copy)]
struct SentRelease {
    released: Timestamp,
    successor: LeaseSuccessor,
}

/// The homes of all shards as known to this host, with its own leases and the
/// grants that it has made as a voter.
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
    notices_sent: usize,
    stop_by: Option<Timestamp>,
    drained: bool,
}

impl HomeTable {
    /// The home of each shard, as of the last [`HomeTable::refresh`].
    pub fn shards(&self) -> &SortedVector<ShardId, ShardView> {
        &self.views
    }

    /// The grants that this host has made as a voter.
    pub fn voters(&self) -> &VoterTable {
        &self.voters
    }

    /// The leases of this host.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Whether this host is stopping and no longer holds a shard.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Must be called before each event is handled.
    ///
    /// Guards against a control thread that was paused: another host may hold
    /// its leases by now, and hosts that it granted leases to may have forgotten
    /// them. A pause shows as a gap between two events that is longer than a
    /// lease. The host then gives up every lease and grants nothing for the
    /// duration of a lease.
    pub fn note_event(&mut self, now: Timestamp, context: &HomeContext<'_>) {
        let lease = context.limits.home_lease;
        let paused = self.started.is_some() && now.since(self.last_event) > lease;
        if paused {
            self.leases.give_up_all();
            self.outgoing.abort_all();
            self.incoming.abort_all();
            self.voters.withhold_grants_until(now.after(lease));
        }
        self.last_event = self.last_event.max(now);
        self.note_start(now, context);
        self.note_hosts(now, context);
    }

    fn note_start(&mut self, now: Timestamp, context: &HomeContext<'_>) {
        let started = *self.started.get_or_insert(now);
        if self.shard_count == 0 && context.adopted {
            let lease = context.limits.home_lease;
            self.voters.withhold_grants_until(started.after(lease));
            self.leases
                .wait_for_earlier_voters(started.after(MAX_ADOPTION_TIME + lease));
        }
    }

    fn note_hosts(&mut self, now: Timestamp, context: &HomeContext<'_>) {
        let count = context.limits.shards_per_domain;
        if !context.adopted || context.hosts.version == HostListVersion::ZERO {
            return;
        }
        if self.host_list == context.hosts.version && self.shard_count == count {
            return;
        }
        self.host_list = context.hosts.version;
        self.shard_count = count;
        self.voters.adopt_hosts(context.hosts);
        self.leases.adopt_hosts(context);
        self.next_round = now;
    }

    /// Begins to hand over all shards, because this host stops.
    pub fn stop(&mut self, now: Timestamp) {
        if self.stop_by.is_none() {
            self.stop_by = Some(now.after(STOP_TIMEOUT));
            self.next_round = now;
        }
    }

    /// Renews leases, repeats messages, and begins, aborts or finishes hand-overs
    /// that are due at `now`.
    pub fn advance(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        if self.shard_count > 0 {
            self.outgoing.advance(now, out);
            self.incoming.advance(now);
            self.repeat_releases(now, context, out);
            self.request_inherited(now, context, out);
            if now >= self.next_round {
                let interval = context.limits.home_lease / ROUNDS_PER_LEASE;
                self.next_round = now.after(interval);
                self.request_round(now, context, out);
            }
            self.begin_hand_overs(now, context, out);
            self.send_notice(now, context, out);
        }
        self.finish_stop(now, context, out);
    }

    /// Handles a message from another host.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        sender: HostIncarnation,
        message: &HomeMessage,
        out: &mut Vec<HomeAction>,
    ) {
        if self.shard_count == 0 {
            return;
        }
        let host = sender.host;
        match message {
            HomeMessage::Request(request) => {
                self.handle_request(now, context, sender, request, out);
            }
            HomeMessage::Grant(grant) => self.handle_grant(now, context, host, grant, out),
            HomeMessage::Release(release) => self.voters.release(context, sender, release),
            HomeMessage::Holders(notice) => {
                if self.holders.handle_notice(now, context, host, notice) && notice.stopped {
                    out.push(HomeAction::Publish);
                }
            }
            HomeMessage::HandOver(chunk) => {
                let own = chunk.hand_over.shard.domain == context.identity.domain;
                if own && context.is_serving() && context.may_hold() {
                    // The sender was the home after any earlier hand-over, so
                    // the records of that hand-over are no longer complete.
                    self.leases.forget_inherited_before(chunk.hand_over);
                    // Stops repeating a release of this shard: the receipt names
                    // the last round of this host, and a release of a later round
                    // would count as a release of the new grant.
                    self.releases.remove(&chunk.hand_over.shard);
                    let round = self.leases.last_round();
                    self.incoming
                        .handle_chunk(now, host, chunk.clone(), round, out);
                }
            }
            HomeMessage::Received(receipt) => {
                if let Some(ready) = self.outgoing.handle_receipt(now, sender, *receipt) {
                    self.commit(now, context, ready, out);
                }
            }
            HomeMessage::Commit(commit) => self.incoming.handle_commit(host, *commit, out),
            HomeMessage::Committed(id) => self.outgoing.handle_confirmation(host, *id),
        }
    }
}

impl HostIncarnation {
    /// Returns `incarnation` of `host`.
    pub const fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}
