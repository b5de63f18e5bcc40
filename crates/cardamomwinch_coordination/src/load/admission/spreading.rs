//! Spreads the room of a service over its priorities.

use crate::load::admission::returning_callers::MAX_RETURNS;

/// The floor of the less urgent priorities, as a part of their arrivals. Since refused callers
/// return at once, arrivals may be several times the requests. If all floors together exceed
/// what the most urgent requests leave, they are also limited to this part of the room.
const FLOOR_PART: f64 = 0.2;
/// The openings in a period from which on a class has arrivals. Moving rates never reach zero.
const MIN_ARRIVALS: f64 = 0.001;
/// How much more easily a caller is admitted with each return.
const RETURN_FACTOR: f64 = 2.0;

/// The probability with which a caller that was refused `returns` times is admitted, if it is
/// `base` for new callers.
pub fn share_after(base: f64, returns: usize) -> f64 {
    (base * RETURN_FACTOR.powi(returns as i32)).min(1.0)
}

/// The openings of one priority in a period, by how often their callers were refused before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassArrivals {
    by_returns: [f64; MAX_RETURNS + 1],
}

impl ClassArrivals {
    /// Wraps the numbers of openings, in the order of the refusals before them.
    pub const fn new(by_returns: [f64; MAX_RETURNS + 1]) -> Self {
        Self { by_returns }
    }

    /// All openings.
    pub fn total(&self) -> f64 {
        self.by_returns.iter().sum()
    }

    /// The probability for new callers at which `admitted` openings are admitted.
    pub fn base_share(&self, admitted: f64) -> f64 {
        if admitted >= self.total() {
            return 1.0;
        }
        // Callers that returned more often are admitted for certain at a lower share.
        for certain in 0..=MAX_RETURNS {
            let first_certain = MAX_RETURNS + 1 - certain;
            let (uncertain, sure) = self.by_returns.split_at(first_certain);
            let weighted: f64 = uncertain
                .iter()
                .enumerate()
                .map(|(returns, count)| count * RETURN_FACTOR.powi(returns as i32))
                .sum();
            let rest = admitted - sure.iter().sum::<f64>();
            let base = if weighted > 0.0 { rest / weighted } else { 0.0 };
            let highest = RETURN_FACTOR.powi(first_certain as i32 - 1);
            if base * highest <= 1.0 {
                return base.max(0.0);
            }
        }
        1.0
    }
}

/// The position of the most urgent class with arrivals, if there are any. `totals` has the
/// openings of each class in a period.
///
/// Routes that nobody uses may have a higher priority than all others.
pub fn most_urgent(totals: &[f64]) -> Option<usize> {
    totals.iter().position(|total| *total >= MIN_ARRIVALS)
}

/// How many openings of each class are admitted if there is `room` for that many in all. The
/// classes are in the order of urgency. The most urgent one with arrivals is admitted
/// completely; the others get their floors, and what is left in the order of urgency.
pub fn spread(room: f64, arrivals: &[ClassArrivals]) -> Vec<f64> {
    let totals: Vec<f64> = arrivals.iter().map(ClassArrivals::total).collect();
    let Some(urgent_class) = most_urgent(&totals) else {
        return totals;
    };
    let (unused, others) = totals.split_at(urgent_class);
    let Some((urgent, others)) = others.split_first() else {
        return totals;
    };
    let demand: f64 = others.iter().sum();
    let limit = (room * FLOOR_PART).max(room - urgent);
    let floor = if demand > 0.0 {
        FLOOR_PART.min(limit / demand)
    } else {
        0.0
    };
    let mut left = (room - urgent - demand * floor).max(0.0);
    let mut admitted = [unused, &[*urgent]].concat();
    for total in others {
        let above_floor = left.min(total * (1.0 - floor));
        left -= above_floor;
        admitted.push(total * floor + above_floor);
    }
    admitted
}
