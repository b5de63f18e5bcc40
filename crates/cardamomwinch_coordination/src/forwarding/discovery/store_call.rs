//! Calls to the store and their outcomes.

use std::fmt;
use std::net;
use std::num;
use std::str;
use std::time;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, SlotCount};
use serde::{Deserialize, Serialize};

pub use crate::forwarding::discovery::store_revision::{StoreEra, StoreRevision};
use crate::forwarding::routes::RouteDocument;

/// When the process of a server started, in milliseconds since the Unix epoch by the clock
/// of its own host.
///
/// A server that restarts may keep its identifier. Another value under the same identifier
/// means another incarnation, which holds no flow of the earlier one. The values don't show
/// which of two incarnations is later, because clocks jump; the revisions that wrote them
/// do.
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
    /// When its process started, if published.
    pub started: Option<ServerStart>,
    /// The address that packets are sent to.
    pub address: net::SocketAddr,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Number of requests that it processes at the same time.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold after its start.
    pub cold_left: time::Duration,
    /// The revision that created the entry.
    pub registered: StoreRevision,
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
        /// The revision after which changes are returned.
        after: StoreRevision,
        /// How long the store may wait for a change before it answers that there is none.
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
    /// A server's entry was written, but cannot be parsed.
    ServerUnreadable {
        /// The server.
        id: BackendId,
        /// The revision that wrote the entry.
        revision: StoreRevision,
    },
    /// Operators began the evacuation of a failure domain: its servers get no new flows.
    EvacuationBegun {
        /// The domain.
        domain: DomainId,
        /// The revision that began it.
        revision: StoreRevision,
    },
    /// Operators ended the evacuation of a failure domain.
    EvacuationEnded {
        /// The domain.
        domain: DomainId,
        /// The revision that ended it.
        revision: StoreRevision,
    },
    /// A server was removed.
    ServerRemoved {
        /// The server.
        id: BackendId,
        /// The revision that removed it.
        revision: StoreRevision,
    },
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The pause is over.
    Paused,
    /// A page of everything.
    Page {
        /// The entries of the page, as if they had just been written.
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
        /// The revision up to which the changes are complete.
        revision: StoreRevision,
    },
    /// The store no longer has the changes after the requested revision.
    HistoryGone,
    /// The store was unreachable, refused the call, or did not answer in time.
    Failed,
}
