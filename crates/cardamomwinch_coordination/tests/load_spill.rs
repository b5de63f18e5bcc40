//! Flows leave a failure domain before its queues are full, and come back when there is room.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;
mod load_support;

use std::ops;
use std::sync;

use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::engine::{ForwardingEngine, ForwardingSink};
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use cardamomwinch_coordination::forwarding::record::ForwardingRecord;
use cardamomwinch_coordination::forwarding::regions::DomainRegions;
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_coordination::load::spill_shares::{SpillReason, SpillTarget};
use cardamomwinch_state::prelude::*;
use forwarding_support::{
    TestHost, at, data, domain, far_server, millis, near_server, opening, service,
};
use load_support::callers::ArrivalPattern;
use load_support::routes::{LoadRoute, ServerGroup};
use load_support::{LoadSetup, LoadWorld, domain_id, seconds};

/// The requests per second that all servers of a domain can run: 40 with two slots and 40 ms.
const CAPACITY: f64 = 2_000.0;
/// Two thirds of the callers are in the first domain, and need 70 % of all slots.
const UNEVEN: [f64; 3] = [1.4, 0.35, 0.35];
const CALM: [f64; 3] = [0.3; 3];
/// The decisions of a deployed host that concern the choice of a domain.
const SPILL: LoadPolicy = LoadPolicy {
    windows: true,
    spill: true,
    priorities: false,
    outliers: false,
};

/// The payroll bureau: three domains with 23 hosts and 40 servers each.
fn setup() -> LoadSetup {
    let group = |domain| ServerGroup::new("desk", domain, 40, 2);
    LoadSetup {
        seed: 1,
        hosts: vec![23; 3],
        domain_delay: 250,
        policy: SPILL,
        routes: vec![LoadRoute::new(1, "desk", 40, 500, 2_500)],
        servers: (0..3).map(group).collect(),
    }
}

/// Adds steady arrivals on a route in each domain, as parts of the capacity of a domain.
fn add_load(world: &mut LoadWorld, parts: [f64; 3], times: ops::Range<f64>) {
    let times = seconds(times.start)..seconds(times.end);
    for (domain, part) in parts.into_iter().enumerate() {
        let rate = part * CAPACITY;
        let pattern = ArrivalPattern::steady(domain, 0, rate, times.clone());
        world.add_arrivals(pattern);
    }
}

/// A calm load for two seconds, and then the uneven one until `end` seconds.
fn uneven_world(setup: LoadSetup, end: f64) -> LoadWorld {
    let mut world = LoadWorld::new(setup);
    add_load(&mut world, CALM, 0.0..2.0);
    add_load(&mut world, UNEVEN, 2.0..end);
    world
}

/// The share of the arrivals at servers that these refused.
fn refused(world: &LoadWorld, times: ops::Range<f64>) -> f64 {
    let times = seconds(times.start)..seconds(times.end);
    world.arrivals(times, |_| true).refused_share()
}

/// The share of the flows of callers of `domain` that left it.
fn crossed(world: &LoadWorld, domain: usize, times: ops::Range<f64>) -> f64 {
    let times = seconds(times.start)..seconds(times.end);
    let requests = world.requests(times, |one| one.domain == domain);
    requests.crossed_share()
}

/// The share of the requests that arrived at the servers of `domain` and come from others.
fn foreign(world: &LoadWorld, domain: usize, times: ops::Range<f64>) -> u32 {
    let times = seconds(times.start)..seconds(times.end);
    let from_others = world.arrivals(times, |one| one.domain == domain && one.from != domain);
    from_others.arrived
}

