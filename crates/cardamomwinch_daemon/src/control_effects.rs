//! Carries out the effects of the control engine.

use std::net;
use std::rc;
use std::time;

use async_channel::Sender;
use async_executor::LocalExecutor;
use cardamomwinch_coordination::control::event::{LoadFailure, PlatformRequest};
use cardamomwinch_coordination::prelude::{
    ControlEffect, ControlEvent, ControlSink, DecisionRecord, ThreadPlace,
};
use cardamomwinch_protocol::prelude::PeerEnvelope;
use cardamomwinch_state::prelude::{BackendId, Timestamp};
use cardamomwinch_transport::prelude::{DecisionLogger, LoadClient};

use crate::counter_handles::CounterHandles;
use crate::decision_line::DecisionLine;
use crate::messages::{ControlInput, HandOverInput, TrafficInput};
use crate::peer_delivery::PeerSender;
use crate::platform_calls::PlatformCalls;
use crate::snapshot_cell::SnapshotCell;
use crate::stopping::DrainedFlag;

/// The timeout of a call to the load endpoint of a backend server.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The clients, queues and loggers through which effects of the control engine are carried out.
pub struct ControlOutlets {
    /// Runs the tasks that make calls.
    pub executor: rc::Rc<LocalExecutor<'static>>,
    /// The queue of the control thread, which receives the outcomes of calls.
    pub inputs: Sender<ControlInput>,
    /// Sends to other hosts.
    pub peers: PeerSender,
    /// Calls the platform.
    pub platform: PlatformCalls,
    /// Publishes snapshots to the traffic threads.
    pub snapshots: SnapshotCell,
    /// The queues of the traffic threads, by index.
    pub threads: Vec<Sender<TrafficInput>>,
    /// Set when the host has been stopped and is no longer home of any shard.
    pub drained: DrainedFlag,
    /// The metrics of the counters.
    pub counters: CounterHandles,
    /// Logs decisions.
    pub logger: DecisionLogger<DecisionLine>,
    /// The name of this host.
    pub host: String,
}

impl ControlOutlets {
    fn send_peer(&self, address: net::SocketAddr, envelope: PeerEnvelope) {
        if let Some(large) = self.peers.send_small(address, envelope) {
            let peers = self.peers.clone();
            self.executor.spawn(peers.deliver(address, large)).detach();
        }
    }

    fn call_platform(&self, request: PlatformRequest) {
        let call = self.platform.clone().make(request);
        let inputs = self.inputs.clone();
        let task = async move {
            let event = ControlEvent::Platform(call.await);
            drop(inputs.send(ControlInput::Event(event)).await);
        };
        self.executor.spawn(task).detach();
    }

    fn probe_load(&self, backend: BackendId, address: net::SocketAddr) {
        let inputs = self.inputs.clone();
        let task = async move {
            let mut client = LoadClient::new(address, LOAD_TIMEOUT);
            let result = client.read().await.map_err(|_| LoadFailure);
            let event = ControlEvent::Load { backend, result };
            drop(inputs.send(ControlInput::Event(event)).await);
        };
        self.executor.spawn(task).detach();
    }

    /// Sends a step of a hand-over to the traffic thread of the shard. If the queue of the
    /// thread is full, the step is lost and the hand-over is aborted.
    fn send_to_thread(&self, input: HandOverInput) {
        let place = ThreadPlace {
            index: 0,
            count: self.threads.len() as u16,
        };
        let owner = usize::from(place.owner(input.shard()));
        let sender = self.threads.get(owner);
        let input = TrafficInput::HandOver(input);
        if sender.is_none_or(|sender| sender.try_send(input).is_err()) {
            metrics::counter!("cardamomwinch_thread_queue_drops_total").increment(1);
        }
    }

    fn log(&mut self, now: Timestamp, record: &DecisionRecord) {
        if !self.logger.is_enabled() {
            return;
        }
        let snapshot = self.snapshots.load();
        let line = DecisionLine::new(&self.host, record, &snapshot);
        self.logger.log(now, &line);
    }
}

/// Carries out the effects of one event.
pub struct ControlOutletSink<'o> {
    /// Where the effects go.
    pub outlets: &'o mut ControlOutlets,
    /// The time of the event.
    pub now: Timestamp,
}

impl ControlSink for ControlOutletSink<'_> {
    fn emit(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::ToPeer {
                address, envelope, ..
            } => self.outlets.send_peer(address, envelope),
            ControlEffect::Platform(request) => self.outlets.call_platform(request),
            ControlEffect::ProbeLoad { backend, address } => {
                self.outlets.probe_load(backend, address);
            }
            ControlEffect::Publish(snapshot) => self.outlets.snapshots.publish(snapshot),
            ControlEffect::ReleaseShard {
                hand_over,
                frozen_until,
            } => self.outlets.send_to_thread(HandOverInput::Release {
                hand_over,
                frozen_until,
            }),
            ControlEffect::ThawShard { shard } => {
                self.outlets.send_to_thread(HandOverInput::Thaw(shard));
            }
            ControlEffect::ForgetShard { shard } => {
                self.outlets.send_to_thread(HandOverInput::Forget(shard));
            }
            ControlEffect::TakeOver { chunk } => {
                let chunk = Box::new(chunk);
                self.outlets.send_to_thread(HandOverInput::TakeOver(chunk));
            }
            ControlEffect::Drained => self.outlets.drained.set(),
            ControlEffect::Decide(record) => self.outlets.log(self.now, &record),
            ControlEffect::Refused(document) => {
                let (key, revision) = (document.key, document.revision);
                log::warn!("refused {key} of revision {revision}: {}", document.reason);
            }
            ControlEffect::Count(counter) => self.outlets.counters.count(counter),
        }
    }
}
