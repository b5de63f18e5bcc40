//! Signals and the graceful stop.

use std::cell;
use std::io;
use std::rc;
use std::time;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use async_signal::{Signal, Signals};
use cardamomwinch_transport::prelude::Clock;
use futures_lite::StreamExt;

use crate::messages::{ControlInput, TrafficInput, TrafficLoad, TrafficQuery};

/// The interval between checks whether the traffic threads have finished.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// A host that has finished exits when no datagram has arrived from the fabric for this long.
/// The fabric lags and still sends datagrams to a host for a while after it began to stop, and
/// the host relays them. If it exited earlier they would be lost, among them notices, which are
/// never sent again.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(1500);

/// Set when the host has been stopped and is no longer home of any shard.
#[derive(Debug, Default, Clone)]
pub struct DrainedFlag {
    flag: rc::Rc<cell::Cell<bool>>,
}

impl DrainedFlag {
    /// Sets the flag.
    pub fn set(&self) {
        self.flag.set(true);
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.flag.get()
    }
}

/// How the process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStatus {
    /// Nothing was cut off.
    Graceful,
    /// Requests were still pending.
    Cut {
        /// The number of these requests.
        pending_requests: u64,
    },
}

/// Queries the load of all traffic threads and returns the sum.
pub async fn gather_load(threads: &[Sender<TrafficInput>]) -> TrafficLoad {
    let mut total = TrafficLoad::default();
    for thread in threads {
        let (answer, answers) = async_channel::bounded(1);
        let query = TrafficInput::Query(TrafficQuery::Load(answer));
        if thread.send(query).await.is_err() {
            continue;
        }
        let Ok(load) = answers.recv().await else {
            continue;
        };
        total.flows += load.flows;
        total.pending_requests += load.pending_requests;
        total.last_fabric = total.last_fabric.max(load.last_fabric);
        for (backend, busy) in load.busy_slots.iter() {
            *total.busy_slots.get_or_insert_with(*backend, || 0) += busy;
        }
        for (backend, held) in load.connections.iter() {
            *total.connections.get_or_insert_with(*backend, || 0) += held;
        }
    }
    total
}

/// Waits for the first signal or stop request. Then stops the control engine and waits until
/// `drained_flag` is set, no request is pending and no datagram has arrived from the fabric for
/// `QUIET_PERIOD`, or until `deadline` has passed or a second signal arrives.
pub async fn wait_until_stopped<C: Clock>(
    signals: &mut Signals,
    stop_requests: &Receiver<()>,
    control: &Sender<ControlInput>,
    threads: &[Sender<TrafficInput>],
    drained_flag: &DrainedFlag,
    deadline: time::Duration,
    clock: &C,
) -> StopStatus {
    let signalled = async {
        signals.next().await;
    };
    let requested = async {
        if stop_requests.recv().await.is_err() {
            futures_lite::future::pending::<()>().await;
        }
    };
    futures_lite::future::or(signalled, requested).await;
    // Later stop requests are answered with "not accepted".
    stop_requests.close();
    log::info!("stopping gracefully");
    drop(control.send(ControlInput::Stop).await);
    let begun = clock.now();
    let latest = begun.after(deadline);
    let second = async {
        signals.next().await;
        let pending_requests = gather_load(threads).await.pending_requests;
        StopStatus::Cut { pending_requests }
    };
    let drained = async {
        loop {
            Timer::after(POLL_INTERVAL).await;
            let load = gather_load(threads).await;
            let pending_requests = load.pending_requests;
            let now = clock.now();
            let done = pending_requests == 0 && drained_flag.is_set();
            let quiet_since = load.last_fabric.max(begun);
            if done && now.since(quiet_since) >= QUIET_PERIOD {
                return StopStatus::Graceful;
            }
            // The last host of a domain has no successor for its shards, so it is never drained.
            // It stops gracefully if no request is pending.
            if now >= latest {
                return match pending_requests {
                    0 => StopStatus::Graceful,
                    _ => StopStatus::Cut { pending_requests },
                };
            }
        }
    };
    let status = futures_lite::future::or(drained, second).await;
    log::info!("stopped: {status:?}");
    status
}

/// Subscribes to the signals that stop the process.
///
/// # Errors
/// Fails if the operating system refuses.
pub fn stop_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}
