//! Metrics of flows that leave the failure domain of the host, and of what it has measured of
//! domains. Services and domains appear by their identifiers, as in the administration API.

use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::load::spill_shares::{SpillReason, SpillTarget};
use cardamomwinch_state::prelude::{DomainId, ServiceId, SortedVector, Timestamp};

const SPILLED: &str = "cardamomwinch_spilled_flows_total";
const SHARE: &str = "cardamomwinch_spill_share";
const RESPONSE: &str = "cardamomwinch_domain_response_seconds";
const REFUSED: &str = "cardamomwinch_refused_answers_total";

/// A service in a failure domain.
type DomainKey = (ServiceId, DomainId);

/// The handles of the metrics, each looked up once.
pub struct SpillMetrics {
    spilled: SortedVector<(DomainId, DomainId, SpillReason), metrics::Counter>,
    shares: SortedVector<DomainKey, metrics::Gauge>,
    responses: SortedVector<DomainKey, metrics::Gauge>,
    refused: metrics::Counter,
}

impl Default for SpillMetrics {
    fn default() -> Self {
        metrics::describe_counter!(
            SPILLED,
            "New flows that were sent to another failure domain, by domains and reason."
        );
        metrics::describe_gauge!(
            SHARE,
            "Share of the new flows of a service that goes to another failure domain."
        );
        metrics::describe_gauge!(
            RESPONSE,
            metrics::Unit::Seconds,
            "Mean response of a service in a failure domain; 0 if it was not measured in the last \
             second."
        );
        metrics::describe_counter!(
            REFUSED,
            "Answers that were far smaller than usual for their route."
        );
        Self {
            spilled: SortedVector::new(),
            shares: SortedVector::new(),
            responses: SortedVector::new(),
            refused: metrics::counter!(REFUSED),
        }
    }
}

fn gauge(name: &'static str, (service, domain): DomainKey) -> metrics::Gauge {
    metrics::gauge!(name, "service" => service.to_string(), "domain" => domain.to_string())
}

impl SpillMetrics {
    /// Counts a flow that left the domain `from` for `target`.
    pub fn count(&mut self, from: DomainId, target: SpillTarget) {
        let key = (from, target.domain, target.reason);
        let make = || {
            metrics::counter!(
                SPILLED,
                "from" => from.to_string(),
                "to" => target.domain.to_string(),
                "reason" => target.reason.name()
            )
        };
        self.spilled.get_or_insert_with(key, make).increment(1);
    }

    /// Publishes the shares and measurements of `engine`.
    pub fn publish(&mut self, engine: &ForwardingEngine, now: Timestamp) {
        let loads = engine.domain_loads();
        self.refused.absolute(loads.refused_answers());
        // What is no longer listed has no share and no measurement.
        let stale = self.shares.values().chain(self.responses.values());
        stale.for_each(|gauge| gauge.set(0.0));
        for (service, domain, share) in engine.spill_shares().iter() {
            let key = (service, domain);
            let make = || gauge(SHARE, key);
            self.shares.get_or_insert_with(key, make).set(share);
        }
        for key in loads.measured(now) {
            let response = loads.measurement(key.0, key.1, now);
            let response = response.map(|one| one.response().as_secs_f64());
            let make = || gauge(RESPONSE, key);
            let handle = self.responses.get_or_insert_with(key, make);
            handle.set(response.unwrap_or_default());
        }
    }
}
