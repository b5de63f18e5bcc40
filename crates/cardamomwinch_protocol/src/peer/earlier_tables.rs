//! The data from which lookup tables of earlier versions are built. Flows without a token may
//! still be on the servers on which earlier tables placed them. A host that starts has only the
//! version in force, so it gets the earlier ones from a peer.

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, ServiceId, Timestamp, Weight,
};
use serde::{Deserialize, Serialize};

/// The most servers in one message, so that it fits into one call.
pub const MAX_LISTED_SERVERS: usize = 64 * 1024;

/// A server that accepted new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedServer {
    /// The server.
    pub backend: BackendId,
    /// Its relative share of new flows.
    pub weight: Weight,
}

/// The servers of one service that accepted new flows, in the order of their identifiers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedService {
    /// The service.
    pub service: ServiceId,
    /// Its servers; `None` if the generation has no table of the service.
    pub servers: Option<Vec<ListedServer>>,
}

/// One generation of lookup tables: those of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierGeneration {
    /// The version of the configuration.
    pub version: ConfigurationVersion,
    /// When a newer generation came into force at the sender; `None` for the newest.
    pub superseded: Option<Timestamp>,
    /// Whether all hosts have stopped placing new flows by it.
    pub settled: bool,
    /// The services whose tables differ from those of the generation before this one in the
    /// list; all services for the first in the list.
    pub services: Vec<ListedService>,
}

/// All generations that the sender has.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierTables {
    /// The generations, newest first.
    pub generations: Vec<EarlierGeneration>,
    /// The servers in these generations that are no longer in the sender's configuration.
    pub retained: Vec<BackendEntry>,
}
