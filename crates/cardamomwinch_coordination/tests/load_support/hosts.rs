//! Hosts: engines with their views, and the fabric in front of them.

use std::sync;
use std::time;

use cardamomwinch_coordination::forwarding::cold_starts::ColdShare;
use cardamomwinch_coordination::forwarding::directory::ServerRecord;
use cardamomwinch_coordination::forwarding::engine::{ForwardingEngine, ForwardingSink};
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, FlowToken};
use cardamomwinch_coordination::forwarding::record::ForwardingRecord;
use cardamomwinch_coordination::forwarding::routes::RouteTable;
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::*;

use crate::forwarding_support;
use crate::load_support::callers;
use crate::load_support::events::{CallerMessage, CallerPacket, LoadEvent};
use crate::load_support::routes;
use crate::load_support::{CALLER_DELAY, LoadSetup, LoadWorld, TICK, timestamp};

/// The number of hosts that a host lists.
const LISTED_HOSTS: usize = 64;
/// The number of flows that a host watches.
const FLOW_LIMIT: usize = 100_000;
const FLOW_SEED: u64 = 7;

#[derive(Debug)]
pub struct LoadHost {
    pub domain: usize,
    pub engine: ForwardingEngine,
    pub view: ForwardingView,
    pub up: bool,
    /// Whether the store answers it, so that its view stays current.
    pub has_store: bool,
    /// Whether all packets that it sends to servers are lost.
    pub loses_packets: bool,
    /// Its process does not run until this time.
    pub paused_until: u64,
    policy: LoadPolicy,
    reporter: ReporterId,
}

impl LoadHost {
    fn new(domain: usize, number: u64, view: ForwardingView, policy: LoadPolicy) -> Self {
        let reporter = ReporterId::new(number);
        Self {
            domain,
            engine: new_engine(reporter, policy),
            view,
            up: true,
            has_store: true,
            loses_packets: false,
            paused_until: 0,
            policy,
            reporter,
        }
    }
}

fn new_engine(reporter: ReporterId, policy: LoadPolicy) -> ForwardingEngine {
    ForwardingEngine::new(FLOW_LIMIT, FLOW_SEED, reporter).with_load_policy(policy)
}

/// The number by which a host is listed.
fn order_number(host: usize) -> u64 {
    flow::mix(host as u64 + 1)
}

/// The view of each domain's hosts.
pub fn make_views(setup: &LoadSetup, servers: &[ServerRecord]) -> Vec<ForwardingView> {
    let mut table = RouteTable::default();
    let entries = setup.routes.iter();
    let entries = entries
        .map(|one| (one.address, one.entry.clone()))
        .collect();
    table.adopt(forwarding_support::document(1, entries));
    let view = ForwardingView {
        routes: sync::Arc::new(table),
        directory: sync::Arc::new(forwarding_support::directory(servers.to_vec())),
        as_of: timestamp(0),
        ..ForwardingView::default()
    };
    let mut first = 0;
    let domains = setup.hosts.iter().enumerate();
    let make = |(domain, count): (usize, &usize)| {
        let mut numbers: Vec<_> = (first..first + count).map(order_number).collect();
        first += count;
        numbers.sort_unstable();
        numbers.truncate(LISTED_HOSTS);
        ForwardingView {
            domain: Some(crate::load_support::domain_id(domain)),
            cold_share: Some(ColdShare {
                host_number: 0,
                host_numbers: numbers.into(),
            }),
            ..view.clone()
        }
    };
    domains.map(make).collect()
}

/// All hosts, those of one domain next to each other.
pub fn make_hosts(setup: &LoadSetup, views: Vec<ForwardingView>) -> Vec<LoadHost> {
    let mut hosts = Vec::new();
    for (domain, (view, count)) in views.into_iter().zip(&setup.hosts).enumerate() {
        for _ in 0..*count {
            let number = order_number(hosts.len());
            let mut view = view.clone();
            let share = view.cold_share.iter_mut();
            share.for_each(|share| share.host_number = number);
            hosts.push(LoadHost::new(domain, number, view, setup.policy));
        }
    }
    hosts
}

/// What an engine decided about a packet or at a tick.
#[derive(Debug, Default)]
struct HostSink {
    server: Option<(BackendId, FlowToken)>,
    reset: bool,
    ended: Vec<FlowKey>,
}

impl ForwardingSink for HostSink {
    fn send(&mut self, server: &ServerRecord, token: FlowToken) {
        self.server = Some((server.id, token));
    }

    fn reset(&mut self) {
        self.reset = true;
    }

    fn reset_flow(&mut self, flow: &FlowKey, _acknowledged: u32) {
        self.ended.push(*flow);
    }

    // Held packets are dropped: callers send copies.
    fn hold(&mut self) {}

    fn measure_opening(&mut self, _time: time::Duration) {}

    fn measure_response(&mut self, _time: time::Duration) {}

