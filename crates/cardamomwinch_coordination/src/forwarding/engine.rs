//! Decides what to do with each packet: send it to a server, hold it or reset its flow.

mod admissions;
mod load_observations;
mod maintenance;
mod open_flows;
mod openings;
mod outliers;
mod spilling;

use std::net;
use std::time;

use cardamomwinch_state::prelude::{FlowHash, FlowKey, Timestamp};

use crate::forwarding::cold_starts::ColdLimiter;
use crate::forwarding::deliveries::DeliveryRecord;
use crate::forwarding::directory::ServerRecord;
use crate::forwarding::flow_lifetimes::FlowLifetimes;
use crate::forwarding::flow_watch::FlowWatch;
use crate::forwarding::overdue_timeout::OverdueTimeout;
use crate::forwarding::own_reports::OwnReports;
use crate::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use crate::forwarding::progress::ProgressTable;
use crate::forwarding::recent_openings::RecentOpenings;
use crate::forwarding::record::{EndEvidence, ForwardingOutcome, ForwardingRecord};
use crate::forwarding::routes::RouteEntry;
use crate::forwarding::server_reach::ServerReach;
use crate::forwarding::server_reports::{ReporterId, ServerReport};
use crate::forwarding::server_starts::ServerStarts;
use crate::forwarding::unknown_flows::UnknownFlows;
use crate::forwarding::view::ForwardingView;
use crate::load::LoadPolicy;
use crate::load::admission::AdmissionControl;
use crate::load::domain_load::DomainLoads;
use crate::load::outliers::OutlierChange;
use crate::load::slow_servers::SlowServers;
use crate::load::spill_shares::{SpillShares, SpillTarget};

/// The interval at which [`ForwardingEngine::tick`] must be called.
pub const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// A flow with an unknown token is reset only if the view is current as of this long after
/// the first packet of the flow. An older view may lack a new server.
const UNKNOWN_TOKEN_DELAY: time::Duration = time::Duration::from_millis(150);

/// Carries out the decisions of the engine about the current packet, and about flows that
/// it ends between packets.
pub trait ForwardingSink {
    /// Sends the current packet to `server`, with `token` written into it.
    fn send(&mut self, server: &ServerRecord, token: FlowToken);
    /// Sends a reset to the caller of the current packet.
    fn reset(&mut self);
    /// Sends a reset to the caller of `flow`. `acknowledged` is the position up to which
    /// the caller has acknowledged the stream of its server.
    fn reset_flow(&mut self, flow: &FlowKey, acknowledged: u32);
    /// Holds the current packet, which is handled again with the next view.
    fn hold(&mut self);
    /// Measures the time from an opening to the caller's first packet after it, which
    /// shows that a server confirmed the opening.
    fn measure_opening(&mut self, time: time::Duration);
    /// Measures the time from a request to the caller's acknowledgement of its answer.
    fn measure_response(&mut self, time: time::Duration);
    /// Records a decision and its reason.
    fn record(&mut self, record: &ForwardingRecord<'_>);
}

/// Forwards the packets of one host, and keeps the state about flows and servers that this
/// needs.
#[derive(Debug)]
pub struct ForwardingEngine {
    watch: FlowWatch,
    progress: ProgressTable,
    recent_openings: RecentOpenings,
    cold_limiter: ColdLimiter,
    deliveries: DeliveryRecord,
    flow_lifetimes: FlowLifetimes,
    unknown_flows: UnknownFlows,
    /// The number of flows that are not watched because the table was full.
    unwatched: u64,
    server_starts: ServerStarts,
    server_reach: ServerReach,
    overdue_timeout: OverdueTimeout,
    own_reports: OwnReports,
    load_policy: LoadPolicy,
    domain_loads: DomainLoads,
    /// The same without the answers of slow servers: how long requests queue.
    queue_loads: DomainLoads,
    slow_servers: SlowServers,
    admission: AdmissionControl,
    spill_shares: SpillShares,
    /// When this process ran again after its last pause.
    resumed_at: Timestamp,
    reporter: ReporterId,
    ticks: u32,
    last_run_at: Option<Timestamp>,
}

/// The current packet and what was looked up for it.
struct PacketContext<'a> {
    now: Timestamp,
    view: &'a ForwardingView,
    packet: &'a FlowPacket<'a>,
    route: Option<&'a RouteEntry>,
    hash: FlowHash,
}

