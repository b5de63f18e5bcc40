//! Planned and unplanned changes, alone and in pairs, as timed steps.

use std::fmt;
use std::str;
use std::time;

use snafu::Snafu;

use crate::deployment::DeploymentPlan;
use crate::documents;

/// A change to a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Another preset: weights change, one server drains.
    PresetSwitch,
    /// A server is set to drain.
    Drain,
    /// A server leaves the configuration.
    ServerRemoved,
    /// A server leaves one service, and its address is given to the other.
    ServerMoved,
    /// A host joins.
    HostAdded,
    /// A host stops gracefully and leaves.
    HostStopped,
    /// A host dies.
    HostKilled,
    /// Every host in turn stops gracefully and starts again.
    RollingRestart,
    /// A failure domain is cut off.
    DomainCut,
    /// The platform answers with an older state.
    PlatformStale,
    /// A host is paused for 30 seconds.
    HostPaused,
}

impl ChangeKind {
    /// Every change.
    pub const ALL: [Self; 11] = [
        Self::PresetSwitch,
        Self::Drain,
        Self::ServerRemoved,
        Self::ServerMoved,
        Self::HostAdded,
        Self::HostStopped,
        Self::RollingRestart,
        Self::HostKilled,
        Self::DomainCut,
        Self::PlatformStale,
        Self::HostPaused,
    ];

    /// Whether operators bring it about, and flows should survive it. Those of a
    /// server that is given to another service cannot.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::PresetSwitch
                | Self::Drain
                | Self::ServerRemoved
                | Self::HostAdded
                | Self::HostStopped
                | Self::RollingRestart
        )
    }

    const fn name(self) -> &'static str {
        match self {
            Self::PresetSwitch => "preset",
            Self::Drain => "drain",
            Self::ServerRemoved => "server-removed",
            Self::ServerMoved => "server-moved",
            Self::HostAdded => "host-added",
            Self::HostStopped => "host-stopped",
            Self::HostKilled => "host-killed",
            Self::RollingRestart => "rolling-restart",
            Self::DomainCut => "domain-cut",
            Self::PlatformStale => "platform-stale",
            Self::HostPaused => "host-paused",
        }
    }
}

/// One thing that happens to a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStep {
    /// The operators publish the other preset.
    SwitchPreset,
    /// They set a server to drain.
    Drain(usize),
    /// They remove a server.
    Remove(usize),
    /// They give the address of a removed server to the first service.
    Move(usize),
    /// A host process starts and is listed.
    Start(usize),
    /// A host is told to stop and is listed as leaving.
    Stop(usize),
    /// A host process ends and is not listed any more.
    End(usize),
    /// A host dies.
    Kill(usize),
    /// A failure domain is cut off.
    Cut(usize),
    /// The cut heals.
    Heal,
    /// The platform falls behind, or catches up.
    Stale(bool),
    /// A host is paused.
    Pause(usize),
    /// It wakes.
    Wake(usize),
}

/// A stopping host's process ends this late where it has not ended before.
const STOP_GRACE: time::Duration = time::Duration::from_secs(10);
/// From one host of a rolling restart to the next.
const ROLLING_INTERVAL: time::Duration = time::Duration::from_secs(14);
const MOVE_AFTER: time::Duration = time::Duration::from_secs(10);
const CUT_LENGTH: time::Duration = time::Duration::from_secs(20);
const STALE_LENGTH: time::Duration = time::Duration::from_secs(20);
const PAUSE_LENGTH: time::Duration = time::Duration::from_secs(30);

/// A step and when it happens after the change began.
pub type TimedStep = (time::Duration, ChangeStep);

