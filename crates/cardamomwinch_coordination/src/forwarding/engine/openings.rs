//! Handling of openings: chooses a server for each new flow, and another one if the
//! caller repeats an opening because the first server did not answer.

use cardamomwinch_state::prelude::{BackendId, ServiceId, Timestamp};

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::engine::{ForwardingEngine, ForwardingSink, PacketContext};
use crate::forwarding::flow_watch::{self, FlowStage, WatchedFlow};
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::placement::PlacementInput;
use crate::forwarding::record::ForwardingOutcome;
use crate::forwarding::routes;
use crate::forwarding::server_reports::ReportSubject;
use crate::forwarding::view::ForwardingView;
use crate::load::spill_shares::SpillTarget;

/// The number of the last copy of an opening that a caller sends.
const LAST_OPENING_COPY: u32 = 2;

impl ForwardingEngine {
    pub(super) fn open<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        copy: u32,
        sink: &mut S,
    ) {
        let Some(route) = context.route else {
            return Self::refuse_route(context, copy, sink);
        };
        let Some(service) = route.service_for(context.hash) else {
            return self.refuse_server(context, None, copy, sink);
        };
        match self.watch.get(context.hash, &context.packet.flow).copied() {
            Some(watched) => self.repeat_opening(context, service, watched, copy, sink),
            None if self.admit(context, service, copy, sink) => {
                self.place(context, service, copy, sink);
            }
            None => {}
        }
    }

    fn refuse_route<S: ForwardingSink>(context: &PacketContext<'_>, copy: u32, sink: &mut S) {
        // A host with an outdated view must not refuse a route that was just added. The
        // caller's next copy may reach another host, or this one with a newer view.
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
        // A server may be added between two copies. After the last copy the caller
        // would only wait until its deadline.
        if copy >= LAST_OPENING_COPY {
            sink.reset();
            context.record(ForwardingOutcome::NoServerReset, None, copy, 0, sink);
        } else {
            sink.hold();
            context.record(ForwardingOutcome::NoServerHeld, None, copy, 0, sink);
        }
    }

    /// Which servers of `service` may take the current flow by the settings of operators.
    pub(super) fn permission<'a>(
        &'a self,
        context: &PacketContext<'a>,
        service: ServiceId,
    ) -> FlowPermission<'a> {
        let regions = context.route.map(|route| route.regions.as_slice());
        let allowed = regions.unwrap_or_default();
        FlowPermission::new(
            context.view,
            service,
            allowed,
            &self.cold_limiter,
            context.now,
        )
    }

    /// Counts a new flow against the limit of `server`, if it is cold.
    fn count_cold_opening(&mut self, context: &PacketContext<'_>, server: &ServerRecord) {
        if self
            .permission(context, server.service)
            .is_rate_limited(server)
        {
            self.cold_limiter.note(server.id, context.now);
        }
    }

    fn placement_input<'a>(
        &'a self,
        context: &PacketContext<'a>,
        service: ServiceId,
        spilled: Option<SpillTarget>,
    ) -> PlacementInput<'a> {
        let goal = context.route.map(|route| route.latency_goal);
        PlacementInput {
            directory: &context.view.directory,
            progress: &self.progress,
            reports: &context.view.reports,
            domain: context.view.domain,
            permission: self.permission(context, service),
            service,
            subject: routes::server_subject(context.hash),
            latency_goal: goal.unwrap_or_default(),
            is_short: self.flow_lifetimes.are_short(&context.packet.flow.service),
            spill_to: spilled.map(|target| target.domain),
            spills_by_share: self.spills_by_share(context),
            now: context.now,
        }
    }

    /// The server for the flow of `input`: in the window of this host, if windows are on and
    /// the host knows the others of its domain.
    fn choose_server<'a>(
        &self,
        input: &'a PlacementInput<'_>,
        view: &ForwardingView,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<&'a ServerRecord> {
        let share = view.cold_share.as_ref();
        match share.filter(|_| self.load_policy.windows) {
            Some(share) => input.choose_in_window(share, avoid),
            None => input.choose(avoid),
        }
    }

    /// An ejected server that the current flow is sent to as a trial, if one is due.
    fn trial_server<'a>(
        &self,
        context: &PacketContext<'a>,
        service: ServiceId,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<&'a ServerRecord> {
        let (outliers, now) = (&self.progress.outliers, context.now);
        let mut trials = outliers.trials(service, context.is_idempotent(), now);
        trials.find_map(|id| {
            let server = context.view.directory.get(id)?;
            let may_take = server.phase == ServerPhase::Active
                && self.permission(context, service).admits(server)
                && !self.progress.is_suspected(id, now)
                && !avoid(id);
            may_take.then_some(server)
        })
    }

    fn place<S: ForwardingSink>(
        &mut self,
        context: &PacketContext<'_>,
        service: ServiceId,
        copy: u32,
        sink: &mut S,
    ) {
        let spilled = self.choose_spill(context, service);
        let input = self.placement_input(context, service, spilled);
        let caller = context.caller();
        let avoid = |id: BackendId| self.recent_openings.contains(caller, id, context.now);
        let trial = self.trial_server(context, service, avoid);
        let chosen = trial.or_else(|| self.choose_server(&input, context.view, avoid));
        let Some(server) = chosen.cloned() else {
            return self.refuse_server(context, Some(service), copy, sink);
        };
        let watched = WatchedFlow::opening(server.id, copy, context.is_idempotent(), context.now);
        self.start_watching(context, watched);
        self.count_cold_opening(context, &server);
        self.note_opening(server.id, copy > 0, context.now);
        self.recent_openings.note(caller, server.id, context.now);
        sink.send(&server, context.token_of(&server));
        let flows = self.progress.flows(server.id);
        let outcome = ForwardingOutcome::OpeningPlaced;
        context.record_opening(outcome, &server, (copy, flows), spilled, sink);
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
        // Copies that were queued together, in this process or on their way to it, arrive in
        // one burst and do not show that the server is silent.
        let is_late = context.now.since(watched.seen_at) >= flow_watch::MIN_RESEND_INTERVAL;
        let is_copy = match watched.stage {
            FlowStage::Opening { copy: last, .. } => copy > last && is_late,
            FlowStage::Open => false,
        };
        if is_copy {
            let was_delivering = self.deliveries.was_delivering_at(watched.seen_at);
            let sent_at = watched.seen_at;
            self.server_reach.note_unanswered_opening(earlier, sent_at);
            self.progress
                .note_unanswered_opening(earlier, was_delivering, context.now);
        }
        // An opening that was sent before is not spilled again: a domain that did not answer may
        // be cut off.
        let input = self.placement_input(context, service, None);
        let avoid = |id: BackendId| is_copy && (id == earlier || watched.was_tried(id));
        let permission = self.permission(context, service);
        let still_active = |server: &&ServerRecord| {
            server.phase == ServerPhase::Active && permission.admits_domain(server.domain)
        };
        let known = context.view.directory.get(earlier).filter(still_active);
        let chosen = if is_copy || known.is_none() {
            self.choose_server(&input, context.view, avoid)
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
            self.count_cold_opening(context, &server);
            ForwardingOutcome::OpeningMoved
        };
        watched.move_opening(server.id, copy);
        self.note_opening(server.id, copy > 0, context.now);
        if let Some(entry) = self.watch.get_mut(context.hash, &context.packet.flow) {
            *entry = watched;
        }
        sink.send(&server, context.token_of(&server));
        let flows = self.progress.flows(server.id);
        context.record(outcome, Some(&server), copy, flows, sink);
    }

    /// Records that an opening, or a copy of one, is sent to `server`.
    fn note_opening(&mut self, server: BackendId, is_copy: bool, now: Timestamp) {
        self.progress.note_opening(server, now);
        self.progress.outliers.note_opening(server, now);
        if self.load_policy.spill {
            let healthy_at = self.progress.healthy_at(server, ReportSubject::Openings);
            self.server_reach
                .note_opening(server, is_copy, healthy_at, now);
        }
    }

    /// Starts to watch a flow. If the table is full, the flow is still forwarded, but it does
    /// not count as load of its server.
    pub(super) fn start_watching(&mut self, context: &PacketContext<'_>, watched: WatchedFlow) {
        let flow = context.packet.flow;
        match self.watch.insert(context.hash, flow, watched) {
            Ok(replaced) => {
                if let Some(replaced) = replaced.filter(|replaced| replaced.counted) {
                    self.progress.remove_flow(replaced.server);
                }
                self.progress.add_flow(watched.server, context.now);
            }
            Err(_) => {
                self.unwatched += 1;
                self.admission.note_unwatched(context.now);
            }
        }
    }
}
