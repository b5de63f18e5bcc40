//! Reports about servers that the hosts of a domain exchange, and their effects.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::sync;

use cardamomwinch_coordination::forwarding::discovery::store_call::{StoreOutcome, StoreRevision};
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryEngine, DiscoverySettings};
use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, PacketKind};
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_coordination::forwarding::regions::DomainRegions;
use cardamomwinch_coordination::forwarding::server_reports::{
    ReportSerial, ReportSubject, ReportTable, ReporterId, ServerReport, ServerSilence,
};
use cardamomwinch_state::prelude::*;
use forwarding_support::fleet::{Condition, Fleet};
use forwarding_support::*;
use rand::{Rng, SeedableRng, rngs};
use yare::parameterized;

const DELIVERY: ReportSubject = ReportSubject::Delivery;
const ANSWERS: ReportSubject = ReportSubject::Answers;

fn silent(reporter: u64, number: u64, flows: u32, since: u64, seen_at: u64) -> ServerReport {
    ServerReport {
        server: near_server(1).id,
        subject: DELIVERY,
        reporter: ReporterId::new(reporter),
        number,
        silence: Some(ServerSilence {
            flows,
            since: at(since),
        }),
        at: at(seen_at),
    }
}

fn healthy(reporter: u64, number: u64, seen_at: u64) -> ServerReport {
    ServerReport {
        silence: None,
        ..silent(reporter, number, 0, 0, seen_at)
    }
}

fn table(reports: &[ServerReport]) -> ReportTable {
    let mut table = ReportTable::default();
    for report in reports {
        table.note(*report, report.at);
    }
    table
}

#[parameterized(
    three_flows_on_two_hosts = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 1, 40, 250)], None, 600, true },
    others_had_no_time_to_refute_it = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 1, 40, 560)], None, 640, false },
    too_soon = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 1, 40, 250)], None, 480, false },
    one_host_alone = { &[silent(1, 1, 5, 0, 210)], None, 900, false },
    two_flows = { &[silent(1, 1, 1, 0, 210), silent(2, 1, 1, 40, 250)], None, 900, false },
    another_host_saw_progress = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 2, 40, 250), healthy(3, 1, 300)], None, 900, false },
    this_host_saw_progress = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 2, 40, 250)], Some(300), 900, false },
    answers_from_before_it_fell_silent = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 1, 40, 250), healthy(3, 1, 60)], Some(50), 600, true },
    it_was_healthy_and_then_fell_silent = { &[silent(1, 1, 2, 500, 710), silent(2, 1, 1, 540, 750), healthy(3, 1, 400)], Some(450), 1_100, true },
    long_ago = { &[silent(1, 1, 2, 0, 210), silent(2, 1, 1, 40, 250)], None, 4_000, false },
    the_same_host_twice = { &[silent(1, 1, 2, 0, 210), silent(1, 2, 4, 0, 400)], None, 900, false },
)]
fn reports_of_several_hosts_show_that_a_server_is_dead(
    reports: &[ServerReport],
    progress: Option<u64>,
    moment: u64,
    expected: bool,
) {
    let table = table(reports);
    let server = near_server(1).id;
    assert_eq!(
        table.is_silent(server, DELIVERY, progress.map(at), at(moment)),
        expected
    );
}

/// Reports pass through several hosts and may come back to one, each time a little older. If
/// they counted as new, they would circulate forever.
#[test]
fn a_report_that_comes_again_is_not_passed_on() {
    let mut table = table(&[silent(1, 4, 1, 0, 210)]);
    let serial = table.serial();
    let mut repeated = silent(1, 4, 1, 3, 214);
    assert!(!table.note(repeated, at(230)));
    repeated.number = 3;
    assert!(!table.note(repeated, at(230)));
    assert_eq!(table.serial(), serial);
    assert!(table.note(healthy(1, 5, 260), at(270)));
    assert_eq!(table.after(serial).count(), 1);
    assert_eq!(table.after(ReportSerial::default()).count(), 1);
}

