//! The encoded messages between hosts.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::cold_starts::ColdStart;
use cardamomwinch_coordination::forwarding::discovery::peer_messages::{
    PeerAnswer, PeerEvacuation, PeerReport, PeerServer,
};
use cardamomwinch_coordination::forwarding::discovery::server_list::{ListId, ListPosition};
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    ServerStart, StoreEra, StoreRevision,
};
use cardamomwinch_coordination::forwarding::routes::{RouteDifference, RouteEntry, RouteTarget};
use cardamomwinch_coordination::forwarding::server_reports::{
    ReportSerial, ReportSubject, ReporterId,
};
use cardamomwinch_forwarder::control_thread::ControlMessage;
use cardamomwinch_forwarder::peer_calls;
use cardamomwinch_forwarder::peer_wire::{WireAnswer, WireReport, reports};
use cardamomwinch_state::prelude::*;

/// What a link of 10 Mbit/s carries in a fifth of a second, in bytes.
const SHARE_OF_NARROW_LINK: usize = 250_000;
/// The number of hosts that get their data from the same host.
const FOLLOWERS: usize = 4;

fn route(number: u32) -> (net::SocketAddr, RouteEntry) {
    let address = net::SocketAddr::from(([198, 18, 0, 1], 10_000 + number as u16));
    let service = ServiceId::from_name(["benchmark-desk", "docvault"][number as usize % 2]);
    let weight = Weight::new(100);
    let entry = RouteEntry {
        name: format!("r-{number:07}"),
        targets: vec![RouteTarget { service, weight }],
        idempotent: number.is_multiple_of(3),
        latency_goal: time::Duration::from_millis(150),
        regions: Vec::new(),
        priority: None,
        timeout: time::Duration::ZERO,
    };
    (address, entry)
}

fn server(number: u64) -> PeerServer {
    PeerServer {
        id: BackendId::new(0xfe00_0000_0000 + number),
        started: None,
        address: net::SocketAddr::from(([10, 1, 64, number as u8], 8301)),
        service: ServiceId::from_name("benchmark-desk"),
        domain: DomainId::from_name("bud-angyal"),
        slots: SlotCount::new(2),
        draining: false,
        unreadable: false,
        removed_ago: None,
        vanished: false,
        cold_left: time::Duration::ZERO,
        registered: None,
        changed: StoreRevision::new(number),
    }
}

fn answer(routes: u32, servers: Vec<PeerServer>) -> PeerAnswer {
    PeerAnswer {
        revision: StoreRevision::new(77),
        waited: time::Duration::from_millis(12),
        age: time::Duration::from_millis(34),
        store_failed_ago: None,
        routes: Some(RouteDifference {
            version: ConfigurationVersion::new(7),
            all: false,
            changed: (0..routes).map(route).collect(),
            dropped: vec![net::SocketAddr::from(([198, 18, 0, 1], 9_999))],
            cold_starts: None,
            idle_timeout: time::Duration::from_secs(15),
        }),
        servers,
        list: Some(ListPosition {
            list: ListId::new(12_345_678_901),
            revision: StoreRevision::new(70),
            servers: 512,
        }),
        all_servers: false,
        evacuations: Vec::new(),
        reports: Vec::new(),
        reports_serial: ReportSerial::default(),
        hosts_digest: Some(5),
        hosts: Vec::new(),
        query_instead: Some(net::SocketAddr::from(([10, 1, 0, 7], 8166))),
        listing_age: Some(time::Duration::from_millis(310)),
    }
}

fn encoded(answer: PeerAnswer) -> String {
    serde_json::to_string(&WireAnswer::from(answer)).unwrap()
}

fn decoded(text: &str) -> Option<PeerAnswer> {
    let wire: WireAnswer = serde_json::from_str(text).unwrap();
    wire.try_into().ok()
}

