//! The known state of each host, and which of two claims about it wins.

use cardamomwinch_protocol::peer::membership::HostStanding;
use cardamomwinch_state::prelude::{HostId, HostTable, SortedVector};
use serde::Serialize;

/// The known reachability of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// No message from it and no claim about it was ever received.
    Unknown,
    /// It answers.
    Alive,
    /// It answered neither the pings of this host nor those of the hosts asked
    /// to help, but can still do so before it is claimed dead.
    Suspect,
    /// A ring neighbour claimed that it is dead, and it has not refuted this.
    Dead,
}

#[derive(Debug, Clone, Copy)]
struct MemberState {
    standing: HostStanding,
    suspect: bool,
}

/// The listed hosts that are known from their own messages or from claims.
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

    /// Keeps the greater of the known claim and `standing`, and returns whether
    /// `standing` was new. Claims are compared by incarnation, then by refutation
    /// count, and of otherwise equal claims the one that says dead is greater.
    ///
    /// A host that resumes after a pause or a delayed rumour can repeat a claim
    /// that was refuted meanwhile. Such a claim has a lower incarnation or
    /// refutation count, so it loses.
    pub(super) fn merge(&mut self, host: HostId, standing: HostStanding) -> bool {
        let known = self.members.get(&host);
        if known.is_some_and(|known| known.standing >= standing) {
            return false;
        }
        let suspect = false;
        self.members.insert(host, MemberState { standing, suspect });
        true
    }

    /// Sets whether `host` is suspect, and returns whether this changed.
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
