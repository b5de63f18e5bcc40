//! Decides the calls that read the store: a listing of everything, page by page, then one
//! watch for changes after another.

use std::mem;
use std::time;

use cardamomwinch_state::flow;

use crate::forwarding::discovery::store_call::{
    StoreCall, StoreChange, StoreEra, StoreOutcome, StoreRevision,
};

/// The pause after a first failure. Most failures are connections that broke.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// The longest pause after failures in a row. Every call to the store costs something, also
/// one that is refused; but a draining server must be known within seconds.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(600);
/// The pause after the second and later failures in a row of a host that learns from
/// another one. The readers of its domain retry often enough, and pass on that the store is
/// back.
const FOLLOWER_BACKOFF: time::Duration = time::Duration::from_millis(1_200);
/// The pause after changes. They come in bursts, when servers are replaced or
/// configurations follow each other, and one call then returns many. The pause is short
/// compared with the seconds within which changes must take effect; few hosts read the
/// store, and their data still has to reach the others.
const BATCHING_PAUSE: time::Duration = time::Duration::from_millis(400);
/// A watch ends no later than this after the last contact with the store, whatever the settings
/// allow. Other hosts learn from this one that nothing has changed, and do not rely on data
/// that is older.
const MAX_CONTACT_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// If the data is at least this old, the store is called without a wait: a host that begins
/// to read must not wait for a change to become current.
const OLD_DATA_AGE: time::Duration = time::Duration::from_secs(1);
/// A pause is lengthened by up to this share of itself, in percent, so that hosts that lost
/// the store at the same time do not retry at the same time.
const JITTER_PERCENT: u64 = 25;

/// What the reader is reading.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReaderState {
    Listing {
        after: Option<String>,
        items: Vec<StoreChange>,
        /// The revision of the first page. Later pages may include later changes; the watch
        /// returns everything that changed after the first page again.
        revision: Option<StoreRevision>,
    },
    Watching {
        after: StoreRevision,
    },
}

impl ReaderState {
    const FIRST_PAGE: Self = Self::Listing {
        after: None,
        items: Vec::new(),
        revision: None,
    };
}

/// The result of a completed listing or watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadStep {
    /// A complete listing.
    Listing {
        /// All entries.
        items: Vec<StoreChange>,
        /// The revision after which changes must be watched.
        revision: StoreRevision,
    },
    /// Changes from a watch.
    Changes {
        /// The changes in their order.
        changes: Vec<StoreChange>,
        /// The revision up to which the changes are complete.
        revision: StoreRevision,
    },
}

/// Chooses the next call to the store.
#[derive(Debug)]
pub struct StoreReader {
    state: ReaderState,
    /// The era of the revision that the last watch started from.
    watched_era: StoreEra,
    watch_wait: time::Duration,
    pause: Option<time::Duration>,
    failures: u32,
    jitter: u64,
}

impl StoreReader {
    /// Creates a reader that starts with the first page.
    pub const fn new(watch_wait: time::Duration, jitter_seed: u64) -> Self {
        Self {
            state: ReaderState::FIRST_PAGE,
            watched_era: StoreEra::FIRST,
            watch_wait,
            pause: None,
            failures: 0,
            jitter: jitter_seed,
        }
    }

    /// Whether the listing is complete and the reader watches for changes.
    pub const fn is_watching(&self) -> bool {
        matches!(self.state, ReaderState::Watching { .. })
    }

    /// The next call. `age` is the age of the data.
    pub fn next_call(&mut self, age: time::Duration) -> StoreCall {
        if let Some(pause) = self.pause {
            return StoreCall::Pause(pause);
        }
        match &self.state {
            ReaderState::Listing { after, .. } => StoreCall::List {
                after: after.clone(),
            },
            ReaderState::Watching { after } => {
                self.watched_era = after.era();
                StoreCall::Watch {
                    after: *after,
                    wait: if age >= OLD_DATA_AGE {
                        time::Duration::ZERO
                    } else {
                        self.watch_wait
                            .min(MAX_CONTACT_INTERVAL.saturating_sub(age))
                    },
                }
            }
        }
    }

    /// Handles the outcome of the call and returns what has been read completely. `has_source`
    /// says whether another host informs this one as soon as that host reaches the store
    /// again.
    pub fn handle(&mut self, outcome: StoreOutcome, has_source: bool) -> Option<ReadStep> {
        if matches!(outcome, StoreOutcome::Failed) {
            self.note_failure(has_source);
            return None;
        }
        self.pause = None;
        if matches!(outcome, StoreOutcome::Paused) {
            return None;
        }
        self.failures = 0;
        match outcome {
            StoreOutcome::Page {
                items,
                revision,
                next,
            } => self.handle_page(items, revision, next),
            StoreOutcome::Changes { changes, revision } => self.handle_changes(changes, revision),
            StoreOutcome::HistoryGone => {
                self.state = ReaderState::FIRST_PAGE;
                None
            }
            StoreOutcome::Paused | StoreOutcome::Failed => None,
        }
    }

    /// Skips to `revision`, because a peer has sent everything up to it. A watch continues
    /// from there, and the pages listed so far are dropped.
    pub fn skip_to(&mut self, revision: StoreRevision) {
        match &mut self.state {
            ReaderState::Watching { after } => *after = revision.max(*after),
            ReaderState::Listing { .. } => {
                self.state = ReaderState::Watching { after: revision };
            }
        }
    }

    fn note_failure(&mut self, has_source: bool) {
        let doublings = self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let pause = if has_source && self.failures > 1 {
            FOLLOWER_BACKOFF
        } else {
            let doubled = INITIAL_BACKOFF.saturating_mul(1 << doublings);
            doubled.min(MAX_BACKOFF)
        };
        self.jitter = flow::mix(self.jitter.wrapping_add(1));
        let percent = 100 + (self.jitter % (JITTER_PERCENT + 1)) as u32;
        self.pause = Some(pause * percent / 100);
        // The pages of a listing must be read without a break.
        if matches!(self.state, ReaderState::Listing { .. }) {
            self.state = ReaderState::FIRST_PAGE;
        }
    }

    fn handle_page(
        &mut self,
        page: Vec<StoreChange>,
        page_revision: StoreRevision,
        next: Option<String>,
    ) -> Option<ReadStep> {
        let ReaderState::Listing {
            after,
            items,
            revision,
        } = &mut self.state
        else {
            return None;
        };
        let first = *revision.get_or_insert(page_revision);
        if first.era() != page_revision.era() {
            // Pages of two eras do not belong together.
            self.state = ReaderState::FIRST_PAGE;
            return None;
        }
        items.extend(page);
        if next.is_some() {
            *after = next;
            return None;
        }
        let items = mem::take(items);
        self.state = ReaderState::Watching { after: first };
        Some(ReadStep::Listing {
            items,
            revision: first,
        })
    }

    fn handle_changes(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
    ) -> Option<ReadStep> {
        let ReaderState::Watching { after } = &mut self.state else {
            return None;
        };
        if revision.era() != self.watched_era {
            // The start revision of the watch means another change in this era, so earlier
            // changes may be missing.
            self.pause = (revision.era() < after.era()).then_some(BATCHING_PAUSE);
            self.state = ReaderState::FIRST_PAGE;
            return None;
        }
        *after = revision.max(*after);
        if !changes.is_empty() {
            self.pause = Some(BATCHING_PAUSE);
        }
        Some(ReadStep::Changes { changes, revision })
    }
}
