//! Periodic work: probes, exchanges and pushes of rumours.

use cardamomwinch_protocol::peer::membership::{
    HostStanding, MembershipContent, MembershipMessage,
};
use cardamomwinch_state::prelude::{DomainId, HostId};

use crate::control::membership::ring::{ProbeAction, ProbeEvidence, RETRY_INTERVAL};
use crate::control::membership::rumours::MAX_PUSHED_RUMOURS;
use crate::control::membership::{
    ISOLATED_AFTER, MembershipContext, MembershipEvent, MembershipOutput, MembershipSend,
    PeerMembership,
};

/// How many other hosts are asked to ping a host that does not answer.
const HELPER_COUNT: usize = 2;
/// How many hosts of the own domain new rumours are pushed to.
const DOMAIN_PUSHES: usize = 2;
/// How many hosts of other domains new rumours are pushed to.
const OTHER_DOMAIN_PUSHES: usize = 1;
/// On average, one exchange in this number is with a host of another domain.
const OTHER_DOMAIN_EXCHANGE_PERIOD: usize = 2;

impl PeerMembership {
    /// Runs all periodic work that is due. To be called about every 100 ms.
    pub fn tick(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        self.detect_pause(context.now);
        self.last_tick = Some(context.now);
        self.refresh(context);
        self.probe_ring(context, output);
        self.probe_links(context, output);
        self.probe_lost_host(context, output);
        self.start_exchange(context, output);
        self.push_rumours(context, output);
        output.events.append(&mut self.events);
    }

    /// Applies the current digest and, if it has changed, the current host list.
    pub(super) fn refresh(&mut self, context: &MembershipContext<'_>) {
        self.track_digest(context);
        if !self.view.refresh(context.identity, context.hosts) {
            return;
        }
        let hosts = context.hosts;
        self.jitter.seed(context.identity);
        self.list_history.adopt(hosts);
        self.members.retain_listed(hosts);
        self.peers.retain_listed(context.now, hosts);
        self.ring.retain(|host| hosts.get(host).is_some());
        self.rumours.set_fleet_size(hosts.hosts.len());
        self.links.adopt(self.view.others().keys().copied());
    }

    fn neighbours(&self, context: &MembershipContext<'_>) -> Vec<HostId> {
        let usable = |host: &&HostId| {
            !self.members.is_dead(**host) && !self.ring.is_deferred(context.now, **host)
        };
        let ring = self.view.ring();
        let next = ring.iter().find(usable);
        let previous = ring.iter().rev().find(usable);
        let mut neighbours: Vec<HostId> = next.into_iter().chain(previous).copied().collect();
        neighbours.dedup();
        neighbours
    }

    fn probe_ring(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        for host in self.ring.targets() {
            self.step_probe(context, host, output);
        }
        for host in self.neighbours(context) {
            let last_received = self.peers.last_received(host);
            if self.ring.start(context.now, host, last_received) {
                self.send(context, host, MembershipContent::Ping, output);
            }
        }
    }

    fn step_probe(
        &mut self,
        context: &MembershipContext<'_>,
        host: HostId,
        output: &mut MembershipOutput,
    ) {
        let evidence = ProbeEvidence {
            target_received: self.peers.last_received(host),
            others_received: self.peers.last_received_except(host),
            known: self.members.standing(host).is_some(),
        };
        let retry_delay = self.jitter.around(RETRY_INTERVAL);
        match self.ring.step(context.now, host, evidence, retry_delay) {
            ProbeAction::Wait => {}
            ProbeAction::Ping => self.send(context, host, MembershipContent::Ping, output),
            ProbeAction::PingIndirectly => self.ping_indirectly(context, host, output),
            ProbeAction::Suspect => {
                self.set_suspect(host, true);
                self.ping_indirectly(context, host, output);
            }
            ProbeAction::Finish => self.set_suspect(host, false),
            ProbeAction::ClaimDead => self.claim_dead(host),
        }
    }

    fn claim_dead(&mut self, host: HostId) {
        if let Some(standing) = self.members.standing(host) {
            let dead = true;
            self.merge_claim(host, HostStanding { dead, ..standing });
        }
    }

    fn ping_indirectly(
        &mut self,
        context: &MembershipContext<'_>,
        target: HostId,
        output: &mut MembershipOutput,
    ) {
        self.send(context, target, MembershipContent::Ping, output);
        let mut own_domain = self.alive_in_domain();
        own_domain.retain(|host| *host != target);
        let other_domains = self.alive_in_other_domains();
        // One helper of the own domain; the rest come from other domains.
        let mut helpers = self.jitter.sample(&own_domain, 1);
        let missing = HELPER_COUNT - helpers.len();
        helpers.extend(self.jitter.sample(&other_domains, missing));
        for helper in helpers {
            let content = MembershipContent::IndirectPing { target };
            self.send(context, helper, content, output);
        }
    }