/// All hosts report all servers of a large domain. The number of reports that are kept and
/// sent must stay limited.
#[test]
fn a_table_keeps_few_more_reports_than_a_conclusion_needs() {
    let mut table = ReportTable::default();
    for server in 1..=2_000 {
        for reporter in 1..=20 {
            let report = ServerReport {
                server: near_server(server).id,
                ..silent(reporter, 1, 1, 0, 210)
            };
            table.note(report, at(220));
        }
    }
    assert!(table.after(ReportSerial::default()).count() <= 1_024);
    assert!(table.is_silent(near_server(1).id, DELIVERY, None, at(600)));
    table.expire(at(5_000));
    assert!(table.is_empty());
}

/// Hosts of one domain that receive each other's reports without delay.
struct Domain {
    hosts: Vec<TestHost>,
    table: ReportTable,
}

impl Domain {
    fn new(hosts: u64, servers: u64) -> Self {
        let servers: Vec<_> = (1..=servers).map(near_server).collect();
        let make = |number| {
            let mut host = TestHost::new(servers.clone());
            host.engine = ForwardingEngine::new(1_000, 0, ReporterId::new(number));
            host
        };
        Self {
            hosts: (1..=hosts).map(make).collect(),
            table: ReportTable::default(),
        }
    }

    /// Collects the reports of all hosts at `moment`, and makes them known to all.
    fn exchange(&mut self, moment: u64) {
        for host in &mut self.hosts {
            for report in host.engine.take_reports() {
                self.table.note(report, at(moment));
            }
        }
        let table = sync::Arc::new(self.table.clone());
        for host in &mut self.hosts {
            host.view.reports = sync::Arc::clone(&table);
        }
    }
}

/// Opens `flows` flows on each host. Returns the host, the port and the server of each flow.
fn establish_everywhere(domain: &mut Domain, flows: u16) -> Vec<(usize, u16, BackendId)> {
    let mut placed = Vec::new();
    for index in 0..domain.hosts.len() {
        for flow in 0..flows {
            let port = 1_000 + index as u16 * 100 + flow;
            let moment = u64::from(flow) * 5 + index as u64;
            let server = domain.hosts[index].establish(at(moment), port);
            placed.push((index, port, server));
        }
    }
    placed
}

/// A server loses power while each of twenty hosts has one or two of its flows. On its own,
/// each host would lose a request on each of them. After three requests were lost anywhere,
/// all hosts must know that the server is dead: idle flows are ended before their callers lose
/// a request that is not idempotent, and no new flow is sent to the server.
#[test]
fn the_silence_of_three_flows_becomes_known_to_all_hosts() {
    let mut domain = Domain::new(20, 20);
    let flows = establish_everywhere(&mut domain, 40);
    let dead = near_server(1).id;
    let on_dead = flows.iter().filter(|one| one.2 == dead).count();
    assert!(on_dead >= 20, "{on_dead} flows");
    // Three callers on three hosts send a request to the dead server at 2 s. The flows on other
    // servers make progress.
    let requesting: Vec<_> = flows
        .iter()
        .filter(|one| one.2 == dead)
        .step_by(7)
        .collect();
    let requesting = &requesting[..3];
    for step in 0..100 {
        let moment = 2_000 + step * 10;
        for (index, port, server) in &flows {
            if *server != dead && (u64::from(*port) + step).is_multiple_of(25) {
                let round = step as u32 / 25;
                let request = data(*port, *server, 500 + 80 * round, 1 + 3_000 * round, 80);
                let answered = data(*port, *server, 580 + 80 * round, 3_001 + 3_000 * round, 0);
                domain.hosts[*index].handle(at(moment), &request);
                domain.hosts[*index].handle(at(moment + 9), &answered);
            }
        }
        if [0, 20, 60].contains(&step) {
            for (index, port, _) in requesting {
                let request = data(*port, dead, 500, 1, 80);
                domain.hosts[*index].handle(at(moment), &request);
            }
        }
        if step % 10 == 0 {
            for host in &mut domain.hosts {
                host.tick(at(moment + 9));
            }
        }
        domain.exchange(moment + 9);
    }
    let ended = domain.hosts.iter().flat_map(|host| &host.ended);
    let ended: SortedVector<_, ()> = ended.map(|flow| (*flow, ())).collect();
    assert_eq!(ended.len(), on_dead, "each flow is ended, also idle ones");
    for (index, host) in domain.hosts.iter_mut().enumerate() {
        for port in 0..5 {
            let server = host.open(at(3_010), 9_000 + 10 * index as u16 + port);
            assert_ne!(server, dead);
        }
    }
}

