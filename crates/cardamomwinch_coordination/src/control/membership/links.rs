//! Links to the other failure domains. The hosts of a domain are probed in
//! turn; if none of them answers while other hosts do, the domain is cut off.

use std::time;

use cardamomwinch_state::prelude::{DomainId, HostId, SortedVector, Timestamp};

use crate::control::membership::jitter::JitterSource;

/// The mean interval between probes. Each goes to the link that has been silent
/// for longest.
const LINK_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// A domain from which a message was received within this time is not probed.
const LINK_SILENCE: time::Duration = time::Duration::from_millis(1000);
/// How long to wait for an answer before other hosts of the domain are probed.
const STEP_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// A domain is cut off after this number of unanswered rounds.
const CUT_ROUNDS: u32 = 6;
/// The number of rounds that probe only one host. Later rounds probe two, so
/// that packet loss or a dead host does not look like a cut.
const SINGLE_ROUNDS: u32 = 2;

#[derive(Debug, Default, Clone, Copy)]
struct DomainLink {
    /// When the last message from the domain was received or the last probe
    /// ended.
    last_received: Timestamp,
    /// When the current round began; absent if none is in progress.
    round_started: Option<Timestamp>,
    rounds: u32,
    /// The position of the host to probe next.
    next_host: usize,
    ever_received: bool,
    cut: bool,
}

/// Pings to send on a link.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkPings {
    /// The domain whose hosts to ping.
    pub(super) domain: DomainId,
    /// The number of hosts to ping.
    pub(super) count: usize,
}

/// What to do for the links.
#[derive(Debug, Default)]
pub(super) struct LinkActions {
    /// Pings to send.
    pub(super) pings: Vec<LinkPings>,
    /// Domains that have just been found cut off.
    pub(super) cut: Vec<DomainId>,
}

/// The links to other failure domains, by domain.
#[derive(Debug, Default)]
pub(super) struct DomainLinks {
    links: SortedVector<DomainId, DomainLink>,
    next_probe: Timestamp,
}

impl DomainLinks {
    pub(super) fn is_cut(&self, domain: DomainId) -> bool {
        self.links.get(&domain).is_some_and(|link| link.cut)
    }

    /// Records a message from `domain`, and returns whether it ended a cut.
    pub(super) fn record_message(&mut self, domain: DomainId, now: Timestamp) -> bool {
        let Some(link) = self.links.get_mut(&domain) else {
            return false;
        };
        link.last_received = now;
        link.ever_received = true;
        link.round_started = None;
        link.rounds = 0;
        std::mem::take(&mut link.cut)
    }

    /// Resets the probes after a pause of the process. A domain that was cut off
    /// stays so until a message from it is received.
    pub(super) fn reset_probes(&mut self, now: Timestamp) {
        for (_, link) in self.links.iter_mut() {
            link.last_received = now;
            link.round_started = None;
            link.rounds = 0;
        }
    }

    /// Replaces the domains by those of a new list; domains in both keep their
    /// state.
    pub(super) fn adopt(&mut self, domains: impl Iterator<Item = DomainId>) {
        let earlier = std::mem::take(&mut self.links);
        self.links = domains
            .map(|domain| (domain, earlier.get(&domain).copied().unwrap_or_default()))
            .collect();
    }

    /// Advances every link whose probe is overdue, and starts a new probe if it
    /// is time. `connected` is whether a message from a host outside the given
    /// domain, including the own domain, was received recently.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        connected: impl Fn(DomainId) -> bool,
        jitter: &mut JitterSource,
    ) -> LinkActions {
        let mut actions = LinkActions::default();
        for (domain, link) in self.links.iter_mut() {
            if link.is_probe_overdue(now) {
                link.step(now, *domain, || connected(*domain), &mut actions);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now.after(jitter.around(LINK_INTERVAL));
            self.start_probe(now, &mut actions, jitter);
        }
        actions
    }

    fn start_probe(
        &mut self,
        now: Timestamp,
        actions: &mut LinkActions,
        jitter: &mut JitterSource,
    ) {
        let idle = self.links.iter_mut().filter(|(_, link)| {
            link.round_started.is_none() && now.since(link.last_received) >= LINK_SILENCE
        });
        let Some((domain, link)) = idle.min_by_key(|(_, link)| link.last_received) else {
            return;
        };
        // Starts at a random host, so that hosts that started at the same time
        // do not all probe the same one.
        link.next_host = jitter.next() as usize;
        link.probe(now, *domain, actions);
    }

    /// Returns the hosts to ping next, in turn, among the `usable` ones, or
    /// among all hosts if none is usable.
    pub(super) fn choose(
        &mut self,
        pings: LinkPings,
        hosts: &[HostId],
        usable: impl Fn(HostId) -> bool,
    ) -> Vec<HostId> {
        let Some(link) = self.links.get_mut(&pings.domain) else {
            return Vec::new();
        };
        let start = link.next_host % hosts.len().max(1);
        let in_turn = || (start..hosts.len()).chain(0..start);
        let mut chosen: Vec<usize> = in_turn()
            .filter(|position| usable(hosts[*position]))
            .take(pings.count)
            .collect();
        if chosen.is_empty() {
            chosen = in_turn().take(pings.count).collect();
        }
        link.next_host = chosen.last().map_or(0, |last| last + 1);
        let chosen = chosen.into_iter();
        chosen.map(|position| hosts[position]).collect()
    }
}

impl DomainLink {
    fn is_probe_overdue(&self, now: Timestamp) -> bool {
        let started = self.round_started;
        started.is_some_and(|started| now.since(started) >= STEP_TIMEOUT)
    }

    fn step(
        &mut self,
        now: Timestamp,
        domain: DomainId,
        connected: impl Fn() -> bool,
        actions: &mut LinkActions,
    ) {
        self.rounds += 1;
        let searching = self.ever_received && !self.cut;
        if searching && self.rounds < CUT_ROUNDS {
            return self.probe(now, domain, actions);
        }
        // Only the domain is marked as cut off. If each of its hosts were claimed dead, all
        // these claims and the refutations after the cut would cause a burst of
        // messages.
        if searching && connected() {
            self.cut = true;
            actions.cut.push(domain);
        }
        // The next probe waits until this link is due again.
        self.round_started = None;
        self.rounds = 0;
        self.last_received = now.before(LINK_SILENCE);
    }

    fn probe(&mut self, now: Timestamp, domain: DomainId, actions: &mut LinkActions) {
        self.round_started = Some(now);
        let count = if self.rounds < SINGLE_ROUNDS { 1 } else { 2 };
        actions.pings.push(LinkPings { domain, count });
    }
}
