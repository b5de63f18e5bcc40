//! What the tests with real processes share: an executor, a limit of
//! deployments that run at a time, a network whose parts can be cut, and callers.
// Each test program uses a part of this.
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

/// How long anything that has to come is waited for.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(60);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Deployments that run at the same time in one test program.
const DEPLOYMENT_LIMIT: usize = 3;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static ENDED: sync::Condvar = sync::Condvar::new();

/// Counts a running deployment; dropping it lets another one start.
struct DeploymentPermit;

impl DeploymentPermit {
    fn wait() -> Self {
        let running = runtime::locked(&RUNNING);
        let free = ENDED.wait_while(running, |running| *running >= DEPLOYMENT_LIMIT);
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

/// Runs `test` while few other tests of this program run. A second thread runs
/// the callers, which go on while the test waits for a process.
pub(crate) fn run(test: impl AsyncFnOnce(&TaskExecutor)) {
    let _permit = DeploymentPermit::wait();
    let executor = TaskExecutor::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::scope(|scope| {
        scope.spawn(|| async_io::block_on(executor.run(stopped.recv())));
        // Dropped also where the test panics, which ends the second thread.
        let _stop = stop;
        async_io::block_on(executor.run(test(&executor)));
    });
}

/// Waits until `check` yields something; fails the test after [`LIMIT`].
pub(crate) async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let limit = time::Instant::now() + LIMIT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(time::Instant::now() < limit, "waited in vain for {what}");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Lets a fault last for `millis`; no verdict depends on how long it was.
pub(crate) async fn last(millis: u64) {
    async_io::Timer::after(time::Duration::from_millis(millis)).await;
}
