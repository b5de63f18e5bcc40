//! Decides what is in force, which hosts are reachable, and who is home of
//! what; publishes the result as snapshots for the traffic threads.

pub mod adoption;
pub mod effect;
pub mod event;
pub(crate) mod home_dispatch;
pub mod homes;
pub mod membership;
pub(crate) mod publication;

use std::sync;

use cardamomwinch_configuration::resolve::RefusedFragment;
use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::peer::membership::MembershipMessage;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{
    ConfigurationVersion, DomainId, HostId, InForceConfiguration, SortedVector, Timestamp,
};

use crate::control::adoption::{AdoptionOutcome, ConfigurationAdoption};
use crate::control::effect::{ControlEffect, ControlSink};
use crate::control::event::{ControlEvent, PlatformOutcome, PlatformRequest};
use crate::control::homes::HomeTable;
use crate::control::membership::PeerMembership;
use crate::control::publication::SnapshotPublisher;
use crate::counter::Counter;
use crate::decision::{DecisionReason, DecisionRecord};
use crate::identity::HostIdentity;
use crate::snapshot::ServingPhase;

/// The control decisions of one host.
#[derive(Debug)]
pub struct ControlEngine {
    identity: HostIdentity,
    phase: ServingPhase,
    adoption: ConfigurationAdoption,
    membership: PeerMembership,
    homes: HomeTable,
    publisher: SnapshotPublisher,
    refused: Vec<RefusedFragment>,
    domain_names: SortedVector<DomainId, String>,
    platform: PlatformHealth,
}

/// How the platform answers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PlatformHealth {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Answers older than what was accepted already.
    pub stale_answers: u64,
}

impl ControlEngine {
    /// Creates the engine of a host that has just started.
    pub fn new(identity: HostIdentity) -> Self {
        Self {
            identity,
            phase: ServingPhase::Starting,
            adoption: ConfigurationAdoption::default(),
            membership: PeerMembership::default(),
            homes: HomeTable::default(),
            publisher: SnapshotPublisher::default(),
            refused: Vec::new(),
            domain_names: SortedVector::new(),
            platform: PlatformHealth::default(),
        }
    }

    /// Who this host is.
    pub fn identity(&self) -> HostIdentity {
        self.identity
    }

    /// What is in force.
    pub fn configuration(&self) -> &InForceConfiguration {
        self.publisher.configuration()
    }

    /// How the platform answers.
    pub fn platform_health(&self) -> PlatformHealth {
        self.platform
    }

    /// The name of a failure domain, or its identifier where no fragment names it.
    pub fn domain_name(&self, domain: DomainId) -> String {
        let name = self.domain_names.get(&domain);
        name.cloned().unwrap_or_else(|| domain.to_string())
    }

    /// Whether the host serves.
    pub fn phase(&self) -> ServingPhase {
        self.phase
    }

    /// What is accepted.
    pub fn adoption(&self) -> &ConfigurationAdoption {
        &self.adoption
    }

    /// Who is reachable.
    pub fn membership(&self) -> &PeerMembership {
        &self.membership
    }

    /// Who is home of what.
    pub fn homes(&self) -> &HomeTable {
        &self.homes
    }

    /// Fragments that were refused when the version in force was resolved.
    pub fn refused_fragments(&self) -> &[RefusedFragment] {
        &self.refused
    }

    /// Decides about `event` at `now` and gives the effects to `sink`.
    pub fn handle<S: ControlSink>(&mut self, now: Timestamp, event: ControlEvent, sink: &mut S) {
        self.note_home_event(now);
        match event {
            ControlEvent::Start => self.request(ConfigurationAdoption::first_requests(), sink),
            ControlEvent::Tick => self.tick(now, sink),
            ControlEvent::Peer(envelope) => self.take_peer(now, &envelope, sink),
            ControlEvent::Platform(outcome) => self.take_platform(now, outcome, sink),
            ControlEvent::Load { .. } => {}
            ControlEvent::HandOver(chunk) => self.take_exported(now, chunk, sink),
            ControlEvent::TookOver(report) => self.take_imported(now, report, sink),
            ControlEvent::Stop => {
                self.phase = ServingPhase::Stopping;
                self.stop_homes(now, sink);
                self.publish(now, sink);
            }
        }
    }

    fn request<S: ControlSink>(&self, requests: Vec<PlatformRequest>, sink: &mut S) {
        for request in requests {
            sink.emit(ControlEffect::Platform(request));
        }
    }

