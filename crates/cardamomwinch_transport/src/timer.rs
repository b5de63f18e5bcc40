//! The timer service, which delivers ticks and deadlines to its subscribers.

use std::sync;
use std::sync::atomic;
use std::time;

use async_io::Timer;
use cardamomwinch_state::prelude::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Clock;

/// The longest uninterrupted sleep. Sleeps are measured by a clock that stops while
/// the machine is suspended. Checking the host's clock at least this often limits how
/// late a deadline is noticed after a suspension.
const MAX_SLEEP: time::Duration = time::Duration::from_secs(1);

/// The shortest period, so that a period of zero does not keep a thread busy.
const MIN_PERIOD: time::Duration = time::Duration::from_millis(1);

/// An event that a subscription delivers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerEvent<K> {
    /// The name that the subscriber gave the subscription.
    pub key: K,
    /// When the event was due.
    pub planned: Timestamp,
    /// When it was delivered.
    pub actual: Timestamp,
    /// The number of further ticks that came due before this one was delivered. They
    /// are skipped, so that a resumed process does not handle a burst of old ticks.
    pub missed: u64,
}

impl<K> TimerEvent<K> {
    /// How late the event was delivered. A large delay shows that the process was
    /// paused and that its data may be outdated.
    pub fn delay(&self) -> time::Duration {
        self.actual.since(self.planned)
    }
}

/// The timing of a periodic subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TickPlan {
    /// The time between two ticks.
    pub period: time::Duration,
    /// Each tick is delayed by a random time below this, so that hosts that started
    /// together do not act together. Values above one period count as one period.
    pub jitter: time::Duration,
    /// The seed of the random delays.
    pub seed: u64,
}

/// Creates subscriptions that follow one clock.
#[derive(Debug, Clone)]
pub struct TimerService<C> {
    clock: C,
    open_subscriptions: sync::Arc<atomic::AtomicUsize>,
}

impl<C: Clock + Clone> TimerService<C> {
    /// Creates a service that reads the time from `clock`.
    pub fn new(clock: C) -> Self {
        let open_subscriptions = sync::Arc::new(atomic::AtomicUsize::new(0));
        Self {
            clock,
            open_subscriptions,
        }
    }

    /// The clock of the service.
    pub const fn clock(&self) -> &C {
        &self.clock
    }

    /// The number of subscriptions that have not been dropped.
    pub fn subscription_count(&self) -> usize {
        self.open_subscriptions.load(atomic::Ordering::Relaxed)
    }

    /// Subscribes to ticks. The first is due one period from now, plus jitter.
    pub fn subscribe_ticks<K: Clone>(&self, key: K, plan: TickPlan) -> TimerSubscription<C, K> {
        let period = plan.period.max(MIN_PERIOD);
        let mut ticks = TickState {
            base: self.clock.now(),
            period,
            jitter: plan.jitter.min(period),
            random: SmallRng::seed_from_u64(plan.seed),
        };
        let planned = ticks.advance();
        self.subscribe(key, Some(planned), Some(ticks))
    }

    /// Subscribes to one event at `deadline`, which is delivered at once if the
    /// deadline has passed.
    pub fn subscribe_deadline<K: Clone>(
        &self,
        key: K,
        deadline: Timestamp,
    ) -> TimerSubscription<C, K> {
        self.subscribe(key, Some(deadline), None)
    }

    fn subscribe<K>(
        &self,
        key: K,
        planned: Option<Timestamp>,
        ticks: Option<TickState>,
    ) -> TimerSubscription<C, K> {
        self.open_subscriptions
            .fetch_add(1, atomic::Ordering::Relaxed);
        TimerSubscription {
            service: self.clone(),
            key,
            planned,
            ticks,
        }
    }
}

#[derive(Debug)]
struct TickState {
    base: Timestamp,
    period: time::Duration,
    jitter: time::Duration,
    random: SmallRng,
}

impl TickState {
    /// Returns the planned time of the next tick. Jitter is added to a base that
    /// advances by whole periods, so that it does not accumulate.
    fn advance(&mut self) -> Timestamp {
        self.base = self.base.after(self.period);
        let share = self.random.random::<f64>();
        self.base.after(self.jitter.mul_f64(share))
    }

    /// Skips the ticks that are due by `now` and returns their number.
    fn skip_until(&mut self, now: Timestamp) -> u64 {
        let behind = now.since(self.base).as_micros() / self.period.as_micros().max(1);
        let missed = u64::try_from(behind).unwrap_or(u64::MAX);
        let period = u64::try_from(self.period.as_micros()).unwrap_or(u64::MAX);
        let skipped = time::Duration::from_micros(period.saturating_mul(missed));
        self.base = self.base.after(skipped);
        missed
    }
}

/// A subscription to ticks or to one deadline. Dropping it cancels it.
#[derive(Debug)]
pub struct TimerSubscription<C, K> {
    service: TimerService<C>,
    key: K,
    planned: Option<Timestamp>,
    ticks: Option<TickState>,
}

impl<C: Clock, K: Clone> TimerSubscription<C, K> {
    /// Waits for the next event. Returns `None` if the subscription was to a deadline
    /// that has been delivered. Dropping the future before it is ready loses no event.
    pub async fn next(&mut self) -> Option<TimerEvent<K>> {
        let planned = self.planned?;
        let actual = self.sleep_until(planned).await;
        let mut missed = 0;
        self.planned = self.ticks.as_mut().map(|ticks| {
            missed = ticks.skip_until(actual);
            ticks.advance()
        });
        Some(TimerEvent {
            key: self.key.clone(),
            planned,
            actual,
            missed,
        })
    }

    async fn sleep_until(&self, planned: Timestamp) -> Timestamp {
        loop {
            let now = self.service.clock.now();
            if now >= planned {
                return now;
            }
            Timer::after(planned.since(now).min(MAX_SLEEP)).await;
        }
    }
}

impl<C, K> Drop for TimerSubscription<C, K> {
    fn drop(&mut self) {
        self.service
            .open_subscriptions
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
