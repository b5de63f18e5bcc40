//! Messages about what is in force. A host tells others a digest of what it
//! has accepted; who is behind asks for the difference and gets the documents
//! as they were published.

use std::net;

use cardamomwinch_state::prelude::{
    ConfigurationVersion, HostEntry, HostId, HostListVersion, Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::peer::earlier_tables::EarlierTables;

/// What a host says of the configuration it has accepted. Equal digests mean
/// equal accepted state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// The version of the root document.
    pub version: ConfigurationVersion,
    /// The version of the list of hosts.
    pub host_list: HostListVersion,
    /// A hash over everything accepted.
    pub hash: u64,
}

/// Names one published document of a key. Ordered by revision; the hash only
/// decides between two documents that were published under one revision, so
/// that all hosts settle on the same one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct DocumentStamp {
    /// The revision under which the platform holds the document.
    pub revision: u64,
    /// A hash over its content.
    pub hash: u64,
}

/// A document as the platform published it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PublishedText {
    /// The revision under which the platform holds it.
    pub revision: u64,
    /// The document.
    pub text: String,
}

/// The fragments of one team that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownTeam {
    /// The name of the team.
    pub team: String,
    /// The newest fragment seen, whether or not it can be in force.
    pub newest: DocumentStamp,
    /// The last fragments that were in force, newest first.
    pub accepted: Vec<DocumentStamp>,
}

/// Everything that a host holds, by name.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownDocuments {
    /// The root document.
    pub root: DocumentStamp,
    /// The list of hosts.
    pub hosts: DocumentStamp,
    /// The fragments, in the order of the teams' names.
    pub teams: Vec<KnownTeam>,
}

/// One fragment of an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FragmentOffer {
    /// The name of the team.
    pub team: String,
    /// The fragment.
    pub document: PublishedText,
    /// Whether it was in force on some host.
    pub accepted: bool,
}

/// A newer list of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostListOffer {
    /// The list that the changes apply to; `None` where `changed` is the whole list.
    pub base: Option<DocumentStamp>,
    /// The list that results.
    pub stamp: DocumentStamp,
    /// Hosts that are new or changed.
    pub changed: Vec<HostEntry>,
    /// Hosts that are gone.
    pub removed: Vec<HostId>,
}

/// What the asker lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationOffer {
    /// When the asker asked, by its own clock: an answer that it finds after
    /// it slept is old.
    pub asked: Timestamp,
    /// What the sender has accepted.
    pub digest: ConfigurationDigest,
    /// Whether this is all that the asker lacks. What is left is handed over
    /// when it asks again.
    pub complete: bool,
    /// Whether the sender has compared its state with others since it started
    /// or last slept.
    pub confirmed: bool,
    /// The root document, where the asker's is older.
    pub root: Option<PublishedText>,
    /// Fragments that the asker lacks.
    pub fragments: Vec<FragmentOffer>,
    /// The list of hosts, where the asker's is older.
    pub hosts: Option<HostListOffer>,
}

/// Asks for, and hands over, what another host has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// The sender has accepted something new, or greets a host that starts.
    Announce {
        /// What the sender has accepted.
        digest: ConfigurationDigest,
        /// Where the sender takes control messages: a host that starts holds
        /// no list of hosts to look it up in.
        reply_to: net::SocketAddr,
    },
    /// Asks for whatever the sender lacks. Always answered by an offer, if
    /// only an empty one.
    Want {
        /// When the sender asks, by its own clock.
        asked: Timestamp,
        /// What the sender holds.
        known: KnownDocuments,
        /// Whether the sender started and has no earlier lookup tables yet.
        wants_earlier: bool,
    },
    /// Hands over what the asker lacks.
    Offer(ConfigurationOffer),
    /// Hands over what earlier lookup tables derive from, to a host that started.
    Earlier(EarlierTables),
}
