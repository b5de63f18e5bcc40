//! Waits until the hosts of a deployment reach a state.

use std::time;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::error::{NotReadySnafu, StandinError, TimeoutSnafu};
use crate::http;

/// The time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Deployment {
    /// Waits until `/readyz` of every host reports that it is ready.
    ///
    /// # Errors
    /// Fails if a host is not ready within `wait`.
    pub async fn wait_until_ready(&self, wait: time::Duration) -> Result<(), StandinError> {
        for host in &self.hosts {
            let admin = host.address("admin_address")?;
            let limit = time::Instant::now() + wait;
            loop {
                let reply = http::request(admin, "GET", "/readyz", "").await;
                if reply.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                let binary = &host.name;
                snafu::ensure!(time::Instant::now() < limit, NotReadySnafu { binary });
                async_io::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until all hosts name the same home for every backend server, and
    /// exactly one host holds each home.
    ///
    /// # Errors
    /// Fails if they do not agree within `wait`, or a host does not answer.
    pub async fn wait_until_homes_agree(&self, wait: time::Duration) -> Result<(), StandinError> {
        let limit = time::Instant::now() + wait;
        while !self.homes_agree().await? {
            let condition = "an agreement on homes";
            snafu::ensure!(time::Instant::now() < limit, TimeoutSnafu { condition });
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn homes_agree(&self) -> Result<bool, StandinError> {
        let mut agreed: Option<Vec<Value>> = None;
        let mut holders = vec![0; self.backends.len()];
        for position in 0..self.hosts.len() {
            let backends = self.call(position, "backends", json!([])).await?;
            let reported = backends.as_array().map(Vec::as_slice).unwrap_or_default();
            let homes: Vec<Value> = reported
                .iter()
                .map(|backend| backend["home_host"].clone())
                .collect();
            let known = homes.iter().all(Value::is_string) && homes.len() == self.backends.len();
            if !known || agreed.as_ref().is_some_and(|agreed| *agreed != homes) {
                return Ok(false);
            }
            for (count, backend) in holders.iter_mut().zip(reported) {
                *count += u32::from(backend["holds_home"] == json!(true));
            }
            agreed = Some(homes);
        }
        Ok(holders.iter().all(|count| *count == 1))
    }

    /// Waits until `holds` returns `true` for the status of every host.
    ///
    /// # Errors
    /// Fails if it does not for a host within `wait`.
    pub async fn wait_for_status(
        &self,
        wait: time::Duration,
        mut holds: impl FnMut(&Value) -> bool,
    ) -> Result<(), StandinError> {
        for position in 0..self.hosts.len() {
            let limit = time::Instant::now() + wait;
            loop {
                let status = self.call(position, "status", json!([])).await;
                if status.is_ok_and(|status| holds(&status)) {
                    break;
                }
                let condition = "the status of a host";
                snafu::ensure!(time::Instant::now() < limit, TimeoutSnafu { condition });
                async_io::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
