//! Decides about each packet.

mod judging;
mod openings;
mod upkeep;

use std::net;
use std::time;

use cardamomwinch_state::prelude::{FlowHash, FlowKey, Timestamp};

use crate::forwarding::cold_starts::ColdLimiter;
use crate::forwarding::deliveries::DeliveryRecord;
use crate::forwarding::directory::ServerRecord;
use crate::forwarding::flow_lifetimes::FlowLifetimes;
use crate::forwarding::flow_watch::FlowWatch;
use crate::forwarding::own_reports::OwnReports;
use crate::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use crate::forwarding::progress::ProgressTable;
use crate::forwarding::recent_openings::RecentOpenings;
use crate::forwarding::record::{ForwardingOutcome, ForwardingRecord};
use crate::forwarding::routes::RouteEntry;
use crate::forwarding::server_reach::ServerReach;
use crate::forwarding::server_reports::{ReporterId, ServerReport};
use crate::forwarding::server_starts::ServerStarts;
use crate::forwarding::unknown_flows::UnknownFlows;
use crate::forwarding::usual_wait::UsualWait;
use crate::forwarding::view::ForwardingView;

/// How often [`ForwardingEngine::tick`] is to be called.
pub const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// The word of the store must be so much younger than the first packet with an
/// unknown token before it counts as saying that there is no such server.
const UNKNOWN_PATIENCE: time::Duration = time::Duration::from_millis(150);

/// Takes what the engine decides.
pub trait ForwardingSink {
    /// Sends the packet at hand to `server`, with `token` written into it.
    fn send(&mut self, server: &ServerRecord, token: FlowToken);
    /// Tells the caller of the packet at hand that its flow is over.
    fn reset(&mut self);
    /// Tells the caller of `flow` that it is over; the caller has acknowledged
    /// what its server sent up to the position `acknowledged`.
    fn reset_flow(&mut self, flow: &FlowKey, acknowledged: u32);
    /// Keeps the packet at hand, to be decided about again with the next view.
    fn hold(&mut self);
    /// A server confirmed an opening after `time`, as the caller's half shows it.
    fn measure_opening(&mut self, time: time::Duration);
    /// An answer of more than one packet began `time` after its request.
    fn measure_response(&mut self, time: time::Duration);
    /// Tells what was decided and why.
    fn record(&mut self, record: &ForwardingRecord<'_>);
}

/// The decisions about packets of one host.
#[derive(Debug)]
pub struct ForwardingEngine {
    watch: FlowWatch,
    progress: ProgressTable,
    recent: RecentOpenings,
    cold: ColdLimiter,
    deliveries: DeliveryRecord,
    lifetimes: FlowLifetimes,
    unknown: UnknownFlows,
    unwatched: u64,
    starts: ServerStarts,
    reach: ServerReach,
    responses: UsualWait,
    reports: OwnReports,
    ticks: u32,
    ran_at: Option<Timestamp>,
}

/// The packet at hand and what was looked up for it.
struct PacketContext<'a> {
    now: Timestamp,
    view: &'a ForwardingView,
    packet: &'a FlowPacket<'a>,
    route: Option<&'a RouteEntry>,
    hash: FlowHash,
}

impl PacketContext<'_> {
    /// The caller and the address that it opens flows to.
    fn caller(&self) -> (net::IpAddr, net::SocketAddr) {
        (self.packet.flow.caller.ip(), self.packet.flow.service)
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
        sink.record(&ForwardingRecord {
            outcome,
            flow: self.packet.flow,
            request: self.packet.request,
            route: self.route.map(|route| route.name.as_str()),
            token: self.packet.token,
            server: server.map(|server| server.id),
            own_domain: server.map(|server| self.view.domain == Some(server.domain)),
            copies,
            server_flows,
            version: self.view.routes.version(),
            view_age: self.view.age(self.now),
        });
    }
}

