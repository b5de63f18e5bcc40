//! Which hosts are reachable. The published list names the hosts that may run;
//! probes find out which of them answer.
//!
//! The hosts of a failure domain form a ring, on which each host probes its two
//! neighbours. It also probes the hosts of the other domains in turn. Changes
//! spread as rumours, which are attached to these messages; a slower exchange
//! of hashes repairs what rumours missed. The cost per host does not depend on
//! the number of hosts. `docs/design/membership.md` compares this with the
//! alternatives.
//!
//! Only a ring neighbour may claim that a host is dead. If all hosts of another
//! domain stop answering, the domain is marked as cut off and none of its hosts
//! as dead.

mod exchange;
mod fleet_view;
mod jitter;
mod links;
mod list_history;
mod members;
mod peers;
mod receiving;
mod replay_window;
mod ring;
mod rumours;
mod ticking;

use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_protocol::peer::membership::{HostStanding, MembershipMessage};
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{
    DomainId, HostId, HostTable, Incarnation, RefutationCount, Timestamp,
};

use crate::control::membership::exchange::ExchangeSchedule;
use crate::control::membership::fleet_view::FleetView;
use crate::control::membership::jitter::JitterSource;
use crate::control::membership::links::DomainLinks;
use crate::control::membership::list_history::ListHistory;
use crate::control::membership::members::MemberTable;
use crate::control::membership::peers::PeerTable;
use crate::control::membership::receiving::RelayedPings;
use crate::control::membership::ring::RingProbes;
use crate::control::membership::rumours::RumourQueue;
use crate::identity::HostIdentity;

pub use crate::control::membership::members::Reachability;
pub use crate::control::membership::peers::{PeerRejection, PeerState};

/// A host that receives no message for this long considers itself isolated and
/// no other host reachable.
pub const ISOLATED_AFTER: time::Duration = time::Duration::from_millis(1200);
/// A gap between ticks of at least this length means that the process was
/// paused. The gap in [`crate::bounds`] applies to events of any kind instead.
pub const TICK_PAUSE_GAP: time::Duration = time::Duration::from_millis(1000);

/// A pong without a digest means that the peer has the digest of the ping. If
/// the own digest has not changed for this long, the ping carried this digest.
const DIGEST_STABLE_AFTER: time::Duration = time::Duration::from_millis(1000);

/// The state of this host that membership decisions depend on.
#[derive(Debug, Clone, Copy)]
pub struct MembershipContext<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The host that decides.
    pub identity: HostIdentity,
    /// The published list of hosts that it has accepted.
    pub hosts: &'a HostTable,
    /// The digest of the configuration that it has accepted.
    pub digest: ConfigurationDigest,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSend {
    /// The host to send it to.
    pub host: HostId,
    /// The message.
    pub message: MembershipMessage,
}

/// A change for the decision log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The reachability of a host changed.
    Host {
        /// The host.
        host: HostId,
        /// Its new reachability.
        reachability: Reachability,
    },
    /// A failure domain was cut off from this host, or is reachable again.
    Domain {
        /// The failure domain.
        domain: DomainId,
        /// Whether it is reachable now.
        reachable: bool,
    },
}

/// The results of a membership decision.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct MembershipOutput {
    /// Messages to send, in order.
    pub sends: Vec<MembershipSend>,
    /// Changes to log, in order.
    pub events: Vec<MembershipEvent>,
}

/// The membership state of one host: the listed hosts, what is known about each
/// of them, and the probes, rumours and exchanges in progress.
#[derive(Debug, Default)]
pub struct PeerMembership {
    sequence: u64,
    refutation: RefutationCount,
    peers: PeerTable,
    members: MemberTable,
    view: FleetView,
    list_history: ListHistory,
    ring: RingProbes,
    links: DomainLinks,
    rumours: RumourQueue,
    exchange: ExchangeSchedule,
    relayed_pings: RelayedPings,
    jitter: JitterSource,
    last_tick: Option<Timestamp>,
    /// This host's sequence number at the end of the last pause of the process,
    /// until a ping sent after the pause is answered.
    sequence_at_resume: Option<u64>,
    last_received: Timestamp,
    next_lost_probe: Timestamp,
    digest: ConfigurationDigest,
    digest_since: Timestamp,
    events: Vec<MembershipEvent>,
}

