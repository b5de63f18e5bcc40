//! Shared support of the tests with real processes: an executor, a limit of
//! concurrent deployments, a network with partitions and other faults, and callers.
// Each test program uses only a part of this module.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

pub(crate) mod network;
pub(crate) mod plain_data;
pub(crate) mod process_list;
pub(crate) mod requests;
pub(crate) mod sessions;

use std::sync;
use std::thread;
use std::time;

use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;

/// How long tests wait for an event before they fail.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(60);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Deployments that may run at the same time in one test program.
const MAX_DEPLOYMENTS: usize = 3;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static ENDED: sync::Condvar = sync::Condvar::new();

/// Counts a running deployment; dropping it lets another one start.
struct DeploymentPermit;

impl DeploymentPermit {
    fn wait() -> Self {
        let running = runtime::locked(&RUNNING);
        let free = ENDED.wait_while(running, |running| *running >= MAX_DEPLOYMENTS);
        *free.unwrap_or_else(sync::PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *runtime::locked(&RUNNING) -= 1;
        ENDED.notify_one();
    }
}

/// Runs `test` once fewer than `MAX_DEPLOYMENTS` tests of this program are running.
/// A second thread runs the callers, so that they go on while the test blocks on a
/// process.
pub(crate) fn run(test: impl AsyncFnOnce(&TaskExecutor)) {
    let _permit = DeploymentPermit::wait();
    let executor = TaskExecutor::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::scope(|scope| {
        scope.spawn(|| async_io::block_on(executor.run(stopped.recv())));
        // Dropped even if the test panics, so that the second thread ends.
        let _stop = stop;
        async_io::block_on(executor.run(test(&executor)));
    });
}

/// Waits until `check` returns a value; fails the test after [`LIMIT`].
pub(crate) async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let limit = time::Instant::now() + LIMIT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(time::Instant::now() < limit, "timed out waiting for {what}");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for `millis`, for example while a fault lasts. No assertion depends on the
/// exact duration.
pub(crate) async fn pause(millis: u64) {
    async_io::Timer::after(time::Duration::from_millis(millis)).await;
}
