//! The control thread, which passes all control events to one engine.

use std::rc;
use std::sync;
use std::time;

use async_channel::{Receiver, Sender};
use cardamomwinch_configuration::settings::HostSettings;
use cardamomwinch_coordination::prelude::{ControlEngine, ControlEvent};
use cardamomwinch_protocol::codec;
use cardamomwinch_transport::prelude::{Clock, DatagramSocket, HostClock, TickPlan, TimerService};

use crate::administration::reports;
use crate::control_effects::{ControlOutletSink, ControlOutlets};
use crate::messages::{ControlInput, ControlQuery};
use crate::peer_delivery::PeerSender;

/// The period of the control tick.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Ticks are delayed by a random time up to this, so that hosts do not act in step.
const TICK_JITTER: time::Duration = time::Duration::from_millis(20);

/// Drives the control engine.
pub struct ControlDriver {
    engine: ControlEngine,
    outlets: ControlOutlets,
    settings: rc::Rc<HostSettings>,
    clock: HostClock,
}

impl ControlDriver {
    /// Creates the driver.
    pub const fn new(
        engine: ControlEngine,
        outlets: ControlOutlets,
        settings: rc::Rc<HostSettings>,
        clock: HostClock,
    ) -> Self {
        Self {
            engine,
            outlets,
            settings,
            clock,
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        let mut sink = ControlOutletSink {
            outlets: &mut self.outlets,
            now,
        };
        self.engine.handle(now, event, &mut sink);
        self.outlets.logger.report_left_out(now);
    }

    fn answer(&self, query: ControlQuery) {
        let now = self.clock.now();
        match query {
            ControlQuery::Status(answer) => {
                let report = reports::status(&self.engine, &self.settings, now);
                drop(answer.try_send(report));
            }
            ControlQuery::Members(answer) => {
                let report = reports::members(&self.engine, &self.settings, now);
                drop(answer.try_send(report));
            }
        }
    }

    /// Handles inputs until their channel is closed.
    pub async fn run(mut self, inputs: Receiver<ControlInput>) {
        self.handle(ControlEvent::Start);
        while let Ok(input) = inputs.recv().await {
            match input {
                ControlInput::Event(event) => self.handle(event),
                ControlInput::Query(query) => self.answer(query),
                ControlInput::Stop => self.handle(ControlEvent::Stop),
            }
        }
    }
}

/// Sends ticks to the control engine until its channel is closed.
pub async fn tick(timers: TimerService<HostClock>, seed: u64, inputs: Sender<ControlInput>) {
    let plan = TickPlan {
        period: TICK_PERIOD,
        jitter: TICK_JITTER,
        seed,
    };
    let mut subscription = timers.subscribe_ticks((), plan);
    while subscription.next().await.is_some() {
        let input = ControlInput::Event(ControlEvent::Tick);
        if inputs.send(input).await.is_err() {
            return;
        }
    }
}

/// Receives control messages from other hosts and passes them to the engine.
pub async fn receive_peers(
    socket: sync::Arc<DatagramSocket>,
    peers: PeerSender,
    inputs: Sender<ControlInput>,
) {
    let mut buffer = vec![0; codec::DATAGRAM_LIMIT];
    loop {
        let Ok(received) = socket.receive(&mut buffer).await else {
            metrics::counter!("cardamomwinch_receive_failures_total").increment(1);
            continue;
        };
        let Some(envelope) = peers.open(&buffer[..received.length]) else {
            continue;
        };
        // A full queue means that control lags. The message is dropped: a later one replaces
        // it, and a blocking send would only increase the lag.
        let input = ControlInput::Event(ControlEvent::Peer(envelope));
        if inputs.try_send(input).is_err() {
            metrics::counter!("cardamomwinch_control_queue_drops_total").increment(1);
        }
    }
}
