//! The load tests' own hosts, servers and callers behave as load tests assume.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;
mod load_support;

use cardamomwinch_coordination::load::LoadPolicy;
use load_support::callers::ArrivalPattern;
use load_support::routes::{LoadRoute, ServerGroup};
use load_support::{LoadSetup, LoadWorld, seconds};

/// Three domains with three hosts and six servers of two slots each. Requests take 40 ms, so
/// the servers of a domain can serve 300 per second.
fn setup() -> LoadSetup {
    let group = |domain| ServerGroup::new("desk", domain, 6, 2);
    LoadSetup {
        seed: 1,
        hosts: vec![3; 3],
        domain_delay: 500,
        policy: LoadPolicy::default(),
        routes: vec![LoadRoute::new(1, "desk", 40, 500, 2_500)],
        servers: (0..3).map(group).collect(),
    }
}

fn play(setup: LoadSetup, rates: [f64; 3], end: u64) -> LoadWorld {
    let mut world = LoadWorld::new(setup);
    for (domain, rate) in rates.into_iter().enumerate() {
        world.add_arrivals(ArrivalPattern::steady(domain, 0, rate, 0..end));
    }
    world.run_until(end + seconds(5.0));
    world
}

/// With random arrivals and exponential work, servers that are half used shed nothing, and
/// hardly anybody waits.
#[test]
fn half_of_the_capacity_is_served_without_sheds() {
    let mut setup = setup();
    setup.routes[0].spread = 1.0;
    let world = play(setup, [150.0; 3], seconds(20.0));
    let all = world.requests(0..seconds(20.0), |_| true);
    assert!((8_500..9_500).contains(&all.asked), "{all:?}");
    assert_eq!((all.shed, all.lost, all.pending), (0, 0, 0));
    let mean = all.responses.iter().sum::<u64>() / all.responses.len() as u64;
    assert!((44_000..70_000).contains(&mean), "{mean}");
}

/// Servers that get half as much again as they can serve shed what exceeds their slots.
#[test]
fn an_overload_is_served_up_to_the_capacity() {
    let world = play(setup(), [450.0; 3], seconds(10.0));
    let times = seconds(2.0)..seconds(10.0);
    let arrivals = world.arrivals(times.clone(), |_| true);
    let accepted = f64::from(arrivals.arrived - arrivals.shed - arrivals.reset) / 8.0;
    assert!((820.0..930.0).contains(&accepted), "{accepted} per second");
    let all = world.requests(times, |_| true);
    assert!(all.lost > 0 && all.pending == 0, "{all:?}");
}

/// Callers of a domain that is cut off are served by its servers only, and nobody else is.
#[test]
fn nothing_reaches_a_domain_that_is_cut_off() {
    let mut world = LoadWorld::new(setup());
    world.cut_off(0);
    for domain in 0..3 {
        let pattern = ArrivalPattern::steady(domain, 0, 100.0, 0..seconds(5.0));
        world.add_arrivals(pattern);
    }
    world.run_until(seconds(10.0));
    let crossed = world.arrivals(0..seconds(10.0), |one| (one.domain == 0) != (one.from == 0));
    assert_eq!(crossed.arrived, 0);
    let inside = world.requests(0..seconds(10.0), |one| one.domain == 0);
    assert_eq!(inside.in_time, inside.asked);
}

/// The same seed gives the same run, and another one a different run.
#[test]
fn a_run_depends_on_its_seed_only() {
    let run = |seed| {
        let setup = LoadSetup { seed, ..setup() };
        let world = play(setup, [200.0; 3], seconds(2.0));
        world.requests(0..seconds(2.0), |_| true).responses
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
