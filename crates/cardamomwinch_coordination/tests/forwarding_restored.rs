//! What hosts know after the store was restored from a backup.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::discovery::peer_messages::PeerAnswer;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    ServerStart, StoreCall, StoreChange, StoreEra, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryChange, DiscoveryEngine};
use forwarding_support::fleet::{Condition, Fleet, SETTLED};
use forwarding_support::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra::new(era), number)
}

fn entry(number: u64, era: u64, written: u64, draining: bool) -> StoreChange {
    server_entry_at(number, revision(era, written), draining)
}

fn evacuation_begun(name: &str, era: u64, written: u64) -> StoreChange {
    StoreChange::EvacuationBegun {
        domain: domain(name),
        revision: revision(era, written),
    }
}

/// A page with a route and `more`, read at `number` of `era`; `next` is the key of the next
/// page.
fn page(more: Vec<StoreChange>, era: u64, number: u64, next: Option<&str>) -> StoreOutcome {
    let routes = document(1, vec![(service_address(), route(true))]);
    let mut items = vec![StoreChange::Routes(routes)];
    items.extend(more);
    StoreOutcome::Page {
        items,
        revision: revision(era, number),
        next: next.map(str::to_owned),
    }
}

fn watched(changes: Vec<StoreChange>, era: u64, number: u64) -> StoreOutcome {
    StoreOutcome::Changes {
        changes,
        revision: revision(era, number),
    }
}

/// A host that knows servers 1 and 2, and `more`, at revision 26 of the first era.
fn started(number: u8, more: Vec<StoreChange>) -> DiscoveryEngine {
    let mut engine = discovery_engine(number);
    let mut items = vec![entry(1, 1, 5, false), entry(2, 1, 6, false)];
    items.extend(more);
    engine.handle_store(at(0), page(items, 1, 26, None));
    engine.next_store_call(at(10));
    engine.take_changes();
    engine
}

/// Restores the store from a backup of revision 24; the host lists everything again.
fn restored(engine: &mut DiscoveryEngine, moment: u64, items: Vec<StoreChange>) {
    engine.handle_store(at(moment), StoreOutcome::HistoryGone);
    let call = engine.next_store_call(at(moment));
    assert_eq!(call, StoreCall::List { after: None });
    engine.handle_store(at(moment), page(items, 2, 24, None));
}

fn phase(engine: &DiscoveryEngine, number: u64) -> Option<ServerPhase> {
    let view = engine.view();
    Some(view.directory.get(near_server(number).id)?.phase)
}

fn is_evacuated(engine: &DiscoveryEngine, name: &str) -> bool {
    let view = engine.view();
    view.directory.evacuations().is_evacuated(domain(name))
}

/// The answer of `peer` to a query of `host`.
fn query_peer(peer: &mut DiscoveryEngine, host: &mut DiscoveryEngine, moment: u64) -> PeerAnswer {
    let (_, query) = host.next_query(at(moment)).unwrap();
    peer.answer_query(at(moment), &query)
}

/// Guards against new flows on a draining server. After the restore its change has a number
/// that other hosts already know from the earlier era, so they would ignore it.
#[test]
fn a_change_reaches_all_hosts_although_its_number_was_assigned_before() {
    let mut fleet = Fleet::settled(25);
    for _ in 0..3 {
        fleet.write(2, false);
    }
    fleet.run_until(SETTLED + 1_000);
    fleet.restore(2);
    fleet.run_until(SETTLED + 5_000);
    let time = fleet.time_to_all();
    assert!(time <= 500, "{time} ms");
}

/// Guards against new flows on a draining server after the store was restored twice while
/// hosts were still catching up.
#[test]
fn a_change_reaches_all_hosts_after_two_restores_in_a_row() {
    let mut fleet = Fleet::settled(25);
    for _ in 0..4 {
        fleet.write(2, false);
    }
    fleet.run_until(SETTLED + 1_000);
    fleet.restore(2);
    fleet.run_until(SETTLED + 1_100);
    fleet.write(2, false);
    fleet.run_until(SETTLED + 1_200);
    fleet.restore(1);
    let time = fleet.time_to_all();
    assert!(time <= 2_500, "{time} ms");
}

