//! Windows of servers: how many arrivals meet a full queue, also while hosts or servers fail.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;
mod load_support;

use std::collections;
use std::sync;

use cardamomwinch_coordination::forwarding::cold_starts::ColdShare;
use cardamomwinch_coordination::forwarding::directory::{ServerPhase, ServerRecord};
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_state::flow;
use forwarding_support::*;
use load_support::backends::{LoadServer, ServerMode};
use load_support::callers::ArrivalPattern;
use load_support::outcomes::ArrivalSummary;
use load_support::routes::{LoadRoute, ServerGroup};
use load_support::{LoadSetup, LoadWorld, seconds, timestamp};
use yare::parameterized;

const HOSTS: usize = 23;
const SERVERS: usize = 40;
/// Of how many arrivals one may meet a full queue.
const MIN_ARRIVALS_PER_SHED: u32 = 1_000;
/// 70 per cent of what two slots serve per second if a request takes 40 ms.
const RATE_PER_SERVER: f64 = 35.0;

/// The sorted hashes of `count` hosts.
fn hashes(count: u64) -> Vec<u64> {
    let mut hashes: Vec<u64> = (1..=count).map(flow::mix).collect();
    hashes.sort_unstable();
    hashes
}

/// Hosts and servers of a domain, with requests that take 40 ms on average, at 70 % of all
/// slots.
fn world(windows: bool, hosts: usize, servers: usize, end: u64) -> LoadWorld {
    let mut route = LoadRoute::new(1, "desk", 40, 500, 2_500);
    route.spread = 1.0;
    let mut world = LoadWorld::new(LoadSetup {
        seed: 1,
        hosts: vec![hosts],
        domain_delay: 500,
        policy: LoadPolicy {
            windows,
            ..LoadPolicy::default()
        },
        routes: vec![route],
        servers: vec![ServerGroup::new("desk", 0, servers, 2)],
    });
    let rate = RATE_PER_SERVER * servers as f64;
    world.add_arrivals(ArrivalPattern::steady(0, 0, rate, 0..end));
    world
}

/// Plays the load of 23 hosts and 40 servers for `length` seconds; `disturb` may change something
/// before each tenth of a second.
fn play(windows: bool, length: u64, mut disturb: impl FnMut(&mut LoadWorld, u64)) -> LoadWorld {
    let end = seconds(length as f64);
    let mut world = world(windows, HOSTS, SERVERS, end);
    for tenth in 0..length * 10 {
        disturb(&mut world, tenth);
        world.run_until((tenth + 1) * seconds(0.1));
    }
    let all = world.arrivals(0..end, |_| true);
    let requests = world.requests(0..end, |_| true);
    println!(
        "windows {windows}: {all:?}, lost {}, late {}, p99 {}",
        requests.lost,
        requests.late,
        requests.percentile(99)
    );
    world
}

fn has_few_sheds(arrivals: &ArrivalSummary) -> bool {
    (arrivals.shed + arrivals.reset) * MIN_ARRIVALS_PER_SHED <= arrivals.arrived
}

/// Checks that few arrivals meet a full queue with windows, and too many without.
fn check_sheds(with: &LoadWorld, without: &LoadWorld) {
    let sum = |world: &LoadWorld| world.arrivals(0..world.now, |_| true);
    let (with, without) = (sum(with), sum(without));
    assert!(!has_few_sheds(&without), "{without:?}");
    assert!(has_few_sheds(&with), "{with:?}");
}

/// The number of servers that received requests in one second of the run.
fn servers_used(world: &LoadWorld, second: u64) -> usize {
    let times = second * seconds(1.0)..(second + 1) * seconds(1.0);
    let arrivals = world.arrivals.iter().filter(|one| times.contains(&one.at));
    let servers: collections::BTreeSet<_> = arrivals.map(|one| one.server).collect();
    servers.len()
}

/// 23 hosts share 40 servers of two slots that queue eight more requests. Each host counts
/// only its own flows, of which one or two are open at a time, so that some servers shed
/// requests while others idle.
#[test]
fn few_arrivals_meet_a_full_queue_at_70_percent_of_all_slots() {
    let quiet = |_: &mut LoadWorld, _| {};
    check_sheds(&play(true, 30, quiet), &play(false, 30, quiet));
}

/// In a domain of more hosts than a list holds, windows are placed by hash, so that some
/// servers are in more windows than others. They must still shed fewer requests than without
/// windows.
#[test]
fn a_large_domain_sheds_less_than_without_windows() {
    let shed = |windows| {
        let mut world = world(windows, 100, 120, seconds(10.0));
        world.run_until(seconds(10.0));
        let all = world.arrivals(0..world.now, |_| true);
        println!("windows {windows}: {all:?}");
        all.shed
    };
    assert!(shed(true) * 4 < shed(false) * 3);
}

/// Sets the hosts that `host` lists.
fn list(world: &mut LoadWorld, host: usize, listed: impl Fn(u64) -> bool) {
    let share = world.hosts[host].view.cold_share.as_mut().unwrap();
    let numbers = share.host_numbers.iter().copied();
    let numbers = numbers.filter(|number| listed(*number) || *number == share.host_number);
    share.host_numbers = numbers.collect();
}

