//! The steps of the request at a home, in the network and at the server.

use crate::homes::state::{DispatchState, HomeState, RequestPhase, RequestRecord};
use crate::homes::{
    HomeAction, HomeMistake, HomeProperty, HomeSpecification, ProcessIndex, StepSink,
};

/// The attempt that is made if none was shed.
const FIRST_ATTEMPT: u8 = 0;
/// The last attempt that is made.
const LAST_ATTEMPT: u8 = 1;

/// What a home may do with a copy of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CopyOutcome {
    /// Send it to the server at once.
    Dispatch,
    /// Queue it until a slot is free.
    Queue,
    /// Record that it is refused, and answer "not run".
    Refuse,
    /// Answer that the outcome is not known, and record nothing.
    OutcomeUnknown,
    /// Answer from the record, or wait for the answer that is under way.
    Repeat,
    /// Send nothing, because the deadline has passed and the caller no longer
    /// waits.
    Late,
}

/// What a home knows when a copy of a request that must not run twice arrives.
/// The rule for copies depends on nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyFacts {
    /// Whether the request is remembered.
    pub remembered: bool,
    /// Whether the deadline has passed.
    pub past_deadline: bool,
    /// Whether the deadline is further away than is allowed.
    pub far_deadline: bool,
    /// Whether an earlier home may have received the request.
    pub may_be_known_elsewhere: bool,
}

impl CopyFacts {
    /// Returns the outcomes that a home may choose from, depending on the load of
    /// the server.
    pub const fn outcomes(self) -> &'static [CopyOutcome] {
        if self.remembered {
            return &[CopyOutcome::Repeat];
        }
        if self.past_deadline {
            return &[CopyOutcome::Late];
        }
        // "Not run" could become false: once the deadline is near enough, a home
        // that does not know of the refusal may run a late copy.
        if self.far_deadline || self.may_be_known_elsewhere {
            return &[CopyOutcome::OutcomeUnknown];
        }
        &[
            CopyOutcome::Dispatch,
            CopyOutcome::Queue,
            CopyOutcome::Refuse,
        ]
    }
}

impl HomeSpecification {
    pub(crate) fn push_request(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        if state.phase == RequestPhase::Unsent {
            self.push_send(state, sink);
        }
        for host in self.candidates().filter(|host| state.is_up(*host)) {
            if let RequestPhase::Open(deadline) = state.phase {
                self.push_copy_arrival(state, host, deadline, sink);
                self.push_start_queued(state, host, deadline, sink);
                self.push_shed_reply(state, host, deadline, sink);
            }
        }
        self.push_server(state, sink);
    }

    fn push_send(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        let bounds = &self.bounds;
        let exact = bounds.lifetime;
        let early_clock = exact + bounds.skew;
        let far = early_clock + bounds.excess;
        let mut deadlines = vec![exact, early_clock, far];
        deadlines.dedup();
        for deadline in deadlines {
            let mut next = state.clone();
            next.phase = RequestPhase::Open(deadline);
            sink.push(HomeAction::Send(deadline), next);
        }
    }

    /// A copy may arrive at any host at any time, any number of times.
    fn push_copy_arrival(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        sink: &mut StepSink<'_>,
    ) {
        let home = state.host(host);
        let missed_expiry = home.believes && home.frozen_for.is_none();
        if !home.serves() && !missed_expiry {
            if self.makes(HomeMistake::RefusedElsewhere) {
                sink.push(HomeAction::Refuse(host), refuse_without_record(state));
            }
            return;
        }
        let facts = CopyFacts {
            remembered: home.record != RequestRecord::Absent,
            past_deadline: false,
            far_deadline: deadline > self.bounds.lifetime + self.bounds.skew,
            may_be_known_elsewhere: home.may_be_known_elsewhere,
        };
        for outcome in facts.outcomes() {
            self.push_outcome(state, host, deadline, *outcome, sink);
        }
        self.push_wrong_outcomes(state, host, deadline, facts, sink);
    }

    fn push_outcome(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        outcome: CopyOutcome,
        sink: &mut StepSink<'_>,
    ) {
        match outcome {
            CopyOutcome::Dispatch => {
                if let Some(next) = self.dispatched(state, host, deadline, FIRST_ATTEMPT) {
                    sink.push(HomeAction::Dispatch(host), next);
                }
            }
            CopyOutcome::Queue if !self.bounds.queues => {}
            CopyOutcome::Queue => {
                let mut next = state.clone();
                next.host_mut(host).record = RequestRecord::Queued;
                sink.push(HomeAction::Queue(host), next);
            }
            CopyOutcome::Refuse if !self.bounds.refusals => {}
            CopyOutcome::Refuse => {
                let mut next = refuse_without_record(state);
                if !self.makes(HomeMistake::RefusalForgotten) {
                    next.host_mut(host).record = RequestRecord::Refused;
                }
                sink.push(HomeAction::Refuse(host), next);
            }
            // These change no state.
            CopyOutcome::OutcomeUnknown | CopyOutcome::Repeat | CopyOutcome::Late => {}
        }
    }

