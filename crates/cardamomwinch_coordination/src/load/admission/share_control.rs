//! Controls which share of each priority's openings is admitted.
//!
//! Guards against full queues at all servers of a service. Full queues refuse urgent and
//! other requests alike, refused callers return at once, and servers reset flows right after
//! they opened, which loses requests that may run only once.
//!
//! The *capacity* is how many openings of this host the servers can take in a period. While
//! there is enough room it is unknown. As soon as there is too little, it is what was admitted
//! and answered in time, which is right at any excess of arrivals; small steps then keep the
//! pressure at one. Shares follow from the capacity and the current arrivals, so that they
//! change at once with the arrivals, retries included.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::load::admission::AdmissionRequest;
use crate::load::admission::domain_waits::DomainWaits;
use crate::load::admission::returning_callers::MAX_RETURNS;
use crate::load::admission::spreading::{self, ClassArrivals};
use crate::load::domain_wait::DomainWait;
use crate::load::moving_rate::MovingRate;

/// The interval at which shares are adjusted.
pub const PERIOD: time::Duration = time::Duration::from_millis(100);
/// Up to this wait, in per cent of the latency goal, a domain has room. A longer wait leaves
/// too little of the goal for the work itself.
pub const ROOM_PERCENT: u32 = 20;
/// The share of refused answers at which the pressure is one, in thousandths. Arrivals
/// are random, so that a few queues are full while others are short; to avoid every refusal,
/// servers would have to idle.
const REFUSED_PERMILLE: f64 = 40.0;
/// The mean time over which arrivals are counted: shorter than waits are measured over, so
/// that shares follow a burst or its end at once.
const ARRIVAL_TIME: time::Duration = time::Duration::from_millis(100);
/// The mean time over which admitted openings, requests and answers are counted. A host with
/// 150 openings a second counts 45 of them, so that the capacity is right to a fifth.
const SERVED_TIME: time::Duration = time::Duration::from_millis(300);
/// The weight of the served openings in the new capacity, in a period with a pressure above
/// one.
const SERVED_WEIGHT: f64 = 0.5;
/// The highest ratio of answers to requests that counts. It exceeds one while queues drain.
const MAX_DRAIN_FACTOR: f64 = 1.5;
/// The pressure above which a higher pressure changes nothing.
const MAX_PRESSURE: f64 = 2.0;
/// How much more or less than the capacity is admitted without any pressure, or at twice the
/// intended one. Short queues drain, and idle servers are used, within half a second.
const PRESSURE_GAIN: f64 = 0.2;
/// How much the capacity rises in a period without any pressure, as a part of the mean of the
/// capacity and the arrivals: it doubles in less than a second. Hosts that admit a smaller part
/// of their arrivals than others catch up with them, because they have the same pressure.
/// The rise is quadratic, so that queues do not fill again before the measured waits show it.
const CAPACITY_GAIN: f64 = 0.1;

/// Whether an opening with this `hash` is among the admitted ones of a `share` between zero
/// and one.
pub fn admits(share: f64, hash: u64) -> bool {
    (hash as f64) < share * u64::MAX as f64
}

/// Whether a request that is sent to the domain finds room there. Without a latency goal, only
/// refused answers show that it does not.
fn has_room(domain: DomainWait, latency_goal: time::Duration) -> bool {
    if latency_goal.is_zero() {
        return domain.refused_permille == 0;
    }
    domain.has_room(latency_goal, ROOM_PERCENT)
}

/// How urgently the servers of a domain need fewer requests: above one if waits or refusals
/// exceed what is intended.
fn pressure(domain: DomainWait, latency_goal: time::Duration) -> f64 {
    let room = latency_goal.as_secs_f64() * f64::from(ROOM_PERCENT) / 100.0;
    let wait = if room > 0.0 {
        domain.wait.as_secs_f64() / room
    } else {
        0.0
    };
    let refused = f64::from(domain.refused_permille) / REFUSED_PERMILLE;
    wait.max(refused).min(MAX_PRESSURE)
}

