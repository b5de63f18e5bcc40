//! What a host does about messages of others.

use std::time;

use cardamomwinch_protocol::peer::membership::{
    HostRumour, HostStanding, MembershipContent, MembershipHeader, MembershipMessage, RumourBatch,
};
use cardamomwinch_protocol::prelude::PeerEnvelope;
use cardamomwinch_state::prelude::{HostId, HostListVersion, RefutationCount, Timestamp};

use crate::control::membership::exchange::{self, DIFFERENCE_LIMIT};
use crate::control::membership::rumours::PIGGYBACK_LIMIT;
use crate::control::membership::{
    MembershipContext, MembershipOutput, MembershipSend, PeerMembership,
};

/// How long a host waits for an answer on behalf of another.
const DUTY_TIME: time::Duration = time::Duration::from_millis(400);
/// Hosts on whose behalf one waits at the same time, at most.
const DUTY_LIMIT: usize = 64;

#[derive(Debug, Clone, Copy)]
struct IndirectDuty {
    asker: HostId,
    target: HostId,
    until: Timestamp,
}

/// The indirect pings that this host makes for others.
#[derive(Debug, Default)]
pub(super) struct IndirectDuties {
    duties: Vec<IndirectDuty>,
}

impl IndirectDuties {
    pub(super) fn clear(&mut self) {
        self.duties.clear();
    }

    fn add(&mut self, now: Timestamp, asker: HostId, target: HostId) {
        self.duties
            .retain(|duty| duty.until > now && (duty.asker, duty.target) != (asker, target));
        if self.duties.len() < DUTY_LIMIT {
            let until = now.after(DUTY_TIME);
            self.duties.push(IndirectDuty {
                asker,
                target,
                until,
            });
        }
    }

    /// The hosts that wait to hear of `target`.
    fn answered(&mut self, now: Timestamp, target: HostId) -> Vec<HostId> {
        let (answered, rest) = std::mem::take(&mut self.duties)
            .into_iter()
            .filter(|duty| duty.until > now)
            .partition(|duty| duty.target == target);
        self.duties = rest;
        let answered: Vec<IndirectDuty> = answered;
        answered.into_iter().map(|duty| duty.asker).collect()
    }
}

impl PeerMembership {
    /// Decides about a message that [`PeerMembership::note`] has taken.
    pub fn take(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        output: &mut MembershipOutput,
    ) {
        self.refresh(context);
        let sender = envelope.sender;
        // Guards against a host that wakes late: until it has refuted its own
        // death it does not know how much it missed, so nothing it claims of
        // others is taken. Its ping is answered with the claim about itself.
        let believed = !self.members.is_dead(sender);
        if believed && let Some(batch) = &message.header.rumours {
            let repair = message.content == MembershipContent::Difference;
            self.take_rumours(context, batch, repair);
        } else if let Some(batch) = &message.header.rumours {
            self.take_own_obituary(context, batch);
        }
        self.answer(context, envelope, message, believed, output);
        if believed {
            self.fulfil_duties(context, envelope, message.header.refutation, output);
        }
        self.push_news(context, output);
        output.events.append(&mut self.events);
    }

    fn answer(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        believed: bool,
        output: &mut MembershipOutput,
    ) {
        let sender = envelope.sender;
        match &message.content {
            MembershipContent::Ping => {
                let mut header = self.header(context, sender, PIGGYBACK_LIMIT);
                if message.digest() != Some(context.digest) {
                    header.digest = Some(context.digest);
                }
                let sequence = envelope.sequence;
                let content = MembershipContent::Pong { sequence };
                let message = MembershipMessage { header, content };
                let host = sender;
                output.sends.push(MembershipSend { host, message });
            }
            MembershipContent::Pong { sequence } => {
                self.confirm(*sequence);
                if message.digest().is_none() {
                    self.note_same_digest(context.now, sender);
                }
            }
            MembershipContent::IndirectPing { target } if believed => {
                self.duties.add(context.now, sender, *target);
                self.send(context, *target, MembershipContent::Ping, output);
            }
            MembershipContent::IndirectPong { target, standing } if believed => {
                self.learn(*target, *standing);
                self.ring.confirm(*target);
            }
            MembershipContent::Exchange { list, hashes } => {
                self.answer_exchange(context, sender, *list, hashes, output);
            }
            _ => {}
        }
    }

    fn fulfil_duties(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        refutation: RefutationCount,
        output: &mut MembershipOutput,
    ) {
        let target = envelope.sender;
        let standing = HostStanding {
            incarnation: envelope.incarnation,
            refutation,
            dead: false,
        };
        for asker in self.duties.answered(context.now, target) {
            let content = MembershipContent::IndirectPong { target, standing };
            self.send(context, asker, content, output);
        }
    }

