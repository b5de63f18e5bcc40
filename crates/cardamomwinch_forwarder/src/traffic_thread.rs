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
use cardamomwinch_state::prelude::{BackendId, DomainId, FlowKey, Timestamp};
use cardamomwinch_transport::prelude::{BlockingSocket, Clock, DecisionLogger, HostClock};

use crate::admission_metrics::AdmissionMetrics;
use crate::control_thread::ControlMessage;
use crate::decision_lines::DecisionLine;
use crate::outcome_counters::OutcomeCounters;
use crate::outlier_lines::{OutlierGauges, OutlierLine};
use crate::spill_metrics::SpillMetrics;
use crate::view_cell::ViewCell;

/// How long the thread waits for a packet before it checks whether a tick is due.
const IDLE_WAIT: time::Duration = time::Duration::from_millis(100);
/// The same wait while packets are held for the next view.
const HELD_WAIT: time::Duration = time::Duration::from_millis(2);
/// Space for the prefix and the longest packet, in bytes. One extra byte shows that a
/// packet is too long.
const BUFFER_LENGTH: usize =
    packet::SERVER_PREFIX_LENGTH + packet::HEAD_LENGTH + packet::MAX_DATA_LENGTH + 1;

/// When the last packet was received; shared with the thread that stops the process.
#[derive(Debug, Default, Clone)]
pub struct LastPacket {
    at: sync::Arc<atomic::AtomicU64>,
}

impl LastPacket {
    fn set(&self, now: Timestamp) {
        self.at.store(now.get(), atomic::Ordering::Relaxed);
    }

    /// When the last packet was received; zero before the first one.
    pub fn get(&self) -> Timestamp {
        Timestamp::new(self.at.load(atomic::Ordering::Relaxed))
    }
}

/// The parts that the thread starts with.
pub struct TrafficThread {
    /// Decides about packets.
    pub engine: ForwardingEngine,
    /// Receives the reports about servers.
    pub control: Sender<ControlMessage>,
    /// Receives and sends packets.
    pub socket: BlockingSocket,
    /// The port at which callers receive packets.
    pub caller_port: u16,
    /// The views that the control thread publishes.
    pub views: ViewCell,
    /// Logs decisions.
    pub logger: DecisionLogger<DecisionLine>,
    /// Logs which servers are ejected as outliers.
    pub outlier_logger: DecisionLogger<OutlierLine>,
    /// The clock.
    pub clock: HostClock,
    /// Records when the last packet was received.
    pub last_packet: LastPacket,
}

/// What to do with the current packet.
#[derive(Debug, Clone, Copy)]
enum PacketAction {
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
    action: PacketAction,
    /// Flows to reset, with the position that the caller acknowledged last.
    ended: Vec<(FlowKey, u32)>,
    now: Timestamp,
    /// The failure domain of this host.
    domain: Option<DomainId>,
    counters: &'a OutcomeCounters,
    spill_metrics: &'a mut SpillMetrics,
    logger: &'a mut DecisionLogger<DecisionLine>,
}

impl ForwardingSink for PacketSink<'_> {
    fn send(&mut self, server: &ServerRecord, token: FlowToken) {
        self.action = PacketAction::Send {
            address: server.address,
            server: server.id,
            token,
        };
    }

    fn reset(&mut self) {
        self.action = PacketAction::Reset;
    }

    fn reset_flow(&mut self, flow: &FlowKey, acknowledged: u32) {
        self.ended.push((*flow, acknowledged));
    }

    fn hold(&mut self) {
        self.action = PacketAction::Hold;
    }

    fn measure_opening(&mut self, time: time::Duration) {
        self.counters.record_opening(time);
    }

    fn measure_response(&mut self, time: time::Duration) {
        self.counters.record_response(time);
    }

    fn record(&mut self, record: &ForwardingRecord<'_>) {
        self.counters.count(record.outcome);
        if let (Some(from), Some(target)) = (self.domain, record.spilled) {
            self.spill_metrics.count(from, target);
        }
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
    /// The view with which the held packets were evaluated last.
    last_view: sync::Arc<ForwardingView>,
    tick_at: Timestamp,
    counters: OutcomeCounters,
    spill_metrics: SpillMetrics,
    admission_metrics: AdmissionMetrics,
    malformed: metrics::Counter,
    send_failures: metrics::Counter,
    watched: metrics::Gauge,
    unwatched: metrics::Counter,
    isolations: metrics::Counter,
    outliers: OutlierGauges,
}

