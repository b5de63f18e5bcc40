//! Sizes, rates, versions and points in time, each a type of its own.

use std::fmt;
use std::num;
use std::str;
use std::time;

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name($inner);

        impl $name {
            /// Nothing of this quantity.
            pub const ZERO: Self = Self(0);
            /// The largest representable amount.
            pub const MAX: Self = Self(<$inner>::MAX);

            /// Wraps a plain number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The sum, or the largest representable amount.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// The difference, or nothing.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

quantity! {
    /// Requests that a backend server can run at the same time.
    SlotCount(u32)
}
quantity! {
    /// Flows that a backend server can hold open at the same time.
    ConnectionCount(u32)
}
quantity! {
    /// New flows in a thousand seconds.
    OpeningRate(u64)
}
quantity! {
    /// The relative share of new flows that a backend server gets. Zero means none.
    Weight(u32)
}
quantity! {
    /// A size in bytes.
    ByteCount(u64)
}
quantity! {
    /// The version of the whole configuration. It only rises.
    ConfigurationVersion(u64)
}
quantity! {
    /// The revision of one team's fragment. It only rises.
    FragmentRevision(u64)
}
quantity! {
    /// The version of the published list of hosts. It only rises.
    HostListVersion(u64)
}
quantity! {
    /// Distinguishes successive lives of one host: microseconds since the Unix
    /// epoch at the start of the process. A later life has a higher number.
    Incarnation(u64)
}
quantity! {
    /// How often a host has refuted, within one life, the claim that it is dead.
    RefutationCount(u32)
}
quantity! {
    /// A point in time: microseconds since the Unix epoch, as the host sees it.
    /// It never falls within one process.
    Timestamp(u64)
}

impl Timestamp {
    /// This point moved `duration` into the future, or the last representable one.
    #[must_use]
    pub fn after(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// This point moved `duration` into the past, or the first representable one.
    #[must_use]
    pub fn before(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// How long after `earlier` this point is; nothing where it is not later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
