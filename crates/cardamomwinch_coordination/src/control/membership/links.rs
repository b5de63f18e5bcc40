//! Links to the other failure domains: their hosts are probed in turn, and a
//! domain of which nobody answers while others do is cut off.

use std::time;

use cardamomwinch_state::prelude::{DomainId, HostId, SortedVector, Timestamp};

use crate::control::membership::jitter::JitterSource;

/// A link is probed this often, whichever has been silent for longest.
const LINK_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// A domain that was heard of within this time needs no probe.
const LINK_SILENCE: time::Duration = time::Duration::from_millis(1000);
/// How long an answer may take before other hosts of the domain are probed.
const STEP_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Rounds without an answer after which a domain is cut off.
const CUT_ROUNDS: u32 = 6;
/// Rounds that probe only one host. Later ones probe two, so that neither
/// loss nor a dead host looks like a cut.
const SINGLE_ROUNDS: u32 = 2;

#[derive(Debug, Default, Clone, Copy)]
struct DomainLink {
    /// When it was heard of, or a search for it ended, last.
    last_heard: Timestamp,
    /// When the round under way began.
    probed: Option<Timestamp>,
    rounds: u32,
    /// Which of the hosts is probed next.
    turn: usize,
    ever_heard: bool,
    cut: bool,
}

/// Pings that a link asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkPings {
    /// The domain whose hosts to ping.
    pub(super) domain: DomainId,
    /// How many of them.
    pub(super) count: usize,
}

/// What the links ask for.
#[derive(Debug, Default)]
pub(super) struct LinkActions {
    /// Pings to send.
    pub(super) pings: Vec<LinkPings>,
    /// Domains found to be cut off.
    pub(super) cut: Vec<DomainId>,
}

/// The links by domain.
#[derive(Debug, Default)]
pub(super) struct DomainLinks {
    links: SortedVector<DomainId, DomainLink>,
    next_probe: Timestamp,
}

impl DomainLinks {
    pub(super) fn is_cut(&self, domain: DomainId) -> bool {
        self.links.get(&domain).is_some_and(|link| link.cut)
    }

    /// Notes a message from `domain`; tells whether that ended a cut.
    pub(super) fn heard(&mut self, domain: DomainId, now: Timestamp) -> bool {
        let Some(link) = self.links.get_mut(&domain) else {
            return false;
        };
        link.last_heard = now;
        link.ever_heard = true;
        link.probed = None;
        link.rounds = 0;
        std::mem::take(&mut link.cut)
    }

    /// Begins anew after this host slept; what was cut off stays so until heard.
    pub(super) fn restart(&mut self, now: Timestamp) {
        for (_, link) in self.links.iter_mut() {
            link.last_heard = now;
            link.probed = None;
            link.rounds = 0;
        }
    }

    /// Takes over the domains of a new list.
    pub(super) fn adopt(&mut self, domains: impl Iterator<Item = DomainId>) {
        let earlier = std::mem::take(&mut self.links);
        self.links = domains
            .map(|domain| (domain, earlier.get(&domain).copied().unwrap_or_default()))
            .collect();
    }

    /// Takes every link one step further. `connected` tells whether some host
    /// outside a domain, of this one's own domain too, was heard of lately.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        connected: impl Fn(DomainId) -> bool,
        jitter: &mut JitterSource,
    ) -> LinkActions {
        let mut actions = LinkActions::default();
        for (domain, link) in self.links.iter_mut() {
            if link.is_waiting_in_vain(now) {
                link.step(now, *domain, || connected(*domain), &mut actions);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now.after(jitter.around(LINK_INTERVAL));
            self.begin(now, &mut actions, jitter);
        }
        actions
    }

    fn begin(&mut self, now: Timestamp, actions: &mut LinkActions, jitter: &mut JitterSource) {
        let idle = self.links.iter_mut().filter(|(_, link)| {
            link.probed.is_none() && now.since(link.last_heard) >= LINK_SILENCE
        });
        let Some((domain, link)) = idle.min_by_key(|(_, link)| link.last_heard) else {
            return;
        };
        // A random place to go on from, so that hosts that started at the same
        // time do not all probe the same one.
        link.turn = jitter.next() as usize;
        link.probe(now, *domain, actions);
    }

    /// The hosts to ping next, in turn, of those for which `usable` holds, or
    /// of all where it holds for none.
    pub(super) fn choose(
        &mut self,
        pings: LinkPings,
        hosts: &[HostId],
        usable: impl Fn(HostId) -> bool,
    ) -> Vec<HostId> {
        let Some(link) = self.links.get_mut(&pings.domain) else {
            return Vec::new();
        };
        let start = link.turn % hosts.len().max(1);
        let in_turn = || (start..hosts.len()).chain(0..start);
        let mut chosen: Vec<usize> = in_turn()
            .filter(|position| usable(hosts[*position]))
            .take(pings.count)
            .collect();
        if chosen.is_empty() {
            chosen = in_turn().take(pings.count).collect();
        }
        link.turn = chosen.last().map_or(0, |last| last + 1);
        let chosen = chosen.into_iter();
        chosen.map(|position| hosts[position]).collect()
    }
}

impl DomainLink {
    fn is_waiting_in_vain(&self, now: Timestamp) -> bool {
        let probed = self.probed;
        probed.is_some_and(|probed| now.since(probed) >= STEP_TIMEOUT)
    }

    fn step(
        &mut self,
        now: Timestamp,
        domain: DomainId,
        connected: impl Fn() -> bool,
        actions: &mut LinkActions,
    ) {
        self.rounds += 1;
        let searching = self.ever_heard && !self.cut;
        if searching && self.rounds < CUT_ROUNDS {
            return self.probe(now, domain, actions);
        }
        // Guards against a storm when a whole domain is cut off: its hosts
        // would each be claimed dead, and refute it afterwards. It shows as
        // silence of all of them at once while others answer, and only the
        // domain is marked.
        if searching && connected() {
            self.cut = true;
            actions.cut.push(domain);
        }
        // Probed again in its turn, and no sooner.
        self.probed = None;
        self.rounds = 0;
        self.last_heard = now.before(LINK_SILENCE);
    }

    fn probe(&mut self, now: Timestamp, domain: DomainId, actions: &mut LinkActions) {
        self.probed = Some(now);
        let count = if self.rounds < SINGLE_ROUNDS { 1 } else { 2 };
        actions.pings.push(LinkPings { domain, count });
    }
}
