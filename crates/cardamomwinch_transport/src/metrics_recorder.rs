//! Stores the metrics of the process and renders them as text in the exposition
//! format of Prometheus.
//!
//! Storage and formatting come from libraries. Their own recorder is not used: when it
//! is created, it calibrates a clock for 200 ms, which no metric here needs, and a
//! starting host would forward nothing during that time.

use std::sync;
use std::sync::atomic::Ordering;

use cardamomwinch_state::prelude::SortedVector;
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use metrics_exporter_prometheus::formatting;
use metrics_util::registry::{AtomicStorage, Registry};
use metrics_util::storage;

/// The upper bounds of the buckets of all histograms, in seconds: from a round
/// trip within a failure domain to the longest time that callers wait.
const TIME_BUCKETS: [f64; 11] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// The key of a series: its name and its labels as text.
type SeriesKey = (String, Vec<String>);

/// The metrics of the process.
#[derive(Debug)]
pub(crate) struct MetricsRecorder {
    registry: Registry<Key, AtomicStorage>,
    descriptions: sync::Mutex<SortedVector<String, SharedString>>,
    /// The histograms, up to the samples that are not yet added to their buckets.
    distributions: sync::Mutex<SortedVector<SeriesKey, storage::Histogram>>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    // Each change leaves the data consistent, so a panic of another thread does no harm.
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Default for MetricsRecorder {
    fn default() -> Self {
        Self {
            registry: Registry::new(AtomicStorage),
            descriptions: sync::Mutex::default(),
            distributions: sync::Mutex::default(),
        }
    }
}

impl MetricsRecorder {
    /// Stores the help text of a metric. `_unit` is ignored, because the names of
    /// metrics contain their units.
    fn describe(&self, name: &KeyName, _unit: Option<Unit>, help: SharedString) {
        let name = formatting::sanitize_metric_name(name.as_str());
        lock(&self.descriptions).insert(name, help);
    }

    /// Adds the samples of histograms to their buckets. Until then each takes memory.
    pub(crate) fn aggregate_samples(&self) {
        let mut distributions = lock(&self.distributions);
        self.registry.visit_histograms(|key, samples| {
            let Some(empty) = storage::Histogram::new(&TIME_BUCKETS) else {
                return;
            };
            let series = formatting::key_to_parts(key, None);
            let distribution = distributions.get_or_insert_with(series, || empty);
            samples.clear_with(|samples| distribution.record_many(samples));
        });
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.aggregate_samples();
        let mut text = MetricsText {
            descriptions: lock(&self.descriptions),
            output: String::new(),
        };
        let mut counters = SortedVector::new();
        self.registry.visit_counters(|key, value| {
            let series = formatting::key_to_parts(key, None);
            counters.insert(series, value.load(Ordering::Relaxed));
        });
        text.write_values("counter", &counters);
        let mut gauges = SortedVector::new();
        self.registry.visit_gauges(|key, value| {
            let series = formatting::key_to_parts(key, None);
            gauges.insert(series, f64::from_bits(value.load(Ordering::Relaxed)));
        });
        text.write_values("gauge", &gauges);
        text.write_distributions(&lock(&self.distributions));
        text.output
    }
}

/// The text of the metrics written so far.
struct MetricsText<'a> {
    descriptions: sync::MutexGuard<'a, SortedVector<String, SharedString>>,
    output: String,
}

impl MetricsText<'_> {
    /// Writes the help and type lines of the metric `name`.
    fn write_head(&mut self, name: &str, kind: &str) {
        if let Some(help) = self.descriptions.get(&name.to_owned()) {
            formatting::write_help_line(&mut self.output, name, help);
        }
        formatting::write_type_line(&mut self.output, name, kind);
    }

    fn write_values<V: std::fmt::Display>(
        &mut self,
        kind: &str,
        values: &SortedVector<SeriesKey, V>,
    ) {
        let mut head = None;
        for ((name, labels), value) in values.iter() {
            if head != Some(name) {
                self.write_head(name, kind);
                head = Some(name);
            }
            self.write_line(name, None, labels, None, value);
        }
    }

    fn write_distributions(&mut self, distributions: &SortedVector<SeriesKey, storage::Histogram>) {
        let mut head = None;
        for ((name, labels), distribution) in distributions.iter() {
            if head != Some(name) {
                self.write_head(name, "histogram");
                head = Some(name);
            }
            for (bound, count) in distribution.buckets() {
                let bound = Some(bound.to_string());
                self.write_line(name, Some("bucket"), labels, bound, &count);
            }
            let count = distribution.count();
            let last = Some("+Inf".to_owned());
            self.write_line(name, Some("bucket"), labels, last, &count);
            self.write_line(name, Some("sum"), labels, None, &distribution.sum());
            self.write_line(name, Some("count"), labels, None, &count);
        }
    }

    fn write_line<V: std::fmt::Display>(
        &mut self,
        name: &str,
        suffix: Option<&'static str>,
        labels: &[String],
        bound: Option<String>,
        value: &V,
    ) {
        let bound = bound.map(|bound| ("le", bound));
        formatting::write_metric_line(&mut self.output, name, suffix, labels, bound, value, None);
    }
}

impl Recorder for MetricsRecorder {
    fn describe_counter(&self, name: KeyName, unit: Option<Unit>, help: SharedString) {
        self.describe(&name, unit, help);
    }

    fn describe_gauge(&self, name: KeyName, unit: Option<Unit>, help: SharedString) {
        self.describe(&name, unit, help);
    }

    fn describe_histogram(&self, name: KeyName, unit: Option<Unit>, help: SharedString) {
        self.describe(&name, unit, help);
    }

    fn register_counter(&self, key: &Key, _metadata: &Metadata<'_>) -> Counter {
        self.registry
            .get_or_create_counter(key, |counter| counter.clone().into())
    }

    fn register_gauge(&self, key: &Key, _metadata: &Metadata<'_>) -> Gauge {
        self.registry
            .get_or_create_gauge(key, |gauge| gauge.clone().into())
    }

    fn register_histogram(&self, key: &Key, _metadata: &Metadata<'_>) -> Histogram {
        self.registry
            .get_or_create_histogram(key, |histogram| histogram.clone().into())
    }
}
