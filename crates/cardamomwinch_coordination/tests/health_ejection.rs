//! Which servers a home ejects, and which it must not eject.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::control::event::LoadFailure;
use cardamomwinch_coordination::control::health::observation::BackendObservation;
use cardamomwinch_coordination::control::health::{HealthChange, HealthTable, HealthTransition};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::snapshot::ShardView;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

const START: Timestamp = Timestamp::new(1_000_000_000_000);
const STEP: time::Duration = time::Duration::from_millis(250);
const HEALTHY: LoadReport = LoadReport {
    busy_slots: 0,
    connections: 0,
    healthy: true,
    draining: false,
    answers: None,
};

/// How a server behaves in a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Endpoint and requests are answered.
    Healthy,
    /// Nothing is answered.
    Silent,
    /// The endpoint answers and reports that the server is healthy; requests are not
    /// answered.
    OnlyEndpoint,
    /// Requests are answered; the endpoint does not.
    OnlyTraffic,
    /// Both are answered, but the endpoint reports that the server is unhealthy.
    ReportsUnhealthy,
    /// Both are answered, and the endpoint reports that the server drains.
    Drains,
}

struct HealthBench {
    table: HealthTable,
    configuration: InForceConfiguration,
    shards: SortedVector<ShardId, ShardView>,
    now: Timestamp,
    behaviors: Vec<Behavior>,
    probes: Vec<usize>,
    /// When each server last answered a request or had none waiting.
    answered: Vec<Timestamp>,
    changes: Vec<HealthChange>,
    ejections: Vec<Timestamp>,
}

fn domain() -> DomainId {
    DomainId::from_name("bud-csepel")
}

fn service() -> ServiceId {
    ServiceId::from_name("benchmark-desk")
}

fn server(index: u16) -> BackendEntry {
    let address = net::SocketAddr::from(([10, 1, 0, 1], 9000 + index));
    let name = format!("bd-{index}");
    BackendEntry {
        id: BackendId::from_parts(service(), &name, address),
        name,
        service: service(),
        domain: domain(),
        address,
        slots: SlotCount::new(2),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    }
}

fn configuration(servers: u16) -> InForceConfiguration {
    let limits = ConfigurationLimits {
        shards_per_domain: 1,
        ..ConfigurationLimits::default()
    };
    InForceConfiguration {
        version: ConfigurationVersion::new(u64::from(servers)),
        limits,
        backends: (0..servers)
            .map(server)
            .map(|entry| (entry.id, entry))
            .collect(),
        ..InForceConfiguration::default()
    }
}

impl HealthBench {
    fn new(servers: u16) -> Self {
        let view = ShardView {
            home: Some(HostId::from_name("bud-csepel-1")),
            lease: Some(HomeLease {
                held_until: Timestamp::MAX,
                records_since: Timestamp::ZERO,
            }),
        };
        let shard = server(0).shard(1);
        Self {
            table: HealthTable::default(),
            configuration: configuration(servers),
            shards: [(shard, view)].into_iter().collect(),
            now: START,
            behaviors: vec![Behavior::Healthy; usize::from(servers)],
            probes: vec![0; usize::from(servers)],
            answered: vec![START; usize::from(servers)],
            changes: Vec::new(),
            ejections: Vec::new(),
        }
    }

    fn position(&self, backend: BackendId) -> usize {
        let positions = 0..self.behaviors.len();
        positions
            .into_iter()
            .find(|index| server(*index as u16).id == backend)
            .unwrap()
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.table
            .track(self.now, &self.configuration, &self.shards);
        for probe in self.table.due_probes(self.now, &self.configuration) {
            let position = self.position(probe.backend);
            self.probes[position] += 1;
            let result = match self.behaviors[position] {
                Behavior::Healthy | Behavior::OnlyEndpoint => Ok(HEALTHY),
                Behavior::Silent | Behavior::OnlyTraffic => Err(LoadFailure),
                Behavior::ReportsUnhealthy => Ok(LoadReport {
                    healthy: false,
                    ..HEALTHY
                }),
                Behavior::Drains => Ok(LoadReport {
                    draining: true,
                    ..HEALTHY
                }),
            };
            self.table.handle_load(self.now, probe.backend, result);
        }
        let observations: Vec<BackendObservation> = (0..self.behaviors.len())
            .map(|index| self.observed(index))
            .collect();
        self.table.apply_observations(self.now, &observations);
        let changes = self.table.review(self.now, &self.configuration);
        let ejected = changes
            .iter()
            .any(|change| change.transition == HealthTransition::Ejected);
        self.ejections.extend(ejected.then_some(self.now));
        self.changes.extend(changes);
    }