/// Guards against sheds in a crowded domain while servers of other domains idle: the servers
/// of the domain shed a third of what arrived, because flows left it only when its queues
/// were full.
#[test]
fn a_crowded_domain_is_relieved_within_a_second() {
    let mut world = uneven_world(setup(), 8.0);
    world.run_until(seconds(11.0));
    let (settling, settled) = (refused(&world, 3.0..3.4), refused(&world, 3.4..8.0));
    let share = crossed(&world, 0, 3.0..8.0);
    println!("refused {settling:.4} then {settled:.4}, crossed {share:.3}");
    assert!(settling < 0.02 && settled < 0.004);
    assert!((0.3..0.5).contains(&share));
    let served = world.requests(seconds(3.0)..seconds(8.0), |_| true);
    assert!(served.in_time_share() > 0.998, "{served:?}");
}

/// Guards against shares that follow too late while callers move to a domain within three
/// seconds.
#[test]
fn a_domain_that_fills_within_seconds_sheds_little() {
    let mut world = LoadWorld::new(setup());
    add_load(&mut world, CALM, 0.0..2.0);
    for (domain, part) in UNEVEN.into_iter().enumerate() {
        let (calm, busy) = (CALM[domain] * CAPACITY, part * CAPACITY);
        let points = vec![
            (seconds(2.0), calm),
            (seconds(5.0), busy),
            (seconds(9.0), busy),
        ];
        world.add_arrivals(ArrivalPattern::shaped(domain, 0, points));
    }
    world.run_until(seconds(12.0));
    let share = refused(&world, 2.0..9.0);
    println!("refused {share:.4}");
    assert!(share < 0.015);
}

/// Guards against flows that cross between equally busy domains: they would gain nothing, and
/// be lost if the domains are cut off from each other.
#[test]
fn equally_busy_domains_keep_their_flows() {
    let mut world = LoadWorld::new(setup());
    add_load(&mut world, [0.9; 3], 0.0..8.0);
    world.run_until(seconds(11.0));
    let all = world.requests(0..seconds(8.0), |_| true);
    println!("crossed {:.4}", all.crossed_share());
    assert!(all.crossed_share() < 0.05);
}

/// Guards against flows that leave a domain in which nobody waits: not even to measure others.
#[test]
fn calm_domains_keep_all_flows() {
    let mut world = LoadWorld::new(setup());
    add_load(&mut world, [0.5, 0.3, 0.1], 0.0..5.0);
    world.run_until(seconds(8.0));
    let all = world.requests(0..seconds(5.0), |_| true);
    assert_eq!(all.crossed, 0);
}

/// Guards against a relief that works only for domains next to each other: in the second
/// deployment they are 5.4 ms apart, and goals are shorter.
#[test]
fn distant_domains_relieve_a_crowded_one() {
    let mut setup = setup();
    setup.domain_delay = 5_400;
    setup.routes = vec![LoadRoute::new(1, "desk", 40, 300, 3_000)];
    let mut world = uneven_world(setup, 8.0);
    world.run_until(seconds(12.0));
    let (share, refused) = (crossed(&world, 0, 4.0..8.0), refused(&world, 4.0..8.0));
    println!("refused {refused:.4}, crossed {share:.3}");
    assert!((0.3..0.5).contains(&share) && refused < 0.004);
}

/// Guards against flows that are lost in a domain that was cut off while it took them: nothing
/// shows it but its silence. The others take what it took, and it gets only the few flows that
/// measure it.
#[test]
fn a_domain_that_is_cut_off_gets_no_more_flows() {
    let mut world = uneven_world(setup(), 12.0);
    world.run_until(seconds(6.0));
    assert!(foreign(&world, 1, 5.0..6.0) > 100);
    world.cut_off(1);
    world.run_until(seconds(12.0));
    world.run_until(seconds(16.0));
    let crowded = world.requests(seconds(8.0)..seconds(12.0), |one| one.domain == 0);
    let share = crowded.crossed_share();
    println!(
        "crossed {share:.3} flows {} {}",
        crowded.flows, crowded.asked
    );
    assert!(share > 0.25, "{share}");
    assert!(crowded.served_share() > 0.999);
    assert!(
        crowded.in_time_share() > 0.98,
        "{}",
        crowded.in_time_share()
    );
    let cut = world.requests(seconds(6.0)..seconds(8.0), |one| one.domain == 0);
    println!(
        "after the cut {} {}",
        cut.served_share(),
        cut.in_time_share()
    );
    assert!(cut.served_share() > 0.99);
}

