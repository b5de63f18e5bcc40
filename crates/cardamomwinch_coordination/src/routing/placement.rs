//! Policies to choose the server of a new flow among those whose load its home
//! counts.

use cardamomwinch_state::prelude::FlowHash;

/// A server that can accept one more flow, with its load as counted by its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementOption {
    /// The server's identifier as a number, used to break ties.
    pub server: u64,
    /// Whether the lookup table selects this server for the flow.
    pub by_table: bool,
    /// Running and waiting requests per thousand usable slots.
    pub load: u64,
    /// Open flows per thousand units of the server's weight.
    pub flows: u64,
}

/// Chooses the server of a flow whose caller echoes its token. Such a flow can
/// be on any server. Other flows get the server of the lookup table if it can
/// accept them.
pub trait PlacementPolicy {
    /// The name of the policy in tables of measurements.
    const NAME: &'static str;

    /// Returns the position of the chosen server in `options`, which are ordered
    /// by identifier; `None` only if `options` is empty.
    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize>;
}

/// The server of the lookup table, which every host derives without a message.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TablePlacement;

impl PlacementPolicy for TablePlacement {
    const NAME: &'static str = "table";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        let by_table = options.iter().position(|option| option.by_table);
        by_table.or_else(|| least(options, |option| hash.mixed_with(option.server)))
    }
}

/// The table's server while it is idle, otherwise the one with the least load.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct IdleTablePlacement;

impl PlacementPolicy for IdleTablePlacement {
    const NAME: &'static str = "table while idle";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        let idle = options.iter();
        let mut idle = idle.map(|option| option.by_table && option.load == 0);
        let idle = idle.position(|idle| idle);
        idle.or_else(|| {
            least(options, |option| {
                (option.load, hash.mixed_with(option.server))
            })
        })
    }
}

/// The server with the least load; among equal ones that with the fewest flows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LeastLoadPlacement;

impl PlacementPolicy for LeastLoadPlacement {
    const NAME: &'static str = "least load";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        least(options, |option| {
            (option.load, option.flows, hash.mixed_with(option.server))
        })
    }
}

/// The server with the fewest flows; among equal ones that with the least load.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct FewestFlowsPlacement;

impl PlacementPolicy for FewestFlowsPlacement {
    const NAME: &'static str = "fewest flows";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        least(options, |option| {
            (option.flows, option.load, hash.mixed_with(option.server))
        })
    }
}

/// The server with less load of two that are selected by the flow's hash.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TwoChoicesPlacement;

impl PlacementPolicy for TwoChoicesPlacement {
    const NAME: &'static str = "two choices";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        let count = options.len() as u64;
        let pick = |salt| hash.mixed_with(salt).checked_rem(count);
        let (first, second) = (pick(1)? as usize, pick(2)? as usize);
        let key = |position: usize| (options[position].load, options[position].flows);
        Some(if key(second) < key(first) {
            second
        } else {
            first
        })
    }
}

/// The table's server unless it has more than its bounded share of flows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BoundedLoadPlacement;

/// The maximum number of flows of a server in percent of the mean.
const BOUND_PERCENT: u64 = 110;

impl PlacementPolicy for BoundedLoadPlacement {
    const NAME: &'static str = "bounded load";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        let total: u64 = options.iter().map(|option| option.flows).sum();
        let bound = total * BOUND_PERCENT / 100 / (options.len() as u64).max(1);
        let mut within = options.iter();
        let within = within.position(|option| option.by_table && option.flows <= bound);
        within.or_else(|| {
            least(options, |option| {
                (option.flows, option.load, hash.mixed_with(option.server))
            })
        })
    }
}

fn least<K: Ord>(
    options: &[PlacementOption],
    key: impl Fn(&PlacementOption) -> K,
) -> Option<usize> {
    (0..options.len()).min_by_key(|position| key(&options[*position]))
}

/// The placement policy of a host. Hosts may use different policies, because the
/// token contains the chosen server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PlacementChoice {
    /// [`TablePlacement`]
    Table,
    /// [`IdleTablePlacement`]
    #[default]
    IdleTable,
    /// [`LeastLoadPlacement`]
    LeastLoad,
    /// [`FewestFlowsPlacement`]
    FewestFlows,
    /// [`TwoChoicesPlacement`]
    TwoChoices,
    /// [`BoundedLoadPlacement`]
    BoundedLoad,
}

impl PlacementChoice {
    /// Every policy.
    pub const ALL: [Self; 6] = [
        Self::Table,
        Self::IdleTable,
        Self::LeastLoad,
        Self::FewestFlows,
        Self::TwoChoices,
        Self::BoundedLoad,
    ];

    /// The name of the policy in tables of measurements.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Table => TablePlacement::NAME,
            Self::IdleTable => IdleTablePlacement::NAME,
            Self::LeastLoad => LeastLoadPlacement::NAME,
            Self::FewestFlows => FewestFlowsPlacement::NAME,
            Self::TwoChoices => TwoChoicesPlacement::NAME,
            Self::BoundedLoad => BoundedLoadPlacement::NAME,
        }
    }

    /// Applies the policy; see [`PlacementPolicy::choose`].
    pub fn choose(self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        match self {
            Self::Table => TablePlacement.choose(hash, options),
            Self::IdleTable => IdleTablePlacement.choose(hash, options),
            Self::LeastLoad => LeastLoadPlacement.choose(hash, options),
            Self::FewestFlows => FewestFlowsPlacement.choose(hash, options),
            Self::TwoChoices => TwoChoicesPlacement.choose(hash, options),
            Self::BoundedLoad => BoundedLoadPlacement.choose(hash, options),
        }
    }
}
