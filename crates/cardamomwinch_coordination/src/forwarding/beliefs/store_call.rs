//! What is asked of the store, and what it answers.

use std::fmt;
use std::net;
use std::num;
use std::str;
use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, SlotCount};
use serde::{Deserialize, Serialize};

pub use crate::forwarding::beliefs::store_revision::{StoreEra, StoreRevision};
use crate::forwarding::routes::RouteDocument;

/// When a process of a server started, in milliseconds since the Unix epoch by the
/// clock of its own host. A server that starts again may keep its identifier; only
/// this tells that it is another incarnation, which holds no flow of the earlier one.
/// Another value under the same identifier is another incarnation. Which of two is the
/// later one is told by the revisions that wrote them: clocks jump, revisions do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ServerStart(u64);

impl ServerStart {
    /// Wraps a number of milliseconds.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ServerStart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl str::FromStr for ServerStart {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A server as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its identifier.
    pub id: BackendId,
    /// When its process started, where it says so.
    pub started: Option<ServerStart>,
    /// Where it takes packets.
    pub address: net::SocketAddr,
    /// The service that it serves.
    pub service: ServiceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow because it has just started.
    pub cold_left: time::Duration,
    /// The revision that wrote the entry.
    pub revision: StoreRevision,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Wait before the next call.
    Pause(time::Duration),
    /// List a page of everything: the configuration and the servers.
    List {
        /// The key after which the page begins.
        after: Option<String>,
    },
    /// Wait for changes.
    Watch {
        /// The revision after which changes are told.
        after: StoreRevision,
        /// How long the store may wait before it answers that there are none.
        wait: time::Duration,
    },
}

/// One change of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A configuration was written.
    Routes(RouteDocument),
    /// A server was written.
    Server(ServerEntry),
    /// A server has an entry that cannot be understood.
    ServerUnreadable {
        /// The server.
        id: BackendId,
        /// The revision that wrote the entry.
        revision: StoreRevision,
    },
    /// Operators ask that the servers of a failure domain get nothing more.
    EvacuationBegun {
        /// The domain.
        domain: DomainId,
        /// The revision that wrote so.
        revision: StoreRevision,
    },
    /// The servers of a failure domain may be sent new flows again.
    EvacuationEnded {
        /// The domain.
        domain: DomainId,
        /// The revision that wrote so.
        revision: StoreRevision,
    },
    /// A server was taken off the list.
    ServerRemoved {
        /// The incarnation.
        id: BackendId,
        /// The revision that did so.
        revision: StoreRevision,
    },
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The pause is over.
    Paused,
    /// A page of everything.
    Page {
        /// What the page holds, as if it had just been written.
        items: Vec<StoreChange>,
        /// The revision at which the page was read.
        revision: StoreRevision,
        /// The key after which the next page begins; `None` after the last.
        next: Option<String>,
    },
    /// What has changed.
    Changes {
        /// The changes in their order.
        changes: Vec<StoreChange>,
        /// The revision up to which these are all.
        revision: StoreRevision,
    },
    /// The store no longer has the changes asked for.
    HistoryGone,
    /// The store was not reached, refused, or did not answer in time.
    Failed,
}
