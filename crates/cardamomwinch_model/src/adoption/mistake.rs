//! Rules of the specification of adoption and routing that can be left out, one
//! at a time. Their names are printed with the results of a search.

use std::fmt;

use crate::adoption::{AdoptionBounds, AdoptionProperty, LastChange};

macro_rules! mistakes {
    ($($(#[$doc:meta])* $variant:ident => $property:ident in $bounds:expr,)*) => {
        /// A rule that is left out, so that the search must find a violation.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum AdoptionMistake {
            $($(#[$doc])* $variant,)*
        }

        impl AdoptionMistake {
            /// Every mistake.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the property that fails.
            pub const fn property(self) -> AdoptionProperty {
                match self {
                    $(Self::$variant => AdoptionProperty::$property,)*
                }
            }

            /// Returns bounds in which the property fails.
            pub const fn bounds(self) -> AdoptionBounds {
                match self {
                    $(Self::$variant => $bounds,)*
                }
            }
        }
    };
}

const REMOVED_WITH_TOKEN: AdoptionBounds = AdoptionBounds::everything(LastChange::Removed, true);
const REMOVED_WITHOUT_TOKEN: AdoptionBounds =
    AdoptionBounds::everything(LastChange::Removed, false);
const REASSIGNED_WITH_TOKEN: AdoptionBounds =
    AdoptionBounds::everything(LastChange::Reassigned, true);
const REASSIGNED_WITHOUT_TOKEN: AdoptionBounds =
    AdoptionBounds::everything(LastChange::Reassigned, false);

mistakes! {
    /// A host adopts an older answer of the platform.
    OlderAnswerAdopted => VersionOnlyRises in REMOVED_WITH_TOKEN,
    /// A host adopts the version of a peer even if it is older.
    OlderPeerAdopted => VersionOnlyRises in REMOVED_WITH_TOKEN,
    /// A token is trusted although its address now belongs to another service.
    TokenUnguarded => OwnServiceOnly in REASSIGNED_WITH_TOKEN,
    /// A pin is trusted although its address now belongs to another service.
    PinUnguarded => OwnServiceOnly in REASSIGNED_WITHOUT_TOKEN,
    /// The server that a relaying host has found is trusted although its
    /// address now belongs to another service.
    RelayedServerUnguarded => OwnServiceOnly in REASSIGNED_WITHOUT_TOKEN,
    /// A waiting request is sent although the address of its server now belongs
    /// to another service.
    WaitingUnguarded => OwnServiceOnly in REASSIGNED_WITH_TOKEN,
    /// A host that was paused acts before it has confirmed its version with
    /// others.
    ActsUnconfirmed => OwnServiceOnly in AdoptionBounds::trusting_servers(true),
    /// A host that stops does not hand over the servers of its flows.
    PinsLeftBehind => FlowKeepsServer in REMOVED_WITHOUT_TOKEN,
    /// The flows of a server that was removed from the configuration are ended.
    RemovedServerForgotten => FlowKeepsServer in REMOVED_WITH_TOKEN,
    /// A host uses its lookup table although the packet has a token.
    TableBeforeToken => FlowKeepsServer in REMOVED_WITH_TOKEN,
    /// The lookup table lists draining servers.
    DrainingListed => DrainingSpared in REMOVED_WITH_TOKEN,
    /// A host that has read an older answer stops reading.
    OlderAnswerEndsReading => PublishedReached in REMOVED_WITH_TOKEN,
    /// Hosts learn versions only from the platform, not from peers.
    PeersNotAsked => PeersConverge in REMOVED_WITH_TOKEN,
}

impl fmt::Display for AdoptionMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
