//! Messages name hosts by their position in a version of the host list. The
//! last few versions are kept, so that hosts that have accepted different
//! versions can still decode each other's positions.

use cardamomwinch_protocol::peer::membership::HostPosition;
use cardamomwinch_state::prelude::{HostId, HostListVersion, HostTable, SortedVector};

/// The number of versions that are kept.
const MAX_LISTS: usize = 4;

/// The hosts of the last few versions of the list, ordered by identifier.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    lists: SortedVector<HostListVersion, Vec<HostId>>,
}

impl ListHistory {
    pub(super) fn adopt(&mut self, hosts: &HostTable) {
        let ids = hosts.hosts.keys().copied().collect();
        self.lists.insert(hosts.version, ids);
        while self.lists.len() > MAX_LISTS {
            let Some(oldest) = self.lists.keys().next().copied() else {
                return;
            };
            self.lists.remove(&oldest);
        }
    }

    /// The version to use in a message to a peer that has accepted `theirs`:
    /// `theirs` if it is kept here, otherwise the newest one kept here.
    pub(super) fn common_version(&self, theirs: HostListVersion) -> Option<HostListVersion> {
        let newest = self.lists.keys().next_back().copied();
        let shared = self.lists.contains_key(&theirs).then_some(theirs);
        shared.or(newest)
    }

    pub(super) fn position(&self, list: HostListVersion, host: HostId) -> Option<HostPosition> {
        let position = self.lists.get(&list)?.binary_search(&host).ok()?;
        u16::try_from(position).ok().map(HostPosition::new)
    }

    pub(super) fn host(&self, list: HostListVersion, position: HostPosition) -> Option<HostId> {
        let hosts = self.lists.get(&list)?;
        hosts.get(usize::from(position.get())).copied()
    }

    /// The hosts of `list`, ordered by identifier.
    pub(super) fn hosts(&self, list: HostListVersion) -> &[HostId] {
        self.lists.get(&list).map_or(&[], Vec::as_slice)
    }
}
