//! Which servers have started again under the identifier that they had.
//!
//! Guards against a server that crashes and is back before its entry lapses: to a
//! host that only compares identifiers nothing has happened. It shows as callers
//! that are reset by the server one by one, with the first request that they send on
//! each flow which rested, and as a server that is judged by what the process before
//! it did. Each entry names the start of its process, which tells the two apart.

use std::sync;

use cardamomwinch_state::prelude::{BackendId, SortedVector};

use crate::forwarding::beliefs::store_call::ServerStart;
use crate::forwarding::directory::ServerDirectory;

/// The starts of all servers as they were known last.
#[derive(Debug, Default)]
pub struct ServerStarts {
    starts: SortedVector<BackendId, ServerStart>,
    seen: sync::Arc<ServerDirectory>,
}

impl ServerStarts {
    /// The servers, in rising order, that `directory` knows by another start than
    /// before.
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
