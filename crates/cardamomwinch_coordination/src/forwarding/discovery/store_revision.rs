//! Eras and revisions of the store.

use std::fmt;
use std::num;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// How many times the store was restored from a backup.
///
/// A restore loses the changes acknowledged after the backup was made, and the store
/// assigns their numbers again. A store that does not publish its era is in the first one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era of a store that does not publish one.
    pub const FIRST: Self = Self(0);

    /// Wraps a number published by the store.
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

/// A revision of the store. It rises with each change of any key, and with each new era.
///
/// Guards against a number that falls when the store is restored. Otherwise hosts would
/// ignore a new change, because its number is not above the last one of the previous era.
/// Any revision of a later era is later, whatever the numbers are.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "RevisionForm", into = "RevisionForm")]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// Before the first change.
    pub const ZERO: Self = Self::new(0);

    /// A number that the store assigned in its first era.
    pub const fn new(number: u64) -> Self {
        Self::in_era(StoreEra::FIRST, number)
    }

    /// A number that the store assigned in `era`.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// The era in which the number was assigned.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// The number, which is only meaningful together with its era.
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

/// Why a text is not a valid revision.
#[derive(Debug)]
#[derive(Snafu)]
pub enum RevisionTextError {
    /// Nothing separates the era from the number.
    #[snafu(display("{text:?} has no point between era and number"))]
    Separator {
        /// The text.
        text: String,
    },
    /// The era or the number is not an integer.
    #[snafu(display("{text:?} is not two numbers"))]
    Number {
        /// The text.
        text: String,
        /// Why it is not an integer.
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

/// A revision in messages between hosts: without the era if it is the first one.
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
