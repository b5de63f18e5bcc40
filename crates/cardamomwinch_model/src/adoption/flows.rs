//! The steps of the flow: where hosts send its packets.

use crate::adoption::state::{AdoptionState, FlowState, ServerChoice, VersionNumber};
use crate::adoption::{
    AdoptionAction, AdoptionMistake, AdoptionProperty, AdoptionSpecification, HOST_COUNT,
    HostIndex, LAST_VERSION, LastChange, REMOTE_HOST, StepSink,
};

/// The first version in which the first server gets no new flows.
const DRAINING_VERSION: VersionNumber = 2;

/// How the server of a packet was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerSource {
    Token,
    Pin,
    Relayed,
    Waiting,
    Table,
}

impl AdoptionSpecification {
    pub(crate) fn push_flow(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        match state.flow {
            FlowState::Unopened => self.push_opens(state, sink),
            FlowState::Open(server) => {
                for host in (0..HOST_COUNT).filter(|host| state.hosts[*host].acts()) {
                    self.push_carry(state, host, server, sink);
                    self.push_relayed(state, host, server, sink);
                    self.push_waiting(state, host, server, sink);
                }
            }
            FlowState::Over => {}
        }
    }

    /// Returns the servers in the lookup table of `version`.
    fn table(&self, version: VersionNumber) -> &'static [ServerChoice] {
        let listed = self.makes(AdoptionMistake::DrainingListed) && version == DRAINING_VERSION;
        match version {
            0 => &[],
            _ if version < DRAINING_VERSION || listed => {
                &[ServerChoice::First, ServerChoice::Second]
            }
            _ => &[ServerChoice::Second],
        }
    }

    fn push_opens(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        for host in (0..REMOTE_HOST).filter(|host| state.hosts[*host].acts()) {
            let version = state.hosts[host].version;
            for server in self.table(version) {
                let mut next = *state;
                next.flow = FlowState::Open(*server);
                next.hosts[host].pinned = true;
                if *server == ServerChoice::First && version >= DRAINING_VERSION {
                    next.fail(AdoptionProperty::DrainingSpared);
                }
                self.check_packet(&mut next, host, *server);
                sink.push(AdoptionAction::Open(host, *server), next);
            }
        }
    }

    fn push_carry(
        &self,
        state: &AdoptionState,
        host: HostIndex,
        server: ServerChoice,
        sink: &mut StepSink<'_>,
    ) {
        let action = AdoptionAction::Carry(host);
        if self.bounds.echoes_token && !self.makes(AdoptionMistake::TableBeforeToken) {
            self.push_sent(state, host, server, ServerSource::Token, action, sink);
            return;
        }
        // Without a token, the home of the flow is the host that pins it.
        let mut homes = (0..REMOTE_HOST).filter(|home| state.reaches(host, *home));
        let pinned = (0..REMOTE_HOST).any(|home| state.hosts[home].pinned);
        if pinned && !self.bounds.echoes_token {
            let home = homes.find(|home| state.hosts[*home].pinned);
            if let Some(home) = home.filter(|home| state.hosts[*home].acts()) {
                self.push_sent(state, home, server, ServerSource::Pin, action, sink);
            }
            return;
        }
        for home in homes.filter(|home| state.hosts[*home].acts()) {
            for picked in self.table(state.hosts[home].version) {
                self.push_sent(state, home, *picked, ServerSource::Table, action, sink);
            }
        }
    }

    /// A host relays a packet with the server that it knows. The receiver may
    /// have adopted another version.
    fn push_relayed(
        &self,
        state: &AdoptionState,
        host: HostIndex,
        server: ServerChoice,
        sink: &mut StepSink<'_>,
    ) {
        let known = state.hosts[host].pinned && !self.is_reassigned(state, host, server);
        if known && state.relayed.is_none() && !self.bounds.echoes_token {
            let mut next = *state;
            next.relayed = Some(server);
            sink.push(AdoptionAction::Relay(host), next);
        }
        if let Some(decided) = state.relayed.filter(|_| host != REMOTE_HOST) {
            let mut received = *state;
            received.relayed = None;
            let action = AdoptionAction::TakeRelayed(host);
            self.push_sent(
                &received,
                host,
                decided,
                ServerSource::Relayed,
                action,
                sink,
            );
        }
    }

    /// A request may wait at a home while that home adopts another version.
    fn push_waiting(
        &self,
        state: &AdoptionState,
        host: HostIndex,
        server: ServerChoice,
        sink: &mut StepSink<'_>,
    ) {
        let home = state.hosts[host];
        if home.waiting {
            let mut sent = *state;
            sent.hosts[host].waiting = false;
            let action = AdoptionAction::SendWaiting(host);
            self.push_sent(&sent, host, server, ServerSource::Waiting, action, sink);
        } else if home.pinned && !self.is_reassigned(state, host, server) {
            let mut next = *state;
            next.hosts[host].waiting = true;
            sink.push(AdoptionAction::Hold(host), next);
        }
    }

    /// Returns whether the address of `server` belongs to another service in the
    /// version that `host` has in force.
    fn is_reassigned(&self, state: &AdoptionState, host: HostIndex, server: ServerChoice) -> bool {
        let adopted = state.hosts[host].version == LAST_VERSION;
        let reassigned = self.bounds.last_change == LastChange::Reassigned;
        server == ServerChoice::First && adopted && reassigned
    }

    /// Returns whether a host checks that the address of a server from `source` was
    /// not reassigned. It always does so for servers from a lookup table.
    fn is_guarded(&self, source: ServerSource) -> bool {
        let unguarded = match source {
            ServerSource::Token => AdoptionMistake::TokenUnguarded,
            ServerSource::Pin => AdoptionMistake::PinUnguarded,
            ServerSource::Relayed => AdoptionMistake::RelayedServerUnguarded,
            ServerSource::Waiting => AdoptionMistake::WaitingUnguarded,
            ServerSource::Table => return true,
        };
        !self.makes(unguarded)
    }

    fn push_sent(
        &self,
        state: &AdoptionState,
        host: HostIndex,
        server: ServerChoice,
        source: ServerSource,
        action: AdoptionAction,
        sink: &mut StepSink<'_>,
    ) {
        if !state.reaches(host, 0) {
            return;
        }
        let mut next = *state;
        if self.is_guarded(source) && self.is_reassigned(state, host, server) {
            // The flow ends because the planned change reassigned the address of
            // its server.
            end_flow(&mut next);
        } else if self.is_forgotten(state, host, server) {
            self.lose_flow(&mut next);
        } else if state.flow != FlowState::Open(server) {
            // The server does not know the flow.
            self.lose_flow(&mut next);
        } else {
            self.check_packet(&mut next, host, server);
        }
        sink.push(action, next);
    }

    /// Returns whether `host` has ended the flows of `server` because it was
    /// removed, which happens only with a mistake.
    fn is_forgotten(&self, state: &AdoptionState, host: HostIndex, server: ServerChoice) -> bool {
        let removed = state.hosts[host].version == LAST_VERSION && server == ServerChoice::First;
        removed && self.makes(AdoptionMistake::RemovedServerForgotten)
    }

    /// Ends the flow although no planned change has ended it. This is a failure
    /// unless a host that had pinned the server has crashed.
    fn lose_flow(&self, next: &mut AdoptionState) {
        if !next.pin_lost {
            next.fail(AdoptionProperty::FlowKeepsServer);
        }
        end_flow(next);
    }

    /// Checks a packet that `host` sends to `server`.
    fn check_packet(&self, next: &mut AdoptionState, host: HostIndex, server: ServerChoice) {
        if self.is_reassigned(next, host, server) {
            next.fail(AdoptionProperty::OwnServiceOnly);
        }
        if next.moved && server == ServerChoice::First {
            match self.bounds.server_refuses {
                true => end_flow(next),
                false => next.fail(AdoptionProperty::OwnServiceOnly),
            }
        }
    }
}

/// Ends the flow and drops everything that the hosts know of it.
fn end_flow(next: &mut AdoptionState) {
    next.flow = FlowState::Over;
    next.relayed = None;
    for host in &mut next.hosts {
        host.pinned = false;
        host.waiting = false;
    }
}
