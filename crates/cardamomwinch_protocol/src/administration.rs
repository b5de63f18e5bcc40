//! Types of the administration API, which is JSON-RPC 2.0 over HTTP. Operators read them, so
//! names are strings and identifiers are hexadecimal text.

use std::fmt;
use std::net;

use cardamomwinch_state::prelude::{
    BackendPhase, ConfigurationVersion, ConnectionCount, FragmentRevision, HostListVersion,
    HostPhase, Incarnation, SlotCount, Weight,
};
use serde::{Deserialize, Serialize};

/// Method that returns a [`StatusReport`]. It takes no parameters.
pub const STATUS_METHOD: &str = "status";
/// Method that returns a list of [`MemberReport`]s. It takes no parameters.
pub const MEMBERS_METHOD: &str = "members";
/// Method that returns a list of [`BackendReport`]s. It takes no parameters.
pub const BACKENDS_METHOD: &str = "backends";
/// Method that takes [`FlowsParameters`] and returns a [`FlowsReport`].
pub const FLOWS_METHOD: &str = "flows";
/// Method that takes [`ExplainParameters`] and returns an [`ExplainReport`].
pub const EXPLAIN_METHOD: &str = "explain";
/// Method that returns a [`DiscoveryReport`]. Only forwarding hosts have it. It takes no
/// parameters.
pub const BELIEFS_METHOD: &str = "beliefs";
/// Method that begins a graceful stop and returns a [`StopReport`]. It takes no parameters.
pub const STOP_METHOD: &str = "stop";

/// Whether a host accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingPhase {
    /// It has no configuration yet.
    Starting,
    /// It accepts new flows.
    Serving,
    /// It accepts no new flows and finishes its open flows and requests.
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
    /// The revision of the document.
    pub revision: FragmentRevision,
    /// Why it was refused.
    pub reason: String,
}

/// The state of the platform as this host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformReport {
    /// Whether the platform answered the last call.
    pub reachable: bool,
    /// The number of answers that were ignored because the host already had newer data.
    pub stale_answers: u64,
}

/// The state of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusReport {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Its incarnation, which identifies the running process.
    pub incarnation: Incarnation,
    /// Whether it accepts new flows.
    pub phase: ServingPhase,
    /// The version of the configuration in force; absent while there is none.
    pub version: Option<ConfigurationVersion>,
    /// The preset in force; absent while there is none.
    pub preset: Option<String>,
    /// The version of the list of hosts; absent while there is none.
    pub host_list_version: Option<HostListVersion>,
    /// Published documents that are not in force.
    pub refused_fragments: Vec<RefusedFragmentReport>,
    /// The state of the platform.
    pub platform: PlatformReport,
    /// The number of open flows on this host.
    pub flows: u64,
    /// The number of requests that are queued or running.
    pub pending_requests: u64,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
}

/// Whether another host is reachable, as this host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// It is known to have responded recently.
    Alive,
    /// It has not responded for a while.
    Suspect,
    /// It has not responded for long enough that other hosts take over its shards.
    Dead,
    /// Nothing is known about it.
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

/// A host as another host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberReport {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Its phase in the published list of hosts; absent if it is not in the list.
    pub published_phase: Option<HostPhase>,
    /// Whether the reporting host can reach it.
    pub reachability: Reachability,
    /// Its latest known incarnation.
    pub incarnation: Option<Incarnation>,
    /// Milliseconds since its last sign of being alive.
    #[serde(rename = "last_heard_ms")]
    pub last_received_ms: Option<u64>,
    /// The version of the configuration that it announced last.
    pub configuration_version: Option<ConfigurationVersion>,
}