/// Guards against all hosts of a large domain listing a restored store.
#[test]
fn a_restored_store_is_read_by_few_hosts() {
    let mut fleet = Fleet::settled(100);
    fleet.write(2, false);
    fleet.run_until(SETTLED + 1_000);
    fleet.reset_counters();
    fleet.restore(1);
    fleet.run_until(SETTLED + 6_000);
    println!("{} calls, {} listings", fleet.calls, fleet.listings);
    assert!(fleet.listings <= 10, "{} listings", fleet.listings);
    assert!(fleet.calls <= 200, "{} calls", fleet.calls);
}

/// Guards against all hosts of a large domain listing the store after an outage of several
/// seconds: with 26,000 servers that is fifty calls per host.
#[test]
fn few_hosts_list_a_store_after_an_outage() {
    let mut fleet = Fleet::settled(100);
    fleet.write(2, false);
    fleet.run_until(SETTLED + 1_000);
    for host in &mut fleet.hosts {
        host.condition = Condition::Refused;
    }
    fleet.run_until(SETTLED + 4_500);
    fleet.restore(1);
    fleet.reset_counters();
    for host in &mut fleet.hosts {
        host.condition = Condition::Running;
    }
    let time = fleet.time_to_all();
    fleet.run_until(SETTLED + 12_000);
    println!(
        "{time} ms, {} calls, {} listings",
        fleet.calls, fleet.listings
    );
    assert!(time <= 2_500, "{time} ms");
    assert!(fleet.listings <= 20, "{} listings", fleet.listings);
}

/// Guards against hosts whose data differs permanently after restores, writes and refused
/// hosts in any order. In the end all servers write their entries again.
#[yare::parameterized(
    first = { 11 },
    second = { 12 },
    third = { 13 },
    fourth = { 14 },
    fifth = { 15 },
    sixth = { 16 },
)]
fn all_hosts_agree_with_a_store_that_was_restored_repeatedly(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::settled(12);
    // Whether each server drains. A draining server stays so.
    let mut drains = [false; 8];
    for _ in 0..40 {
        match random.random_range(0..6) {
            0 => fleet.restore(random.random_range(0..4)),
            1 => {
                let index = random.random_range(0..fleet.hosts.len());
                let host = &mut fleet.hosts[index];
                host.condition = match host.condition {
                    Condition::Running => Condition::Refused,
                    _ => Condition::Running,
                };
            }
            _ => {
                let number = random.random_range(0..drains.len());
                drains[number] |= random.random_bool(0.2);
                fleet.write(1 + number as u64, drains[number]);
            }
        }
        fleet.run_until(fleet.now + random.random_range(1..60) * 10);
    }
    for host in &mut fleet.hosts {
        host.condition = Condition::Running;
    }
    for (number, drains) in (1..).zip(drains) {
        fleet.write(number, drains);
    }
    fleet.run_until(fleet.now + 5_000);
    let expected = drains.map(|drains| match drains {
        true => Some(ServerPhase::Draining),
        false => Some(ServerPhase::Active),
    });
    for host in &fleet.hosts {
        let phases: Vec<_> = (1..9).map(|number| phase(&host.engine, number)).collect();
        assert_eq!(phases, expected);
    }
}

/// Guards against new flows on a draining server whose entry had a higher number in the
/// earlier era.
#[test]
fn entries_of_a_later_era_are_later_whatever_their_numbers() {
    let mut engine = started(1, vec![entry(1, 1, 25, false)]);
    restored(&mut engine, 100, vec![entry(1, 2, 5, false)]);
    let drains = watched(vec![entry(1, 2, 25, true)], 2, 25);
    engine.next_store_call(at(110));
    engine.handle_store(at(200), drains);
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Draining));
    assert_eq!(engine.revision(), revision(2, 25));
    let changed = engine.take_changes();
    let is_restored =
        |change: &DiscoveryChange| matches!(change, DiscoveryChange::StoreRestored { .. });
    assert_eq!(changed.iter().filter(|one| is_restored(one)).count(), 1);
}

/// Guards against new flows on a draining server. The restored store has already passed the
/// number that the watch starts from, so the watch misses changes.
#[test]
fn changes_of_another_era_than_the_watch_cause_a_listing() {
    let mut engine = started(1, Vec::new());
    engine.handle_store(at(100), watched(vec![entry(2, 2, 27, false)], 2, 27));
    let call = engine.next_store_call(at(110));
    assert_eq!(call, StoreCall::List { after: None });
    let items = vec![entry(1, 2, 25, true), entry(2, 2, 27, false)];
    engine.handle_store(at(120), page(items, 2, 27, None));
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Draining));
}

