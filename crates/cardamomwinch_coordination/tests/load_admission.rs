//! Admission by priority while callers ask for more than all servers can do.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;
mod load_support;

use cardamomwinch_coordination::forwarding::packet::FlowPacket;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_state::prelude::*;
use forwarding_support::{RecordingSink, millis, opening};
use load_support::backends::ServerMode;
use load_support::callers::{self, ArrivalPattern};
use load_support::events::FlowNumber;
use load_support::hosts::LoadHost;
use load_support::outcomes::RequestSummary;
use load_support::routes::{LoadRoute, ServerGroup};
use load_support::{LoadSetup, LoadWorld, seconds};

/// The positions of the routes in [`setup`].
const VIEWS: usize = 0;
const CORRECTIONS: usize = 1;
const DOMAINS: usize = 3;
const SERVERS: usize = 20;
/// The flows of a server with two slots and a queue of eight from which on it resets others.
const FLOW_LIMIT: usize = 16;
/// The page views of a domain per second that, with the corrections, need all of its slots:
/// 20 servers with two slots each, views of 40 ms, and for each view 0.5 corrections of 52 ms.
const FULL_RATE: f64 = 40.0 / (0.040 + 0.5 * 0.052);

const PRIORITIES: LoadPolicy = LoadPolicy {
    windows: false,
    spill: false,
    priorities: true,
    outliers: false,
};

const BOTH: LoadPolicy = LoadPolicy {
    spill: true,
    ..PRIORITIES
};

const ALL: LoadPolicy = LoadPolicy {
    windows: true,
    outliers: true,
    ..BOTH
};

fn prioritized(mut route: LoadRoute, priority: u32) -> LoadRoute {
    route.entry.priority = Some(RoutePriority::new(priority));
    route.entry.timeout = millis(route.timeout / 1_000);
    route
}

fn setup(seed: u64, policy: LoadPolicy) -> LoadSetup {
    let group = |domain| ServerGroup::new("portal", domain, SERVERS, 2);
    let views = LoadRoute::new(1, "portal", 40, 500, 2_500);
    let corrections = LoadRoute::new(2, "portal", 52, 500, 2_500).once();
    LoadSetup {
        seed,
        hosts: vec![6; DOMAINS],
        domain_delay: 500,
        policy,
        routes: vec![prioritized(views, 2), prioritized(corrections, 1)],
        servers: (0..DOMAINS).map(group).collect(),
    }
}

/// Callers of a domain ask for `load` times what its slots can do, from and to the given
/// seconds.
fn add_domain_load(world: &mut LoadWorld, domain: usize, load: f64, from: f64, to: f64) {
    let rate = FULL_RATE * load;
    let times = seconds(from)..seconds(to);
    world.add_arrivals(ArrivalPattern::steady(domain, VIEWS, rate, times.clone()));
    world.add_arrivals(ArrivalPattern::steady(
        domain,
        CORRECTIONS,
        rate * 0.5,
        times,
    ));
}

fn add_load(world: &mut LoadWorld, load: f64, from: f64, to: f64) {
    for domain in 0..DOMAINS {
        add_domain_load(world, domain, load, from, to);
    }
}

/// Plays `load` from second 3 to 18, with 60 % before and after it. Servers reset flows when
/// they have a few more than they can hold.
fn overload(seed: u64, policy: LoadPolicy, load: f64) -> LoadWorld {
    let mut world = LoadWorld::new(setup(seed, policy));
    for server in &mut world.servers {
        server.flow_limit = FLOW_LIMIT;
    }
    add_load(&mut world, 0.6, 0.0, 3.0);
    add_load(&mut world, load, 3.0, 18.0);
    add_load(&mut world, 0.6, 18.0, 21.0);
    world.run_until(seconds(25.0));
    world
}

/// The requests of a route that were asked between two seconds.
fn asked(world: &LoadWorld, route: usize, from: f64, to: f64) -> RequestSummary {
    world.requests(seconds(from)..seconds(to), |one| one.route == route)
}

/// The part of all slots that a route uses between two seconds.
fn used(world: &LoadWorld, route: usize, from: f64, to: f64) -> f64 {
    let arrivals = world.arrivals(seconds(from)..seconds(to), |one| one.route == route);
    let accepted = f64::from(arrivals.arrived - arrivals.shed - arrivals.reset);
    let work = world.routes[route].work as f64 / 1e6;
    accepted * work / (DOMAINS * SERVERS * 2) as f64 / (to - from)
}

