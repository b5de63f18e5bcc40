//! Hosts that suddenly reach no server leave the rotation within half a second, and no host
//! leaves it for another reason. The loads are as heavy as those of the deployments with the
//! most and the least requests for each host.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;
mod load_support;

use std::sync;

use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::load::LoadPolicy;
use forwarding_support::*;
use load_support::backends::ServerMode;
use load_support::callers::ArrivalPattern;
use load_support::routes::{LoadRoute, ServerGroup};
use load_support::{LoadSetup, LoadWorld, domain_id, seconds, timestamp};

/// When the failure begins.
const FAILURE: u64 = 5_000_000;
const END: u64 = 9_000_000;
const HOSTS: usize = 6;
const SERVERS: usize = 30;
/// How often the hosts are looked at.
const STEP: u64 = 10_000;

/// New flows per second of each host: many, or few and requests on open flows.
#[derive(Debug, Clone, Copy)]
enum HostLoad {
    Busy,
    Sparse,
}

fn world(load: HostLoad, policy: LoadPolicy, seed: u64) -> LoadWorld {
    let group = |domain| ServerGroup::new("desk", domain, SERVERS, 2);
    let mut world = LoadWorld::new(LoadSetup {
        seed,
        hosts: vec![HOSTS; 3],
        domain_delay: 5_400,
        policy,
        routes: vec![LoadRoute::new(1, "desk", 40, 500, 2_500)],
        servers: (0..3).map(group).collect(),
    });
    let hosts = HOSTS as f64;
    for domain in 0..3 {
        let steady = |rate| ArrivalPattern::steady(domain, 0, rate * hosts, 0..END);
        match load {
            HostLoad::Busy => world.add_arrivals(steady(23.0)),
            HostLoad::Sparse => {
                world.add_arrivals(steady(5.0));
                let flows = steady(1.0).on_long_flows(15, seconds(1.0));
                world.add_arrivals(flows);
            }
        }
    }
    world
}

fn spill() -> LoadPolicy {
    LoadPolicy {
        spill: true,
        ..LoadPolicy::default()
    }
}

/// Operators move new flows away from the servers of domain 0.
fn evacuate(world: &mut LoadWorld) {
    let record = EvacuationRecord {
        domain: domain_id(0),
        phase: EvacuationPhase::Active,
        changed: StoreRevision::new(9),
    };
    world.change_views(
        |_| true,
        |view| {
            sync::Arc::make_mut(&mut view.directory).note_evacuation(record);
        },
    );
}

/// Plays on, and returns when each host of domain 0 left the rotation, counted from its first
/// opening that no server answered.
fn play_loss(world: &mut LoadWorld) -> Vec<Option<u64>> {
    let hosts = world.hosts_of(0);
    let mut left_at = vec![None; hosts.len()];
    while world.now < FAILURE + 2_000_000 {
        world.run_until(world.now + STEP);
        for (host, left) in hosts.iter().zip(&mut left_at) {
            if left.is_none() && !world.hosts[*host].engine.reaches_servers() {
                *left = Some(world.now);
            }
        }
    }
    let first_silent = |host: &usize| {
        let sent = world.hosts[*host].opened_at.iter();
        sent.copied().find(|at| *at >= FAILURE).unwrap()
    };
    let times = hosts.iter().zip(left_at);
    times
        .map(|(host, left)| left.map(|at| at - first_silent(host)))
        .collect()
}

fn cut_off_evacuated(load: HostLoad, policy: LoadPolicy, seed: u64) -> Vec<Option<u64>> {
    let mut world = world(load, policy, seed);
    evacuate(&mut world);
    world.run_until(FAILURE);
    world.cut_off(0);
    play_loss(&mut world)
}

fn go_dark(load: HostLoad, policy: LoadPolicy, seed: u64) -> Vec<Option<u64>> {
    let mut world = world(load, policy, seed);
    world.run_until(FAILURE);
    lose_packets(&mut world, true);
    play_loss(&mut world)
}

/// Whether all packets of the hosts of domain 0 to servers are lost.
fn lose_packets(world: &mut LoadWorld, lost: bool) {
    for host in world.hosts_of(0) {
        world.hosts[host].loses_packets = lost;
    }
}

/// The share of `times` that are no longer than `limit`, in per cent.
fn percent_within(times: &[Option<u64>], limit: u64) -> usize {
    let is_within = |time: &&Option<u64>| time.is_some_and(|time| time <= limit);
    times.iter().filter(is_within).count() * 100 / times.len()
}

