//! The order in which the store is read: everything, page by page, then changes,
//! again and again.

use std::mem;
use std::time;

use cardamomwinch_state::flow;

use crate::forwarding::beliefs::store_call::{
    StoreCall, StoreChange, StoreEra, StoreOutcome, StoreRevision,
};

/// The pause after a first failure. Most failures are connections that broke.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
/// The longest pause after failures in a row. Every call has its price, also
/// one that is refused; and a leaving server must be known within seconds.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(600);
/// The pause of a host that others tell of the store, after its first failure: those that
/// read for its domain try often enough, and tell it of the store's return.
const FOLLOWER_PAUSE: time::Duration = time::Duration::from_millis(1_200);
/// The pause after changes. They come in bursts, when servers are replaced or
/// configurations follow each other, and one call then brings many. It is short
/// beside the seconds in which changes must be in force; few hosts read the store,
/// and what they learn still has a way to go.
const GATHERING_PAUSE: time::Duration = time::Duration::from_millis(400);
/// A watch waits no longer than this, whatever the settings allow. Other hosts learn
/// from this one that nothing has changed, and do not rely on what is older.
const LONGEST_WATCH: time::Duration = time::Duration::from_secs(2);
/// Where what is known is as old as this, the store is asked for an answer at once:
/// whoever begins to read it must not wait for a change to be up to date.
const OLD_AGE: time::Duration = time::Duration::from_secs(1);
/// A pause is lengthened by up to this part of itself, so that hosts that lost
/// the store together do not come back together. In per cent.
const JITTER_PERCENT: u64 = 25;

/// Where the reader stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReaderState {
    Listing {
        after: Option<String>,
        items: Vec<StoreChange>,
        /// The revision of the first page. Later pages may show later changes;
        /// what changed since the first one is told again by the watch.
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

/// Something that was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadStep {
    /// Everything.
    Listing {
        /// What there is.
        items: Vec<StoreChange>,
        /// The revision from which on changes must be watched.
        revision: StoreRevision,
    },
    /// Changes.
    Changes {
        /// The changes in their order.
        changes: Vec<StoreChange>,
        /// The revision up to which these are all.
        revision: StoreRevision,
    },
}

/// Decides about the next call to the store.
#[derive(Debug)]
pub struct StoreReader {
    state: ReaderState,
    /// The era of the revision from which changes were asked for last.
    asked_era: StoreEra,
    watch_wait: time::Duration,
    pause: Option<time::Duration>,
    failures: u32,
    jitter: u64,
}

impl StoreReader {
    /// Starts with the first page. `jitter_seed` should differ among hosts.
    pub const fn new(watch_wait: time::Duration, jitter_seed: u64) -> Self {
        Self {
            state: ReaderState::FIRST_PAGE,
            asked_era: StoreEra::FIRST,
            watch_wait,
            pause: None,
            failures: 0,
            jitter: jitter_seed,
        }
    }

    /// Whether everything was read once and only changes are waited for.
    pub const fn is_watching(&self) -> bool {
        matches!(self.state, ReaderState::Watching { .. })
    }

    /// The next call. What is known is as old as `age`.
    pub fn next_call(&mut self, age: time::Duration) -> StoreCall {
        if let Some(pause) = self.pause {
            return StoreCall::Pause(pause);
        }
        match &self.state {
            ReaderState::Listing { after, .. } => StoreCall::List {
                after: after.clone(),
            },
            ReaderState::Watching { after } => {
                self.asked_era = after.era();
                StoreCall::Watch {
                    after: *after,
                    wait: if age >= OLD_AGE {
                        time::Duration::ZERO
                    } else {
                        self.watch_wait.min(LONGEST_WATCH)
                    },
                }
            }
        }
    }

    /// Takes the outcome of the call and returns what is known by it; `follows` tells
    /// whether another host tells this one of the store as soon as it is reached.
    pub fn handle(&mut self, outcome: StoreOutcome, follows: bool) -> Option<ReadStep> {
        if matches!(outcome, StoreOutcome::Failed) {
            self.note_failure(follows);
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
            } => self.take_page(items, revision, next),
            StoreOutcome::Changes { changes, revision } => self.take_changes(changes, revision),
            StoreOutcome::HistoryGone => {
                self.state = ReaderState::FIRST_PAGE;
                None
            }
            StoreOutcome::Paused | StoreOutcome::Failed => None,
        }
    }

    /// A peer has told all that there is up to `revision`, or what this host did not know
    /// of it: a watch goes on from there, and what was listed so far is not needed.
    pub fn skip_to(&mut self, revision: StoreRevision) {
        match &mut self.state {
            ReaderState::Watching { after } => *after = revision.max(*after),
            ReaderState::Listing { .. } => {
                self.state = ReaderState::Watching { after: revision };
            }
        }
    }

    fn note_failure(&mut self, follows: bool) {
        let doublings = self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let pause = if follows && self.failures > 1 {
            FOLLOWER_PAUSE
        } else {
            let doubled = FIRST_PAUSE.saturating_mul(1 << doublings);
            doubled.min(LONGEST_PAUSE)
        };
        self.jitter = flow::mix(self.jitter.wrapping_add(1));
        let percent = 100 + (self.jitter % (JITTER_PERCENT + 1)) as u32;
        self.pause = Some(pause * percent / 100);
        // Pages that belong together must be read together.
        if matches!(self.state, ReaderState::Listing { .. }) {
            self.state = ReaderState::FIRST_PAGE;
        }
    }

    fn take_page(
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

    fn take_changes(
        &mut self,
        changes: Vec<StoreChange>,
        revision: StoreRevision,
    ) -> Option<ReadStep> {
        let ReaderState::Watching { after } = &mut self.state else {
            return None;
        };
        if revision.era() != self.asked_era {
            // The number that was asked from means another change now, so that what came
            // before these changes may never have been read.
            self.pause = (revision.era() < after.era()).then_some(GATHERING_PAUSE);
            self.state = ReaderState::FIRST_PAGE;
            return None;
        }
        *after = revision.max(*after);
        if !changes.is_empty() {
            self.pause = Some(GATHERING_PAUSE);
        }
        Some(ReadStep::Changes { changes, revision })
    }
}