    fn tick<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let due = self.adoption.due_requests(now);
        self.request(due, sink);
        let completed = self.adoption.adopt_if_complete();
        self.apply(now, completed, sink);
        let hosts = self.adoption.hosts();
        for host in self.membership.due_heartbeats(now, self.identity, hosts) {
            let digest = self.adoption.digest();
            let message = MembershipMessage::Ping { digest };
            self.send(host, PeerMessage::Membership(message), sink);
        }
        self.advance_homes(now, sink);
        self.publish(now, sink);
    }

    fn send<S: ControlSink>(&mut self, host: HostId, message: PeerMessage, sink: &mut S) {
        let Some(entry) = self.adoption.hosts().get(host) else {
            return;
        };
        let address = entry.peer_address;
        let envelope = PeerEnvelope {
            sender: self.identity.host,
            incarnation: self.identity.incarnation,
            sequence: self.membership.next_sequence(),
            message,
        };
        sink.emit(ControlEffect::ToPeer {
            host,
            address,
            envelope,
        });
    }

    fn take_peer<S: ControlSink>(&mut self, now: Timestamp, envelope: &PeerEnvelope, sink: &mut S) {
        if self.adoption.hosts().get(envelope.sender).is_none() {
            return sink.emit(ControlEffect::Count(Counter::PeerUnlisted));
        }
        if self.membership.note(now, envelope).is_err() {
            return sink.emit(ControlEffect::Count(Counter::PeerReplayed));
        }
        match &envelope.message {
            PeerMessage::Membership(message) => self.take_membership(envelope, message, sink),
            PeerMessage::Home(message) => self.take_home(now, envelope, message, sink),
            PeerMessage::Configuration(ConfigurationMessage::Want { .. }) => {}
        }
    }

    fn take_membership<S: ControlSink>(
        &mut self,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        sink: &mut S,
    ) {
        if let MembershipMessage::Ping { .. } = message {
            let sequence = envelope.sequence;
            let digest = self.adoption.digest();
            let answer = MembershipMessage::Pong { sequence, digest };
            self.send(envelope.sender, PeerMessage::Membership(answer), sink);
        }
    }

    fn take_platform<S: ControlSink>(
        &mut self,
        now: Timestamp,
        outcome: PlatformOutcome,
        sink: &mut S,
    ) {
        let mut next = Vec::new();
        self.platform.reachable = outcome.result.is_ok();
        let taken = self.adoption.take(now, outcome, &mut next);
        self.request(next, sink);
        self.apply(now, taken, sink);
    }

    fn apply<S: ControlSink>(&mut self, now: Timestamp, taken: AdoptionOutcome, sink: &mut S) {
        match taken {
            AdoptionOutcome::Nothing => {}
            AdoptionOutcome::Stale => {
                self.platform.stale_answers += 1;
                sink.emit(ControlEffect::Count(Counter::PlatformStale));
            }
            AdoptionOutcome::Failed => sink.emit(ControlEffect::Count(Counter::PlatformFailed)),
            AdoptionOutcome::Refused { .. } => {
                sink.emit(ControlEffect::Count(Counter::DocumentRefused));
            }
            AdoptionOutcome::Hosts => self.publish(now, sink),
            AdoptionOutcome::Configuration(resolution) => {
                self.refused = resolution.refused;
                self.domain_names = resolution.domain_names.clone();
                self.publisher
                    .adopt(resolution.configuration, resolution.domain_names);
                let record = self.adopted_record(now);
                sink.emit(ControlEffect::Decide(record));
                self.publish(now, sink);
            }
        }
    }

    fn adopted_record(&self, now: Timestamp) -> DecisionRecord {
        DecisionRecord {
            time: now,
            host: self.identity.host,
            version: self.adoption.version(),
            reason: DecisionReason::ConfigurationAdopted,
            flow: None,
            service: None,
            backend: None,
            peer: None,
            shard: None,
        }
    }

    fn publish<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let hosts = self.adoption.hosts();
        let adopted = self.adoption.version() > ConfigurationVersion::ZERO;
        if self.phase == ServingPhase::Starting
            && adopted
            && hosts.get(self.identity.host).is_some()
        {
            self.phase = ServingPhase::Serving;
        }
        self.refresh_homes(now);
        let hosts = self.adoption.hosts();
        let snapshot = self.publisher.make(
            now,
            self.identity,
            self.phase,
            hosts,
            &self.homes,
            &self.membership,
        );
        sink.emit(ControlEffect::Publish(sync::Arc::new(snapshot)));
    }
}
