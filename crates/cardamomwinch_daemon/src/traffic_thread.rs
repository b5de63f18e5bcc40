//! A traffic thread, which passes the datagrams of its sockets, the messages of other threads and
//! ticks to one engine.

use std::cell;
use std::rc;
use std::time;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use cardamomwinch_coordination::prelude::{TrafficEngine, TrafficEvent};
use cardamomwinch_coordination::traffic::requests::RequestState;
use cardamomwinch_protocol::administration::FlowReport;
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::{FabricDatagram, RelayEnvelope};
use cardamomwinch_protocol::relay::RELAY_CONTEXT;
use cardamomwinch_state::prelude::{BackendId, FlowHasher, FlowKey, Timestamp};
use cardamomwinch_transport::prelude::{Clock, DatagramSocket, HostClock, TickPlan, TimerService};

use crate::messages::{HandOverInput, TrafficInput, TrafficLoad, TrafficQuery};
use crate::snapshot_cell::SnapshotCell;
use crate::traffic_effects::{TrafficOutletSink, TrafficOutlets, TrafficSockets};

/// The period of the tick, which sweeps tables and detects a pause of the process.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(50);
/// The most datagrams handled in a row after the first, before other tasks of the thread run.
const BURST_LIMIT: usize = 64;
/// One byte more than the longest datagram with its envelope, so that a longer one is detected.
const RECEIVE_BUFFER: usize = codec::DATAGRAM_LIMIT + 513;

/// The parts of a traffic thread.
pub struct TrafficThread {
    /// The engine that handles the events.
    pub engine: TrafficEngine,
    /// Where the effects go.
    pub outlets: TrafficOutlets,
    /// The published snapshot.
    pub snapshots: SnapshotCell,
    /// Messages from other threads.
    pub inputs: Receiver<TrafficInput>,
    /// The clock and the ticks.
    pub timers: TimerService<HostClock>,
}

struct TrafficDriver {
    engine: TrafficEngine,
    outlets: TrafficOutlets,
    snapshots: SnapshotCell,
    clock: HostClock,
    last_fabric: Timestamp,
}

impl TrafficDriver {
    fn handle(&mut self, event: TrafficEvent<'_>) {
        let snapshot = self.snapshots.borrow();
        let now = self.clock.now();
        let mut sink = TrafficOutletSink {
            outlets: &mut self.outlets,
            now,
            snapshot: &snapshot,
        };
        self.engine.handle(now, &snapshot, event, &mut sink);
    }

    fn tick(&mut self) {
        self.handle(TrafficEvent::Tick);
        self.outlets.logger.report_left_out(self.clock.now());
    }

