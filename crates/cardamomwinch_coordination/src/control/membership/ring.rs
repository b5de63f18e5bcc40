//! Probes of the neighbours on the ring of the own failure domain. A neighbour
//! that does not answer is pinged again, then also through other hosts, then
//! marked suspect, and only then claimed dead.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{HostId, SortedVector, Timestamp};

/// A neighbour is probed if it sent no message for this long, plus or minus half
/// of [`RING_SPREAD`].
pub(super) const RING_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// The width of the range over which the start of a probe is varied.
const RING_SPREAD: time::Duration = time::Duration::from_millis(100);
/// How long to wait for an answer before the next step.
const STEP_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// How long a neighbour is suspect before it is claimed dead.
const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// The mean interval between probes of a host that is unknown or dead.
pub(super) const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// A host claims that a neighbour is dead only if it received a message from
/// another host within this time.
const EVIDENCE_WINDOW: time::Duration = time::Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeStage {
    /// Pinged once.
    First,
    /// Pinged twice.
    Second,
    /// Pinged through others as well.
    Indirect,
    /// Marked as suspect.
    Suspect { since: Timestamp },
}

#[derive(Debug, Clone, Copy)]
struct RingProbe {
    started: Timestamp,
    next_step: Timestamp,
    stage: ProbeStage,
    confirmed: bool,
}

/// What is known about a neighbour at the time of a step.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeEvidence {
    /// When its last message was received.
    pub(super) target_received: Timestamp,
    /// When the last message from any other host was received.
    pub(super) others_received: Timestamp,
    /// Whether a message from it or a claim about it was ever received.
    pub(super) known: bool,
}

/// What to do in a step of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeAction {
    /// Do nothing yet.
    Wait,
    /// Ping the neighbour.
    Ping,
    /// Mark it as suspect, ping it, and ask others to ping it.
    Suspect,
    /// Ping it, and ask others to ping it.
    PingIndirectly,
    /// End the probe: the neighbour answered, also if only others, or is unknown.
    Finish,
    /// Claim that it is dead.
    ClaimDead,
}

/// The probes in progress, and the neighbours that are not probed for a while.
#[derive(Debug, Default)]
pub(super) struct RingProbes {
    probes: SortedVector<HostId, RingProbe>,
    deferred: SortedVector<HostId, Timestamp>,
}

impl RingProbes {
    pub(super) fn clear(&mut self) {
        self.probes.clear();
        self.deferred.clear();
    }

    /// Whether `host` is not to be probed yet: it recently did not answer and is
    /// unknown, or it answered only other hosts.
    pub(super) fn is_deferred(&self, now: Timestamp, host: HostId) -> bool {
        self.deferred.get(&host).is_some_and(|until| now < *until)
    }

    /// Keeps only the state of hosts that match `keep`.
    pub(super) fn retain(&mut self, keep: impl Fn(HostId) -> bool) {
        self.probes.retain(|host, _| keep(*host));
        self.deferred.retain(|host, _| keep(*host));
    }

    /// The hosts that are being probed.
    pub(super) fn targets(&self) -> Vec<HostId> {
        self.probes.keys().copied().collect()
    }

    /// Records that `host` answered another host that was asked to ping it.
    pub(super) fn confirm(&mut self, host: HostId) {
        if let Some(probe) = self.probes.get_mut(&host) {
            probe.confirmed = true;
        }
    }

    /// Starts a probe of `host` if it has been silent since `last_received` for
    /// long enough and is not being probed. Returns whether it did.
    pub(super) fn start(&mut self, now: Timestamp, host: HostId, last_received: Timestamp) -> bool {
        if self.probes.contains_key(&host)
            || self.is_deferred(now, host)
            || now.since(last_received) < silence_timeout(host, last_received)
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

    /// Advances the probe of `host`. If `host` is unknown and did not answer, it
    /// is not probed again for the duration of `retry_delay`.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        host: HostId,
        evidence: ProbeEvidence,
        retry_delay: time::Duration,
    ) -> ProbeAction {
        let Some(probe) = self.probes.get_mut(&host) else {
            return ProbeAction::Wait;
        };
        if evidence.target_received >= probe.started {
            self.probes.remove(&host);
            return ProbeAction::Finish;
        }
        if probe.confirmed {
            // Only the direct path is broken; other hosts still reach it.
            self.probes.remove(&host);
            self.deferred.insert(host, now.after(RING_INTERVAL));
            return ProbeAction::Finish;
        }
        if now < probe.next_step {
            return ProbeAction::Wait;
        }
        if !evidence.known {
            self.probes.remove(&host);
            self.deferred.insert(host, now.after(retry_delay));
            return ProbeAction::Finish;
        }
        let action = probe.advance(now, evidence);
        if action == ProbeAction::ClaimDead {
            self.probes.remove(&host);
        }
        action
    }
}

/// How long `host` may be silent after `last_received` before it is probed.
///
/// The limit varies with every message. With a fixed one, two neighbours could
/// synchronise: both would always ping at the same moment and both answer,
/// which doubles the number of messages.
fn silence_timeout(host: HostId, last_received: Timestamp) -> time::Duration {
    let spread = RING_SPREAD.as_micros() as u64;
    let offset = flow::mix(host.get() ^ last_received.get()) % spread;
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
                ProbeAction::PingIndirectly
            }
            ProbeStage::Indirect => {
                self.stage = ProbeStage::Suspect { since: now };
                ProbeAction::Suspect
            }
            // If no other host has sent a message either, this host may itself
            // be cut off. It restarts the suspicion, because it would otherwise
            // claim that all others are dead as soon as it is connected again.
            ProbeStage::Suspect { .. }
                if now.since(evidence.others_received) >= EVIDENCE_WINDOW =>
            {
                self.stage = ProbeStage::Suspect { since: now };
                self.next_step = now.after(RING_INTERVAL);
                ProbeAction::PingIndirectly
            }
            ProbeStage::Suspect { since } if now.since(since) >= SUSPICION_TIMEOUT => {
                ProbeAction::ClaimDead
            }
            ProbeStage::Suspect { .. } => ProbeAction::PingIndirectly,
        }
    }
}
