//! The effects of a control engine.

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

/// An action for the control thread to carry out.
#[derive(Debug, Clone)]
pub enum ControlEffect {
    /// Send a control message to another host.
    ToPeer {
        /// The host.
        host: HostId,
        /// Its address for control messages.
        address: net::SocketAddr,
        /// The message.
        envelope: PeerEnvelope,
    },
    /// Call the platform and report the outcome.
    Platform(PlatformRequest),
    /// Ask the load endpoint of a backend server and report the outcome.
    ProbeLoad {
        /// The server.
        backend: BackendId,
        /// The address of the endpoint.
        address: net::SocketAddr,
    },
    /// Publish a new snapshot to the traffic threads.
    Publish(sync::Arc<RoutingSnapshot>),
    /// Make the traffic thread of the shard freeze and export it, by
    /// [`crate::traffic::event::TrafficEvent::ReleaseShard`].
    ReleaseShard {
        /// The hand-over.
        hand_over: HandOverId,
        /// The shard stays frozen until this time.
        frozen_until: Timestamp,
    },
    /// Notify the traffic thread of the shard that the hand-over was aborted.
    ThawShard {
        /// The shard.
        shard: ShardId,
    },
    /// Notify the traffic thread of the shard that the hand-over is complete.
    ForgetShard {
        /// The shard.
        shard: ShardId,
    },
    /// Make the traffic thread of the shard import the chunk.
    TakeOver {
        /// The chunk to import.
        chunk: HandOverChunk,
    },
    /// The host was stopped and is no longer home of any shard: the process may
    /// exit.
    Drained,
    /// Log a decision.
    Decide(DecisionRecord),
    /// Log that a published document was refused, and why. The earlier document
    /// of its key stays in force.
    Refused(RefusedDocument),
    /// Increment a counter.
    Count(Counter),
}

/// Receives the effects of a control engine.
pub trait ControlSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: ControlEffect);
}

impl<F: FnMut(ControlEffect)> ControlSink for F {
    fn emit(&mut self, effect: ControlEffect) {
        self(effect);
    }
}
