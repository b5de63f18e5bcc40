//! Records of routing and placement decisions, for the decision log.

use std::fmt;
use std::time;

use cardamomwinch_protocol::prelude::AttemptNumber;
use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, FlowKey, HostId, RequestId, ServiceId, ShardId,
    Timestamp,
};
use serde::Serialize;

use crate::control::membership::Reachability;

/// The reason of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionReason {
    /// The flow was placed on the server that the lookup table selects.
    PlacedByTable,
    /// The flow was placed on a server with less load than that of the table.
    PlacedByLoad,
    /// The caller echoed a valid token.
    Token,
    /// The flow is pinned on this host.
    Pin,
    /// The host that relayed the datagram had already decided.
    RelayedDecision,
    /// Relayed to the home of the server's shard.
    RelayedToHome,
    /// A reply was relayed towards the home of its server.
    ReplyRelayed,
    /// A reply reached no home: no host was left to relay it to, or it was relayed
    /// too often.
    ReplyLost,
    /// An answer reached the home of its server, but its request is unknown there.
    ReplyUnmatched,
    /// Relayed to another traffic thread of this host.
    RelayedToThread,
    /// Relayed to the home of the next server that the flow may be on.
    SearchMoved,
    /// Relayed to another home, which has free capacity or a newer table.
    Redirected,
    /// Placed on a reachable server because that of the table is cut off.
    PlacedAroundCut,
    /// Relayed because the state of this host is not confirmed.
    RelayedUnconfirmed,
    /// Sent to its backend server.
    Dispatched,
    /// Sent to a backend server again, because the earlier attempt did not run or
    /// the request may run twice.
    Retried,
    /// The whole answer reached the home.
    Answered,
    /// The backend server did not run it and does not hold it.
    Shed,
    /// Waits here for a slot after it was handed over by the earlier home.
    TakenOverWaiting,
    /// Was sent to its server by the earlier home, which handed it over.
    TakenOverRunning,
    /// Refused; the request did not run.
    Refused,
    /// Answered with "outcome unknown".
    OutcomeUnknown,
    /// The home gave up a request that it sent, for this reason.
    GivenUp(GivingUpCause),
    /// A copy of a request that is already known.
    Duplicate,
    /// No host knows the flow.
    UnknownFlow,
    /// The server's address now belongs to another service.
    ReassignedAddress,
    /// The home of a shard changed.
    HomeChanged,
    /// A configuration came into force.
    ConfigurationAdopted,
    /// A backend server's health changed.
    BackendHealth,
    /// A host's reachability changed to this value.
    HostReachability(Reachability),
    /// A failure domain was cut off from this host, or is reachable again.
    DomainReachability {
        /// The failure domain.
        domain: DomainId,
        /// Whether it is reachable now.
        reachable: bool,
    },
}

impl fmt::Display for DecisionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::PlacedByTable => "placed_by_table",
            Self::PlacedByLoad => "placed_by_load",
            Self::Token => "token",
            Self::Pin => "pin",
            Self::RelayedDecision => "relayed_decision",
            Self::RelayedToHome => "relayed_to_home",
            Self::ReplyRelayed => "reply_relayed",
            Self::ReplyLost => "reply_lost",
            Self::ReplyUnmatched => "reply_unmatched",
            Self::RelayedToThread => "relayed_to_thread",
            Self::SearchMoved => "search_moved",
            Self::Redirected => "redirected",
            Self::PlacedAroundCut => "placed_around_cut",
            Self::RelayedUnconfirmed => "relayed_unconfirmed",
            Self::Dispatched => "dispatched",
            Self::Retried => "retried",
            Self::Answered => "answered",
            Self::Shed => "shed",
            Self::TakenOverWaiting => "taken_over_waiting",
            Self::TakenOverRunning => "taken_over_running",
            Self::Refused => "refused",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::GivenUp(GivingUpCause::Uncounted) => "given_up_uncounted",
            Self::GivenUp(GivingUpCause::Overdue) => "given_up_overdue",
            Self::GivenUp(GivingUpCause::BeforeDeadline) => "given_up_before_deadline",
            Self::Duplicate => "duplicate",
            Self::UnknownFlow => "unknown_flow",
            Self::ReassignedAddress => "reassigned_address",
            Self::HomeChanged => "home_changed",
            Self::ConfigurationAdopted => "configuration_adopted",
            Self::BackendHealth => "backend_health",
            Self::HostReachability(Reachability::Unknown) => "host_unknown",
            Self::HostReachability(Reachability::Alive) => "host_alive",
            Self::HostReachability(Reachability::Suspect) => "host_suspect",
            Self::HostReachability(Reachability::Dead) => "host_dead",
            Self::DomainReachability {
                reachable: true, ..
            } => "domain_reachable",
            Self::DomainReachability {
                reachable: false, ..
            } => "domain_cut_off",
        })
    }
}

/// Why a home gives up a request that it sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GivingUpCause {
    /// The server reports fewer busy slots than requests that it was sent.
    Uncounted,
    /// It takes much longer than others, and no load report confirms that it
    /// is still running.
    Overdue,
    /// Its deadline is near.
    BeforeDeadline,
}

/// What a home knows about a request that it gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunEvidence {
    /// The time since it was sent.
    pub sent_ago: time::Duration,
    /// The number of requests that the home has sent to the server and that have
    /// not ended.
    pub running: u32,
    /// The age of the last load report, if there is one.
    pub report_age: Option<time::Duration>,
    /// The number of busy slots in this load report.
    pub reported_busy: Option<u32>,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionRecord {
    /// The time of the decision.
    pub time: Timestamp,
    /// The host that decided.
    pub host: HostId,
    /// The configuration version in force at the decision.
    pub version: ConfigurationVersion,
    /// The reason.
    pub reason: DecisionReason,
    /// The flow, if the decision concerns one.
    pub flow: Option<FlowKey>,
    /// The request within the flow, if the decision concerns one.
    pub request: Option<RequestId>,
    /// The service, if the decision concerns one.
    pub service: Option<ServiceId>,
    /// The backend server, if the decision concerns one.
    pub backend: Option<BackendId>,
    /// The other host, if the decision concerns one.
    pub peer: Option<HostId>,
    /// The shard, if the decision concerns one.
    pub shard: Option<ShardId>,
    /// The attempt to run the request, if the decision concerns one.
    pub attempt: Option<AttemptNumber>,
    /// What is known about the request, if one is given up.
    pub evidence: Option<RunEvidence>,
}
