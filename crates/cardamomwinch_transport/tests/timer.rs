//! The clock and the timer service.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync;
use std::sync::atomic;
use std::time;

use async_io::block_on;
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::*;

const PERIOD: time::Duration = time::Duration::from_secs(2);

#[derive(Debug, Default, Clone)]
struct ManualClock(sync::Arc<atomic::AtomicU64>);

impl ManualClock {
    fn set(&self, seconds: u64) {
        let micros = seconds * 1_000_000;
        self.0.store(micros, atomic::Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp::new(self.0.load(atomic::Ordering::Relaxed))
    }
}

fn plan(jitter: time::Duration) -> TickPlan {
    TickPlan {
        period: PERIOD,
        jitter,
        seed: 1,
    }
}

#[test]
fn the_host_clock_does_not_go_back_and_starts_at_the_wall_time() {
    let before = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let clock = HostClock::start();
    let mut last = Timestamp::new(u64::try_from(before.unwrap().as_micros()).unwrap());
    for _ in 0..1000 {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
}

// A process is paused for some seconds and resumes. The next tick of its heartbeat
// must show how late it is, and the ticks missed during the pause must not all
// follow at once.
#[test]
fn a_late_tick_shows_its_delay_and_no_burst_follows() {
    let clock = ManualClock::default();
    let service = TimerService::new(clock.clone());
    let mut subscription = service.subscribe_ticks("heartbeat", plan(time::Duration::ZERO));
    clock.set(9);
    let event = block_on(subscription.next()).unwrap();
    assert_eq!(event.planned, Timestamp::new(2_000_000));
    assert_eq!(event.delay(), time::Duration::from_secs(7));
    assert_eq!(event.missed, 3);
    clock.set(10);
    let event = block_on(subscription.next()).unwrap();
    assert_eq!(event.planned, Timestamp::new(10_000_000));
    assert_eq!((event.delay(), event.missed), (time::Duration::ZERO, 0));
}

#[test]
fn jitter_stays_within_its_bound_and_does_not_accumulate() {
    let clock = ManualClock::default();
    let service = TimerService::new(clock.clone());
    let jitter = time::Duration::from_secs(1);
    let mut subscription = service.subscribe_ticks((), plan(jitter));
    for tick in 1..200_u64 {
        clock.set(2 * tick + 1);
        let event = block_on(subscription.next()).unwrap();
        let base = Timestamp::new(2_000_000 * tick);
        assert!(event.planned >= base && event.planned <= base.after(jitter));
    }
}

#[test]
fn a_deadline_is_delivered_once_and_dropping_ends_a_subscription() {
    let clock = ManualClock::default();
    let service = TimerService::new(clock.clone());
    let mut subscription = service.subscribe_deadline(5, Timestamp::new(1));
    clock.set(1);
    assert_eq!(block_on(subscription.next()).unwrap().key, 5);
    assert_eq!(block_on(subscription.next()), None);
    assert_eq!(service.subscription_count(), 1);
    drop(subscription);
    assert_eq!(service.subscription_count(), 0);
}
