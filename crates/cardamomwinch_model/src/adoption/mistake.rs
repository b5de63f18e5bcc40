//! Rules of the specification of adoption and routing that can be left out, one
//! at a time.

use std::fmt;

use crate::adoption::{AdoptionBounds, AdoptionProperty, LastChange};

macro_rules! mistakes {
    ($($(#[$doc:meta])* $variant:ident => $property:ident in $bounds:expr,)*) => {
        /// A rule that is left out, so that the search has something to find.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum AdoptionMistake {
            $($(#[$doc])* $variant,)*
        }

        impl AdoptionMistake {
            /// Every mistake.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The property that fails.
            pub const fn property(self) -> AdoptionProperty {
                match self {
                    $(Self::$variant => AdoptionProperty::$property,)*
                }
            }

            /// The part of the world in which the property is seen to fail.
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
    /// A host adopts what a peer has, even where that is older.
    OlderPeerAdopted => VersionOnlyRises in REMOVED_WITH_TOKEN,
    /// A token is trusted although its address now belongs to another service.
    TokenUnguarded => OwnServiceOnly in REASSIGNED_WITH_TOKEN,
    /// A pin is trusted although its address now belongs to another service.
    PinUnguarded => OwnServiceOnly in REASSIGNED_WITHOUT_TOKEN,
    /// The server that a relaying host has found is trusted although its
    /// address now belongs to another service.
    RelayedServerUnguarded => OwnServiceOnly in REASSIGNED_WITHOUT_TOKEN,
    /// A waiting request is sent although the address of its server belongs to
    /// another service by now.
    WaitingUnguarded => OwnServiceOnly in REASSIGNED_WITH_TOKEN,
    /// A host that slept acts before it has heard from others.
    ActsUnconfirmed => OwnServiceOnly in AdoptionBounds::trusting_servers(true),
    /// A host that stops leaves the servers of its flows untold.
    PinsLeftBehind => FlowKeepsServer in REMOVED_WITHOUT_TOKEN,
    /// The flows of a server that left the configuration are ended.
    RemovedServerForgotten => FlowKeepsServer in REMOVED_WITH_TOKEN,
    /// The lookup table is asked before the token.
    TableBeforeToken => FlowKeepsServer in REMOVED_WITH_TOKEN,
    /// The lookup table lists draining servers.
    DrainingListed => DrainingSpared in REMOVED_WITH_TOKEN,
    /// A host that has read an older answer reads no more.
    OlderAnswerEndsReading => PublishedReached in REMOVED_WITH_TOKEN,
    /// Hosts learn from the platform only.
    PeersNotAsked => PeersConverge in REMOVED_WITH_TOKEN,
}

impl fmt::Display for AdoptionMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
