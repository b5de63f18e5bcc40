//! Chooses the server of a new flow.

mod windows;

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, Timestamp};

use crate::forwarding::directory::{ServerDirectory, ServerPhase, ServerRecord};
use crate::forwarding::permission::FlowPermission;
use crate::forwarding::progress::ProgressTable;
use crate::forwarding::server_reports::{ReportSubject, ReportTable};
use crate::load::median_response::MedianResponse;
use crate::routing::rendezvous;

/// The load of a cold server counts this many per cent of that of a warm one, because it is
/// that much slower.
const COLD_LOAD_PERCENT: u64 = 160;
const WARM_LOAD_PERCENT: u64 = 100;

/// From this response time on, in per cent of the latency goal, the servers of the own
/// domain count as overloaded. An idle server needs a fifth to a quarter of the goal.
const SPILL_START_PERCENT: u64 = 40;
/// From this response time on, in per cent of the latency goal, the largest part of new
/// flows spills over to other domains.
const SPILL_FULL_PERCENT: u64 = 80;
/// That largest part, in per cent. The rest stays, so that response times are still
/// measured.
const MAX_SPILL_PERCENT: u64 = 75;
/// The extra load of servers in other domains for short flows, in per cent of the load per
/// slot that one domain would have if it carried all flows that this host counts and all
/// domains had the same number of slots. It is more than 100, because a host does not see
/// what others send to servers there.
const CROSSING_PERCENT: u64 = 150;
/// The number of servers of the own domain, and of all servers, that are compared for one
/// opening: more than a service of 120 servers has. For larger services a different sample
/// is drawn for each flow. Its least loaded server is hardly worse than the best of
/// thousands, for a hundredth of the time: comparing all takes 4 ms per opening with
/// 13,000 servers per service.
const MAX_SAMPLE: usize = 128;
/// Makes the choice of the sample independent of the choice within it.
const SAMPLE_SALT: u64 = 0x5a_3b1e;
/// Makes the decision to leave the domain independent of the choice of a server.
const SPILL_SALT: u64 = 0x0ff1_0ad5;

/// The order of preference among servers; the smallest value is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ServerRank {
    /// An active server in the domain that the flow is spilled to.
    SpillTarget,
    /// An active server in another domain, while the own domain is overloaded.
    SpillOver,
    /// An active server in the failure domain of this host. Flows within a domain survive
    /// if it is cut off, and cost no traffic between domains. For short flows also an
    /// active server in another domain, whose load then counts as higher.
    Preferred,
    /// An active server in another domain.
    OtherDomain,
    /// A server whose entry vanished recently; used only if there is no other.
    Vanished,
    /// A server that recently did not answer; used only if there is no other.
    Suspected,
    /// A server that hangs or fails, unlike the others; used only if there is no other.
    Ejected,
}

/// The key by which servers are compared; the smallest value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKey {
    avoided: bool,
    rank: ServerRank,
    /// In thousandths of a flow per slot.
    load: u64,
    tie: u64,
}

/// What servers are compared by in addition to their own load.
#[derive(Debug, Clone, Copy)]
struct PlacementCosts {
    median: Option<MedianResponse>,
    /// The extra load of servers in other domains, in thousandths of a flow per slot.
    crossing: u64,
}

/// The input for the choice of a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// The known servers.
    pub directory: &'a ServerDirectory,
    /// What this host has observed of each server.
    pub progress: &'a ProgressTable,
    /// What hosts of the own domain have reported about servers.
    pub reports: &'a ReportTable,
    /// The failure domain of this host.
    pub domain: Option<DomainId>,
    /// Which servers may take the flow by the settings of operators.
    pub permission: FlowPermission<'a>,
    /// The service of the flow.
    pub service: ServiceId,
    /// A hash of the flow, the same on all hosts, that decides among equal servers.
    pub subject: u64,
    /// How fast requests of the flow should be answered; zero if that is unknown.
    pub latency_goal: time::Duration,
    /// Whether flows of this route usually last for one request only.
    pub is_short: bool,
    /// The other failure domain that the flow is spilled to, if any.
    pub spill_to: Option<DomainId>,
    /// Whether [`crate::load::spill_shares`] decides which flows leave the domain. Otherwise the
    /// response times and flow counts of the servers decide.
    pub spills_by_share: bool,
    /// The current time.
    pub now: Timestamp,
}

