//! The share of the new flows of a service that one backend server gets.

use std::fmt;
use std::str;

use cardamomwinch_state::prelude::BackendEntry;
use snafu::Snafu;

/// All new flows, in hundredths of a percent.
const ALL_HUNDREDTHS: u64 = 10_000;

/// A share of all new flows, in hundredths of a percent.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowShare(u32);

/// Text that is not a percentage with two decimals.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("expected a percentage such as 12.50%, found {found:?}"))]
pub struct FlowShareParseError {
    /// The rejected text.
    pub found: String,
}

impl FlowShare {
    /// Wraps a number of hundredths of a percent.
    pub const fn new(hundredths: u32) -> Self {
        Self(hundredths)
    }

    /// Returns the number of hundredths of a percent.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the share of `backend` if the weights of all servers that accept
    /// new flows add up to `total`.
    pub(crate) fn of(backend: &BackendEntry, total: u64) -> Self {
        if total == 0 || !backend.accepts_new_flows() {
            return Self::default();
        }
        let weight = u64::from(backend.weight.get());
        Self(((weight * ALL_HUNDREDTHS + total / 2) / total) as u32)
    }
}

impl fmt::Display for FlowShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{}.{:02}%", self.0 / 100, self.0 % 100);
        formatter.pad(&text)
    }
}

impl str::FromStr for FlowShare {
    type Err = FlowShareParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let reject = || FlowShareParseError {
            found: text.to_owned(),
        };
        let digits = text.strip_suffix('%').ok_or_else(reject)?;
        let (percent, hundredths) = digits.split_once('.').ok_or_else(reject)?;
        if hundredths.len() != 2 {
            return Err(reject());
        }
        let percent: u32 = percent.parse().map_err(|_| reject())?;
        let hundredths: u32 = hundredths.parse().map_err(|_| reject())?;
        let whole = percent.checked_mul(100).ok_or_else(reject)?;
        whole.checked_add(hundredths).map(Self).ok_or_else(reject)
    }
}
