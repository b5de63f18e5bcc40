//! Decides what is in force, which hosts are reachable, and who is home of
//! what; publishes the result as snapshots for the traffic threads.

pub mod adoption;
mod decision_records;
pub mod effect;
pub mod event;
pub mod health;
pub(crate) mod home_dispatch;
pub mod homes;
pub mod membership;
mod peer_messages;
pub(crate) mod publication;

use std::sync;
use std::time;

use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::prelude::PeerMessage;
use cardamomwinch_state::prelude::{
    ConfigurationVersion, DomainId, InForceConfiguration, SortedVector, Timestamp,
};

use crate::bounds;
use crate::control::adoption::ConfigurationAdoption;
use crate::control::adoption::effect::AdoptionEffect;
use crate::control::adoption::refusal::RefusedDocument;
use crate::control::effect::{ControlEffect, ControlSink};
use crate::control::event::{ControlEvent, PlatformOutcome};
use crate::control::health::{HealthTable, HealthTurn};
use crate::control::homes::HomeTable;
use crate::control::membership::{MembershipOutput, PeerMembership};
use crate::control::publication::SnapshotPublisher;
use crate::counter::Counter;
use crate::identity::HostIdentity;
use crate::snapshot::ServingPhase;

/// A host that hears nobody for this long does not act on what it believes.
/// Peers send several times a second, so that loss alone never lasts as long.
const CONTACT_LIMIT: time::Duration = time::Duration::from_secs(2);

/// The control decisions of one host.
#[derive(Debug)]
pub struct ControlEngine {
    identity: HostIdentity,
    phase: ServingPhase,
    adoption: ConfigurationAdoption,
    membership: PeerMembership,
    homes: HomeTable,
    health: HealthTable,
    publisher: SnapshotPublisher,
    last_event: Option<Timestamp>,
    /// When a peer or the platform was last heard.
    last_contact: Timestamp,
    /// Whether the last snapshot was published as confirmed.
    published_confirmed: bool,
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
            adoption: ConfigurationAdoption::new(identity),
            membership: PeerMembership::default(),
            homes: HomeTable::default(),
            health: HealthTable::default(),
            publisher: SnapshotPublisher::default(),
            last_event: None,
            last_contact: Timestamp::ZERO,
            published_confirmed: false,
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

    /// Published documents that are not in force, and why.
    pub fn refused_fragments(&self) -> Vec<RefusedDocument> {
        self.adoption.refused()
    }

    /// Decides about `event` at `now` and gives the effects to `sink`.
    pub fn handle<S: ControlSink>(&mut self, now: Timestamp, event: ControlEvent, sink: &mut S) {
        self.note_home_event(now);
        self.note_gap(now, sink);
        match event {
            ControlEvent::Start => {
                let mut effects = Vec::new();
                self.adoption.start(now, &mut effects);
                self.apply(now, effects, sink);
            }
            ControlEvent::Tick => self.tick(now, sink),
            ControlEvent::Peer(envelope) => self.take_peer(now, &envelope, sink),
            ControlEvent::Platform(outcome) => self.take_platform(now, outcome, sink),
            ControlEvent::Load { backend, result } => {
                self.health.take_load(now, backend, result);
                self.review_health(now, sink);
            }
            ControlEvent::Observed(observations) => {
                self.health.take_observations(now, &observations);
            }
            ControlEvent::HandOver(chunk) => self.take_exported(now, chunk, sink),
            ControlEvent::TookOver(report) => self.take_imported(now, report, sink),
            ControlEvent::Stop => {
                self.phase = ServingPhase::Stopping;
                self.stop_homes(now, sink);
                self.publish(now, sink);
            }
        }
    }

