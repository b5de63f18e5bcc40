//! Messages about the configuration. A host sends others a digest of the documents that it has
//! accepted. A host that lacks some of them requests the difference and receives the documents
//! as they were published.

use std::net;

use cardamomwinch_state::prelude::{
    ConfigurationVersion, HostEntry, HostId, HostListVersion, Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::peer::earlier_tables::EarlierTables;

/// Summarizes the documents that a host has accepted. Equal digests mean that the accepted
/// documents are equal.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// The version of the root document.
    pub version: ConfigurationVersion,
    /// The version of the list of hosts.
    pub host_list: HostListVersion,
    /// A hash of everything accepted.
    pub hash: u64,
}

/// Identifies one published document of a key. The order is by revision. If two documents were
/// published under one revision, the hash decides, so that all hosts choose the same one.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct DocumentStamp {
    /// The revision under which the platform published the document.
    pub revision: u64,
    /// A hash of its content.
    pub hash: u64,
}

/// A document as the platform published it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PublishedText {
    /// The revision under which the platform published it.
    pub revision: u64,
    /// The content of the document.
    pub text: String,
}

/// The fragments of one team that a host has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownTeam {
    /// The name of the team.
    pub team: String,
    /// The newest fragment received, whether it is valid or not.
    pub newest: DocumentStamp,
    /// The last fragments that were in force, newest first.
    pub accepted: Vec<DocumentStamp>,
}

/// The stamps of all documents that a host has.
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

/// A fragment in a [`ConfigurationOffer`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FragmentOffer {
    /// The name of the team.
    pub team: String,
    /// The fragment.
    pub document: PublishedText,
    /// Whether it has been in force on some host.
    pub accepted: bool,
}

/// A newer list of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostListOffer {
    /// Identifies the list to which the changes apply; `None` if `changed` is the whole list.
    pub base: Option<DocumentStamp>,
    /// Identifies the resulting list.
    pub stamp: DocumentStamp,
    /// Hosts that are new or changed.
    pub changed: Vec<HostEntry>,
    /// Hosts that were removed.
    pub removed: Vec<HostId>,
}

/// Documents that the requesting host lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationOffer {
    /// When the requesting host sent its request, by its own clock. It shows whether an offer
    /// is out of date, for example after a pause of the process.
    pub asked: Timestamp,
    /// The digest of what the sender has accepted.
    pub digest: ConfigurationDigest,
    /// Whether the offer holds everything that the requesting host lacks. The rest is sent on
    /// its next request.
    pub complete: bool,
    /// Whether the sender has compared its state with other hosts since it started or was last
    /// paused.
    pub confirmed: bool,
    /// The root document, if that of the requesting host is older.
    pub root: Option<PublishedText>,
    /// Fragments that the requesting host lacks.
    pub fragments: Vec<FragmentOffer>,
    /// The list of hosts, if that of the requesting host is older.
    pub hosts: Option<HostListOffer>,
}

/// Announces, requests and transfers the documents that a host has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// The sender has accepted a new document, or announces its state to a host that starts.
    Announce {
        /// The digest of what the sender has accepted.
        digest: ConfigurationDigest,
        /// Where the sender receives control messages. A host that starts has no list of hosts
        /// in which to look it up.
        reply_to: net::SocketAddr,
    },
    /// Requests everything that the sender lacks. The answer is always an offer, which may be
    /// empty.
    Want {
        /// When the request is sent, by the clock of the sender.
        asked: Timestamp,
        /// The documents that the sender has.
        known: KnownDocuments,
        /// Whether the sender has just started and needs the earlier lookup tables.
        #[serde(rename = "wants_earlier")]
        needs_earlier_tables: bool,
    },
    /// The answer to a request.
    Offer(ConfigurationOffer),
    /// The data of earlier lookup tables, for a host that has just started.
    Earlier(EarlierTables),
}
