//! The list of hosts in force and a few earlier ones. A host with one of the earlier
//! lists is sent only the changes: the whole list of a large fleet is hundreds of
//! kilobytes, and most changes concern one host.

use std::collections::VecDeque;
use std::fmt::Write;
use std::sync;

use cardamomwinch_protocol::peer::configuration::{DocumentStamp, HostListOffer};
use cardamomwinch_state::prelude::{HostEntry, HostId, HostListVersion, HostTable, SortedVector};

use crate::control::adoption::document;

/// Earlier lists that are kept.
const MAX_EARLIER_LISTS: usize = 4;

/// A list with its stamp. The hash covers the hosts rather than the published text,
/// so that a list assembled from changes has the same stamp.
#[derive(Debug, Default, Clone)]
pub struct HeldHosts {
    /// Orders lists.
    pub stamp: DocumentStamp,
    /// The list.
    pub table: sync::Arc<HostTable>,
}

impl HeldHosts {
    /// Computes the stamp of `table`.
    pub fn new(table: HostTable) -> Self {
        let mut listing = String::new();
        for host in table.hosts.values() {
            // Writing into a string cannot fail.
            let _ = writeln!(
                listing,
                "{} {} {} {} {} {} {}",
                host.id,
                host.name,
                host.domain,
                host.traffic_address,
                host.peer_address,
                host.relay_address,
                host.phase
            );
        }
        let stamp = DocumentStamp {
            revision: table.version.get(),
            hash: document::content_hash(listing.as_bytes()),
        };
        let table = sync::Arc::new(table);
        Self { stamp, table }
    }
}

/// The list in force and earlier ones.
#[derive(Debug, Default, Clone)]
pub struct HostLists {
    current: HeldHosts,
    earlier: VecDeque<HeldHosts>,
}

/// Ignores the earlier lists: they only save bytes and are not part of the accepted
/// state.
impl PartialEq for HostLists {
    fn eq(&self, other: &Self) -> bool {
        self.current.stamp == other.current.stamp
    }
}

impl Eq for HostLists {}

impl HostLists {
    /// The stamp of the list in force; the lowest before there is one.
    pub fn stamp(&self) -> DocumentStamp {
        self.current.stamp
    }

    /// The list in force.
    pub fn table(&self) -> &sync::Arc<HostTable> {
        &self.current.table
    }

    /// Replaces the list in force if `hosts` is newer. Returns whether it was.
    pub fn replace_if_newer(&mut self, hosts: HeldHosts) -> bool {
        if hosts.stamp <= self.current.stamp {
            return false;
        }
        let replaced = std::mem::replace(&mut self.current, hosts);
        self.earlier.push_front(replaced);
        self.earlier.truncate(MAX_EARLIER_LISTS);
        true
    }

    /// Replaces the list in force if that of `other` is newer.
    pub fn merge(&mut self, other: &Self) {
        self.replace_if_newer(other.current.clone());
    }

    /// The offer to a host with the list `known`: the changes if that list is still
    /// kept, else the whole list. `None` if `known` is not older.
    pub fn offer(&self, known: DocumentStamp) -> Option<HostListOffer> {
        if known >= self.current.stamp {
            return None;
        }
        let base = self.earlier.iter().find(|held| held.stamp == known);
        let base = base.filter(|held| held.stamp != DocumentStamp::default());
        let empty = SortedVector::new();
        let from = base.map_or(&empty, |held| &held.table.hosts);
        let to = &self.current.table.hosts;
        Some(HostListOffer {
            base: base.map(|held| held.stamp),
            stamp: self.current.stamp,
            changed: changed(from, to),
            removed: from
                .keys()
                .filter(|host| !to.contains_key(host))
                .copied()
                .collect(),
        })
    }

    /// Assembles the offered list. Returns `None` if it is not newer, or if its
    /// changes do not apply to the list in force and it must be queried again.
    pub fn assemble(&self, offer: &HostListOffer) -> Option<HeldHosts> {
        if offer.stamp <= self.current.stamp {
            return None;
        }
        let mut hosts = match offer.base {
            None => SortedVector::new(),
            Some(base) if base == self.current.stamp => self.current.table.hosts.clone(),
            Some(_) => return None,
        };
        hosts.retain(|host, _| offer.removed.binary_search(host).is_err());
        let kept = hosts.iter().map(|(id, host)| (*id, host.clone()));
        let changed = offer.changed.iter().map(|host| (host.id, host.clone()));
        let hosts = kept.chain(changed).collect();
        let version = HostListVersion::new(offer.stamp.revision);
        let held = HeldHosts::new(HostTable { version, hosts });
        (held.stamp == offer.stamp).then_some(held)
    }
}

fn changed(
    from: &SortedVector<HostId, HostEntry>,
    to: &SortedVector<HostId, HostEntry>,
) -> Vec<HostEntry> {
    let new = to.iter().filter(|(id, host)| from.get(id) != Some(*host));
    new.map(|(_, host)| host.clone()).collect()
}
