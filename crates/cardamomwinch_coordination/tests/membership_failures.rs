//! Hosts that die, sleep, restart or are cut off, as the others see them.

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
    assert!(network.run_until(LIMIT, Network::all_see_all).is_some());
    network.run(time::Duration::from_secs(5));
    network
}

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

// Callers wait for answers although enough hosts are up. The fabric loses one
// message in twenty, a healthy host fails to answer a few times, and the others
// take its shards away from it. The cause is a claim made on too little
// evidence: only what several hosts fail to reach several times may be dead.
#[parameterized(
    nine_hosts = { 9, 3600, 0.05, 11 },
    nine_hosts_and_heavier_loss = { 9, 600, 0.1, 12 },
    four_hundred_hosts = { 400, 30, 0.05, 13 },
)]
fn loss_kills_nobody(hosts: usize, duration: u64, loss: f64, seed: u64) {
    let mut network = settled(hosts, loss, seed);
    let begun = network.now;
    network.run(seconds(duration));
    assert_eq!(network.changes_to(Reachability::Dead, begun), []);
    assert_eq!(network.cuts_seen(begun), []);
    assert!(network.all_see_all());
}

// A host crashes. Callers that meet it get nothing, and the others go on to
// relay datagrams to it until they notice. At nine hosts all must within about
// a second of simulated time, whichever host it is and with some loss.
#[parameterized(
    without_loss = { 0.0, 1100 },
    with_loss = { 0.05, 1500 },
)]
fn a_dead_host_is_noticed_by_all_of_nine(loss: f64, limit: u64) {
    for victim in 0..9 {
        let mut network = settled(9, loss, 21 + victim as u64);
        let begun = network.now;
        network.crash(victim);
        let others = network.running();
        let limit = time::Duration::from_millis(limit);
        let noticed = network.run_until(limit, |network| network.none_reaches(&others, victim));
        assert!(
            noticed.is_some(),
            "host {victim} is still held for reachable"
        );
        network.run(seconds(10));
        let dead = network.changes_to(Reachability::Dead, begun);
        let victim = network.id(victim);
        assert!(dead.iter().all(|seen| is_about(&seen.event, victim)));
    }
}

fn is_about(event: &MembershipEvent, victim: HostId) -> bool {
    matches!(event, MembershipEvent::Host { host, .. } if *host == victim)
}

// A process is paused for half a minute and goes on. It still holds itself for
// alive and two hosts for alive that have died meanwhile; its shards belong to
// others by now. The cause: its claims are of before. They must not bring the
// dead back, and it must not claim the living dead because its probes ran out.
#[test]
fn a_late_waker_convinces_nobody() {
    let mut network = settled(9, 0.02, 31);
    network.pause(4);
    network.run(seconds(2));
    network.crash(1);
    network.crash(8);
    network.run(seconds(28));
    let observers = network.running();
    assert!(network.none_reaches(&observers, 4));
    let woken = network.now;
    network.wake(4);
    network.run(time::Duration::from_millis(1));
    assert!((0..9).all(|target| !network.is_reachable(4, target)));
    assert!(network.run_until(LIMIT, Network::all_see_all).is_some());
    network.run(seconds(20));
    for dead in [1, 8] {
        assert!(network.none_reaches(&network.running(), dead));
    }
    let dead = [network.id(1), network.id(8)];
    let claims = network.changes_to(Reachability::Dead, woken);
    let by_waker = |seen: &&membership_network::SeenEvent| seen.observer == 4;
    assert!(
        claims
            .iter()
            .all(|seen| dead.iter().any(|id| is_about(&seen.event, *id)))
    );
    assert_eq!(claims.iter().filter(by_waker).count(), 2);
    assert!(
        network
            .changes_to(Reachability::Alive, woken)
            .iter()
            .all(|seen| { dead.iter().all(|id| !is_about(&seen.event, *id)) })
    );
}

// A host crashes and is started again within the second in which it would have
// been found dead. Its shards must be seen to be without their records, so the
// others have to learn of its new life even though it was never missed.
#[test]
fn a_quick_restart_shows_as_a_new_life() {
    let mut network = settled(9, 0.02, 41);
    let id = network.id(3);
    let earlier = network.hosts[3].identity.incarnation;
    network.crash(3);
    network.run(time::Duration::from_millis(200));
    network.restart(3);
    let later = network.hosts[3].identity.incarnation;
    assert!(later > earlier);
    let learnt = network.run_until(LIMIT, |network| {
        let others = network.running().into_iter().filter(|host| *host != 3);
        let mut lives = others.map(|host| network.hosts[host].policy.incarnation(id));
        lives.all(|life| life == Some(later)) && network.all_see_all()
    });
    assert!(learnt.is_some());
}