    /// The other hosts of the own domain that are alive.
    fn alive_in_domain(&self) -> Vec<HostId> {
        let peers = self.view.ring().iter().copied();
        peers.filter(|host| self.members.is_alive(*host)).collect()
    }

    /// The hosts that are alive in other domains that are not cut off.
    fn alive_in_other_domains(&self) -> Vec<HostId> {
        let domains = self.view.others().iter();
        domains
            .filter(|(domain, _)| !self.links.is_cut(**domain))
            .flat_map(|(_, hosts)| hosts)
            .copied()
            .filter(|host| self.members.is_alive(*host))
            .collect()
    }

    fn probe_links(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        let now = context.now;
        let Self {
            links,
            jitter,
            view,
            peers,
            ..
        } = self;
        let connected = |domain: DomainId| {
            let outside = |host| view.domain_of(host).is_some_and(|of| of != domain);
            now.since(peers.last_received_where(outside)) < ISOLATED_AFTER
        };
        let actions = links.step(now, connected, jitter);
        for pings in actions.pings {
            let hosts = self.view.hosts_of(pings.domain);
            let usable = |host| !self.members.is_dead(host);
            for host in self.links.choose(pings, hosts, usable) {
                self.send(context, host, MembershipContent::Ping, output);
            }
        }
        for domain in actions.cut {
            let reachable = false;
            self.events
                .push(MembershipEvent::Domain { domain, reachable });
        }
    }

    /// From time to time pings a host of the own domain that is dead or unknown,
    /// so that both sides of a network partition within the domain find each
    /// other again.
    fn probe_lost_host(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        if context.now < self.next_lost_probe {
            return;
        }
        self.next_lost_probe = context.now.after(self.jitter.around(RETRY_INTERVAL));
        let lost = |host: &HostId| {
            let standing = self.members.standing(*host);
            standing.is_none_or(|standing| standing.dead)
        };
        let ring = self.view.ring().iter().copied();
        let lost: Vec<HostId> = ring.filter(lost).collect();
        for host in self.jitter.sample(&lost, 1) {
            self.send(context, host, MembershipContent::Ping, output);
        }
    }

    fn start_exchange(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        let hosts_missing = self.members.len() + 1 < context.hosts.hosts.len();
        if !self
            .exchange
            .due(context.now, hosts_missing, &mut self.jitter)
        {
            return;
        }
        let Some(host) = self.choose_exchange_partner() else {
            return;
        };
        let theirs = self.peers.get(host).map(|peer| peer.digest.host_list);
        let Some(list) = self.list_history.common_version(theirs.unwrap_or_default()) else {
            return;
        };
        let hashes = self.block_hashes(context, list);
        let header = self.header(context, host, 0);
        let content = MembershipContent::Exchange { list, hashes };
        let message = MembershipMessage { header, content };
        output.sends.push(MembershipSend { host, message });
    }

    fn choose_exchange_partner(&mut self) -> Option<HostId> {
        if let Some(host) = self.exchange.take_preferred() {
            return Some(host);
        }
        let own_domain = self.alive_in_domain();
        let other_domains = self.alive_in_other_domains();
        let prefer_other =
            own_domain.is_empty() || self.jitter.below(OTHER_DOMAIN_EXCHANGE_PERIOD) == 0;
        let candidates = if prefer_other && !other_domains.is_empty() {
            other_domains
        } else {
            own_domain
        };
        self.jitter.sample(&candidates, 1).first().copied()
    }

    /// Sends new rumours to a few hosts immediately instead of waiting for the
    /// next probe.
    pub(super) fn push_rumours(
        &mut self,
        context: &MembershipContext<'_>,
        output: &mut MembershipOutput,
    ) {
        let messages = DOMAIN_PUSHES + OTHER_DOMAIN_PUSHES;
        if !self.rumours.begin_push(context.now, messages) {
            return;
        }
        let own_domain = self.alive_in_domain();
        let other_domains = self.alive_in_other_domains();
        let mut targets = self.jitter.sample(&own_domain, DOMAIN_PUSHES);
        targets.extend(self.jitter.sample(&other_domains, OTHER_DOMAIN_PUSHES));
        for host in targets {
            let header = self.header(context, host, MAX_PUSHED_RUMOURS);
            let content = MembershipContent::Rumours;
            let message = MembershipMessage { header, content };
            output.sends.push(MembershipSend { host, message });
        }
    }
}
