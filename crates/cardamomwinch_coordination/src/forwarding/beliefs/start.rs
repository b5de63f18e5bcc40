//! How a host that starts learns everything: from another host, and from the store where
//! none tells.
//!
//! Read from the store, everything is a page of up to a megabyte for each host: after a
//! loss of power hundreds of hosts ask for it at once, and a host with a link of 10 Mbit/s
//! takes 0.7 s for it, and 0.1 s where another host tells it in fewer bytes. Hosts that the
//! settings name read the store at once, since others ask them first; whoever knows
//! everything tells a few others, and refers the rest to those, so that it spreads as a
//! tree in which nobody has more than a few to tell.

use std::collections;
use std::net;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

/// For so long a host that has just started leaves the store to others. In this time the
/// first ones read it and three or four hosts in a row pass it on.
const PATIENCE: time::Duration = time::Duration::from_millis(150);
/// And up to this much longer, so that hosts which nobody tells do not all go to the store
/// in the same moment: those that went first tell the others.
const PATIENCE_SPREAD: time::Duration = time::Duration::from_millis(400);
/// For so long after its start a host may not know the hosts before it in the order of its
/// domain, and takes itself for a reader. It learns from others meanwhile, while what they
/// tell is fresh, instead of watching the store with all that have started.
const YOUTH: time::Duration = time::Duration::from_secs(4);
/// What a young host knows counts as fresh up to this age.
const FRESH_ENOUGH: time::Duration = time::Duration::from_secs(1);
/// So many hosts are told everything within [`TELLING_PERIOD`]: together they take a fifth
/// of a link of 10 Mbit/s for a second, where there are some hundred servers.
const TOLD_AT_ONCE: usize = 4;
/// See [`TOLD_AT_ONCE`].
const TELLING_PERIOD: time::Duration = time::Duration::from_millis(250);

/// When the store is left to others after a start.
#[derive(Debug)]
pub struct StartPlan {
    patience: time::Duration,
    started_at: Option<Timestamp>,
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
        }
    }

    /// Whether a host that knows nothing yet leaves the store to others at `now`, as long
    /// as one of them may answer.
    pub fn waits_for_hosts(&mut self, now: Timestamp) -> bool {
        self.since_start(now) < self.patience
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

/// Limits how many hosts are told everything at a time, and remembers whom to refer the
/// others to.
#[derive(Debug, Default)]
pub struct TellingLimit {
    /// Those told last, the latest at the end.
    told: collections::VecDeque<(Timestamp, net::SocketAddr)>,
    /// How many were referred to one of them.
    referred: usize,
}

/// What a host does that is asked for everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TellingChoice {
    /// It tells it.
    Tell,
    /// It names a host that it has told it lately, which is to be asked instead.
    Refer(net::SocketAddr),
}

impl TellingLimit {
    /// Chooses whether `asker` is told everything at `now`, and counts it.
    pub fn choose(&mut self, asker: net::SocketAddr, now: Timestamp) -> TellingChoice {
        let is_recent = |(at, _): &&(Timestamp, net::SocketAddr)| now.since(*at) < TELLING_PERIOD;
        if self.told.iter().filter(is_recent).count() < TOLD_AT_ONCE {
            if self.told.len() == TOLD_AT_ONCE {
                self.told.pop_front();
            }
            self.told.push_back((now, asker));
            return TellingChoice::Tell;
        }
        self.referred = self.referred.wrapping_add(1);
        let from_turn = self.told.iter().cycle().skip(self.referred % TOLD_AT_ONCE);
        // A host that starts over may have been told a moment ago.
        let mut others = from_turn
            .take(TOLD_AT_ONCE)
            .filter(|(_, host)| *host != asker);
        let other = others.next().map(|(_, host)| *host);
        other.map_or(TellingChoice::Tell, TellingChoice::Refer)
    }
}
