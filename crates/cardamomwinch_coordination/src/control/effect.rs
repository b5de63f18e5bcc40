//! What a control engine wants done.

use std::net;
use std::sync;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::HandOverId;
use cardamomwinch_protocol::prelude::PeerEnvelope;
use cardamomwinch_state::prelude::{BackendId, HostId, ShardId, Timestamp};

use crate::control::adoption::refusal::RefusedDocument;
use crate::control::event::PlatformRequest;
use crate::counter::Counter;
use crate::decision::DecisionRecord;
use crate::snapshot::RoutingSnapshot;

/// Something that the control thread is to do.
#[derive(Debug, Clone)]
pub enum ControlEffect {
    /// Send a control message to another host.
    ToPeer {
        /// The host.
        host: HostId,
        /// Where it takes control messages.
        address: net::SocketAddr,
        /// The message.
        envelope: PeerEnvelope,
    },
    /// Call the platform and report the outcome.
    Platform(PlatformRequest),
    /// Ask the load endpoint of a backend server and report the outcome.
    AskLoad {
        /// The server.
        backend: BackendId,
        /// Where the endpoint is.
        address: net::SocketAddr,
    },
    /// Give traffic threads a new snapshot.
    Publish(sync::Arc<RoutingSnapshot>),
    /// Tell the traffic thread of the shard to freeze it and to give out what
    /// it knows, as [`crate::traffic::event::TrafficEvent::ReleaseShard`].
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// When the shard thaws.
        frozen_until: Timestamp,
    },
    /// Tell the traffic thread of the shard that the hand-over is broken off.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// Tell the traffic thread of the shard that it is handed over.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// Tell the traffic thread of the shard to take the chunk in.
    TakeOver {
        /// What to take in.
        chunk: HandOverChunk,
    },
    /// The host was told to stop and holds nothing any more: the process may exit.
    Drained,
    /// Log a decision.
    Decide(DecisionRecord),
    /// Log that a published document is refused, and why. What was in force
    /// under its key before stays in force.
    Refused(RefusedDocument),
    /// Count something.
    Count(Counter),
}

/// Takes the effects of a control engine.
pub trait ControlSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: ControlEffect);
}

impl<F: FnMut(ControlEffect)> ControlSink for F {
    fn emit(&mut self, effect: ControlEffect) {
        self(effect);
    }
}