    /// Guards against acting on old beliefs after the process was paused or
    /// the control thread hung: events are further apart than ticks ever are,
    /// so that what happened meanwhile may have been missed. Snapshots
    /// do not count again before what is accepted was compared with others.
    fn note_gap<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let last = self.last_event.replace(now);
        let slept = last.is_some_and(|last| now.since(last) > bounds::SLEEP_GAP);
        if slept {
            self.adoption.note_sleep(now);
            sink.emit(ControlEffect::Count(Counter::WokeLate));
            self.publish(now, sink);
        }
    }

    fn tick<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        if self.adoption.is_confirmed() && now >= self.trusted_until() {
            self.adoption.note_sleep(now);
        }
        let mut effects = Vec::new();
        self.adoption.tick(now, &self.membership, &mut effects);
        self.apply(now, effects, sink);
        let mut output = MembershipOutput::default();
        let context = peer_messages::membership_context(now, self.identity, &self.adoption);
        self.membership.tick(&context, &mut output);
        self.apply_membership(now, output, sink);
        self.advance_homes(now, sink);
        self.ask_loads(now, sink);
        self.review_health(now, sink);
        self.publish(now, sink);
    }

    fn ask_loads<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let configuration = self.publisher.configuration();
        self.health.follow(now, configuration, self.homes.shards());
        for question in self.health.due_questions(now, configuration) {
            sink.emit(ControlEffect::AskLoad {
                backend: question.backend,
                address: question.address,
            });
        }
    }

    /// Judges the servers anew; what changed is in force at once.
    fn review_health<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let changes = self.health.review(now, self.publisher.configuration());
        if changes.is_empty() {
            return;
        }
        for change in changes {
            sink.emit(ControlEffect::Count(match change.turn {
                HealthTurn::Ejected => Counter::BackendEjected,
                HealthTurn::Returned => Counter::BackendReturned,
                HealthTurn::Draining => Counter::BackendDraining,
                HealthTurn::DrainingEnded => Counter::BackendDrainingEnded,
            }));
            let record = self.health_record(now, change);
            sink.emit(ControlEffect::Decide(record));
        }
        self.publish(now, sink);
    }

    fn take_platform<S: ControlSink>(
        &mut self,
        now: Timestamp,
        outcome: PlatformOutcome,
        sink: &mut S,
    ) {
        let mut effects = Vec::new();
        self.platform.reachable = outcome.result.is_ok();
        if outcome.result.is_ok() {
            self.last_contact = now;
        }
        self.adoption
            .take_platform(now, outcome, &self.membership, &mut effects);
        self.apply(now, effects, sink);
    }

    /// Carries out what adoption wants done, in its order.
    fn apply<S: ControlSink>(
        &mut self,
        now: Timestamp,
        effects: Vec<AdoptionEffect>,
        sink: &mut S,
    ) {
        let mut changed = false;
        for effect in effects {
            match effect {
                AdoptionEffect::Call(request) => sink.emit(ControlEffect::Platform(request)),
                AdoptionEffect::Tell {
                    host,
                    address,
                    message,
                } => {
                    let message = PeerMessage::Configuration(message);
                    match address {
                        Some(address) => self.send_to(host, address, message, sink),
                        None => self.send(host, message, sink),
                    }
                }
                AdoptionEffect::TellEarlier { host } => {
                    let tables = self.publisher.earlier_tables();
                    let message = ConfigurationMessage::Earlier(tables);
                    self.send(host, PeerMessage::Configuration(message), sink);
                }
                AdoptionEffect::Earlier(tables) => {
                    self.publisher.learn(tables);
                    changed = true;
                }
                AdoptionEffect::Count(counter) => {
                    let stale = u64::from(counter == Counter::PlatformStale);
                    self.platform.stale_answers += stale;
                    sink.emit(ControlEffect::Count(counter));
                }
                AdoptionEffect::Refused(document) => sink.emit(ControlEffect::Refused(document)),
                AdoptionEffect::Hosts => changed = true,
                AdoptionEffect::InForce(resolution) => {
                    let resolution = *resolution;
                    self.domain_names = resolution.domain_names.clone();
                    let earlier = self.publisher.configuration();
                    self.health
                        .note_configuration(now, earlier, &resolution.configuration);
                    self.publisher
                        .adopt(now, resolution.configuration, resolution.domain_names);
                    let record = self.adopted_record(now);
                    sink.emit(ControlEffect::Decide(record));
                    changed = true;
                }
            }
        }
        // What was awaited may have been confirmed without any change.
        if changed || self.adoption.is_confirmed() != self.published_confirmed {
            self.publish(now, sink);
        }
    }

    /// Guards against a host that is cut off from every other and from the
    /// platform: by its address table it would go on sending packets to servers
    /// whose address has been given to another service meanwhile. It shows as
    /// silence of all of them, and once one is heard again what is accepted is
    /// compared first, as after a sleep. The hosts of a domain that is cut off as a whole
    /// still hear each other and serve on; so does the only host of a domain,
    /// since nobody else could. A host that is not listed any more is heard by
    /// nobody, and its silence tells nothing.
    fn trusted_until(&self) -> Timestamp {
        let hosts = self.adoption.hosts();
        let listed = hosts.get(self.identity.host).is_some();
        match hosts.in_domain(self.identity.domain).count() {
            2.. if listed => self.last_contact.after(CONTACT_LIMIT),
            _ => Timestamp::MAX,
        }
    }

    fn publish<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let hosts = self.adoption.hosts();
        let adopted = self.adoption.version() > ConfigurationVersion::ZERO;
        if self.phase == ServingPhase::Starting
            && adopted
            && self.adoption.is_confirmed()
            && hosts.get(self.identity.host).is_some()
        {
            self.phase = ServingPhase::Serving;
        }
        self.refresh_homes(now);
        let mut snapshot = self.publisher.make(
            now,
            self.identity,
            self.phase,
            self.adoption.shared_hosts(),
            &self.homes,
            &self.membership,
        );
        snapshot.backends = self.health.views(now);
        self.published_confirmed = self.adoption.is_confirmed();
        if !self.published_confirmed {
            // Guards against routing by beliefs that went stale while the host
            // slept: a snapshot that was never fresh makes traffic threads
            // hand datagrams on to peers.
            snapshot.fresh_until = Timestamp::ZERO;
        }
        sink.emit(ControlEffect::Publish(sync::Arc::new(snapshot)));
    }
}
