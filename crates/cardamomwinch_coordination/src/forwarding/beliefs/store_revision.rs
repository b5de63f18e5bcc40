//! Moments in the life of the store.

use std::fmt;
use std::num;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// How often the store has come back from a copy of itself.
///
/// What it acknowledged after the copy was made is lost by that, and it gives the numbers
/// of those changes out again. A store that never tells its era is in the first one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era of a store that tells none.
    pub const FIRST: Self = Self(0);

    /// Wraps a number of the store.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl str::FromStr for StoreEra {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The revision of the store: rises with each change of any key, and with each new era.
///
/// Guards against a count that went back with the store. It shows as hosts that take a
/// change for one which they know, because its number is not higher than the last one of
/// the era before. Whatever the numbers are, all that is said in a later era is later.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "RevisionForm", into = "RevisionForm")]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// Before every change.
    pub const ZERO: Self = Self::new(0);

    /// A number that the store gave out in its first era.
    pub const fn new(number: u64) -> Self {
        Self::in_era(StoreEra::FIRST, number)
    }

    /// A number that the store gave out in `era`.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// The era in which the number was given out.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// The number, which says nothing without its era.
    pub const fn get(self) -> u64 {
        self.number
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { era, number } = self;
        write!(formatter, "{era}.{number}")
    }
}

/// Why a text is no revision.
#[derive(Debug)]
#[derive(Snafu)]
pub enum RevisionTextError {
    /// Nothing separates the era from the number.
    #[snafu(display("{text:?} has no point between era and number"))]
    Separator {
        /// The text.
        text: String,
    },
    /// One of the two is no number.
    #[snafu(display("{text:?} is not two numbers"))]
    Number {
        /// The text.
        text: String,
        /// Why.
        source: num::ParseIntError,
    },
}

impl str::FromStr for StoreRevision {
    type Err = RevisionTextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((era, number)) = text.split_once('.') else {
            return SeparatorSnafu { text }.fail();
        };
        Ok(Self {
            era: era.parse().context(NumberSnafu { text })?,
            number: number.parse().context(NumberSnafu { text })?,
        })
    }
}

/// A revision as hosts tell it to each other: without the era in the first one.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum RevisionForm {
    Number(u64),
    EraAndNumber(u64, u64),
}

impl From<RevisionForm> for StoreRevision {
    fn from(form: RevisionForm) -> Self {
        match form {
            RevisionForm::Number(number) => Self::new(number),
            RevisionForm::EraAndNumber(era, number) => Self::in_era(StoreEra::new(era), number),
        }
    }
}

impl From<StoreRevision> for RevisionForm {
    fn from(revision: StoreRevision) -> Self {
        if revision.era == StoreEra::FIRST {
            Self::Number(revision.number)
        } else {
            Self::EraAndNumber(revision.era.get(), revision.number)
        }
    }
}
