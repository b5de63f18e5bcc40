//! Decides about each packet.

mod upkeep;

use std::net;
use std::time;

use cardamomwinch_state::prelude::{BackendId, FlowHash, FlowKey, ServiceId, Timestamp};

use crate::forwarding::cold_starts::ColdLimiter;
use crate::forwarding::deliveries::DeliveryRecord;
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::flow_lifetimes::FlowLifetimes;
use crate::forwarding::flow_watch::{self, FlowSilence, FlowStage, FlowWatch, WatchedFlow};
use crate::forwarding::own_reports::OwnReports;
use crate::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::placement::PlacementQuestion;
use crate::forwarding::progress::ProgressTable;
use crate::forwarding::recent_openings::RecentOpenings;
use crate::forwarding::record::{ForwardingOutcome, ForwardingRecord};
use crate::forwarding::routes::{self, RouteEntry};
use crate::forwarding::server_reach::ServerReach;
use crate::forwarding::server_reports::{ReportSubject, ReporterId, ServerReport};
use crate::forwarding::server_starts::ServerStarts;
use crate::forwarding::unknown_flows::UnknownFlows;
use crate::forwarding::usual_wait::UsualWait;
use crate::forwarding::view::ForwardingView;

/// How often [`ForwardingEngine::tick`] is to be called.
pub const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Copies of an opening after which the caller gives up.
const LAST_COPY: u32 = 2;
/// How often a caller must have sent the same data again to a server that is silent
/// or off the list before it is told.
const HOPELESS_COPIES: u32 = 1;
/// And how often where nothing but its own flow tells so. Callers send again after
/// 200 ms and 600 ms; with the second copy two losses in a row are known.
const LONE_COPIES: u32 = 2;
/// Copies that come sooner were doubled on their way.
const LONE_SILENCE: time::Duration = time::Duration::from_millis(500);
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

    fn open<S: ForwardingSink>(&mut self, context: &PacketContext<'_>, copy: u32, sink: &mut S) {
        let Some(route) = context.route else {
            return Self::refuse_route(context, copy, sink);
        };
        let Some(service) = route.service_for(context.hash) else {
            return self.refuse_server(context, None, copy, sink);
        };
        match self.watch.get(context.hash, &context.packet.flow).copied() {
            Some(watched) => self.repeat_opening(context, service, watched, copy, sink),
            None => self.place(context, service, copy, sink),
        }
    }

    fn refuse_route<S: ForwardingSink>(context: &PacketContext<'_>, copy: u32, sink: &mut S) {
        // A host that lags behind must not refuse a route that was just added;
        // the caller's next copy may meet another host, or this one later.
        if context.view.is_usable() && context.view.is_complete(context.now) {
            sink.reset();
            context.record(ForwardingOutcome::NoRouteReset, None, copy, 0, sink);
        } else {
            sink.hold();
            context.record(ForwardingOutcome::NoRouteHeld, None, copy, 0, sink);
        }
    }

    fn refuse_server<S: ForwardingSink>(
        &self,
        context: &PacketContext<'_>,
        service: Option<ServiceId>,
        copy: u32,
        sink: &mut S,
    ) {
        let forbids_all =
            |service: ServiceId| self.permission(context, service).forbids_all(service);
        if context.view.is_complete(context.now) && service.is_some_and(forbids_all) {
            sink.reset();
            return context.record(ForwardingOutcome::ForbiddenReset, None, copy, 0, sink);
        }
        // A server may come between two copies. After the last one the caller
        // would only wait in vain.
        if copy >= LAST_COPY {
            sink.reset();
            context.record(ForwardingOutcome::NoServerReset, None, copy, 0, sink);
        } else {
            sink.hold();
            context.record(ForwardingOutcome::NoServerHeld, None, copy, 0, sink);
        }
    }

    /// Which servers of `service` operators let the flow at hand go to.
    fn permission<'a>(
        &'a self,
        context: &PacketContext<'a>,
        service: ServiceId,
    ) -> FlowPermission<'a> {
        let regions = context.route.map(|route| route.regions.as_slice());
        let allowed = regions.unwrap_or_default();
        FlowPermission::new(context.view, service, allowed, &self.cold, context.now)
    }

    /// A new flow goes to `server`.
    fn note_cold(&mut self, context: &PacketContext<'_>, server: &ServerRecord) {
        if self.permission(context, server.service).is_bounded(server) {
            self.cold.note(server.id, context.now);
        }
    }

    fn question<'a>(
        &'a self,
        context: &PacketContext<'a>,
        service: ServiceId,
    ) -> PlacementQuestion<'a> {
        let goal = context.route.map(|route| route.latency_goal);
        PlacementQuestion {
            directory: &context.view.directory,
            progress: &self.progress,
            reports: &context.view.reports,
            domain: context.view.domain,
            permission: self.permission(context, service),
            service,
            subject: routes::server_subject(context.hash),
            latency_goal: goal.unwrap_or_default(),
            is_short: self.lifetimes.are_short(&context.packet.flow.service),
            now: context.now,
        }
    }

    fn place<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
        copy: u32,
        sink: &mut S,
    ) {
        let question = self.question(context, service);
        let caller = context.caller();
        let avoid = |id: BackendId| self.recent.contains(caller, id, context.now);
        let Some(server) = question.choose(avoid).cloned() else {
            return self.refuse_server(context, Some(service), copy, sink);
        };
        let watched = WatchedFlow::opening(server.id, copy, context.is_idempotent(), context.now);
        self.start_watching(context, watched);
        self.note_cold(context, &server);
        self.progress.note_opening(server.id, context.now);
        self.recent.note(caller, server.id, context.now);
        sink.send(&server, FlowToken::of_server(server.id));
        let flows = self.progress.flows(server.id);
        let outcome = ForwardingOutcome::OpeningPlaced;
        context.record(outcome, Some(&server), copy, flows, sink);
    }

    fn repeat_opening<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
        mut watched: WatchedFlow,
        copy: u32,
        sink: &mut S,
    ) {
        let earlier = watched.server;
        // Copies that waited together, in this process or before it, come in one
        // burst and say nothing about the server.
        let waited = context.now.since(watched.seen_at) >= flow_watch::LEAST_PATIENCE;
        let is_copy = match watched.stage {
            FlowStage::Opening { copy: last, .. } => copy > last && waited,
            FlowStage::Open => false,
        };
        if is_copy {
            let proven = self.deliveries.was_open_at(watched.seen_at);
            let sent_at = watched.seen_at;
            self.reach.note_unopened(earlier, sent_at);
            self.progress
                .note_unanswered(earlier, sent_at, proven, context.now);
            if proven {
                self.report_silence(earlier, context.now);
            }
        }
        let question = self.question(context, service);
        let avoid = |id: BackendId| is_copy && (id == earlier || watched.was_tried(id));
        let permission = self.permission(context, service);
        let still_active = |server: &&ServerRecord| {
            server.phase == ServerPhase::Active && permission.admits_domain(server.domain)
        };
        let known = context.view.directory.get(earlier).filter(still_active);
        let chosen = if is_copy || known.is_none() {
            question.choose(avoid)
        } else {
            known
        };
        let Some(server) = chosen.cloned() else {
            return self.refuse_server(context, Some(service), copy, sink);
        };
        watched.seen_at = context.now;
        let outcome = if server.id == earlier {
            ForwardingOutcome::OpeningRepeated
        } else {
            if watched.counted {
                self.progress.remove_flow(earlier);
            }
            watched.counted = true;
            self.progress.add_flow(server.id, context.now);
            self.note_cold(context, &server);
            ForwardingOutcome::OpeningMoved
        };
        watched.move_opening(server.id, copy);
        self.progress.note_opening(server.id, context.now);
        if let Some(entry) = self.watch.get_mut(context.hash, &context.packet.flow) {
            *entry = watched;
        }
        sink.send(&server, FlowToken::of_server(server.id));
        let flows = self.progress.flows(server.id);
        context.record(outcome, Some(&server), copy, flows, sink);
    }

    /// Watches a flow. A full table loses the count of it and nothing else.
    fn start_watching(&mut self, context: &PacketContext<'_>, watched: WatchedFlow) {
        let flow = context.packet.flow;
        match self.watch.insert(context.hash, flow, watched) {
            Ok(replaced) => {
                if let Some(replaced) = replaced.filter(|replaced| replaced.counted) {
                    self.progress.remove_flow(replaced.server);
                }
                self.progress.add_flow(watched.server, context.now);
            }
            Err(_) => self.unwatched += 1,
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

    /// Notes what the packet says about the flow and its server.
    fn observe<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        sink: &mut S,
    ) -> FlowSilence {
        let packet = context.packet;
        let now = context.now;
        let known = self.watch.get(context.hash, &packet.flow);
        if known.is_none_or(|watched| watched.server != server.id) {
            let mut watched = WatchedFlow::open(server.id, context.is_idempotent(), now);
            watched.acknowledged = packet.acknowledged;
            self.start_watching(context, watched);
        }
        let Some(watched) = self.watch.get_mut(context.hash, &packet.flow) else {
            return FlowSilence::default();
        };
        if matches!(watched.stage, FlowStage::Opening { .. }) {
            let time = now.since(watched.seen_at);
            self.reach.note_opened(now);
            sink.measure_opening(time);
            if time < flow_watch::LEAST_PATIENCE {
                self.deliveries.note(watched.seen_at);
            }
        }
        let closing = packet.kind == PacketKind::Closing;
        let sent_once_at = watched.sent_once_at();
        let was_repeated = watched.copies > 0;
        watched.seen_at = now;
        if !watched.counted {
            watched.counted = true;
            self.progress.add_flow(server.id, now);
        }
        if watched.note_acknowledged(packet.acknowledged) {
            self.progress.note_progress(server.id, now);
            self.reach.note_progress(now);
            if let Some(sent_at) = sent_once_at {
                self.deliveries.note(sent_at);
            }
            if was_repeated {
                self.deliveries.note_late(server.id, now);
            }
            self.recent.confirm(context.caller());
            if watched.has_answer() {
                self.progress.note_answer(server.id, now);
            }
            if let Some(response) = watched.take_response_time(closing, now) {
                sink.measure_response(response);
                self.responses.note(response);
                self.progress.note_response(server.id, response, now);
            }
        }
        if packet.length == 0 {
            return FlowSilence::default();
        }
        let silence = watched.note_data(packet.sequence, now, &self.deliveries);
        if silence.copies == 0 {
            watched.note_asked(now);
        }
        if silence.copies > 0 {
            self.reach.note_repetition(server.id, silence.since);
        }
        if silence.losses > 0 && watched.begin_silence() {
            self.progress
                .note_silent_flow(server.id, silence.since, now);
            self.report_silence(server.id, now);
        }
        silence
    }

    /// Tells others that flows on `server` met silence, where that says something about
    /// the server rather than about this host.
    fn report_silence(&mut self, server: BackendId, now: Timestamp) {
        if self.deliveries.is_in_doubt(now) {
            return;
        }
        if let Some(silence) = self.progress.silence(server) {
            let subject = ReportSubject::Delivery;
            self.reports.note_silence(server, subject, silence, now);
        }
    }

    /// Whether several hosts together show that `server` has gone, while others answer this
    /// host: a caller who is told must find one that serves it.
    fn is_reported(&self, view: &ForwardingView, server: BackendId, now: Timestamp) -> bool {
        if view.reports.is_empty() || !self.reach.is_proven(now) {
            return false;
        }
        let subject = ReportSubject::Delivery;
        let well_at = self.progress.well_at(server, subject);
        view.reports.is_silent(server, subject, well_at, now)
    }

    /// Whether nobody will answer the flow any more, and its caller is to be told.
    ///
    /// Guards against callers that wait until their deadlines for a server that has
    /// gone. One repetition tells an idempotent caller, who asks again elsewhere, where
    /// the store has lost the server or several flows meet silence, here or on several
    /// hosts; three losses in a
    /// row do where nobody saw the server make progress meanwhile: hosts of large fleets
    /// see one or two flows of each server. A caller that may not repeat itself gains
    /// nothing by a reset while an answer may come; it is told where the store has given
    /// the server up for good.
    fn is_over(
        &self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
        lost_thrice: bool,
    ) -> bool {
        let reported = self.is_reported(context.view, server.id, context.now);
        if reported && context.is_idempotent() {
            return silence.copies >= HOPELESS_COPIES;
        }
        let left = matches!(server.phase, ServerPhase::Left { .. });
        let vanished = server.has_vanished() && context.view.is_complete(context.now);
        let over = if context.is_idempotent() {
            let silent = || silence.losses > 0 && self.progress.is_silent(server.id, context.now);
            silence.copies >= HOPELESS_COPIES && (left || vanished || lost_thrice || silent())
        } else {
            left && silence.copies >= LONE_COPIES
        };
        over && self.can_judge(context.now)
    }

    /// Whether what this host sees of servers says something about them rather than
    /// about itself.
    fn can_judge(&self, now: Timestamp) -> bool {
        self.progress.is_trustworthy(now) && !self.deliveries.is_in_doubt(now)
    }

    /// Notes where the data of a flow were lost three times in a row, and whether that
    /// says that the server has gone.
    fn note_losses(
        &mut self,
        context: &PacketContext<'_>,
        server: &ServerRecord,
        silence: FlowSilence,
    ) -> bool {
        silence.losses >= LONE_COPIES
            && context.now.since(silence.since) >= LONE_SILENCE
            && self.progress.note_lost_thrice(server.id, silence.since)
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
