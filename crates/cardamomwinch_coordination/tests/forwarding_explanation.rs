//! Explanations of flows for operators, compared with what the engine does.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::directory::ServerPhase;
use cardamomwinch_coordination::forwarding::explanation::{self, FlowExplanation};
use cardamomwinch_coordination::forwarding::packet::FlowToken;
use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

fn explain(host: &TestHost, moment: u64, token: Option<FlowToken>) -> FlowExplanation {
    let hasher = FlowHasher::new(0);
    explanation::explain(&host.view, &flow(1), token, hasher, at(moment))
}

/// An explanation before a flow is opened must list the servers that the engine then chooses
/// from.
#[test]
fn an_opening_goes_to_one_of_the_listed_candidates() {
    let mut host = TestHost::new(vec![near_server(1), near_server(2), far_server(1)]);
    let explained = explain(&host, 0, None);
    assert_eq!(explained.outcome, ForwardingOutcome::OpeningPlaced);
    assert_eq!(explained.route.as_deref(), Some("r-desk"));
    assert_eq!(explained.candidates, [near_server(1).id, near_server(2).id]);
    let chosen = host.open(at(1), 1);
    assert!(explained.candidates.contains(&chosen));
}

#[test]
fn candidates_are_in_another_domain_if_the_own_one_has_no_server() {
    let mut host = TestHost::new(vec![near_server(1), far_server(1)]);
    host.change(|directory| {
        let phase = ServerPhase::Draining;
        directory.note(
            cardamomwinch_coordination::forwarding::directory::ServerRecord {
                phase,
                ..near_server(1)
            },
        );
    });
    let explained = explain(&host, 0, None);
    assert_eq!(explained.candidates, [far_server(1).id]);
    assert_eq!(host.open(at(1), 1), far_server(1).id);
}

#[test]
fn data_go_to_the_server_of_their_token() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let server = near_server(1).id;
    let explained = explain(&host, 0, Some(FlowToken::of_server(server)));
    assert_eq!(explained.outcome, ForwardingOutcome::Forwarded);
    assert_eq!(explained.server, Some(server));
    let unknown = explain(&host, 0, Some(FlowToken::new(77)));
    assert_eq!(unknown.outcome, ForwardingOutcome::UnknownTokenHeld);
    let other = std::net::SocketAddr::from(([198, 18, 0, 9], 80));
    host.adopt(document(2, vec![(other, route(true))]));
    let dropped = explain(&host, 0, Some(FlowToken::of_server(server)));
    assert_eq!(dropped.outcome, ForwardingOutcome::RouteDroppedReset);
    let sink = host.handle(at(1), &data(1, server, 500, 1, 80));
    assert_eq!(sink.outcomes, [dropped.outcome]);
}

/// The store failed a short time ago. A route that is missing from the view may exist, so no flow
/// is reset because of it until the view is complete again.
#[test]
fn flows_without_a_route_are_reset_only_while_the_view_is_complete() {
    let mut host = TestHost::new(vec![near_server(1)]);
    let other = std::net::SocketAddr::from(([198, 18, 0, 9], 80));
    host.adopt(document(2, vec![(other, route(true))]));
    host.view.store_failed_at = Some(at(0));
    let held = ForwardingOutcome::NoRouteHeld;
    assert_eq!(explain(&host, 100, None).outcome, held);
    assert_eq!(host.handle(at(100), &opening(1, 0)).outcomes, [held]);
    host.view.as_of = at(3_500);
    let reset = ForwardingOutcome::NoRouteReset;
    assert_eq!(explain(&host, 3_500, None).outcome, reset);
    assert_eq!(host.handle(at(3_500), &opening(1, 0)).outcomes, [reset]);
}