/// Opens a flow from `port`, and closes it `response` milliseconds after its request. Between
/// them, the process may be `paused`.
fn answer_after(host: &mut TestHost, now: u64, port: u16, response: u64, paused: bool) {
    let (opened, answered) = (at(now), at(now + response));
    let server = host.open(opened, port);
    host.handle(opened, &data(port, server, 101, 1_000, 80));
    if paused {
        host.pause_until(answered);
    }
    let answer = data(port, server, 181, 1_900, 0);
    let kind = PacketKind::Closing;
    host.handle(answered, &FlowPacket { kind, ..answer });
}

/// Guards against hosts that mistake their own pause for a busy domain, and spill their flows:
/// answers that came in the meantime seem to have taken as long as the pause.
#[test]
fn a_pause_is_no_wait() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    let engine = ForwardingEngine::new(1_000, 0, ReporterId::new(1));
    host.engine = engine.with_load_policy(SPILL);
    for number in 0..20 {
        answer_after(&mut host, u64::from(number) * 50, number, 40, false);
    }
    let wait = |host: &TestHost, now| {
        let loads = host.engine.domain_loads();
        loads.wait(service("desk"), domain("near"), at(now))
    };
    assert!(wait(&host, 1_000).unwrap().wait < millis(5));
    answer_after(&mut host, 1_000, 30, 500, true);
    assert_eq!(wait(&host, 1_500), None);
}

/// The spills of the openings that a sink has received.
#[derive(Debug, Default)]
struct SpillSink {
    spilled: Vec<Option<SpillTarget>>,
}

impl ForwardingSink for SpillSink {
    fn send(&mut self, _server: &ServerRecord, _token: FlowToken) {}

    fn reset(&mut self) {}

    fn reset_flow(&mut self, _flow: &FlowKey, _acknowledged: u32) {}

    fn hold(&mut self) {}

    fn measure_opening(&mut self, _time: std::time::Duration) {}

    fn measure_response(&mut self, _time: std::time::Duration) {}

    fn record(&mut self, record: &ForwardingRecord<'_>) {
        self.spilled.push(record.spilled);
    }
}

/// Guards against a flow in another domain whose decision does not say why it is there, and
/// against a copy of its opening that goes there again although nothing answers.
#[test]
fn the_record_of_an_opening_names_the_domain_that_it_left_for() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    let engine = ForwardingEngine::new(1_000, 0, ReporterId::new(1));
    host.engine = engine.with_load_policy(SPILL);
    for number in 0..20 {
        answer_after(&mut host, u64::from(number) * 50, number, 40, false);
    }
    answer_after(&mut host, 1_000, 20, 140, false);
    let mut sink = SpillSink::default();
    for (now, copy) in [(1_260, 0), (1_460, 1)] {
        host.run_until(at(now));
        let packet = opening(40, copy);
        host.engine.handle(at(now), &host.view, &packet, &mut sink);
    }
    let target = SpillTarget {
        domain: domain("far"),
        reason: SpillReason::Measuring,
    };
    assert_eq!(sink.spilled, [Some(target), None]);
}

/// Guards against hosts that spill flows without any measurement, or never again: a restarted
/// host has no measurement, and may include the waits of an overload in the base response.
#[test]
fn hosts_that_restart_measure_again() {
    let mut world = uneven_world(setup(), 10.0);
    world.run_until(seconds(5.0));
    let hosts = world.hosts_of(0);
    for host in hosts {
        world.stop_host(host);
        world.start_host(host);
    }
    world.run_until(seconds(13.0));
    let start = crossed(&world, 0, 5.0..5.2);
    let (later, refused) = (crossed(&world, 0, 7.0..10.0), refused(&world, 7.0..10.0));
    println!("crossed {start:.3} then {later:.3}, refused {refused:.4}");
    assert!(start < 0.02 && later > 0.3 && refused < 0.015);
}

