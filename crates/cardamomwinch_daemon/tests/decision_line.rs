//! Decisions as log lines, and the reports of `explain` about a flow and of `backends` about a
//! server.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync;
use std::time;

use cardamomwinch_coordination::control::membership::Reachability;
use cardamomwinch_coordination::decision::{GivingUpCause, RunEvidence};
use cardamomwinch_coordination::prelude::{DecisionReason, DecisionRecord, RoutingSnapshot};
use cardamomwinch_coordination::snapshot::{BackendView, ReportedLoad};
use cardamomwinch_daemon::administration::explain::FlowQuery;
use cardamomwinch_daemon::administration::reports;
use cardamomwinch_daemon::decision_line::DecisionLine;
use cardamomwinch_daemon::messages::TrafficLoad;
use cardamomwinch_protocol::administration::{ExplainParameters, HealthState};
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::{AuthenticationKeys, SecretKey, TokenClaim, TokenIssuer};
use cardamomwinch_state::prelude::*;
use serde_json::{Value, json};
use yare::parameterized;

fn snapshot() -> RoutingSnapshot {
    let service = ServiceEntry {
        id: ServiceId::from_name("docvault"),
        name: "docvault".to_owned(),
        team: TeamId::from_name("docvault"),
        address: "127.0.0.1:7002".parse().unwrap(),
    };
    let address = "127.0.0.1:9001".parse().unwrap();
    let backend = BackendEntry {
        id: BackendId::from_parts(service.id, "dv-1", address),
        name: "dv-1".to_owned(),
        service: service.id,
        domain: DomainId::from_name("bud-angyal"),
        address,
        slots: SlotCount::new(2),
        connections: ConnectionCount::new(2000),
        weight: Weight::new(100),
        phase: BackendPhase::Active,
    };
    let mut configuration = InForceConfiguration::default();
    configuration.addresses.insert(service.address, service.id);
    configuration.services.insert(service.id, service);
    configuration.backends.insert(backend.id, backend);
    let mut names = SortedVector::new();
    names.insert(DomainId::from_name("bud-angyal"), "bud-angyal".to_owned());
    let mut snapshot = RoutingSnapshot::starting();
    snapshot.configuration = sync::Arc::new(configuration);
    snapshot.domain_names = sync::Arc::new(names);
    snapshot
}

fn backend(snapshot: &RoutingSnapshot) -> BackendId {
    *snapshot.configuration.backends.keys().next().unwrap()
}

fn line(reason: DecisionReason, backend: Option<BackendId>) -> Value {
    line_with(reason, backend, None)
}

fn line_with(
    reason: DecisionReason,
    backend: Option<BackendId>,
    evidence: Option<RunEvidence>,
) -> Value {
    let record = DecisionRecord {
        time: Timestamp::ZERO,
        host: HostId::from_name("bud-angyal-1"),
        version: ConfigurationVersion::new(7),
        reason,
        flow: None,
        request: None,
        service: None,
        backend,
        peer: None,
        shard: None,
        attempt: None,
        evidence,
    };
    let line = DecisionLine::new("bud-angyal-1", &record, &snapshot());
    serde_json::to_value(line).unwrap()
}

#[parameterized(
    plain = { DecisionReason::HomeChanged },
    host = { DecisionReason::HostReachability(Reachability::Dead) },
    domain = { DecisionReason::DomainReachability { domain: DomainId::from_name("x"), reachable: false } },
)]
fn the_reason_of_a_line_is_the_text_of_the_reason(reason: DecisionReason) {
    assert_eq!(line(reason, None)["reason"], json!(reason.to_string()));
}

#[test]
fn a_line_names_the_failure_domain_that_its_reason_concerns() {
    let reason = DecisionReason::DomainReachability {
        domain: DomainId::from_name("bud-angyal"),
        reachable: false,
    };
    assert_eq!(line(reason, None)["domain"], json!("bud-angyal"));
}

