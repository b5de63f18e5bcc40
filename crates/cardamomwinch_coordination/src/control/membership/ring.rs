//! Probes of the neighbours on the ring of the own failure domain: directly,
//! once more, then through others as well, then with the neighbour suspected,
//! and only then is it claimed dead.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{HostId, SortedVector, Timestamp};

/// A neighbour that was not heard of for this long is probed, give or take
/// half of the spread.
pub(super) const RING_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// How far apart the times may lie at which a neighbour is probed.
const RING_SPREAD: time::Duration = time::Duration::from_millis(100);
/// How long an answer may take before the next step.
const STEP_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// How long a suspect has before it is claimed dead.
const SUSPICION: time::Duration = time::Duration::from_millis(200);
/// A host that was never heard of and does not answer is left alone this long.
pub(super) const REST_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// A neighbour is claimed dead only by a host that heard of another one within
/// this time.
const EVIDENCE_WINDOW: time::Duration = time::Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeStage {
    /// Pinged once.
    First,
    /// Pinged twice.
    Second,
    /// Pinged through others as well.
    Indirect,
    /// Suspected.
    Suspect { since: Timestamp },
}

#[derive(Debug, Clone, Copy)]
struct RingProbe {
    started: Timestamp,
    next_step: Timestamp,
    stage: ProbeStage,
    confirmed: bool,
}

/// What a neighbour is known to be at the time of a step.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeEvidence {
    /// When it was heard of last.
    pub(super) target_heard: Timestamp,
    /// When any other host was heard of last.
    pub(super) others_heard: Timestamp,
    /// Whether it was ever heard of by anyone.
    pub(super) known: bool,
}

/// What a step of a probe asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeAction {
    /// Nothing yet.
    Wait,
    /// Ping it.
    Ping,
    /// Suspect it, ping it, and have others ping it.
    Suspect,
    /// Ping it, and have others ping it.
    AskOthers,
    /// It answered.
    Finish,
    /// Claim that it is dead.
    Claim,
}

/// The probes under way, and the neighbours not to be probed for a while.
#[derive(Debug, Default)]
pub(super) struct RingProbes {
    probes: SortedVector<HostId, RingProbe>,
    rests: SortedVector<HostId, Timestamp>,
}

impl RingProbes {
    pub(super) fn clear(&mut self) {
        self.probes.clear();
        self.rests.clear();
    }

    /// Whether `host` was never heard of and did not answer lately.
    pub(super) fn is_resting(&self, now: Timestamp, host: HostId) -> bool {
        self.rests.get(&host).is_some_and(|until| now < *until)
    }

    /// Forgets probes and rests of hosts for which `keep` does not hold.
    pub(super) fn retain(&mut self, keep: impl Fn(HostId) -> bool) {
        self.probes.retain(|host, _| keep(*host));
        self.rests.retain(|host, _| keep(*host));
    }

    /// The hosts that are being probed.
    pub(super) fn targets(&self) -> Vec<HostId> {
        self.probes.keys().copied().collect()
    }

    /// Another host heard of `host` after it was asked to ping it.
    pub(super) fn confirm(&mut self, host: HostId) {
        if let Some(probe) = self.probes.get_mut(&host) {
            probe.confirmed = true;
        }
    }

    /// Begins to probe `host` if it has been silent and is not being probed.
    pub(super) fn begin(&mut self, now: Timestamp, host: HostId, heard: Timestamp) -> bool {
        if self.probes.contains_key(&host)
            || self.is_resting(now, host)
            || now.since(heard) < patience(host, heard)
        {
            return false;
        }
        let probe = RingProbe {
            started: now,
            next_step: now.after(STEP_TIMEOUT),
            stage: ProbeStage::First,
            confirmed: false,
        };
        self.probes.insert(host, probe);
        true
    }

    /// Takes the probe of `host` one step further.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        host: HostId,
        evidence: ProbeEvidence,
        rest: time::Duration,
    ) -> ProbeAction {
        let Some(probe) = self.probes.get_mut(&host) else {
            return ProbeAction::Wait;
        };
        if evidence.target_heard >= probe.started {
            self.probes.remove(&host);
            return ProbeAction::Finish;
        }
        if probe.confirmed {
            // Only the direct way is broken; others still reach it.
            self.probes.remove(&host);
            self.rests.insert(host, now.after(RING_INTERVAL));
            return ProbeAction::Finish;
        }
        if now < probe.next_step {
            return ProbeAction::Wait;
        }
        if !evidence.known {
            self.probes.remove(&host);
            self.rests.insert(host, now.after(rest));
            return ProbeAction::Finish;
        }
        let action = probe.advance(now, evidence);
        if action == ProbeAction::Claim {
            self.probes.remove(&host);
        }
        action
    }
}

/// How long `host`, which was heard of last at `heard`, may be silent.
///
/// Guards against neighbours in step: both would ping at the same moment, every
/// time, and both answer, so that the two of them cost twice what they need
/// to. The patience changes with every message, so that they fall out of step.
fn patience(host: HostId, heard: Timestamp) -> time::Duration {
    let spread = RING_SPREAD.as_micros() as u64;
    let offset = flow::mix(host.get() ^ heard.get()) % spread;
    RING_INTERVAL - RING_SPREAD / 2 + time::Duration::from_micros(offset)
}

impl RingProbe {
    fn advance(&mut self, now: Timestamp, evidence: ProbeEvidence) -> ProbeAction {
        self.next_step = now.after(STEP_TIMEOUT);
        match self.stage {
            ProbeStage::First => {
                self.stage = ProbeStage::Second;
                ProbeAction::Ping
            }
            ProbeStage::Second => {
                self.stage = ProbeStage::Indirect;
                ProbeAction::AskOthers
            }
            ProbeStage::Indirect => {
                self.stage = ProbeStage::Suspect { since: now };
                ProbeAction::Suspect
            }
            // Guards against a host that is itself cut off, and would claim
            // everyone else dead as soon as it is not: it hears of nobody, and
            // so the time that its suspects have starts anew.
            ProbeStage::Suspect { .. } if now.since(evidence.others_heard) >= EVIDENCE_WINDOW => {
                self.stage = ProbeStage::Suspect { since: now };
                self.next_step = now.after(RING_INTERVAL);
                ProbeAction::AskOthers
            }
            ProbeStage::Suspect { since } if now.since(since) >= SUSPICION => ProbeAction::Claim,
            ProbeStage::Suspect { .. } => ProbeAction::AskOthers,
        }
    }
}
