//! Types of the administration API: JSON-RPC 2.0 over HTTP. Names are strings
//! and identifiers hexadecimal text, because operators read them.

use std::fmt;
use std::net;

use cardamomwinch_state::prelude::{
    BackendPhase, ConfigurationVersion, ConnectionCount, FragmentRevision, HostListVersion,
    HostPhase, Incarnation, SlotCount, Weight,
};
use serde::{Deserialize, Serialize};

/// Method that answers a [`StatusReport`]. It takes no parameters.
pub const STATUS_METHOD: &str = "status";
/// Method that answers a list of [`MemberReport`]s. It takes no parameters.
pub const MEMBERS_METHOD: &str = "members";
/// Method that answers a list of [`BackendReport`]s. It takes no parameters.
pub const BACKENDS_METHOD: &str = "backends";
/// Method that takes [`FlowsParameters`] and answers a [`FlowsReport`].
pub const FLOWS_METHOD: &str = "flows";
/// Method that takes [`ExplainParameters`] and answers an [`ExplainReport`].
pub const EXPLAIN_METHOD: &str = "explain";
/// Method that answers a [`BeliefReport`]; forwarding hosts have it. It takes no
/// parameters.
pub const BELIEFS_METHOD: &str = "beliefs";
/// Method that begins a graceful stop and answers a [`StopReport`]. It takes
/// no parameters.
pub const STOP_METHOD: &str = "stop";

/// Whether a host serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingPhase {
    /// It holds no configuration yet.
    Starting,
    /// It takes new flows.
    Serving,
    /// It takes no new flows and finishes what it has.
    Stopping,
}

impl fmt::Display for ServingPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Stopping => "stopping",
        })
    }
}

/// A published document that is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedFragmentReport {
    /// The team that published it; `root` or `hosts` for a document that
    /// concerns all teams.
    pub team: String,
    /// Its revision.
    pub revision: FragmentRevision,
    /// Why it is refused.
    pub reason: String,
}

/// How the platform answers this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformReport {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Answers older than what the host held already. They were ignored.
    pub stale_answers: u64,
}

/// How a host is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Whether it serves.
    pub phase: ServingPhase,
    /// The configuration version in force; absent while there is none.
    pub version: Option<ConfigurationVersion>,
    /// The preset in force; absent while there is none.
    pub preset: Option<String>,
    /// The version of the list of hosts; absent while there is none.
    pub host_list_version: Option<HostListVersion>,
    /// Fragments that are not in force.
    pub refused_fragments: Vec<RefusedFragmentReport>,
    /// How the platform answers.
    pub platform: PlatformReport,
    /// Flows held.
    pub flows: u64,
    /// Requests waited for.
    pub pending_requests: u64,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
}

/// What this host believes about another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// It was heard of lately.
    Alive,
    /// It was not heard of for a while.
    Suspect,
    /// It was not heard of for so long that its work is taken over.
    Dead,
    /// It was never heard of.
    Unknown,
}

impl fmt::Display for Reachability {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Unknown => "unknown",
        })
    }
}

/// A host as another sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberReport {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// What the list of hosts says; absent where the host is not on it.
    pub published_phase: Option<HostPhase>,
    /// What the asked host believes.
    pub reachability: Reachability,
    /// The latest life heard of.
    pub incarnation: Option<Incarnation>,
    /// Milliseconds since it was last heard of.
    pub last_heard_ms: Option<u64>,
    /// The configuration version it said it holds.
    pub configuration_version: Option<ConfigurationVersion>,
}

/// What a host makes of the health reports of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It answers.
    Healthy,
    /// It started a short while ago and gets little at first.
    Warming,
    /// It answers late, or sheds much.
    Degraded,
    /// It does not answer.
    Unhealthy,
    /// Nothing is known.
    Unknown,
}

impl fmt::Display for HealthState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Healthy => "healthy",
            Self::Warming => "warming",
            Self::Degraded => "degraded",
            Self::Unhealthy => "unhealthy",
            Self::Unknown => "unknown",
        })
    }
}