/// Runs the thread until the process ends.
pub fn run(thread: TrafficThread) {
    let mut driver = TrafficDriver::new(thread);
    let mut buffer = [0; BUFFER_LENGTH];
    loop {
        driver.run_once(&mut buffer);
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
            last_view: sync::Arc::default(),
            tick_at: Timestamp::ZERO,
            counters: OutcomeCounters::default(),
            spill_metrics: SpillMetrics::default(),
            admission_metrics: AdmissionMetrics::default(),
            malformed: metrics::counter!("cardamomwinch_forwarding_malformed_total"),
            send_failures: metrics::counter!("cardamomwinch_forwarding_send_failures_total"),
            watched: metrics::gauge!("cardamomwinch_forwarding_flows"),
            unwatched: metrics::counter!("cardamomwinch_forwarding_unwatched_total"),
            isolations: metrics::counter!("cardamomwinch_forwarding_isolations_total"),
            outliers: OutlierGauges::default(),
        }
    }

    /// Waits for a packet and handles it, then does the work that is due.
    fn run_once(&mut self, buffer: &mut [u8; BUFFER_LENGTH]) {
        let wait = if self.held.is_empty() {
            IDLE_WAIT
        } else {
            HELD_WAIT
        };
        let space = &mut buffer[packet::SERVER_PREFIX_LENGTH..];
        let received = self.thread.socket.receive(space, wait);
        let now = self.thread.clock.now();
        let view = self.thread.views.load();
        match received {
            Ok(Some(packet)) => {
                self.thread.last_packet.set(now);
                self.handle_packet(now, now, &view, buffer, packet.length);
            }
            Ok(None) => {}
            Err(error) => log::error!("cannot receive packets: {error}"),
        }
        if !self.held.is_empty() && !view.has_same_data(&self.last_view) {
            self.retry_held(now, &view, buffer);
        }
        self.last_view = view;
        self.send_reports();
        if now >= self.tick_at {
            self.tick(now);
        }
    }

    /// Sends reports about servers to the control thread. If its queue is full they are
    /// lost; the next packets without an answer lead to the same reports.
    fn send_reports(&mut self) {
        let reports = self.thread.engine.take_reports();
        if reports.is_empty() {
            return;
        }
        if let Err(error) = self
            .thread
            .control
            .try_send(ControlMessage::TrafficReports { reports })
        {
            log::debug!("reports about servers are lost: {error}");
        }
    }

    /// Evaluates the held packets again with `view`.
    fn retry_held(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        buffer: &mut [u8; BUFFER_LENGTH],
    ) {
        for (since, bytes) in self.held.take(now) {
            let end = packet::SERVER_PREFIX_LENGTH + bytes.len();
            buffer[packet::SERVER_PREFIX_LENGTH..end].copy_from_slice(&bytes);
            self.handle_packet(now, since, view, buffer, bytes.len());
        }
    }

    /// Decides about the packet in `buffer`, which was received at `since`, and carries out
    /// the decision.
    fn handle_packet(
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
            action: PacketAction::Drop,
            ended: Vec::new(),
            now,
            domain: view.domain,
            counters: &self.counters,
            spill_metrics: &mut self.spill_metrics,
            logger: &mut self.thread.logger,
        };
        self.thread.engine.handle(now, view, &decoded, &mut sink);
        match sink.action {
            PacketAction::Drop => {}
            PacketAction::Hold => self.held.hold(since, bytes),
            PacketAction::Send {
                address,
                server,
                token,
            } => {
                let datagram = &mut buffer[..end];
                packet::prepare_for_server(datagram, server, token);
                self.send(&buffer[..end], address);
            }
            PacketAction::Reset => self.reset(&decoded.flow, decoded.acknowledged),
        }
    }

    fn reset(&self, flow: &FlowKey, acknowledged: u32) {
        let caller = net::SocketAddr::new(flow.caller.ip(), self.thread.caller_port);
        self.send(&packet::reset(flow, acknowledged), caller);
    }

    /// Sends a packet. A failure counts as a lost packet, which both ends send again.
    fn send(&self, bytes: &[u8], address: net::SocketAddr) {
        if let Err(error) = self.thread.socket.send(bytes, address) {
            self.send_failures.increment(1);
            log::debug!("{error}");
        }
    }

    /// Makes the host not ready while no server answers it, so that the fabric uses other
    /// hosts.
    fn update_reachability(&self) {
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

    fn log_outliers(&mut self, now: Timestamp) {
        let changes = self.thread.engine.take_outlier_changes();
        for change in &changes {
            let line = OutlierLine::from(change);
            self.thread.outlier_logger.log(now, &line);
        }
        self.thread.outlier_logger.report_left_out(now);
        self.outliers.set(&self.thread.engine);
    }

    fn tick(&mut self, now: Timestamp) {
        self.tick_at = now.after(engine::TICK_PERIOD);
        let mut sink = PacketSink {
            action: PacketAction::Drop,
            ended: Vec::new(),
            now,
            domain: self.last_view.domain,
            counters: &self.counters,
            spill_metrics: &mut self.spill_metrics,
            logger: &mut self.thread.logger,
        };
        self.thread.engine.tick(now, &self.last_view, &mut sink);
        for (flow, acknowledged) in sink.ended {
            self.reset(&flow, acknowledged);
        }
        self.update_reachability();
        self.spill_metrics.publish(&self.thread.engine, now);
        self.log_outliers(now);
        self.admission_metrics
            .publish(&self.thread.engine, &self.last_view);
        self.thread.logger.report_left_out(now);
        self.watched.set(self.thread.engine.watch().len() as f64);
        self.unwatched.absolute(self.thread.engine.unwatched());
    }
}
