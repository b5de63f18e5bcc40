//! Handling of single messages: replays, reordering, refutation, and the
//! resulting effects of the control engine.

#![allow(clippy::unwrap_used, missing_docs)]

mod membership_network;

use std::time;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::control::membership::{
    MembershipContext, MembershipOutput, PeerMembership, PeerRejection, Reachability,
};
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::membership::{
    HostPosition, HostRumour, HostStanding, MembershipContent, MembershipHeader, MembershipMessage,
    RumourBatch,
};
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::*;

use membership_network::{
    Network, NetworkOptions, START, digest, domain, host_entry, host_name, host_table,
};

fn identity(index: usize) -> HostIdentity {
    HostIdentity {
        host: HostId::from_name(&host_name(index)),
        domain: domain(index % 3),
        incarnation: Incarnation::new(100),
    }
}

fn hosts() -> HostTable {
    host_table(1, (0..9).map(|index| host_entry(index, 3, HostPhase::Live)))
}

fn envelope(index: usize, incarnation: u64, sequence: u64) -> PeerEnvelope {
    PeerEnvelope {
        sender: HostId::from_name(&host_name(index)),
        incarnation: Incarnation::new(incarnation),
        sequence,
        message: PeerMessage::Membership(message(MembershipContent::Ping, None)),
    }
}

fn message(content: MembershipContent, rumours: Option<RumourBatch>) -> MembershipMessage {
    let header = MembershipHeader {
        digest: Some(digest(HostListVersion::new(1))),
        refutation: RefutationCount::ZERO,
        rumours,
    };
    MembershipMessage { header, content }
}

fn rumour(hosts: &HostTable, about: HostId, incarnation: u64, dead: bool) -> RumourBatch {
    let list = hosts.version;
    let mut ids = hosts.hosts.keys();
    let position = ids.position(|id| *id == about).unwrap() as u16;
    let position = HostPosition::new(position);
    let standing = HostStanding {
        incarnation: Incarnation::new(incarnation),
        refutation: RefutationCount::ZERO,
        dead,
    };
    let rumours = vec![HostRumour { position, standing }];
    RumourBatch { list, rumours }
}

fn handle(
    membership: &mut PeerMembership,
    now: Timestamp,
    envelope: &PeerEnvelope,
) -> MembershipOutput {
    let hosts = hosts();
    let context = MembershipContext {
        now,
        identity: identity(0),
        hosts: &hosts,
        digest: digest(hosts.version),
    };
    let mut output = MembershipOutput::default();
    membership.accept_message(now, envelope).unwrap();
    if let PeerMessage::Membership(message) = &envelope.message {
        membership.handle_message(&context, envelope, message, &mut output);
    }
    output
}

// The network reorders two messages of a peer. If the earlier one were rejected
// because it arrived late, a lease that it carries would be lost without need. A
// message that arrives twice must be rejected, and so must any message of an
// earlier incarnation.
#[test]
fn reordered_messages_are_accepted_and_replays_are_not() {
    let mut membership = PeerMembership::default();
    let mut note = |incarnation, sequence| {
        membership.accept_message(START, &envelope(1, incarnation, sequence))
    };
    assert_eq!(note(7, 300), Ok(()));
    assert_eq!(note(7, 298), Ok(()));
    assert_eq!(note(7, 299), Ok(()));
    assert_eq!(note(7, 298), Err(PeerRejection::Replayed));
    assert_eq!(note(7, 300), Err(PeerRejection::Replayed));
    assert_eq!(note(7, 173), Ok(()));
    assert_eq!(note(7, 172), Err(PeerRejection::Replayed));
    assert_eq!(note(7, 1000), Ok(()));
    assert_eq!(note(7, 300), Err(PeerRejection::Replayed));
    assert_eq!(note(6, 5000), Err(PeerRejection::Replayed));
    assert_eq!(note(8, 1), Ok(()));
    assert_eq!(note(7, 1001), Err(PeerRejection::Replayed));
}

// Other hosts claim that this host is dead, because it was slow. It must refute
// this with a higher refutation count than that of the claim. Otherwise the
// others would consider it dead forever.
#[test]
fn a_host_refutes_the_claim_that_it_is_dead() {
    let mut membership = PeerMembership::default();
    let hosts = hosts();
    let own = identity(0);
    let mut accusing = envelope(1, 7, 1);
    let claim = rumour(&hosts, own.host, own.incarnation.get(), true);
    accusing.message = PeerMessage::Membership(message(MembershipContent::Ping, Some(claim)));
    let output = handle(&mut membership, START, &accusing);
    let sends = output.sends.iter();
    let mut headers = sends.map(|send| &send.message.header);
    assert!(headers.all(|header| header.refutation == RefutationCount::new(1)));
    let mut rumours = output
        .sends
        .iter()
        .filter_map(|send| send.message.header.rumours.as_ref());
    assert!(rumours.any(|batch| {
        let mut standings = batch.rumours.iter().map(|rumour| rumour.standing);
        standings.any(|standing| {
            standing.incarnation == own.incarnation
                && standing.refutation == RefutationCount::new(1)
                && !standing.dead
        })
    }));
}