#[test]
fn an_answer_is_decoded_as_it_was_encoded() {
    let mut leaving = server(2);
    leaving.draining = true;
    leaving.started = Some(ServerStart::new(1_700_000_000_000));
    let mut removed = server(3);
    removed.service = ServiceId::from_name("docvault");
    removed.removed_ago = Some(time::Duration::from_secs(3));
    removed.vanished = true;
    let mut cold = server(4);
    cold.cold_left = time::Duration::from_secs(2);
    let mut original = answer(5, vec![server(1), leaving, removed, cold]);
    let changes = original.routes.as_mut().unwrap();
    changes.changed[0].1.regions = vec![RegionId::from_name("bud")];
    changes.changed[1].1.priority = Some(RoutePriority::ZERO);
    changes.changed[1].1.timeout = time::Duration::from_millis(2_500);
    changes.cold_starts = Some(vec![ColdStart {
        service: ServiceId::from_name("docvault"),
        duration: time::Duration::from_secs(2),
        openings: OpeningRate::new(4_000),
    }]);
    let evacuation = |name: &str, ended_for, missing_for| PeerEvacuation {
        domain: DomainId::from_name(name),
        ended_ago: ended_for,
        missing_for,
        changed: StoreRevision::in_era(StoreEra::new(3), 9),
    };
    let report = |number, silence| PeerReport {
        server: server(1).id,
        subject: ReportSubject::Answers,
        reporter: ReporterId::new(99),
        number,
        age: time::Duration::from_millis(3),
        silence,
    };
    let silence = Some((2, time::Duration::from_millis(450)));
    original.reports = vec![report(1, silence), report(2, None)];
    original.reports_serial = ReportSerial::new(31);
    let some_time = Some(time::Duration::from_millis(70));
    original.evacuations = vec![
        evacuation("bud-csepel", None, None),
        evacuation("bud-angyal", some_time, None),
        evacuation("bud-budaors", None, some_time),
    ];
    original.revision = StoreRevision::in_era(StoreEra::new(3), 77);
    assert_eq!(decoded(&encoded(original.clone())), Some(original));
}

/// Hosts are upgraded one after the other. A host of a build without registrations must be able
/// to decode the servers of a newer one.
#[test]
fn servers_that_share_no_token_are_encoded_as_before_registrations_existed() {
    let plain = answer(1, vec![server(1), server(2)]);
    let mut sharing = plain.clone();
    sharing.servers[1].registered = Some(StoreRevision::in_era(StoreEra::new(2), 40));
    assert_eq!(decoded(&encoded(sharing.clone())), Some(sharing.clone()));
    let mut text: serde_json::Value = serde_json::from_str(&encoded(sharing)).unwrap();
    let servers = text["servers"].as_object_mut().unwrap();
    assert!(servers.remove("registrations").is_some());
    let without: serde_json::Value = serde_json::from_str(&encoded(plain)).unwrap();
    assert_eq!(text, without);
}

/// A configuration grows by 1,700 routes, and a host with a link of 10 Mbit/s sends it to the
/// hosts that follow it. Guards against an answer that is too long: at 260 kilobytes for
/// each host, packets of callers were lost on the link for a second.
#[test]
fn a_large_change_takes_a_fifth_of_a_narrow_link_for_a_second() {
    let bytes = encoded(answer(1_700, Vec::new())).len();
    assert!(
        bytes * FOLLOWERS <= SHARE_OF_NARROW_LINK,
        "{bytes} bytes each"
    );
}

/// The answer to a starting host grows with the number of servers. It must not be longer
/// than the answer of the store itself.
#[test]
fn a_server_takes_fifty_bytes_at_most() {
    let started = |number| PeerServer {
        started: Some(ServerStart::new(1_796_298_587_472 + number)),
        ..server(number)
    };
    let bytes = |count| encoded(answer(0, (0..count).map(started).collect())).len();
    let each = (bytes(250) - bytes(50)) / 200;
    println!("{each} bytes a server");
    assert!(each <= 50, "{each} bytes a server");
}

/// A peer of another version refers to a kind that it doesn't send. The call must fail, as
/// for an answer that cannot be parsed; otherwise a route could lead nowhere.
#[test]
fn an_answer_with_an_unknown_kind_is_refused() {
    let text = encoded(answer(0, vec![server(1)]));
    let without_kinds = text.replace("\"kinds\":[{\"service\"", "\"others\":[{\"service\"");
    assert_ne!(text, without_kinds);
    assert_eq!(decoded(&without_kinds), None);
}

