//! The log line of a decision about a packet.

use cardamomwinch_coordination::forwarding::record::{
    EndEvidence, ForwardingOutcome, ForwardingRecord,
};
use cardamomwinch_coordination::load::admission::AdmissionRefusal;
use cardamomwinch_state::prelude::RoutePriority;
use cardamomwinch_transport::prelude::DecisionRecord;
use serde::Serialize;

/// A decision and the inputs that led to it. Identifiers have the same form as in the
/// administration API, so that log lines and answers can be compared.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct DecisionLine {
    #[serde(skip)]
    outcome: ForwardingOutcome,
    flow: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    route: Option<String>,
    token: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    server: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    own_domain: Option<bool>,
    /// The other failure domain that the flow was sent to.
    #[serde(skip_serializing_if = "Option::is_none")]
    spilled_to: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    spill_reason: Option<&'static str>,
    /// Why an opening was refused for lack of room, and what was known about it.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<RefusalLine>,
    /// Why the flow was reset for its server, and what this host had observed of that.
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<EndLine>,
    copies: u32,
    server_flows: u32,
    version: u64,
    view_age_ms: u64,
}

/// The inputs of a refusal for lack of room.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RefusalLine {
    reason: &'static str,
    /// Left out if the route has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    priority: Option<u32>,
    /// The probability of admission, in thousandths.
    share_permille: u32,
    /// The expected wait.
    wait_ms: u64,
    /// The expected share of refused answers, in thousandths.
    refused_permille: u32,
    retry_after_ms: u64,
}

impl From<&AdmissionRefusal> for RefusalLine {
    fn from(refusal: &AdmissionRefusal) -> Self {
        Self {
            reason: refusal.reason.name(),
            priority: refusal.priority.map(RoutePriority::get),
            share_permille: refusal.share_permille,
            wait_ms: refusal.expected.wait.as_millis() as u64,
            refused_permille: refusal.expected.refused_permille,
            retry_after_ms: refusal.retry_after.as_millis() as u64,
        }
    }
}

/// The evidence for which a flow was ended.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct EndLine {
    cause: &'static str,
    /// Open flows without an acknowledgement since the server last made progress.
    silent_flows: u32,
    /// Openings without an answer since then.
    unanswered_openings: u32,
}

impl From<&EndEvidence> for EndLine {
    fn from(evidence: &EndEvidence) -> Self {
        Self {
            cause: evidence.cause.name(),
            silent_flows: evidence.silent_flows,
            unanswered_openings: evidence.unanswered_openings,
        }
    }
}

impl From<&ForwardingRecord<'_>> for DecisionLine {
    fn from(record: &ForwardingRecord<'_>) -> Self {
        Self {
            outcome: record.outcome,
            flow: record.flow.to_string(),
            request: record.request.map(str::to_owned),
            route: record.route.map(str::to_owned),
            token: record.token.to_string(),
            server: record.server.map(|server| server.to_string()),
            own_domain: record.own_domain,
            spilled_to: record.spilled.map(|target| target.domain.to_string()),
            spill_reason: record.spilled.map(|target| target.reason.name()),
            refusal: record.refusal.as_ref().map(RefusalLine::from),
            end: record.end.as_ref().map(EndLine::from),
            copies: record.copies,
            server_flows: record.server_flows,
            version: record.version.get(),
            view_age_ms: record.view_age.as_millis() as u64,
        }
    }
}

impl DecisionRecord for DecisionLine {
    fn event(&self) -> &'static str {
        self.outcome.name()
    }
}
