//! Collects the metrics of the process without listening anywhere itself.

use std::sync;
use std::time;

use snafu::{OptionExt, Snafu};

use crate::clock::Clock;
use crate::metrics_recorder::MetricsRecorder;
use crate::rpc_endpoint::MetricsSource;
use crate::timer::{TickPlan, TimerService};

/// How often the samples of histograms are folded together. Until then they take
/// memory for each sample.
const UPKEEP_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Why metrics cannot be collected.
#[derive(Debug)]
#[derive(Snafu)]
pub enum MetricsError {
    /// A recorder is installed already.
    #[snafu(display("a recorder of metrics is installed already"))]
    Taken,
}

/// Collects what the process counts and measures.
#[derive(Debug, Clone)]
pub struct MetricsSink {
    recorder: sync::Arc<MetricsRecorder>,
}

impl MetricsSink {
    /// Makes this the recorder of the process. A process can do so once.
    ///
    /// # Errors
    /// Fails where there is a recorder already.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = sync::Arc::<MetricsRecorder>::default();
        let installed = metrics::set_global_recorder(sync::Arc::clone(&recorder));
        installed.ok().context(TakenSnafu)?;
        Ok(Self { recorder })
    }

    /// Does the upkeep of the recorder until the future is dropped.
    pub async fn run_upkeep<C: Clock + Clone>(&self, service: &TimerService<C>) {
        let plan = TickPlan {
            period: UPKEEP_PERIOD,
            jitter: time::Duration::ZERO,
            seed: 0,
        };
        let mut subscription = service.subscribe_ticks((), plan);
        while subscription.next().await.is_some() {
            self.recorder.fold_samples();
        }
    }
}

impl MetricsSource for MetricsSink {
    fn render(&self) -> String {
        self.recorder.render()
    }
}