/// Guards against a third domain that two others overload together, and against swings: both
/// see its cost rise only after it has taken the flows of both.
#[test]
fn two_domains_do_not_overload_a_third() {
    let mut world = LoadWorld::new(setup());
    add_load(&mut world, CALM, 0.0..2.0);
    add_load(&mut world, [1.1, 1.1, 0.2], 2.0..10.0);
    world.run_until(seconds(13.0));
    let third = world.arrivals(seconds(4.0)..seconds(10.0), |one| one.domain == 2);
    let all = refused(&world, 4.0..10.0);
    println!(
        "refused {all:.4}, in the third {:.4}",
        third.refused_share()
    );
    assert!(third.refused_share() < 0.003 && all < 0.012);
    // Of 110 %, one flow in eleven finds no slot in its own domain.
    let each = [0, 1].map(|domain| crossed(&world, domain, 4.0..10.0));
    assert!(
        each.iter().all(|share| (0.09..0.35).contains(share)),
        "{each:?}"
    );
}

/// Guards against flows that still go to other domains after the load has ended, where they are
/// lost if the domains are cut off from each other.
#[test]
fn flows_come_back_within_a_second_of_the_end_of_the_load() {
    let mut world = uneven_world(setup(), 6.0);
    add_load(&mut world, CALM, 6.0..9.0);
    world.run_until(seconds(11.0));
    let (before, after) = (crossed(&world, 0, 5.0..6.0), crossed(&world, 0, 7.0..9.0));
    println!("crossed {before:.3} then {after:.4}");
    assert!(before > 0.3 && after < 0.005);
}

/// Guards against requests that leave the region that operators bind a route to.
#[test]
fn a_bound_route_stays_in_its_region() {
    let regions = ["west", "east", "east"].map(RegionId::from_name);
    let mut setup = setup();
    setup.routes[0].entry.regions = vec![regions[0]];
    let mut world = uneven_world(setup, 5.0);
    let pairs = (0..3).map(|domain| (domain_id(domain), regions[domain]));
    let table: sync::Arc<DomainRegions> = sync::Arc::new(pairs.collect());
    world.change_views(|_| true, |view| view.regions = sync::Arc::clone(&table));
    world.run_until(seconds(8.0));
    assert_eq!(
        foreign(&world, 1, 0.0..8.0) + foreign(&world, 2, 0.0..8.0),
        0
    );
}

/// Guards against flows to a domain that operators evacuate while it takes them.
#[test]
fn an_evacuated_domain_takes_nothing() {
    let mut world = uneven_world(setup(), 7.0);
    world.run_until(seconds(5.0));
    assert!(foreign(&world, 1, 4.0..5.0) > 100);
    world.change_views(
        |_| true,
        |view| {
            sync::Arc::make_mut(&mut view.directory).note_evacuation(EvacuationRecord {
                domain: domain_id(1),
                phase: EvacuationPhase::Active,
                changed: StoreRevision::new(2),
            });
        },
    );
    world.run_until(seconds(10.0));
    assert_eq!(foreign(&world, 1, 5.1..10.0), 0);
}

/// Guards against decisions by a host whose operators have not asked for them.
#[test]
fn without_the_switch_shares_stay_empty() {
    let mut setup = setup();
    setup.policy = LoadPolicy::default();
    let mut world = uneven_world(setup, 4.0);
    world.run_until(seconds(4.0));
    let mut engines = world.hosts.iter().map(|host| &host.engine);
    assert!(engines.all(|engine| engine.spill_shares().iter().next().is_none()));
}
