//! Counters of the decisions about packets, and histograms of the times that callers wait.
//! The handles of the metrics are looked up once.

use std::time;

use cardamomwinch_coordination::forwarding::record::ForwardingOutcome;

const PACKETS: &str = "cardamomwinch_forwarding_packets_total";
const OPENING: &str = "cardamomwinch_forwarding_opening_seconds";
const RESPONSE: &str = "cardamomwinch_forwarding_response_seconds";

/// A counter for each outcome, and the histograms.
pub struct OutcomeCounters {
    handles: Vec<metrics::Counter>,
    opening: metrics::Histogram,
    response: metrics::Histogram,
}

impl Default for OutcomeCounters {
    fn default() -> Self {
        metrics::describe_counter!(
            PACKETS,
            "Packets of callers by what was decided about them."
        );
        metrics::describe_histogram!(
            OPENING,
            metrics::Unit::Seconds,
            "Time from an opening to its confirmation by a server."
        );
        metrics::describe_histogram!(
            RESPONSE,
            metrics::Unit::Seconds,
            "Time from a request to the beginning of an answer of several packets."
        );
        let handles = ForwardingOutcome::ALL
            .iter()
            .map(|outcome| metrics::counter!(PACKETS, "outcome" => outcome.name()))
            .collect();
        Self {
            handles,
            opening: metrics::histogram!(OPENING),
            response: metrics::histogram!(RESPONSE),
        }
    }
}

impl OutcomeCounters {
    /// Records the time from an opening to its confirmation.
    pub fn record_opening(&self, time: time::Duration) {
        self.opening.record(time.as_secs_f64());
    }

    /// Records the time from a request to the beginning of its answer.
    pub fn record_response(&self, time: time::Duration) {
        self.response.record(time.as_secs_f64());
    }

    /// Counts one `outcome`.
    pub fn count(&self, outcome: ForwardingOutcome) {
        self.handles[outcome as usize].increment(1);
    }
}
