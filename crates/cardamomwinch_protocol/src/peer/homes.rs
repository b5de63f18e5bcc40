//! Messages about who is home of which shard.

use cardamomwinch_state::prelude::ShardId;
use serde::{Deserialize, Serialize};

/// Asks for, grants and hands over the lease on shards.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HomeMessage {
    /// The sender gives up its leases on these shards.
    Released {
        /// The shards.
        shards: Vec<ShardId>,
    },
}
