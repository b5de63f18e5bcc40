//! The executor, the clock and the change notification of the stand-ins.

use std::future;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// The executor that the tasks of the stand-ins run on.
pub type TaskExecutor = sync::Arc<async_executor::Executor<'static>>;

/// The wall clock.
pub fn now() -> Timestamp {
    // If the clock is before 1970, 1970 is used; all deadlines are then far away.
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::ZERO.after(since_epoch)
}

/// Locks `mutex`, even if a thread panicked while it held the lock, so that a
/// stand-in continues to answer.
pub fn locked<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Runs `work`; returns nothing if it does not finish by `limit`.
pub async fn until<T>(limit: time::Instant, work: impl future::Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(work.await) }, async {
        async_io::Timer::at(limit).await;
        None
    })
    .await
}

/// Wakes every task that waits for a change.
#[derive(Debug, Default)]
pub struct ChangeNotice {
    listeners: sync::Mutex<Vec<async_channel::Sender<()>>>,
}

impl ChangeNotice {
    /// Returns a channel that is closed at the next change. Subscribe before
    /// reading the state, or a change in between is missed.
    pub fn subscribe(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut listeners = locked(&self.listeners);
        listeners.retain(|listener| listener.receiver_count() > 0);
        listeners.push(sender);
        receiver
    }

    /// Wakes all subscribers.
    pub fn notify(&self) {
        locked(&self.listeners).clear();
    }

    /// Calls `check` now and after each change until it returns a value; returns
    /// nothing if `limit` is reached first.
    pub async fn wait<T>(
        &self,
        limit: time::Instant,
        mut check: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        loop {
            let change = self.subscribe();
            if let Some(found) = check() {
                return Some(found);
            }
            // Nothing is sent on the channel; it only closes.
            until(limit, change.recv()).await?.ok();
        }
    }
}
