//! Calls to the platform, which run as tasks on the control thread.

use std::net;
use std::time;

use cardamomwinch_configuration::settings::PlatformSettings;
use cardamomwinch_coordination::control::event::{
    PlatformAnswer, PlatformFailure, PlatformOutcome, PlatformRequest,
};
use cardamomwinch_transport::platform_client::PlatformKey;
use cardamomwinch_transport::prelude::{PlatformClient, PlatformError, WatchOutcome};

/// Makes calls to the platform. Each call has its own connection, because a watch occupies its
/// connection while it waits.
#[derive(Debug, Clone)]
pub struct PlatformCalls {
    addresses: Vec<net::SocketAddr>,
    timeout: time::Duration,
}

impl From<&PlatformSettings> for PlatformCalls {
    fn from(settings: &PlatformSettings) -> Self {
        Self {
            addresses: settings.addresses.clone(),
            timeout: settings.timeout,
        }
    }
}

impl PlatformCalls {
    /// Makes the call and returns its outcome.
    pub async fn make(self, request: PlatformRequest) -> PlatformOutcome {
        let result = self.answer(&request).await;
        PlatformOutcome { request, result }
    }

    async fn answer(&self, request: &PlatformRequest) -> Result<PlatformAnswer, PlatformFailure> {
        let key: PlatformKey = match request.key.to_string().parse() {
            Ok(key) => key,
            Err(error) => return Err(failed(&error)),
        };
        let mut client = PlatformClient::new(&self.addresses, self.timeout);
        let outcome = match request.after {
            None => client.read(&key).await.map(WatchOutcome::Changed),
            Some(after) => client.watch(&key, after, request.wait).await,
        };
        match outcome {
            Ok(WatchOutcome::Changed(reading)) => Ok(PlatformAnswer::Value {
                revision: reading.revision,
                text: reading.value,
            }),
            Ok(WatchOutcome::Unchanged) => Ok(PlatformAnswer::Unchanged),
            Err(PlatformError::Missing { .. }) => Ok(PlatformAnswer::Missing),
            // The platform answered with an old revision. It is passed on as an answer, so that
            // control detects a stale answer instead of a failed call.
            Err(PlatformError::StaleRevision { found, .. }) => Ok(PlatformAnswer::Value {
                revision: found,
                text: String::new(),
            }),
            Err(error) => Err(failed(&error)),
        }
    }
}

fn failed(error: &dyn std::error::Error) -> PlatformFailure {
    log::warn!("platform call failed: {error}");
    PlatformFailure
}