/// The call must also fail if some of the encoded bytes are missing.
#[test]
fn servers_that_cannot_be_read_are_refused() {
    let text = encoded(answer(0, vec![server(1), server(2)]));
    let begin = text.find("\"servers\":\"").unwrap() + "\"servers\":\"".len();
    let cut = format!("{}{}", &text[..begin], &text[begin + 8..]);
    assert!(serde_json::from_str::<WireAnswer>(&cut).is_err());
}

fn outlier_report(subject: ReportSubject) -> PeerReport {
    PeerReport {
        server: server(1).id,
        subject,
        reporter: ReporterId::new(u64::MAX),
        number: 12_345,
        age: time::Duration::from_millis(1_234),
        silence: Some((1_380, time::Duration::from_millis(45_000))),
    }
}

/// An earlier build fails to decode a message with a subject that it does not know, and
/// would lose its reports of dead servers and everything else in the answer.
#[test]
fn earlier_builds_see_no_reports_about_outliers() {
    let mut original = answer(1, vec![server(1)]);
    let dead = outlier_report(ReportSubject::Delivery);
    original.reports = vec![dead];
    let without = encoded(original.clone());
    assert!(!without.contains("outliers"));
    let outliers = ReportSubject::OUTLIERS.map(outlier_report);
    original.reports.extend(outliers);
    let mut text: serde_json::Value = serde_json::from_str(&encoded(original.clone())).unwrap();
    let whole = decoded(&text.to_string());
    assert_eq!(whole, Some(original));
    let fields = text.as_object_mut().unwrap();
    assert_eq!(
        fields.remove("outliers").unwrap().as_array().unwrap().len(),
        3
    );
    let earlier: serde_json::Value = serde_json::from_str(&without).unwrap();
    assert_eq!(text, earlier);
}

/// Hosts renew their reports every 1.2 seconds while servers stand out. The control traffic
/// of a host has 2 KB per second.
#[test]
fn a_report_about_an_outlier_takes_seventy_bytes() {
    let report = WireReport::from(outlier_report(ReportSubject::Hanging));
    let bytes = serde_json::to_string(&report).unwrap().len();
    println!("{bytes} bytes for a report about an outlier");
    assert!(bytes <= 70, "{bytes}");
}

/// Reports about outliers arrive by a method of their own, in the same form as others.
#[test]
fn reports_about_outliers_are_received_by_their_own_method() {
    let (control, messages) = async_channel::bounded(4);
    let module = peer_calls::peer_module(control).unwrap();
    let sent = outlier_report(ReportSubject::Failing);
    let (others, outliers) = reports::split(vec![sent, outlier_report(ReportSubject::Answers)]);
    assert_eq!((others.len(), outliers.len()), (1, 1));
    let called = async_io::block_on(module.call::<_, ()>("outliers", (outliers,)));
    called.unwrap();
    let Ok(ControlMessage::PeerReports { reports }) = messages.try_recv() else {
        panic!("no reports were received");
    };
    assert_eq!(reports, vec![sent]);
}

/// Hosts are upgraded one after the other. A host of a build without priorities must be able
/// to parse the routes of a newer one and the other way round; otherwise a release would
/// leave half of a domain without a source.
#[test]
fn routes_without_a_priority_are_encoded_as_before_priorities_existed() {
    let text = encoded(answer(3, Vec::new()));
    assert!(!text.contains("priority") && !text.contains("timeout_ms\":0"));
    let changes = decoded(&text).unwrap().routes.unwrap();
    let unknown = |(_, entry): &(_, RouteEntry)| {
        entry.priority.is_none() && entry.timeout == time::Duration::ZERO
    };
    assert!(changes.changed.iter().all(unknown));
}

/// Deployments have thousands of routes with a few priorities. Guards against a priority and
/// a timeout in each route of a large change, which would fill narrow links.
#[test]
fn priorities_are_sent_once_for_all_routes_that_share_them() {
    let mut urgent = answer(1_000, Vec::new());
    let without = encoded(urgent.clone()).len();
    for (_, entry) in &mut urgent.routes.as_mut().unwrap().changed {
        entry.priority = Some(RoutePriority::new(2));
        entry.timeout = time::Duration::from_millis(2_500);
    }
    let with = encoded(urgent.clone()).len();
    assert_eq!(decoded(&encoded(urgent.clone())), Some(urgent));
    assert!(with - without <= 200, "{} bytes more", with - without);
}
