//! Decides which configuration is in force, which hosts are reachable and which
//! host is the home of each shard, and publishes the result as snapshots for
//! the traffic threads.

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
use crate::control::health::{HealthTable, HealthTransition};
use crate::control::homes::HomeTable;
use crate::control::membership::{MembershipOutput, PeerMembership};
use crate::control::publication::SnapshotPublisher;
use crate::counter::Counter;
use crate::identity::HostIdentity;
use crate::snapshot::ServingPhase;

/// A host that has received nothing from peers or the platform for this long no
/// longer acts on its accepted state until that state is confirmed again. Peers
/// send several times a second, so packet loss alone does not cause such a gap.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

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
    /// When the last message of a peer or answer of the platform was received.
    last_contact: Timestamp,
    /// Whether the configuration was confirmed when the last snapshot was
    /// published.
    published_confirmed: bool,
    domain_names: SortedVector<DomainId, String>,
    platform: PlatformHealth,
}

/// The state of calls to the platform.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PlatformHealth {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// The number of answers that were older than what was already accepted.
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

    /// The identity of this host.
    pub fn identity(&self) -> HostIdentity {
        self.identity
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &InForceConfiguration {
        self.publisher.configuration()
    }

    /// The state of calls to the platform.
    pub fn platform_health(&self) -> PlatformHealth {
        self.platform
    }

    /// The name of a failure domain, or its identifier if no fragment names it.
    pub fn domain_name(&self, domain: DomainId) -> String {
        let name = self.domain_names.get(&domain);
        name.cloned().unwrap_or_else(|| domain.to_string())
    }

    /// The serving phase of the host.
    pub fn phase(&self) -> ServingPhase {
        self.phase
    }

    /// The accepted documents and the state of their adoption.
    pub fn adoption(&self) -> &ConfigurationAdoption {
        &self.adoption
    }

    /// The reachability of the other hosts.
    pub fn membership(&self) -> &PeerMembership {
        &self.membership
    }

    /// The homes of the shards.
    pub fn homes(&self) -> &HomeTable {
        &self.homes
    }

    /// The published documents that were refused, and why.
    pub fn refused_fragments(&self) -> Vec<RefusedDocument> {
        self.adoption.refused()
    }

    /// Handles `event` at `now` and emits the effects into `sink`.
    pub fn handle<S: ControlSink>(&mut self, now: Timestamp, event: ControlEvent, sink: &mut S) {
        self.prepare_homes(now);
        self.detect_pause(now, sink);
        match event {
            ControlEvent::Start => {
                let mut effects = Vec::new();
                self.adoption.start(now, &mut effects);
                self.apply_adoption_effects(now, effects, sink);
            }
            ControlEvent::Tick => self.tick(now, sink),
            ControlEvent::Peer(envelope) => self.handle_peer_message(now, &envelope, sink),
            ControlEvent::Platform(outcome) => self.handle_platform_outcome(now, outcome, sink),
            ControlEvent::Load { backend, result } => {
                self.health.handle_load(now, backend, result);
                self.review_health(now, sink);
            }
            ControlEvent::Observed(observations) => {
                self.health.apply_observations(now, &observations);
            }
            ControlEvent::HandOver(chunk) => self.handle_exported_chunk(now, chunk, sink),
            ControlEvent::TookOver(report) => self.handle_import_report(now, report, sink),
            ControlEvent::Stop => {
                self.phase = ServingPhase::Stopping;
                self.stop_homes(now, sink);
                self.publish(now, sink);
            }
        }
    }

    /// Detects that the process was paused or the control thread hung, by a gap
    /// between events that is longer than the interval between ticks. Changes in
    /// this time may have been missed, so snapshots are not fresh until the
    /// accepted state has been compared with that of other hosts or the
    /// platform.
    fn detect_pause<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let last = self.last_event.replace(now);
        let paused = last.is_some_and(|last| now.since(last) > bounds::PAUSE_GAP);
        if paused {
            self.adoption.note_pause(now);
            sink.emit(ControlEffect::Count(Counter::WokeLate));
            self.publish(now, sink);
        }
    }

    fn tick<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        if self.adoption.is_confirmed() && now >= self.trusted_until() {
            self.adoption.note_pause(now);
        }
        let mut effects = Vec::new();
        self.adoption.tick(now, &self.membership, &mut effects);
        self.apply_adoption_effects(now, effects, sink);
        let mut output = MembershipOutput::default();
        let context = peer_messages::membership_context(now, self.identity, &self.adoption);
        self.membership.tick(&context, &mut output);
        self.apply_membership(now, output, sink);
        self.advance_homes(now, sink);
        self.probe_loads(now, sink);
        self.review_health(now, sink);
        self.publish(now, sink);
    }

    fn probe_loads<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let configuration = self.publisher.configuration();
        self.health.track(now, configuration, self.homes.shards());
        for probe in self.health.due_probes(now, configuration) {
            sink.emit(ControlEffect::ProbeLoad {
                backend: probe.backend,
                address: probe.address,
            });
        }
    }

    /// Evaluates the health of the servers again and publishes changes
    /// immediately.
    fn review_health<S: ControlSink>(&mut self, now: Timestamp, sink: &mut S) {
        let changes = self.health.review(now, self.publisher.configuration());
        if changes.is_empty() {
            return;
        }
        for change in changes {
            sink.emit(ControlEffect::Count(match change.transition {
                HealthTransition::Ejected => Counter::BackendEjected,
                HealthTransition::Returned => Counter::BackendReturned,
                HealthTransition::Draining => Counter::BackendDraining,
                HealthTransition::DrainingEnded => Counter::BackendDrainingEnded,
            }));
            let record = self.health_record(now, change);
            sink.emit(ControlEffect::Decide(record));
        }
        self.publish(now, sink);
    }

    fn handle_platform_outcome<S: ControlSink>(
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
            .handle_platform_outcome(now, outcome, &self.membership, &mut effects);
        self.apply_adoption_effects(now, effects, sink);
    }

    /// Carries out the effects of adoption in order.
    fn apply_adoption_effects<S: ControlSink>(
        &mut self,
        now: Timestamp,
        effects: Vec<AdoptionEffect>,
        sink: &mut S,
    ) {
        let mut changed = false;
        for effect in effects {
            match effect {
                AdoptionEffect::Call(request) => sink.emit(ControlEffect::Platform(request)),
                AdoptionEffect::Send {
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
                AdoptionEffect::SendEarlierTables { host } => {
                    let tables = self.publisher.earlier_tables();
                    let message = ConfigurationMessage::Earlier(tables);
                    self.send(host, PeerMessage::Configuration(message), sink);
                }
                AdoptionEffect::ApplyEarlierTables(tables) => {
                    self.publisher.merge_earlier_tables(tables);
                    changed = true;
                }
                AdoptionEffect::Count(counter) => {
                    let stale = u64::from(counter == Counter::PlatformStale);
                    self.platform.stale_answers += stale;
                    sink.emit(ControlEffect::Count(counter));
                }
                AdoptionEffect::Refused(document) => sink.emit(ControlEffect::Refused(document)),
                AdoptionEffect::HostsChanged => changed = true,
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
        // The accepted state may have been confirmed without any change.
        if changed || self.adoption.is_confirmed() != self.published_confirmed {
            self.publish(now, sink);
        }
    }

    /// The time until which the accepted state may be relied on without further
    /// contact to peers or the platform.
    ///
    /// A host that is cut off from all of them would otherwise continue to send
    /// packets to server addresses that have been assigned to another service
    /// meanwhile. When it has contact again, it first confirms the accepted
    /// state, as after a pause.
    ///
    /// There is no limit for the only host of a domain, because no other host
    /// could serve instead, nor for a host that is no longer listed, because
    /// peers ignore its messages. If a whole domain is cut off, its hosts still
    /// receive messages from each other and continue to serve.
    fn trusted_until(&self) -> Timestamp {
        let hosts = self.adoption.hosts();
        let listed = hosts.get(self.identity.host).is_some();
        match hosts.in_domain(self.identity.domain).count() {
            2.. if listed => self.last_contact.after(CONTACT_TIMEOUT),
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
        let mut snapshot = self.publisher.make_snapshot(
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
            // The state may have become stale during a pause. With a snapshot
            // that was never fresh, traffic threads relay datagrams to peers
            // instead of routing them.
            snapshot.fresh_until = Timestamp::ZERO;
        }
        sink.emit(ControlEffect::Publish(sync::Arc::new(snapshot)));
    }
}