// A host that was claimed dead resumes after a pause and claims that a third host
// is dead. This claim is probably outdated, so claims of a host that is
// considered dead must be ignored until it has refuted the claim about itself.
// The answer to its ping must contain that claim.
#[test]
fn claims_of_a_host_considered_dead_are_ignored() {
    let mut membership = PeerMembership::default();
    let hosts = hosts();
    let (paused, third) = (identity(1).host, identity(2).host);
    handle(&mut membership, START, &envelope(2, 9, 1));
    let mut accusing = envelope(3, 5, 1);
    let claim = rumour(&hosts, paused, 7, true);
    accusing.message = PeerMessage::Membership(message(MembershipContent::Ping, Some(claim)));
    handle(&mut membership, START, &accusing);
    assert_eq!(membership.reachability(paused), Reachability::Dead);

    let mut late = envelope(1, 7, 900);
    let claim = rumour(&hosts, third, 9, true);
    late.message = PeerMessage::Membership(message(MembershipContent::Ping, Some(claim)));
    let output = handle(&mut membership, START, &late);
    assert_eq!(membership.reachability(paused), Reachability::Dead);
    assert_eq!(membership.reachability(third), Reachability::Alive);
    let answer = output
        .sends
        .iter()
        .find(|send| send.host == paused)
        .unwrap();
    let batch = answer.message.header.rumours.as_ref().unwrap();
    assert!(batch.rumours.iter().any(|rumour| rumour.standing.dead));

    let mut refuted = envelope(1, 7, 901);
    if let PeerMessage::Membership(message) = &mut refuted.message {
        message.header.refutation = RefutationCount::new(1);
    }
    handle(&mut membership, START, &refuted);
    assert_eq!(membership.reachability(paused), Reachability::Alive);
}

// A pong omits the digest if it is the same as that of the ping. It must be
// recorded all the same, because otherwise the peer would seem to have accepted
// no configuration.
#[test]
fn digests_of_neighbours_are_known() {
    let mut network = Network::<PeerMembership>::new(NetworkOptions::new(9, 0.0, 5));
    network.run(time::Duration::from_secs(20));
    for observer in 0..9 {
        let policy = &network.hosts[observer].policy;
        let mut peers = (0..9).filter_map(|target| policy.get(network.id(target)));
        assert!(peers.all(|peer| peer.digest == digest(HostListVersion::new(1000))));
    }
}

// The control engine as a whole must count and ignore messages of a host that is
// not listed, and must log when a listed host becomes reachable.
#[test]
fn control_logs_reachability_and_ignores_unlisted_hosts() {
    let mut control = ControlEngine::new(identity(0));
    let text = r#"{"hosts": {
        "host-0": {"domain": "domain-0", "traffic_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "relay_address": "127.0.0.1:3", "phase": "live"},
        "host-1": {"domain": "domain-1", "traffic_address": "127.0.0.1:4", "peer_address": "127.0.0.1:5", "relay_address": "127.0.0.1:6", "phase": "live"}
    }}"#;
    let mut effects = Vec::new();
    let mut sink = |effect: ControlEffect| effects.push(effect);
    let outcome = PlatformOutcome {
        request: PlatformRequest {
            key: PlatformKey::Hosts,
            after: None,
            wait: time::Duration::ZERO,
        },
        result: Ok(PlatformAnswer::Value {
            revision: 1,
            text: text.to_owned(),
        }),
    };
    control.handle(START, ControlEvent::Platform(outcome), &mut sink);
    control.handle(START, ControlEvent::Tick, &mut sink);
    control.handle(START, ControlEvent::Peer(envelope(1, 7, 1)), &mut sink);
    control.handle(START, ControlEvent::Peer(envelope(5, 7, 1)), &mut sink);
    let peer = HostId::from_name("host-1");
    assert!(control.membership().is_reachable(START, peer));
    let logged = |reachability| {
        effects.iter().any(|effect| match effect {
            ControlEffect::Decide(record) => {
                record.reason == DecisionReason::HostReachability(reachability)
                    && record.peer == Some(peer)
            }
            _ => false,
        })
    };
    assert!(logged(Reachability::Alive));
    assert!(
        effects
            .iter()
            .any(|effect| { matches!(effect, ControlEffect::Count(Counter::PeerUnlisted)) })
    );
}
