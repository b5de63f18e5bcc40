//! Highest-random-weight choice: each candidate gets a score from its
//! identifier and the subject, and the highest wins. Removing one candidate
//! moves only what it had.

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::Weight;

/// The score of `candidate` for `subject`.
pub const fn score(candidate: u64, subject: u64) -> u64 {
    flow::mix(candidate ^ flow::mix(subject))
}

/// A score that wins in proportion to `weight`: the logarithm method, with the
/// smallest value winning. Zero weight never wins over a positive one.
pub fn weighted_cost(candidate: u64, subject: u64, weight: Weight) -> f64 {
    if weight == Weight::ZERO {
        return f64::INFINITY;
    }
    // The upper 53 bits give a number in (0, 1], exactly representable.
    let uniform = ((score(candidate, subject) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.get())
}
