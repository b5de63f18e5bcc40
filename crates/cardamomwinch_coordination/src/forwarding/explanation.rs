//! Shows operators what a host would do with a packet of a flow, and why.

use cardamomwinch_state::prelude::{BackendId, FlowHasher, FlowKey, ServiceId, Timestamp};

use crate::forwarding::cold_starts::ColdLimiter;
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::packet::FlowToken;
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::record::ForwardingOutcome;
use crate::forwarding::routes::RouteEntry;
use crate::forwarding::view::ForwardingView;

/// What a host would do with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowExplanation {
    /// The decision.
    pub outcome: ForwardingOutcome,
    /// The route that leads from the address, if one does.
    pub route: Option<String>,
    /// The service of the flow, if it can be determined.
    pub service: Option<ServiceId>,
    /// The server of the flow, if the token belongs to a known one.
    pub server: Option<BackendId>,
    /// The servers that may take an opening: those of the own domain, or all if it has none.
    /// Cold ones are included, though their rate limit may exclude them. Which server is
    /// chosen depends on the current number of flows on each.
    pub candidates: Vec<BackendId>,
}

/// Explains the decision by `view` about a packet of `flow`: about data if there is a
/// `token`, otherwise about an opening. `hasher` must be the same on all hosts of a fleet.
pub fn explain(
    view: &ForwardingView,
    flow: &FlowKey,
    token: Option<FlowToken>,
    hasher: FlowHasher,
    now: Timestamp,
) -> FlowExplanation {
    let route = view.routes.find(&flow.service);
    let mut explanation = FlowExplanation {
        outcome: ForwardingOutcome::NoRouteHeld,
        route: route.map(|route| route.name.clone()),
        service: route.and_then(|route| route.service_for(hasher.hash(flow))),
        server: None,
        candidates: Vec::new(),
    };
    match (token, route) {
        (Some(token), _) => explain_data(&mut explanation, view, flow, token, route),
        (None, Some(route)) => explain_opening(&mut explanation, view, route, now),
        (None, None) if view.is_usable() && view.is_complete(now) => {
            explanation.outcome = ForwardingOutcome::NoRouteReset;
        }
        (None, None) => {}
    }
    explanation
}

fn explain_data(
    explanation: &mut FlowExplanation,
    view: &ForwardingView,
    flow: &FlowKey,
    token: FlowToken,
    route: Option<&RouteEntry>,
) {
    let dropped = route.is_none() && view.routes.dropped(&flow.service).is_some();
    let server = view.directory.find(token);
    explanation.server = server.map(|server| server.id);
    explanation.service = server.map(|server| server.service).or(explanation.service);
    explanation.outcome = match server {
        _ if dropped => ForwardingOutcome::RouteDroppedReset,
        Some(_) => ForwardingOutcome::Forwarded,
        None => ForwardingOutcome::UnknownTokenHeld,
    };
}

fn explain_opening(
    explanation: &mut FlowExplanation,
    view: &ForwardingView,
    route: &RouteEntry,
    now: Timestamp,
) {
    let Some(service) = explanation.service else {
        explanation.outcome = ForwardingOutcome::NoServerHeld;
        return;
    };
    let limiter = ColdLimiter::default();
    let permission = FlowPermission::new(view, service, &route.regions, &limiter, now);
    let accepts_flows = |server: &&ServerRecord| {
        server.phase == ServerPhase::Active && permission.admits_domain(server.domain)
    };
    let servers = view.directory.of_service(service);
    let active: Vec<&ServerRecord> = servers.filter(accepts_flows).collect();
    let is_own_domain = |server: &&&ServerRecord| view.domain == Some(server.domain);
    let own_domain: Vec<_> = active
        .iter()
        .filter(is_own_domain)
        .map(|one| one.id)
        .collect();
    explanation.candidates = if own_domain.is_empty() {
        active.iter().map(|one| one.id).collect()
    } else {
        own_domain
    };
    let forbidden = view.is_complete(now) && permission.forbids_all(service);
    explanation.outcome = if forbidden {
        ForwardingOutcome::ForbiddenReset
    } else if explanation.candidates.is_empty() {
        ForwardingOutcome::NoServerHeld
    } else {
        ForwardingOutcome::OpeningPlaced
    };
}
