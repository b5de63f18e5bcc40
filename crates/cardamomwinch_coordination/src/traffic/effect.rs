//! The effects of a traffic engine.

use std::net;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::prelude::{BackendDatagram, CallerReply, RelayEnvelope};
use cardamomwinch_state::prelude::HostId;

use crate::control::event::TakeOverReport;
use crate::control::health::observation::BackendObservation;
use crate::counter::Counter;
use crate::decision::DecisionRecord;

/// Something that a traffic thread has to do. Effects may borrow from the event or from
/// the engine, so a sink processes them before it returns.
#[derive(Debug, Clone)]
pub enum TrafficEffect<'a> {
    /// Send a reply to the caller of its flow.
    ToCaller(CallerReply<'a>),
    /// Send a datagram to a backend server.
    ToBackend {
        /// The address of the server.
        address: net::SocketAddr,
        /// The datagram.
        datagram: BackendDatagram<'a>,
    },
    /// Relay a datagram to another host.
    Relay {
        /// The host.
        host: HostId,
        /// Its address for relayed datagrams.
        address: net::SocketAddr,
        /// The datagram.
        envelope: RelayEnvelope<'a>,
    },
    /// Pass a datagram to another traffic thread of this host.
    ToThread {
        /// The position of the thread.
        thread: u16,
        /// The datagram.
        envelope: RelayEnvelope<'a>,
    },
    /// Report to control what backend servers did.
    Observe(Vec<BackendObservation>),
    /// Pass a chunk of a hand-over to control.
    HandOver {
        /// The chunk.
        chunk: HandOverChunk,
    },
    /// Report to control that a chunk was imported.
    TookOver(TakeOverReport),
    /// Log a decision.
    Decide(DecisionRecord),
    /// Increment a counter.
    Count(Counter),
}

/// Receives the effects of a traffic engine.
pub trait TrafficSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: TrafficEffect<'_>);
}

impl<F: FnMut(TrafficEffect<'_>)> TrafficSink for F {
    fn emit(&mut self, effect: TrafficEffect<'_>) {
        self(effect);
    }
}
