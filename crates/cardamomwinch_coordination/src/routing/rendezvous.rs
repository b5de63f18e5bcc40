//! Rendezvous hashing (highest random weight): each candidate gets a score from
//! its identifier and the subject, and the highest score wins. Removing a
//! candidate moves only the subjects that were assigned to it.

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::Weight;

/// The score of `candidate` for `subject`.
pub const fn score(candidate: u64, subject: u64) -> u64 {
    flow::mix(candidate ^ flow::mix(subject))
}

/// The cost of `candidate` for `subject`, by the logarithm method: the smallest
/// cost wins, in proportion to `weight`. A candidate of weight zero never wins
/// over one of positive weight.
pub fn weighted_cost(candidate: u64, subject: u64, weight: Weight) -> f64 {
    if weight == Weight::ZERO {
        return f64::INFINITY;
    }
    // The upper 53 bits give a number in (0, 1], exactly representable.
    let uniform = ((score(candidate, subject) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.get())
}
