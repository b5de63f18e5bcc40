//! The servers that did not confirm recent openings of each caller.
//!
//! Guards against requests that fail within milliseconds because of a dead server that is
//! still listed, and is the only one in its failure domain. Its reset goes to the caller
//! directly and not through this host; the caller tries again at once from another port,
//! and would reach the same server until its retries are used up. Nothing in the new flow
//! shows that it is a retry, except the caller's IP address.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// The maximum number of callers. Retries of others are placed like first openings.
const CALLER_LIMIT: usize = 4_096;
/// How long after an opening another one of the caller counts as a retry.
const RETRY_WINDOW: time::Duration = time::Duration::from_millis(1_000);
/// The number of servers that are kept for a caller: as many as it has retries.
const SERVER_LIMIT: usize = 3;

/// The IP address of a caller, and the service address that it opens flows to.
type CallerKey = (net::IpAddr, net::SocketAddr);

#[derive(Debug, Clone, Copy)]
struct RecentEntry {
    servers: [Option<BackendId>; SERVER_LIMIT],
    at: Timestamp,
}

/// The servers that recent openings of each caller were sent to, until one of them confirms.
#[derive(Debug, Default)]
pub struct RecentOpenings {
    callers: SortedVector<CallerKey, RecentEntry>,
}

impl RecentOpenings {
    /// Whether an opening of this caller was recently sent to `server` and not confirmed.
    pub fn contains(&self, caller: CallerKey, server: BackendId, now: Timestamp) -> bool {
        self.callers.get(&caller).is_some_and(|entry| {
            now.since(entry.at) <= RETRY_WINDOW && entry.servers.contains(&Some(server))
        })
    }

    /// Records that an opening of this caller is sent to `server`.
    pub fn note(&mut self, caller: CallerKey, server: BackendId, now: Timestamp) {
        if self.callers.len() >= CALLER_LIMIT && !self.callers.contains_key(&caller) {
            return;
        }
        let fresh = || RecentEntry {
            servers: [None; SERVER_LIMIT],
            at: now,
        };
        let entry = self.callers.get_or_insert_with(caller, fresh);
        if now.since(entry.at) > RETRY_WINDOW {
            *entry = fresh();
        }
        entry.at = now;
        if entry.servers.contains(&Some(server)) {
            return;
        }
        entry.servers.rotate_right(1);
        entry.servers[0] = Some(server);
    }

    /// Records that a server confirmed an opening of this caller.
    pub fn confirm(&mut self, caller: CallerKey) {
        self.callers.remove(&caller);
    }

    /// Removes callers that have not tried again.
    pub fn sweep(&mut self, now: Timestamp) {
        self.callers
            .retain(|_, entry| now.since(entry.at) <= RETRY_WINDOW);
    }
}
