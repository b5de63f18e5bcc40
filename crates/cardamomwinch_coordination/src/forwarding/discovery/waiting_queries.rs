//! Queries of other hosts that wait until there is something new to answer.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::discovery::DiscoveryEngine;
use crate::forwarding::discovery::peer_messages::PeerQuery;

/// The maximum number of waiting queries. If there are more, the oldest ones are answered
/// at once.
const MAX_WAITING: usize = 64;
/// A waiting query is answered when this host's data is newer than the querying host's by
/// this much, even if nothing else has changed, so that the querying host knows that it is
/// current. Smaller steps would answer each query at once.
const FRESHNESS_STEP: time::Duration = time::Duration::from_millis(500);

/// A waiting query and the receiver of its answer.
#[derive(Debug)]
struct WaitingQuery<A> {
    query: PeerQuery,
    received_at: Timestamp,
    answer: A,
}

impl<A> WaitingQuery<A> {
    fn is_due(&self, engine: &mut DiscoveryEngine, now: Timestamp) -> bool {
        let query = &self.query;
        if query.has_no_data() && engine.has_no_data() {
            let is_redirected = !engine.has_slot_for(query, now);
            if is_redirected || engine.has_part_for(query) {
                return true;
            }
        }
        let known_as_of = self.received_at.before(query.age);
        now.since(self.received_at) >= query.wait
            || engine.knows_more_than(query)
            || engine.as_of() >= known_as_of.after(FRESHNESS_STEP)
            || engine
                .store_failed_at()
                .is_some_and(|at| at > self.received_at)
            || (!engine.has_no_data() && engine.listing_age(now).is_some())
    }
}

/// A query to answer now.
#[derive(Debug)]
pub struct DueQuery<A> {
    /// The query.
    pub query: PeerQuery,
    /// How long it waited.
    pub waited: time::Duration,
    /// The receiver of the answer.
    pub answer: A,
}

/// The waiting queries. `A` is the receiver of an answer.
#[derive(Debug)]
pub struct WaitingQueries<A> {
    queries: Vec<WaitingQuery<A>>,
}

impl<A> Default for WaitingQueries<A> {
    fn default() -> Self {
        Self {
            queries: Vec::new(),
        }
    }
}

impl<A> WaitingQueries<A> {
    /// Adds a query that arrived at `received_at`.
    pub fn push(&mut self, query: PeerQuery, received_at: Timestamp, answer: A) {
        self.queries.push(WaitingQuery {
            query,
            received_at,
            answer,
        });
    }

    /// Removes and returns the queries to answer now.
    pub fn take_due(&mut self, engine: &mut DiscoveryEngine, now: Timestamp) -> Vec<DueQuery<A>> {
        let excess = self.queries.len().saturating_sub(MAX_WAITING);
        let mut index = 0;
        let due = self.queries.extract_if(.., |waiting| {
            index += 1;
            index <= excess || waiting.is_due(engine, now)
        });
        due.map(|waiting| DueQuery {
            query: waiting.query,
            waited: now.since(waiting.received_at),
            answer: waiting.answer,
        })
        .collect()
    }
}