/// Checks that hosts leave the rotation half a second after their first silent opening, and a
/// step later. Hosts with few requests may need one or two more copies.
fn check_loss(play: fn(HostLoad, LoadPolicy, u64) -> Vec<Option<u64>>) {
    let play_all = |load, policy| -> Vec<_> {
        let seeds = 1..=5;
        seeds.flat_map(|seed| play(load, policy, seed)).collect()
    };
    let limit = 500_000 + STEP;
    let busy = play_all(HostLoad::Busy, spill());
    assert!(percent_within(&busy, limit) >= 90, "{busy:?}");
    let sparse = play_all(HostLoad::Sparse, spill());
    assert!(percent_within(&sparse, limit) >= 50, "{sparse:?}");
    assert!(percent_within(&sparse, 700_000 + STEP) >= 90, "{sparse:?}");
    let before = play_all(HostLoad::Busy, LoadPolicy::default());
    assert!(percent_within(&before, limit) <= 10, "{before:?}");
}

/// Operators evacuate a domain, and the domain is cut off. Its callers still reach its hosts,
/// which reach no server that takes new flows. Each tenth of a second costs all new requests.
#[test]
fn an_evacuated_domain_that_is_cut_off_is_recognized_in_half_a_second() {
    check_loss(cut_off_evacuated);
}

/// The hosts of a domain can no longer reach any server, while servers go on answering the
/// requests that they have.
#[test]
fn a_dark_domain_is_recognized_in_half_a_second() {
    check_loss(go_dark);
}

/// Plays a failure under which no host may leave the rotation. `change` is called every
/// [`STEP`].
fn check_no_alarm(
    loads: &[HostLoad],
    fail: impl Fn(&mut LoadWorld),
    change: impl Fn(&mut LoadWorld),
) {
    for load in loads {
        for seed in 1..=2 {
            let mut world = world(*load, spill(), seed);
            world.run_until(FAILURE);
            fail(&mut world);
            while world.now < END {
                world.run_until(world.now + STEP);
                change(&mut world);
                let hosts = world.hosts.iter().enumerate();
                let mut left = hosts.filter(|(_, host)| !host.engine.reaches_servers());
                let (first, now) = (left.next().map(|(host, _)| host), world.now);
                assert_eq!(first, None, "{load:?}, seed {seed}, at {now}");
            }
        }
    }
}

const ALL_LOADS: [HostLoad; 2] = [HostLoad::Busy, HostLoad::Sparse];

/// Servers lose power, while their flows are open. Openings to them are repeated, but other
/// servers answer.
#[yare::parameterized(one = { 1 }, some = { 5 }, a_third = { 10 })]
fn dead_servers_take_no_host_out_of_rotation(count: usize) {
    let fail = |world: &mut LoadWorld| {
        for server in world.servers_of("desk", 0).into_iter().take(count) {
            world.set_mode(server, ServerMode::Dead);
        }
    };
    check_no_alarm(&ALL_LOADS, fail, |_| ());
}

/// Changes the phases of the first servers of domain 0 in all views.
fn set_phases(world: &mut LoadWorld, count: usize, phase: ServerPhase, revision: u64) {
    let servers = world.servers_of("desk", 0).into_iter().take(count);
    let records = servers.map(|server| world.servers[server].record.clone());
    let records: Vec<_> = records
        .map(|record| ServerRecord {
            phase,
            changed: StoreRevision::new(revision),
            ..record
        })
        .collect();
    world.change_views(
        |_| true,
        |view| sync::Arc::make_mut(&mut view.directory).note_all(records.clone()),
    );
}

/// A release adds servers that do not run, while their entries say that they are ready. They
/// have no flows, so that all openings of a host go to them at first.
#[test]
fn dead_servers_without_flows_take_no_host_out_of_rotation() {
    let fail = |world: &mut LoadWorld| {
        set_phases(world, 10, ServerPhase::Draining, 5);
        world.run_until(world.now + seconds(1.0));
        for server in world.servers_of("desk", 0).into_iter().take(10) {
            world.set_mode(server, ServerMode::Dead);
        }
        set_phases(world, 10, ServerPhase::Active, 6);
    };
    check_no_alarm(&ALL_LOADS, fail, |_| ());
}

/// The links of all hosts of a domain lose everything for a quarter of a second, again and
/// again. The openings after each time are confirmed, and so are all copies.
#[test]
fn bursts_of_lost_packets_take_no_host_out_of_rotation() {
    let change = |world: &mut LoadWorld| {
        let lost = world.now % seconds(1.0) < 250_000;
        lose_packets(world, lost);
    };
    check_no_alarm(&ALL_LOADS, |_| (), change);
}

/// All hosts of a domain stand still. Openings and confirmations wait for them, and copies.
#[test]
fn a_pause_takes_no_host_out_of_rotation() {
    for pause in [150_000, 450_000, 1_500_000] {
        let fail = |world: &mut LoadWorld| {
            for host in world.hosts_of(0) {
                world.hosts[host].paused_until = FAILURE + pause;
            }
        };
        check_no_alarm(&ALL_LOADS, fail, |_| ());
    }
}

