//! How a host that starts learns everything: from another host, and from the store where
//! none tells.
//!
//! Read from the store, everything is a page of up to a megabyte for each host: after a
//! loss of power hundreds of hosts ask for it at once, and a host with a link of 10 Mbit/s
//! takes 0.7 s for it, and 0.1 s where another host tells it in fewer bytes. Hosts that the
//! settings name read the store at once, since others ask them first; whoever knows
//! everything tells a few others, and refers the rest to those, so that it spreads as a
//! tree in which nobody has more than a few to tell. The tree grows while the list is still
//! being read, which takes the longer the more servers there are: a host that waits has
//! others wait at itself, and each learns from the answers that somebody is reading.

use std::net;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// For so long a host that has just started leaves the store to others. In this time the
/// first ones read it and three or four hosts in a row pass it on.
const PATIENCE: time::Duration = time::Duration::from_millis(150);
/// And up to this much longer, so that hosts which nobody tells do not all go to the store
/// in the same moment: those that went first tell the others.
const PATIENCE_SPREAD: time::Duration = time::Duration::from_millis(400);
/// For so long a host waits for what another one was heard to read from the store. Each
/// step of the tree adds the wait of a question to the age of that word; parts of the list
/// renew it, so that its length does not matter.
const READER_PATIENCE: time::Duration = time::Duration::from_secs(2);
/// For so long after its start a host may not know the hosts before it in the order of its
/// domain, and takes itself for a reader. It learns from others meanwhile, while what they
/// tell is fresh, instead of watching the store with all that have started.
const YOUTH: time::Duration = time::Duration::from_secs(4);
/// What a young host knows counts as fresh up to this age.
const FRESH_ENOUGH: time::Duration = time::Duration::from_secs(1);
/// So many hosts are told everything at a time, or wait for it at one that starts.
const PLACES: usize = 4;
/// A host that was told everything keeps its place for so long since it took it, so that a
/// short list is not told to all that start together by the few that the settings name.
const TELLING_PERIOD: time::Duration = time::Duration::from_millis(250);
/// A host that is being told, or waits, loses its place where it asks nothing for so long.
const PLACE_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// When the store is left to others after a start.
#[derive(Debug)]
pub struct StartPlan {
    patience: time::Duration,
    started_at: Option<Timestamp>,
    /// When a host that reads everything from the store was heard of last.
    reader_heard_at: Option<Timestamp>,
}

impl StartPlan {
    /// Plans the start of a host with the number `order_number` in the order of its
    /// domain. One that the settings name itself, or that they name nobody to, reads the
    /// store at once.
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

    /// Whether a host that knows nothing yet leaves the store to others at `now`, as long
    /// as one of them may answer.
    pub fn waits_for_hosts(&mut self, now: Timestamp) -> bool {
        self.since_start(now) < self.patience
    }

    /// Notes that another host read everything from the store at `at`, or heard of one that
    /// did.
    pub fn note_reader(&mut self, at: Timestamp) {
        self.reader_heard_at = self.reader_heard_at.max(Some(at));
    }

    /// What a host read from the store has come.
    pub const fn forget_reader(&mut self) {
        self.reader_heard_at = None;
    }

    /// How long ago a host that reads everything from the store was heard of, if it was of
    /// late.
    pub fn reader_heard(&self, now: Timestamp) -> Option<time::Duration> {
        let heard = self.reader_heard_at.map(|at| now.since(at));
        heard.filter(|ago| *ago < READER_PATIENCE)
    }

    /// Whether the host leaves the store to one that is reading everything.
    pub fn waits_for_reader(&self, now: Timestamp) -> bool {
        !self.patience.is_zero() && self.reader_heard(now).is_some()
    }

    /// Whether the host may not know yet who is before it, and learns from anyone. One
    /// that reads the store at once is asked by the others.
    pub fn is_young(&mut self, now: Timestamp) -> bool {
        !self.patience.is_zero() && self.since_start(now) < YOUTH
    }

    /// Whether a young host, whose word is as old as `age`, need not watch the store.
    pub fn leaves_watching(&mut self, age: time::Duration, now: Timestamp) -> bool {
        age < FRESH_ENOUGH && self.is_young(now)
    }

    fn since_start(&mut self, now: Timestamp) -> time::Duration {
        now.since(*self.started_at.get_or_insert(now))
    }
}

/// A host that is told everything, or waits for it.
#[derive(Debug, Clone, Copy)]
struct TellingPlace {
    host: net::SocketAddr,
    taken_at: Timestamp,
    free_at: Timestamp,
    /// Whether it was told anything, or only waits.
    is_told: bool,
}

/// Limits how many hosts are told everything at a time, and remembers whom to refer the
/// others to.
#[derive(Debug, Default)]
pub struct TellingPlaces {
    places: Vec<TellingPlace>,
    /// How many were referred to a host that has a place.
    referred: usize,
}

/// What a host does that is asked for everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TellingChoice {
    /// It tells it, as soon as it knows it.
    Tell,
    /// It names a host that it tells it, which is to be asked instead.
    Refer(net::SocketAddr),
}

impl TellingPlaces {
    /// Chooses whether `asker` is told everything at `now`, and gives it a place then.
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

    /// `host` is told a part, which may be the last one.
    pub fn note_told(&mut self, host: net::SocketAddr, is_last: bool) {
        let mut places = self.places.iter_mut();
        if let Some(place) = places.find(|place| place.host == host) {
            place.is_told = true;
            if is_last {
                place.free_at = place.taken_at.after(TELLING_PERIOD);
            }
        }
    }

    /// Frees the places of those that only wait: whoever asks now can be told everything.
    pub fn free_waiting(&mut self) {
        self.places.retain(|place| place.is_told);
    }
}
