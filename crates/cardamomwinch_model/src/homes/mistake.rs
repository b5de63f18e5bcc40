//! Rules of the specification of homes that can be left out, one at a time. Their
//! names are printed with the results of a search.

use std::fmt;

use crate::homes::{HomeBounds, HomeProperty};

macro_rules! mistakes {
    ($($(#[$doc:meta])* $variant:ident => $property:ident,)*) => {
        /// A rule that is left out, so that the search must find a violation.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum HomeMistake {
            $($(#[$doc])* $variant,)*
        }

        impl HomeMistake {
            /// Every mistake.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the property that fails.
            pub const fn property(self) -> HomeProperty {
                match self {
                    $(Self::$variant => HomeProperty::$property,)*
                }
            }

            /// Returns the smallest bounds in which the property fails.
            pub const fn bounds(self) -> HomeBounds {
                match self {
                    Self::EarlierHandOverUsed => return HomeBounds::handed_over_twice().on_time(),
                    Self::ReleasedToAnybody => return HomeBounds::three_hosts(),
                    Self::FarDeadlineRefused => return HomeBounds::request_and_crash(),
                    _ => {}
                }
                match self.property() {
                    HomeProperty::OneHolder | HomeProperty::HomeEmerges => {
                        HomeBounds::leases_only()
                    }
                    HomeProperty::RunsOnce | HomeProperty::OneDispatcher => {
                        HomeBounds::without_refusals().on_time()
                    }
                    HomeProperty::NotRunIsTrue | HomeProperty::CopyAnswered => {
                        HomeBounds::with_request().on_time()
                    }
                }
            }

            /// Returns whether the search takes a minute and gigabytes of memory.
            pub const fn is_large(self) -> bool {
                matches!(self, Self::ReleasedToAnybody)
            }
        }
    };
}

mistakes! {
    /// A voter grants while another host's grant runs.
    GrantWhileHeld => OneHolder,
    /// A voter grants at once after its start, having forgotten earlier grants.
    MuteOmitted => OneHolder,
    /// A candidate counts grants of earlier rounds.
    EarlierRoundCounted => OneHolder,
    /// A holder counts its lease from the arrival of the grants.
    LeaseFromArrival => OneHolder,
    /// A voter applies a late message of a hand-over to its present grant.
    LateTransferApplied => OneHolder,
    /// A home sends the request again for each copy.
    DuplicateRuns => RunsOnce,
    /// A home that took over without a hand-over trusts its empty records.
    RecordsSinceOmitted => RunsOnce,
    /// A home that took over trusts its records from the start of its lease,
    /// although the clock of a caller may be ahead of its own.
    RecordsSinceWithoutSkew => RunsOnce,
    /// A successor uses the records of an earlier hand-over although its
    /// predecessor has been home again since.
    EarlierHandOverUsed => RunsOnce,
    /// A hand-over leaves the records behind.
    RecordsLeftBehind => RunsOnce,
    /// A holder that hands over releases its grants for any host.
    ReleasedToAnybody => RunsOnce,
    /// A host uses the records of a predecessor however old they are.
    LateInheritance => RunsOnce,
    /// A host keeps waiting requests after it has handed them over.
    QueueKept => RunsOnce,
    /// A host that was paused continues to serve without reading the clock.
    ClockNotRead => RunsOnce,
    /// A request whose deadline is too far away is answered "not run".
    FarDeadlineRefused => NotRunIsTrue,
    /// A refusal is not remembered.
    RefusalForgotten => NotRunIsTrue,
    /// A host that is not home refuses.
    RefusedElsewhere => NotRunIsTrue,
    /// A home refuses without checking whether an earlier home may have run the
    /// request.
    RefusedBeforeRecordsSince => NotRunIsTrue,
    /// A reply that an earlier attempt was shed is counted for the present one.
    EarlierAttemptCounted => NotRunIsTrue,
    /// A host acts on a reply that an attempt was shed after it has copied its
    /// records.
    FrozenHostCounts => NotRunIsTrue,
    /// A host that has restarted may use the grants of its earlier incarnation.
    GrantOutlivesLife => OneDispatcher,
    /// The server may begin the request until its deadline.
    StartBeforeDeadlineOnly => OneDispatcher,
    /// A waiting request is sent although the lease has expired.
    QueueIgnoresLease => OneDispatcher,
    /// A copy of a refused request is dropped.
    RefusedCopyIgnored => CopyAnswered,
    /// A voter never forgets a grant.
    GrantNeverExpires => HomeEmerges,
}

impl fmt::Display for HomeMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