    fn observed(&mut self, index: usize) -> BackendObservation {
        // An ejected server gets no more requests that it could leave unanswered.
        let out = self.ejected().contains(&index);
        let behavior = self.behaviors[index];
        let answers = !matches!(behavior, Behavior::Silent | Behavior::OnlyEndpoint);
        if answers || out {
            self.answered[index] = self.now;
        }
        let silent_for = self.now.since(self.answered[index]);
        BackendObservation {
            backend: server(index as u16).id,
            answers: u32::from(answers),
            sheds: 0,
            unanswered: if silent_for.is_zero() { 0 } else { 2 },
            silent_for,
        }
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.step();
        }
    }

    fn ejected(&self) -> Vec<usize> {
        let views = self.table.views(self.now);
        let ejected = views.iter().filter(|(_, view)| view.ejected);
        ejected.map(|(id, _)| self.position(*id)).collect()
    }

    fn warm_percent(&self, index: u16) -> u8 {
        let views = self.table.views(self.now);
        views.get(&server(index).id).unwrap().warm_percent
    }

    fn transitions(&self, transition: HealthTransition) -> usize {
        self.changes
            .iter()
            .filter(|change| change.transition == transition)
            .count()
    }
}

/// One server hangs while three others answer. It must get no new flows after a few
/// seconds, because their callers would get no answer. When it answers again, it must
/// return slowly.
#[test]
fn a_silent_server_among_answering_ones_is_ejected_and_returns_slowly() {
    let mut bench = HealthBench::new(4);
    bench.pass(5);
    assert_eq!(bench.ejected(), Vec::<usize>::new());
    bench.behaviors[1] = Behavior::Silent;
    bench.pass(5);
    assert_eq!(bench.ejected(), [1]);
    bench.behaviors[1] = Behavior::Healthy;
    let mut percents = Vec::new();
    for _ in 0..60 {
        bench.pass(1);
        if bench.ejected().is_empty() {
            percents.push(bench.warm_percent(1));
        }
    }
    assert!(percents[0] < 50, "{percents:?}");
    assert!(percents.is_sorted(), "{percents:?}");
    assert_eq!(percents.last(), Some(&100));
    assert_eq!(bench.transitions(HealthTransition::Ejected), 1);
    assert_eq!(bench.transitions(HealthTransition::Returned), 1);
}

/// The network between this host and all servers of the failure domain is cut, so every
/// server looks dead. None may be ejected: there would be no server to use when the network
/// is back.
#[test]
fn a_network_cut_ejects_no_server() {
    let mut bench = HealthBench::new(4);
    bench.pass(5);
    bench.behaviors = vec![Behavior::Silent; 4];
    bench.pass(60);
    assert_eq!(bench.ejected(), Vec::<usize>::new());
    bench.behaviors = vec![Behavior::Healthy; 4];
    bench.pass(5);
    assert_eq!(bench.transitions(HealthTransition::Ejected), 0);
}

/// Three of four servers fail one after the other. If all three were ejected, the last one
/// would get every new flow and fail, too.
#[test]
fn at_most_half_of_the_servers_are_ejected() {
    let mut bench = HealthBench::new(4);
    bench.pass(5);
    for index in 0..3 {
        bench.behaviors[index] = Behavior::Silent;
        bench.pass(10);
        assert!(bench.ejected().len() <= 2, "{:?}", bench.ejected());
    }
    assert_eq!(bench.ejected().len(), 2);
}

/// The only server of a service in a domain fails. Ejecting it would help no caller.
#[test]
fn the_last_server_is_never_ejected() {
    let mut bench = HealthBench::new(1);
    bench.pass(5);
    bench.behaviors[0] = Behavior::Silent;
    bench.pass(30);
    assert_eq!(bench.ejected(), Vec::<usize>::new());
}

