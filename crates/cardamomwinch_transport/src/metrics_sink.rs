//! Collects the metrics of the process without listening anywhere itself.

use std::time;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use snafu::{ResultExt, Snafu};

use crate::clock::Clock;
use crate::rpc_endpoint::MetricsSource;
use crate::timer::{TickPlan, TimerService};

/// How often the samples of histograms are folded together. Until then they take
/// memory for each sample.
const UPKEEP_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Why metrics cannot be collected.
#[derive(Debug)]
#[derive(Snafu)]
pub enum MetricsError {
    /// A recorder is installed already, or its settings are wrong.
    #[snafu(display("cannot install the recorder of metrics"))]
    Install {
        /// What the library said.
        source: BuildError,
    },
}

/// Collects what the process counts and measures.
#[derive(Debug, Clone)]
pub struct MetricsSink {
    handle: PrometheusHandle,
}

impl MetricsSink {
    /// Makes this the recorder of the process. A process can do so once.
    ///
    /// # Errors
    /// Fails where there is a recorder already.
    pub fn install(builder: PrometheusBuilder) -> Result<Self, MetricsError> {
        let handle = builder.install_recorder().context(InstallSnafu)?;
        Ok(Self { handle })
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
            self.handle.run_upkeep();
        }
    }
}

impl MetricsSource for MetricsSink {
    fn render(&self) -> String {
        self.handle.render()
    }
}
