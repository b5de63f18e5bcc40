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
    /// The peak preset comes into force: weights change, one server drains.
    PresetSwitch,
    /// A server is set to drain.
    Drain,
    /// A server is removed from the configuration.
    ServerRemoved,
    /// A server is removed from one service, and the other service gets its address.
    ServerMoved,
    /// A host joins.
    HostAdded,
    /// A host stops gracefully and leaves the list.
    HostStopped,
    /// A host is killed.
    HostKilled,
    /// Every host, one after another, stops gracefully and restarts.
    RollingRestart,
    /// A failure domain is cut off.
    DomainCut,
    /// The platform answers with the previous revisions.
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

    /// Whether operators make the change and flows should survive it. Flows of a
    /// server that moves to another service cannot survive.
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

/// One step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStep {
    /// The operators publish the peak preset.
    SwitchPreset,
    /// The operators set a server to drain.
    Drain(usize),
    /// The operators remove a server.
    Remove(usize),
    /// The operators give the address of a removed server to the first service.
    Move(usize),
    /// A host process starts and is listed.
    Start(usize),
    /// A host is requested to stop and is listed as leaving.
    Stop(usize),
    /// A host process ends and is removed from the list.
    End(usize),
    /// A host is killed.
    Kill(usize),
    /// A failure domain is cut off.
    Cut(usize),
    /// The cut ends.
    Heal,
    /// The platform falls behind (`true`) or catches up (`false`).
    Stale(bool),
    /// A host is paused.
    Pause(usize),
    /// A paused host is resumed.
    Wake(usize),
}

/// A stopping host's process is ended after this time if it still runs.
const STOP_GRACE: time::Duration = time::Duration::from_secs(10);
/// The time between the stops of two hosts in a rolling restart.
const ROLLING_INTERVAL: time::Duration = time::Duration::from_secs(14);
const MOVE_DELAY: time::Duration = time::Duration::from_secs(10);
const CUT_DURATION: time::Duration = time::Duration::from_secs(20);
const STALE_DURATION: time::Duration = time::Duration::from_secs(20);
const PAUSE_DURATION: time::Duration = time::Duration::from_secs(30);

/// A step and its time after the start of the change.
pub type TimedStep = (time::Duration, ChangeStep);

/// The steps of `change`. The two changes of a pair concern different servers
/// and hosts, except for the rolling restart.
pub fn steps(change: ChangeKind, plan: &DeploymentPlan) -> Vec<TimedStep> {
    let now = time::Duration::ZERO;
    match change {
        ChangeKind::PresetSwitch => vec![(now, ChangeStep::SwitchPreset)],
        ChangeKind::Drain => vec![(now, ChangeStep::Drain(documents::DRAINED_SERVER))],
        ChangeKind::ServerRemoved => vec![(now, ChangeStep::Remove(documents::REMOVED_SERVER))],
        ChangeKind::ServerMoved => vec![
            (now, ChangeStep::Remove(documents::MOVED_SERVER)),
            (MOVE_DELAY, ChangeStep::Move(documents::MOVED_SERVER)),
        ],
        ChangeKind::HostAdded => vec![(now, ChangeStep::Start(plan.host_count))],
        ChangeKind::HostStopped => {
            vec![(now, ChangeStep::Stop(1)), (STOP_GRACE, ChangeStep::End(1))]
        }
        ChangeKind::HostKilled => vec![(now, ChangeStep::Kill(2))],
        ChangeKind::RollingRestart => (0..plan.host_count).flat_map(restart).collect(),
        ChangeKind::DomainCut => vec![(now, ChangeStep::Cut(1)), (CUT_DURATION, ChangeStep::Heal)],
        ChangeKind::PlatformStale => vec![
            (now, ChangeStep::Stale(true)),
            (STALE_DURATION, ChangeStep::Stale(false)),
        ],
        ChangeKind::HostPaused => {
            vec![
                (now, ChangeStep::Pause(0)),
                (PAUSE_DURATION, ChangeStep::Wake(0)),
            ]
        }
    }
}

fn restart(host: usize) -> [TimedStep; 3] {
    let start = ROLLING_INTERVAL * host as u32;
    let end = start + STOP_GRACE;
    [
        (start, ChangeStep::Stop(host)),
        (end, ChangeStep::End(host)),
        (end, ChangeStep::Start(host)),
    ]
}

/// No change, one, or two that overlap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeScenario {
    /// The changes, in the order of their starts.
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
    /// The scenario without changes, and each change alone.
    pub fn singles() -> Vec<Self> {
        let calm = Self {
            changes: Vec::new(),
        };
        let singles = ChangeKind::ALL.map(|change| Self {
            changes: vec![change],
        });
        [calm].into_iter().chain(singles).collect()
    }

    /// Each pair of planned changes, and each planned change with a killed host.
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

    /// Whether a change concerns `server`. The load of such a server is not compared
    /// with that of others.
    pub fn touches(&self, plan: &DeploymentPlan, server: usize) -> bool {
        self.changes.iter().any(|change| match change {
            ChangeKind::PresetSwitch => documents::is_changed_by_preset(plan, server),
            ChangeKind::Drain => server == documents::DRAINED_SERVER,
            ChangeKind::ServerMoved => server == documents::MOVED_SERVER,
            ChangeKind::ServerRemoved => server == documents::REMOVED_SERVER,
            _ => false,
        })
    }

    /// The steps of all changes; the second change starts one second later.
    pub fn steps(&self, plan: &DeploymentPlan) -> Vec<TimedStep> {
        let mut all = Vec::new();
        for (position, change) in self.changes.iter().enumerate() {
            let start = time::Duration::from_secs(position as u64);
            let steps = steps(*change, plan);
            all.extend(steps.into_iter().map(|(after, step)| (start + after, step)));
        }
        all
    }
}