/// Links lose three packets in ten. Every host sees repetitions on every server, but every
/// server still answers others: no flow may be ended.
#[test]
fn losses_everywhere_end_no_flow() {
    let mut domain = Domain::new(20, 20);
    let flows = establish_everywhere(&mut domain, 40);
    let mut random = rngs::SmallRng::seed_from_u64(7);
    for step in 0..200_u64 {
        let moment = 2_000 + step * 10;
        for (index, port, server) in &flows {
            if !(u64::from(*port) + step).is_multiple_of(40) {
                continue;
            }
            let round = step as u32 / 40;
            let request = data(*port, *server, 500 + 80 * round, 1 + 3_000 * round, 80);
            let sink = domain.hosts[*index].handle(at(moment), &request);
            assert_eq!(sink.resets, 0);
            if random.random_bool(0.7) {
                let answered = data(*port, *server, 580 + 80 * round, 3_001 + 3_000 * round, 0);
                domain.hosts[*index].handle(at(moment + 9), &answered);
            } else {
                let sink = domain.hosts[*index].handle(at(moment + 200), &request);
                assert_eq!(sink.resets, 0, "the server answers others");
                let answered = data(*port, *server, 580 + 80 * round, 3_001 + 3_000 * round, 0);
                domain.hosts[*index].handle(at(moment + 209), &answered);
            }
        }
        if step % 10 == 0 {
            for host in &mut domain.hosts {
                host.tick(at(moment + 209));
                assert!(host.ended.is_empty());
            }
        }
        domain.exchange(moment + 209);
    }
}

/// Half of the servers crash together. Each resets callers at once, so it seems idle and
/// attracts openings; without reports each host would try each of them again and again. Two
/// unconfirmed openings on two hosts must keep all hosts away from a server.
#[test]
fn crashed_servers_receive_few_openings() {
    let mut domain = Domain::new(20, 20);
    establish_everywhere(&mut domain, 20);
    let is_dead = |id: BackendId| id.get().is_multiple_of(2);
    let mut wasted = 0;
    let mut port = 20_000;
    for step in 0..150_u64 {
        let moment = 2_000 + step * 10;
        for host in &mut domain.hosts {
            port += 1;
            let server = host.open(at(moment), port);
            if is_dead(server) {
                wasted += 1;
            } else {
                host.handle(at(moment + 8), &data(port, server, 1, 1, 0));
            }
        }
        if step % 10 == 0 {
            for host in &mut domain.hosts {
                host.tick(at(moment + 9));
            }
        }
        domain.exchange(moment + 9);
    }
    // Of 3,000 openings. No host can know of the crash during the first 180 ms.
    assert!(
        wasted <= 400,
        "{wasted} openings were sent to crashed servers"
    );
}

