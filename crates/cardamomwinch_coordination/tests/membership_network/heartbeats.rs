//! The baseline: every host pings every other host four times a second and
//! considers a host reachable if it received a message from it within the last
//! second.

use std::time;

use cardamomwinch_coordination::control::membership::{
    MembershipContext, MembershipEvent, MembershipOutput, MembershipSend, Reachability,
};
use cardamomwinch_protocol::peer::membership::{
    MembershipContent, MembershipHeader, MembershipMessage,
};
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, Incarnation, RefutationCount, SortedVector, Timestamp};

use super::policy::MembershipPolicy;

const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
const REACHABLE_FOR: time::Duration = time::Duration::from_millis(1000);

#[derive(Debug, Clone, Copy)]
struct KnownPeer {
    incarnation: Incarnation,
    sequence: u64,
    last_received: Timestamp,
    lost: bool,
}

/// All-to-all heartbeats.
#[derive(Debug, Default)]
pub struct HeartbeatPolicy {
    peers: SortedVector<HostId, KnownPeer>,
    sequence: u64,
    next_heartbeat: Timestamp,
}

impl MembershipPolicy for HeartbeatPolicy {
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn tick(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        for (host, peer) in self.peers.iter_mut() {
            let lost = context.now.since(peer.last_received) >= REACHABLE_FOR;
            if lost && !peer.lost {
                let (host, reachability) = (*host, Reachability::Dead);
                let event = MembershipEvent::Host { host, reachability };
                output.events.push(event);
            }
            peer.lost = lost;
        }
        if context.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = context.now.after(HEARTBEAT_INTERVAL);
        for host in context.hosts.hosts.keys().copied() {
            if host != context.identity.host {
                let message = message(context, MembershipContent::Ping);
                output.sends.push(MembershipSend { host, message });
            }
        }
    }

    fn receive(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        output: &mut MembershipOutput,
    ) -> bool {
        let order = (envelope.incarnation, envelope.sequence);
        let known = self.peers.get(&envelope.sender);
        if known.is_some_and(|known| order <= (known.incarnation, known.sequence)) {
            return false;
        }
        let peer = KnownPeer {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
            last_received: context.now,
            lost: false,
        };
        self.peers.insert(envelope.sender, peer);
        if let PeerMessage::Membership(received) = &envelope.message
            && received.content == MembershipContent::Ping
        {
            let host = envelope.sender;
            let sequence = envelope.sequence;
            let message = message(context, MembershipContent::Pong { sequence });
            output.sends.push(MembershipSend { host, message });
        }
        true
    }

    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        let peer = self.peers.get(&host);
        peer.is_some_and(|peer| now.since(peer.last_received) < REACHABLE_FOR)
    }
}

fn message(context: &MembershipContext<'_>, content: MembershipContent) -> MembershipMessage {
    let header = MembershipHeader {
        digest: Some(context.digest),
        refutation: RefutationCount::ZERO,
        rumours: None,
    };
    MembershipMessage { header, content }
}