    fn push_wrong_outcomes(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        facts: CopyFacts,
        sink: &mut StepSink<'_>,
    ) {
        let record = state.host(host).record;
        let runs_again =
            matches!(record, RequestRecord::Running(_)) && self.makes(HomeMistake::DuplicateRuns);
        if runs_again && let Some(next) = self.dispatched(state, host, deadline, FIRST_ATTEMPT) {
            sink.push(HomeAction::Dispatch(host), next);
        }
        if record == RequestRecord::Refused && self.makes(HomeMistake::RefusedCopyIgnored) {
            let mut next = state.clone();
            next.fail(HomeProperty::CopyAnswered);
            sink.push(HomeAction::Ignore(host), next);
        }
        let far = facts.far_deadline && self.makes(HomeMistake::FarDeadlineRefused);
        let early =
            facts.may_be_known_elsewhere && self.makes(HomeMistake::RefusedBeforeRecordsSince);
        if !facts.remembered && (far || early) {
            self.push_outcome(state, host, deadline, CopyOutcome::Refuse, sink);
        }
    }

    /// Returns the state after `host` has sent the request to the server, or `None`
    /// if the maximum number of datagrams is under way already.
    fn dispatched(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        attempt: u8,
    ) -> Option<HomeState> {
        let lease = state.host(host).lease;
        let unlimited = self.makes(HomeMistake::StartBeforeDeadlineOnly) || lease == 0;
        let start_before = if unlimited {
            deadline
        } else {
            deadline.min(lease)
        };
        let mut next = state.clone();
        let slot = next.dispatches.iter_mut().find(|slot| slot.is_none())?;
        *slot = Some(DispatchState {
            sender: Some(host),
            attempt,
            remaining: start_before + self.bounds.skew,
        });
        next.dispatches.sort_unstable();
        next.host_mut(host).record = RequestRecord::Running(attempt);
        Some(next)
    }

    fn push_start_queued(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        sink: &mut StepSink<'_>,
    ) {
        let home = state.host(host);
        let expired = home.lease == 0 && self.makes(HomeMistake::QueueIgnoresLease);
        if home.record != RequestRecord::Queued || !(home.serves() || expired) {
            return;
        }
        if let Some(next) = self.dispatched(state, host, deadline, FIRST_ATTEMPT) {
            sink.push(HomeAction::StartQueued(host), next);
        }
    }

    /// The server begins or sheds what is under way to it. A lost datagram is one
    /// that it neither begins nor sheds.
    fn push_server(&self, state: &HomeState, sink: &mut StepSink<'_>) {
        for (index, slot) in state.dispatches.iter().enumerate() {
            let Some(dispatch) = slot else {
                continue;
            };
            let mut received = state.clone();
            received.dispatches[index] = None;
            received.dispatches.sort_unstable();
            if self.bounds.sheds {
                let mut next = received.clone();
                next.shed |= 1 << dispatch.attempt;
                sink.push(HomeAction::Shed(index as u8), next);
            }
            let mut next = received;
            next.runs = (next.runs + 1).min(2);
            next.check_outcome();
            if self.decided_by_another(state, dispatch.sender) {
                next.fail(HomeProperty::OneDispatcher);
            }
            sink.push(HomeAction::Begin(index as u8), next);
        }
    }

    /// Returns whether another home decides what the server runs without knowing of
    /// the run. After a hand-over, a home other than the intended successor may do
    /// so until nothing that the former home has sent can begin any more.
    fn decided_by_another(&self, state: &HomeState, sender: Option<ProcessIndex>) -> bool {
        let mut others = self.candidates().filter(|host| Some(*host) != sender);
        let open = matches!(state.phase, RequestPhase::Open(_));
        open && !state.successor_failed
            && others.any(|host| {
                let other = state.host(host);
                other.lease > 0 && !matches!(other.record, RequestRecord::Running(_))
            })
    }

    fn push_shed_reply(
        &self,
        state: &HomeState,
        host: ProcessIndex,
        deadline: u8,
        sink: &mut StepSink<'_>,
    ) {
        let home = state.host(host);
        let RequestRecord::Running(attempt) = home.record else {
            return;
        };
        let frozen = home.frozen_for.is_some() && !self.makes(HomeMistake::FrozenHostCounts);
        let known = match self.makes(HomeMistake::EarlierAttemptCounted) {
            true => state.shed != 0,
            false => state.shed & (1 << attempt) != 0,
        };
        if frozen || !known {
            return;
        }
        let mut refused = refuse_without_record(state);
        refused.host_mut(host).record = RequestRecord::Refused;
        sink.push(HomeAction::RefuseShed(host, attempt), refused);
        if home.serves()
            && attempt < LAST_ATTEMPT
            && let Some(next) = self.dispatched(state, host, deadline, attempt + 1)
        {
            sink.push(HomeAction::Retry(host, attempt), next);
        }
    }
}

/// Returns the state after the caller has received "not run".
fn refuse_without_record(state: &HomeState) -> HomeState {
    let mut next = state.clone();
    next.told_not_run = true;
    next.check_outcome();
    next
}