/// Each host misses up to three others, not the same ones. Windows are shifted, so that
/// servers are shared unevenly, which must not fill their queues.
#[test]
fn lists_that_differ_fill_no_queues() {
    let differ = |world: &mut LoadWorld, tenth: u64| {
        for host in (0..HOSTS).filter(|_| tenth == 0) {
            let missing = |turn: u64| flow::mix(flow::mix(host as u64 + 100) ^ turn) % HOSTS as u64;
            let missing: Vec<u64> = (0..3).map(|turn| flow::mix(missing(turn) + 1)).collect();
            list(world, host, |number| !missing.contains(&number));
        }
    };
    check_sheds(&play(true, 30, differ), &play(false, 30, differ));
}

/// A host restarts and knows nothing: no flows, for a second no other hosts, and for another
/// second only two of them.
#[test]
fn a_restart_of_a_host_fills_no_queues() {
    let restart = |world: &mut LoadWorld, tenth: u64| {
        let all: sync::Arc<[u64]> = hashes(HOSTS as u64).into();
        let share = |numbers: sync::Arc<[u64]>| ColdShare {
            host_number: flow::mix(1),
            host_numbers: numbers,
        };
        let known = match tenth {
            50 => return world.stop_host(0),
            55 => None,
            65 => Some(share([flow::mix(1), all[10], all[20]].into())),
            75 => Some(share(all)),
            _ => return,
        };
        world.hosts[0].view.cold_share = known;
        if tenth == 55 {
            world.start_host(0);
        }
    };
    check_sheds(&play(true, 30, restart), &play(false, 30, restart));
}

/// Hosts die. The others list them for three seconds more, and then remove them one after the
/// other, so that their lists differ. Meanwhile the windows of the hosts that died are used by
/// the remaining ones only. No server may be without flows, unless both hosts that use it
/// have died.
#[parameterized(
    one = { &[5], SERVERS },
    two_that_share_no_server = { &[5, 15], SERVERS },
    two_that_share_servers = { &[5, 6], SERVERS - 2 },
)]
fn hosts_that_die_leave_their_servers_to_others(ranks: &[usize], servers: usize) {
    let all = hashes(HOSTS as u64);
    let dead: Vec<u64> = ranks.iter().map(|rank| all[*rank]).collect();
    let die = |world: &mut LoadWorld, tenth: u64| {
        let is_dead = |host: usize| dead.contains(&flow::mix(host as u64 + 1));
        if tenth == 50 {
            (0..HOSTS)
                .filter(|host| is_dead(*host))
                .for_each(|host| world.stop_host(host));
        }
        let host = tenth.wrapping_sub(80) as usize;
        if host < HOSTS {
            list(world, host, |number| !dead.contains(&number));
        }
    };
    let with = play(true, 30, die);
    for second in 1..30 {
        let used = servers_used(&with, second);
        assert!(used >= servers, "{used} in second {second}");
    }
    check_sheds(&with, &play(false, 30, die));
}

/// A server accepts requests and answers none. Each host that uses it loses requests until it
/// has found out by itself. With windows, few hosts use it, and its other flows must not fill
/// the queues of the servers in the same windows.
#[test]
fn a_server_that_hangs_takes_few_requests() {
    let hang = |world: &mut LoadWorld, tenth: u64| {
        if tenth == 50 {
            world.set_mode(17, ServerMode::Hanging);
        }
    };
    let taken = |world: &LoadWorld| {
        let hung = world.arrivals(seconds(5.0)..seconds(30.0), |one| one.server == 17);
        println!("{hung:?} at the server that hangs");
        hung.arrived
    };
    let (with, without) = (play(true, 30, hang), play(false, 30, hang));
    assert!(taken(&with) * 2 < taken(&without));
    check_sheds(&with, &without);
}

/// Replaces server `old` in the views and in the world: it drains, and a new one starts.
fn begin_replacement(world: &mut LoadWorld, old: usize) {
    let new = SERVERS + old;
    let record = ServerRecord {
        id: near_server(new as u64).id,
        ..world.servers[old].record.clone()
    };
    let draining = ServerRecord {
        phase: ServerPhase::Draining,
        ..world.servers[old].record.clone()
    };
    assert_eq!(world.servers.len(), new);
    world.servers.push(LoadServer::new(record.clone()));
    world.change_views(
        |_| true,
        |view| {
            let directory = sync::Arc::make_mut(&mut view.directory);
            directory.note_all([draining.clone(), record.clone()]);
        },
    );
}

fn end_replacement(world: &mut LoadWorld, old: usize) {
    world.set_mode(old, ServerMode::Dead);
    let left = ServerRecord {
        phase: ServerPhase::Left {
            since: timestamp(world.now),
        },
        ..world.servers[old].record.clone()
    };
    world.change_views(
        |_| true,
        |view| sync::Arc::make_mut(&mut view.directory).note(left.clone()),
    );
}

/// A release replaces the servers one after the other. Windows shift with each, and the
/// servers that left stay known.
#[test]
fn a_release_fills_no_queues() {
    let replace = |world: &mut LoadWorld, tenth: u64| {
        let server = (tenth / 5).wrapping_sub(10) as usize;
        if tenth.is_multiple_of(5) && server < SERVERS {
            begin_replacement(world, server);
        }
        let server = (tenth / 5).wrapping_sub(12) as usize;
        if tenth.is_multiple_of(5) && server < SERVERS {
            end_replacement(world, server);
        }
    };
    let with = play(true, 32, replace);
    assert_eq!(servers_used(&with, 30), SERVERS);
    let lost = with.requests(0..seconds(30.0), |_| true).lost;
    assert_eq!(lost, 0);
    check_sheds(&with, &play(false, 32, replace));
}