    fn take_rumours(&mut self, context: &MembershipContext<'_>, batch: &RumourBatch, repair: bool) {
        for rumour in &batch.rumours {
            let Some(host) = self.lists.host(batch.list, rumour.position) else {
                continue;
            };
            if host == context.identity.host {
                self.refute(context, rumour.standing);
            } else if context.hosts.get(host).is_some() {
                // A claim that came by way of repair has made its rounds.
                if self.learn(host, rumour.standing) && repair {
                    self.rumours.withdraw(host);
                }
            }
        }
    }

    fn take_own_obituary(&mut self, context: &MembershipContext<'_>, batch: &RumourBatch) {
        for rumour in &batch.rumours {
            let host = self.lists.host(batch.list, rumour.position);
            if host == Some(context.identity.host) {
                self.refute(context, rumour.standing);
            }
        }
    }

    /// Contradicts the claim that this host is dead in its present life.
    fn refute(&mut self, context: &MembershipContext<'_>, standing: HostStanding) {
        let mine = context.identity.incarnation;
        if standing.dead && standing.incarnation == mine && standing.refutation >= self.refutation {
            let next = RefutationCount::new(1);
            self.refutation = standing.refutation.saturating_add(next);
            self.rumours.push(context.identity.host);
        }
    }

    fn answer_exchange(
        &mut self,
        context: &MembershipContext<'_>,
        sender: HostId,
        list: HostListVersion,
        theirs: &[u32],
        output: &mut MembershipOutput,
    ) {
        let hashes = self.block_hashes(context, list);
        if hashes.len() != theirs.len() {
            return;
        }
        let differing = exchange::blocks(self.lists.hosts(list))
            .zip(hashes.iter().zip(theirs))
            .filter(|(_, (mine, theirs))| mine != theirs);
        let mut claims = Vec::new();
        for host in differing.flat_map(|(block, _)| block) {
            claims.extend(self.rumour(context, list, *host));
        }
        if claims.is_empty() {
            return;
        }
        let rumours = self.jitter.sample(&claims, DIFFERENCE_LIMIT);
        let mut header = self.header(context, sender, 0);
        header.rumours = Some(RumourBatch { list, rumours });
        let content = MembershipContent::Difference;
        let message = MembershipMessage { header, content };
        let host = sender;
        output.sends.push(MembershipSend { host, message });
    }

    pub(super) fn block_hashes(
        &self,
        context: &MembershipContext<'_>,
        list: HostListVersion,
    ) -> Vec<u32> {
        let blocks = exchange::blocks(self.lists.hosts(list));
        blocks
            .map(|block| {
                let standings = block.iter().map(|host| self.standing(context, *host));
                exchange::block_hash(standings)
            })
            .collect()
    }

    /// What this host claims of `host`, which may be itself.
    fn standing(&self, context: &MembershipContext<'_>, host: HostId) -> Option<HostStanding> {
        if host != context.identity.host {
            return self.members.standing(host);
        }
        Some(HostStanding {
            incarnation: context.identity.incarnation,
            refutation: self.refutation,
            dead: false,
        })
    }

    fn rumour(
        &self,
        context: &MembershipContext<'_>,
        list: HostListVersion,
        host: HostId,
    ) -> Option<HostRumour> {
        let position = self.lists.position(list, host)?;
        let standing = self.standing(context, host)?;
        Some(HostRumour { position, standing })
    }

    /// The header of a message to `host`, with up to `limit` rumours. A host
    /// that is held to be dead is told so, that it may refute it.
    pub(super) fn header(
        &mut self,
        context: &MembershipContext<'_>,
        host: HostId,
        limit: usize,
    ) -> MembershipHeader {
        let theirs = self.peers.get(host).map(|peer| peer.digest.host_list);
        let list = self.lists.common(theirs.unwrap_or_default());
        let rumours = list.and_then(|list| {
            let mut about = self.rumours.take(context.now, limit);
            if self.members.is_dead(host) && !about.contains(&host) {
                about.push(host);
            }
            let rumours: Vec<HostRumour> = about
                .into_iter()
                .filter_map(|about| self.rumour(context, list, about))
                .collect();
            (!rumours.is_empty()).then_some(RumourBatch { list, rumours })
        });
        MembershipHeader {
            digest: None,
            refutation: self.refutation,
            rumours,
        }
    }

    pub(super) fn send(
        &mut self,
        context: &MembershipContext<'_>,
        host: HostId,
        content: MembershipContent,
        output: &mut MembershipOutput,
    ) {
        let mut header = self.header(context, host, PIGGYBACK_LIMIT);
        if content == MembershipContent::Ping {
            header.digest = Some(context.digest);
        }
        let message = MembershipMessage { header, content };
        output.sends.push(MembershipSend { host, message });
    }
}
