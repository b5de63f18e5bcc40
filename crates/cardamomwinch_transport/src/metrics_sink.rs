//! Collects the metrics of the process. It opens no port; the endpoint serves them.

use std::sync;
use std::time;

use snafu::{OptionExt, Snafu};

use crate::clock::Clock;
use crate::metrics_recorder::MetricsRecorder;
use crate::rpc_endpoint::MetricsSource;
use crate::timer::{TickPlan, TimerService};

/// How often the samples of histograms are added to their buckets. Until then each
/// sample takes memory.
const UPKEEP_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Why metrics cannot be collected.
#[derive(Debug)]
#[derive(Snafu)]
pub enum MetricsError {
    /// The process already has a recorder of metrics.
    #[snafu(display("a recorder of metrics is already installed"))]
    AlreadyInstalled,
}

/// The metrics of the process.
#[derive(Debug, Clone)]
pub struct MetricsSink {
    recorder: sync::Arc<MetricsRecorder>,
}

impl MetricsSink {
    /// Installs a recorder of metrics for the process. A process can have only one.
    ///
    /// # Errors
    /// Fails if the process already has a recorder.
    pub fn install() -> Result<Self, MetricsError> {
        let recorder = sync::Arc::<MetricsRecorder>::default();
        let installed = metrics::set_global_recorder(sync::Arc::clone(&recorder));
        installed.ok().context(AlreadyInstalledSnafu)?;
        Ok(Self { recorder })
    }

    /// Regularly adds the samples of histograms to their buckets, until the future is
    /// dropped.
    pub async fn run_upkeep<C: Clock + Clone>(&self, service: &TimerService<C>) {
        let plan = TickPlan {
            period: UPKEEP_PERIOD,
            jitter: time::Duration::ZERO,
            seed: 0,
        };
        let mut subscription = service.subscribe_ticks((), plan);
        while subscription.next().await.is_some() {
            self.recorder.aggregate_samples();
        }
    }
}

impl MetricsSource for MetricsSink {
    fn render(&self) -> String {
        self.recorder.render()
    }
}