impl PacketContext<'_> {
    /// The IP address of the caller, and the service address that it opens flows to.
    fn caller(&self) -> (net::IpAddr, net::SocketAddr) {
        (self.packet.flow.caller.ip(), self.packet.flow.service)
    }

    /// The token that packets to `server` carry.
    fn token_of(&self, server: &ServerRecord) -> FlowToken {
        self.view.directory.token_of(server.id)
    }

    fn is_idempotent(&self) -> bool {
        self.route.is_some_and(|route| route.idempotent)
    }

    fn record<S: ForwardingSink>(
        &self,
        outcome: ForwardingOutcome,
        server: Option<&ServerRecord>,
        copies: u32,
        server_flows: u32,
        sink: &mut S,
    ) {
        sink.record(&self.make_record(outcome, server, copies, server_flows));
    }

    fn make_record(
        &self,
        outcome: ForwardingOutcome,
        server: Option<&ServerRecord>,
        copies: u32,
        server_flows: u32,
    ) -> ForwardingRecord<'_> {
        ForwardingRecord {
            outcome,
            flow: self.packet.flow,
            request: self.packet.request,
            route: self.route.map(|route| route.name.as_str()),
            token: self.packet.token,
            server: server.map(|server| server.id),
            own_domain: server.map(|server| self.view.domain == Some(server.domain)),
            spilled: None,
            copies,
            server_flows,
            version: self.view.routes.version(),
            view_age: self.view.age(self.now),
            refusal: None,
            end: None,
        }
    }

    /// Records that the current flow was reset because its server will not answer.
    fn record_end<S: ForwardingSink>(
        &self,
        server: &ServerRecord,
        (copies, server_flows): (u32, u32),
        end: EndEvidence,
        sink: &mut S,
    ) {
        let outcome = ForwardingOutcome::SilentServerReset;
        let mut record = self.make_record(outcome, Some(server), copies, server_flows);
        record.end = Some(end);
        sink.record(&record);
    }

    /// Records an opening, which has left the domain of this host if it was `spilled` to the
    /// domain of `server`.
    fn record_opening<S: ForwardingSink>(
        &self,
        outcome: ForwardingOutcome,
        server: &ServerRecord,
        (copy, server_flows): (u32, u32),
        spilled: Option<SpillTarget>,
        sink: &mut S,
    ) {
        let mut record = self.make_record(outcome, Some(server), copy, server_flows);
        record.spilled = spilled.filter(|target| target.domain == server.domain);
        sink.record(&record);
    }
}

impl ForwardingEngine {
    /// Creates an engine that watches at most `flows` flows. `seed` is the seed of the flow
    /// hash and the same on all hosts; `reporter` identifies this host in its reports.
    pub fn new(flows: usize, seed: u64, reporter: ReporterId) -> Self {
        Self {
            watch: FlowWatch::new(flows, seed),
            progress: ProgressTable::default(),
            recent_openings: RecentOpenings::default(),
            cold_limiter: ColdLimiter::default(),
            deliveries: DeliveryRecord::default(),
            flow_lifetimes: FlowLifetimes::default(),
            unknown_flows: UnknownFlows::default(),
            unwatched: 0,
            server_starts: ServerStarts::default(),
            server_reach: ServerReach::default(),
            overdue_timeout: OverdueTimeout::default(),
            own_reports: OwnReports::new(reporter),
            load_policy: LoadPolicy::default(),
            domain_loads: DomainLoads::default(),
            queue_loads: DomainLoads::default(),
            slow_servers: SlowServers::default(),
            admission: AdmissionControl::default(),
            spill_shares: SpillShares::default(),
            resumed_at: Timestamp::ZERO,
            reporter,
            ticks: 0,
            last_run_at: None,
        }
    }

    /// Sets which decisions under load the engine makes.
    #[must_use]
    pub const fn with_load_policy(mut self, policy: LoadPolicy) -> Self {
        self.load_policy = policy;
        self
    }

    /// The flows that are watched.
    pub const fn watch(&self) -> &FlowWatch {
        &self.watch
    }

    /// What this host has observed of each server.
    pub const fn progress(&self) -> &ProgressTable {
        &self.progress
    }

    /// The number of flows that are not watched because the table was full.
    pub const fn unwatched(&self) -> u64 {
        self.unwatched
    }

