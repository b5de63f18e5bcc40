//! The interface between the simulated network and a membership protocol, so
//! that several protocols can be compared.

use std::fmt;

use cardamomwinch_coordination::control::membership::{
    MembershipContext, MembershipOutput, PeerMembership,
};
use cardamomwinch_protocol::prelude::{PeerEnvelope, PeerMessage};
use cardamomwinch_state::prelude::{HostId, Timestamp};

/// A membership protocol.
pub trait MembershipPolicy: Default + fmt::Debug {
    fn next_sequence(&mut self) -> u64;

    fn tick(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput);

    /// Handles a message, and returns whether it was accepted.
    fn receive(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        output: &mut MembershipOutput,
    ) -> bool;

    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool;
}

impl MembershipPolicy for PeerMembership {
    fn next_sequence(&mut self) -> u64 {
        self.next_sequence()
    }

    fn tick(&mut self, context: &MembershipContext<'_>, output: &mut MembershipOutput) {
        self.tick(context, output);
    }

    fn receive(
        &mut self,
        context: &MembershipContext<'_>,
        envelope: &PeerEnvelope,
        output: &mut MembershipOutput,
    ) -> bool {
        if self.accept_message(context.now, envelope).is_err() {
            return false;
        }
        if let PeerMessage::Membership(message) = &envelope.message {
            self.handle_message(context, envelope, message, output);
        }
        true
    }

    fn is_reachable(&self, now: Timestamp, host: HostId) -> bool {
        self.is_reachable(now, host)
    }
}
