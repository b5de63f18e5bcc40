//! What a control engine is told.

use std::fmt;
use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::{LoadReport, PeerEnvelope};
use cardamomwinch_state::prelude::{BackendId, Timestamp};

use crate::control::health::observation::BackendObservation;

/// A key of the platform's configuration service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformKey {
    /// The root document: which preset is in force and which fragments belong to it.
    Root,
    /// The lagging list of live and leaving hosts.
    Hosts,
    /// The fragment of the team with this name.
    Team(String),
}

impl fmt::Display for PlatformKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => formatter.write_str("root"),
            Self::Hosts => formatter.write_str("hosts"),
            Self::Team(name) => write!(formatter, "teams/{name}"),
        }
    }
}

/// A call to the platform. It only ever reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformRequest {
    /// The key to read.
    pub key: PlatformKey,
    /// Set for a watch: the call waits for a revision above this one.
    pub after: Option<u64>,
    /// The longest time that a watch waits.
    pub wait: time::Duration,
}

/// What the platform answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The value of the key.
    Value {
        /// Its revision.
        revision: u64,
        /// The document.
        text: String,
    },
    /// No newer revision came up while the watch waited.
    Unchanged,
    /// There is no such key.
    Missing,
}

/// The call failed; the transport has logged why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformFailure;

/// How a call to the platform ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformOutcome {
    /// The call.
    pub request: PlatformRequest,
    /// What came of it.
    pub result: Result<PlatformAnswer, PlatformFailure>,
}

/// The load endpoint of a backend server did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFailure;

/// The traffic thread has taken a chunk of a hand-over in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOverReport {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The chunk.
    pub position: u16,
    /// Set where something did not fit: what may have been sent before this
    /// point is not fully known.
    pub records_since: Option<Timestamp>,
}

/// Something that control has to decide about.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The process has started.
    Start,
    /// Time has passed. To be sent about every 100 ms.
    Tick,
    /// Another host sent a control message. The transport has authenticated it.
    Peer(PeerEnvelope),
    /// A call to the platform ended.
    Platform(PlatformOutcome),
    /// The load endpoint of a backend server was asked.
    Load {
        /// The server.
        backend: BackendId,
        /// What it answered.
        result: Result<LoadReport, LoadFailure>,
    },
    /// Traffic threads saw this of backend servers.
    Observed(Vec<BackendObservation>),
    /// A traffic thread gave out a part of what it knows of a shard.
    HandOver(HandOverChunk),
    /// A traffic thread took a chunk in.
    TookOver(TakeOverReport),
    /// The host is to stop gracefully.
    Stop,
}
