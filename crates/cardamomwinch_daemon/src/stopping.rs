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

/// How often the traffic threads are asked whether they are done.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// A host that is done stays until the fabric has handed it nothing for this
/// long. Guards against the lag of the fabric, which sends datagrams to a host
/// for a while after it began to stop: they would be lost with the host, among
/// them notices that nobody asks for again. Until then the host hands them on.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(1500);

/// Tells that the host was told to stop and is home of nothing any more.
#[derive(Debug, Default, Clone)]
pub struct DrainedFlag {
    flag: rc::Rc<cell::Cell<bool>>,
}

impl DrainedFlag {
    /// Sets the flag.
    pub fn set(&self) {
        self.flag.set(true);
    }

    /// Whether it is set.
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
        /// How many.
        pending_requests: u64,
    },
}

/// Asks every traffic thread how much it holds.
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

/// Waits for the first signal or request to stop, then until every home is
/// handed over and nothing is pending, the deadline has passed, or a second signal came.
pub async fn wait_until_stopped<C: Clock>(
    signals: &mut Signals,
    stop_requests: &Receiver<()>,
    control: &Sender<ControlInput>,
    threads: &[Sender<TrafficInput>],
    homes: &DrainedFlag,
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
    // Whoever asks from now on is told that the host is stopping already.
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
            let done = pending_requests == 0 && homes.is_set();
            let begun = load.last_fabric.max(begun);
            if done && now.since(begun) >= QUIET_PERIOD {
                return StopStatus::Graceful;
            }
            // The last host of a domain has nobody to hand its homes to, and
            // has cut nothing where no request is pending.
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
/// Fails where the system refuses.
pub fn stop_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}
