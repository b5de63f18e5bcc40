//! The events that a control engine handles.

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
    /// The root document: the preset in force and the list of fragments.
    Root,
    /// The list of live and leaving hosts, which can lag behind reality.
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

/// A read or a watch of a platform key. Nothing is ever written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformRequest {
    /// The key to read.
    pub key: PlatformKey,
    /// Set for a watch: the call waits for a revision newer than this one.
    pub after: Option<u64>,
    /// The maximum time that a watch waits.
    pub wait: time::Duration,
}

/// The answer of the platform to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The value of the key.
    Value {
        /// Its revision.
        revision: u64,
        /// The document.
        text: String,
    },
    /// No newer revision was published while the watch waited.
    Unchanged,
    /// The key does not exist.
    Missing,
}

/// A call to the platform failed; the transport has logged why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformFailure;

/// The outcome of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformOutcome {
    /// The call.
    pub request: PlatformRequest,
    /// The answer, or the failure of the call.
    pub result: Result<PlatformAnswer, PlatformFailure>,
}

/// The load endpoint of a backend server did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFailure;

/// Reports that the traffic thread has imported a chunk of a hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOverReport {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The position of the chunk.
    pub position: u16,
    /// Set if some records could not be imported: requests sent before this time
    /// may be unknown here.
    pub records_since: Option<Timestamp>,
}

/// An event for the control engine.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The process has started.
    Start,
    /// Periodic event, to be sent about every 100 ms.
    Tick,
    /// Another host sent a control message. The transport has authenticated it.
    Peer(PeerEnvelope),
    /// A call to the platform ended.
    Platform(PlatformOutcome),
    /// A request to the load endpoint of a backend server ended.
    Load {
        /// The server.
        backend: BackendId,
        /// The load report, or the failure of the request.
        result: Result<LoadReport, LoadFailure>,
    },
    /// Observations of backend servers by a traffic thread.
    Observed(Vec<BackendObservation>),
    /// A traffic thread exported a chunk of the state of a shard.
    HandOver(HandOverChunk),
    /// A traffic thread imported a chunk.
    TookOver(TakeOverReport),
    /// Stop the host gracefully.
    Stop,
}
