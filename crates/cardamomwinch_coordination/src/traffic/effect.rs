//! What a traffic engine wants done.

use std::net;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::prelude::{BackendDatagram, CallerReply, RelayEnvelope};
use cardamomwinch_state::prelude::HostId;

use crate::control::event::TakeOverReport;
use crate::control::health::observation::BackendObservation;
use crate::counter::Counter;
use crate::decision::DecisionRecord;

/// Something that a traffic thread is to do. Effects may borrow from the event
/// or from the engine, so a sink uses them up before it returns.
#[derive(Debug, Clone)]
pub enum TrafficEffect<'a> {
    /// Send a reply to the caller of its flow.
    ToCaller(CallerReply<'a>),
    /// Send a datagram to a backend server.
    ToBackend {
        /// Where the server takes datagrams.
        address: net::SocketAddr,
        /// The datagram.
        datagram: BackendDatagram<'a>,
    },
    /// Relay a datagram to another host.
    Relay {
        /// The host.
        host: HostId,
        /// Where it takes relayed datagrams.
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
    /// Tell control what backend servers did.
    Observe(Vec<BackendObservation>),
    /// Give a part of a hand-over to control.
    HandOver {
        /// The part.
        chunk: HandOverChunk,
    },
    /// Tell control that a chunk was taken in.
    TookOver(TakeOverReport),
    /// Log a decision.
    Decide(DecisionRecord),
    /// Count something.
    Count(Counter),
}

/// Takes the effects of a traffic engine.
pub trait TrafficSink {
    /// Carries out `effect`.
    fn emit(&mut self, effect: TrafficEffect<'_>);
}

impl<F: FnMut(TrafficEffect<'_>)> TrafficSink for F {
    fn emit(&mut self, effect: TrafficEffect<'_>) {
        self(effect);
    }
}
