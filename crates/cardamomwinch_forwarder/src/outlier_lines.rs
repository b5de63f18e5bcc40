//! The log lines and metrics of servers that are ejected as outliers, and of their return.

use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::load::outliers::{OutlierChange, OutlierReason};
use cardamomwinch_transport::prelude::DecisionRecord;
use serde::Serialize;

const SERVERS_OUT: &str = "cardamomwinch_servers_out";

/// The log line of the ejection of a server, or of its return.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct OutlierLine {
    #[serde(skip)]
    is_out: bool,
    server: String,
    service: String,
    /// `hanging` or `failing`.
    reason: &'static str,
    /// The weight of the evidence in hundredths of a nat.
    evidence: u32,
    /// The part of it that this host observed itself.
    own_evidence: u32,
    /// How long the server was out.
    #[serde(skip_serializing_if = "Option::is_none")]
    out_for_ms: Option<u64>,
}

impl From<&OutlierChange> for OutlierLine {
    fn from(change: &OutlierChange) -> Self {
        let out_for = change.duration.as_millis() as u64;
        Self {
            is_out: change.is_out,
            server: change.server.to_string(),
            service: change.service.to_string(),
            reason: change.reason.name(),
            evidence: change.weight.get(),
            own_evidence: change.own_weight.get(),
            out_for_ms: (!change.is_out).then_some(out_for),
        }
    }
}

impl DecisionRecord for OutlierLine {
    fn event(&self) -> &'static str {
        if self.is_out {
            "server_ejected"
        } else {
            "server_returned"
        }
    }
}

/// The number of servers that are out, by reason.
pub struct OutlierGauges {
    handles: Vec<(OutlierReason, metrics::Gauge)>,
}

impl Default for OutlierGauges {
    fn default() -> Self {
        metrics::describe_gauge!(
            SERVERS_OUT,
            "Servers that get no new flows because they do worse than the others, by reason."
        );
        let handles = OutlierReason::EJECTING.map(|reason| {
            let gauge = metrics::gauge!(SERVERS_OUT, "reason" => reason.name());
            (reason, gauge)
        });
        Self {
            handles: handles.into(),
        }
    }
}

impl OutlierGauges {
    /// Sets the gauges to what `engine` has decided.
    pub fn set(&self, engine: &ForwardingEngine) {
        for (reason, gauge) in &self.handles {
            let out = engine.progress().outliers.out_count(*reason);
            gauge.set(out as f64);
        }
    }
}
