//! How a starting host gets all routes and servers: from another host, or from the store if
//! no host sends them.
//!
//! From the store this is a listing of up to a megabyte per host. After a power loss
//! hundreds of hosts would request it at the same time. A host with a link of 10 Mbit/s
//! takes 0.7 s to receive it, but 0.1 s to receive the shorter list of another host. The
//! hosts named in the settings list the store at once, because the others query them first.
//! A host that has the full list sends it to a few others and redirects the rest to those,
//! so the list spreads as a tree in which no host has more than a few receivers. The tree
//! forms while the list is still being read, which takes longer the more servers there are:
//! a waiting host lets others wait for it in turn, and every answer says that some host is
//! listing the store.

use std::net;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// How long a host that has just started does not call the store, because others do. In
/// this time the first hosts read it and three or four hosts in a row pass it on.
const STORE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Up to this much is added to [`STORE_DELAY`], so that hosts which receive nothing do not all
/// list the store at the same moment: the first ones send the list to the others.
const STORE_DELAY_SPREAD: time::Duration = time::Duration::from_millis(400);
/// How long a host waits after it last learned that some host is listing the store. Each
/// level of the tree adds the wait of a query to the age of that information. Each part of
/// the list restarts the wait, so the length of the list does not matter.
const LISTING_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long after its start a host may not know the hosts that precede it in its domain,
/// and so considers itself a reader. It then learns from other hosts, as long as their data
/// is fresh, because otherwise all starting hosts would watch the store.
const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(4);
/// Up to this age the data of a starting host is fresh.
const MAX_FRESH_AGE: time::Duration = time::Duration::from_secs(1);
/// The maximum number of hosts that receive the full list from a host at the same time, or
/// wait for it.
const MAX_TRANSFERS: usize = 4;
/// How long a host keeps its slot after it took it, even if it received the full list
/// sooner. Otherwise the few hosts named in the settings would send a short list to all
/// starting hosts themselves.
const MIN_SLOT_DURATION: time::Duration = time::Duration::from_millis(250);
/// A host that receives the list or waits for it loses its slot if it sends no query for
/// this time.
const SLOT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long before `now` a host was known at `at` to be listing the store, if that is recent
/// enough for others to wait for it.
pub(super) fn recent_listing_age(at: Timestamp, now: Timestamp) -> Option<time::Duration> {
    Some(now.since(at)).filter(|age| *age < LISTING_TIMEOUT)
}

/// Decides how long a starting host does not call the store, because others do.
#[derive(Debug)]
pub struct StartupPlan {
    store_delay: time::Duration,
    started_at: Option<Timestamp>,
    /// When a host was last known to be listing the store.
    listing_known_at: Option<Timestamp>,
    /// When the store last told this host that it no longer has the changes since the revision
    /// known here.
    history_lost_at: Option<Timestamp>,
}

impl StartupPlan {
    /// Creates the plan of a host with `order_number` in its domain. If `queries_others` is
    /// false, the host lists the store at once, because the settings name this host itself
    /// or name no host.
    pub fn new(order_number: u64, queries_others: bool) -> Self {
        let spread = STORE_DELAY_SPREAD * (order_number % 16) as u32 / 16;
        Self {
            store_delay: if queries_others {
                STORE_DELAY + spread
            } else {
                time::Duration::ZERO
            },
            started_at: None,
            listing_known_at: None,
            history_lost_at: None,
        }
    }

    /// Whether a host without data does not call the store at `now`, provided that another
    /// host may answer.
    pub fn waits_for_hosts(&mut self, now: Timestamp) -> bool {
        self.since_start(now) < self.store_delay
    }

    /// Records that at `at` another host was known to be listing the store.
    pub fn note_listing(&mut self, at: Timestamp) {
        self.listing_known_at = self.listing_known_at.max(Some(at));
    }

    /// Records that the store no longer has the changes that this host needs.
    pub const fn note_lost_history(&mut self, now: Timestamp) {
        self.history_lost_at = Some(now);
    }

