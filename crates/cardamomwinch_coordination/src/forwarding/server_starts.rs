//! Detects servers that restarted under the same identifier.
//!
//! Guards against a server that crashes and is back before its entry expires, which a host
//! that only compares identifiers does not notice. The server would reset each idle flow at
//! its next request, and would be evaluated by what its earlier process did. Each entry
//! contains the start of its process, which distinguishes the two.

use std::sync;

use cardamomwinch_state::prelude::{BackendId, SortedVector};

use crate::forwarding::directory::ServerDirectory;
use crate::forwarding::discovery::store_call::ServerStart;

/// The last known starts of all servers.
#[derive(Debug, Default)]
pub struct ServerStarts {
    starts: SortedVector<BackendId, ServerStart>,
    seen: sync::Arc<ServerDirectory>,
}

impl ServerStarts {
    /// Returns the servers, in ascending order, whose start in `directory` differs from the
    /// one of the previous call.
    pub fn take_restarted(&mut self, directory: &sync::Arc<ServerDirectory>) -> Vec<BackendId> {
        if sync::Arc::ptr_eq(&self.seen, directory) {
            return Vec::new();
        }
        self.seen = sync::Arc::clone(directory);
        let started = directory.iter().filter_map(|server| {
            let start = server.started?;
            Some((server.id, start))
        });
        let starts: SortedVector<_, _> = started.collect();
        let before = std::mem::replace(&mut self.starts, starts);
        let is_other = |(id, start): &(&BackendId, &ServerStart)| {
            before.get(id).is_some_and(|earlier| earlier != *start)
        };
        let restarted = self.starts.iter().filter(is_other);
        restarted.map(|(id, _)| *id).collect()
    }
}
