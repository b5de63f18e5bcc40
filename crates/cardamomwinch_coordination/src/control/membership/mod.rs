//! Who is reachable. The published list says who may be; probes say who is.
//!
//! Each host watches the two neighbours that it has on a ring of its own
//! failure domain, and keeps a link to each other domain by probing its hosts
//! in turn. What it learns spreads as rumours on those messages; a slow
//! exchange repairs what rumours missed. The cost per host does not depend on
//! the number of hosts. `docs/design/membership.md` weighs the other ways.
//!
//! Only the neighbours of a host, in its own domain, may claim that it is dead.
//! Silence of a whole other domain is a cut, not many deaths.

mod exchange;
mod fleet_view;
mod jitter;
mod links;
mod members;
mod named_lists;
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
use crate::control::membership::members::MemberTable;
use crate::control::membership::named_lists::NamedLists;
use crate::control::membership::peers::PeerTable;
use crate::control::membership::receiving::IndirectDuties;
use crate::control::membership::ring::RingProbes;
use crate::control::membership::rumours::RumourQueue;
use crate::identity::HostIdentity;

pub use crate::control::membership::members::Reachability;
pub use crate::control::membership::peers::{PeerRejection, PeerState};

/// A host that hears of nobody for this long takes itself to be cut off from
/// all others, and nobody to be reachable.
pub const ISOLATED_AFTER: time::Duration = time::Duration::from_millis(1200);
/// A time without a tick from which on a host takes itself to have slept.
pub const SLEEP_GAP: time::Duration = time::Duration::from_millis(1000);

/// An answer that gives no digest means the one of the ping. It is taken to be
/// the present one if that has been so for this long.
const DIGEST_SETTLED: time::Duration = time::Duration::from_millis(1000);

/// What decisions about membership are taken against.
#[derive(Debug, Clone, Copy)]
pub struct MembershipContext<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The host that decides.
    pub identity: HostIdentity,
    /// The published list that it has accepted.
    pub hosts: &'a HostTable,
    /// What it says of the configuration it has accepted.
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
    /// A host became this.
    Host {
        /// The host.
        host: HostId,
        /// What it is now.
        reachability: Reachability,
    },
    /// A failure domain was cut off from this host, or is no longer.
    Domain {
        /// The failure domain.
        domain: DomainId,
        /// Whether it can be reached now.
        reachable: bool,
    },
}

/// What a decision about membership led to.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct MembershipOutput {
    /// Messages to send, in order.
    pub sends: Vec<MembershipSend>,
    /// Changes to log, in order.
    pub events: Vec<MembershipEvent>,
}

/// The hosts of the list and what is known about each.
#[derive(Debug, Default)]
pub struct PeerMembership {
    sequence: u64,
    refutation: RefutationCount,
    peers: PeerTable,
    members: MemberTable,
    view: FleetView,
    lists: NamedLists,
    ring: RingProbes,
    links: DomainLinks,
    rumours: RumourQueue,
    exchange: ExchangeSchedule,
    duties: IndirectDuties,
    jitter: JitterSource,
    last_tick: Option<Timestamp>,
    /// The sequence number of this host when it last woke from a sleep, until
    /// a ping sent after that is answered.
    unconfirmed: Option<u64>,
    last_heard: Timestamp,
    next_revival: Timestamp,
    digest: ConfigurationDigest,
    digest_since: Timestamp,
    events: Vec<MembershipEvent>,
}

impl PeerMembership {
    /// The next sequence number of this host's own messages.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Takes any message of a peer as a sign of life.
    ///
    /// # Errors
    /// Guards against replayed messages: one of an earlier life, or whose
    /// sequence number was taken before or lies too far back to tell, is
    /// refused.
    pub fn note(&mut self, now: Timestamp, envelope: &PeerEnvelope) -> Result<(), PeerRejection> {
        self.observe_time(now);
        self.peers.note(now, envelope)?;
        self.last_heard = now;
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
        self.learn(host, standing);
        if !self.members.is_dead(host) {
            self.set_suspect(host, false);
        }
        if let Some(domain) = self.view.domain_of(host)
            && self.links.heard(domain, now)
        {
            self.events.push(MembershipEvent::Domain {
                domain,
                reachable: true,
            });
            self.exchange.hasten(now, &mut self.jitter);
            self.exchange.prefer(host);
        }
        Ok(())
    }

    /// What `host` itself has said, if it was heard of directly.
    pub fn get(&self, host: HostId) -> Option<&PeerState> {
        self.peers.get(host)
    }

    /// What is believed of `host`. Of a domain that is cut off, and while this
    /// host hears of nobody, it is what was believed last.
    pub fn reachability(&self, host: HostId) -> Reachability {
        self.members.reachability(host)
    }

    /// The life of `host` that was heard of last, from itself or from others.
    pub fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        let standing = self.members.standing(host);
        standing.map(|standing| standing.incarnation)
    }

    /// Whether `host` answers, as far as is known: it is alive or only suspect,
    /// its failure domain is not cut off from here, and neither is this host.
    pub fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        let domain = self.view.domain_of(host);
        let state = self.members.reachability(host);
        matches!(state, Reachability::Alive | Reachability::Suspect)
            && !domain.is_some_and(|domain| self.links.is_cut(domain))
            && !self.is_isolated(now)
    }

    /// Whether all hosts of `domain` are silent while others answer.
    pub fn is_cut_off(&self, domain: DomainId) -> bool {
        self.links.is_cut(domain)
    }

    /// Whether nobody was heard of lately, or not since this host slept.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        self.unconfirmed.is_some() || now.since(self.last_heard) >= ISOLATED_AFTER
    }

    /// Merges a claim about another host, and spreads it where it is news.
    fn learn(&mut self, host: HostId, standing: HostStanding) -> bool {
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

    fn observe_digest(&mut self, context: &MembershipContext<'_>) {
        if self.digest != context.digest {
            self.digest = context.digest;
            self.digest_since = context.now;
        }
    }

    /// Takes the digest of a peer that answered a ping without giving one.
    fn note_same_digest(&mut self, now: Timestamp, host: HostId) {
        if now.since(self.digest_since) >= DIGEST_SETTLED {
            self.peers.set_digest(host, self.digest);
        }
    }

    /// Guards against a process that was paused: its probes would all have run
    /// out in its sleep, so that it would claim its neighbours dead, and it
    /// would spread rumours that are long refuted. It shows as a time without a
    /// tick. Everything on its way is dropped, and nobody is reachable until a
    /// ping sent after the sleep is answered: what the socket held meanwhile
    /// says nothing about the present.
    fn observe_time(&mut self, now: Timestamp) {
        let slept = |tick: Timestamp| now.since(tick) >= SLEEP_GAP;
        if !self.last_tick.is_some_and(slept) {
            return;
        }
        self.unconfirmed = Some(self.sequence);
        self.ring.clear();
        self.rumours.clear();
        self.duties.clear();
        self.links.restart(now);
        self.exchange.hasten(now, &mut self.jitter);
        for host in self.members.suspects() {
            self.set_suspect(host, false);
        }
    }

    /// Takes the answer to the ping numbered `sequence`.
    fn confirm(&mut self, sequence: u64) {
        if self.unconfirmed.is_some_and(|woken| sequence > woken) {
            self.unconfirmed = None;
        }
    }
}
