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

/// How long a host that has just started leaves the store to others. In this time the first
/// hosts read it and three or four hosts in a row pass it on.
const PATIENCE: time::Duration = time::Duration::from_millis(150);
/// Up to this much is added to [`PATIENCE`], so that hosts which receive nothing do not all
/// list the store at the same moment: the first ones send the list to the others.
const PATIENCE_SPREAD: time::Duration = time::Duration::from_millis(400);
/// How long a host waits after it was last told that some host is listing the store. Each
/// level of the tree adds the wait of a query to the age of that information. Each part of
/// the list restarts the wait, so the length of the list does not matter.
const READER_PATIENCE: time::Duration = time::Duration::from_secs(2);
/// How long after its start a host may not know the hosts that precede it in its domain,
/// and so takes itself for a reader. It then learns from other hosts, as long as their data
/// is fresh, because otherwise all starting hosts would watch the store.
const YOUTH: time::Duration = time::Duration::from_secs(4);
/// Up to this age the data of a starting host is fresh.
const FRESH_ENOUGH: time::Duration = time::Duration::from_secs(1);
/// The most hosts that receive the full list from a host at the same time, or wait for it.
const PLACES: usize = 4;
/// How long a host keeps its slot after it took it, even if it received the full list
/// sooner. Otherwise the few hosts named in the settings would send a short list to all
/// starting hosts themselves.
const TELLING_PERIOD: time::Duration = time::Duration::from_millis(250);
/// A host that receives the list or waits for it loses its slot if it sends no query for
/// this time.
const PLACE_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// Decides how long a starting host leaves the store to others.
#[derive(Debug)]
pub struct StartPlan {
    patience: time::Duration,
    started_at: Option<Timestamp>,
    /// When a host was last known to be listing the store.
    reader_heard_at: Option<Timestamp>,
}

impl StartPlan {
    /// Creates the plan of a host with `order_number` in its domain. Without `asks_others`
    /// it lists the store at once: the settings name this host itself, or name no host.
    pub fn new(order_number: u64, asks_others: bool) -> Self {
        let spread = PATIENCE_SPREAD * (order_number % 16) as u32 / 16;
        Self {
            patience: if asks_others {
                PATIENCE + spread
            } else {
                time::Duration::ZERO
            },
            started_at: None,
            reader_heard_at: None,
        }
    }

    /// Whether a host without data leaves the store to others at `now`, provided that one
    /// of them may answer.
    pub fn waits_for_hosts(&mut self, now: Timestamp) -> bool {
        self.since_start(now) < self.patience
    }

    /// Records that at `at` another host was known to be listing the store.
    pub fn note_reader(&mut self, at: Timestamp) {
        self.reader_heard_at = self.reader_heard_at.max(Some(at));
    }

    /// Records that the data from that listing has arrived.
    pub const fn forget_reader(&mut self) {
        self.reader_heard_at = None;
    }

    /// How long ago a host was known to be listing the store, if that is recent.
    pub fn reader_heard(&self, now: Timestamp) -> Option<time::Duration> {
        let heard = self.reader_heard_at.map(|at| now.since(at));
        heard.filter(|ago| *ago < READER_PATIENCE)
    }

    /// Whether the host leaves the store to a host that is listing it.
    pub fn waits_for_reader(&self, now: Timestamp) -> bool {
        !self.patience.is_zero() && self.reader_heard(now).is_some()
    }

    /// Whether the host may not know the hosts that precede it yet, and learns from any
    /// host. False for a host that lists the store at once: it is a source of the others.
    pub fn is_young(&mut self, now: Timestamp) -> bool {
        !self.patience.is_zero() && self.since_start(now) < YOUTH
    }

    /// Whether a starting host, whose data has the age `age`, need not watch the store.
    pub fn leaves_watching(&mut self, age: time::Duration, now: Timestamp) -> bool {
        age < FRESH_ENOUGH && self.is_young(now)
    }

    fn since_start(&mut self, now: Timestamp) -> time::Duration {
        now.since(*self.started_at.get_or_insert(now))
    }
}

/// A host that receives the full list, or waits for it.
#[derive(Debug, Clone, Copy)]
struct TellingPlace {
    host: net::SocketAddr,
    taken_at: Timestamp,
    free_at: Timestamp,
    /// Whether it has received a part, or only waits.
    is_told: bool,
}

/// Limits how many hosts receive the full list at the same time, and redirects the others
/// to those.
#[derive(Debug, Default)]
pub struct TellingPlaces {
    places: Vec<TellingPlace>,
    /// Number of redirects so far; selects the next host to redirect to.
    referred: usize,
}

/// What to do with a query for the full list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TellingChoice {
    /// Send the list, as soon as it is there.
    Tell,
    /// Redirect to this host, which receives the list.
    Refer(net::SocketAddr),
}

impl TellingPlaces {
    /// Chooses whether to send the list to `asker` at `now`; if so, gives it a slot.
    pub fn choose(&mut self, asker: net::SocketAddr, now: Timestamp) -> TellingChoice {
        self.places.retain(|place| place.free_at > now);
        let kept = self.places.iter_mut().find(|place| place.host == asker);
        if let Some(place) = kept {
            place.free_at = now.after(PLACE_LIFETIME);
            return TellingChoice::Tell;
        }
        if self.places.len() < PLACES {
            self.places.push(TellingPlace {
                host: asker,
                taken_at: now,
                free_at: now.after(PLACE_LIFETIME),
                is_told: false,
            });
            return TellingChoice::Tell;
        }
        self.referred = self.referred.wrapping_add(1);
        let place = &self.places[self.referred % self.places.len()];
        TellingChoice::Refer(place.host)
    }

    /// Records that a part is sent to `host`, which may be the last one.
    pub fn note_told(&mut self, host: net::SocketAddr, is_last: bool) {
        let mut places = self.places.iter_mut();
        if let Some(place) = places.find(|place| place.host == host) {
            place.is_told = true;
            if is_last {
                place.free_at = place.taken_at.after(TELLING_PERIOD);
            }
        }
    }

    /// Frees the slots of hosts that only wait, so that the next query can receive the
    /// list.
    pub fn free_waiting(&mut self) {
        self.places.retain(|place| place.is_told);
    }
}
