//! The metrics of the counters that the engines increment, each looked up only once.

use cardamomwinch_coordination::prelude::Counter;

/// The metric of each counter, by the position of the counter.
pub struct CounterHandles {
    handles: Vec<metrics::Counter>,
}

impl Default for CounterHandles {
    fn default() -> Self {
        let handles = Counter::ALL
            .iter()
            .map(|counter| metrics::counter!(counter.name()))
            .collect();
        Self { handles }
    }
}

impl CounterHandles {
    /// Increments the metric of `counter`.
    pub fn count(&self, counter: Counter) {
        self.handles[counter as usize].increment(1);
    }
}
