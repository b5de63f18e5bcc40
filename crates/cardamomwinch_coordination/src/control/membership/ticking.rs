//! What a host does as time passes.

use cardamomwinch_protocol::peer::membership::{
    HostStanding, MembershipContent, MembershipMessage,
};
use cardamomwinch_state::prelude::{DomainId, HostId};

use crate::control::membership::ring::{ProbeAction, ProbeEvidence, REST_INTERVAL};
use crate::control::membership::rumours::PUSH_LIMIT;
use crate::control::membership::{
    ISOLATED_AFTER, MembershipContext, MembershipEvent, MembershipOutput, MembershipSend,
    PeerMembership,
};

/// Others that are asked to ping a host that does not answer.
const HELPER_COUNT: usize = 2;
/// Hosts of the own domain that news is pushed to.
const NEAR_PUSHES: usize = 2;
/// Hosts of other domains that news is pushed to.
const FAR_PUSHES: usize = 1;
/// One in so many exchanges is with a host of another domain.
const FAR_EXCHANGE: usize = 2;

impl PeerMembership {
    /// Decides what is due. To be called about every 100 ms.
    pub fn tick(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        self.observe_time(context.now);
        self.last_tick = Some(context.now);
        self.refresh(context);
        self.probe_ring(context, output);
        self.probe_links(context, output);
        self.revive(context, output);
        self.compare(context, output);
        self.push_news(context, output);
        output.events.append(&mut self.events);
    }

    /// Takes over a list that was adopted since the last call.
    pub(super) fn refresh(&mut self, context: &MembershipContext<'_>) {
        self.observe_digest(context);
        if !self.view.refresh(context.identity, context.hosts) {
            return;
        }
        let hosts = context.hosts;
        self.jitter.seed(context.identity);
        self.lists.adopt(hosts);
        self.members.retain_listed(hosts);
        self.peers.retain_listed(context.now, hosts);
        self.ring.retain(|host| hosts.get(host).is_some());
        self.rumours.set_fleet_size(hosts.hosts.len());
        self.links.adopt(self.view.others().keys().copied());
    }

    fn neighbours(&self, context: &MembershipContext<'_>) -> Vec<HostId> {
        let usable = |host: &&HostId| {
            !self.members.is_dead(**host) && !self.ring.is_resting(context.now, **host)
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
            let heard = self.peers.last_heard(host);
            if self.ring.begin(context.now, host, heard) {
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
            target_heard: self.peers.last_heard(host),
            others_heard: self.peers.last_heard_besides(host),
            known: self.members.standing(host).is_some(),
        };
        let rest = self.jitter.around(REST_INTERVAL);
        match self.ring.step(context.now, host, evidence, rest) {
            ProbeAction::Wait => {}
            ProbeAction::Ping => self.send(context, host, MembershipContent::Ping, output),
            ProbeAction::AskOthers => self.ping_indirectly(context, host, output),
            ProbeAction::Suspect => {
                self.set_suspect(host, true);
                self.ping_indirectly(context, host, output);
            }
            ProbeAction::Finish => self.set_suspect(host, false),
            ProbeAction::Claim => self.claim_dead(host),
        }
    }

    fn claim_dead(&mut self, host: HostId) {
        if let Some(standing) = self.members.standing(host) {
            let dead = true;
            self.learn(host, HostStanding { dead, ..standing });
        }
    }

    fn ping_indirectly(
        &mut self,
        context: &MembershipContext<'_>,
        target: HostId,
        output: &mut MembershipOutput,
    ) {
        self.send(context, target, MembershipContent::Ping, output);
        let mut near = self.reachable_mates();
        near.retain(|host| *host != target);
        let far = self.reachable_strangers();
        // One of the own domain, and the others of other domains where they can.
        let mut helpers = self.jitter.sample(&near, 1);
        let missing = HELPER_COUNT - helpers.len();
        helpers.extend(self.jitter.sample(&far, missing));
        for helper in helpers {
            let content = MembershipContent::IndirectPing { target };
            self.send(context, helper, content, output);
        }
    }

    /// The hosts of the own domain that answer.
    fn reachable_mates(&self) -> Vec<HostId> {
        let mates = self.view.ring().iter().copied();
        mates.filter(|host| self.members.is_alive(*host)).collect()
    }

    /// The hosts of other domains that answer.
    fn reachable_strangers(&self) -> Vec<HostId> {
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
            now.since(peers.last_heard_where(outside)) < ISOLATED_AFTER
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

    /// Pings a host now and then that is dead or was never heard of, so that
    /// both sides of a cut within a domain find each other again.
    fn revive(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        if context.now < self.next_revival {
            return;
        }
        self.next_revival = context.now.after(self.jitter.around(REST_INTERVAL));
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

    fn compare(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        let missing = self.members.len() + 1 < context.hosts.hosts.len();
        if !self.exchange.due(context.now, missing, &mut self.jitter) {
            return;
        }
        let Some(host) = self.choose_exchange() else {
            return;
        };
        let theirs = self.peers.get(host).map(|peer| peer.digest.host_list);
        let Some(list) = self.lists.common(theirs.unwrap_or_default()) else {
            return;
        };
        let hashes = self.block_hashes(context, list);
        let header = self.header(context, host, 0);
        let content = MembershipContent::Exchange { list, hashes };
        let message = MembershipMessage { header, content };
        output.sends.push(MembershipSend { host, message });
    }

    fn choose_exchange(&mut self) -> Option<HostId> {
        if let Some(host) = self.exchange.take_preferred() {
            return Some(host);
        }
        let mates = self.reachable_mates();
        let strangers = self.reachable_strangers();
        let far = mates.is_empty() || self.jitter.below(FAR_EXCHANGE) == 0;
        let candidates = if far && !strangers.is_empty() {
            strangers
        } else {
            mates
        };
        self.jitter.sample(&candidates, 1).first().copied()
    }

    /// Sends news at once to a few hosts instead of waiting for the next probe.
    pub(super) fn push_news(
        &mut self,
        context: &MembershipContext<'_>,
        output: &mut MembershipOutput,
    ) {
        let messages = NEAR_PUSHES + FAR_PUSHES;
        if !self.rumours.begin_push(context.now, messages) {
            return;
        }
        let near = self.reachable_mates();
        let far = self.reachable_strangers();
        let mut targets = self.jitter.sample(&near, NEAR_PUSHES);
        targets.extend(self.jitter.sample(&far, FAR_PUSHES));
        for host in targets {
            let header = self.header(context, host, PUSH_LIMIT);
            let content = MembershipContent::Rumours;
            let message = MembershipMessage { header, content };
            output.sends.push(MembershipSend { host, message });
        }
    }
}