/// The health of a backend server, which a host derives from its load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It responds.
    Healthy,
    /// It started recently and gets few flows at first.
    Warming,
    /// It responds late, or sheds many requests.
    Degraded,
    /// It does not respond.
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
    /// Its relative share of new flows.
    pub weight: Weight,
    /// Its health.
    pub health: HealthState,
    /// The number of slots in use, as far as the host knows.
    pub busy_slots: SlotCount,
    /// The number of slots in total.
    pub slots: SlotCount,
    /// The number of open flows, as far as the host knows.
    pub connections: ConnectionCount,
    /// The index of its shard within its failure domain.
    pub shard: u16,
    /// The home of the shard, which decides about its flows; absent if it is not known.
    pub home_host: Option<String>,
    /// Whether the reporting host holds the lease of the shard and is responsible for every
    /// request that is sent from now on. Hosts of earlier versions omit it.
    #[serde(default)]
    pub holds_home: bool,
}

/// The parameters of [`FLOWS_METHOD`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowsParameters {
    /// The most flows to return.
    pub limit: u32,
}

/// An open flow on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowReport {
    /// The flow as `CALLER->SERVICE`.
    pub flow: String,
    /// The name of its backend server.
    pub backend: String,
    /// Milliseconds since the flow was placed.
    pub since_ms: u64,
}

/// The open flows on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowsReport {
    /// The number of open flows in total.
    pub total: u64,
    /// Some of them, at most [`FlowsParameters::limit`], in no particular order.
    pub flows: Vec<FlowReport>,
}

/// The parameters of [`EXPLAIN_METHOD`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainParameters {
    /// The flow as `CALLER->SERVICE`.
    pub flow: String,
    /// The routing token that the caller would echo, if any, encoded and then written in
    /// hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

/// Where a datagram of a flow would go now, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainReport {
    /// The name of the service; absent if the address belongs to none.
    pub service: Option<String>,
    /// The name of the backend server; absent if there is none for the flow.
    pub backend: Option<String>,
    /// The home that decides about the flow; absent if it is not known.
    pub home_host: Option<String>,
    /// The reason, as in the log of decisions.
    pub reason: String,
    /// The version of the configuration in force; absent while there is none.
    pub version: Option<ConfigurationVersion>,
    /// The identifiers of the backend servers from which one would be chosen. Empty if
    /// `backend` names the server or there is none. Only forwarding hosts fill it in.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<String>,
}

/// A backend server as a forwarding host knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownServer {
    /// The identifier of its incarnation.
    pub server: String,
    /// Its address.
    pub address: net::SocketAddr,
    /// The identifier of its service.
    pub service: String,
    /// Whether it is in the failure domain of the reporting host.
    pub own_domain: bool,
    /// Its phase: `active`, `draining`, `unreadable` (its entry in the store is malformed),
    /// `vanished` (it disappeared from the store without a drain) or `left` (it was removed
    /// from the store for good).
    pub phase: String,
}

/// What a forwarding host knows from the store and its peers, and how old that data is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DiscoveryReport {
    /// The version of the configuration in force.
    pub version: u64,
    /// The era of the store: how often it has been restored from a backup, by its own count.
    #[serde(default)]
    pub store_era: u64,
    /// The revision of the store, in that era, up to which changes are known.
    pub revision: u64,
    /// The age of the data in milliseconds: the time since it was current with the store.
    pub view_age_ms: u64,
    /// The source of the data: `store`, or the address of another host.
    pub source: String,
    /// Whether the data is complete, so that a server that is missing from it does not exist.
    pub complete: bool,
    /// The number of routes in force.
    pub routes: usize,
    /// The identifiers of the failure domains whose servers get no new flows because an
    /// operator evacuates them.
    #[serde(default)]
    pub evacuated_domains: Vec<String>,
    /// The addresses of all hosts that it knows, including itself.
    pub peers: Vec<net::SocketAddr>,
    /// The backend servers that it knows.
    pub servers: Vec<KnownServer>,
}

/// The result of [`STOP_METHOD`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopReport {
    /// Whether the call made the host stop; false if it was already stopping.
    pub accepted: bool,
}
