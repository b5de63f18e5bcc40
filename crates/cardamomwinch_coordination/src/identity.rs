//! The identity of a host and of a traffic thread in it.

use cardamomwinch_state::prelude::{DomainId, HostId, Incarnation, ShardId};

/// The identity of a host. Everything but the incarnation comes from its
/// settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostIdentity {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
}

/// The traffic thread that an engine runs on. Every shard belongs to one thread,
/// so that the load of a backend server is counted in one place.
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