/// The link of a host loses what it sends to several servers. The host must not report
/// servers as silent then.
#[test]
fn a_host_with_a_lossy_link_reports_nothing() {
    let mut host = TestHost::new((1..=4).map(near_server).collect());
    let servers: Vec<_> = (1..=4_u16)
        .map(|port| host.establish(at(0), port))
        .collect();
    for (index, server) in servers.iter().enumerate().take(2) {
        let port = index as u16 + 1;
        host.handle(at(100), &data(port, *server, 500, 1, 80));
        host.handle(at(300), &data(port, *server, 500, 1, 80));
        host.handle(at(320), &data(port, *server, 580, 3_001, 0));
    }
    host.engine.take_reports();
    for (index, server) in servers.iter().enumerate().skip(2) {
        let port = index as u16 + 1;
        host.handle(at(400), &data(port, *server, 500, 1, 80));
        host.handle(at(610), &data(port, *server, 500, 1, 80));
    }
    assert!(host.engine.take_reports().is_empty());
}

/// Other hosts report silence of a server that answers this host. This host must refute the
/// reports, or the others would end working flows.
#[test]
fn a_host_that_sees_progress_of_a_reported_server_refutes_the_reports() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = host.establish(at(0), 1);
    host.view.reports = sync::Arc::new(table(&[silent(7, 1, 3, 100, 310)]));
    host.handle(at(400), &data(1, server, 500, 1, 80));
    host.handle(at(440), &data(1, server, 580, 3_001, 0));
    host.tick(at(500));
    let reports = host.engine.take_reports();
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].subject, reports[0].silence), (DELIVERY, None));
    let mut table = table(&[silent(7, 1, 3, 100, 310), silent(8, 1, 3, 100, 310)]);
    table.note(reports[0], at(450));
    assert!(!table.is_silent(server, DELIVERY, None, at(900)));
}

/// On a route that is not idempotent, flows on a reported server are not reset: the answer may
/// still come.
#[test]
fn reports_reset_no_flow_that_is_not_idempotent() {
    let mut host = TestHost::new(vec![near_server(1)]);
    host.adopt(document(2, vec![(service_address(), route(false))]));
    let server = host.establish(at(0), 1);
    let reports = [silent(7, 1, 3, 100, 310), silent(8, 1, 3, 100, 310)];
    host.view.reports = sync::Arc::new(table(&reports));
    for moment in [700, 900, 1_300] {
        let sink = host.handle(at(moment), &data(1, server, 500, 1, 80));
        assert_eq!(sink.resets, 0);
        assert_ne!(sink.outcomes, [ForwardingOutcome::SilentServerReset]);
    }
}

/// One of many hosts detects that a server is silent. All hosts must know it soon, although
/// each exchanges reports with only a few others, and also if a third of the hosts cannot be
/// reached.
#[parameterized(
    eight = { 8, 0, 150 },
    a_domain = { 23, 0, 300 },
    a_large_domain = { 107, 0, 500 },
    very_large = { 300, 0, 700 },
    some_are_cut_off = { 23, 3, 3_500 },
)]
fn a_report_reaches_all_hosts(hosts: usize, cut_each: usize, limit: u64) {
    let mut fleet = Fleet::settled(hosts);
    spread_report(&mut fleet, cut_each, limit);
}

/// Guards against hosts that leave a source which is just about to read the store itself, for
/// one that cannot be reached: their reports expire while they wait for its answer.
#[test]
fn a_report_reaches_all_hosts_whenever_the_others_are_cut_off() {
    for offset in (0..fleet::WATCH).step_by(100) {
        let mut fleet = Fleet::settled(23);
        fleet.run_until(fleet.now + offset);
        spread_report(&mut fleet, 3, 3_500);
    }
}

