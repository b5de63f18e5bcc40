//! Chooses the server of a new flow.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, Timestamp};

use crate::forwarding::directory::{ServerDirectory, ServerPhase, ServerRecord};
use crate::forwarding::median_response::UsualResponse;
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::progress::ProgressTable;
use crate::forwarding::server_reports::{ReportSubject, ReportTable};
use crate::routing::rendezvous;

/// The share by which a server that has just started counts as more loaded, in
/// hundredths: it works that much slower until it is warm.
const COLD_LOAD: u64 = 160;
const WARM_LOAD: u64 = 100;

/// Servers of the own domain are strained from this share of the latency goal on,
/// in per cent. An idle server needs a fifth to a quarter of it.
const STRAIN_BEGINS: u64 = 40;
/// From this share on, the largest part of new flows goes elsewhere.
const STRAIN_ENDS: u64 = 80;
/// That largest part, in per cent. The rest keeps the measurement alive.
const LARGEST_SPILL: u64 = 75;
/// What leaving the failure domain weighs for a flow that lives for a request only, in
/// per cent of the load that its slots would have if all domains had as many. More than
/// a whole one, because a host does not see what others send to servers elsewhere.
const CROSSING_SHARE: u64 = 150;
/// Of the own domain's servers, and of all, an opening looks at so many: more than a
/// service of 120 servers has. Among as many, chosen anew for each flow, the one with
/// the fewest flows is hardly worse than the best of thousands, for a hundredth of
/// the time: 4 ms an opening with 13,000 servers a service.
const LARGEST_SAMPLE: usize = 128;
/// Makes the choice of the sample independent of the choices in it.
const SAMPLE_SALT: u64 = 0x5a_3b1e;
/// Makes the decision to leave the domain independent of the choice of a server.
const SPILL_SALT: u64 = 0x0ff1_0ad5;

/// How willingly a server is chosen; the smallest value first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ServerRank {
    /// It takes flows, in another domain, and the own domain is strained.
    Relief,
    /// It takes flows, in the failure domain of this host. Flows within a domain
    /// outlive its being cut off, and cost no bytes between domains.
    Near,
    /// It takes flows, in another domain.
    Far,
    /// Its entry vanished a moment ago and nobody else is there.
    Vanished,
    /// It did not answer lately, and nobody else is there.
    Suspected,
}

/// What decides between two servers; the smallest value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKey {
    avoided: bool,
    rank: ServerRank,
    /// In thousandths of a flow a slot.
    load: u64,
    tie: u64,
}

/// What servers are compared by besides their own load.
#[derive(Debug, Clone, Copy)]
struct PlacementCosts {
    usual: Option<UsualResponse>,
    /// What leaving the failure domain weighs, in thousandths of a flow a slot.
    crossing: u64,
}

/// What a choice is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuestion<'a> {
    /// The known servers.
    pub directory: &'a ServerDirectory,
    /// What is known of how they do.
    pub progress: &'a ProgressTable,
    /// What other hosts have seen of them, too.
    pub reports: &'a ReportTable,
    /// The failure domain of this host.
    pub domain: Option<DomainId>,
    /// Which servers operators let the flow go to.
    pub permission: FlowPermission<'a>,
    /// The service asked for.
    pub service: ServiceId,
    /// Decides among equals; alike on all hosts.
    pub subject: u64,
    /// How fast requests of the flow should be answered; zero where that is unknown.
    pub latency_goal: time::Duration,
    /// Whether flows like this one live for a request only.
    pub is_short: bool,
    /// The present.
    pub now: Timestamp,
}

