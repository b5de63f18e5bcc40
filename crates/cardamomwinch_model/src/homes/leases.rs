//! The steps of time, processes, leases and hand-overs.

use crate::homes::state::{
    CandidateState, HomeState, Inheritance, RequestPhase, RequestRecord, VoterState,
};
use crate::homes::{
    HomeAction, HomeMistake, HomeProperty, HomeSpecification, ProcessIndex, StepSink, VOTER_COUNT,
};

/// Whose grant runs at a voter when a candidate requests a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningGrant {
    /// No grant runs.
    Nobody,
    /// A grant to the present incarnation of the candidate.
    SameIncarnation,
    /// A grant to another host or to an earlier incarnation of the candidate.
    Another,
}

/// What a voter knows when a candidate requests a lease. The rule for granting
/// depends only on this and on the order of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterFacts {
    /// Whether the voter may have forgotten grants, because it started recently.
    pub muted: bool,
    /// Whose grant runs.
    pub running: RunningGrant,
}

impl VoterFacts {
    /// Whether the voter may grant the lease.
    pub fn may_grant(self) -> bool {
        !self.muted && self.running != RunningGrant::Another
    }
}

impl HomeSpecification {
    pub(crate) fn push_time(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        let mut next = state.clone();
        for voter in &mut next.voters {
            self.tick_voter(voter);
        }
        for host in &mut next.hosts {
            self.tick_host(host);
        }
        for slot in &mut next.dispatches {
            let ticked = slot.map(|mut dispatch| {
                dispatch.remaining -= 1;
                dispatch
            });
            *slot = ticked.filter(|dispatch| dispatch.remaining > 0);
        }
        next.handed_over = next.handed_over.saturating_sub(1);
        if let RequestPhase::Open(remaining) = next.phase {
            next.phase = match remaining {
                0 | 1 => RequestPhase::Over,
                _ => RequestPhase::Open(remaining - 1),
            };
        }
        if next.phase == RequestPhase::Over {
            forget_request(&mut next);
        }
        if next != *state {
            sink.push(HomeAction::Tick, next);
        }
    }

    fn tick_voter(&self, voter: &mut VoterState) {
        voter.mute = voter.mute.saturating_sub(1);
        if !self.makes(HomeMistake::GrantNeverExpires) {
            voter.remaining = voter.remaining.saturating_sub(1);
        }
        if voter.remaining == 0 {
            voter.holder = None;
            voter.of_earlier_life = false;
            if !self.makes(HomeMistake::LateTransferApplied) {
                voter.transfer = None;
            }
        }
    }

    fn tick_host(&self, host: &mut CandidateState) {
        host.lease = host.lease.saturating_sub(1);
        host.round = host.round.saturating_sub(1);
        if host.lease == 0 {
            host.frozen_for = None;
            host.copied = None;
        }
        if host.round == 0 && !self.makes(HomeMistake::EarlierRoundCounted) {
            host.granted = 0;
        }
        if !self.makes(HomeMistake::LateInheritance) {
            host.inheritance.remaining = host.inheritance.remaining.saturating_sub(1);
        }
        if host.inheritance.remaining == 0 {
            host.inheritance = Inheritance::default();
        }
    }

    pub(crate) fn push_process_steps(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        for process in Self::voters() {
            let mut next = state.clone();
            if state.is_up(process) {
                if state.crashes == 0 {
                    continue;
                }
                next.crashes -= 1;
                next.up[usize::from(process)] = false;
                // Nothing is on disk, so a new incarnation knows nothing.
                *next.host_mut(process) = CandidateState::default();
                clear_dispatch_sender(&mut next, process);
                if !self.makes(HomeMistake::GrantOutlivesLife) {
                    end_incarnation(&mut next, process);
                }
                let transfer = state.voter(process).transfer;
                *next.voter_mut(process) = VoterState {
                    transfer,
                    ..VoterState::default()
                };
                sink.push(HomeAction::Crash(process), next);
            } else {
                next.up[usize::from(process)] = true;
                if !self.makes(HomeMistake::MuteOmitted) {
                    next.voter_mut(process).mute = self.bounds.lease;
                }
                sink.push(HomeAction::Restart(process), next);
            }
        }
    }

    pub(crate) fn push_leases(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        for host in self.candidates().filter(|host| state.is_up(*host)) {
            self.push_lease_request(state, host, sink);
            for voter in Self::voters() {
                self.push_grant(state, voter, host, sink);
            }
            self.push_acquire(state, host, sink);
        }
    }

    fn push_lease_request(&self, state: &HomeState, host: ProcessIndex, sink: &mut StepSink<'_>) {
        let candidate = state.host(host);
        let fresh = candidate.round == self.holder_lease() && candidate.granted == 0;
        if fresh {
            return;
        }
        let mut next = state.clone();
        let candidate = next.host_mut(host);
        candidate.round = self.holder_lease();
        if !self.makes(HomeMistake::EarlierRoundCounted) {
            candidate.granted = 0;
        }
        sink.push(HomeAction::Ask(host), next);
    }

