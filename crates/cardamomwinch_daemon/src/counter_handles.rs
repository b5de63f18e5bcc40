//! Metrics for the counters of the decision logic, looked up once.

use cardamomwinch_coordination::prelude::Counter;

/// One metric a counter.
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
    /// Counts one `counter`.
    pub fn count(&self, counter: Counter) {
        self.handles[counter as usize].increment(1);
    }
}
