//! The steps of the platform, the environment and the processes, and the
//! adoption of versions.

use crate::adoption::state::{AdoptionState, FlowState, HostPhase, HostState, VersionNumber};
use crate::adoption::{
    AdoptionAction, AdoptionMistake, AdoptionProperty, AdoptionSpecification, HOST_COUNT,
    HostIndex, LAST_VERSION, LastChange, REMOTE_HOST, StepSink,
};

impl AdoptionSpecification {
    pub(crate) fn push_platform(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        if state.published < LAST_VERSION {
            let mut next = *state;
            next.published += 1;
            next.answered = next.published;
            sink.push(AdoptionAction::Publish, next);
        }
        if state.budgets.relapses > 0 {
            for version in 1..state.answered {
                let mut next = *state;
                next.budgets.relapses -= 1;
                next.answered = version;
                sink.push(AdoptionAction::Relapse(version), next);
            }
        }
        if state.answered < state.published {
            let mut next = *state;
            next.answered = next.published;
            sink.push(AdoptionAction::Recover, next);
        }
    }

    pub(crate) fn push_environment(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        let mut next = *state;
        if state.cut {
            next.cut = false;
            sink.push(AdoptionAction::Heal, next);
        } else if state.budgets.cuts > 0 {
            next.cut = true;
            next.budgets.cuts -= 1;
            sink.push(AdoptionAction::Cut, next);
        }
        let mut running = state.hosts.iter().filter(|host| host.is_running());
        let adopted = running.all(|host| host.version == LAST_VERSION);
        let served = state.hosts.iter().any(HostState::acts);
        let reassigned = self.bounds.last_change == LastChange::Reassigned;
        if reassigned && adopted && served && !state.moved {
            let mut next = *state;
            next.moved = true;
            sink.push(AdoptionAction::MoveProcess, next);
        }
    }

    pub(crate) fn push_process_steps(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        for index in 0..HOST_COUNT {
            match state.hosts[index].phase {
                HostPhase::Down => {
                    let mut next = *state;
                    next.hosts[index].phase = HostPhase::Unconfirmed;
                    sink.push(AdoptionAction::Restart(index), next);
                }
                HostPhase::Paused => self.push_resume(state, index, sink),
                HostPhase::Unconfirmed => push_crash(state, index, sink),
                HostPhase::Serving => {
                    push_crash(state, index, sink);
                    push_pause(state, index, sink);
                    self.push_stop(state, index, sink);
                }
            }
        }
    }

    fn push_resume(&self, state: &AdoptionState, index: HostIndex, sink: &mut StepSink<'_>) {
        let mut next = *state;
        next.hosts[index].phase = match self.makes(AdoptionMistake::ActsUnconfirmed) {
            true => HostPhase::Serving,
            false => HostPhase::Unconfirmed,
        };
        sink.push(AdoptionAction::Wake(index), next);
    }

    /// A planned stop. The server of the flow is handed over to another home of
    /// the failure domain.
    fn push_stop(&self, state: &AdoptionState, index: HostIndex, sink: &mut StepSink<'_>) {
        if state.budgets.stops == 0 {
            return;
        }
        let mut next = *state;
        next.budgets.stops -= 1;
        let stopping = state.hosts[index];
        next.hosts[index] = stopped(stopping);
        if !stopping.pinned || self.makes(AdoptionMistake::PinsLeftBehind) {
            sink.push(AdoptionAction::Stop(index), next);
            return;
        }
        let mut others = (0..REMOTE_HOST).filter(|other| *other != index);
        if let Some(successor) = others.find(|other| state.hosts[*other].acts()) {
            next.hosts[successor].pinned = true;
            sink.push(AdoptionAction::Stop(index), next);
        }
    }

    pub(crate) fn push_adoption(&self, state: &AdoptionState, sink: &mut StepSink<'_>) {
        for index in 0..HOST_COUNT {
            if !state.hosts[index].is_running() {
                continue;
            }
            self.push_read(state, index, sink);
            for peer in 0..HOST_COUNT {
                let reachable = state.hosts[peer].is_running() && state.reaches(index, peer);
                if peer != index && reachable && !self.makes(AdoptionMistake::PeersNotAsked) {
                    self.push_pull(state, index, peer, sink);
                }
            }
        }
    }

    fn push_read(&self, state: &AdoptionState, index: HostIndex, sink: &mut StepSink<'_>) {
        if state.hosts[index].stopped_reading {
            return;
        }
        let mut next = *state;
        let older = state.answered < state.hosts[index].version;
        if older && self.makes(AdoptionMistake::OlderAnswerEndsReading) {
            next.hosts[index].stopped_reading = true;
        }
        let only_newer = !self.makes(AdoptionMistake::OlderAnswerAdopted);
        adopt(&mut next, index, state.answered, only_newer);
        next.hosts[index].phase = HostPhase::Serving;
        if next != *state {
            sink.push(AdoptionAction::Read(index), next);
        }
    }

    fn push_pull(
        &self,
        state: &AdoptionState,
        index: HostIndex,
        peer: HostIndex,
        sink: &mut StepSink<'_>,
    ) {
        let mut next = *state;
        let answering = state.hosts[peer];
        let only_newer = !self.makes(AdoptionMistake::OlderPeerAdopted);
        adopt(&mut next, index, answering.version, only_newer);
        // Guards against hosts that were paused together and would confirm each
        // other's outdated versions.
        if answering.phase == HostPhase::Serving {
            next.hosts[index].phase = HostPhase::Serving;
        }
        if next != *state {
            sink.push(AdoptionAction::Pull(index, peer), next);
        }
    }
}

fn adopt(next: &mut AdoptionState, index: HostIndex, version: VersionNumber, only_newer: bool) {
    let host = &mut next.hosts[index];
    let before = host.version;
    host.version = match only_newer {
        true => before.max(version),
        false => version,
    };
    if host.version < before {
        next.fail(AdoptionProperty::VersionOnlyRises);
    }
}

fn stopped(host: HostState) -> HostState {
    HostState {
        phase: HostPhase::Down,
        version: 0,
        pinned: false,
        waiting: false,
        ..host
    }
}

fn push_crash(state: &AdoptionState, index: HostIndex, sink: &mut StepSink<'_>) {
    if state.budgets.crashes == 0 {
        return;
    }
    let mut next = *state;
    next.budgets.crashes -= 1;
    let crashed = state.hosts[index];
    next.pin_lost |= crashed.pinned && matches!(state.flow, FlowState::Open(_));
    next.hosts[index] = stopped(crashed);
    sink.push(AdoptionAction::Crash(index), next);
}

fn push_pause(state: &AdoptionState, index: HostIndex, sink: &mut StepSink<'_>) {
    if state.budgets.pauses == 0 {
        return;
    }
    let mut next = *state;
    next.budgets.pauses -= 1;
    next.hosts[index].phase = HostPhase::Paused;
    sink.push(AdoptionAction::Pause(index), next);
}
