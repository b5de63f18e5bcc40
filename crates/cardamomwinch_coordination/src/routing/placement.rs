//! Ways to choose the server of a new flow among those that a home counts for.

use cardamomwinch_state::prelude::FlowHash;

/// A server that has room for one more flow, as its home sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementOption {
    /// The server's identifier as a number, to break ties by.
    pub server: u64,
    /// Whether the lookup table gives the flow to this server.
    pub by_table: bool,
    /// Requests running and waiting, per thousand slots.
    pub load: u64,
    /// Flows held, per thousand of the weight that the servers share.
    pub flows: u64,
}

/// Chooses the server of a flow whose caller echoes its token, so that any
/// server will do. Other flows stay with the lookup table wherever it has room.
pub trait PlacementPolicy {
    /// What tables of figures call it.
    const NAME: &'static str;

    /// The position of the choice in `options`, which are in the order of their
    /// identifiers; absent only where there are none.
    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize>;
}

/// The lookup table alone: what every host derives without a message.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TablePlacement;

impl PlacementPolicy for TablePlacement {
    const NAME: &'static str = "table";

    fn choose(&self, hash: FlowHash, options: &[PlacementOption]) -> Option<usize> {
        let by_table = options.iter().position(|option| option.by_table);
        by_table.or_else(|| least(options, |option| hash.mixed_with(option.server)))
    }
}

/// The table's server while it is idle, else the one with the least load.
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

/// The server with the least load, and of equal ones that with the fewest flows.
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

/// The server with the fewest flows, and of equal ones that with the least load.
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

/// The better of two servers that the flow's hash names.
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

/// The table's server unless it holds more than its bounded share of flows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BoundedLoadPlacement;

/// A server may hold this much more than the mean, in percent of the mean.
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

/// Which policy a host places by. All hosts may differ: the token names the
/// server, whoever chose it.
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

    /// What tables of figures call the policy.
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

    /// The choice of the policy; see [`PlacementPolicy::choose`].
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
