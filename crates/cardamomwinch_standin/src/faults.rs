//! Faults injected into a stream of datagrams.

use std::time;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// The largest UDP datagram, in bytes. The fabric and the proxies must not
/// truncate a datagram that its receiver has to refuse as too large.
pub const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// How long a datagram is delayed so that later ones overtake it.
const REORDER_DELAY: time::Duration = time::Duration::from_millis(20);

/// How a link is cut.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutMode {
    /// Everything passes.
    #[default]
    None,
    /// Datagrams are dropped; connections are closed and refused.
    Close,
    /// Datagrams are dropped; connections stay open and transfer nothing until
    /// the cut ends.
    Hold,
}

/// The faults of a stream of datagrams. Shares are between zero and one.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatagramFaults {
    /// The share that is dropped.
    pub loss: f64,
    /// The share that is delivered twice.
    pub double: f64,
    /// The minimum delay of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// The maximum random delay that is added to it, in milliseconds.
    pub delay_ms_max: u64,
    /// The share that is delayed so that later ones overtake it.
    pub reorder: f64,
    /// Whether the link is cut.
    pub cut: CutMode,
}

impl DatagramFaults {
    /// The delay of each copy of one datagram; empty if it is lost.
    pub fn copies(&self, random: &mut SmallRng) -> Vec<time::Duration> {
        if self.cut != CutMode::None || happens(self.loss, random) {
            return Vec::new();
        }
        let count = if happens(self.double, random) { 2 } else { 1 };
        (0..count).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut SmallRng) -> time::Duration {
        let millis = self.delay_ms + random.random_range(0..=self.delay_ms_max);
        let reorder_delay = if happens(self.reorder, random) {
            REORDER_DELAY
        } else {
            time::Duration::ZERO
        };
        time::Duration::from_millis(millis) + reorder_delay
    }
}

fn happens(share: f64, random: &mut SmallRng) -> bool {
    share > 0.0 && random.random_bool(share.min(1.0))
}
