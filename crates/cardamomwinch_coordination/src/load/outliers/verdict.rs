//! Servers that stand out, and how many of them may be out at once.

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId};

use crate::load::outcome_counts::EvidenceWeight;
use crate::load::outliers::OutlierReason;
use crate::load::outliers::watched::ServerGroup;

/// At most one server in this many is out.
const MAX_OUT_DIVISOR: usize = 3;

/// A server that stands out.
#[derive(Debug, Clone, Copy)]
pub(super) struct OutlierVerdict {
    pub(super) server: BackendId,
    pub(super) group: ServerGroup,
    pub(super) reason: OutlierReason,
    pub(super) weight: EvidenceWeight,
    /// The evidence of this host alone.
    pub(super) own_weight: EvidenceWeight,
    /// Whether that is conclusive by itself.
    pub(super) is_own: bool,
}

/// At most a third of the servers of each group, the worst ones; `verdicts` has the worst
/// first. None of a group of which more than half stand out.
pub(super) fn limit(
    verdicts: &[OutlierVerdict],
    count: impl Fn(ServiceId, DomainId) -> usize,
) -> Vec<OutlierVerdict> {
    let mut limited = Vec::new();
    for verdict in verdicts {
        let group = verdict.group;
        let of_group =
            |list: &[OutlierVerdict]| list.iter().filter(|one| one.group == group).count();
        let servers = count(group.0, group.1);
        let has_room = of_group(&limited) < servers / MAX_OUT_DIVISOR;
        if has_room && of_group(verdicts) * 2 <= servers {
            limited.push(*verdict);
        }
    }
    limited
}
