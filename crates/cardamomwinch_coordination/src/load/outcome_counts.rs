//! Counts the recent answers of servers, and weighs what the counts show about one server in
//! comparison with the others of its service.
//!
//! The weight of evidence is the negative natural logarithm, in nats, of the probability of
//! the observation at a server that does as well as the others. Observations of different
//! requests and of different hosts are independent, so their weights add up.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// Counts cover between one and two of these periods: long enough for a dozen requests to a
/// server that gets one per second.
const COUNT_PERIOD: time::Duration = time::Duration::from_secs(15);
/// The fresh counts cover between one and two of these periods: short enough to show at once
/// that all servers have begun to shed.
const FRESH_PERIOD: time::Duration = time::Duration::from_secs(1);
/// The least number of bad outcomes for which a fresh share counts.
const MIN_FRESH: u32 = 2;
/// The least share of requests that is taken to fail by chance, in any service: callers
/// vanish while they wait, and a few requests fail by themselves.
const MIN_CHANCE_SHARE: f64 = 0.01;
/// The part of a server's requests that must be refused before it counts as failing. A
/// smaller part costs callers a retry each, which they hardly notice.
const MIN_FAILING_SHARE: f64 = 0.25;
/// The share must also be this many times that of the other servers. In a service that is
/// full everywhere, servers differ by less.
const FAILING_RATIO: f64 = 3.0;

/// The weight of evidence against a server, in hundredths of a nat.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvidenceWeight(u32);

impl EvidenceWeight {
    /// No evidence.
    pub const ZERO: Self = Self(0);

    /// Creates a weight from hundredths of a nat.
    pub const fn new(hundredths: u32) -> Self {
        Self(hundredths)
    }

    /// The weight in hundredths of a nat.
    pub const fn get(self) -> u32 {
        self.0
    }

    fn of_nats(nats: f64) -> Self {
        Self((nats.max(0.0) * 100.0) as u32)
    }

    /// The sum of two weights.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// What became of requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeCount {
    /// Requests with an answer of the usual size.
    pub answered: u32,
    /// Requests with an answer that is far smaller than usual.
    pub refused: u32,
    /// Requests that waited much longer than usual. Some of them were answered later.
    pub overdue: u32,
}

impl OutcomeCount {
    /// One answer, which was `refused` or not.
    pub const fn answer(refused: bool) -> Self {
        Self {
            answered: !refused as u32,
            refused: refused as u32,
            overdue: 0,
        }
    }

    /// One overdue request.
    pub const fn one_overdue() -> Self {
        Self {
            answered: 0,
            refused: 0,
            overdue: 1,
        }
    }

    const fn replies(&self) -> u32 {
        self.answered + self.refused
    }

    /// These counts and `other`.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answered: self.answered + other.answered,
            refused: self.refused + other.refused,
            overdue: self.overdue + other.overdue,
        }
    }

    /// These counts without `other`.
    #[must_use]
    pub const fn without(self, other: Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(other.answered),
            refused: self.refused.saturating_sub(other.refused),
            overdue: self.overdue.saturating_sub(other.overdue),
        }
    }

    /// The requests that are known to be answered or overdue. Some are both.
    fn requests(&self) -> u32 {
        self.replies().max(self.overdue)
    }
}

/// The share of bad outcomes; zero if there are too few.
fn fresh_share(count: u32, requests: u32) -> f64 {
    if count < MIN_FRESH {
        return 0.0;
    }
    (f64::from(count) / f64::from(requests)).min(1.0)
}

/// The requests of the other servers, over a long and over a short time.
#[derive(Debug, Default, Clone, Copy)]
pub struct ComparedCount {
    long: OutcomeCount,
    fresh: OutcomeCount,
}

impl ComparedCount {
    /// The counts `all` without those of one server.
    pub const fn new(all: &RecentCount, server: &RecentCount) -> Self {
        Self {
            long: all.sum().without(server.sum()),
            fresh: all.fresh_sum().without(server.fresh_sum()),
        }
    }

