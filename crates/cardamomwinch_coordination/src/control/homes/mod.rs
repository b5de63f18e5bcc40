//! Which host is home of which shard: leases granted by a majority of a few
//! voters per shard, renewed in batches, and handed over on planned changes.
//! `docs/design/home-leases.md` weighs this against other ways.

pub mod eras;
pub mod holders;
pub mod incoming;
pub mod leases;
pub mod outgoing;
pub mod ranking;
pub mod voters;

use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{
    HandOverCommit, HandOverId, HolderNotice, HomeMessage, LeaseGrant, LeaseRelease, LeaseRequest,
    ShardSet,
};
use cardamomwinch_state::prelude::{
    ConfigurationLimits, DomainId, HostId, HostListVersion, HostTable, Incarnation, ShardId,
    SortedVector, Timestamp,
};

use crate::control::event::TakeOverReport;
use crate::control::homes::holders::HolderTable;
use crate::control::homes::incoming::{ImportedHandOver, IncomingTable};
use crate::control::homes::leases::{InheritedRecords, LeaseTable};
use crate::control::homes::outgoing::{OutgoingHandOver, OutgoingTable};
use crate::control::homes::voters::{CandidateLife, VoterTable};
use crate::control::membership::PeerMembership;
use crate::identity::HostIdentity;
use crate::snapshot::{ServingPhase, ShardView};

/// A lease is renewed this often while it runs.
const RENEWALS_PER_LEASE: u32 = 3;
/// How often a host tells one host of another domain what it holds.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Releases are repeated at this interval, and for this long.
const RELEASE_INTERVAL: time::Duration = time::Duration::from_millis(100);
const RELEASE_LIMIT: time::Duration = time::Duration::from_millis(350);
/// A host that stops is drained after this time at the latest.
pub const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);
/// A cold host is unsure of earlier voters for this many leases.
const UNSURE_LEASES: u32 = 2;

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
    /// The homes changed, so that a new snapshot is due.
    Publish,
    /// This host stops and holds nothing any more.
    Drained,
}

