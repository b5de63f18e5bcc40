//! The place through which control gives traffic its snapshots. Neither side
//! ever waits for the other.

use std::sync;

use arc_swap::ArcSwap;
use cardamomwinch_coordination::prelude::RoutingSnapshot;

/// Holds the snapshot published last.
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

    /// The snapshot published last.
    pub fn load(&self) -> sync::Arc<RoutingSnapshot> {
        self.cell.load_full()
    }

    /// The snapshot published last, without touching its reference count; for
    /// short use on the request path.
    pub fn borrow(&self) -> arc_swap::Guard<sync::Arc<RoutingSnapshot>> {
        self.cell.load()
    }
}
