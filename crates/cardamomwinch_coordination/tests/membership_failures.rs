//! How other hosts detect that a host crashes, is paused, restarts or is cut
//! off.

#![allow(clippy::unwrap_used, missing_docs)]

mod membership_network;

use std::rc;
use std::time;

use cardamomwinch_coordination::control::membership::{
    MembershipEvent, PeerMembership, Reachability,
};
use cardamomwinch_state::prelude::*;
use yare::parameterized;

use membership_network::{Network, NetworkOptions, host_entry, host_table};

type ProbedNetwork = Network<PeerMembership>;

const LIMIT: time::Duration = time::Duration::from_secs(120);

fn settled(hosts: usize, loss: f64, seed: u64) -> ProbedNetwork {
    let mut network = ProbedNetwork::new(NetworkOptions::new(hosts, loss, seed));
    assert!(network.run_until(LIMIT, Network::all_reach_all).is_some());
    network.run(time::Duration::from_secs(5));
    network
}

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

// The fabric loses one message in twenty, and a healthy host seems not to answer
// a few times. If it were claimed dead on that evidence, its shards would move to
// other hosts and callers would wait for answers, although enough hosts are up.
// Only a host that several hosts fail to reach several times may be claimed
// dead.
#[parameterized(
    nine_hosts = { 9, 3600, 0.05, 11 },
    nine_hosts_and_heavier_loss = { 9, 600, 0.1, 12 },
    four_hundred_hosts = { 400, 30, 0.05, 13 },
)]
fn no_host_is_claimed_dead_because_of_loss(hosts: usize, duration: u64, loss: f64, seed: u64) {
    let mut network = settled(hosts, loss, seed);
    let started = network.now;
    network.run(seconds(duration));
    assert_eq!(network.changes_to(Reachability::Dead, started), []);
    assert_eq!(network.cuts_seen(started), []);
    assert!(network.all_reach_all());
}

// A host crashes. Until the others detect this, they relay datagrams to it, and
// callers whose packets reach it get no answer. In a fleet of nine, every other
// host must detect it within the limit of simulated time, whichever host it is
// and also with some packet loss.
#[parameterized(
    without_loss = { 0.0, 1100 },
    with_loss = { 0.05, 1500 },
)]
fn all_hosts_detect_a_crash_in_time(loss: f64, limit: u64) {
    for victim in 0..9 {
        let mut network = settled(9, loss, 21 + victim as u64);
        let started = network.now;
        network.crash(victim);
        let others = network.running();
        let limit = time::Duration::from_millis(limit);
        let noticed = network.run_until(limit, |network| network.none_reaches(&others, victim));
        assert!(
            noticed.is_some(),
            "host {victim} is still considered reachable"
        );
        network.run(seconds(10));
        let dead = network.changes_to(Reachability::Dead, started);
        let victim = network.id(victim);
        assert!(dead.iter().all(|seen| is_about(&seen.event, victim)));
    }
}

fn is_about(event: &MembershipEvent, victim: HostId) -> bool {
    matches!(event, MembershipEvent::Host { host, .. } if *host == victim)
}

// A process is paused for half a minute and resumes. Its state is outdated: it
// considers itself and two hosts alive that have been claimed dead meanwhile, and
// its shards have moved to other hosts. Its outdated claims must not make the
// dead hosts reachable again, and it must not claim that live hosts are dead
// because its probes of them timed out during the pause.
#[test]
fn claims_of_a_resumed_host_are_ignored() {
    let mut network = settled(9, 0.02, 31);
    network.pause(4);
    network.run(seconds(2));
    network.crash(1);
    network.crash(8);
    network.run(seconds(28));
    let observers = network.running();
    assert!(network.none_reaches(&observers, 4));
    let resumed = network.now;
    network.resume(4);
    network.run(time::Duration::from_millis(1));
    assert!((0..9).all(|target| !network.is_reachable(4, target)));
    assert!(network.run_until(LIMIT, Network::all_reach_all).is_some());
    network.run(seconds(20));
    for dead in [1, 8] {
        assert!(network.none_reaches(&network.running(), dead));
    }
    let dead = [network.id(1), network.id(8)];
    let claims = network.changes_to(Reachability::Dead, resumed);
    let by_resumed = |seen: &&membership_network::SeenEvent| seen.observer == 4;
    assert!(
        claims
            .iter()
            .all(|seen| dead.iter().any(|id| is_about(&seen.event, *id)))
    );
    assert_eq!(claims.iter().filter(by_resumed).count(), 2);
    assert!(
        network
            .changes_to(Reachability::Alive, resumed)
            .iter()
            .all(|seen| { dead.iter().all(|id| !is_about(&seen.event, *id)) })
    );
}