/// The store does not answer, and the entries of half of the servers lapse, which go on.
#[test]
fn a_store_outage_takes_no_host_out_of_rotation() {
    let fail = |world: &mut LoadWorld| {
        let since = timestamp(FAILURE);
        set_phases(world, 15, ServerPhase::Vanished { since }, 5);
        world.change_views(|_| true, |view| view.store_failed_at = Some(since));
        world.hosts.iter_mut().for_each(|one| one.has_store = false);
    };
    check_no_alarm(&ALL_LOADS, fail, |_| ());
}

/// A service gets half as much again as it can serve: servers shed requests, and reset flows as
/// soon as these are open.
#[test]
fn a_full_service_takes_no_host_out_of_rotation() {
    let fail = |world: &mut LoadWorld| {
        let capacity = SERVERS as f64 * 2.0 / 0.04;
        for domain in 0..3 {
            let rate = 1.4 * capacity;
            let pattern = ArrivalPattern::steady(domain, 0, rate, FAILURE..END);
            world.add_arrivals(pattern);
        }
        for server in &mut world.servers {
            server.flow_limit = 16;
        }
    };
    check_no_alarm(&[HostLoad::Busy], fail, |_| ());
}

/// All servers of a service reset openings, because their processes crash together. Callers
/// try again at once and give up. No other host would reach more servers.
#[test]
fn crashed_servers_take_no_host_out_of_rotation() {
    let fail = |world: &mut LoadWorld| {
        for server in 0..world.servers.len() {
            world.set_mode(server, ServerMode::Crashed);
        }
    };
    check_no_alarm(&ALL_LOADS, fail, |_| ());
}

/// A host that twelve servers have answered by 250 ms.
fn known_host() -> TestHost {
    let mut host = TestHost::new((1..=12).map(near_server).collect());
    host.engine = ForwardingEngine::new(1_000, 0, ReporterId::new(1)).with_load_policy(spill());
    for port in 1..=12 {
        host.establish(at(u64::from(port) * 20), port);
    }
    host
}

/// Sends six openings from `begin` on, one every 5 ms, and their first copies. No server answers.
fn lose_openings(host: &mut TestHost, begin: u64) {
    for copy in [0, 1] {
        for index in 0..6 {
            let moment = begin + u64::from(copy) * 200 + u64::from(index) * 5;
            host.handle(at(moment), &opening(21 + index, copy));
        }
    }
}

/// A host with few requests loses what it sends in a fifth of a second, copies included. Nothing
/// is sent to its servers for a while after that, so that nothing shows that they answer again.
#[test]
fn a_short_loss_without_later_openings_is_no_evidence() {
    let mut host = known_host();
    lose_openings(&mut host, 1_000);
    host.run_until(at(1_590));
    assert!(host.engine.reaches_servers());
}

/// Silent openings after the copies complete the evidence. Each test below adds one thing to
/// this that makes it insufficient.
#[test]
fn a_longer_loss_is_evidence() {
    let mut host = known_host();
    lose_openings(&mut host, 1_000);
    host.handle(at(1_300), &opening(30, 0));
    host.run_until(at(1_500));
    assert!(!host.engine.reaches_servers());
}

/// No server has answered the host for seconds, because it had nothing to send. What it loses
/// then may have been lost for long, and other hosts may lose it as well.
#[test]
fn a_loss_after_an_idle_time_is_no_early_evidence() {
    let mut host = known_host();
    lose_openings(&mut host, 5_000);
    host.handle(at(5_300), &opening(30, 0));
    host.run_until(at(5_590));
    assert!(host.engine.reaches_servers());
}

/// The link of the host has lost requests to two servers lately, which answered the repetitions.
#[test]
fn a_loss_on_a_lossy_link_is_no_early_evidence() {
    let mut host = known_host();
    for port in [1, 2] {
        let flow = flow(port);
        let watch = host.engine.watch();
        let server = watch.get(watch.hash(&flow), &flow).unwrap().server;
        for moment in [300, 600] {
            host.handle(at(moment), &data(port, server, 500, 1, 80));
        }
        host.handle(at(620), &data(port, server, 580, 3_001, 0));
    }
    lose_openings(&mut host, 1_000);
    host.handle(at(1_300), &opening(30, 0));
    host.run_until(at(1_590));
    assert!(host.engine.reaches_servers());
}

/// The host stands still for a quarter of a second. What callers sent meanwhile still waits, and
/// may show that servers answer.
#[test]
fn openings_before_a_pause_are_no_evidence() {
    let mut host = known_host();
    lose_openings(&mut host, 1_000);
    host.handle(at(1_300), &opening(30, 0));
    host.pause_until(at(1_550));
    host.tick(at(1_551));
    host.run_until(at(1_750));
    assert!(host.engine.reaches_servers());
}
