//! Metrics of admission by priority. Services appear by their identifiers, as in the
//! administration API.

use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_coordination::load::admission::RefusalReason;
use cardamomwinch_state::prelude::{RoutePriority, ServiceId, SortedVector};

const REFUSED: &str = "cardamomwinch_refused_openings_total";
const SHARE: &str = "cardamomwinch_admitted_share";
const URGENT: &str = "cardamomwinch_urgent_served_share";

/// The label `priority` of routes without one.
const NO_PRIORITY: &str = "none";

/// A priority of a service; `None` for its routes without one.
type ShareKey = (ServiceId, Option<RoutePriority>);

/// The handles of the metrics, each looked up once.
pub struct AdmissionMetrics {
    refused: SortedVector<(Option<RoutePriority>, RefusalReason), metrics::Counter>,
    shares: SortedVector<ShareKey, metrics::Gauge>,
    urgent: metrics::Gauge,
}

fn priority_name(priority: Option<RoutePriority>) -> String {
    priority.map_or_else(|| NO_PRIORITY.to_owned(), |one| one.to_string())
}

impl Default for AdmissionMetrics {
    fn default() -> Self {
        metrics::describe_counter!(
            REFUSED,
            "Openings that were refused for lack of room, by priority and reason."
        );
        metrics::describe_gauge!(
            SHARE,
            "Share of the openings of a priority of a service that is admitted."
        );
        metrics::describe_gauge!(
            URGENT,
            "Share of the recent requests of the highest priorities that was served."
        );
        Self {
            refused: SortedVector::new(),
            shares: SortedVector::new(),
            urgent: metrics::gauge!(URGENT),
        }
    }
}

impl AdmissionMetrics {
    /// Publishes what `engine` has refused by the routes of `view`.
    pub fn publish(&mut self, engine: &ForwardingEngine, view: &ForwardingView) {
        let admission = engine.admission();
        for (priority, count) in admission.counts() {
            for (reason, refused) in RefusalReason::ALL.into_iter().zip(count.refused) {
                let make = || {
                    let priority = priority_name(priority);
                    metrics::counter!(REFUSED, "priority" => priority, "reason" => reason.name())
                };
                let key = (priority, reason);
                self.refused.get_or_insert_with(key, make).absolute(refused);
            }
        }
        self.urgent
            .set(admission.urgent_served_share().unwrap_or(1.0));
        // A service without recent openings refuses nothing.
        self.shares.values().for_each(|gauge| gauge.set(1.0));
        for (service, shares) in admission.admitted_shares() {
            let priorities = view.routes.priorities(service).iter().copied();
            let classes = priorities.map(Some).chain([None]);
            for (priority, share) in classes.zip(shares) {
                self.set_share((service, priority), *share);
            }
        }
    }

    fn set_share(&mut self, key: ShareKey, share: f64) {
        let make = || {
            let (service, priority) = (key.0.to_string(), priority_name(key.1));
            metrics::gauge!(SHARE, "service" => service, "priority" => priority)
        };
        self.shares.get_or_insert_with(key, make).set(share);
    }
}
