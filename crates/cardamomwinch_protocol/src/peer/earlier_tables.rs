//! What lookup tables of earlier versions derive from. A host that starts holds
//! only the version in force, while flows without token still lie where earlier
//! tables placed them, so it gets these from a peer.

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, ServiceId, Timestamp, Weight,
};
use serde::{Deserialize, Serialize};

/// Servers listed in one message at most, so that it passes as one call.
pub const LISTED_LIMIT: usize = 64 * 1024;

/// A server that took new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedServer {
    /// The server.
    pub backend: BackendId,
    /// Its share of new flows.
    pub weight: Weight,
}

/// The servers of one service that took new flows, by identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedService {
    /// The service.
    pub service: ServiceId,
    /// Its servers; none where the generation has no table of the service.
    pub servers: Option<Vec<ListedServer>>,
}

/// One generation of lookup tables.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierGeneration {
    /// The version that it was in force at.
    pub version: ConfigurationVersion,
    /// When a newer one came into force at the sender; `None` for the newest.
    pub superseded: Option<Timestamp>,
    /// Whether no host places new flows by it any more.
    pub settled: bool,
    /// The services whose tables differ from those of the generation listed
    /// before this one; all services where there is none before.
    pub services: Vec<ListedService>,
}

/// The generations that the sender keeps.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierTables {
    /// Newest first.
    pub generations: Vec<EarlierGeneration>,
    /// Servers that these name and the sender's configuration no longer has.
    pub retained: Vec<BackendEntry>,
}