// A host crashes and is restarted before the others detect the crash. It has
// lost the records of its shards, so the others must learn its new incarnation
// although it never became unreachable to them.
#[test]
fn a_quick_restart_shows_as_a_new_incarnation() {
    let mut network = settled(9, 0.02, 41);
    let id = network.id(3);
    let earlier = network.hosts[3].identity.incarnation;
    network.crash(3);
    network.run(time::Duration::from_millis(200));
    network.restart(3);
    let later = network.hosts[3].identity.incarnation;
    assert!(later > earlier);
    let learned = network.run_until(LIMIT, |network| {
        let others = network.running().into_iter().filter(|host| *host != 3);
        let mut incarnations = others.map(|host| network.hosts[host].policy.incarnation(id));
        incarnations.all(|known| known == Some(later)) && network.all_reach_all()
    });
    assert!(learned.is_some());
}

// A failure domain is cut off from the others and from the platform for a
// minute. If each of its hosts were claimed dead, hundreds of claims and
// refutations would load the network when the cut ends, and every shard would
// move. Instead, both sides must detect one cut and claim no host dead, and all
// hosts must consider each other reachable again within a few seconds.
#[parameterized(
    nine_hosts = { 9, 0.05, 51 },
    hundred_hosts = { 100, 0.05, 52 },
)]
fn a_cut_off_domain_is_detected_as_one_cut(hosts: usize, loss: f64, seed: u64) {
    let mut network = settled(hosts, loss, seed);
    let started = network.now;
    network.reset_traffic_counts();
    let cut = membership_network::domain(1);
    network.cut = vec![cut];
    let inside = network.in_domain(cut);
    let outside: Vec<usize> = network.running();
    let outside: Vec<usize> = outside
        .into_iter()
        .filter(|host| !inside.contains(host))
        .collect();
    let separated = network.run_until(seconds(20), |network| {
        let mut pairs = inside
            .iter()
            .flat_map(|near| outside.iter().map(move |far| (near, far)));
        pairs.all(|(near, far)| {
            !network.is_reachable(*near, *far) && !network.is_reachable(*far, *near)
        })
    });
    assert!(
        separated.is_some(),
        "one side still considers a host of the other reachable"
    );
    network.run(seconds(60));
    assert!(inside.iter().all(|near| {
        inside
            .iter()
            .all(|other| near == other || network.is_reachable(*near, *other))
    }));
    network.cut.clear();
    let reconnected = network.run_until(seconds(15), Network::all_reach_all);
    assert!(
        reconnected.is_some(),
        "hosts are still unreachable after the cut"
    );
    assert_eq!(network.changes_to(Reachability::Dead, started), []);
    let elapsed = network.now.since(started).as_secs();
    for host in &network.hosts {
        assert!(
            host.sent_bytes / elapsed <= 800,
            "too many bytes sent: {}",
            host.sent_bytes
        );
    }
}

// While a domain is cut off, one of its hosts crashes and another restarts. The
// rumours about this end long before the cut does, so the hosts outside must
// learn about both hosts from the exchange after the cut.
#[test]
fn changes_during_a_cut_are_learned_after_it() {
    let mut network = settled(9, 0.02, 61);
    let cut = membership_network::domain(1);
    let inside = network.in_domain(cut);
    network.cut = vec![cut];
    network.run(seconds(10));
    network.crash(inside[0]);
    network.restart(inside[1]);
    let restarted = network.id(inside[1]);
    let incarnation = network.hosts[inside[1]].identity.incarnation;
    network.run(seconds(60));
    network.cut.clear();
    let learned = network.run_until(LIMIT, |network| {
        let others = network.running();
        network.none_reaches(&others, inside[0])
            && network.all_reach_all()
            && others.iter().all(|host| {
                *host == inside[1]
                    || network.hosts[*host].policy.incarnation(restarted) == Some(incarnation)
            })
    });
    assert!(learned.is_some());
}