    /// The weight of one more overdue request at a server, if these are the counts of the
    /// others. It is zero if most requests of the route are overdue, as on routes whose
    /// callers acknowledge an answer only with their next request.
    pub fn overdue_weight(&self) -> EvidenceWeight {
        let long = chance_share(self.long.overdue, self.long.requests());
        let fresh = fresh_share(self.fresh.overdue, self.fresh.requests());
        EvidenceWeight::of_nats(-long.max(fresh).ln())
    }

    /// The weight of the refused answers of a server with the counts `server`, if these are
    /// those of the others: Chernoff's bound for so many by chance.
    pub fn refusal_weight(&self, server: &OutcomeCount) -> EvidenceWeight {
        if server.refused == 0 {
            return EvidenceWeight::ZERO;
        }
        let long = chance_share(self.long.refused, self.long.replies());
        let fresh = fresh_share(self.fresh.refused, self.fresh.replies());
        let chance = long.max(fresh);
        let replies = f64::from(server.replies());
        let share = f64::from(server.refused) / replies;
        if share < MIN_FAILING_SHARE || share < chance * FAILING_RATIO {
            return EvidenceWeight::ZERO;
        }
        let rest = 1.0 - share;
        let rest_nats = if rest > 0.0 {
            rest * (rest / (1.0 - chance)).ln()
        } else {
            0.0
        };
        EvidenceWeight::of_nats(replies * (share * (share / chance).ln() + rest_nats))
    }
}

/// The share that is taken to happen by chance after `count` of `requests`. With few requests
/// it is high, because little is then known of the other servers.
fn chance_share(count: u32, requests: u32) -> f64 {
    let share = f64::from(count + 1) / f64::from(requests + 2);
    share.clamp(MIN_CHANCE_SHARE, 1.0)
}

/// Counts of the current and the previous period, for long and for short periods.
#[derive(Debug, Default, Clone, Copy)]
pub struct RecentCount {
    current: OutcomeCount,
    previous: OutcomeCount,
    fresh: OutcomeCount,
    previous_fresh: OutcomeCount,
}

impl RecentCount {
    /// Adds `outcomes` of this moment.
    pub const fn add(&mut self, outcomes: OutcomeCount) {
        self.current = self.current.plus(outcomes);
        self.fresh = self.fresh.plus(outcomes);
    }

    /// The counts of both long periods.
    pub const fn sum(&self) -> OutcomeCount {
        self.current.plus(self.previous)
    }

    const fn fresh_sum(&self) -> OutcomeCount {
        self.fresh.plus(self.previous_fresh)
    }

    /// Begins a new long period.
    pub fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    /// Begins a new short period.
    pub fn rotate_fresh(&mut self) {
        self.previous_fresh = std::mem::take(&mut self.fresh);
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.sum() == OutcomeCount::default()
    }

    /// Removes the counts `other` of the same periods.
    pub const fn remove(&mut self, other: &Self) {
        self.current = self.current.without(other.current);
        self.previous = self.previous.without(other.previous);
        self.fresh = self.fresh.without(other.fresh);
        self.previous_fresh = self.previous_fresh.without(other.previous_fresh);
    }
}

/// Determines when new periods begin.
#[derive(Debug, Default)]
pub struct CountPeriod {
    since: Timestamp,
    fresh_since: Timestamp,
}

impl CountPeriod {
    /// Whether a new long period begins at `now`; true once for each.
    pub fn begins(&mut self, now: Timestamp) -> bool {
        restart(&mut self.since, COUNT_PERIOD, now)
    }

    /// Whether a new short period begins at `now`; true once for each.
    pub fn begins_fresh(&mut self, now: Timestamp) -> bool {
        restart(&mut self.fresh_since, FRESH_PERIOD, now)
    }
}

/// Whether `period` is over at `now`; if so, the next one begins.
fn restart(since: &mut Timestamp, period: time::Duration, now: Timestamp) -> bool {
    let is_over = now.since(*since) >= period;
    if is_over {
        *since = now;
    }
    is_over
}