/// Cuts off each `cut_each`th host, if that is not zero, and checks that a report of the last
/// host reaches all others within `limit` milliseconds.
fn spread_report(fleet: &mut Fleet, cut_each: usize, limit: u64) {
    let hosts = fleet.hosts.len();
    if cut_each > 0 {
        for index in (4..hosts).step_by(cut_each) {
            fleet.hosts[index].condition = Condition::Cut;
        }
    }
    let start = fleet.now;
    let seen = ServerReport {
        at: at(start),
        ..silent(77, 1, 2, start, start)
    };
    let reporter = hosts - 1;
    fleet.hosts[reporter].condition = Condition::Running;
    fleet.hosts[reporter].engine.add_reports(at(start), [seen]);
    let knows = |index: usize, fleet: &Fleet| {
        let host = &fleet.hosts[index];
        let reports = host.engine.view().reports;
        host.condition == Condition::Cut
            || reports
                .after(ReportSerial::default())
                .any(|one| one.server == seen.server)
    };
    while (0..hosts).any(|index| !knows(index, fleet)) && fleet.now < start + limit {
        fleet.run_until(fleet.now + 10);
    }
    let without_report = (0..hosts).filter(|index| !knows(*index, fleet)).count();
    assert_eq!(without_report, 0, "after {} ms", fleet.now - start);
    let busiest = fleet.report_messages.iter().max().unwrap();
    assert!(*busiest <= 40, "{busiest} calls at one host");
}

/// The entry of a server says that it is healthy, but the server accepts each request and
/// resets its caller at once. Hosts see neither resets nor answers. Each new flow on it loses a
/// request that is not idempotent; after some of them were never answered, no host may open
/// further ones.
#[test]
fn a_server_that_answers_nobody_gets_no_new_flows() {
    let mut domain = Domain::new(20, 10);
    establish_everywhere(&mut domain, 5);
    let faulty = near_server(1).id;
    let mut opened = Vec::new();
    let mut port = 20_000;
    for step in 0..300_u64 {
        let moment = 2_000 + step * 10;
        for index in 0..domain.hosts.len() {
            if (step + index as u64).is_multiple_of(10) {
                port += 1;
                let host = &mut domain.hosts[index];
                let server = host.open(at(moment), port);
                host.handle(at(moment + 5), &data(port, server, 100, 1, 80));
                if server != faulty {
                    host.handle(at(moment + 9), &data(port, server, 180, 3_001, 0));
                    let closing = FlowPacket {
                        kind: PacketKind::Closing,
                        ..data(port, server, 180, 3_001, 0)
                    };
                    host.handle(at(moment + 9), &closing);
                } else {
                    opened.push(moment);
                }
            }
        }
        if step % 10 == 0 {
            for host in &mut domain.hosts {
                host.tick(at(moment + 9));
            }
        }
        domain.exchange(moment + 9);
    }
    let late = opened.iter().filter(|moment| **moment >= 2_950).count();
    assert!(opened.len() > 3, "it receives flows at first");
    assert_eq!(late, 0, "of {}", opened.len());
    let ended: usize = domain.hosts.iter().map(|host| host.ended.len()).sum();
    assert_eq!(ended, 0, "an answer that is missing ends no flow");
}

/// The fabric moves all flows to other hosts at once. The earlier hosts wait for answers that
/// now pass through other hosts; the servers must not be suspected because of it.
#[test]
fn flows_that_move_to_other_hosts_raise_no_suspicion() {
    let mut domain = Domain::new(20, 10);
    let flows = establish_everywhere(&mut domain, 10);
    for (round, moment) in [2_000, 2_300, 2_600, 2_900, 3_200].into_iter().enumerate() {
        let round = round as u32;
        for (index, port, server) in &flows {
            // The first request passes through one host; the acknowledgement of its answer and
            // everything after it pass through another one.
            let moved = (index + 1) % 20;
            let first = if round == 0 { *index } else { moved };
            let request = data(*port, *server, 500 + 80 * round, 1 + 3_000 * round, 80);
            let answered = data(*port, *server, 580 + 80 * round, 3_001 + 3_000 * round, 0);
            domain.hosts[first].handle(at(moment), &request);
            domain.hosts[moved].handle(at(moment + 40), &answered);
        }
        for step in 1..30 {
            for host in &mut domain.hosts {
                host.tick(at(moment + 40 + step * 10));
            }
            domain.exchange(moment + 40 + step * 10);
        }
    }
    let reports = sync::Arc::clone(&domain.hosts[0].view.reports);
    for server in reports.servers(ANSWERS) {
        assert!(!reports.is_suspected(server, ANSWERS, None, at(3_600)));
    }
}