// One host loses its network connection for ten seconds but continues to run.
// It receives nothing from any other host. When it is connected again it must
// not spread claims that the others are dead, and it must refute the claim that
// it is dead itself.
#[test]
fn a_disconnected_host_claims_no_host_dead() {
    let mut network = settled(9, 0.0, 71);
    let started = network.now;
    let alone = 5;
    network.isolated = vec![alone];
    network.run(seconds(10));
    assert!((0..9).all(|target| !network.is_reachable(alone, target)));
    assert!(network.none_reaches(&network.running(), alone));
    network.isolated.clear();
    assert!(network.run_until(LIMIT, Network::all_reach_all).is_some());
    let victim = network.id(alone);
    let claims = network.changes_to(Reachability::Dead, started);
    assert!(claims.iter().all(|seen| is_about(&seen.event, victim)));
    assert!(claims.iter().all(|seen| seen.observer != alone));
}

// The list contains a host that was never started. If it were considered alive,
// it would be assigned shards, and callers would wait for it. Its reachability
// must stay unknown and never become dead.
#[test]
fn a_listed_host_that_never_answered_is_unknown() {
    let mut network = ProbedNetwork::new(NetworkOptions::new(9, 0.02, 81));
    network.crash(7);
    network.run(seconds(60));
    let absent = network.id(7);
    for observer in network.running() {
        let policy = &network.hosts[observer].policy;
        assert_eq!(policy.reachability(absent), Reachability::Unknown);
        assert!(!network.is_reachable(observer, 7));
    }
    assert!(network.all_reach_all());
    network.restart(7);
    assert!(network.run_until(LIMIT, Network::all_reach_all).is_some());
}

// The list marks a host as leaving long before it stops. The host still serves
// and hands over its flows, so it must be considered reachable until it stops
// answering.
#[test]
fn a_leaving_host_is_reachable_until_it_is_silent() {
    let mut network = settled(9, 0.0, 91);
    let phase = |index| {
        if index == 2 {
            HostPhase::Leaving
        } else {
            HostPhase::Live
        }
    };
    let entries = (0..9).map(|index| host_entry(index, 3, phase(index)));
    let list = rc::Rc::new(host_table(1001, entries));
    for host in 0..9 {
        network.publish(host, &list);
        network.run(time::Duration::from_millis(300));
    }
    network.run(seconds(20));
    assert!(network.all_reach_all());
    network.crash(2);
    let others = network.running();
    let silent = network.run_until(LIMIT, |network| network.none_reaches(&others, 2));
    assert!(silent.is_some());
}

// A host is removed from the list, but only some hosts have received the new
// list yet, and then another host crashes. Positions differ between the two
// lists, so a rumour that is decoded with the wrong list would mark another host
// as dead.
#[test]
fn different_lists_do_not_mark_the_wrong_host_dead() {
    let mut network = settled(9, 0.02, 101);
    let shorter = (1..9).map(|index| host_entry(index, 3, HostPhase::Live));
    let list = rc::Rc::new(host_table(1001, shorter));
    for host in [1, 4, 6, 7] {
        network.publish(host, &list);
    }
    network.run(seconds(1));
    let started = network.now;
    network.crash(5);
    network.run(seconds(30));
    let victim = network.id(5);
    let others: Vec<usize> = network
        .running()
        .into_iter()
        .filter(|host| *host != 0)
        .collect();
    assert!(network.none_reaches(&others, 5));
    let claims = network.changes_to(Reachability::Dead, started);
    assert!(claims.iter().all(|seen| is_about(&seen.event, victim)));
}