// A failure domain is cut off from the others and from the platform for a
// minute, and comes back. If each of its hosts were claimed dead, hundreds of
// claims and refutations would fill the links just when the cut heals, and
// every shard would move. Both sides see one cut, nobody dies, and within a few
// seconds all see all again.
#[parameterized(
    nine_hosts = { 9, 0.05, 51 },
    hundred_hosts = { 100, 0.05, 52 },
)]
fn a_cut_along_a_domain_is_not_many_deaths(hosts: usize, loss: f64, seed: u64) {
    let mut network = settled(hosts, loss, seed);
    let begun = network.now;
    network.forget_traffic();
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
        "a side still holds the other for reachable"
    );
    network.run(seconds(60));
    assert!(inside.iter().all(|near| {
        inside
            .iter()
            .all(|other| near == other || network.is_reachable(*near, *other))
    }));
    network.cut.clear();
    let healed = network.run_until(seconds(15), Network::all_see_all);
    assert!(healed.is_some(), "the cut did not heal");
    assert_eq!(network.changes_to(Reachability::Dead, begun), []);
    let elapsed = network.now.since(begun).as_secs();
    for host in &network.hosts {
        assert!(
            host.sent_bytes / elapsed <= 800,
            "a storm of {} bytes",
            host.sent_bytes
        );
    }
}

// While a domain is cut off, one of its hosts dies and another restarts. After
// the cut the others must find out, though those rumours died down long before.
#[test]
fn what_changed_behind_a_cut_is_learnt_after_it() {
    let mut network = settled(9, 0.02, 61);
    let cut = membership_network::domain(1);
    let inside = network.in_domain(cut);
    network.cut = vec![cut];
    network.run(seconds(10));
    network.crash(inside[0]);
    network.restart(inside[1]);
    let restarted = network.id(inside[1]);
    let life = network.hosts[inside[1]].identity.incarnation;
    network.run(seconds(60));
    network.cut.clear();
    let learnt = network.run_until(LIMIT, |network| {
        let others = network.running();
        network.none_reaches(&others, inside[0])
            && network.all_see_all()
            && others.iter().all(|host| {
                *host == inside[1]
                    || network.hosts[*host].policy.incarnation(restarted) == Some(life)
            })
    });
    assert!(learnt.is_some());
}

// One host loses its network for ten seconds, while it runs on. To it everyone
// seems dead. The cause is its own cable: when it is back it must not spread
// claims that the others are dead, and its own death has to be refuted.
#[test]
fn a_host_without_network_claims_nobody_dead() {
    let mut network = settled(9, 0.0, 71);
    let begun = network.now;
    let alone = 5;
    network.isolated = vec![alone];
    network.run(seconds(10));
    assert!((0..9).all(|target| !network.is_reachable(alone, target)));
    assert!(network.none_reaches(&network.running(), alone));
    network.isolated.clear();
    assert!(network.run_until(LIMIT, Network::all_see_all).is_some());
    let victim = network.id(alone);
    let claims = network.changes_to(Reachability::Dead, begun);
    assert!(claims.iter().all(|seen| is_about(&seen.event, victim)));
    assert!(claims.iter().all(|seen| seen.observer != alone));
}

// The list names a host that was never started. Were it held for alive, shards
// would be given to it and their callers would wait. It is unknown, and never
// dies, since it never lived.
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
    assert!(network.all_see_all());
    network.restart(7);
    assert!(network.run_until(LIMIT, Network::all_see_all).is_some());
}

// The list marks a host as leaving long before it stops; it still holds flows
// and hands them over. It counts as reachable until it is silent.
#[test]
fn a_leaving_host_is_kept_until_it_is_silent() {
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
    assert!(network.all_see_all());
    network.crash(2);
    let others = network.running();
    let silent = network.run_until(LIMIT, |network| network.none_reaches(&others, 2));
    assert!(silent.is_some());
}

// A host is added, so that the list changes, but half of the fleet has not
// learnt of the new list yet. A host dies just then. Positions differ between
// the two lists: a rumour read against the wrong one would bury another host.
#[test]
fn unequal_lists_bury_nobody_else() {
    let mut network = settled(9, 0.02, 101);
    let shorter = (1..9).map(|index| host_entry(index, 3, HostPhase::Live));
    let list = rc::Rc::new(host_table(1001, shorter));
    for host in [1, 4, 6, 7] {
        network.publish(host, &list);
    }
    network.run(seconds(1));
    let begun = network.now;
    network.crash(5);
    network.run(seconds(30));
    let victim = network.id(5);
    let others: Vec<usize> = network
        .running()
        .into_iter()
        .filter(|host| *host != 0)
        .collect();
    assert!(network.none_reaches(&others, 5));
    let claims = network.changes_to(Reachability::Dead, begun);
    assert!(claims.iter().all(|seen| is_about(&seen.event, victim)));
}