    /// Whether any server answers this host, as far as it knows. If none does, callers
    /// are better served by hosts elsewhere.
    pub const fn reaches_servers(&self) -> bool {
        !self.server_reach.is_lost()
    }

    /// Removes and returns the reports about servers that are to be sent to other hosts.
    pub fn take_reports(&mut self) -> Vec<ServerReport> {
        self.own_reports.take()
    }

    /// Returns which servers were ejected as outliers, or returned, since the last call.
    pub fn take_outlier_changes(&mut self) -> Vec<OutlierChange> {
        self.progress.outliers.take_changes()
    }

    /// Decides about `packet` and passes the decision to `sink`.
    pub fn handle<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        packet: &FlowPacket<'_>,
        sink: &mut S,
    ) {
        self.detect_pause(now);
        let context = PacketContext {
            now,
            view,
            packet,
            route: view.routes.find(&packet.flow.service),
            hash: self.watch.hash(&packet.flow),
        };
        match packet.kind {
            PacketKind::Opening { copy } => self.open(&context, copy, sink),
            PacketKind::Data | PacketKind::Closing | PacketKind::Reset => {
                self.forward(&context, sink);
            }
        }
    }

    fn forward<S: ForwardingSink>(&mut self, context: &PacketContext<'_>, sink: &mut S) {
        let flow = &context.packet.flow;
        if context.route.is_none() && context.view.routes.dropped(&flow.service).is_some() {
            self.stop_watching(context);
            sink.reset();
            let outcome = ForwardingOutcome::RouteDroppedReset;
            return context.record(outcome, None, 0, 0, sink);
        }
        let token = context.packet.token;
        let Some(server) = context.view.directory.find(token) else {
            return self.handle_unknown_token(context, sink);
        };
        let silence = self.observe(context, server, sink);
        let copies = silence.copies;
        let triple_loss = self.note_triple_loss(context, server, silence);
        if let Some(cause) = self.reset_cause(context, server, silence, triple_loss) {
            self.stop_watching(context);
            sink.reset();
            let flows = self.progress.flows(server.id);
            let end = self.progress.end_evidence(server.id, cause);
            return context.record_end(server, (copies, flows), end, sink);
        }
        sink.send(server, context.token_of(server));
        let outcome = match (copies, context.packet.request) {
            (0, None) => ForwardingOutcome::Forwarded,
            (0, Some(_)) => ForwardingOutcome::RequestForwarded,
            _ => ForwardingOutcome::Resent,
        };
        let flows = self.progress.flows(server.id);
        context.record(outcome, Some(server), copies, flows, sink);
        if matches!(context.packet.kind, PacketKind::Closing | PacketKind::Reset) {
            self.stop_watching(context);
        }
    }

    /// Handles a packet whose token belongs to no known server.
    ///
    /// The server may be so new that only another host knew it; then the caller's next
    /// packet finds it. Or the server left while this host was not running. Its caller
    /// would wait forever, so the flow is reset as soon as a later view still lacks the
    /// server.
    fn handle_unknown_token<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        sink: &mut S,
    ) {
        let (now, view) = (context.now, context.view);
        let since = self.unknown_flows.note(context.packet.flow, now);
        let is_later_view = view.as_of >= since.after(UNKNOWN_TOKEN_DELAY);
        if is_later_view && view.is_usable() && view.is_complete(now) {
            self.unknown_flows.remove(&context.packet.flow);
            sink.reset();
            context.record(ForwardingOutcome::UnknownTokenReset, None, 0, 0, sink);
        } else {
            sink.hold();
            context.record(ForwardingOutcome::UnknownTokenHeld, None, 0, 0, sink);
        }
    }

    /// Stops watching the current flow. Only a close by the caller measures its lifetime.
    fn stop_watching(&mut self, context: &PacketContext<'_>) {
        let watched = self.watch.remove(context.hash, &context.packet.flow);
        if context.packet.kind == PacketKind::Closing
            && let Some(opened_at) = watched.and_then(|watched| watched.opened_at)
        {
            let service = context.packet.flow.service;
            self.flow_lifetimes
                .note(service, context.now.since(opened_at));
        }
        if let Some(watched) = watched.filter(|watched| watched.counted) {
            self.progress.remove_flow(watched.server);
        }
    }
}
