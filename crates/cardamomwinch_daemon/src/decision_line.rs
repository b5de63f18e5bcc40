//! Decisions as log lines, with names instead of identifiers if the configuration has them.

use cardamomwinch_coordination::decision::RunEvidence;
use cardamomwinch_coordination::prelude::{DecisionReason, DecisionRecord, RoutingSnapshot};
use cardamomwinch_state::prelude::RequestId;
use cardamomwinch_transport::prelude as transport;
use serde::{Serialize, Serializer};

/// The log line of a decision.
#[derive(Debug, Serialize)]
pub struct DecisionLine {
    /// The name of the host that decided.
    pub host: String,
    /// The version of the configuration in force at the decision.
    pub version: u64,
    /// The reason, spelled as in the administration API.
    #[serde(serialize_with = "as_text")]
    pub reason: DecisionReason,
    /// The flow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow: Option<String>,
    /// The request within the flow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<u64>,
    /// The name of the service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The name of the backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub backend: Option<String>,
    /// The name of the other host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// The name of the failure domain, if the reason concerns a whole domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub domain: Option<String>,
    /// The shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// The attempt to run the request, from zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u8>,
    /// What is known about the run of a request that was given up.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub evidence: Option<EvidenceFields>,
}

/// [`RunEvidence`] as it is logged.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct EvidenceFields {
    /// How long ago the request was sent, in milliseconds.
    pub sent_ago_ms: u64,
    /// The number of requests that the home has sent to the server and that have not ended.
    pub running: u32,
    /// How long ago the last load report arrived, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report_age_ms: Option<u64>,
    /// The number of running requests in that report.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reported_busy: Option<u32>,
}

impl From<RunEvidence> for EvidenceFields {
    fn from(evidence: RunEvidence) -> Self {
        Self {
            sent_ago_ms: evidence.sent_ago.as_millis() as u64,
            running: evidence.running,
            report_age_ms: evidence.report_age.map(|age| age.as_millis() as u64),
            reported_busy: evidence.reported_busy,
        }
    }
}

impl DecisionLine {
    /// Creates the line of `record` with the names of the identifiers in it.
    pub fn new(host: &str, record: &DecisionRecord, snapshot: &RoutingSnapshot) -> Self {
        let entry = record.backend.and_then(|id| snapshot.backend(id));
        let service = record.service.or(entry.map(|entry| entry.service));
        let service = service.map(|id| {
            let entry = snapshot.configuration.services.get(&id);
            entry.map_or_else(|| id.to_string(), |entry| entry.name.clone())
        });
        let backend = record.backend.map(|id| {
            let entry = snapshot.backend(id);
            entry.map_or_else(|| id.to_string(), |entry| entry.name.clone())
        });
        let peer = record.peer.map(|id| {
            let entry = snapshot.hosts.get(id);
            entry.map_or_else(|| id.to_string(), |entry| entry.name.clone())
        });
        let domain = match record.reason {
            DecisionReason::DomainReachability { domain, .. } => Some(snapshot.domain_name(domain)),
            _ => None,
        };
        Self {
            host: host.to_owned(),
            version: record.version.get(),
            reason: record.reason,
            flow: record.flow.map(|flow| flow.to_string()),
            request: record.request.map(RequestId::get),
            service,
            backend,
            peer,
            domain,
            shard: record.shard.map(|shard| shard.to_string()),
            attempt: record.attempt.map(|attempt| attempt.0),
            evidence: record.evidence.map(EvidenceFields::from),
        }
    }
}

fn as_text<S: Serializer>(reason: &DecisionReason, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(reason)
}

impl transport::DecisionRecord for DecisionLine {
    fn event(&self) -> &'static str {
        match self.reason {
            DecisionReason::PlacedByTable | DecisionReason::PlacedByLoad => "placement",
            DecisionReason::HomeChanged
            | DecisionReason::ConfigurationAdopted
            | DecisionReason::BackendHealth
            | DecisionReason::HostReachability(_)
            | DecisionReason::DomainReachability { .. } => "control",
            _ => "routing",
        }
    }
}
