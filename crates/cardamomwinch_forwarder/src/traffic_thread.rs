//! The thread that forwards packets.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_channel::Sender;
use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::engine::{self, ForwardingEngine, ForwardingSink};
use cardamomwinch_coordination::forwarding::held_packets::HeldPackets;
use cardamomwinch_coordination::forwarding::packet::FlowToken;
use cardamomwinch_coordination::forwarding::record::ForwardingRecord;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_platform::packet;
use cardamomwinch_state::prelude::{BackendId, FlowKey, Timestamp};
use cardamomwinch_transport::prelude::{Clock, DecisionLogger, HostClock, WaitingSocket};

use crate::control_thread::ControlQuestion;
use crate::decision_lines::DecisionLine;
use crate::outcome_counters::OutcomeCounters;
use crate::view_cell::ViewCell;

/// How long the thread waits for a packet before it looks whether a tick is due.
const CALM_PATIENCE: time::Duration = time::Duration::from_millis(100);
/// The same while packets wait for the next view.
const HELD_PATIENCE: time::Duration = time::Duration::from_millis(2);
/// Room for the prefix, the longest packet, and one byte by which a longer one
/// is noticed.
const BUFFER_LENGTH: usize =
    packet::SERVER_PREFIX_LENGTH + packet::HEAD_LENGTH + packet::MAX_DATA_LENGTH + 1;

/// When a packet came last, for the thread that decides about the stop.
#[derive(Debug, Default, Clone)]
pub struct LastPacket {
    at: sync::Arc<atomic::AtomicU64>,
}

impl LastPacket {
    fn set(&self, now: Timestamp) {
        self.at.store(now.get(), atomic::Ordering::Relaxed);
    }

    /// When a packet came last; zero before the first.
    pub fn get(&self) -> Timestamp {
        Timestamp::new(self.at.load(atomic::Ordering::Relaxed))
    }
}

/// Everything that the thread starts with.
pub struct TrafficThread {
    /// The decisions.
    pub engine: ForwardingEngine,
    /// Takes what was seen of servers.
    pub control: Sender<ControlQuestion>,
    /// Where packets come from and go to.
    pub socket: WaitingSocket,
    /// The port at which callers take packets.
    pub caller_port: u16,
    /// Where views come from.
    pub views: ViewCell,
    /// Takes lines about decisions.
    pub logger: DecisionLogger<DecisionLine>,
    /// Tells the time.
    pub clock: HostClock,
    /// Where the thread tells when a packet came last.
    pub last_packet: LastPacket,
}

/// What is to become of the packet at hand.
#[derive(Debug, Clone, Copy)]
enum PacketFate {
    Drop,
    Hold,
    Send {
        address: net::SocketAddr,
        server: BackendId,
        token: FlowToken,
    },
    Reset,
}

struct PacketSink<'a> {
    fate: PacketFate,
    ended: Vec<(FlowKey, u32)>,
    now: Timestamp,
    counters: &'a OutcomeCounters,
    logger: &'a mut DecisionLogger<DecisionLine>,
}

impl ForwardingSink for PacketSink<'_> {
    fn send(&mut self, server: &ServerRecord, token: FlowToken) {
        self.fate = PacketFate::Send {
            address: server.address,
            server: server.id,
            token,
        };
    }

    fn reset(&mut self) {
        self.fate = PacketFate::Reset;
    }

    fn reset_flow(&mut self, flow: &FlowKey, acknowledged: u32) {
        self.ended.push((*flow, acknowledged));
    }

    fn hold(&mut self) {
        self.fate = PacketFate::Hold;
    }

    fn measure_opening(&mut self, time: time::Duration) {
        self.counters.record_opening(time);
    }

    fn measure_response(&mut self, time: time::Duration) {
        self.counters.record_response(time);
    }

    fn record(&mut self, record: &ForwardingRecord<'_>) {
        self.counters.count(record.outcome);
        if record.outcome.is_routine() || !self.logger.is_enabled() {
            return;
        }
        let line = DecisionLine::from(record);
        if record.outcome.is_failure() {
            self.logger.log(self.now, &line);
        } else {
            self.logger.log_routine(self.now, &line);
        }
    }
}

struct TrafficDriver {
    thread: TrafficThread,
    held: HeldPackets,
    /// The view that packets which wait were decided against.
    seen: sync::Arc<ForwardingView>,
    tick_at: Timestamp,
    counters: OutcomeCounters,
    malformed: metrics::Counter,
    send_failures: metrics::Counter,
    watched: metrics::Gauge,
    unwatched: metrics::Counter,
    isolations: metrics::Counter,
}

/// Runs the thread until the process ends.
pub fn run(thread: TrafficThread) {
    let mut driver = TrafficDriver::new(thread);
    let mut buffer = [0; BUFFER_LENGTH];
    loop {
        driver.turn(&mut buffer);
    }
}

