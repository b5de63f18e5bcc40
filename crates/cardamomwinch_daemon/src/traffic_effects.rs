//! Carries out the effects of a traffic engine.

use std::net;
use std::sync;

use async_channel::Sender;
use cardamomwinch_coordination::prelude::{
    ControlEvent, DecisionRecord, RoutingSnapshot, TrafficEffect, TrafficSink,
};
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::{AuthenticationKeys, RelayEnvelope};
use cardamomwinch_protocol::relay::RELAY_CONTEXT;
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::{DatagramSocket, DecisionLogger};
use serde::Serialize;

use crate::counter_handles::CounterHandles;
use crate::decision_line::DecisionLine;
use crate::messages::{ControlInput, TrafficInput};

/// The size in bytes of a buffer for a datagram with its envelope and authentication code.
const SEND_BUFFER: usize = codec::DATAGRAM_LIMIT + 512;

/// The sockets and channels of one traffic thread.
pub struct TrafficOutlets {
    /// Sends to callers and backend servers.
    pub traffic: sync::Arc<DatagramSocket>,
    /// Sends to other hosts.
    pub relay: sync::Arc<DatagramSocket>,
    /// The queues of all traffic threads, by index.
    pub threads: Vec<Sender<TrafficInput>>,
    /// The queue of the control thread.
    pub control: Sender<ControlInput>,
    /// Signs relayed datagrams.
    pub keys: AuthenticationKeys,
    /// The metrics of the counters.
    pub counters: CounterHandles,
    /// Logs decisions.
    pub logger: DecisionLogger<DecisionLine>,
    /// The name of this host.
    pub host: String,
    buffer: Box<[u8]>,
}

impl TrafficOutlets {
    /// Creates the outlets of one thread.
    pub fn new(
        sockets: TrafficSockets,
        threads: Vec<Sender<TrafficInput>>,
        control: Sender<ControlInput>,
        keys: AuthenticationKeys,
        logger: DecisionLogger<DecisionLine>,
        host: String,
    ) -> Self {
        Self {
            traffic: sockets.traffic,
            relay: sockets.relay,
            threads,
            control,
            keys,
            counters: CounterHandles::default(),
            logger,
            host,
            buffer: vec![0; SEND_BUFFER].into_boxed_slice(),
        }
    }

    fn send<T: Serialize>(&mut self, value: &T, destination: net::SocketAddr) {
        match codec::encode(value, &mut self.buffer) {
            Ok(bytes) => send_or_count(&self.traffic, bytes, destination),
            Err(_) => metrics::counter!("cardamomwinch_oversized_sends_total").increment(1),
        }
    }

    fn relay(&mut self, envelope: &RelayEnvelope<'_>, destination: net::SocketAddr) {
        match self.keys.seal(RELAY_CONTEXT, envelope, &mut self.buffer) {
            Ok(bytes) => send_or_count(&self.relay, bytes, destination),
            Err(_) => metrics::counter!("cardamomwinch_oversized_sends_total").increment(1),
        }
    }

    fn send_to_thread(&mut self, thread: u16, envelope: &RelayEnvelope<'_>) {
        let Ok(bytes) = codec::encode(envelope, &mut self.buffer) else {
            return metrics::counter!("cardamomwinch_oversized_sends_total").increment(1);
        };
        let input = TrafficInput::Envelope(Box::from(&*bytes));
        let sender = self.threads.get(usize::from(thread));
        if sender.is_none_or(|sender| sender.try_send(input).is_err()) {
            metrics::counter!("cardamomwinch_thread_queue_drops_total").increment(1);
        }
    }

    fn send_to_control(&self, event: ControlEvent) {
        // If the queue is full, the event is lost. Observations are repeated, and a hand-over is
        // aborted.
        if self.control.try_send(ControlInput::Event(event)).is_err() {
            metrics::counter!("cardamomwinch_control_queue_drops_total").increment(1);
        }
    }

    fn log(&mut self, now: Timestamp, record: &DecisionRecord, snapshot: &RoutingSnapshot) {
        if !self.logger.is_enabled() {
            return;
        }
        let line = DecisionLine::new(&self.host, record, snapshot);
        self.logger.log(now, &line);
    }
}

/// The sockets of one traffic thread.
#[derive(Debug, Clone)]
pub struct TrafficSockets {
    /// Exchanges datagrams with callers and backend servers, through the fabric.
    pub traffic: sync::Arc<DatagramSocket>,
    /// Exchanges relayed datagrams with other hosts.
    pub relay: sync::Arc<DatagramSocket>,
}

/// Sends a datagram. One that cannot be sent is only counted: to the peer it is like one that
/// the network lost.
fn send_or_count(socket: &DatagramSocket, bytes: &[u8], destination: net::SocketAddr) {
    if socket.send(bytes, destination).is_err() {
        metrics::counter!("cardamomwinch_send_failures_total").increment(1);
    }
}

/// Carries out the effects of one event.
pub struct TrafficOutletSink<'o> {
    /// Where the effects go.
    pub outlets: &'o mut TrafficOutlets,
    /// The time of the event.
    pub now: Timestamp,
    /// The snapshot by which the event is handled; log lines take names from it.
    pub snapshot: &'o RoutingSnapshot,
}

impl TrafficSink for TrafficOutletSink<'_> {
    fn emit(&mut self, effect: TrafficEffect<'_>) {
        match effect {
            TrafficEffect::ToCaller(reply) => self.outlets.send(&reply, reply.flow.caller),
            TrafficEffect::ToBackend { address, datagram } => {
                self.outlets.send(&datagram, address);
            }
            TrafficEffect::Relay {
                address, envelope, ..
            } => self.outlets.relay(&envelope, address),
            TrafficEffect::ToThread { thread, envelope } => {
                self.outlets.send_to_thread(thread, &envelope);
            }
            TrafficEffect::Observe(observations) => {
                self.outlets
                    .send_to_control(ControlEvent::Observed(observations));
            }
            TrafficEffect::HandOver { chunk } => {
                self.outlets.send_to_control(ControlEvent::HandOver(chunk));
            }
            TrafficEffect::TookOver(report) => {
                self.outlets.send_to_control(ControlEvent::TookOver(report));
            }
            TrafficEffect::Decide(record) => self.outlets.log(self.now, &record, self.snapshot),
            TrafficEffect::Count(counter) => self.outlets.counters.count(counter),
        }
    }
}
