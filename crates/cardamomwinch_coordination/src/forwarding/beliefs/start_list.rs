//! The list of all servers as it is told to a host that knows nothing, in parts.
//!
//! A host passes on the parts that it has while it waits for the next ones, so that the
//! time until all know everything hardly grows with the number of hosts in between.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::store_call::StoreRevision;
use crate::forwarding::directory::ServerRecord;

/// Servers that are told at a time: some 25 kilobytes, a fiftieth of a second on a link of
/// 10 Mbit/s.
pub const PART_LIMIT: usize = 512;
/// A list that is older than this is not told to further hosts, which would take themselves
/// for up to date too late.
const LIST_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// For so long a list is kept for those that have a part of it.
const KEPT_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Names a list. Hosts that pass parts on tell the same list in the same order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ListId(u64);

impl ListId {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A place in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListPosition {
    /// The list.
    pub list: ListId,
    /// The revision of the store up to which it is told.
    pub revision: StoreRevision,
    /// How many servers stand before.
    pub servers: usize,
}

/// A part of a list.
#[derive(Debug, Clone)]
pub struct ListPart {
    /// Where it begins.
    pub begin: ListPosition,
    /// Its servers.
    pub servers: Vec<ServerRecord>,
    /// Whether no servers follow.
    pub is_last: bool,
    /// When the list was right.
    pub heard_at: Timestamp,
}

/// A list, as far as this host has it.
#[derive(Debug, Default)]
pub struct StartList {
    id: ListId,
    revision: StoreRevision,
    servers: Vec<ServerRecord>,
    is_whole: bool,
    heard_at: Timestamp,
}

impl StartList {
    /// The whole list of `servers`, which was right at `heard_at` up to `revision`. Lists of
    /// other hosts and other moments have other names: `host` is the number of this one.
    pub fn of_servers(
        host: u64,
        revision: StoreRevision,
        servers: Vec<ServerRecord>,
        heard_at: Timestamp,
    ) -> Self {
        let moment = flow::mix(heard_at.get() ^ flow::mix(revision.get()));
        Self {
            id: ListId::new(flow::mix(host ^ moment)),
            revision,
            servers,
            is_whole: true,
            heard_at,
        }
    }

    /// Whether further hosts are told this list, where `revision` is known by now.
    pub fn may_begin(&self, revision: StoreRevision, now: Timestamp) -> bool {
        let is_young = now.since(self.heard_at) < LIST_LIFETIME;
        self.is_whole && is_young && self.revision.era() == revision.era()
    }

    /// Whether nobody is being told this list any more.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        self.is_whole && now.since(self.heard_at) >= KEPT_LIFETIME
    }

    /// Whether `from` is a place in this list.
    pub fn holds(&self, from: ListPosition) -> bool {
        from.list == self.id && from.servers <= self.servers.len()
    }

    /// Behind what the next part is to be told; `None` where nothing or everything was.
    pub fn end(&self) -> Option<ListPosition> {
        (!self.servers.is_empty() && !self.is_whole).then_some(ListPosition {
            list: self.id,
            revision: self.revision,
            servers: self.servers.len(),
        })
    }

    /// The part for a host that has the list up to `from`, or nothing of any. `None` where
    /// this host has nothing further. A part has `limit` servers at most.
    pub fn part_after(&self, from: Option<ListPosition>, limit: usize) -> Option<ListPart> {
        let known = from.filter(|from| self.holds(*from));
        let first = known.map_or(0, |from| from.servers);
        let last = self.servers.len().min(first + limit);
        let is_last = self.is_whole && last == self.servers.len();
        (last > first || is_last).then(|| ListPart {
            begin: ListPosition {
                list: self.id,
                revision: self.revision,
                servers: first,
            },
            servers: self.servers[first..last].to_vec(),
            is_last,
            heard_at: self.heard_at,
        })
    }

    /// Adds a part that this host was told. Returns whether it belongs behind what it has.
    pub fn take(&mut self, part: ListPart) -> bool {
        if part.begin.servers == 0 {
            *self = Self {
                id: part.begin.list,
                revision: part.begin.revision,
                servers: Vec::new(),
                is_whole: false,
                heard_at: part.heard_at,
            };
        }
        if part.begin.list != self.id || part.begin.servers != self.servers.len() {
            return false;
        }
        self.servers.extend(part.servers);
        self.is_whole = part.is_last;
        true
    }

    /// All servers that it has.
    pub fn servers(&self) -> &[ServerRecord] {
        &self.servers
    }
}
