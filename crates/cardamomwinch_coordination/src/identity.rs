//! Who a host is, and which of its traffic threads.

use cardamomwinch_state::prelude::{DomainId, HostId, Incarnation, ShardId};

/// Who a host is; learnt from its settings, but for the incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostIdentity {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its present life.
    pub incarnation: Incarnation,
}

/// Which traffic thread of its host an engine runs on. Every shard belongs to
/// one thread, so that what is counted for a backend server is counted once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThreadPlace {
    /// The position of this thread, from zero.
    pub index: u16,
    /// The number of traffic threads.
    pub count: u16,
}

impl ThreadPlace {
    /// The only traffic thread of a host.
    pub const ONLY: Self = Self { index: 0, count: 1 };

    /// The thread that owns `shard`.
    pub fn owner(self, shard: ShardId) -> u16 {
        shard.index % self.count.max(1)
    }

    /// Whether this thread owns `shard`.
    pub fn owns(self, shard: ShardId) -> bool {
        self.owner(shard) == self.index
    }
}