/// Callers ask for 130 % of all slots for 15 s, and refused ones return at once. Without
/// admission the queues are full all the time: the urgent requests are shed or reset as often
/// as the others, and corrections whose flows were reset are lost for good.
#[yare::parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn urgent_requests_are_served_during_an_overload(seed: u64) {
    let world = overload(seed, PRIORITIES, 1.3);
    let urgent = asked(&world, CORRECTIONS, 3.0, 18.0);
    let others = used(&world, VIEWS, 3.0, 18.0);
    let all = others + used(&world, CORRECTIONS, 3.0, 18.0);
    println!(
        "served {:.4}, others use {others:.3}, all {all:.3}, {} reset",
        urgent.served_share(),
        urgent.reset
    );
    assert!(urgent.served_share() >= 0.98, "{}", urgent.served_share());
    assert!(others >= 0.2, "{others} of the room");
    assert!(all >= 0.9, "{all} of all slots are used");
}

/// A route that nobody uses has a higher priority than all others. Guards against refusals of
/// the most urgent requests that callers ask for.
#[test]
fn an_unused_route_of_a_higher_priority_changes_nothing() {
    let mut setup = setup(1, PRIORITIES);
    let unused = LoadRoute::new(3, "portal", 40, 500, 2_500);
    setup.routes.push(prioritized(unused, 0));
    let mut world = LoadWorld::new(setup);
    add_load(&mut world, 0.6, 0.0, 3.0);
    add_load(&mut world, 2.0, 3.0, 9.0);
    world.run_until(seconds(12.0));
    let urgent = asked(&world, CORRECTIONS, 3.0, 9.0);
    println!("{} refused of {}", urgent.refused, urgent.asked);
    assert_eq!(urgent.refused, 0);
}

/// Twice of all slots are needed from one moment to the next, more than three quarters of them
/// by the urgent kind. The queues are full before any host has seen an answer that waited.
/// Guards against a storm that goes on for longer than hosts need to measure it.
#[yare::parameterized(first = { 1 }, second = { 2 })]
fn twice_of_what_all_slots_can_do_is_brought_down_within_seconds(seed: u64) {
    let world = overload(seed, PRIORITIES, 2.0);
    let settling = asked(&world, CORRECTIONS, 3.0, 5.0);
    let urgent = asked(&world, CORRECTIONS, 5.0, 18.0);
    let others = used(&world, VIEWS, 5.0, 18.0);
    let all = others + used(&world, CORRECTIONS, 5.0, 18.0);
    println!(
        "first two seconds {:.4}, then {:.4}, others use {others:.3}, all {all:.3}",
        settling.served_share(),
        urgent.served_share()
    );
    assert!(settling.served_share() >= 0.85);
    assert!(urgent.served_share() >= 0.98, "{}", urgent.served_share());
    assert!(all >= 0.9, "{all} of all slots are used");
}

/// Hosts that also spill measure three domains, two of them by few answers. Guards against the
/// best of these always seeming to have room: servers would shed one request in eight.
#[yare::parameterized(
    little = { 1.3, 1 },
    little_again = { 1.3, 2 },
    much = { 2.0, 1 },
    much_again = { 2.0, 2 },
)]
fn urgent_requests_are_served_by_hosts_that_also_spill(load: f64, seed: u64) {
    let world = overload(seed, BOTH, load);
    let urgent = asked(&world, CORRECTIONS, 5.0, 18.0);
    let all = used(&world, VIEWS, 5.0, 18.0) + used(&world, CORRECTIONS, 5.0, 18.0);
    println!("served {:.4}, all {all:.3}", urgent.served_share());
    assert!(urgent.served_share() >= 0.98, "{}", urgent.served_share());
    assert!(all >= 0.9, "{all} of all slots are used");
}

