//! Passes snapshots from the control thread to the traffic threads without locks, so that
//! neither side waits for the other.

use std::sync;

use arc_swap::ArcSwap;
use cardamomwinch_coordination::prelude::RoutingSnapshot;

/// Holds the latest published snapshot.
#[derive(Debug, Clone)]
pub struct SnapshotCell {
    cell: sync::Arc<ArcSwap<RoutingSnapshot>>,
}

impl Default for SnapshotCell {
    fn default() -> Self {
        Self {
            cell: sync::Arc::new(ArcSwap::from_pointee(RoutingSnapshot::starting())),
        }
    }
}

impl SnapshotCell {
    /// Publishes `snapshot`.
    pub fn publish(&self, snapshot: sync::Arc<RoutingSnapshot>) {
        self.cell.store(snapshot);
    }

    /// The latest published snapshot.
    pub fn load(&self) -> sync::Arc<RoutingSnapshot> {
        self.cell.load_full()
    }

    /// The latest published snapshot, without a change of its reference count. The guard must be
    /// held only briefly.
    pub fn borrow(&self) -> arc_swap::Guard<sync::Arc<RoutingSnapshot>> {
        self.cell.load()
    }
}