fn started_engine(number: u8, domain_name: &str) -> DiscoveryEngine {
    let settings = DiscoverySettings {
        domain: domain(domain_name),
        regions: DomainRegions::default(),
        address: ([10, 1, 0, number], 8166).into(),
        seeds: vec![([10, 1, 0, 1], 8166).into(), ([10, 1, 0, 2], 8166).into()],
        flow_lifetime: millis(60_000),
        watch_wait: millis(2_000),
        max_part_servers: server_list::MAX_PART_SERVERS,
    };
    let mut engine = DiscoveryEngine::new(settings, number.into());
    let items = vec![server_entry(1, 5, false)];
    let page = StoreOutcome::Page {
        items,
        revision: StoreRevision::new(10),
        next: None,
    };
    engine.handle_store(at(0), page);
    engine
}

/// Two domains are cut off from each other. Each considers the servers of the other one
/// silent, while they serve their own callers. When the domains are connected again, hosts
/// whose store failed query hosts of any domain. Reports of the other domain must not end
/// flows.
#[test]
fn reports_are_sent_only_in_their_own_domain() {
    let mut sender = started_engine(1, "far");
    sender.add_reports(at(300), [silent(7, 1, 3, 0, 210)]);
    for (domain_name, expected) in [("far", 1), ("near", 0)] {
        let mut receiver = started_engine(9, domain_name);
        let (_, query) = receiver.next_query(at(400)).unwrap();
        assert_eq!(sender.knows_more_than(&query), expected == 1);
        let answer = sender.answer_query(at(400), &query);
        assert_eq!(answer.reports.len(), expected);
    }
}

/// An answer of a peer passes a full link and is seconds late. Its reports are older by that
/// time: a server that has answered since must not count as silent.
#[test]
fn reports_are_older_by_the_time_that_their_answer_took() {
    let mut sender = started_engine(1, "near");
    sender.add_reports(at(420), [silent(7, 1, 2, 0, 400), silent(8, 1, 2, 0, 400)]);
    let mut receiver = started_engine(9, "near");
    let (peer, query) = receiver.next_query(at(450)).unwrap();
    let answer = sender.answer_query(at(450), &query);
    receiver.handle_answer(at(2_450), peer, Some(answer));
    let reports = receiver.view().reports;
    let answered_at = Some(at(1_200));
    assert!(reports.has_reports_about(near_server(1).id));
    assert!(!reports.is_silent(near_server(1).id, DELIVERY, answered_at, at(2_600)));
}

/// The rotation of the fabric changes while openings are on their way. The hosts that placed
/// them never see them confirmed, because the callers' next packets pass through other hosts.
/// No other request is sent to the server for a second. Its idle sessions must not be ended.
#[test]
fn openings_that_are_confirmed_through_other_hosts_end_no_flow() {
    let mut domain = Domain::new(4, 1);
    establish_everywhere(&mut domain, 3);
    let elsewhere = far_server(1);
    for (index, host) in domain.hosts.iter_mut().enumerate() {
        host.change(|directory| directory.note(elsewhere.clone()));
        let number = index as u16;
        // Another packet that the host sends at the same time is delivered.
        host.handle(at(2_000), &data(30_000 + number, elsewhere.id, 500, 1, 80));
        host.open(at(2_000), 20_000 + number);
        host.handle(
            at(2_030),
            &data(30_000 + number, elsewhere.id, 580, 3_001, 0),
        );
    }
    for step in 4..200 {
        for host in &mut domain.hosts {
            host.tick(at(2_000 + step * 10));
            assert!(host.ended.is_empty(), "{} ms later", step * 10);
        }
        domain.exchange(2_000 + step * 10);
    }
    let reports = &domain.hosts[0].view.reports;
    assert!(
        reports.has_reports_about(near_server(1).id),
        "it receives no new flows"
    );
}