/// The steps of `change`. Changes of a pair concern different servers and
/// hosts, but for the rolling restart.
pub fn steps(change: ChangeKind, plan: &DeploymentPlan) -> Vec<TimedStep> {
    let now = time::Duration::ZERO;
    match change {
        ChangeKind::PresetSwitch => vec![(now, ChangeStep::SwitchPreset)],
        ChangeKind::Drain => vec![(now, ChangeStep::Drain(documents::DRAINED_SERVER))],
        ChangeKind::ServerRemoved => vec![(now, ChangeStep::Remove(documents::REMOVED_SERVER))],
        ChangeKind::ServerMoved => vec![
            (now, ChangeStep::Remove(documents::MOVED_SERVER)),
            (MOVE_AFTER, ChangeStep::Move(documents::MOVED_SERVER)),
        ],
        ChangeKind::HostAdded => vec![(now, ChangeStep::Start(plan.host_count))],
        ChangeKind::HostStopped => {
            vec![(now, ChangeStep::Stop(1)), (STOP_GRACE, ChangeStep::End(1))]
        }
        ChangeKind::HostKilled => vec![(now, ChangeStep::Kill(2))],
        ChangeKind::RollingRestart => (0..plan.host_count).flat_map(restart).collect(),
        ChangeKind::DomainCut => vec![(now, ChangeStep::Cut(1)), (CUT_LENGTH, ChangeStep::Heal)],
        ChangeKind::PlatformStale => vec![
            (now, ChangeStep::Stale(true)),
            (STALE_LENGTH, ChangeStep::Stale(false)),
        ],
        ChangeKind::HostPaused => {
            vec![
                (now, ChangeStep::Pause(0)),
                (PAUSE_LENGTH, ChangeStep::Wake(0)),
            ]
        }
    }
}

fn restart(host: usize) -> [TimedStep; 3] {
    let begin = ROLLING_INTERVAL * host as u32;
    let end = begin + STOP_GRACE;
    [
        (begin, ChangeStep::Stop(host)),
        (end, ChangeStep::End(host)),
        (end, ChangeStep::Start(host)),
    ]
}

/// No change, one, or two that overlap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeScenario {
    /// The changes, in the order in which they begin.
    pub changes: Vec<ChangeKind>,
}

/// Text that names no scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("unknown change {found:?}; known are calm, {}", known()))]
pub struct ScenarioParseError {
    /// The rejected text.
    pub found: String,
}

fn known() -> String {
    ChangeKind::ALL.map(ChangeKind::name).join(", ")
}

impl fmt::Display for ChangeScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.changes.iter().map(|change| change.name()).collect();
        match names.is_empty() {
            true => formatter.write_str("calm"),
            false => formatter.write_str(&names.join("+")),
        }
    }
}

impl str::FromStr for ChangeScenario {
    type Err = ScenarioParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "calm" {
            return Ok(Self {
                changes: Vec::new(),
            });
        }
        let find = |name: &str| {
            let found = ChangeKind::ALL
                .into_iter()
                .find(|change| change.name() == name);
            found.ok_or_else(|| ScenarioParseError {
                found: name.to_owned(),
            })
        };
        let changes = text.split('+').map(find).collect::<Result<_, _>>()?;
        Ok(Self { changes })
    }
}

impl ChangeScenario {
    /// No change, and each alone.
    pub fn singles() -> Vec<Self> {
        let calm = Self {
            changes: Vec::new(),
        };
        let singles = ChangeKind::ALL.map(|change| Self {
            changes: vec![change],
        });
        [calm].into_iter().chain(singles).collect()
    }

    /// Each pair of planned changes, and each planned change with a death.
    pub fn pairs() -> Vec<Self> {
        let planned: Vec<_> = ChangeKind::ALL
            .into_iter()
            .filter(|change| change.is_planned())
            .collect();
        let mut pairs = Vec::new();
        for (position, first) in planned.iter().enumerate() {
            let partners = planned[position + 1..].iter().copied();
            for second in partners.chain([ChangeKind::HostKilled]) {
                pairs.push(Self {
                    changes: vec![*first, second],
                });
            }
        }
        pairs
    }

    /// Whether a change concerns `server`, so that its load is not to be compared.
    pub fn touches(&self, plan: &DeploymentPlan, server: usize) -> bool {
        self.changes.iter().any(|change| match change {
            ChangeKind::PresetSwitch => documents::is_changed_by_preset(plan, server),
            ChangeKind::Drain => server == documents::DRAINED_SERVER,
            ChangeKind::ServerMoved => server == documents::MOVED_SERVER,
            ChangeKind::ServerRemoved => server == documents::REMOVED_SERVER,
            _ => false,
        })
    }

    /// The steps of all changes; the second change begins a second later.
    pub fn steps(&self, plan: &DeploymentPlan) -> Vec<TimedStep> {
        let mut all = Vec::new();
        for (position, change) in self.changes.iter().enumerate() {
            let begin = time::Duration::from_secs(position as u64);
            let steps = steps(*change, plan);
            all.extend(steps.into_iter().map(|(after, step)| (begin + after, step)));
        }
        all
    }
}