    fn handle_fabric(&mut self, bytes: &[u8]) {
        self.last_fabric = self.clock.now();
        match codec::decode::<FabricDatagram<'_>>(bytes) {
            Ok(datagram) => self.handle(TrafficEvent::Fabric(datagram)),
            Err(_) => metrics::counter!("cardamomwinch_malformed_datagrams_total").increment(1),
        }
    }

    fn handle_relayed(&mut self, bytes: &[u8]) {
        let opened = self.outlets.keys.open(RELAY_CONTEXT, bytes);
        match opened {
            Ok(envelope) => self.handle(TrafficEvent::Relay(envelope)),
            Err(_) => metrics::counter!("cardamomwinch_forged_relays_total").increment(1),
        }
    }

    fn handle_input(&mut self, input: TrafficInput) {
        match input {
            TrafficInput::Envelope(bytes) => {
                if let Ok(envelope) = codec::decode::<RelayEnvelope<'_>>(&bytes) {
                    self.handle(TrafficEvent::Relay(envelope));
                }
            }
            TrafficInput::HandOver(input) => self.hand_over(&input),
            TrafficInput::Query(query) => self.answer(query),
        }
    }

    fn hand_over(&mut self, input: &HandOverInput) {
        self.handle(match input {
            HandOverInput::Release {
                hand_over,
                frozen_until,
            } => TrafficEvent::ReleaseShard {
                hand_over: *hand_over,
                frozen_until: *frozen_until,
            },
            HandOverInput::Thaw(shard) => TrafficEvent::ThawShard { shard: *shard },
            HandOverInput::Forget(shard) => TrafficEvent::ForgetShard { shard: *shard },
            HandOverInput::TakeOver(chunk) => TrafficEvent::TakeOver { chunk },
        });
    }

    /// Answers go into channels with a capacity of one, so sending does not block. The receiver
    /// may no longer exist.
    fn answer(&self, query: TrafficQuery) {
        match query {
            TrafficQuery::Load(answer) => send_answer(&answer, self.load()),
            TrafficQuery::Flows { limit, answer } => send_answer(&answer, self.flows(limit)),
            TrafficQuery::Pin { flow, answer } => send_answer(&answer, self.pin(&flow)),
        }
    }

    fn load(&self) -> TrafficLoad {
        let requests = self.engine.remembered_requests();
        let pending = requests.iter().filter(|(_, record)| {
            matches!(
                record.state,
                RequestState::Queued { .. } | RequestState::Running(_)
            )
        });
        let ledgers = self.engine.ledgers();
        TrafficLoad {
            flows: self.engine.pinned_flows().len() as u64,
            last_fabric: self.last_fabric,
            pending_requests: pending.count() as u64,
            busy_slots: ledgers
                .iter()
                .map(|(id, held)| (*id, held.busy()))
                .collect(),
            connections: ledgers
                .iter()
                .map(|(id, held)| (*id, held.connections))
                .collect(),
        }
    }

    fn flows(&self, limit: usize) -> Vec<FlowReport> {
        let snapshot = self.snapshots.borrow();
        let now = self.clock.now();
        let pins = self.engine.pinned_flows().iter().take(limit);
        pins.map(|(flow, pin)| {
            let entry = snapshot.backend(pin.claim.backend);
            FlowReport {
                flow: flow.to_string(),
                backend: entry
                    .map_or_else(|| pin.claim.backend.to_string(), |entry| entry.name.clone()),
                since_ms: now.since(pin.since).as_millis() as u64,
            }
        })
        .collect()
    }

    fn pin(&self, flow: &FlowKey) -> Option<BackendId> {
        let seed = self.snapshots.borrow().configuration.limits.flow_hash_seed;
        let hash = FlowHasher::new(seed).hash(flow);
        let pin = self.engine.pinned_flows().get(hash, flow)?;
        Some(pin.claim.backend)
    }
}

fn send_answer<T>(answer: &Sender<T>, value: T) {
    drop(answer.try_send(value));
}

/// Runs a traffic thread until its channel is closed.
pub async fn run(thread: TrafficThread, executor: &LocalExecutor<'static>) {
    let sockets = TrafficSockets {
        traffic: thread.outlets.traffic.clone(),
        relay: thread.outlets.relay.clone(),
    };
    let driver = rc::Rc::new(cell::RefCell::new(TrafficDriver {
        engine: thread.engine,
        outlets: thread.outlets,
        snapshots: thread.snapshots,
        clock: *thread.timers.clock(),
        last_fabric: Timestamp::ZERO,
    }));
    let shared = rc::Rc::clone(&driver);
    let traffic = sockets.traffic;
    executor
        .spawn(async move {
            receive(&traffic, |bytes| shared.borrow_mut().handle_fabric(bytes)).await;
        })
        .detach();
    let shared = rc::Rc::clone(&driver);
    let relay = sockets.relay;
    executor
        .spawn(async move {
            receive(&relay, |bytes| shared.borrow_mut().handle_relayed(bytes)).await;
        })
        .detach();
    let shared = rc::Rc::clone(&driver);
    let timers = thread.timers;
    executor
        .spawn(async move { tick(&timers, &shared).await })
        .detach();
    while let Ok(input) = thread.inputs.recv().await {
        driver.borrow_mut().handle_input(input);
    }
}

async fn tick(timers: &TimerService<HostClock>, driver: &cell::RefCell<TrafficDriver>) {
    let plan = TickPlan {
        period: TICK_PERIOD,
        jitter: time::Duration::ZERO,
        seed: 0,
    };
    let mut subscription = timers.subscribe_ticks((), plan);
    while subscription.next().await.is_some() {
        driver.borrow_mut().tick();
    }
}

async fn receive(socket: &DatagramSocket, mut handle: impl FnMut(&[u8])) {
    let mut buffer = vec![0; RECEIVE_BUFFER];
    loop {
        let Ok(first) = socket.receive(&mut buffer).await else {
            metrics::counter!("cardamomwinch_receive_failures_total").increment(1);
            continue;
        };
        handle(&buffer[..first.length]);
        for _ in 0..BURST_LIMIT {
            match socket.try_receive(&mut buffer) {
                Ok(Some(next)) => handle(&buffer[..next.length]),
                Ok(None) | Err(_) => break,
            }
        }
        futures_lite::future::yield_now().await;
    }
}
