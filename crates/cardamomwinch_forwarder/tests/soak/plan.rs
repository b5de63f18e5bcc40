//! The plan of a run: its disruptions and their times, drawn from a seed.

use std::fmt;
use std::time;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// The mean pause between disruptions.
const MEAN_PAUSE_MS: u64 = 1_200;
/// The share of disruptions that follow the one before within
/// [`SERIES_PAUSE_MS`]: faults come in series and overlap.
const SERIES_SHARE: f64 = 0.4;
const SERIES_PAUSE_MS: u64 = 300;
/// The shortest and the longest duration of a disruption.
const MIN_DURATION_MS: u64 = 300;
const MAX_DURATION_MS: u64 = 5_000;
/// One restore of the store is drawn for each span of this length.
const RESTORE_SPAN_MS: u64 = 20_000;
/// The maximum time between the changes that a restore loses and the start of the outage.
const MAX_LOSS_PAUSE_MS: u64 = 1_500;
/// The maximum duration of a restore. What follows is checked only after the store has been
/// undisturbed for some time.
const MAX_RESTORE_MS: u64 = 1_500;
/// The time from a restore until a server drains: the lost writes have been repeated, and
/// nothing has disturbed the store for four seconds.
const DRAIN_DELAY_MS: u64 = 5_700;
/// Makes the drawing of restores independent of the other disruptions.
const RESTORE_SALT: u64 = 0x7e57_0e7a;
/// One surge is drawn for each span of this length.
const SURGE_SPAN_MS: u64 = 5_000;
/// The shortest and the longest duration of a surge.
const SURGE_MS: std::ops::RangeInclusive<u64> = 1_000..=2_000;
/// Makes the drawing of surges independent of the other disruptions.
const SURGE_SALT: u64 = 0x5c_a1ab;
/// The time without disruptions at the start.
const QUIET_START_MS: u64 = 1_500;

/// A kind of disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DisruptionKind {
    /// A host gets SIGKILL and is restarted.
    HostKilled,
    /// All hosts get SIGKILL and are restarted.
    AllHostsKilled,
    /// A host gets SIGSTOP, and SIGCONT later.
    HostPaused,
    /// A host gets SIGTERM, ends by itself and is restarted.
    HostStopped,
    /// A host gets SIGHUP and reloads its settings.
    HostReloaded,
    /// A host is added.
    HostAdded,
    /// The store doesn't answer, refuses calls, or resets connections.
    StoreDown,
    /// The store answers slowly.
    StoreSlow,
    /// The store drops its history of changes.
    HistoryDropped,
    /// The store has an outage and is restored from a backup some seconds old. The lost writes
    /// are repeated soon after.
    StoreRestored,
    /// The connections of one host to the store are closed and refused.
    StoreRefusesHost,
    /// The connections of one host to the store carry no data.
    StoreSilentForHost,
    /// The store receives the calls of one host, but its answers don't arrive.
    StoreOneWayForHost,
    /// Packets of the fabric are lost, duplicated and delayed.
    FabricPoor,
    /// One host's packets to servers are lost.
    HostCutFromServers,
    /// A server stops responding, and its entry expires; it is replaced by another
    /// incarnation.
    ServerCrashed,
    /// The same, but its address is reused by a server of another service.
    AddressReused,
    /// A server announces that it drains, and ends later.
    ServerDrained,
    /// A server is added.
    ServerAdded,
    /// A route is added.
    RouteAdded,
    /// A route is dropped.
    RouteDropped,
    /// Many versions of the configuration are published in succession.
    ConfigurationStorm,
    /// Many more short flows are opened in one failure domain than its servers can serve.
    DomainPressed,
}

impl DisruptionKind {
    /// All kinds that are drawn together; [`Self::StoreRestored`] and [`Self::DomainPressed`]
    /// are drawn separately.
    pub(crate) const DRAWN: [Self; 21] = [
        Self::HostKilled,
        Self::AllHostsKilled,
        Self::HostPaused,
        Self::HostStopped,
        Self::HostReloaded,
        Self::HostAdded,
        Self::StoreDown,
        Self::StoreSlow,
        Self::HistoryDropped,
        Self::StoreRefusesHost,
        Self::StoreSilentForHost,
        Self::StoreOneWayForHost,
        Self::FabricPoor,
        Self::HostCutFromServers,
        Self::ServerCrashed,
        Self::AddressReused,
        Self::ServerDrained,
        Self::ServerAdded,
        Self::RouteAdded,
        Self::RouteDropped,
        Self::ConfigurationStorm,
    ];

    /// Whether it affects one host while it lasts.
    pub(crate) const fn affects_host(self) -> bool {
        matches!(
            self,
            Self::HostPaused
                | Self::StoreRefusesHost
                | Self::StoreSilentForHost
                | Self::StoreOneWayForHost
                | Self::HostCutFromServers
        )
    }
}

