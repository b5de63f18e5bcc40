//! Decides which servers get no new flows because they do worse than the other servers of
//! their service in their failure domain: they hang, that is they accept requests and never
//! answer, or they refuse a large part of them.
//!
//! A host sees one or two requests per second of a server, or fewer. The weight of a request
//! without an answer rises the rarer these are at the other servers, up to 4.6 nats. A host
//! ejects a server on [`CONCLUSIVE`] evidence: an observation that a server like the others
//! would cause once in a million requests. So three requests without an answer, and no
//! answer since, are enough if the other servers lose hardly any. A host with 90 requests per
//! second then ejects a sound server about once in three hours, for the two seconds that the
//! first trial takes, and only for its own flows. Others are convinced only if evidence of
//! two hosts or more adds up to the same weight.

mod ejection;
mod verdict;
mod watched;

use std::net;
use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, SortedVector, Timestamp};

use crate::load::answer::AnswerObservation;
use crate::load::outcome_counts::{
    ComparedCount, CountPeriod, EvidenceWeight, OutcomeCount, RecentCount,
};
use crate::load::outliers::ejection::Ejection;
use crate::load::outliers::verdict::OutlierVerdict;
use crate::load::outliers::watched::{ServerGroup, WatchedServer};
use crate::load::typical_answer::TypicalAnswer;

/// The evidence on which a server is ejected: 13.8 nats, a probability of one in a million.
pub const CONCLUSIVE: EvidenceWeight = EvidenceWeight::new(1_380);
/// The most that the report of one host counts towards [`CONCLUSIVE`]. One report, even with a
/// single chance observation of a second host, is not enough for other hosts.
pub const MAX_HOST_EVIDENCE: EvidenceWeight = EvidenceWeight::new(690);
/// The least evidence of refused answers that is reported. Hosts that saw none do not
/// contradict, so weaker reports would add up by chance in a domain of many hosts.
const MIN_REPORTED_FAILING: EvidenceWeight = MAX_HOST_EVIDENCE;
/// The least evidence of hanging that is reported: one request without an answer if the other
/// servers leave fewer than one in ten without one.
const MIN_REPORTED_HANGING: EvidenceWeight = EvidenceWeight::new(230);
/// How often a finding is reported while it lasts. Reports expire after three seconds.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(1_200);
/// The maximum number of findings that a host reports at once, those with the most weight.
/// More servers seldom fail together without a common cause.
const MAX_FINDINGS: usize = 8;
/// The least number of measured servers of a service in a domain among which one can stand
/// out.
const MIN_MEASURED: usize = 3;
/// A server is slow from this response time on, in per cent of the median.
const MIN_SLOW_PERCENT: u32 = 300;
/// The maximum slowness that a reported server counts with, in per cent.
const MAX_SLOW_PERCENT: u32 = 800;

/// Why a server stands out, in ascending order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutlierReason {
    /// It takes several times as long as the others. It keeps a smaller share of new flows.
    Slow,
    /// It refuses or fails a large part of its requests.
    Failing,
    /// It accepts requests and never answers.
    Hanging,
}

impl OutlierReason {
    /// The reasons for which a server gets no new flows.
    pub const EJECTING: [Self; 2] = [Self::Failing, Self::Hanging];

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Hanging => "hanging",
        }
    }
}

/// A request that waits much longer than usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverdueRequest {
    /// The server.
    pub server: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address that the caller opened the flow to.
    pub address: net::SocketAddr,
    /// When the request was sent.
    pub sent_at: Timestamp,
}

/// What the reports of two hosts or more show about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedOutlier {
    /// The server.
    pub server: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Why it stands out.
    pub reason: OutlierReason,
    /// The evidence of all hosts; for a slow server, its response time in per cent of the
    /// median.
    pub weight: u32,
    /// Whether enough other hosts watch the server, so that this one sends neither reports
    /// nor trials.
    pub is_watched_by_others: bool,
}

/// What this host reports about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierFinding {
    /// The server.
    pub server: BackendId,
    /// Why it stands out.
    pub reason: OutlierReason,
    /// The evidence of this host; for a slow server, its response time in per cent of the
    /// median. Zero withdraws the previous report.
    pub weight: u32,
    /// When the observation began.
    pub since: Timestamp,
}