/// Guards against missed changes if a peer sends data of the new era while a watch of the
/// earlier era is open.
#[test]
fn changes_of_a_watch_from_an_earlier_era_are_not_applied() {
    let mut peer = started(1, Vec::new());
    restored(
        &mut peer,
        50,
        vec![entry(1, 2, 5, false), entry(2, 2, 6, false)],
    );
    let mut engine = started(2, Vec::new());
    let answer = query_peer(&mut peer, &mut engine, 60);
    engine.handle_answer(at(61), host_address(1), Some(answer));
    assert_eq!(engine.revision(), revision(2, 24));
    engine.handle_store(at(100), watched(vec![entry(2, 2, 28, false)], 2, 28));
    assert_eq!(engine.revision(), revision(2, 24));
    let call = engine.next_store_call(at(110));
    assert_eq!(call, StoreCall::List { after: None });
}

/// Guards against a list with servers of two eras, because the store was restored between
/// two pages.
#[test]
fn pages_of_two_eras_are_not_combined() {
    let mut engine = discovery_engine(1);
    let first = page(vec![entry(1, 1, 5, false)], 1, 26, Some("servers/1"));
    engine.handle_store(at(0), first);
    engine.handle_store(at(10), page(vec![entry(2, 2, 6, false)], 2, 24, None));
    assert!(!engine.view().is_usable());
    let call = engine.next_store_call(at(20));
    assert_eq!(call, StoreCall::List { after: None });
}

/// Guards against a draining server that counts as active again, because an answer from
/// before the restore arrives after it.
#[test]
fn answers_from_before_a_restore_change_nothing_after_it() {
    let mut peer = started(1, Vec::new());
    restored(
        &mut peer,
        50,
        vec![entry(1, 2, 5, true), entry(2, 2, 6, false)],
    );
    let mut engine = started(2, Vec::new());
    let answer = query_peer(&mut peer, &mut engine, 60);
    engine.handle_answer(at(61), host_address(1), Some(answer));
    let as_of = engine.as_of();
    engine.handle_store(at(900), watched(vec![entry(1, 1, 27, false)], 1, 27));
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Draining));
    assert_eq!(
        (engine.revision(), engine.as_of()),
        (revision(2, 24), as_of)
    );
}

/// Guards against new flows on a server that is gone. It was added and removed in changes
/// that the store lost, and the queried host has never known it.
#[test]
fn a_server_that_only_the_querying_host_knew_is_not_kept_after_a_restore() {
    let mut peer = started(1, Vec::new());
    restored(
        &mut peer,
        50,
        vec![entry(1, 2, 5, false), entry(2, 2, 6, false)],
    );
    let mut engine = started(2, vec![entry(3, 1, 26, false)]);
    let answer = query_peer(&mut peer, &mut engine, 60);
    engine.handle_answer(at(61), host_address(1), Some(answer));
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Active));
    assert!(matches!(
        phase(&engine, 3),
        Some(ServerPhase::Vanished { .. })
    ));
}

/// Guards against new flows on a draining server, if the backup is older than its draining.
#[test]
fn an_old_backup_does_not_undo_the_draining_of_a_server() {
    let mut engine = started(1, vec![entry(1, 1, 26, true)]);
    restored(
        &mut engine,
        100,
        vec![entry(1, 2, 5, false), entry(2, 2, 6, false)],
    );
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Draining));
    assert_eq!(phase(&engine, 2), Some(ServerPhase::Active));
    let mut follower = started(2, Vec::new());
    let answer = query_peer(&mut engine, &mut follower, 110);
    follower.handle_answer(at(111), host_address(1), Some(answer));
    assert_eq!(phase(&follower, 1), Some(ServerPhase::Draining));
    let again = page(
        vec![entry(1, 2, 5, false), entry(2, 2, 6, false)],
        2,
        24,
        None,
    );
    engine.handle_store(at(200), StoreOutcome::HistoryGone);
    engine.handle_store(at(210), again);
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Draining));
}

