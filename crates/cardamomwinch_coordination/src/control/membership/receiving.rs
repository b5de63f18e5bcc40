//! Handles membership messages of other hosts.

use std::time;

use cardamomwinch_protocol::peer::membership::{
    HostRumour, HostStanding, MembershipContent, MembershipHeader, MembershipMessage, RumourBatch,
};
use cardamomwinch_protocol::prelude::PeerEnvelope;
use cardamomwinch_state::prelude::{HostId, HostListVersion, RefutationCount, Timestamp};

use crate::control::membership::exchange::{self, MAX_DIFFERENCE_CLAIMS};
use crate::control::membership::rumours::MAX_ATTACHED_RUMOURS;
use crate::control::membership::{
    MembershipContext, MembershipOutput, MembershipSend, PeerMembership,
};

/// How long this host waits for a message from a host that it pings on behalf
/// of another.
const RELAYED_PING_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// The maximum number of pings on behalf of others at the same time.
const MAX_RELAYED_PINGS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct RelayedPing {
    requester: HostId,
    target: HostId,
    until: Timestamp,
}

/// The pings that this host sends on behalf of others that could not reach the
/// target.
#[derive(Debug, Default)]
pub(super) struct RelayedPings {
    pings: Vec<RelayedPing>,
}

impl RelayedPings {
    pub(super) fn clear(&mut self) {
        self.pings.clear();
    }

    fn add(&mut self, now: Timestamp, requester: HostId, target: HostId) {
        self.pings.retain(|ping| {
            ping.until > now && (ping.requester, ping.target) != (requester, target)
        });
        if self.pings.len() < MAX_RELAYED_PINGS {
            let until = now.after(RELAYED_PING_TIMEOUT);
            self.pings.push(RelayedPing {
                requester,
                target,
                until,
            });
        }
    }

    /// Removes the pings of `target`, and returns the hosts that requested them.
    fn take_requesters(&mut self, now: Timestamp, target: HostId) -> Vec<HostId> {
        let (answered, rest) = std::mem::take(&mut self.pings)
            .into_iter()
            .filter(|ping| ping.until > now)
            .partition(|ping| ping.target == target);
        self.pings = rest;
        let answered: Vec<RelayedPing> = answered;
        answered.into_iter().map(|ping| ping.requester).collect()
    }
}

impl PeerMembership {
    /// Handles a membership message that [`PeerMembership::accept_message`] has accepted.
    pub fn handle_message(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        output: &mut MembershipOutput,
    ) {
        self.refresh(context);
        let sender = envelope.sender;
        // A host that is considered dead may have been paused, so that its claims
        // about others are outdated. They are ignored until it has refuted the
        // claim that it is dead, which the answer to its ping contains.
        let trusted = !self.members.is_dead(sender);
        if trusted && let Some(batch) = &message.header.rumours {
            let from_exchange = message.content == MembershipContent::Difference;
            self.apply_rumours(context, batch, from_exchange);
        } else if let Some(batch) = &message.header.rumours {
            self.apply_rumours_about_self(context, batch);
        }
        self.answer(context, envelope, message, trusted, output);
        if trusted {
            self.report_relayed_pings(context, envelope, message.header.refutation, output);
        }
        self.push_rumours(context, output);
        output.events.append(&mut self.events);
    }

    fn answer(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        trusted: bool,
        output: &mut MembershipOutput,
    ) {
        let sender = envelope.sender;
        match &message.content {
            MembershipContent::Ping => {
                let mut header = self.header(context, sender, MAX_ATTACHED_RUMOURS);
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
                self.handle_pong(*sequence);
                if message.digest().is_none() {
                    self.record_same_digest(context.now, sender);
                }
            }
            MembershipContent::IndirectPing { target } if trusted => {
                self.relayed_pings.add(context.now, sender, *target);
                self.send(context, *target, MembershipContent::Ping, output);
            }
            MembershipContent::IndirectPong { target, standing } if trusted => {
                self.merge_claim(*target, *standing);
                self.ring.confirm(*target);
            }
            MembershipContent::Exchange { list, hashes } => {
                self.answer_exchange(context, sender, *list, hashes, output);
            }
            _ => {}
        }
    }

    fn report_relayed_pings(
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
        for requester in self.relayed_pings.take_requesters(context.now, target) {
            let content = MembershipContent::IndirectPong { target, standing };
            self.send(context, requester, content, output);
        }
    }

    fn apply_rumours(
        &mut self,
        context: &MembershipContext<'_>,
        batch: &RumourBatch,
        from_exchange: bool,
    ) {
        for rumour in &batch.rumours {
            let Some(host) = self.list_history.host(batch.list, rumour.position) else {
                continue;
            };
            if host == context.identity.host {
                self.refute(context, rumour.standing);
            } else if context.hosts.get(host).is_some() {
                // A claim from an exchange has already spread as a rumour.
                if self.merge_claim(host, rumour.standing) && from_exchange {
                    self.rumours.withdraw(host);
                }
            }
        }
    }

    fn apply_rumours_about_self(&mut self, context: &MembershipContext<'_>, batch: &RumourBatch) {
        for rumour in &batch.rumours {
            let host = self.list_history.host(batch.list, rumour.position);
            if host == Some(context.identity.host) {
                self.refute(context, rumour.standing);
            }
        }
    }

    /// Refutes a claim that this host is dead, if it is about the current
    /// incarnation, by raising the refutation count above that of the claim.
    fn refute(&mut self, context: &MembershipContext<'_>, standing: HostStanding) {
        let own = context.identity.incarnation;
        if standing.dead && standing.incarnation == own && standing.refutation >= self.refutation {
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
        let differing = exchange::blocks(self.list_history.hosts(list))
            .zip(hashes.iter().zip(theirs))
            .filter(|(_, (own, theirs))| own != theirs);
        let mut claims = Vec::new();
        for host in differing.flat_map(|(block, _)| block) {
            claims.extend(self.rumour(context, list, *host));
        }
        if claims.is_empty() {
            return;
        }
        let rumours = self.jitter.sample(&claims, MAX_DIFFERENCE_CLAIMS);
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
        let blocks = exchange::blocks(self.list_history.hosts(list));
        blocks
            .map(|block| {
                let standings = block.iter().map(|host| self.claim_about(context, *host));
                exchange::block_hash(standings)
            })
            .collect()
    }

    /// This host's claim about `host`, which may be itself.
    fn claim_about(&self, context: &MembershipContext<'_>, host: HostId) -> Option<HostStanding> {
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
        let position = self.list_history.position(list, host)?;
        let standing = self.claim_about(context, host)?;
        Some(HostRumour { position, standing })
    }

    /// Builds the header of a message to `host` with up to `limit` rumours. If
    /// `host` is considered dead, the claim is included so that it can refute
    /// it.
    pub(super) fn header(
        &mut self,
        context: &MembershipContext<'_>,
        host: HostId,
        limit: usize,
    ) -> MembershipHeader {
        let theirs = self.peers.get(host).map(|peer| peer.digest.host_list);
        let list = self.list_history.common_version(theirs.unwrap_or_default());
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
        let mut header = self.header(context, host, MAX_ATTACHED_RUMOURS);
        if content == MembershipContent::Ping {
            header.digest = Some(context.digest);
        }
        let message = MembershipMessage { header, content };
        output.sends.push(MembershipSend { host, message });
    }
}
