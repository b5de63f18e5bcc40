//! Messages about what is in force.

use cardamomwinch_state::prelude::{ConfigurationVersion, HostListVersion};
use serde::{Deserialize, Serialize};

/// What a host says of the configuration it has accepted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// The version of the root document.
    pub version: ConfigurationVersion,
    /// The version of the list of hosts.
    pub host_list: HostListVersion,
    /// A hash over everything accepted.
    pub hash: u64,
}

/// Asks for, and hands over, what another host has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// The sender is behind and asks for the difference.
    Want {
        /// What the sender has accepted.
        digest: ConfigurationDigest,
    },
}
