//! The region of each failure domain.

use cardamomwinch_state::prelude::{DomainId, RegionId, SortedVector};

/// The regions of the failure domains by the settings of the host.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DomainRegions {
    regions: SortedVector<DomainId, RegionId>,
}

impl DomainRegions {
    /// The region of `domain`, if the settings contain it.
    pub fn of(&self, domain: DomainId) -> Option<RegionId> {
        self.regions.get(&domain).copied()
    }
}

impl FromIterator<(DomainId, RegionId)> for DomainRegions {
    fn from_iter<I: IntoIterator<Item = (DomainId, RegionId)>>(pairs: I) -> Self {
        Self {
            regions: pairs.into_iter().collect(),
        }
    }
}
