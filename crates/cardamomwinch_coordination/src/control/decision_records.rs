//! Builds the records of control decisions for the decision log.

use cardamomwinch_state::prelude::Timestamp;

use crate::control::ControlEngine;
use crate::control::health::HealthChange;
use crate::control::membership::MembershipEvent;
use crate::decision::{DecisionReason, DecisionRecord};

impl ControlEngine {
    pub(super) fn health_record(&self, now: Timestamp, change: HealthChange) -> DecisionRecord {
        DecisionRecord {
            reason: DecisionReason::BackendHealth,
            service: Some(change.service),
            backend: Some(change.backend),
            shard: Some(change.shard),
            ..self.adopted_record(now)
        }
    }

    pub(super) fn adopted_record(&self, now: Timestamp) -> DecisionRecord {
        self.record(now, DecisionReason::ConfigurationAdopted)
    }

    pub(super) fn membership_record(
        &self,
        now: Timestamp,
        event: MembershipEvent,
    ) -> DecisionRecord {
        match event {
            MembershipEvent::Host { host, reachability } => DecisionRecord {
                peer: Some(host),
                ..self.record(now, DecisionReason::HostReachability(reachability))
            },
            MembershipEvent::Domain { domain, reachable } => {
                let reason = DecisionReason::DomainReachability { domain, reachable };
                self.record(now, reason)
            }
        }
    }

    pub(super) fn record(&self, now: Timestamp, reason: DecisionReason) -> DecisionRecord {
        DecisionRecord {
            time: now,
            host: self.identity.host,
            version: self.adoption.version(),
            reason,
            flow: None,
            request: None,
            service: None,
            backend: None,
            peer: None,
            shard: None,
            attempt: None,
            evidence: None,
        }
    }
}