    fn may_grant(&self, voter: &VoterState, host: ProcessIndex) -> bool {
        let running = match voter.holder {
            None => RunningGrant::Nobody,
            Some(holder) if holder == host && !voter.of_earlier_life => {
                RunningGrant::SameIncarnation
            }
            Some(_) => RunningGrant::Another,
        };
        let muted = voter.mute > 0;
        let running = match self.makes(HomeMistake::GrantWhileHeld) {
            true => RunningGrant::Nobody,
            false => running,
        };
        VoterFacts { muted, running }.may_grant()
    }

    fn push_grant(
        &self,
        state: &HomeState,
        voter: ProcessIndex,
        host: ProcessIndex,
        sink: &mut StepSink<'_>,
    ) {
        if !state.is_up(voter) || !self.may_grant(state.voter(voter), host) {
            return;
        }
        let mut granted = state.clone();
        let vote = granted.voter_mut(voter);
        vote.holder = Some(host);
        vote.of_earlier_life = false;
        vote.remaining = self.bounds.lease;
        // The message of a hand-over names the grant that the holder gives up,
        // so it has no effect on a later grant.
        if !self.makes(HomeMistake::LateTransferApplied) {
            vote.transfer = None;
        }
        let candidate = state.host(host);
        let bit = 1 << voter;
        if candidate.round > 0 && candidate.granted & bit == 0 {
            let mut next = granted.clone();
            next.host_mut(host).granted |= bit;
            sink.push(HomeAction::Grant(voter, host), next);
        }
        if self.bounds.late_lease_requests && granted != *state {
            sink.push(HomeAction::LateGrant(voter, host), granted);
        }
    }

    fn push_acquire(&self, state: &HomeState, host: ProcessIndex, sink: &mut StepSink<'_>) {
        let candidate = state.host(host);
        let majority = candidate.granted.count_ones() as usize * 2 > VOTER_COUNT;
        if candidate.round == 0 || !majority {
            return;
        }
        let mut next = state.clone();
        if candidate.lease == 0 {
            self.begin_lease(&mut next, host);
        }
        let late = self.makes(HomeMistake::LeaseFromArrival);
        let holder = next.host_mut(host);
        holder.lease = if late {
            self.bounds.lease
        } else {
            holder.round
        };
        holder.round = 0;
        if !self.makes(HomeMistake::EarlierRoundCounted) {
            holder.granted = 0;
        }
        holder.believes = self.makes(HomeMistake::ClockNotRead);
        let others = self.candidates().filter(|other| *other != host);
        if others.into_iter().any(|other| state.host(other).lease > 0) {
            next.fail(HomeProperty::OneHolder);
        }
        sink.push(HomeAction::Acquire(host), next);
    }

    fn begin_lease(&self, next: &mut HomeState, host: ProcessIndex) {
        let phase = next.phase;
        let holder = next.host_mut(host);
        if holder.inheritance.committed {
            holder.may_be_known_elsewhere = holder.inheritance.may_be_known_elsewhere;
            holder.inheritance = Inheritance::default();
            return;
        }
        holder.may_be_known_elsewhere = match phase {
            RequestPhase::Open(deadline) => self.is_earlier_than_records(deadline),
            RequestPhase::Unsent | RequestPhase::Over => false,
        };
        next.successor_failed |= next.handed_over > 0;
    }

    /// Returns whether an earlier home may have received the request: the deadline
    /// less the longest lifetime is before the records of a host whose lease
    /// begins now. The steps within one tick follow each other, so a request that
    /// was sent in this tick counts as earlier. The caller's clock may be ahead,
    /// so the records begin later than the lease, by the skew.
    fn is_earlier_than_records(&self, deadline: u8) -> bool {
        let margin = match self.makes(HomeMistake::RecordsSinceWithoutSkew) {
            true => 0,
            false => self.bounds.skew,
        };
        deadline <= self.bounds.lifetime + margin && !self.makes(HomeMistake::RecordsSinceOmitted)
    }

    pub(crate) fn push_hand_overs(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        for host in self.candidates().filter(|host| state.is_up(*host)) {
            self.push_freeze(state, host, sink);
            self.push_copy(state, host, sink);
            self.push_give_up(state, host, sink);
            push_commit(state, host, sink);
        }
        for voter in Self::voters().filter(|voter| state.is_up(*voter)) {
            self.push_transfer(state, voter, sink);
        }
    }

    fn push_freeze(&self, state: &HomeState, host: ProcessIndex, sink: &mut StepSink<'_>) {
        if !state.host(host).serves() || state.hand_overs == 0 {
            return;
        }
        for successor in self.candidates().filter(|other| *other != host) {
            let mut next = state.clone();
            next.hand_overs -= 1;
            next.host_mut(host).frozen_for = Some(successor);
            sink.push(HomeAction::Freeze(host, successor), next);
        }
    }

