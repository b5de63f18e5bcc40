//! Sizes, rates, versions and points in time, each with its own type.

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
            /// Zero.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(<$inner>::MAX);

            /// Wraps a plain number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The sum, at most [`Self::MAX`].
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// The difference, at least zero.
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
    /// A number of requests that run at the same time on a backend server.
    SlotCount(u32)
}
quantity! {
    /// A number of flows that are open at the same time on a backend server.
    ConnectionCount(u32)
}
quantity! {
    /// A rate of new flows, per thousand seconds.
    OpeningRate(u64)
}
quantity! {
    /// The relative share of new flows that a backend server gets. Zero means none.
    Weight(u32)
}
quantity! {
    /// The urgency of the requests of a route. Zero is the most urgent.
    RoutePriority(u32)
}
quantity! {
    /// A size in bytes.
    ByteCount(u64)
}
quantity! {
    /// The version of the whole configuration. It only increases.
    ConfigurationVersion(u64)
}
quantity! {
    /// The revision of one team's fragment. It only increases.
    FragmentRevision(u64)
}
quantity! {
    /// The version of the published list of hosts. It only increases.
    HostListVersion(u64)
}
quantity! {
    /// Distinguishes successive processes of one host: the start time of the process in
    /// microseconds since the Unix epoch. A later incarnation has a higher number.
    Incarnation(u64)
}
quantity! {
    /// How often a host has refuted, within one incarnation, the claim that it is dead.
    RefutationCount(u32)
}
quantity! {
    /// A point in time by the clock of the host, in microseconds since the Unix epoch. It
    /// never decreases within one process.
    Timestamp(u64)
}

impl Timestamp {
    /// The point `duration` later, at most [`Self::MAX`].
    #[must_use]
    pub fn after(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The point `duration` earlier, at least [`Self::ZERO`].
    #[must_use]
    pub fn before(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