/// One disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedDisruption {
    /// When it begins, from the start of traffic.
    pub(crate) at: time::Duration,
    /// How long it lasts; unused for kinds without a duration.
    pub(crate) lasts: time::Duration,
    /// What happens.
    pub(crate) kind: DisruptionKind,
    /// Selects what it affects.
    pub(crate) pick: usize,
}

impl fmt::Display for PlannedDisruption {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            lasts,
            kind,
            pick,
        } = self;
        write!(formatter, "{at:?} {kind:?} for {lasts:?}, pick {pick}")
    }
}

/// A run of the soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SoakPlan {
    /// The seed that the plan was drawn from.
    pub(crate) seed: u64,
    /// The time within which disruptions begin.
    pub(crate) length: time::Duration,
    /// The disruptions, in the order of their start.
    pub(crate) disruptions: Vec<PlannedDisruption>,
}

impl SoakPlan {
    /// A plan that only changes routes and drains a server, so that a planted mistake is the
    /// only fault.
    pub(crate) fn minimal(length: time::Duration) -> Self {
        let planned = |seconds, kind| PlannedDisruption {
            at: time::Duration::from_secs(seconds),
            lasts: time::Duration::ZERO,
            kind,
            pick: 0,
        };
        let disruptions = vec![
            planned(1, DisruptionKind::RouteAdded),
            planned(2, DisruptionKind::RouteDropped),
            planned(3, DisruptionKind::ServerDrained),
        ];
        Self {
            seed: 0,
            length,
            disruptions,
        }
    }

    /// Draws a plan in which the store is restored from backups too. The restores are drawn
    /// separately, so that the other disruptions are those of the plan without them.
    pub(crate) fn draw_with_restores(seed: u64, length: time::Duration) -> Self {
        let mut plan = Self::draw(seed, length);
        let mut random = SmallRng::seed_from_u64(seed ^ RESTORE_SALT);
        let spans = 1.max(length.as_millis() as u64 / RESTORE_SPAN_MS);
        for span in 0..spans {
            let latest = QUIET_START_MS + MAX_LOSS_PAUSE_MS;
            let begin = span * RESTORE_SPAN_MS + random.random_range(QUIET_START_MS..latest);
            plan.disruptions.extend(draw_restore(&mut random, begin));
        }
        plan.disruptions.sort_by_key(|one| one.at);
        plan
    }

    /// Adds surges to the plan, drawn separately like restores.
    pub(crate) fn with_surges(mut self) -> Self {
        let mut random = SmallRng::seed_from_u64(self.seed ^ SURGE_SALT);
        let spans = 1.max(self.length.as_millis() as u64 / SURGE_SPAN_MS);
        for span in 0..spans {
            let begin = span * SURGE_SPAN_MS + random.random_range(QUIET_START_MS..SURGE_SPAN_MS);
            self.disruptions.push(PlannedDisruption {
                at: time::Duration::from_millis(begin),
                lasts: time::Duration::from_millis(random.random_range(SURGE_MS)),
                kind: DisruptionKind::DomainPressed,
                pick: random.random_range(0..1_000_000),
            });
        }
        self.disruptions.sort_by_key(|one| one.at);
        self
    }

    /// Draws a plan. The same seed and length give the same plan.
    pub(crate) fn draw(seed: u64, length: time::Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut disruptions = Vec::new();
        let mut at = time::Duration::from_millis(QUIET_START_MS);
        while at < length {
            disruptions.push(PlannedDisruption {
                at,
                lasts: time::Duration::from_millis(
                    random.random_range(MIN_DURATION_MS..=MAX_DURATION_MS),
                ),
                kind: *DisruptionKind::DRAWN
                    .choose(&mut random)
                    .expect("there are kinds"),
                pick: random.random_range(0..1_000_000),
            });
            let longest = if random.random_bool(SERIES_SHARE) {
                SERIES_PAUSE_MS
            } else {
                2 * MEAN_PAUSE_MS
            };
            at += time::Duration::from_millis(random.random_range(0..=longest));
        }
        Self {
            seed,
            length,
            disruptions,
        }
    }
}

/// Draws a restore: the store loses many changes at once, and soon after a server drains,
/// and its change gets a revision number that was assigned before.
fn draw_restore(random: &mut SmallRng, begin_ms: u64) -> [PlannedDisruption; 3] {
    let outage_at = begin_ms + random.random_range(MIN_DURATION_MS..=MAX_LOSS_PAUSE_MS);
    let outage_ms = random.random_range(MIN_DURATION_MS..=MAX_RESTORE_MS);
    let mut planned = |at, lasts, kind| PlannedDisruption {
        at: time::Duration::from_millis(at),
        lasts: time::Duration::from_millis(lasts),
        kind,
        pick: random.random_range(0..1_000_000),
    };
    [
        planned(begin_ms, 0, DisruptionKind::ConfigurationStorm),
        planned(outage_at, outage_ms, DisruptionKind::StoreRestored),
        planned(
            outage_at + outage_ms + DRAIN_DELAY_MS,
            0,
            DisruptionKind::ServerDrained,
        ),
    ]
}
