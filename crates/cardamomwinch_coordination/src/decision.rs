//! Records of routing and placement decisions, for the decision log.

use std::fmt;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, FlowKey, HostId, RequestId, ServiceId, ShardId,
    Timestamp,
};
use serde::Serialize;

use crate::control::membership::Reachability;

/// Why a decision was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionReason {
    /// The flow was placed on the server that the lookup table names.
    PlacedByTable,
    /// The flow was placed on a server with less load than the table's.
    PlacedByLoad,
    /// The caller echoed a genuine token.
    Token,
    /// The flow is pinned here.
    Pin,
    /// The host that relayed the datagram had decided.
    RelayedDecision,
    /// Relayed to the home of the server's shard.
    RelayedToHome,
    /// A reply was relayed towards the home of its server.
    ReplyRelayed,
    /// A reply reached no home: no host was left to send it to, or too many had it.
    ReplyLost,
    /// An answer came to the home of its server, which knows no request of it.
    ReplyUnmatched,
    /// Relayed to another traffic thread of this host.
    RelayedToThread,
    /// Passed on to the home of the next server that the flow may belong to.
    SearchMoved,
    /// Passed on to another home, which has room or whose table is newer.
    Redirected,
    /// Placed on a server that can be reached, since that of the table cannot.
    PlacedAroundCut,
    /// Relayed because this host may not act on what it believes.
    RelayedUnconfirmed,
    /// Sent to a backend server again, since the earlier attempt did not run or may run twice.
    Retried,
    /// Refused; the request did not run.
    Refused,
    /// Answered that the outcome is not known.
    OutcomeUnknown,
    /// The home does not expect the answer of a request that it sent in time, for this
    /// reason.
    GivenUp(GivingUpCause),
    /// A copy of a request that is known already.
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
    /// A host's reachability changed to this.
    HostReachability(Reachability),
    /// A whole failure domain was cut off from here, or is reachable again.
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
            Self::Retried => "retried",
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
    /// The server says that it is busy with fewer requests than it was sent.
    Uncounted,
    /// It takes much longer than others, and no load report vouches for it.
    Overdue,
    /// Its deadline is near.
    BeforeDeadline,
}

/// What a home knows of a request that it gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunEvidence {
    /// How long ago it was sent.
    pub sent_ago: time::Duration,
    /// Requests that the home has sent to the server and not seen end.
    pub running: u32,
    /// How long ago the last load report came, where there is one.
    pub report_age: Option<time::Duration>,
    /// Requests that it said are running.
    pub reported_busy: Option<u32>,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionRecord {
    /// When.
    pub time: Timestamp,
    /// The host that decided.
    pub host: HostId,
    /// The configuration version it decided under.
    pub version: ConfigurationVersion,
    /// Why.
    pub reason: DecisionReason,
    /// The flow, where the decision concerns one.
    pub flow: Option<FlowKey>,
    /// The request within the flow, where the decision concerns one.
    pub request: Option<RequestId>,
    /// The service, where the decision concerns one.
    pub service: Option<ServiceId>,
    /// The backend server, where the decision concerns one.
    pub backend: Option<BackendId>,
    /// The other host, where the decision concerns one.
    pub peer: Option<HostId>,
    /// The shard, where the decision concerns one.
    pub shard: Option<ShardId>,
    /// What is known of the run, where a request is given up.
    pub evidence: Option<RunEvidence>,
}