impl PeerMembership {
    /// Returns the sequence number for the next message of this host.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Checks a message of any kind for replay and records that its sender is
    /// alive.
    ///
    /// # Errors
    /// Rejects a message of an earlier incarnation, and one whose sequence
    /// number was received before or is too old to know.
    pub fn accept_message(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
    ) -> Result<(), PeerRejection> {
        self.detect_pause(now);
        self.peers.accept_message(now, envelope)?;
        self.last_received = now;
        let host = envelope.sender;
        let refutation = match &envelope.message {
            PeerMessage::Membership(message) => message.header.refutation,
            _ => RefutationCount::ZERO,
        };
        let standing = HostStanding {
            incarnation: envelope.incarnation,
            refutation,
            dead: false,
        };
        self.merge_claim(host, standing);
        if !self.members.is_dead(host) {
            self.set_suspect(host, false);
        }
        if let Some(domain) = self.view.domain_of(host)
            && self.links.record_message(domain, now)
        {
            self.events.push(MembershipEvent::Domain {
                domain,
                reachable: true,
            });
            self.exchange.schedule_soon(now, &mut self.jitter);
            self.exchange.prefer(host);
        }
        Ok(())
    }

    /// What is known from the messages of `host` itself, if any were received.
    pub fn get(&self, host: HostId) -> Option<&PeerState> {
        self.peers.get(host)
    }

    /// The last known reachability of `host`. It is not updated while the domain
    /// of `host` is cut off or this host is isolated.
    pub fn reachability(&self, host: HostId) -> Reachability {
        self.members.reachability(host)
    }

    /// The latest known incarnation of `host`, from its own messages or from
    /// those of others.
    pub fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        let standing = self.members.standing(host);
        standing.map(|standing| standing.incarnation)
    }

    /// Whether `host` is considered reachable: it is alive or suspect, its
    /// failure domain is not cut off, and this host is not isolated.
    pub fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        let domain = self.view.domain_of(host);
        let state = self.members.reachability(host);
        matches!(state, Reachability::Alive | Reachability::Suspect)
            && !domain.is_some_and(|domain| self.links.is_cut(domain))
            && !self.is_isolated(now)
    }

    /// Whether no host of `domain` answers while hosts of other domains do.
    pub fn is_cut_off(&self, domain: DomainId) -> bool {
        self.links.is_cut(domain)
    }

    /// Whether this host has received no message recently, or no answer since
    /// its process was paused.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        self.sequence_at_resume.is_some() || now.since(self.last_received) >= ISOLATED_AFTER
    }

    /// Merges a claim about another host and, if it is new, queues it as a
    /// rumour. Returns whether it was new.
    fn merge_claim(&mut self, host: HostId, standing: HostStanding) -> bool {
        let before = self.members.reachability(host);
        if !self.members.merge(host, standing) {
            return false;
        }
        self.rumours.push(host);
        let reachability = self.members.reachability(host);
        if before != reachability {
            self.events
                .push(MembershipEvent::Host { host, reachability });
        }
        true
    }

    fn set_suspect(&mut self, host: HostId, suspect: bool) {
        if self.members.set_suspect(host, suspect) {
            let reachability = self.members.reachability(host);
            self.events
                .push(MembershipEvent::Host { host, reachability });
        }
    }

    fn track_digest(&mut self, context: &MembershipContext<'_>) {
        if self.digest != context.digest {
            self.digest = context.digest;
            self.digest_since = context.now;
        }
    }

    /// Records the own digest as that of a peer whose pong omitted it.
    fn record_same_digest(&mut self, now: Timestamp, host: HostId) {
        if now.since(self.digest_since) >= DIGEST_STABLE_AFTER {
            self.peers.set_digest(host, self.digest);
        }
    }

    /// Detects a pause of the process by a gap between ticks and resets what is
    /// in progress.
    ///
    /// Without the reset, the probes would seem to have timed out during the
    /// pause: this host would claim that its neighbours are dead, and spread
    /// rumours that were refuted long ago. No host is considered reachable until a ping sent after
    /// the pause is answered, because messages that the socket buffered during
    /// the pause do not show the current state.
    fn detect_pause(&mut self, now: Timestamp) {
        let paused = |tick: Timestamp| now.since(tick) >= TICK_PAUSE_GAP;
        if !self.last_tick.is_some_and(paused) {
            return;
        }
        self.sequence_at_resume = Some(self.sequence);
        self.ring.clear();
        self.rumours.clear();
        self.relayed_pings.clear();
        self.links.reset_probes(now);
        self.exchange.schedule_soon(now, &mut self.jitter);
        for host in self.members.suspects() {
            self.set_suspect(host, false);
        }
    }

    /// Handles the answer to the ping with number `sequence`.
    fn handle_pong(&mut self, sequence: u64) {
        if self
            .sequence_at_resume
            .is_some_and(|resumed| sequence > resumed)
        {
            self.sequence_at_resume = None;
        }
    }
}