    /// The successor buffers the records that it receives. It drops those of an
    /// earlier hand-over, because the sender has been home since.
    fn push_copy(&self, state: &HomeState, host: ProcessIndex, sink: &mut StepSink<'_>) {
        let holder = state.host(host);
        let Some(successor) = holder.frozen_for else {
            return;
        };
        if holder.copied.is_none() && state.is_up(successor) {
            let mut next = state.clone();
            next.host_mut(host).copied = Some(holder.record);
            if !self.makes(HomeMistake::EarlierHandOverUsed) {
                next.host_mut(successor).inheritance = Inheritance::default();
            }
            sink.push(HomeAction::CopyRecords(host), next);
        }
        let mut next = state.clone();
        let holder = next.host_mut(host);
        holder.frozen_for = None;
        holder.copied = None;
        sink.push(HomeAction::Unfreeze(host), next);
    }

    fn push_give_up(&self, state: &HomeState, host: ProcessIndex, sink: &mut StepSink<'_>) {
        let holder = *state.host(host);
        let (Some(successor), Some(copied)) = (holder.frozen_for, holder.copied) else {
            return;
        };
        let mut next = state.clone();
        *next.host_mut(host) = CandidateState {
            record: match self.makes(HomeMistake::QueueKept) {
                true => holder.record,
                false => RequestRecord::Absent,
            },
            ..CandidateState::default()
        };
        for voter in &mut next.voters {
            if voter.holder == Some(host) {
                voter.transfer = Some(successor);
            }
        }
        let receiver = next.host_mut(successor);
        if !(self.makes(HomeMistake::EarlierHandOverUsed) && receiver.inheritance.committed) {
            receiver.inheritance = self.inheritance_from(&holder, copied);
        }
        next.handed_over = self.bounds.lease;
        clear_dispatch_sender(&mut next, host);
        sink.push(HomeAction::GiveUp(host), next);
    }

    /// Returns what the successor inherits, which is valid for one lease. The
    /// grants of the former holder run for at most one lease, so no host but the
    /// successor can have held and lost the shard within this time.
    fn inheritance_from(&self, holder: &CandidateState, copied: RequestRecord) -> Inheritance {
        Inheritance {
            remaining: self.holder_lease(),
            committed: false,
            record: match self.makes(HomeMistake::RecordsLeftBehind) {
                true => RequestRecord::Absent,
                false => copied,
            },
            may_be_known_elsewhere: holder.may_be_known_elsewhere,
        }
    }

    fn push_transfer(&self, state: &HomeState, voter: ProcessIndex, sink: &mut StepSink<'_>) {
        let vote = state.voter(voter);
        let (Some(successor), Some(_)) = (vote.transfer, vote.holder) else {
            return;
        };
        let mut next = state.clone();
        let vote = next.voter_mut(voter);
        vote.transfer = None;
        vote.of_earlier_life = false;
        vote.holder = Some(successor);
        if self.makes(HomeMistake::ReleasedToAnybody) {
            vote.holder = None;
            vote.remaining = 0;
        }
        sink.push(HomeAction::Transfer(voter), next);
    }
}

/// The successor receives the message that the lease was given up, and applies
/// the records.
fn push_commit(state: &HomeState, successor: ProcessIndex, sink: &mut StepSink<'_>) {
    let inheritance = state.host(successor).inheritance;
    if inheritance.remaining == 0 || inheritance.committed {
        return;
    }
    let mut next = state.clone();
    let host = next.host_mut(successor);
    host.record = host.record.merged_with(inheritance.record);
    host.inheritance.record = RequestRecord::Absent;
    host.inheritance.committed = true;
    sink.push(HomeAction::Commit(successor), next);
}

/// Removes `host` as the sender of its dispatches. No other host knows of them
/// from now on, unless they were handed over.
fn clear_dispatch_sender(next: &mut HomeState, host: ProcessIndex) {
    for dispatch in next.dispatches.iter_mut().flatten() {
        dispatch.sender = dispatch.sender.filter(|sender| *sender != host);
    }
    next.dispatches.sort_unstable();
}

/// Ends the grants and hand-overs of an incarnation of `host`: they are valid for
/// one incarnation only. The next one has to wait until they expire, because what
/// the earlier one has sent may still be under way to the server, and no host
/// remembers it.
fn end_incarnation(next: &mut HomeState, host: ProcessIndex) {
    for voter in &mut next.voters {
        voter.of_earlier_life |= voter.holder == Some(host);
        voter.transfer = voter.transfer.filter(|successor| *successor != host);
    }
    for holder in &mut next.hosts {
        if holder.frozen_for == Some(host) {
            holder.copied = None;
        }
    }
}

/// Drops all records of the request. After its deadline, no host decides anything
/// about it.
fn forget_request(next: &mut HomeState) {
    for host in &mut next.hosts {
        host.record = RequestRecord::Absent;
        host.inheritance.record = RequestRecord::Absent;
        host.may_be_known_elsewhere = false;
        host.inheritance.may_be_known_elsewhere = false;
    }
    next.shed = 0;
    next.successor_failed = false;
}