/// Two thirds of the callers are in one domain, and 70 % of all slots are needed. The other
/// domains have room, so that flows must leave and nobody may be refused.
#[yare::parameterized(first = { 1 }, second = { 2 })]
fn nothing_is_refused_while_another_domain_has_room(seed: u64) {
    let mut world = LoadWorld::new(setup(seed, BOTH));
    add_load(&mut world, 0.5, 0.0, 3.0);
    for (domain, load) in [1.4, 0.35, 0.35].into_iter().enumerate() {
        add_domain_load(&mut world, domain, load, 3.0, 13.0);
    }
    world.run_until(seconds(15.0));
    let all = world.requests(0..seconds(15.0), |_| true);
    println!("{} refused of {}", all.refused, all.asked);
    assert!(all.refused * 1_000 <= all.asked, "{}", all.refused);
}

/// Hosts with the same measurements must not refuse and admit in turn: servers would idle, and
/// then refuse urgent requests. In each half second the slots must be used.
#[test]
fn the_admitted_share_does_not_oscillate() {
    let world = overload(1, PRIORITIES, 1.3);
    let halves = (0..24).map(|half| 6.0 + f64::from(half) / 2.0);
    let all = halves.map(|from| {
        let to = from + 0.5;
        used(&world, VIEWS, from, to) + used(&world, CORRECTIONS, from, to)
    });
    let all: Vec<f64> = all.collect();
    println!("{all:.2?}");
    assert!(all.iter().all(|one| (0.85..1.1).contains(one)), "{all:?}");
}

/// Without a shortage a refusal only harms. At 70 % of all slots random queues are short.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let world = overload(1, PRIORITIES, 0.7);
    let all = world.requests(0..seconds(21.0), |_| true);
    assert_eq!((all.refused, all.lost), (0, 0));
}

/// Guards against refusals because a fifth of the servers is five times slower: their answers
/// take long, but the other servers still have a sixth of their slots free.
#[yare::parameterized(first = { 1 }, second = { 2 })]
fn slow_servers_are_no_reason_to_refuse(seed: u64) {
    let mut world = LoadWorld::new(setup(seed, ALL));
    add_load(&mut world, 0.7, 0.0, 13.0);
    world.run_until(seconds(5.0));
    for domain in 0..DOMAINS {
        for server in world.servers_of("portal", domain).into_iter().step_by(5) {
            world.set_mode(server, ServerMode::Slow(5.0));
        }
    }
    world.run_until(seconds(15.0));
    let all = world.requests(seconds(5.0)..seconds(13.0), |_| true);
    println!(
        "{} refused, {} shed of {}",
        all.refused, all.shed, all.asked
    );
    assert!(all.refused * 100 <= all.asked, "{}", all.refused);
}

/// After the overload the queues are short again within some tenths of a second. Shares that
/// stay low would refuse callers of an idle service.
#[yare::parameterized(
    little = { 1.3, 1 },
    little_again = { 1.3, 2 },
    much = { 2.0, 1 },
    much_again = { 2.0, 2 },
)]
fn nothing_is_refused_a_second_after_the_overload(load: f64, seed: u64) {
    let world = overload(seed, PRIORITIES, load);
    assert!(asked(&world, VIEWS, 3.0, 18.0).refused > 1_000);
    let refused = world.requests(seconds(19.0)..seconds(21.0), |_| true);
    assert_eq!(refused.refused, 0);
}

/// Operators switch admission on for each host. Without it, or if all routes are as urgent as
/// each other, hosts decide as before.
#[test]
fn nothing_is_refused_without_different_priorities() {
    let world = overload(1, LoadPolicy::default(), 1.3);
    assert_eq!(world.requests(0..seconds(21.0), |_| true).refused, 0);
    let mut equal = setup(1, PRIORITIES);
    for route in &mut equal.routes {
        route.entry.priority = Some(RoutePriority::new(1));
    }
    let mut world = LoadWorld::new(equal);
    add_load(&mut world, 1.5, 0.0, 5.0);
    world.run_until(seconds(6.0));
    assert_eq!(world.requests(0..seconds(6.0), |_| true).refused, 0);
}

fn arrived_and_refused(host: &LoadHost) -> (u64, u64) {
    let counts = host.engine.admission().counts();
    counts.fold((0, 0), |(arrived, refused), (_, count)| {
        let sum: u64 = count.refused.iter().sum();
        (arrived + count.arrived, refused + sum)
    })
}

