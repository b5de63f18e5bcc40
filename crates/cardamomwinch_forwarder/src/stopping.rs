//! Signals and the graceful stop.

use std::time;

use async_io::Timer;
use async_signal::{Signal, Signals};
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::{Clock, HostClock};
use futures_lite::{StreamExt, future};

use crate::reload::SettingsFile;
use crate::traffic_thread::LastPacket;
use crate::view_cell::ViewCell;

/// How often a stopping host checks whether packets still arrive.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How often a serving host checks whether its settings file has changed.
const SETTINGS_POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The fabric takes a host out of rotation after two failed probes, half a second apart.
/// Packets that arrive before would be lost if the process ended.
const MIN_DRAIN_TIME: time::Duration = time::Duration::from_millis(1_300);
/// A stopping host that received no packet for this time is out of rotation. Under load
/// packets arrive every few milliseconds.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(400);
/// How long before the end of `stop_within` the process ends by itself. After `stop_within`
/// it may be killed.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Why the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// No more packets arrive: the fabric has taken the host out of rotation.
    Quiet,
    /// The time limit for stopping is reached.
    Deadline,
    /// A second signal was received.
    SecondSignal,
}

/// Subscribes to the signals that a host handles.
///
/// # Errors
/// Fails if the operating system refuses the subscription.
pub fn signals() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// What to do after a signal, or after a time without one.
enum SignalAction {
    Stop,
    Reload,
    Poll,
}

async fn next_action(signals: &mut Signals, interval: time::Duration) -> SignalAction {
    let signal = async {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => SignalAction::Reload,
            Some(Ok(_)) => SignalAction::Stop,
            Some(Err(error)) => {
                log::error!("signals cannot be received: {error}");
                future::pending().await
            }
            None => future::pending().await,
        }
    };
    let poll = async {
        Timer::after(interval).await;
        SignalAction::Poll
    };
    future::or(signal, poll).await
}

/// Waits for the signal to stop, and reloads the settings meanwhile.
pub async fn wait_for_stop(signals: &mut Signals, settings: &mut SettingsFile) {
    loop {
        match next_action(signals, SETTINGS_POLL_INTERVAL).await {
            SignalAction::Stop => return,
            SignalAction::Reload => settings.reload(),
            SignalAction::Poll => settings.reload_if_changed(),
        }
    }
}

/// Drains the host: makes it not ready, so that the fabric takes it out of rotation, and
/// waits until no more packets arrive. Packets are forwarded meanwhile.
pub async fn drain(
    signals: &mut Signals,
    views: &ViewCell,
    last_packet: &LastPacket,
    stop_within: time::Duration,
    clock: &HostClock,
) -> StopCause {
    views.begin_stop();
    let begun = clock.now();
    let deadline = begun.after(stop_within.saturating_sub(KILL_MARGIN));
    loop {
        if matches!(
            next_action(signals, STOP_POLL_INTERVAL).await,
            SignalAction::Stop
        ) {
            return StopCause::SecondSignal;
        }
        let now = clock.now();
        if is_out_of_rotation(now, begun, last_packet.get()) {
            return StopCause::Quiet;
        }
        if now >= deadline {
            return StopCause::Deadline;
        }
    }
}

fn is_out_of_rotation(now: Timestamp, begun: Timestamp, last_packet: Timestamp) -> bool {
    now.since(begun) >= MIN_DRAIN_TIME && now.since(last_packet) >= QUIET_PERIOD
}