/// The ejection of a server, or its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierChange {
    /// The server.
    pub server: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Why it is or was out.
    pub reason: OutlierReason,
    /// Whether it is out.
    pub is_out: bool,
    /// The evidence when it was ejected.
    pub weight: EvidenceWeight,
    /// The part of it that this host observed itself.
    pub own_weight: EvidenceWeight,
    /// How long it has been out.
    pub duration: time::Duration,
}

/// The servers that this host judges.
#[derive(Debug, Default)]
pub struct OutlierTable {
    servers: SortedVector<BackendId, WatchedServer>,
    /// The requests of all servers that are not out, by route and domain.
    totals: SortedVector<(net::SocketAddr, DomainId), RecentCount>,
    sizes: SortedVector<net::SocketAddr, TypicalAnswer>,
    /// The servers that are out, in ascending order.
    out: Vec<BackendId>,
    period: CountPeriod,
    changes: Vec<OutlierChange>,
}

impl OutlierTable {
    fn server(&mut self, id: BackendId, group: ServerGroup) -> &mut WatchedServer {
        let make = || WatchedServer::new(group);
        self.servers.get_or_insert_with(id, make)
    }

    /// Records an answer.
    pub fn note_answer(&mut self, answer: &AnswerObservation) {
        let size = self
            .sizes
            .get_or_insert_with(answer.address, TypicalAnswer::default);
        let refused = size.note(answer.bytes);
        let group = (answer.service, answer.domain);
        let server = self.server(answer.server, group);
        server.note_answer(answer, refused);
        if server.ejection.is_none() {
            let key = (answer.address, answer.domain);
            let total = self.totals.get_or_insert_with(key, RecentCount::default);
            total.add(OutcomeCount::answer(refused));
        }
    }

    /// Records a request that waits much longer than usual.
    pub fn note_overdue(&mut self, request: &OverdueRequest, now: Timestamp) {
        let key = (request.address, request.domain);
        let total = self.totals.get_or_insert_with(key, RecentCount::default);
        let all = *total;
        let group = (request.service, request.domain);
        let server = self.server(request.server, group);
        let others = ComparedCount::new(&all, &server.counts_of(request.address));
        let weight = others.overdue_weight();
        if server.note_overdue(request, weight, now) {
            let total = self.totals.get_or_insert_with(key, RecentCount::default);
            total.add(OutcomeCount::one_overdue());
        }
    }

    /// Records that a new flow goes to `server`. If it is out, no other flow follows until it
    /// is known whether the server answers.
    pub fn note_opening(&mut self, server: BackendId, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(&server)
            && let Some(ejection) = &mut server.ejection
        {
            ejection.note_trial(now);
        }
    }

    /// Whether `server` gets a new flow only if there is no other server.
    pub fn is_out(&self, server: BackendId) -> bool {
        self.out.binary_search(&server).is_ok()
    }

    /// The servers of `service` that are out and that a new flow may try, to find out whether
    /// they have recovered.
    pub fn trials(
        &self,
        service: ServiceId,
        is_idempotent: bool,
        now: Timestamp,
    ) -> impl Iterator<Item = BackendId> {
        self.out.iter().copied().filter(move |id| {
            let server = self.servers.get(id).filter(|one| one.group.0 == service);
            let ejection = server.and_then(|one| one.ejection);
            ejection.is_some_and(|one| one.allows_trial(is_idempotent, now))
        })
    }

    /// `load`, raised in proportion if several hosts report that `server` is slow.
    pub fn weigh_reported(&self, server: BackendId, load: u64) -> u64 {
        let known = self.servers.get(&server);
        let percent = known.and_then(|one| one.reported_slowness);
        percent.map_or(load, |percent| {
            load * u64::from(percent.min(MAX_SLOW_PERCENT)) / 100
        })
    }

    /// The number of servers that are out for `reason`.
    pub fn out_count(&self, reason: OutlierReason) -> usize {
        let out = self.servers.values().filter_map(|one| one.ejection);
        out.filter(|one| one.reason == reason).count()
    }

