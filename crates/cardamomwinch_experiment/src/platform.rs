//! A small stand-in for the platform's configuration service: keys with
//! revisions, watches, and a replica that can fall behind.

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::{PlatformKey, PlatformRequest};
use cardamomwinch_state::prelude::SortedVector;

#[derive(Debug, Clone)]
struct KeyRevision {
    revision: u64,
    text: String,
}

/// A call that may wait for a change.
#[derive(Debug, Clone)]
pub struct WaitingCall {
    /// The host that called.
    pub host: usize,
    /// The incarnation that called, as the number of the host's starts; named `life`
    /// in traces.
    pub life: u32,
    /// The call.
    pub request: PlatformRequest,
}

/// Keys, revisions and waiting calls.
#[derive(Debug, Default)]
pub struct PlatformStore {
    keys: SortedVector<PlatformKey, Vec<KeyRevision>>,
    revision: u64,
    stale: bool,
    waiting: Vec<WaitingCall>,
    /// The number of calls so far.
    pub calls: u64,
}

impl PlatformStore {
    /// Publishes `text` under `key`; returns its revision and the waiting calls that
    /// can now be answered.
    pub fn publish(&mut self, key: PlatformKey, text: String) -> (u64, Vec<WaitingCall>) {
        self.revision += 1;
        let revision = self.revision;
        let history = self.keys.get_or_insert_with(key, Vec::new);
        history.push(KeyRevision { revision, text });
        (revision, self.take_ready())
    }

    /// Sets whether the store answers with the revision before the newest; returns
    /// the waiting calls that can now be answered.
    pub fn set_stale(&mut self, stale: bool) -> Vec<WaitingCall> {
        self.stale = stale;
        self.take_ready()
    }

    fn take_ready(&mut self) -> Vec<WaitingCall> {
        let waiting = std::mem::take(&mut self.waiting);
        let (ready, rest) = waiting
            .into_iter()
            .partition(|call| self.answer(&call.request).is_some());
        self.waiting = rest;
        ready
    }

    /// The answer to `request`; nothing if it has to wait.
    pub fn answer(&self, request: &PlatformRequest) -> Option<PlatformAnswer> {
        let Some(history) = self.keys.get(&request.key) else {
            return Some(PlatformAnswer::Missing);
        };
        let behind = usize::from(self.stale && history.len() > 1);
        let shown = &history[history.len() - 1 - behind];
        let newer = request.after.is_none_or(|after| shown.revision > after);
        newer.then(|| PlatformAnswer::Value {
            revision: shown.revision,
            text: shown.text.clone(),
        })
    }

    /// Lets `call` wait for a change.
    pub fn wait(&mut self, call: WaitingCall) {
        self.waiting.push(call);
    }

    /// Removes a waiting call that timed out; returns `false` if it was answered
    /// before.
    pub fn remove_waiting(&mut self, call: &WaitingCall) -> bool {
        let same = |other: &WaitingCall| {
            (other.host, other.life) == (call.host, call.life) && other.request == call.request
        };
        let position = self.waiting.iter().position(same);
        position
            .map(|position| self.waiting.swap_remove(position))
            .is_some()
    }
}
