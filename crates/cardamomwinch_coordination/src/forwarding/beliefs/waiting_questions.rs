//! Questions of other hosts that wait until there is something new to answer.

use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::BeliefEngine;
use crate::forwarding::beliefs::peer_word::PeerQuestion;

/// Questions that may wait. Further ones are answered at once.
const WAITING_LIMIT: usize = 64;
/// A host that asks is told of word of the store that is newer by this, although
/// nothing else has changed: it must know that it is up to date. Smaller steps
/// would answer each question at once.
const FRESHNESS_STEP: time::Duration = time::Duration::from_millis(500);

/// A question and where its answer goes.
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

/// A question that is to be answered now.
#[derive(Debug)]
pub struct DueQuestion<A> {
    /// The question.
    pub question: PeerQuestion,
    /// How long it waited.
    pub waited: time::Duration,
    /// Where its answer goes.
    pub answer: A,
}

/// The questions that wait. `A` is what takes an answer.
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
    /// A question came at `asked_at`.
    pub fn push(&mut self, question: PeerQuestion, asked_at: Timestamp, answer: A) {
        self.questions.push(WaitingQuestion {
            question,
            asked_at,
            answer,
        });
    }

    /// Takes out the questions that are to be answered now.
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
