//! The log lines of decisions.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_coordination::forwarding::packet::FlowToken;
use cardamomwinch_coordination::forwarding::record::{ForwardingOutcome, ForwardingRecord};
use cardamomwinch_coordination::load::spill_shares::{SpillReason, SpillTarget};
use cardamomwinch_forwarder::decision_lines::DecisionLine;
use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, DomainId};

fn line(spilled: Option<SpillTarget>) -> serde_json::Value {
    let record = ForwardingRecord {
        outcome: ForwardingOutcome::OpeningPlaced,
        flow: "100.64.0.1:20000->198.18.0.1:443".parse().unwrap(),
        request: None,
        route: Some("desk"),
        token: FlowToken::NONE,
        server: Some(BackendId::new(1)),
        own_domain: Some(spilled.is_none()),
        spilled,
        copies: 0,
        server_flows: 1,
        version: ConfigurationVersion::new(1),
        view_age: time::Duration::ZERO,
        refusal: None,
    };
    serde_json::to_value(DecisionLine::from(&record)).unwrap()
}

/// Guards against a flow in another domain whose line does not say why it is there.
#[test]
fn the_line_of_a_spilled_opening_says_where_and_why() {
    let domain = DomainId::from_name("far");
    let reason = SpillReason::Busy;
    let spilled = line(Some(SpillTarget { domain, reason }));
    assert_eq!(spilled["spilled_to"], domain.to_string());
    assert_eq!(spilled["spill_reason"], "busy");
    let stayed = line(None);
    assert!(stayed.get("spilled_to").is_none() && stayed.get("spill_reason").is_none());
}
