//! Logs the decisions of a host, bounded in number by second.

use std::marker;

use cardamomwinch_state::prelude::Timestamp;
use serde::Serialize;

use crate::log_sink::{LineSender, LogLine, LogSink};

const DECISION_TARGET: &str = "decision";
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// A record with the name of its event.
pub trait DecisionRecord: Serialize {
    /// What happened, in snake case, such as `flow_placed`.
    fn event(&self) -> &'static str;
}

/// Logs records of one kind, at most a number a second. Each thread holds its
/// own, so that logging takes no lock that traffic could wait for.
#[derive(Debug)]
pub struct DecisionLogger<R> {
    sender: LineSender,
    limit: u32,
    second: u64,
    written: u32,
    left_out: u64,
    record: marker::PhantomData<fn(R)>,
}

impl<R: DecisionRecord> DecisionLogger<R> {
    /// Creates a logger of at most `limit` records a second.
    pub fn new(sink: &LogSink, limit: u32) -> Self {
        Self {
            sender: sink.line_sender(),
            limit,
            second: 0,
            written: 0,
            left_out: 0,
            record: marker::PhantomData,
        }
    }

    /// Logs `record`, or counts it as left out where this second has its number,
    /// the queue is full, or the record is not a JSON object. The first line of
    /// a later second carries the count.
    pub fn log(&mut self, now: Timestamp, record: &R) {
        let second = now.get() / MICROSECONDS_PER_SECOND;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= self.limit || !self.write(now, record) {
            self.left_out = self.left_out.saturating_add(1);
        }
    }

    /// How many records were left out since the last line.
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    fn write(&mut self, now: Timestamp, record: &R) -> bool {
        let line = LogLine {
            time: now.get(),
            level: "INFO",
            target: DECISION_TARGET,
            event: record.event(),
            left_out: self.left_out,
            fields: record,
        };
        let sent = serde_json::to_vec(&line).is_ok_and(|bytes| self.sender.send(bytes));
        if sent {
            self.written += 1;
            self.left_out = 0;
        }
        sent
    }
}