    /// Returns which servers were ejected or returned since the last call.
    pub fn take_changes(&mut self) -> Vec<OutlierChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes all observations of `server`.
    pub fn remove(&mut self, server: BackendId) {
        self.servers.remove(&server);
        self.list_out();
    }

    fn list_out(&mut self) {
        let servers = self.servers.iter();
        let out = servers.filter(|(_, one)| one.ejection.is_some());
        self.out = out.map(|(id, _)| *id).collect();
    }

    /// Removes the servers for which `keep` does not hold.
    pub fn retain(&mut self, mut keep: impl FnMut(BackendId) -> bool) {
        self.servers.retain(|id, _| keep(*id));
        self.list_out();
    }

    /// Forgets requests without an answer. After a pause of this host they show nothing.
    pub fn clear_overdue(&mut self) {
        for (_, server) in self.servers.iter_mut() {
            server.forget_overdue();
        }
    }

    /// Decides which servers are out. `is_reliable` is whether what this host observes is
    /// caused by servers, and not by its own link; `count` is the number of known servers of
    /// a service in a domain.
    pub fn judge(
        &mut self,
        now: Timestamp,
        is_reliable: bool,
        reported: &[ReportedOutlier],
        count: impl Fn(ServiceId, DomainId) -> usize,
    ) {
        self.rotate(now);
        self.note_reports(reported);
        let mut verdicts = self.verdicts(now, is_reliable);
        self.retain_relative(&mut verdicts);
        // The worst ones first; among equals, those that are out stay out.
        verdicts.sort_by_key(|one| {
            let known = self.servers.get(&one.server);
            let is_out = known.is_some_and(|known| known.ejection.is_some());
            std::cmp::Reverse((one.reason, is_out, one.weight, one.server))
        });
        let limited = verdict::limit(&verdicts, count);
        self.apply(&limited, now);
        self.list_out();
    }

    fn rotate(&mut self, now: Timestamp) {
        if self.period.begins_fresh(now) {
            let servers = self.servers.iter_mut();
            servers.for_each(|(_, server)| server.rotate_fresh());
            let totals = self.totals.iter_mut();
            totals.for_each(|(_, total)| total.rotate_fresh());
        }
        if !self.period.begins(now) {
            return;
        }
        for (_, server) in self.servers.iter_mut() {
            server.rotate();
        }
        for (_, total) in self.totals.iter_mut() {
            total.rotate();
        }
        self.totals.retain(|_, total| !total.is_empty());
        self.servers.retain(|_, server| server.is_needed(now));
    }

    fn note_reports(&mut self, reported: &[ReportedOutlier]) {
        for (_, server) in self.servers.iter_mut() {
            server.reported = None;
            server.reported_slowness = None;
        }
        for report in reported {
            let server = self.server(report.server, (report.service, report.domain));
            if report.reason == OutlierReason::Slow {
                server.reported_slowness = Some(report.weight);
            } else if server.reported.is_none_or(|one| one.reason < report.reason) {
                server.reported = Some(*report);
            }
        }
    }

    fn refusal_weight(&self, server: &WatchedServer) -> EvidenceWeight {
        let of_route = |(address, counts): &(net::SocketAddr, RecentCount)| {
            let total = self.totals.get(&(*address, server.group.1));
            let all = total.copied().unwrap_or_default();
            ComparedCount::new(&all, counts).refusal_weight(&counts.sum())
        };
        let weights = server.counts.iter().map(of_route);
        weights.fold(EvidenceWeight::ZERO, EvidenceWeight::plus)
    }