    fn record(&mut self, _record: &ForwardingRecord<'_>) {}
}

impl LoadWorld {
    /// Stops a host at once. The fabric no longer uses it.
    pub fn stop_host(&mut self, host: usize) {
        self.hosts[host].up = false;
        self.update_rotation();
    }

    /// Starts a host, whose engine knows nothing.
    pub fn start_host(&mut self, host: usize) {
        let started = &mut self.hosts[host];
        started.engine = new_engine(started.reporter, started.policy);
        started.up = true;
        self.update_rotation();
    }

    pub(crate) fn update_rotation(&mut self) {
        for (domain, rotation) in self.rotation.iter_mut().enumerate() {
            let is_used =
                |host: &LoadHost| host.domain == domain && host.up && host.engine.reaches_servers();
            let numbers = 0..self.hosts.len();
            *rotation = numbers.filter(|one| is_used(&self.hosts[*one])).collect();
        }
    }

    pub(crate) fn tick(&mut self, host: usize) {
        let next = (self.now + TICK).max(self.hosts[host].paused_until);
        self.events.push(next, LoadEvent::Tick { host });
        let ticking = &mut self.hosts[host];
        if !ticking.up || self.now < ticking.paused_until {
            return;
        }
        let now = timestamp(self.now);
        if ticking.has_store {
            ticking.view.as_of = now;
        }
        let reached = ticking.engine.reaches_servers();
        let mut sink = HostSink::default();
        ticking.engine.tick(now, &ticking.view, &mut sink);
        let changed = reached != ticking.engine.reaches_servers();
        self.exchange_reports(host);
        for flow in &sink.ended {
            self.send_host_reset(flow);
        }
        if changed {
            self.update_rotation();
        }
    }

    /// Hands the reports of `host` to the hosts of its domain.
    fn exchange_reports(&mut self, host: usize) {
        let (now, domain) = (timestamp(self.now), self.hosts[host].domain);
        let reports = self.hosts[host].engine.take_reports();
        sync::Arc::make_mut(&mut self.hosts[host].view.reports).expire(now);
        for receiver in self.hosts.iter_mut().filter(|one| one.domain == domain) {
            for report in &reports {
                sync::Arc::make_mut(&mut receiver.view.reports).note(*report, now);
            }
        }
    }

    /// Hands a packet of a caller to a host.
    pub(crate) fn forward(&mut self, packet: CallerPacket) {
        let domain = self.callers[packet.number.caller].domain;
        let others = (0..self.rotation.len()).filter(|other| *other != domain);
        let mut domains = [domain].into_iter().chain(others);
        let used = domains.find(|one| !self.rotation[*one].is_empty());
        let Some(rotation) = used.map(|one| &self.rotation[one]) else {
            return;
        };
        let number = packet.number;
        let subject = flow::mix((number.caller as u64) << 16 | u64::from(number.flow));
        let score = |host: &&usize| flow::mix(subject ^ order_number(**host));
        let host = *rotation.iter().max_by_key(score).unwrap();
        self.handle_at_host(host, packet);
    }

    pub(crate) fn handle_at_host(&mut self, host: usize, packet: CallerPacket) {
        let caller = &self.callers[packet.number.caller];
        let key = callers::flow_key(packet.number, self.routes[caller.route].address);
        let handling = &mut self.hosts[host];
        if !handling.up {
            return;
        }
        if self.now < handling.paused_until {
            let at = handling.paused_until;
            return self.events.push(at, LoadEvent::AtHost { host, packet });
        }
        let flow_packet = FlowPacket {
            flow: key,
            kind: packet.kind,
            token: packet.token,
            sequence: packet.sequence,
            acknowledged: packet.acknowledged,
            length: packet.length,
            request: None,
        };
        let mut sink = HostSink::default();
        let now = timestamp(self.now);
        let engine = &mut handling.engine;
        engine.handle(now, &handling.view, &flow_packet, &mut sink);
        let (domain, loses) = (handling.domain, handling.loses_packets);
        if sink.reset {
            self.send_host_reset(&key);
        }
        if let Some((id, token)) = sink.server.filter(|_| !loses) {
            self.send_to_server(domain, id, CallerPacket { token, ..packet });
        }
    }

    fn send_to_server(&mut self, domain: usize, id: BackendId, packet: CallerPacket) {
        let server = routes::server_number(id);
        let target = self.servers[server].domain;
        if let Some(delay) = self.host_delay(domain, target) {
            let at = self.now + delay;
            self.events.push(at, LoadEvent::AtServer { server, packet });
        }
    }

    fn send_host_reset(&mut self, key: &FlowKey) {
        let (flow, message) = (callers::flow_number(key), CallerMessage::HostReset);
        let at = self.now + CALLER_DELAY;
        self.events.push(at, LoadEvent::AtCaller { flow, message });
    }
}
