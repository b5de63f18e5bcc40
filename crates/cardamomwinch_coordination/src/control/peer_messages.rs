//! Sends control messages to other hosts and handles those received.

use std::net;

use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::peer::membership::MembershipMessage;
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, Timestamp};

use crate::control::ControlEngine;
use crate::control::adoption::ConfigurationAdoption;
use crate::control::effect::{ControlEffect, ControlSink};
use crate::control::membership::{MembershipContext, MembershipOutput};
use crate::counter::Counter;
use crate::identity::HostIdentity;

impl ControlEngine {
    pub(super) fn send<S: ControlSink>(
        &mut self,
        host: HostId,
        message: PeerMessage,
        sink: &mut S,
    ) {
        let entry = self.adoption.hosts().get(host);
        if let Some(address) = entry.map(|entry| entry.peer_address) {
            self.send_to(host, address, message, sink);
        }
    }

    pub(super) fn send_to<S: ControlSink>(
        &mut self,
        host: HostId,
        address: net::SocketAddr,
        message: PeerMessage,
        sink: &mut S,
    ) {
        let envelope = PeerEnvelope {
            sender: self.identity.host,
            incarnation: self.identity.incarnation,
            sequence: self.membership.next_sequence(),
            message,
        };
        sink.emit(ControlEffect::ToPeer {
            host,
            address,
            envelope,
        });
    }

    pub(super) fn handle_peer_message<S: ControlSink>(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
        sink: &mut S,
    ) {
        if self.adoption.hosts().get(envelope.sender).is_none() {
            if let PeerMessage::Configuration(message) = &envelope.message {
                // A host that is starting or has an old list also accepts
                // configuration from hosts that its own list does not contain.
                // This is safe because merging never replaces newer state by
                // older.
                return self.handle_configuration_message(now, envelope.sender, message, sink);
            }
            return sink.emit(ControlEffect::Count(Counter::PeerUnlisted));
        }
        let known = self
            .membership
            .get(envelope.sender)
            .map(|peer| peer.incarnation);
        if self.membership.accept_message(now, envelope).is_err() {
            // Configuration messages may arrive out of order: merging one never
            // replaces newer state by older, but dropping an offer because a
            // later heartbeat arrived first would leave this host outdated.
            if let PeerMessage::Configuration(message) = &envelope.message
                && known.is_none_or(|known| known <= envelope.incarnation)
            {
                return self.handle_configuration_message(now, envelope.sender, message, sink);
            }
            return sink.emit(ControlEffect::Count(Counter::PeerReplayed));
        }
        self.last_contact = now;
        match &envelope.message {
            PeerMessage::Membership(message) => {
                self.handle_membership_message(now, envelope, message, sink);
                if let Some(digest) = message.digest() {
                    let mut effects = Vec::new();
                    let sender = envelope.sender;
                    self.adoption
                        .handle_digest(now, sender, digest, &mut effects);
                    self.apply_adoption_effects(now, effects, sink);
                }
            }
            PeerMessage::Home(message) => self.handle_home_message(now, envelope, message, sink),
            PeerMessage::Configuration(message) => {
                self.handle_configuration_message(now, envelope.sender, message, sink);
            }
        }
    }

    pub(super) fn handle_configuration_message<S: ControlSink>(
        &mut self,
        now: Timestamp,
        sender: HostId,
        message: &ConfigurationMessage,
        sink: &mut S,
    ) {
        let mut effects = Vec::new();
        self.adoption
            .handle_message(now, sender, message, &mut effects);
        self.apply_adoption_effects(now, effects, sink);
    }

    pub(super) fn handle_membership_message<S: ControlSink>(
        &mut self,
        now: Timestamp,
        envelope: &PeerEnvelope,
        message: &MembershipMessage,
        sink: &mut S,
    ) {
        let mut output = MembershipOutput::default();
        let context = membership_context(now, self.identity, &self.adoption);
        self.membership
            .handle_message(&context, envelope, message, &mut output);
        self.apply_membership(now, output, sink);
    }

    pub(super) fn apply_membership<S: ControlSink>(
        &mut self,
        now: Timestamp,
        output: MembershipOutput,
        sink: &mut S,
    ) {
        for event in output.events {
            let record = self.membership_record(now, event);
            sink.emit(ControlEffect::Decide(record));
        }
        for send in output.sends {
            self.send(send.host, PeerMessage::Membership(send.message), sink);
        }
    }
}

pub(super) fn membership_context(
    now: Timestamp,
    identity: HostIdentity,
    adoption: &ConfigurationAdoption,
) -> MembershipContext<'_> {
    MembershipContext {
        now,
        identity,
        hosts: adoption.hosts(),
        digest: adoption.digest(),
    }
}
