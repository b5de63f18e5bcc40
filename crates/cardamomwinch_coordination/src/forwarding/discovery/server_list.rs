//! The list of all servers as it is sent, in parts, to a host without data.
//!
//! A host passes on the parts that it has while it waits for the next ones, so that the
//! number of hosts in between adds little to the time until all have the list.

use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::directory::ServerRecord;
use crate::forwarding::discovery::store_call::StoreRevision;

/// The maximum number of servers in a part: some 25 kilobytes, which take 20 ms on a link
/// of 10 Mbit/s.
pub const MAX_PART_SERVERS: usize = 512;
/// A list older than this is not sent to further hosts, because their data would be too old
/// on arrival.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(1);

/// How long a list is kept for hosts that have received a part of it.
const LIST_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Identifies a list. Hosts that pass parts on keep the order of the list.
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

/// A position in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListPosition {
    /// The list.
    pub list: ListId,
    /// The revision of the store that the list reflects.
    pub revision: StoreRevision,
    /// Number of servers before this position.
    pub servers: usize,
}

/// A part of a list.
#[derive(Debug, Clone)]
pub struct ListPart {
    /// Its position in the list.
    pub begin: ListPosition,
    /// Its servers.
    pub servers: Vec<ServerRecord>,
    /// Whether no servers follow.
    pub is_last: bool,
    /// The time as of which the list was current.
    pub as_of: Timestamp,
}

/// A list of all servers, or the first parts of one that is being received.
#[derive(Debug, Default)]
pub struct ServerList {
    id: ListId,
    revision: StoreRevision,
    servers: Vec<ServerRecord>,
    is_complete: bool,
    as_of: Timestamp,
}

impl ServerList {
    /// Creates the complete list of `servers`, which was current at `as_of` up to
    /// `revision`. Its identifier is a hash of these and of `host`, the order number of
    /// this host, so that other lists have other identifiers.
    pub fn of_servers(
        host: u64,
        revision: StoreRevision,
        servers: Vec<ServerRecord>,
        as_of: Timestamp,
    ) -> Self {
        let time_hash = flow::mix(as_of.get() ^ flow::mix(revision.get()));
        Self {
            id: ListId::new(flow::mix(host ^ time_hash)),
            revision,
            servers,
            is_complete: true,
            as_of,
        }
    }

    /// Whether this list may be sent to further hosts, if `revision` is known now.
    pub fn may_be_sent(&self, revision: StoreRevision, now: Timestamp) -> bool {
        let is_recent = now.since(self.as_of) < MAX_LIST_AGE;
        self.is_complete && is_recent && self.revision.era() == revision.era()
    }

    /// Whether the list is too old for any host to be still receiving it.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.is_complete && now.since(self.as_of) >= LIST_RETENTION
    }

    /// Whether `from` is a position in this list.
    pub fn contains_position(&self, from: ListPosition) -> bool {
        from.list == self.id && from.servers <= self.servers.len()
    }

    /// The position of the next part to receive; `None` if no part or all parts have
    /// arrived.
    pub fn next_position(&self) -> Option<ListPosition> {
        (!self.servers.is_empty() && !self.is_complete).then_some(ListPosition {
            list: self.id,
            revision: self.revision,
            servers: self.servers.len(),
        })
    }

    /// The part for a host that has received the list up to `from`, or nothing. `None` if
    /// this host has no further servers. A part has at most `limit` servers.
    pub fn part_after(&self, from: Option<ListPosition>, limit: usize) -> Option<ListPart> {
        let known = from.filter(|from| self.contains_position(*from));
        let first = known.map_or(0, |from| from.servers);
        let last = self.servers.len().min(first + limit);
        let is_last = self.is_complete && last == self.servers.len();
        (last > first || is_last).then(|| ListPart {
            begin: ListPosition {
                list: self.id,
                revision: self.revision,
                servers: first,
            },
            servers: self.servers[first..last].to_vec(),
            is_last,
            as_of: self.as_of,
        })
    }

    /// Adds a received part. Returns whether it follows the parts received before.
    pub fn append(&mut self, part: ListPart) -> bool {
        if part.begin.servers == 0 {
            *self = Self {
                id: part.begin.list,
                revision: part.begin.revision,
                servers: Vec::new(),
                is_complete: false,
                as_of: part.as_of,
            };
        }
        if part.begin.list != self.id || part.begin.servers != self.servers.len() {
            return false;
        }
        self.servers.extend(part.servers);
        self.is_complete = part.is_last;
        true
    }

    /// The servers received so far.
    pub fn servers(&self) -> &[ServerRecord] {
        &self.servers
    }
}