#[derive(Debug, Clone, Copy)]
struct ShardClaim {
    host: HostId,
    heard: Timestamp,
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
    releases: SortedVector<ShardId, Timestamp>,
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
                .be_unsure_until(started.after(lease * UNSURE_LEASES));
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
            self.voters.sweep(now);
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
        self.finish_stop(now, out);
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
            HomeMessage::Holders(notice) => self.holders.take_notice(now, world, host, notice),
            HomeMessage::HandOver(chunk) => {
                let own = chunk.hand_over.shard.domain == world.identity.domain;
                if own && world.is_serving() && world.may_hold() {
                    self.incoming.take_chunk(now, host, chunk.clone(), out);
                }
            }
            HomeMessage::Received(receipt) => {
                if let Some(ready) = self.outgoing.take_receipt(now, host, *receipt) {
                    self.commit(now, world, ready, out);
                }
            }
            HomeMessage::Commit(commit) => self.incoming.take_commit(host, *commit, out),
            HomeMessage::Committed(id) => self.outgoing.confirm(host, *id),
        }
    }

    /// Sends on what the traffic thread has given out.
    pub fn take_exported(
        &mut self,
        now: Timestamp,
        chunk: HandOverChunk,
        out: &mut Vec<HomeAction>,
    ) {
        self.outgoing.take_chunk(now, chunk, out);
    }

    /// Notes that the traffic thread has taken a chunk in.
    pub fn take_imported(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        report: TakeOverReport,
        out: &mut Vec<HomeAction>,
    ) {
        let imported = self.incoming.note_imported(report);
        let Some(ImportedHandOver {
            commit,
            records_since,
        }) = imported
        else {
            return;
        };
        // A third host could hold the shard, and let its lease run out, only
        // after a whole lease from the release on; later than that, records may
        // be missing here.
        let limits = world.limits;
        let valid_until = commit
            .released
            .after(limits.home_lease)
            .before(limits.clock_skew);
        let inherited = InheritedRecords {
            records_since,
            valid_until,
        };
        let shard = report.hand_over.shard;
        self.leases.inherit(shard, inherited);
        self.request(now, world, &[shard], out);
    }

    fn take_request(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        sender: CandidateLife,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let Some(grant) = self.voters.decide(now, world, sender, request) else {
            return;
        };
        let host = sender.host;
        out.push(HomeAction::Send {
            host,
            message: HomeMessage::Grant(grant),
        });
        let domain = world.hosts.get(host).map(|entry| entry.domain);
        if domain != Some(world.identity.domain) || request.shard_count != self.shard_count {
            return;
        }
        let until = now.after(world.limits.home_lease);
        self.holders.note_stopping(host, request.stopping, until);
        let (held, count) = (&request.held, request.shard_count);
        let domain = world.identity.domain;
        self.holders.learn(host, domain, held, count, until);
        self.leases.learn_settled(request);
        let wanted = request
            .wanted
            .iter(count)
            .filter(|index| !held.contains(*index));
        for index in wanted {
            let heard = now;
            let claim = ShardClaim { host, heard };
            self.claims.insert(ShardId { domain, index }, claim);
        }
    }

    fn take_grant(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        voter: HostId,
        grant: &LeaseGrant,
        out: &mut Vec<HomeAction>,
    ) {
        let begun = self.leases.take_grant(now, world, voter, grant);
        if !begun.is_empty() {
            out.push(HomeAction::Publish);
        }
    }

    /// Asks voters for what this host holds, and for what it should.
    fn ask(&mut self, now: Timestamp, world: &HomeWorld<'_>, out: &mut Vec<HomeAction>) {
        let candidates = self.holders.candidates(now, world, world.identity.domain);
        let shards: Vec<ShardId> = self.leases.shards().collect();
        let wanted: Vec<ShardId> = shards
            .into_iter()
            .filter(|shard| {
                let held = self.leases.lease(now, *shard).is_some();
                let best = ranking::best(&candidates, *shard) == Some(world.identity.host);
                held || (best && !self.incoming.awaits(*shard))
            })
            .collect();
        self.request(now, world, &wanted, out);
    }

    fn request(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        wanted: &[ShardId],
        out: &mut Vec<HomeAction>,
    ) {
        if wanted.is_empty() {
            return;
        }
        self.releases.retain(|shard, _| !wanted.contains(shard));
        let mut asked: SortedVector<HostId, Vec<ShardId>> = SortedVector::new();
        for shard in wanted {
            let holder = self.holders.learnt(now, world, *shard);
            let mut hosts = self.leases.voters(*shard);
            hosts.extend(holder.filter(|holder| !hosts.contains(holder)));
            for host in hosts {
                asked.get_or_insert_with(host, Vec::new).push(*shard);
            }
        }
        let round = self.leases.open_round(now, world.limits);
        for (host, shards) in asked.iter() {
            let request = self.leases.request(now, world, round, shards);
            if *host == world.identity.host {
                self.vote_for_self(now, world, &request, out);
                continue;
            }
            out.push(HomeAction::Send {
                host: *host,
                message: HomeMessage::Request(request),
            });
        }
    }

    fn vote_for_self(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        request: &LeaseRequest,
        out: &mut Vec<HomeAction>,
    ) {
        let grant = self.voters.decide(now, world, world.life(), request);
        if let Some(grant) = grant {
            self.take_grant(now, world, world.identity.host, &grant, out);
        }
    }

    fn begin_hand_overs(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let leaving = world.is_stopping() || !world.may_hold();
        let candidates = self.holders.candidates(now, world, world.identity.domain);
        let others: Vec<HostId> = candidates
            .into_iter()
            .filter(|host| *host != world.identity.host)
            .filter(|host| !self.outgoing.is_avoided(now, *host))
            .collect();
        let held: Vec<ShardId> = self.leases.held(now).collect();
        for shard in held {
            if !self.outgoing.may_begin(shard) {
                continue;
            }
            let successor = match leaving {
                true => ranking::best(&others, shard),
                false => self.better_claimant(now, world, &others, shard),
            };
            if let Some(successor) = successor {
                self.outgoing.begin(now, shard, successor, out);
            }
        }
    }

    /// A host that ranks before this one and has asked for the shard of late.
    fn better_claimant(
        &self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        others: &[HostId],
        shard: ShardId,
    ) -> Option<HostId> {
        let claim = self.claims.get(&shard)?;
        let recent = now.since(claim.heard) < world.limits.home_lease;
        let own = world.identity.host;
        let better = ranking::best(&[own, claim.host], shard) == Some(claim.host);
        let fit = recent && better && others.contains(&claim.host);
        fit.then_some(claim.host)
    }

    /// Gives the lease up, in this order: from here on this host does not act
    /// on it, the traffic thread forgets the shard, the successor may use what
    /// it has put by, the voters may grant the shard to it.
    fn commit(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        ready: OutgoingHandOver,
        out: &mut Vec<HomeAction>,
    ) {
        let shard = ready.id.shard;
        let Some(lease) = self.leases.lease(now, shard) else {
            return;
        };
        self.leases.give_up(shard);
        self.claims.remove(&shard);
        out.push(HomeAction::ForgetShard { shard });
        out.push(HomeAction::Publish);
        let commit = HandOverCommit {
            hand_over: ready.id,
            released: now,
            records_since: lease.records_since,
        };
        self.outgoing.commit(now, ready.successor, commit, out);
        let until = now.after(world.limits.home_lease);
        let shards: ShardSet = std::iter::once(shard.index).collect();
        let (domain, count) = (shard.domain, self.shard_count);
        self.holders
            .learn(ready.successor, domain, &shards, count, until);
        self.releases.insert(shard, now);
        self.send_releases(now, world, &[shard], out);
    }

    fn send_releases(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        shards: &[ShardId],
        out: &mut Vec<HomeAction>,
    ) {
        self.next_release = now.after(RELEASE_INTERVAL);
        let mut told: SortedVector<HostId, ShardSet> = SortedVector::new();
        for shard in shards {
            for host in self.leases.voters(*shard) {
                told.get_or_insert_with(host, ShardSet::default)
                    .insert(shard.index);
            }
        }
        if told.is_empty() {
            return;
        }
        let round = self.leases.next_round();
        for (host, shards) in told.iter() {
            let shards = shards.clone();
            let release = LeaseRelease { round, shards };
            if *host == world.identity.host {
                self.voters.release(world, world.life(), &release);
                continue;
            }
            out.push(HomeAction::Send {
                host: *host,
                message: HomeMessage::Release(release),
            });
        }
    }

    /// Repeats releases that may have been lost: a voter that missed one keeps
    /// the successor out for the rest of a lease.
    fn repeat_releases(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        self.releases
            .retain(|_, released| now.since(*released) < RELEASE_LIMIT);
        if now < self.next_release {
            return;
        }
        let shards: Vec<ShardId> = self.releases.keys().copied().collect();
        self.send_releases(now, world, &shards, out);
    }

    /// Asks at once again for shards that were handed over to this host: the
    /// release may reach the voters after the first request.
    fn ask_for_inherited(
        &mut self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let shards: Vec<ShardId> = self.leases.inherited(now).collect();
        self.request(now, world, &shards, out);
    }

    fn send_notice(&mut self, now: Timestamp, world: &HomeWorld<'_>, out: &mut Vec<HomeAction>) {
        if now < self.next_notice {
            return;
        }
        self.next_notice = now.after(NOTICE_INTERVAL);
        let domain = world.identity.domain;
        let held = self.leases.held(now).map(|shard| shard.index).collect();
        let hosts = world.hosts.hosts.values();
        let others: Vec<HostId> = hosts
            .filter(|entry| entry.domain != domain)
            .map(|entry| entry.id)
            .collect();
        if others.is_empty() {
            return;
        }
        self.notices = self.notices.wrapping_add(1);
        let notice = HolderNotice {
            domain,
            shard_count: self.shard_count,
            held,
        };
        out.push(HomeAction::Send {
            host: others[self.notices % others.len()],
            message: HomeMessage::Holders(notice),
        });
    }

    fn finish_stop(&mut self, now: Timestamp, out: &mut Vec<HomeAction>) {
        let Some(stop_by) = self.stop_by else {
            return;
        };
        if now >= stop_by {
            // Nobody took the rest. The leases run out by themselves; to end
            // them early would let a successor begin without the records.
            self.leases.give_up_all();
        }
        let empty = self.leases.held(now).next().is_none() && self.outgoing.is_idle();
        if !self.drained && (empty || now >= stop_by) {
            self.drained = true;
            out.push(HomeAction::Publish);
            out.push(HomeAction::Drained);
        }
    }

    /// Works out the homes anew, for a snapshot.
    pub fn refresh(&mut self, now: Timestamp, world: &HomeWorld<'_>) {
        let mut views = SortedVector::new();
        for domain in domains(world.hosts) {
            let forecast = self.holders.forecast(now, world, domain).to_vec();
            for (index, expected) in (0..).zip(forecast) {
                let shard = ShardId { domain, index };
                views.insert(shard, self.view(now, world, shard, expected));
            }
        }
        self.views = views;
    }

    fn view(
        &self,
        now: Timestamp,
        world: &HomeWorld<'_>,
        shard: ShardId,
        expected: Option<HostId>,
    ) -> ShardView {
        let lease = self.leases.lease(now, shard);
        let home = match lease {
            Some(_) => Some(world.identity.host),
            None => self.holders.learnt(now, world, shard).or(expected),
        };
        ShardView { home, lease }
    }
}

fn domains(hosts: &HostTable) -> Vec<DomainId> {
    let mut domains: Vec<DomainId> = hosts.hosts.values().map(|host| host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

impl CandidateLife {
    /// The life of `host` that bears `incarnation`.
    pub const fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}
