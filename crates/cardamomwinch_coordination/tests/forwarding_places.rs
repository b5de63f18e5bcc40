//! Which servers may take new flows by the settings and commands of operators: evacuated
//! failure domains, and routes that are bound to regions.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use std::sync;

use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use cardamomwinch_coordination::forwarding::explanation;
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_coordination::forwarding::routes::RouteEntry;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;
use yare::parameterized;

fn evacuation(domain_name: &str, phase: EvacuationPhase, revision: u64) -> EvacuationRecord {
    EvacuationRecord {
        domain: domain(domain_name),
        phase,
        changed: StoreRevision::new(revision),
    }
}

fn evacuate(host: &mut TestHost, domain_name: &str, revision: u64) {
    let begun = evacuation(domain_name, EvacuationPhase::Active, revision);
    host.change(|directory| {
        directory.note_evacuation(begun);
    });
}

fn end_evacuation(host: &mut TestHost, domain_name: &str, revision: u64, moment: u64) {
    let phase = EvacuationPhase::Ended { at: at(moment) };
    let ended = evacuation(domain_name, phase, revision);
    host.change(|directory| {
        directory.note_evacuation(ended);
    });
}

fn bind(host: &mut TestHost, regions: &[&str]) {
    let entry = RouteEntry {
        regions: regions
            .iter()
            .map(|name| RegionId::from_name(name))
            .collect(),
        ..route(true)
    };
    host.adopt(document(2, vec![(service_address(), entry)]));
    let domains = [("near", "bud"), ("far", "pecs")];
    let pairs = domains.map(|(name, region)| (domain(name), RegionId::from_name(region)));
    host.view.regions = sync::Arc::new(pairs.into_iter().collect());
}

/// Operators evacuate a failure domain for maintenance. Its hosts still forward, but a new flow
/// that was sent to a server there would break during the maintenance.
#[test]
fn an_evacuated_domain_receives_no_new_flows_and_keeps_its_open_ones() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    let kept = host.establish(at(0), 1);
    assert_eq!(kept, near_server(1).id);
    evacuate(&mut host, "near", 2);
    for port in 10..30 {
        assert_eq!(host.open(at(u64::from(port)), port), far_server(1).id);
    }
    let sink = host.handle(at(200), &data(1, kept, 500, 1, 80));
    assert_eq!(sink.sent[0].0, kept);
    end_evacuation(&mut host, "near", 3, 300);
    assert_eq!(host.open(at(5_000), 90), near_server(1).id);
}

/// An opening was sent to a server whose domain is evacuated before the caller sends a copy. A
/// copy to the same server would open a flow there after the evacuation began.
#[test]
fn a_copy_is_not_sent_to_a_domain_that_was_evacuated_since() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    assert_eq!(host.open(at(0), 1), near_server(1).id);
    evacuate(&mut host, "near", 2);
    let sink = host.handle(at(20), &opening(1, 0));
    assert_eq!(sink.sent[0].0, far_server(1).id);
}

/// All servers of a service are in evacuated domains. No server can take the flow until
/// operators end an evacuation, so the flow is reset at once and not after its copies. A host
/// with an outdated view cannot be sure of that, and waits for the next copy.
#[test]
fn a_flow_that_no_domain_may_take_is_refused_at_once() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    evacuate(&mut host, "near", 2);
    evacuate(&mut host, "far", 3);
    let sink = host.handle(at(10), &opening(1, 0));
    assert_eq!(sink.outcomes, [ForwardingOutcome::ForbiddenReset]);
    assert_eq!((sink.sent.len(), sink.resets), (0, 1));
    let hasher = FlowHasher::new(0);
    let explained = explanation::explain(&host.view, &flow(1), None, hasher, at(10));
    assert_eq!(explained.outcome, ForwardingOutcome::ForbiddenReset);
    let sink = host.handle_stale(at(9_000), &opening(2, 0));
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoServerHeld]);
}

/// During an outage of the store entries vanish, and vanished servers receive new flows if there
/// are no others. Those of an evacuated domain must not even then.
#[test]
fn a_vanished_server_of_an_evacuated_domain_receives_no_flows() {
    let mut host = TestHost::new(vec![near_server(1)]);
    evacuate(&mut host, "near", 2);
    let gone = near_server(1).id;
    host.change(|directory| directory.note_removed(gone, StoreRevision::new(3), at(0)));
    let phase = host.view.directory.get(gone).unwrap().phase;
    assert_eq!(phase, ServerPhase::Vanished { since: at(0) });
    let sink = host.handle(at(10), &opening(1, 0));
    assert_eq!(sink.outcomes, [ForwardingOutcome::NoServerHeld]);
}

/// Flows of a route may have to stay in one region by law. Hosts of another region receive their
/// packets as well, and must not choose a server of their own region.
#[parameterized(
    bound_elsewhere = { &["pecs"], Some("far") },
    bound_here = { &["bud"], Some("near") },
    bound_to_both = { &["bud", "pecs"], Some("near") },
    bound_nowhere = { &[], Some("near") },
    bound_where_no_server_is = { &["szeged"], None },
)]
fn a_flow_stays_in_the_regions_of_its_route(regions: &[&str], expected: Option<&str>) {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    bind(&mut host, regions);
    for port in 1..20 {
        let sink = host.handle(at(u64::from(port)), &opening(port, 0));
        let chosen = sink.sent.first().map(|(id, _)| *id);
        let chosen = chosen.map(|id| host.view.directory.get(id).unwrap().domain);
        assert_eq!(chosen, expected.map(domain));
        let refused = sink.outcomes == [ForwardingOutcome::ForbiddenReset];
        assert_eq!(refused, expected.is_none());
    }
}

/// The settings do not contain the region of a domain. A flow that is bound to regions must not
/// be sent to a server there.
#[test]
fn a_bound_flow_avoids_domains_of_unknown_regions() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    bind(&mut host, &["pecs"]);
    let known = [(domain("near"), RegionId::from_name("bud"))];
    host.view.regions = sync::Arc::new(known.into_iter().collect());
    let sink = host.handle(at(0), &opening(1, 0));
    assert_eq!(sink.outcomes, [ForwardingOutcome::ForbiddenReset]);
}

/// The first server does not answer the opening, and the only other one is in a region that the
/// route may not use. The copy must not be sent there, although there is no other server.
#[test]
fn a_copy_does_not_leave_the_regions_of_its_route() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    bind(&mut host, &["bud"]);
    let first = host.open(at(0), 1);
    let sink = host.handle(at(200), &opening(1, 1));
    assert!(sink.sent.iter().all(|(id, _)| *id == first), "{sink:?}");
}
