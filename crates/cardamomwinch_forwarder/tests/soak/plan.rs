//! What a soak does and when, drawn from a seed.

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
/// How long a disruption lasts.
const SHORTEST_MS: u64 = 300;
const LONGEST_MS: u64 = 5_000;
/// The time for which one restore of the store is drawn.
const RESTORE_SPAN_MS: u64 = 20_000;
/// How long after the changes that it loses the store goes away, at most.
const LOSS_PAUSE_MS: u64 = 1_500;
/// The longest restore; what follows is judged only once the store was calm for a while.
const LONGEST_RESTORE_MS: u64 = 1_500;
/// A server leaves so long after the store is back: what was lost is written again, and
/// nothing has disturbed the store for four seconds.
const LEAVING_AFTER_MS: u64 = 5_700;
/// Makes the draw of restores independent of the other draws.
const RESTORE_SALT: u64 = 0x7e57_0e7a;
/// The path serves in peace before the first disruption.
const QUIET_START_MS: u64 = 1_500;

/// A kind of disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DisruptionKind {
    /// A host gets SIGKILL and starts again.
    HostKilled,
    /// All hosts get SIGKILL and start again.
    AllHostsKilled,
    /// A host gets SIGSTOP, and SIGCONT later.
    HostPaused,
    /// A host gets SIGTERM, ends by itself and starts again.
    HostStopped,
    /// The settings file of a host is written anew, and it gets SIGHUP.
    HostReloaded,
    /// A host is added.
    HostAdded,
    /// The store answers nothing, refuses, or resets connections.
    StoreDown,
    /// The store takes its time.
    StoreSlow,
    /// The store forgets its history.
    HistoryDropped,
    /// The store is away, and comes back from a copy some seconds old. What it lost is
    /// written again soon after.
    StoreRestored,
    /// The connections of one host to the store are closed and refused.
    StoreRefusesHost,
    /// The connections of one host to the store go silent.
    StoreSilentForHost,
    /// The store hears one host, but its answers do not come back.
    StoreOneWayForHost,
    /// Packets of the fabric are lost, doubled and late.
    FabricPoor,
    /// One host's packets to servers are lost.
    HostCutFromServers,
    /// A server falls silent, and its entry lapses; it comes back as another
    /// incarnation.
    ServerCrashed,
    /// The same, but its address goes to a server of another service.
    AddressReused,
    /// A server announces that it leaves, and leaves.
    ServerDrained,
    /// A server is added.
    ServerAdded,
    /// A route is added.
    RouteAdded,
    /// A route is dropped.
    RouteDropped,
    /// Many versions of the configuration follow each other.
    ConfigurationStorm,
}

impl DisruptionKind {
    /// Each kind that is drawn among others; [`Self::StoreRestored`] is drawn apart.
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

    /// Whether it concerns one host for as long as it lasts.
    pub(crate) const fn concerns_host(self) -> bool {
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
    /// How long it lasts, where it lasts.
    pub(crate) lasts: time::Duration,
    /// What happens.
    pub(crate) kind: DisruptionKind,
    /// Chooses what it happens to.
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
    /// What it was drawn from.
    pub(crate) seed: u64,
    /// How long disruptions go on.
    pub(crate) length: time::Duration,
    /// The disruptions in the order of their beginnings.
    pub(crate) disruptions: Vec<PlannedDisruption>,
}

impl SoakPlan {
    /// A plan that only changes routes and drains a server: the rest is calm, so that
    /// a planted mistake is the only one.
    pub(crate) fn calm(length: time::Duration) -> Self {
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

    /// Draws a plan in which the store comes back from copies, too. These are drawn apart,
    /// so that the plan of a seed without them stays as it was.
    pub(crate) fn draw_with_restores(seed: u64, length: time::Duration) -> Self {
        let mut plan = Self::draw(seed, length);
        let mut random = SmallRng::seed_from_u64(seed ^ RESTORE_SALT);
        let spans = 1.max(length.as_millis() as u64 / RESTORE_SPAN_MS);
        for span in 0..spans {
            let latest = QUIET_START_MS + LOSS_PAUSE_MS;
            let begin = span * RESTORE_SPAN_MS + random.random_range(QUIET_START_MS..latest);
            plan.disruptions.extend(draw_restore(&mut random, begin));
        }
        plan.disruptions.sort_by_key(|one| one.at);
        plan
    }

    /// Draws a plan. The same seed and length give the same plan.
    pub(crate) fn draw(seed: u64, length: time::Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut disruptions = Vec::new();
        let mut at = time::Duration::from_millis(QUIET_START_MS);
        while at < length {
            disruptions.push(PlannedDisruption {
                at,
                lasts: time::Duration::from_millis(random.random_range(SHORTEST_MS..=LONGEST_MS)),
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

/// The store loses many changes at once, and soon after a server leaves, whose change gets
/// a number that was given out before.
fn draw_restore(random: &mut SmallRng, begin_ms: u64) -> [PlannedDisruption; 3] {
    let away_at = begin_ms + random.random_range(SHORTEST_MS..=LOSS_PAUSE_MS);
    let away_ms = random.random_range(SHORTEST_MS..=LONGEST_RESTORE_MS);
    let mut planned = |at, lasts, kind| PlannedDisruption {
        at: time::Duration::from_millis(at),
        lasts: time::Duration::from_millis(lasts),
        kind,
        pick: random.random_range(0..1_000_000),
    };
    [
        planned(begin_ms, 0, DisruptionKind::ConfigurationStorm),
        planned(away_at, away_ms, DisruptionKind::StoreRestored),
        planned(
            away_at + away_ms + LEAVING_AFTER_MS,
            0,
            DisruptionKind::ServerDrained,
        ),
    ]
}
