//! The platform of a test fleet. All keys share one revision counter.

use std::time;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_state::prelude::*;

/// A watch that waits for a change.
#[derive(Debug, Clone)]
pub struct WaitingWatch {
    pub host: usize,
    pub incarnation: u64,
    pub request: PlatformRequest,
}

#[derive(Debug, Clone)]
struct HeldValue {
    revision: u64,
    text: String,
}

type Values = SortedVector<PlatformKey, HeldValue>;

/// A simulated platform.
#[derive(Debug)]
pub struct TestPlatform {
    values: Values,
    /// The older values that it returns while it is stale.
    stale: Option<Values>,
    unavailable: bool,
    revision: u64,
    watches: Vec<WaitingWatch>,
    /// The delay of an answer.
    pub delay: time::Duration,
    /// The calls, with the time of each.
    pub calls: Vec<(Timestamp, PlatformRequest)>,
}

impl Default for TestPlatform {
    fn default() -> Self {
        Self {
            values: SortedVector::new(),
            stale: None,
            unavailable: false,
            revision: 0,
            watches: Vec::new(),
            delay: time::Duration::from_millis(3),
            calls: Vec::new(),
        }
    }
}

impl TestPlatform {
    pub fn publish(&mut self, key: PlatformKey, text: &str) -> (u64, Vec<WaitingWatch>) {
        self.revision += 1;
        let revision = self.revision;
        let text = text.to_owned();
        self.values
            .insert(key.clone(), HeldValue { revision, text });
        if self.unavailable || self.stale.is_some() {
            return (revision, Vec::new());
        }
        let answered = self
            .watches
            .extract_if(.., |watch| watch.request.key == key);
        (revision, answered.collect())
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &PlatformKey) {
        self.values.remove(key);
    }

    pub fn team_revisions(&self) -> Vec<(String, u64)> {
        let teams = self.values.iter().filter_map(|(key, held)| match key {
            PlatformKey::Team(team) => Some((team.clone(), held.revision)),
            _ => None,
        });
        teams.collect()
    }

    /// A copy of all values, for [`TestPlatform::serve_stale`].
    pub fn copy_of_values(&self) -> Self {
        Self {
            values: self.values.clone(),
            ..Self::default()
        }
    }

    /// Leaves the watches of the hosts that match `rule` unanswered.
    pub fn drop_watches(&mut self, rule: fn(usize) -> bool) {
        self.watches.retain(|watch| !rule(watch.host));
    }

    /// Returns the values of `to` from now on. All watches are lost.
    pub fn serve_stale(&mut self, to: &Self) {
        self.stale = Some(to.values.clone());
        self.watches.clear();
    }

    /// Returns the current values again.
    pub fn serve_current(&mut self) {
        self.stale = None;
    }

    /// Stops answering calls, or answers them again.
    pub fn set_unavailable(&mut self, unavailable: bool) {
        self.unavailable = unavailable;
        self.watches.clear();
    }

    pub fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    fn visible_values(&self) -> &Values {
        self.stale.as_ref().unwrap_or(&self.values)
    }

    pub fn record_call(&mut self, now: Timestamp, request: &PlatformRequest) {
        self.calls.push((now, request.clone()));
    }

    /// Whether `request` is a watch that has to wait.
    pub fn would_wait(&self, request: &PlatformRequest) -> bool {
        let held = self
            .visible_values()
            .get(&request.key)
            .map_or(0, |held| held.revision);
        // While stale, it answers watches at once with old values.
        self.stale.is_none() && request.after.is_some_and(|after| held <= after)
    }

    pub fn wait(&mut self, watch: WaitingWatch) {
        self.watches.push(watch);
    }

    pub fn value(&self, key: &PlatformKey) -> PlatformAnswer {
        match self.visible_values().get(key) {
            None => PlatformAnswer::Missing,
            Some(held) => PlatformAnswer::Value {
                revision: held.revision,
                text: held.text.clone(),
            },
        }
    }

    /// Calls made since `from`.
    pub fn calls_since(&self, from: Timestamp) -> usize {
        self.calls.iter().filter(|(at, _)| *at >= from).count()
    }
}