impl TrafficDriver {
    fn new(thread: TrafficThread) -> Self {
        metrics::describe_counter!(
            "cardamomwinch_forwarding_malformed_total",
            "Datagrams that are no packet."
        );
        metrics::describe_counter!(
            "cardamomwinch_forwarding_send_failures_total",
            "Packets that the system did not take for sending."
        );
        metrics::describe_gauge!(
            "cardamomwinch_forwarding_flows",
            "Flows that this host has seen within the last seconds."
        );
        metrics::describe_counter!(
            "cardamomwinch_forwarding_unwatched_total",
            "Flows that found no room to be watched."
        );
        metrics::describe_counter!(
            "cardamomwinch_forwarding_isolations_total",
            "How often no server answered the host, so that it left rotation."
        );
        Self {
            thread,
            held: HeldPackets::default(),
            seen: sync::Arc::default(),
            tick_at: Timestamp::ZERO,
            counters: OutcomeCounters::default(),
            malformed: metrics::counter!("cardamomwinch_forwarding_malformed_total"),
            send_failures: metrics::counter!("cardamomwinch_forwarding_send_failures_total"),
            watched: metrics::gauge!("cardamomwinch_forwarding_flows"),
            unwatched: metrics::counter!("cardamomwinch_forwarding_unwatched_total"),
            isolations: metrics::counter!("cardamomwinch_forwarding_isolations_total"),
        }
    }

    /// Waits for a packet and decides about it, then does what has come due.
    fn turn(&mut self, buffer: &mut [u8; BUFFER_LENGTH]) {
        let patience = if self.held.is_empty() {
            CALM_PATIENCE
        } else {
            HELD_PATIENCE
        };
        let room = &mut buffer[packet::SERVER_PREFIX_LENGTH..];
        let received = self.thread.socket.receive(room, patience);
        let now = self.thread.clock.now();
        let view = self.thread.views.load();
        match received {
            Ok(Some(packet)) => {
                self.thread.last_packet.set(now);
                self.take(now, now, &view, buffer, packet.length);
            }
            Ok(None) => {}
            Err(error) => log::error!("no packet can be received: {error}"),
        }
        if !self.held.is_empty() && !view.has_same_data(&self.seen) {
            self.take_held(now, &view, buffer);
        }
        self.seen = view;
        self.report();
        if now >= self.tick_at {
            self.tick(now);
        }
    }

    /// Hands on what was seen of servers. Control that is too busy to take it loses it,
    /// and the next packets that get no answer show the same.
    fn report(&mut self) {
        let reports = self.thread.engine.take_reports();
        if reports.is_empty() {
            return;
        }
        if let Err(error) = self
            .thread
            .control
            .try_send(ControlQuestion::Seen { reports })
        {
            log::debug!("reports about servers are lost: {error}");
        }
    }

    /// Decides again about packets that wait for more to be known.
    fn take_held(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        buffer: &mut [u8; BUFFER_LENGTH],
    ) {
        for (since, bytes) in self.held.take(now) {
            let end = packet::SERVER_PREFIX_LENGTH + bytes.len();
            buffer[packet::SERVER_PREFIX_LENGTH..end].copy_from_slice(&bytes);
            self.take(now, since, view, buffer, bytes.len());
        }
    }

    /// Decides about the packet in `buffer`, which came at `since`, and carries
    /// that out.
    fn take(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        view: &ForwardingView,
        buffer: &mut [u8; BUFFER_LENGTH],
        length: usize,
    ) {
        let end = packet::SERVER_PREFIX_LENGTH + length;
        let bytes = &buffer[packet::SERVER_PREFIX_LENGTH..end];
        let Ok(decoded) = packet::decode(bytes) else {
            return self.malformed.increment(1);
        };
        let mut sink = PacketSink {
            fate: PacketFate::Drop,
            ended: Vec::new(),
            now,
            counters: &self.counters,
            logger: &mut self.thread.logger,
        };
        self.thread.engine.handle(now, view, &decoded, &mut sink);
        match sink.fate {
            PacketFate::Drop => {}
            PacketFate::Hold => self.held.hold(since, bytes),
            PacketFate::Send {
                address,
                server,
                token,
            } => {
                let datagram = &mut buffer[..end];
                packet::prepare_for_server(datagram, server, token);
                self.send(&buffer[..end], address);
            }
            PacketFate::Reset => self.reset(&decoded.flow, decoded.acknowledged),
        }
    }

    fn reset(&self, flow: &FlowKey, acknowledged: u32) {
        let caller = net::SocketAddr::new(flow.caller.ip(), self.thread.caller_port);
        self.send(&packet::reset(flow, acknowledged), caller);
    }

    /// A packet that is not sent is a lost packet: both ends send again.
    fn send(&self, bytes: &[u8], address: net::SocketAddr) {
        if let Err(error) = self.thread.socket.send(bytes, address) {
            self.send_failures.increment(1);
            log::debug!("{error}");
        }
    }

    /// Lets the fabric use other hosts while no server answers this one.
    fn note_reach(&self) {
        let reaches = self.thread.engine.reaches_servers();
        if !self.thread.views.set_unreachable(!reaches) {
            return;
        }
        if reaches {
            log::info!("servers may answer again: the host is ready");
        } else {
            self.isolations.increment(1);
            log::warn!("no server answers: the host is not ready");
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.tick_at = now.after(engine::TICK_PERIOD);
        let mut sink = PacketSink {
            fate: PacketFate::Drop,
            ended: Vec::new(),
            now,
            counters: &self.counters,
            logger: &mut self.thread.logger,
        };
        self.thread.engine.tick(now, &self.seen, &mut sink);
        for (flow, acknowledged) in sink.ended {
            self.reset(&flow, acknowledged);
        }
        self.note_reach();
        self.thread.logger.report_left_out(now);
        self.watched.set(self.thread.engine.watch().len() as f64);
        self.unwatched.absolute(self.thread.engine.unwatched());
    }
}