/// Guards against a reply of "outcome unknown" whose cause can't be found in the log.
#[test]
fn a_line_about_a_request_that_is_given_up_holds_the_evidence() {
    let evidence = RunEvidence {
        sent_ago: time::Duration::from_millis(1003),
        running: 1,
        report_age: Some(time::Duration::from_millis(841)),
        reported_busy: Some(2),
    };
    let reason = DecisionReason::GivenUp(GivingUpCause::Overdue);
    let line = line_with(reason, None, Some(evidence));
    assert_eq!(line["reason"], json!("given_up_overdue"));
    assert_eq!(line["sent_ago_ms"], json!(1003));
    assert_eq!(line["running"], json!(1));
    assert_eq!(line["report_age_ms"], json!(841));
    assert_eq!(line["reported_busy"], json!(2));
}

/// Server names are unique only within a service, so a line about the health of `dv-1` is
/// ambiguous without the service.
#[test]
fn a_line_about_a_server_names_its_service() {
    let backend = backend(&snapshot());
    let line = line(DecisionReason::BackendHealth, Some(backend));
    assert_eq!(
        (&line["service"], &line["backend"], &line["host"]),
        (&json!("docvault"), &json!("dv-1"), &json!("bud-angyal-1"))
    );
}

/// An operator queries a host that neither has a pin of the flow nor decides about it. The host
/// must not report that the flow is placed by the lookup table, because the home may have
/// pinned it to another server.
#[test]
fn a_host_that_does_not_decide_reports_that_the_home_decides() {
    let snapshot = snapshot();
    let parameters = ExplainParameters {
        flow: "127.0.0.1:4->127.0.0.1:7002".to_owned(),
        token: None,
    };
    let keys = AuthenticationKeys::new(SecretKey::new([1; 32]), None);
    let query = FlowQuery::parse(&parameters, &TokenIssuer::new(keys)).unwrap();
    assert_eq!(query.explain(&snapshot, None).reason, "home_decides");
    let pinned = query.explain(&snapshot, Some(backend(&snapshot)));
    assert_eq!(
        (pinned.reason.as_str(), pinned.backend.as_deref()),
        ("pin", Some("dv-1"))
    );
}

/// A caller echoes a token that was signed for another flow. `explain` must ignore it, as the
/// traffic threads do.
#[test]
fn a_token_of_another_flow_is_ignored() {
    let snapshot = snapshot();
    let entry = snapshot.backend(backend(&snapshot)).unwrap();
    let issuer = TokenIssuer::new(AuthenticationKeys::new(SecretKey::new([1; 32]), None));
    for (signed_for, reason) in [
        ("127.0.0.1:4->127.0.0.1:7002", "token"),
        ("127.0.0.1:5->127.0.0.1:7002", "home_decides"),
    ] {
        let token = issuer.issue(&signed_for.parse().unwrap(), TokenClaim::from(entry));
        let mut buffer = [0; 256];
        let bytes = codec::encode(&token, &mut buffer).unwrap();
        let parameters = ExplainParameters {
            flow: "127.0.0.1:4->127.0.0.1:7002".to_owned(),
            token: Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect()),
        };
        let query = FlowQuery::parse(&parameters, &issuer).unwrap();
        assert_eq!(query.explain(&snapshot, None).reason, reason);
    }
}

fn reported() -> BackendView {
    BackendView {
        report: Some(ReportedLoad {
            asked: Timestamp::ZERO,
            made: Timestamp::ZERO,
            busy_slots: 0,
            answers: None,
        }),
        ..BackendView::default()
    }
}

#[parameterized(
    unknown = { BackendView::default(), HealthState::Unknown },
    healthy = { reported(), HealthState::Healthy },
    warming = { BackendView { warm_percent: 10, ..reported() }, HealthState::Warming },
    ejected = { BackendView { ejected: true, ..reported() }, HealthState::Unhealthy },
)]
fn the_health_of_a_server_is_reported(view: BackendView, expected: HealthState) {
    let mut snapshot = snapshot();
    snapshot.backends.insert(backend(&snapshot), view);
    let reports = reports::backends(&snapshot, &TrafficLoad::default());
    assert_eq!(reports[0].health, expected);
}
