//! Queries of other hosts that wait until there is something new to answer.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::BeliefEngine;
use crate::forwarding::beliefs::peer_word::PeerQuestion;

/// The most queries that may wait. If there are more, the oldest ones are answered at once.
const WAITING_LIMIT: usize = 64;
/// A waiting query is answered when the data here is newer than the data of its host by
/// this, even if nothing else has changed, so that the host knows that it is current.
/// Smaller steps would answer each query at once.
const FRESHNESS_STEP: time::Duration = time::Duration::from_millis(500);

/// A waiting query and the receiver of its answer.
#[derive(Debug)]
struct WaitingQuestion<A> {
    question: PeerQuestion,
    asked_at: Timestamp,
    answer: A,
}

impl<A> WaitingQuestion<A> {
    fn is_due(&self, engine: &mut BeliefEngine, now: Timestamp) -> bool {
        let question = &self.question;
        if question.knows_nothing() && engine.knows_nothing() {
            let is_referred = !engine.gives_place(question, now);
            if is_referred || engine.has_part_for(question) {
                return true;
            }
        }
        let asker_heard_at = self.asked_at.before(question.age);
        now.since(self.asked_at) >= question.wait
            || engine.knows_more_than(question)
            || engine.heard_at() >= asker_heard_at.after(FRESHNESS_STEP)
            || engine.silent_at().is_some_and(|at| at > self.asked_at)
            || (!engine.knows_nothing() && engine.reader_heard(now).is_some())
    }
}

/// A query to answer now.
#[derive(Debug)]
pub struct DueQuestion<A> {
    /// The query.
    pub question: PeerQuestion,
    /// How long it waited.
    pub waited: time::Duration,
    /// The receiver of the answer.
    pub answer: A,
}

/// The waiting queries. `A` is the receiver of an answer.
#[derive(Debug)]
pub struct WaitingQuestions<A> {
    questions: Vec<WaitingQuestion<A>>,
}

impl<A> Default for WaitingQuestions<A> {
    fn default() -> Self {
        Self {
            questions: Vec::new(),
        }
    }
}

impl<A> WaitingQuestions<A> {
    /// Adds a query that arrived at `asked_at`.
    pub fn push(&mut self, question: PeerQuestion, asked_at: Timestamp, answer: A) {
        self.questions.push(WaitingQuestion {
            question,
            asked_at,
            answer,
        });
    }

    /// Removes and returns the queries to answer now.
    pub fn take_due(&mut self, engine: &mut BeliefEngine, now: Timestamp) -> Vec<DueQuestion<A>> {
        let excess = self.questions.len().saturating_sub(WAITING_LIMIT);
        let mut index = 0;
        let due = self.questions.extract_if(.., |waiting| {
            index += 1;
            index <= excess || waiting.is_due(engine, now)
        });
        due.map(|waiting| DueQuestion {
            question: waiting.question,
            waited: now.since(waiting.asked_at),
            answer: waiting.answer,
        })
        .collect()
    }
}
