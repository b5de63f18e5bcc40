//! What is believed of each host, and which of two claims holds.

use cardamomwinch_protocol::peer::membership::HostStanding;
use cardamomwinch_state::prelude::{HostId, HostTable, SortedVector};
use serde::Serialize;

/// What is believed of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// It may be listed, but nobody has heard of it.
    Unknown,
    /// It answers.
    Alive,
    /// It did not answer this host, neither directly nor through others, but
    /// still has time to.
    Suspect,
    /// A neighbour claimed that it is dead, and it has not refuted that.
    Dead,
}

#[derive(Debug, Clone, Copy)]
struct MemberState {
    standing: HostStanding,
    suspect: bool,
}

/// The hosts that were ever heard of, directly or by rumour.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    members: SortedVector<HostId, MemberState>,
}

impl MemberTable {
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn standing(&self, host: HostId) -> Option<HostStanding> {
        self.members.get(&host).map(|member| member.standing)
    }

    pub(super) fn reachability(&self, host: HostId) -> Reachability {
        match self.members.get(&host) {
            None => Reachability::Unknown,
            Some(member) if member.standing.dead => Reachability::Dead,
            Some(member) if member.suspect => Reachability::Suspect,
            Some(_) => Reachability::Alive,
        }
    }

    pub(super) fn is_dead(&self, host: HostId) -> bool {
        self.reachability(host) == Reachability::Dead
    }

    pub(super) fn is_alive(&self, host: HostId) -> bool {
        self.reachability(host) == Reachability::Alive
    }

    /// Takes the greater claim, and tells whether it is news.
    ///
    /// Guards against a host that wakes late, or a rumour that was delayed: it
    /// brings back a claim that has been refuted since. It shows as a lower
    /// life or refutation count, and the order of claims lets the later win.
    pub(super) fn merge(&mut self, host: HostId, standing: HostStanding) -> bool {
        let known = self.members.get(&host);
        if known.is_some_and(|known| known.standing >= standing) {
            return false;
        }
        let suspect = false;
        self.members.insert(host, MemberState { standing, suspect });
        true
    }

    /// Sets whether `host` is suspect, and tells whether that changed.
    pub(super) fn set_suspect(&mut self, host: HostId, suspect: bool) -> bool {
        let Some(member) = self.members.get_mut(&host) else {
            return false;
        };
        let changed = member.suspect != suspect;
        member.suspect = suspect;
        changed
    }

    pub(super) fn suspects(&self) -> Vec<HostId> {
        let suspects = self.members.iter().filter(|(_, member)| member.suspect);
        suspects.map(|(host, _)| *host).collect()
    }

    pub(super) fn retain_listed(&mut self, hosts: &HostTable) {
        self.members.retain(|host, _| hosts.get(*host).is_some());
    }
}