impl ForwardingEngine {
    /// Creates an engine that watches at most `flows` flows, and reports to other hosts
    /// as `reporter`.
    pub fn new(flows: usize, seed: u64, reporter: ReporterId) -> Self {
        Self {
            watch: FlowWatch::new(flows, seed),
            progress: ProgressTable::default(),
            recent: RecentOpenings::default(),
            cold: ColdLimiter::default(),
            deliveries: DeliveryRecord::default(),
            lifetimes: FlowLifetimes::default(),
            unknown: UnknownFlows::default(),
            unwatched: 0,
            starts: ServerStarts::default(),
            reach: ServerReach::default(),
            responses: UsualWait::default(),
            reports: OwnReports::new(reporter),
            ticks: 0,
            ran_at: None,
        }
    }

    /// The flows watched at present.
    pub const fn watch(&self) -> &FlowWatch {
        &self.watch
    }

    /// How servers do, as far as this host sees.
    pub const fn progress(&self) -> &ProgressTable {
        &self.progress
    }

    /// How many flows found no room to be watched.
    pub const fn unwatched(&self) -> u64 {
        self.unwatched
    }

    /// Whether any server answers this host, as far as it can tell. Otherwise callers are
    /// better served by hosts elsewhere.
    pub const fn reaches_servers(&self) -> bool {
        !self.reach.is_lost()
    }

    /// Takes out what other hosts are to be told of servers.
    pub fn take_reports(&mut self) -> Vec<ServerReport> {
        self.reports.take()
    }

    /// Decides about `packet`.
    pub fn handle<S: ForwardingSink>(
        &mut self,
        now: Timestamp,
        view: &ForwardingView,
        packet: &FlowPacket<'_>,
        sink: &mut S,
    ) {
        self.note_time(now);
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
            self.end(context);
            sink.reset();
            let outcome = ForwardingOutcome::RouteDroppedReset;
            return context.record(outcome, None, 0, 0, sink);
        }
        let token = context.packet.token;
        let Some(server) = context.view.directory.find(token, context.route) else {
            return self.meet_unknown_token(context, sink);
        };
        let silence = self.observe(context, server, sink);
        let copies = silence.copies;
        let lost_thrice = self.note_losses(context, server, silence);
        if self.is_over(context, server, silence, lost_thrice) {
            self.end(context);
            sink.reset();
            let outcome = ForwardingOutcome::SilentServerReset;
            let flows = self.progress.flows(server.id);
            return context.record(outcome, Some(server), copies, flows, sink);
        }
        sink.send(server, FlowToken::of_server(server.id));
        let outcome = match (copies, context.packet.request) {
            (0, None) => ForwardingOutcome::Forwarded,
            (0, Some(_)) => ForwardingOutcome::RequestForwarded,
            _ => ForwardingOutcome::Resent,
        };
        let flows = self.progress.flows(server.id);
        context.record(outcome, Some(server), copies, flows, sink);
        if matches!(context.packet.kind, PacketKind::Closing | PacketKind::Reset) {
            self.end(context);
        }
    }

    /// No known server has the token of the packet. Its server may have been added
    /// a moment ago, so that another host knew it first; then the caller's next
    /// packet finds it. It may also have left while this host was not running;
    /// its caller would wait for ever, and is told once the store has said
    /// since that there is no such server.
    fn meet_unknown_token<S: ForwardingSink>(&mut self, context: &PacketContext<'_>, sink: &mut S) {
        let (now, view) = (context.now, context.view);
        let since = self.unknown.note(context.packet.flow, now);
        let learned_since = view.heard_at >= since.after(UNKNOWN_PATIENCE);
        if learned_since && view.is_usable() && view.is_complete(now) {
            self.unknown.remove(&context.packet.flow);
            sink.reset();
            context.record(ForwardingOutcome::UnknownTokenReset, None, 0, 0, sink);
        } else {
            sink.hold();
            context.record(ForwardingOutcome::UnknownTokenHeld, None, 0, 0, sink);
        }
    }

    fn end(&mut self, context: &PacketContext<'_>) {
        let watched = self.watch.remove(context.hash, &context.packet.flow);
        if context.packet.kind == PacketKind::Closing
            && let Some(opened_at) = watched.and_then(|watched| watched.opened_at)
        {
            let service = context.packet.flow.service;
            self.lifetimes.note(service, context.now.since(opened_at));
        }
        if let Some(watched) = watched.filter(|watched| watched.counted) {
            self.progress.remove_flow(watched.server);
        }
    }
}