/// The admitted shares of one service. A *class* is the position of a priority among those of
/// the service; routes without a priority are the last class.
#[derive(Debug, Clone)]
pub struct ShareControl {
    /// Openings for each class, since the period began.
    counted: Vec<[u32; MAX_RETURNS + 1]>,
    counted_admitted: u32,
    counted_requests: u32,
    counted_answers: u32,
    /// Openings in a period for each class, by how often their callers were refused before.
    arrivals: Vec<[MovingRate; MAX_RETURNS + 1]>,
    admitted: MovingRate,
    /// Requests on admitted flows.
    requests: MovingRate,
    /// Answers on admitted flows that were not refused.
    answers: MovingRate,
    /// The openings in a period that the servers can take; `None` if there is enough room.
    capacity: Option<f64>,
    /// The probability that an opening of a new caller is admitted, for each class.
    base_shares: Vec<f64>,
    /// The admitted part of all openings of each class.
    admitted_shares: Vec<f64>,
    /// The latency goal of the most urgent class that has one.
    goal: Option<(usize, time::Duration)>,
    /// The most urgent class with arrivals.
    urgent_class: Option<usize>,
    period_began: Timestamp,
}

impl ShareControl {
    /// Creates the control of a service; it admits everything until there is too little room.
    pub fn new(now: Timestamp) -> Self {
        Self {
            counted: Vec::new(),
            counted_admitted: 0,
            counted_requests: 0,
            counted_answers: 0,
            arrivals: Vec::new(),
            admitted: MovingRate::default(),
            requests: MovingRate::default(),
            answers: MovingRate::default(),
            capacity: None,
            base_shares: Vec::new(),
            admitted_shares: Vec::new(),
            goal: None,
            urgent_class: None,
            period_began: now,
        }
    }

    /// When the shares were last adjusted.
    pub const fn updated_at(&self) -> Timestamp {
        self.period_began
    }

    /// Whether no class with arrivals is more urgent than `class`.
    pub fn is_most_urgent(&self, class: usize) -> bool {
        self.urgent_class.is_none_or(|urgent| class <= urgent)
    }

    /// The admitted part of all openings of each class.
    pub fn admitted_shares(&self) -> &[f64] {
        &self.admitted_shares
    }

    /// Adjusts the shares if a period has passed. `request` arrives now and belongs to `class`.
    pub fn advance(&mut self, request: &AdmissionRequest<'_>, class: usize, now: Timestamp) {
        let elapsed = now.since(self.period_began);
        self.set_classes(request.priorities.len() + 1);
        self.note_goal(class, request.latency_goal);
        if elapsed < PERIOD {
            return;
        }
        self.period_began = now;
        self.close_period(elapsed);
        self.adjust_capacity(&request.waits);
    }

    /// The waits are judged by the goal of the most urgent requests, which are to meet theirs
    /// even if the others have more time.
    fn note_goal(&mut self, class: usize, latency_goal: time::Duration) {
        let is_more_urgent = self.goal.is_none_or(|(known, _)| class <= known);
        if is_more_urgent && !latency_goal.is_zero() {
            self.goal = Some((class, latency_goal));
        }
    }

    fn set_classes(&mut self, classes: usize) {
        if self.counted.len() != classes {
            self.counted = vec![Default::default(); classes];
            self.arrivals = vec![Default::default(); classes];
            self.base_shares = vec![1.0; classes];
            self.admitted_shares = vec![1.0; classes];
            self.goal = None;
        }
    }

    fn close_period(&mut self, elapsed: time::Duration) {
        for (rates, counts) in self.arrivals.iter_mut().zip(&mut self.counted) {
            for (rate, count) in rates.iter_mut().zip(counts) {
                rate.note(std::mem::take(count), elapsed, PERIOD, ARRIVAL_TIME);
            }
        }
        self.urgent_class = spreading::most_urgent(&self.class_arrivals());
        let rates = [
            (&mut self.admitted, &mut self.counted_admitted),
            (&mut self.requests, &mut self.counted_requests),
            (&mut self.answers, &mut self.counted_answers),
        ];
        for (rate, count) in rates {
            rate.note(std::mem::take(count), elapsed, PERIOD, SERVED_TIME);
        }
    }