/// A load endpoint fails, or reports its server as unhealthy, while the server answers
/// every request. What the home observes itself takes precedence.
#[test]
fn a_server_that_answers_requests_is_healthy_whatever_its_endpoint_reports() {
    let mut bench = HealthBench::new(4);
    bench.behaviors[0] = Behavior::OnlyTraffic;
    bench.behaviors[1] = Behavior::ReportsUnhealthy;
    bench.pass(30);
    assert_eq!(bench.ejected(), Vec::<usize>::new());
}

/// The endpoint of a server reports that it is healthy, while its requests stay unanswered.
/// It must be ejected. The answers of its endpoint end the ejection for a trial, but less
/// and less often, so that it does not flap.
#[test]
fn a_server_whose_endpoint_misleads_is_tried_less_and_less_often() {
    let mut bench = HealthBench::new(4);
    bench.pass(5);
    bench.behaviors[2] = Behavior::OnlyEndpoint;
    let before = bench.probes.clone();
    bench.pass(130);
    let times = &bench.ejections;
    assert!((3..=8).contains(&times.len()), "{times:?}");
    let gaps: Vec<_> = times
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert!(gaps.is_sorted(), "{gaps:?}");
    assert!(
        bench.transitions(HealthTransition::Returned) >= 2,
        "{:?}",
        bench.changes
    );
    let probes = |index: usize| bench.probes[index] - before[index];
    assert!(
        probes(2) * 4 < probes(1) * 3,
        "{} of {}",
        probes(2),
        probes(1)
    );
}

/// An operator drains a server at the server itself. Its endpoint reports so, and it must
/// get no new flow within three seconds. It then exits, and its silence must not count as
/// the end of the draining.
#[test]
fn a_server_that_reports_draining_gets_no_new_flow() {
    let mut bench = HealthBench::new(2);
    bench.pass(5);
    bench.behaviors[0] = Behavior::Drains;
    let drained_at = bench.now;
    while bench.transitions(HealthTransition::Draining) == 0 {
        bench.step();
    }
    assert!(bench.now.since(drained_at) < time::Duration::from_secs(3));
    assert!(
        bench
            .table
            .views(bench.now)
            .get(&server(0).id)
            .unwrap()
            .draining
    );
    bench.behaviors[0] = Behavior::Silent;
    bench.pass(20);
    assert!(
        bench
            .table
            .views(bench.now)
            .get(&server(0).id)
            .unwrap()
            .draining
    );
    assert_eq!(bench.transitions(HealthTransition::DrainingEnded), 0);
}

/// A server joins while the service runs, and starts with a part of its slots. Servers that
/// were there before, and servers that a host finds when it starts itself, must not.
#[test]
fn a_server_that_joins_starts_slowly() {
    let mut bench = HealthBench::new(3);
    let cold_host = InForceConfiguration::default();
    bench
        .table
        .note_configuration(bench.now, &cold_host, &bench.configuration);
    bench.pass(1);
    assert_eq!(bench.warm_percent(0), 100);
    let next = configuration(4);
    bench
        .table
        .note_configuration(bench.now, &bench.configuration, &next);
    bench.configuration = next;
    bench.behaviors.push(Behavior::Healthy);
    bench.probes.push(0);
    bench.answered.push(bench.now);
    bench.pass(1);
    assert_eq!(bench.warm_percent(0), 100);
    assert!(bench.warm_percent(3) < 30);
    bench.pass(20);
    assert_eq!(bench.warm_percent(3), 100);
}

/// Only the home of a server probes its endpoint, about once a second and not at the same
/// times as other homes; a host that loses the lease stops. If all hosts probed, each
/// server would get three thousand probes a second.
#[test]
fn only_the_home_probes_about_once_a_second() {
    let mut bench = HealthBench::new(6);
    bench.pass(60);
    for count in &bench.probes {
        assert!((50..=70).contains(count), "{:?}", bench.probes);
    }
    let shard = server(0).shard(1);
    let elsewhere = ShardView {
        home: Some(HostId::from_name("bud-csepel-2")),
        lease: None,
    };
    bench.shards.insert(shard, elsewhere);
    bench.pass(1);
    let before = bench.probes.clone();
    bench.pass(10);
    assert_eq!(bench.probes, before);
}