impl PlacementQuestion<'_> {
    /// The server for the flow, if one can take it. Servers for which `avoid`
    /// holds are chosen only where there is nobody else.
    pub fn choose(&self, avoid: impl Fn(BackendId) -> bool) -> Option<&ServerRecord> {
        let relief = self.relief_below();
        let costs = self.costs();
        // A small sample of all holds those of the own domain, too.
        let is_large = self.directory.count(self.service, None) > LARGEST_SAMPLE;
        let near = self.near_sample().filter(|_| is_large);
        let any = self.sample(None);
        if let Some((key, server)) = self.best(near.chain(any), relief, costs, &avoid)
            && self.is_good_enough(&key)
        {
            return Some(server);
        }
        let all = self.directory.of_service(self.service);
        self.best(all, relief, costs, &avoid)
            .map(|(_, server)| server)
    }

    fn best<'s>(
        &self,
        servers: impl Iterator<Item = &'s ServerRecord>,
        relief: Option<time::Duration>,
        costs: PlacementCosts,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<(ServerKey, &'s ServerRecord)> {
        let key = |server: &ServerRecord| {
            Some(ServerKey {
                avoided: avoid(server.id),
                rank: self.rank(server, relief)?,
                load: self.load(server, costs),
                tie: u64::MAX - rendezvous::score(server.id.get(), self.subject),
            })
        };
        servers
            .filter_map(|server| Some((key(server)?, server)))
            .min_by_key(|(key, _)| *key)
    }

    /// Whether no server that was not looked at can be much better.
    fn is_good_enough(&self, key: &ServerKey) -> bool {
        let saw_all_near = || {
            let near = self
                .domain
                .map(|_| self.directory.count(self.service, self.domain));
            near.unwrap_or_default() <= LARGEST_SAMPLE
        };
        let may_stay = || {
            self.domain
                .is_some_and(|domain| self.permission.admits_domain(domain))
        };
        let is_good = match key.rank {
            ServerRank::Relief | ServerRank::Near => true,
            ServerRank::Far => saw_all_near() || !may_stay(),
            ServerRank::Vanished | ServerRank::Suspected => false,
        };
        is_good && !key.avoided
    }

    fn sample(&self, domain: Option<DomainId>) -> impl Iterator<Item = &ServerRecord> {
        let subject = flow::mix(self.subject ^ SAMPLE_SALT);
        self.directory
            .sample(self.service, domain, subject, LARGEST_SAMPLE)
    }

    fn near_sample(&self) -> impl Iterator<Item = &ServerRecord> {
        self.domain
            .into_iter()
            .flat_map(|domain| self.sample(Some(domain)))
    }

    fn rank(&self, server: &ServerRecord, relief: Option<time::Duration>) -> Option<ServerRank> {
        match server.phase {
            ServerPhase::Draining | ServerPhase::Unreadable | ServerPhase::Left { .. } => None,
            _ if !self.permission.admits(server) => None,
            ServerPhase::Vanished { .. } => Some(ServerRank::Vanished),
            ServerPhase::Active if self.is_suspected(server.id) => Some(ServerRank::Suspected),
            ServerPhase::Active if self.domain == Some(server.domain) => Some(ServerRank::Near),
            ServerPhase::Active => {
                let response = self.progress.response(server.id, self.now);
                let relieves = relief.is_some_and(|limit| response.is_none_or(|one| one < limit));
                Some(if relieves {
                    ServerRank::Relief
                } else if self.is_short {
                    ServerRank::Near
                } else {
                    ServerRank::Far
                })
            }
        }
    }

    /// Whether `server` seems to have gone, to this host or to several together.
    fn is_suspected(&self, server: BackendId) -> bool {
        let is_doubtful = |subject: &ReportSubject| {
            let well_at = self.progress.well_at(server, *subject);
            self.reports
                .is_doubtful(server, *subject, well_at, self.now)
        };
        self.progress.is_suspected(server, self.now)
            || (self.reports.mentions(server) && ReportSubject::ALL.iter().any(is_doubtful))
    }

    /// Where the own domain's servers are strained and it is this flow's turn to
    /// go elsewhere, the response time that a server elsewhere must stay below.
    ///
    /// Guards against a domain that has lost servers while its callers stay. It
    /// shows as queues that fill up and refusals there, while other domains are
    /// half idle. Only a part goes elsewhere, so that hosts that measure the same
    /// do not move back and forth together.
    fn relief_below(&self) -> Option<time::Duration> {
        if self.latency_goal.is_zero() {
            return None;
        }
        let mean = self.near_response()?;
        let goal = self.latency_goal.as_micros().max(1) as u64;
        let strain = mean.as_micros() as u64 * 100 / goal;
        let excess = strain.saturating_sub(STRAIN_BEGINS);
        let part = excess * LARGEST_SPILL / (STRAIN_ENDS - STRAIN_BEGINS);
        let turn = flow::mix(self.subject ^ SPILL_SALT) % 100;
        (turn < part.min(LARGEST_SPILL)).then_some(mean)
    }

    /// The mean response time of the servers of the own domain.
    fn near_response(&self) -> Option<time::Duration> {
        let near = self.near_sample();
        let near = near.filter(|server| server.phase == ServerPhase::Active);
        let mut responses = near.filter_map(|server| self.progress.response(server.id, self.now));
        let first = responses.next()?;
        let (sum, count) = responses.fold((first, 1), |(sum, count), one| (sum + one, count + 1));
        Some(sum / count)
    }

    /// What the servers that this host looks at are compared by.
    fn costs(&self) -> PlacementCosts {
        let responses = self.sample(None);
        let responses = responses.filter_map(|one| self.progress.response(one.id, self.now));
        PlacementCosts {
            usual: UsualResponse::of(responses),
            crossing: if self.is_short {
                self.crossing_load()
            } else {
                0
            },
        }
    }

    /// What leaving the failure domain weighs, in thousandths of a flow a slot.
    ///
    /// Guards against a domain that has few servers for its callers. It shows as callers
    /// of one domain that are late while servers elsewhere idle, on days without any
    /// fault. Flows that live for a request may leave, for they are hardly ever cut off
    /// on the way; and only where the own servers hold much more than their part, so
    /// that even domains keep to themselves and lose nothing in a cut.
    fn crossing_load(&self) -> u64 {
        let (mut flows, mut slots, mut domains) = (0, 0, Vec::new());
        let servers = self.sample(None);
        let takes_flows = |server: &&ServerRecord| {
            server.phase == ServerPhase::Active && self.permission.admits_domain(server.domain)
        };
        for server in servers.filter(takes_flows) {
            flows += u64::from(self.progress.flows(server.id));
            slots += u64::from(server.slots.get());
            if !domains.contains(&server.domain) {
                domains.push(server.domain);
            }
        }
        flows * 10 * CROSSING_SHARE * domains.len() as u64 / slots.max(1)
    }

    /// The flows of the server a slot, in thousandths, after it took this one; more
    /// where it is cold or slow.
    fn load(&self, server: &ServerRecord, costs: PlacementCosts) -> u64 {
        let flows = self.progress.load(server.id) + 1;
        let slots = u64::from(server.slots.get().max(1));
        let factor = if self.permission.is_cold(server) {
            COLD_LOAD
        } else {
            WARM_LOAD
        };
        let crosses = self.domain != Some(server.domain);
        let crossing = if crosses { costs.crossing } else { 0 };
        let load = flows * 10 * factor / slots + crossing;
        let response = self.progress.response(server.id, self.now);
        match (costs.usual, response) {
            (Some(usual), Some(response)) => usual.weigh(load, response),
            _ => load,
        }
    }
}