/// Guards against a server that never gets flows again: the process that was draining is
/// not the one that is listed.
#[test]
fn a_restarted_server_accepts_flows_after_a_restore() {
    let started_entry = |era, written, draining, start| {
        let StoreChange::Server(mut one) = entry(1, era, written, draining) else {
            panic!("an entry is a server's");
        };
        one.started = Some(ServerStart::new(start));
        StoreChange::Server(one)
    };
    let mut engine = started(1, vec![started_entry(1, 26, true, 7_000)]);
    restored(&mut engine, 100, vec![started_entry(2, 24, false, 9_000)]);
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Active));
    // The entry that the server writes in this era replaces the earlier one.
    let mut engine = started(1, vec![started_entry(1, 26, true, 7_000)]);
    restored(&mut engine, 100, vec![started_entry(2, 5, false, 7_000)]);
    engine.next_store_call(at(110));
    let watched_change = watched(vec![started_entry(2, 25, false, 7_000)], 2, 25);
    engine.handle_store(at(200), watched_change);
    assert_eq!(phase(&engine, 1), Some(ServerPhase::Active));
}

/// Guards against ending flows on running servers that the backup lacks, because they were
/// added after it was made.
#[test]
fn entries_missing_in_a_backup_are_unknown_until_written_again() {
    let mut engine = started(1, Vec::new());
    restored(&mut engine, 100, vec![entry(2, 2, 6, false)]);
    assert!(matches!(
        phase(&engine, 1),
        Some(ServerPhase::Vanished { .. })
    ));
    assert!(!engine.view().is_complete(at(2_000)));
}

/// Guards against new flows in an evacuated domain, if the backup is older than the
/// evacuation.
#[test]
fn an_evacuation_missing_in_a_backup_counts_until_it_could_be_written_again() {
    let mut engine = started(1, vec![evacuation_begun("far", 1, 26)]);
    restored(&mut engine, 100, vec![entry(1, 2, 5, false)]);
    assert!(is_evacuated(&engine, "far"));
    let mut follower = started(2, Vec::new());
    let answer = query_peer(&mut engine, &mut follower, 110);
    follower.handle_answer(at(111), host_address(1), Some(answer));
    assert!(is_evacuated(&follower, "far"));
    for host in [&mut engine, &mut follower] {
        host.tick(at(2_600));
        assert!(is_evacuated(host, "far"));
        host.tick(at(3_200));
        assert!(!is_evacuated(host, "far"));
    }
}

/// Guards against new flows in an evacuated domain, if a second listing soon after the
/// restore lacks the evacuation, too.
#[test]
fn a_second_listing_ends_no_evacuation_that_could_still_be_written_again() {
    let mut engine = started(1, vec![evacuation_begun("far", 1, 26)]);
    restored(&mut engine, 100, vec![entry(1, 2, 5, false)]);
    engine.handle_store(at(900), StoreOutcome::HistoryGone);
    let again = page(vec![entry(1, 2, 5, false)], 2, 25, None);
    engine.handle_store(at(1_000), again);
    assert!(is_evacuated(&engine, "far"));
    engine.tick(at(3_200));
    assert!(!is_evacuated(&engine, "far"));
}

/// Guards against new flows in an evacuated domain: an evacuation that was written again
/// must not end with the grace period.
#[test]
fn an_evacuation_that_is_written_again_stays_active() {
    let mut engine = started(1, vec![evacuation_begun("far", 1, 26)]);
    restored(&mut engine, 100, vec![entry(1, 2, 5, false)]);
    engine.next_store_call(at(110));
    engine.handle_store(
        at(1_500),
        watched(vec![evacuation_begun("far", 2, 25)], 2, 25),
    );
    engine.tick(at(9_000));
    assert!(is_evacuated(&engine, "far"));
}

#[yare::parameterized(
    numbers = { revision(1, 26), revision(1, 27) },
    eras = { revision(1, 26), revision(2, 3) },
    first_era = { StoreRevision::new(26), revision(1, 1) },
)]
fn revisions_are_ordered_by_era_first(earlier: StoreRevision, later: StoreRevision) {
    assert!(earlier < later);
    assert_eq!(later.to_string().parse::<StoreRevision>().unwrap(), later);
}

#[yare::parameterized(
    no_point = { "26" },
    no_number = { "2." },
    words = { "one.two" },
)]
fn invalid_revisions_are_refused(text: &str) {
    assert!(text.parse::<StoreRevision>().is_err());
}
