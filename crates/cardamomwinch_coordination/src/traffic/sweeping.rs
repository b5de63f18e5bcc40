//! Removes expired request records, a part of the table at each tick.

use cardamomwinch_state::prelude::{PartedTable, Timestamp};

use crate::traffic::TrafficEngine;
use crate::traffic::requests::RequestKey;

/// Parts of the request table that are swept per tick.
const PARTS_PER_TICK: usize = 128;

impl TrafficEngine {
    /// Removes the expired requests of the next parts of the table.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        for _ in 0..PARTS_PER_TICK {
            let position = self.sweep_position;
            self.sweep_position = (position + 1) % PartedTable::<RequestKey, ()>::part_count();
            self.requests.sweep_part(position, now);
        }
    }
}