    /// The servers that stand out by the observations of this host or by reports, including
    /// those that are out and have not recovered.
    fn verdicts(&self, now: Timestamp, is_reliable: bool) -> Vec<OutlierVerdict> {
        let mut verdicts = Vec::new();
        for (id, server) in self.servers.iter() {
            let verdict = |reason, weight, own_weight, is_own| OutlierVerdict {
                server: *id,
                group: server.group,
                reason,
                weight,
                own_weight,
                is_own,
            };
            if let Some(ejection) = &server.ejection {
                if !ejection.has_recovered() {
                    let (weight, own) = (ejection.weight, ejection.own_weight);
                    verdicts.push(verdict(ejection.reason, weight, own, own >= CONCLUSIVE));
                }
                continue;
            }
            let (hanging, failing) = (server.hang.weight, self.refusal_weight(server));
            if is_reliable && hanging >= CONCLUSIVE {
                verdicts.push(verdict(OutlierReason::Hanging, hanging, hanging, true));
            } else if is_reliable && failing >= CONCLUSIVE {
                verdicts.push(verdict(OutlierReason::Failing, failing, failing, true));
            } else if let Some(report) = server.reported.filter(|_| server.heeds_reports(now)) {
                let weight = EvidenceWeight::new(report.weight);
                let own = match report.reason {
                    OutlierReason::Hanging => hanging,
                    OutlierReason::Slow | OutlierReason::Failing => failing,
                };
                verdicts.push(verdict(report.reason, weight, own, false));
            }
        }
        verdicts
    }

    /// Drops the verdicts of this host about groups of which it measures too few servers, or
    /// of which more than half stand out: the service or this host is then the cause.
    fn retain_relative(&self, verdicts: &mut Vec<OutlierVerdict>) {
        let mut measured = SortedVector::<ServerGroup, (usize, usize)>::default();
        for server in self.servers.values().filter(|one| one.is_measured()) {
            let entry = measured.get_or_insert_with(server.group, Default::default);
            entry.0 += 1;
        }
        for verdict in verdicts.iter().filter(|one| one.is_own) {
            let entry = measured.get_or_insert_with(verdict.group, Default::default);
            entry.1 += 1;
        }
        verdicts.retain(|verdict| {
            let (servers, standing) = measured.get(&verdict.group).copied().unwrap_or_default();
            let known = self.servers.get(&verdict.server);
            let is_out = known.is_some_and(|known| known.ejection.is_some());
            // A host that measures too few servers ejects none, and takes none back.
            if !verdict.is_own || servers < MIN_MEASURED {
                return !verdict.is_own || is_out;
            }
            standing * 2 <= servers
        });
    }

    fn apply(&mut self, verdicts: &[OutlierVerdict], now: Timestamp) {
        for (id, server) in self.servers.iter_mut() {
            let verdict = verdicts.iter().find(|one| one.server == *id);
            match (server.ejection, verdict) {
                (None, Some(verdict)) => {
                    for (address, counts) in &server.counts {
                        if let Some(total) = self.totals.get_mut(&(*address, server.group.1)) {
                            total.remove(counts);
                        }
                    }
                    let ejection =
                        Ejection::new(verdict.reason, verdict.weight, verdict.own_weight);
                    let ejection = server.eject(ejection, now);
                    self.changes
                        .push(ejection.change(*id, server.group, true, now));
                }
                (Some(ejection), None) => {
                    server.take_back(now);
                    self.changes
                        .push(ejection.change(*id, server.group, false, now));
                }
                (Some(_), Some(_)) => server.update_ejection(now),
                (None, None) => {}
            }
        }
    }

    /// Returns what this host reports to the others of its domain at `now`.
    pub fn take_findings(&mut self, now: Timestamp, is_reliable: bool) -> Vec<OutlierFinding> {
        let medians = self.medians(now);
        let mut findings = Vec::new();
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            let failing = self.refusal_weight(server);
            let slow = server.slowness(medians.get(&server.group).copied(), now);
            let slow = slow.filter(|percent| *percent >= MIN_SLOW_PERCENT);
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            let found = server.finding(failing, slow).filter(|_| is_reliable);
            findings.extend(server.next_reports(id, found, now));
        }
        findings.sort_by_key(|one| std::cmp::Reverse((one.reason, one.weight)));
        findings.truncate(MAX_FINDINGS);
        findings
    }

    /// The median response time of each group with enough measured servers.
    fn medians(&self, now: Timestamp) -> SortedVector<ServerGroup, time::Duration> {
        let mut responses: Vec<_> = self
            .servers
            .values()
            .filter_map(|one| Some((one.group, one.mean_response(now)?)))
            .collect();
        responses.sort_unstable();
        let mut medians = SortedVector::default();
        for group in responses.chunk_by(|one, next| one.0 == next.0) {
            if group.len() >= MIN_MEASURED {
                medians.insert(group[0].0, group[group.len() / 2].1);
            }
        }
        medians
    }
}