    /// The openings of each class in a period.
    fn class_arrivals(&self) -> Vec<f64> {
        let class = |rates: &[MovingRate; MAX_RETURNS + 1]| rates.iter().map(MovingRate::get).sum();
        self.arrivals.iter().map(class).collect()
    }

    /// The openings in a period that the servers kept up with: fewer than were admitted while
    /// queues fill, and more while they drain.
    fn served(&self) -> f64 {
        let requests = self.requests.get();
        if requests == 0.0 {
            return self.admitted.get();
        }
        self.admitted.get() * (self.answers.get() / requests).min(MAX_DRAIN_FACTOR)
    }

    fn adjust_capacity(&mut self, waits: &DomainWaits) {
        let (Some(best), Some(expected)) = (waits.best(), waits.expected()) else {
            return self.admit_all();
        };
        let latency_goal = self.goal.map(|(_, goal)| goal).unwrap_or_default();
        let has_room = has_room(best, latency_goal);
        let pressure = pressure(expected, latency_goal);
        let classes = self.class_arrivals();
        let arrivals = classes.iter().sum::<f64>();
        let urgent = self.urgent_class.map_or(0.0, |class| classes[class]);
        let capacity = match self.capacity {
            None if has_room => return self.admit_all(),
            None => self.served(),
            Some(capacity) if pressure <= 1.0 => {
                let mean = (capacity + arrivals) / 2.0;
                capacity + mean * CAPACITY_GAIN * (1.0 - pressure).powi(2)
            }
            Some(capacity) => capacity + (self.served() - capacity) * SERVED_WEIGHT,
        };
        // The urgent openings are admitted anyway. A lower capacity would only delay the rise.
        let capacity = capacity.max(urgent);
        if has_room && capacity >= arrivals {
            return self.admit_all();
        }
        self.capacity = Some(capacity);
        self.set_shares(capacity * (1.0 + PRESSURE_GAIN * (1.0 - pressure)));
    }

    fn admit_all(&mut self) {
        self.capacity = None;
        self.base_shares.fill(1.0);
        self.admitted_shares.fill(1.0);
    }

    fn set_shares(&mut self, room: f64) {
        let arrivals: Vec<ClassArrivals> = self
            .arrivals
            .iter()
            .map(|rates| ClassArrivals::new(rates.each_ref().map(MovingRate::get)))
            .collect();
        let admitted = spreading::spread(room, &arrivals);
        for (class, (arrivals, admitted)) in arrivals.iter().zip(admitted).enumerate() {
            self.base_shares[class] = arrivals.base_share(admitted);
            let total = arrivals.total();
            self.admitted_shares[class] = if total > 0.0 { admitted / total } else { 1.0 };
        }
    }

    /// Counts an opening of `class`, whose caller was refused `returns` times before. Returns
    /// the probability with which it is to be admitted.
    pub fn note_arrival(&mut self, class: usize, returns: usize) -> f64 {
        let returns = returns.min(MAX_RETURNS);
        if let Some(counts) = self.counted.get_mut(class) {
            counts[returns] += 1;
        }
        let base = self.base_shares.get(class).copied().unwrap_or(1.0);
        spreading::share_after(base, returns)
    }

    /// Counts a request on an admitted flow.
    pub const fn note_request(&mut self) {
        self.counted_requests += 1;
    }

    /// Counts an answer that was not refused.
    pub const fn note_answered(&mut self) {
        self.counted_answers += 1;
    }

    /// Counts an admitted opening.
    pub const fn note_admitted(&mut self) {
        self.counted_admitted += 1;
    }
}
