//! The usual size of the answers of a route, by which refused answers are recognized.

/// An answer of less than `1 / REFUSED_PART` of the usual size counts as refused. Refusals are a
/// status and a short reason, while the sizes of answers of a route vary by less than that.
const REFUSED_PART: u32 = 4;
/// The size of an answer enters the moving mean with the weight `1 / SIZE_WEIGHT`.
const SIZE_WEIGHT: u32 = 8;
/// The size of a refused answer enters with the weight `1 / REFUSED_WEIGHT`. It is small, so that
/// refusals stay recognizable during seconds of overload, and positive, so that the smaller
/// answers of a changed route do not count as refused forever.
const REFUSED_WEIGHT: u32 = 256;

/// The moving mean of the sizes of answers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct TypicalAnswer {
    /// In bytes; zero before the first answer.
    mean: f64,
}

impl TypicalAnswer {
    /// Records an answer of `bytes` bytes. Returns whether it is refused.
    pub fn note(&mut self, bytes: u32) -> bool {
        let bytes = f64::from(bytes);
        if self.mean == 0.0 {
            self.mean = bytes;
            return false;
        }
        let refused = bytes * f64::from(REFUSED_PART) < self.mean;
        let weight = if refused { REFUSED_WEIGHT } else { SIZE_WEIGHT };
        self.mean += (bytes - self.mean) / f64::from(weight);
        refused
    }
}