impl PlacementInput<'_> {
    /// Returns the server for the flow, if one can take it. A server for which `avoid`
    /// holds is chosen only if there is no other.
    pub fn choose(&self, avoid: impl Fn(BackendId) -> bool) -> Option<&ServerRecord> {
        let spill_over_limit = self.spill_over_limit();
        let costs = self.costs();
        // A service that is no larger than the sample needs no second one of the own domain.
        let is_large = self.directory.count(self.service, None) > MAX_SAMPLE;
        let own_domain = self.own_domain_sample().filter(|_| is_large);
        let spill_to = self.spill_to.filter(|_| is_large).into_iter();
        let spill_to = spill_to.flat_map(|domain| self.sample(Some(domain)));
        let near = own_domain.chain(spill_to);
        let any = self.sample(None);
        if let Some((key, server)) = self.best(near.chain(any), spill_over_limit, costs, &avoid)
            && self.is_good_enough(&key)
        {
            return Some(server);
        }
        let all = self.directory.of_service(self.service);
        self.best(all, spill_over_limit, costs, &avoid)
            .map(|(_, server)| server)
    }

    fn best<'s>(
        &self,
        servers: impl Iterator<Item = &'s ServerRecord>,
        spill_over_limit: Option<time::Duration>,
        costs: PlacementCosts,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<(ServerKey, &'s ServerRecord)> {
        let key = |server| self.key(server, spill_over_limit, costs, &avoid);
        servers
            .filter_map(|server| Some((key(server)?, server)))
            .min_by_key(|(key, _)| *key)
    }

    /// The key by which `server` is compared, if it may take the flow.
    fn key(
        &self,
        server: &ServerRecord,
        spill_over_limit: Option<time::Duration>,
        costs: PlacementCosts,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<ServerKey> {
        Some(ServerKey {
            avoided: avoid(server.id),
            rank: self.rank(server, spill_over_limit)?,
            load: self.load(server, costs),
            tie: u64::MAX - rendezvous::score(server.id.get(), self.subject),
        })
    }

    /// Whether no server outside the samples can be much better.
    fn is_good_enough(&self, key: &ServerKey) -> bool {
        let covers_own_domain = || {
            let own_domain = self
                .domain
                .map(|_| self.directory.count(self.service, self.domain));
            own_domain.unwrap_or_default() <= MAX_SAMPLE
        };
        let may_stay = || {
            self.domain
                .is_some_and(|domain| self.permission.admits_domain(domain))
        };
        let is_good = match key.rank {
            ServerRank::SpillTarget | ServerRank::SpillOver | ServerRank::Preferred => true,
            ServerRank::OtherDomain => covers_own_domain() || !may_stay(),
            ServerRank::Vanished | ServerRank::Suspected | ServerRank::Ejected => false,
        };
        is_good && !key.avoided
    }

    fn sample(&self, domain: Option<DomainId>) -> impl Iterator<Item = &ServerRecord> {
        let subject = flow::mix(self.subject ^ SAMPLE_SALT);
        self.directory
            .sample(self.service, domain, subject, MAX_SAMPLE)
    }

    fn own_domain_sample(&self) -> impl Iterator<Item = &ServerRecord> {
        self.domain
            .into_iter()
            .flat_map(|domain| self.sample(Some(domain)))
    }

    fn rank(
        &self,
        server: &ServerRecord,
        spill_over_limit: Option<time::Duration>,
    ) -> Option<ServerRank> {
        match server.phase {
            ServerPhase::Draining | ServerPhase::Unreadable | ServerPhase::Left { .. } => None,
            _ if !self.permission.admits(server) => None,
            ServerPhase::Vanished { .. } => Some(ServerRank::Vanished),
            ServerPhase::Active if self.progress.outliers.is_out(server.id) => {
                Some(ServerRank::Ejected)
            }
            ServerPhase::Active if self.is_suspected(server.id) => Some(ServerRank::Suspected),
            ServerPhase::Active if self.spill_to == Some(server.domain) => {
                Some(ServerRank::SpillTarget)
            }
            ServerPhase::Active if self.domain == Some(server.domain) => {
                Some(ServerRank::Preferred)
            }
            ServerPhase::Active => {
                let response = self.progress.response(server.id, self.now);
                let takes_spill_over =
                    spill_over_limit.is_some_and(|limit| response.is_none_or(|one| one < limit));
                Some(if takes_spill_over {
                    ServerRank::SpillOver
                } else if self.is_short && !self.spills_by_share {
                    ServerRank::Preferred
                } else {
                    ServerRank::OtherDomain
                })
            }
        }
    }

    /// Whether `server` seems to be dead to this host, or by the reports of several hosts.
    fn is_suspected(&self, server: BackendId) -> bool {
        let is_reported = |subject: &ReportSubject| {
            let healthy_at = self.progress.healthy_at(server, *subject);
            self.reports
                .is_suspected(server, *subject, healthy_at, self.now)
        };
        self.progress.is_suspected(server, self.now)
            || (self.reports.has_reports_about(server)
                && ReportSubject::ALL.iter().any(is_reported))
    }

    /// If the servers of the own domain are overloaded and this flow is one of those that
    /// spill over: the response time below which a server of another domain may take it.
    ///
    /// Guards against full queues and refusals in a domain that has lost servers while
    /// other domains are half idle. Only a part of the flows spills over, so that hosts
    /// with the same measurements do not all switch back and forth together.
    fn spill_over_limit(&self) -> Option<time::Duration> {
        if self.latency_goal.is_zero() || self.spills_by_share {
            return None;
        }
        let mean = self.own_domain_response()?;
        let goal = self.latency_goal.as_micros().max(1) as u64;
        let goal_percent = mean.as_micros() as u64 * 100 / goal;
        let excess = goal_percent.saturating_sub(SPILL_START_PERCENT);
        let part = excess * MAX_SPILL_PERCENT / (SPILL_FULL_PERCENT - SPILL_START_PERCENT);
        let percentile = flow::mix(self.subject ^ SPILL_SALT) % 100;
        (percentile < part.min(MAX_SPILL_PERCENT)).then_some(mean)
    }

    /// The mean response time of the servers of the own domain.
    fn own_domain_response(&self) -> Option<time::Duration> {
        let own_domain = self.own_domain_sample();
        let own_domain = own_domain.filter(|server| server.phase == ServerPhase::Active);
        let mut responses =
            own_domain.filter_map(|server| self.progress.response(server.id, self.now));
        let first = responses.next()?;
        let (sum, count) = responses.fold((first, 1), |(sum, count), one| (sum + one, count + 1));
        Some(sum / count)
    }

    /// What servers are compared by in addition to their own load.
    fn costs(&self) -> PlacementCosts {
        let responses = self.sample(None);
        let responses = responses.filter_map(|one| self.progress.response(one.id, self.now));
        PlacementCosts {
            median: MedianResponse::of(responses),
            crossing: if self.is_short && !self.spills_by_share {
                self.crossing_load()
            } else {
                0
            },
        }
    }

    /// The extra load of servers in other domains, in thousandths of a flow per slot.
    ///
    /// Guards against late answers in a domain that has few servers for its callers, while
    /// servers of other domains idle. Short flows may leave the domain, because they are
    /// hardly ever open when a domain is cut off. They leave it only if its servers hold
    /// much more than their share, so that equally loaded domains keep their flows and lose
    /// nothing if one is cut off.
    fn crossing_load(&self) -> u64 {
        let (mut flows, mut slots, mut domains) = (0, 0, Vec::new());
        let servers = self.sample(None);
        let accepts_flows = |server: &&ServerRecord| {
            server.phase == ServerPhase::Active && self.permission.admits_domain(server.domain)
        };
        for server in servers.filter(accepts_flows) {
            flows += u64::from(self.progress.flows(server.id));
            slots += u64::from(server.slots.get());
            if !domains.contains(&server.domain) {
                domains.push(server.domain);
            }
        }
        flows * 10 * CROSSING_PERCENT * domains.len() as u64 / slots.max(1)
    }

    /// The flows per slot that the server would have with this one, in thousandths; more
    /// if it is cold, slow or in another domain.
    fn load(&self, server: &ServerRecord, costs: PlacementCosts) -> u64 {
        let flows = self.progress.load(server.id) + 1;
        let slots = u64::from(server.slots.get().max(1));
        let factor = if self.permission.is_cold(server) {
            COLD_LOAD_PERCENT
        } else {
            WARM_LOAD_PERCENT
        };
        let crosses = self.domain != Some(server.domain);
        let crossing = if crosses { costs.crossing } else { 0 };
        let load = flows * 10 * factor / slots + crossing;
        let response = self.progress.response(server.id, self.now);
        match (costs.median, response) {
            (Some(median), Some(response)) => median.weigh(load, response),
            _ => self.progress.outliers.weigh_reported(server.id, load),
        }
    }
}