/// A host restarts in the middle of an overload. It has measured nothing and cannot know how
/// much room there is, so it must refuse nobody until it has.
#[test]
fn a_restarted_host_admits_everything_until_it_has_measured() {
    let mut world = LoadWorld::new(setup(1, PRIORITIES));
    add_load(&mut world, 1.5, 0.0, 8.0);
    world.run_until(seconds(4.0));
    assert!(arrived_and_refused(&world.hosts[0]).1 > 100);
    world.stop_host(0);
    world.run_until(seconds(5.0));
    world.start_host(0);
    // The first answers take as long as their work.
    world.run_until(seconds(5.04));
    let (arrived, refused) = arrived_and_refused(&world.hosts[0]);
    assert!(arrived > 5 && refused == 0, "{arrived}, {refused}");
    world.run_until(seconds(8.0));
    assert!(arrived_and_refused(&world.hosts[0]).1 > 100);
}

/// What a host decides about the copy `copy` of an opening of page views.
fn open_at(host: &mut LoadHost, world_now: u64, number: usize, copy: u32) -> RecordingSink {
    let number = FlowNumber {
        caller: number,
        flow: 1,
    };
    let address = LoadRoute::new(1, "portal", 40, 500, 2_500).address;
    let packet = FlowPacket {
        flow: callers::flow_key(number, address),
        ..opening(1, copy)
    };
    let now = load_support::timestamp(world_now);
    host.view.as_of = now;
    let mut sink = RecordingSink::default();
    host.engine.handle(now, &host.view, &packet, &mut sink);
    sink
}

/// The reset of a refused opening is lost, and copies of it arrive in any order, some of them
/// when there is room again. A reset states that nothing has run, so none of them may be sent
/// to a server. The other way round, copies of an opening that was sent must not be refused.
#[test]
fn all_copies_of_an_opening_get_the_same_answer() {
    let mut world = LoadWorld::new(setup(1, PRIORITIES));
    add_load(&mut world, 1.5, 0.0, 4.0);
    world.run_until(seconds(4.0));
    let host = &mut world.hosts[0];
    let first = 1_000_000;
    let numbers = first..first + 400;
    let refused: Vec<bool> = numbers
        .clone()
        .map(|number| open_at(host, seconds(4.0), number, 0).resets == 1)
        .collect();
    let count = refused.iter().filter(|refused| **refused).count();
    assert!((50..390).contains(&count), "{count}");
    let copies = [(4.001, 0), (4.2, 2), (4.6, 1), (5.4, 2), (6.4, 1), (6.9, 0)];
    for (at, copy) in copies {
        for (number, refused) in numbers.clone().zip(&refused) {
            let sink = open_at(host, seconds(at), number, copy);
            assert_eq!(sink.resets == 1, *refused, "copy {copy} at {at} s");
            assert_eq!(sink.sent.is_empty(), *refused, "copy {copy} at {at} s");
        }
        let now = load_support::timestamp(seconds(at));
        for _ in 0..10 {
            let view = &host.view;
            host.engine.tick(now, view, &mut RecordingSink::default());
        }
    }
}

/// The first copy of an opening went to another host, which sent it to a server, and that host
/// stopped. The reset of a later copy would state that nothing has run.
#[test]
fn a_copy_whose_opening_is_not_known_is_never_refused() {
    let mut world = LoadWorld::new(setup(1, PRIORITIES));
    add_load(&mut world, 1.5, 0.0, 4.0);
    world.run_until(seconds(4.0));
    let host = &mut world.hosts[0];
    for number in 1_000_000..1_000_400 {
        assert_eq!(open_at(host, seconds(4.0), number, 1).resets, 0);
    }
}

/// Operators see on one host whether urgent requests are served.
#[test]
fn the_share_of_urgent_requests_that_are_served_is_measured() {
    let mut world = LoadWorld::new(setup(1, PRIORITIES));
    add_load(&mut world, 0.6, 0.0, 5.0);
    world.run_until(seconds(5.0));
    let share = |world: &LoadWorld| world.hosts[0].engine.admission().urgent_served_share();
    assert_eq!(share(&world), Some(1.0));
    let shares = world.hosts[0].engine.admission().admitted_shares();
    let shares: Vec<_> = shares.map(|(_, shares)| shares.to_vec()).collect();
    assert_eq!(shares, [[1.0; 3]]);
}