    /// Records that the data of the listing has arrived.
    pub const fn note_listing_received(&mut self) {
        self.listing_known_at = None;
    }

    /// How long ago a host was known to be listing the store, if that is recent.
    pub fn listing_age(&self, now: Timestamp) -> Option<time::Duration> {
        self.listing_known_at
            .and_then(|at| recent_listing_age(at, now))
    }

    /// Whether the host does not call the store, because another host is listing it, or is
    /// about to: all hosts that read the store lose its history at the same time.
    pub fn waits_for_listing(&self, now: Timestamp) -> bool {
        let may_hear = |at: Timestamp| now.since(at) < self.store_delay;
        let is_lost = self.history_lost_at.is_some_and(may_hear);
        !self.store_delay.is_zero() && (is_lost || self.listing_age(now).is_some())
    }

    /// Whether the host may not know the hosts that precede it yet, and learns from any
    /// host. False for a host that lists the store at once: it is a source of the others.
    pub fn is_starting(&mut self, now: Timestamp) -> bool {
        !self.store_delay.is_zero() && self.since_start(now) < STARTUP_PERIOD
    }

    /// Whether a starting host, whose data has the age `age`, need not watch the store.
    pub fn may_skip_watch(&mut self, age: time::Duration, now: Timestamp) -> bool {
        age < MAX_FRESH_AGE && self.is_starting(now)
    }

    fn since_start(&mut self, now: Timestamp) -> time::Duration {
        now.since(*self.started_at.get_or_insert(now))
    }
}

/// A host that receives the full list, or waits for it.
#[derive(Debug, Clone, Copy)]
struct TransferSlot {
    host: net::SocketAddr,
    taken_at: Timestamp,
    free_at: Timestamp,
    /// Whether it has received a part, or only waits.
    has_received: bool,
}

/// Limits how many hosts receive the full list at the same time, and redirects the others
/// to those that receive it.
#[derive(Debug, Default)]
pub struct TransferSlots {
    slots: Vec<TransferSlot>,
    /// Number of redirects so far; selects the next host to redirect to.
    redirects: usize,
}

/// What to do with a query for the full list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferChoice {
    /// Send the list, as soon as it is there.
    Send,
    /// Redirect to this host, which receives the list.
    Redirect(net::SocketAddr),
}

impl TransferSlots {
    /// Chooses whether to send the list to `host` at `now`; if so, gives it a slot.
    pub fn choose(&mut self, host: net::SocketAddr, now: Timestamp) -> TransferChoice {
        self.slots.retain(|slot| slot.free_at > now);
        let kept = self.slots.iter_mut().find(|slot| slot.host == host);
        if let Some(slot) = kept {
            slot.free_at = now.after(SLOT_TIMEOUT);
            return TransferChoice::Send;
        }
        if self.slots.len() < MAX_TRANSFERS {
            self.slots.push(TransferSlot {
                host,
                taken_at: now,
                free_at: now.after(SLOT_TIMEOUT),
                has_received: false,
            });
            return TransferChoice::Send;
        }
        self.redirects = self.redirects.wrapping_add(1);
        let slot = &self.slots[self.redirects % self.slots.len()];
        TransferChoice::Redirect(slot.host)
    }

    /// Records that a part is sent to `host`, which may be the last one.
    pub fn note_sent(&mut self, host: net::SocketAddr, is_last: bool) {
        let mut slots = self.slots.iter_mut();
        if let Some(slot) = slots.find(|slot| slot.host == host) {
            slot.has_received = true;
            if is_last {
                slot.free_at = slot.taken_at.after(MIN_SLOT_DURATION);
            }
        }
    }

    /// Frees the slots of hosts that only wait, so that the next query can receive the
    /// list.
    pub fn free_waiting(&mut self) {
        self.slots.retain(|slot| slot.has_received);
    }
}
