//! Which tokens identify which servers.

use cardamomwinch_state::prelude::BackendId;

use crate::forwarding::packet::FlowToken;

/// The candidate tokens of all known servers.
///
/// Tokens are shorter than identifiers, so two servers may share one. New packets then carry
/// the first candidate that their server shares with no other known one. Hosts that do not
/// know both servers yet may still write a shared token, and flows that were opened before
/// the second server was known carry it, so every candidate stays in the index.
#[derive(Debug, Clone, Default)]
pub struct TokenIndex {
    /// Sorted; a server has one entry for each candidate.
    entries: Vec<(FlowToken, BackendId)>,
}

impl TokenIndex {
    /// Indexes `servers`.
    pub fn new(servers: impl Iterator<Item = BackendId>) -> Self {
        let entries = |id: BackendId| FlowToken::candidates(id).map(|token| (token, id));
        let mut entries: Vec<_> = servers.flat_map(entries).collect();
        entries.retain(|(token, _)| *token != FlowToken::NONE);
        entries.sort_unstable();
        Self { entries }
    }

    /// The servers that `token` may identify, in ascending order.
    pub fn servers(&self, token: FlowToken) -> impl Iterator<Item = BackendId> {
        let start = self.entries.partition_point(|(known, _)| *known < token);
        let same = self.entries[start..].iter();
        same.take_while(move |(known, _)| *known == token)
            .map(|(_, id)| *id)
    }

    /// Whether another server than `id` has `token` among its candidates.
    fn is_shared(&self, token: FlowToken, id: BackendId) -> bool {
        self.servers(token).any(|other| other != id)
    }

    /// Whether the server `id` shares any of its candidates with another one.
    pub fn has_shared_candidate(&self, id: BackendId) -> bool {
        let mut candidates = FlowToken::candidates(id).into_iter();
        candidates.any(|token| self.is_shared(token, id))
    }

    /// The token for packets to the server `id`: its first candidate that no other server
    /// shares. The first of all if each one is shared.
    pub fn token_of(&self, id: BackendId) -> FlowToken {
        let candidates = FlowToken::candidates(id);
        let is_usable =
            |token: &FlowToken| *token != FlowToken::NONE && !self.is_shared(*token, id);
        let usable = candidates.into_iter().find(is_usable);
        usable.unwrap_or(candidates[0])
    }
}
