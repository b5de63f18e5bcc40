//! Services, to which callers open flows.

use std::net;

use serde::{Deserialize, Serialize};

use crate::identifiers::{ServiceId, TeamId};

/// A service of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The identifier, derived from the name.
    pub id: ServiceId,
    /// The name that its team gave it.
    pub name: String,
    /// The team that owns it.
    pub team: TeamId,
    /// The public address that callers use.
    pub address: net::SocketAddr,
}