/// A backend server as a host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendReport {
    /// The name of its service.
    pub service: String,
    /// The name of the backend server.
    pub backend: String,
    /// Its identifier, as sixteen hexadecimal digits.
    pub id: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Its address.
    pub address: String,
    /// Whether it gets new flows.
    pub phase: BackendPhase,
    /// Its share of new flows.
    pub weight: Weight,
    /// What the host makes of its health reports.
    pub health: HealthState,
    /// Slots in use, as far as the host knows.
    pub busy_slots: SlotCount,
    /// Slots in all.
    pub slots: SlotCount,
    /// Flows held open, as far as the host knows.
    pub connections: ConnectionCount,
    /// The position of its shard within its failure domain.
    pub shard: u16,
    /// The host that decides about the shard; absent where none is known.
    pub home_host: Option<String>,
    /// Whether the host that answers holds the lease on the shard and answers
    /// for every request that is sent from now on. Older hosts do not say.
    #[serde(default)]
    pub holds_home: bool,
}

/// What [`FLOWS_METHOD`] takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowsParameters {
    /// The most flows to answer.
    pub limit: u32,
}

/// A flow that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowReport {
    /// The flow as `CALLER->SERVICE`.
    pub flow: String,
    /// The name of its backend server.
    pub backend: String,
    /// Milliseconds since the host has held it.
    pub since_ms: u64,
}

/// Flows that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowsReport {
    /// Flows held in all.
    pub total: u64,
    /// As many of them as were asked for, in no particular order.
    pub flows: Vec<FlowReport>,
}

/// What [`EXPLAIN_METHOD`] takes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainParameters {
    /// The flow as `CALLER->SERVICE`.
    pub flow: String,
    /// The routing token that the caller would echo, if any: the hexadecimal
    /// digits of its encoding.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

/// Where a datagram of a flow would go now, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainReport {
    /// The name of the service; absent where the address belongs to none.
    pub service: Option<String>,
    /// The name of the backend server; absent where there is none for it.
    pub backend: Option<String>,
    /// The host that decides about the flow; absent where none is known.
    pub home_host: Option<String>,
    /// The reason, as it stands in the log.
    pub reason: String,
    /// The configuration version in force; absent while there is none.
    pub version: Option<ConfigurationVersion>,
    /// Identifiers of the backend servers of which one would be chosen; empty where
    /// `backend` names one, and where there is none. Entry hosts name none here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<String>,
}

/// A backend server as a forwarding host knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BelievedServer {
    /// The identifier of its incarnation.
    pub server: String,
    /// Its address.
    pub address: net::SocketAddr,
    /// The identifier of its service.
    pub service: String,
    /// Whether it stands in the failure domain of the host that answers.
    pub own_domain: bool,
    /// What it does: active, draining, vanished or left.
    pub phase: String,
}

/// What a forwarding host believes, and how old that is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BeliefReport {
    /// The version of the configuration in force.
    pub version: u64,
    /// How often the store has come back from a copy of itself, as it tells.
    #[serde(default)]
    pub store_era: u64,
    /// The revision of the store, in that era, up to which changes are known.
    pub revision: u64,
    /// The age of the last word of the store, in milliseconds.
    pub view_age_ms: u64,
    /// Where the host learns from: `store`, or the address of another host.
    pub source: String,
    /// Whether what is missing is taken as not there.
    pub complete: bool,
    /// How many routes are in force.
    pub routes: usize,
    /// The failure domains, by identifier, whose servers get no new flows because
    /// operators evacuate them.
    #[serde(default)]
    pub evacuated_domains: Vec<String>,
    /// The hosts that it knows, and itself.
    pub peers: Vec<net::SocketAddr>,
    /// The backend servers that it knows.
    pub servers: Vec<BelievedServer>,
}

/// The answer to [`STOP_METHOD`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopReport {
    /// Whether the host now stops; false where it was stopping already.
    pub accepted: bool,
}
