//! Logs the decisions of a host, up to a number of records per second.

use std::marker;

use cardamomwinch_state::prelude::Timestamp;
use log::LevelFilter;
use serde::Serialize;

use crate::log_sink::{LineSender, LogLine, LogSink, NoFields};

const DECISION_TARGET: &str = "decision";
/// The event of a line that only reports how many records were left out.
const LEFT_OUT_EVENT: &str = "decisions_left_out";
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// A record that can be logged, with the name of its event.
pub trait DecisionRecord: Serialize {
    /// What happened, in snake case, such as `flow_placed`.
    fn event(&self) -> &'static str;
}

/// Logs records of one type, up to a limit per second. Each thread has its own
/// logger, so that logging takes no lock that traffic would have to wait for.
#[derive(Debug)]
pub struct DecisionLogger<R> {
    sender: LineSender,
    enabled: bool,
    limit: u32,
    second: u64,
    written: u32,
    left_out: u64,
    record: marker::PhantomData<fn(R)>,
}

impl<R: DecisionRecord> DecisionLogger<R> {
    /// Creates a logger of at most `limit` records per second.
    pub fn new(sink: &LogSink, limit: u32) -> Self {
        Self {
            sender: sink.line_sender(),
            enabled: true,
            limit,
            second: 0,
            written: 0,
            left_out: 0,
            record: marker::PhantomData,
        }
    }

    /// The same logger for the log level `level` of the process. Decisions have the
    /// level info; if `level` excludes it, the logger logs and counts nothing.
    #[must_use]
    pub fn with_level(mut self, level: LevelFilter) -> Self {
        self.enabled = level >= LevelFilter::Info;
        self
    }

    /// Whether records are logged at all. Callers check this first to avoid
    /// building a record that will not be logged.
    pub const fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Logs `record`, or counts it as left out if the limit of this second is
    /// reached, the queue is full, or the record is not a JSON object. The next
    /// line that is written carries the count.
    pub fn log(&mut self, now: Timestamp, record: &R) {
        if !self.enabled {
            return;
        }
        self.begin_second(now);
        if self.written >= self.limit || !self.write(now, record.event(), record) {
            self.left_out = self.left_out.saturating_add(1);
        }
    }

    /// Like [`Self::log`], for a record of a success. Such records are logged only
    /// while less than half of the limit of this second is used, because under load
    /// there are many and they must leave room for the lines that explain a failure.
    pub fn log_routine(&mut self, now: Timestamp, record: &R) {
        if !self.enabled {
            return;
        }
        self.begin_second(now);
        if self.written < self.limit.div_ceil(2) {
            self.log(now, record);
        } else {
            self.left_out = self.left_out.saturating_add(1);
        }
    }

    /// Logs how many records were left out, if there are any and the limit of this
    /// second allows a line. Otherwise the number left out in the last busy second
    /// would be logged only with the next decision, on a quiet host perhaps hours
    /// later.
    pub fn report_left_out(&mut self, now: Timestamp) {
        self.begin_second(now);
        if self.left_out > 0 && self.written < self.limit {
            self.write(now, LEFT_OUT_EVENT, &NoFields {});
        }
    }

    /// How many records were left out since the last written line.
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    fn begin_second(&mut self, now: Timestamp) {
        let second = now.get() / MICROSECONDS_PER_SECOND;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
    }
}

impl<R> DecisionLogger<R> {
    fn write<F: Serialize>(&mut self, now: Timestamp, event: &'static str, fields: &F) -> bool {
        let line = LogLine {
            time: now.get(),
            level: "INFO",
            target: DECISION_TARGET,
            event,
            left_out: self.left_out,
            fields,
        };
        let sent = serde_json::to_vec(&line).is_ok_and(|bytes| self.sender.send(bytes));
        if sent {
            self.written += 1;
            self.left_out = 0;
        }
        sent
    }
}

impl<R> Drop for DecisionLogger<R> {
    /// Logs how many records were left out in the last second: whoever looks for
    /// the reason why a process ended must see that lines are missing.
    fn drop(&mut self) {
        if self.left_out > 0 {
            let now = Timestamp::new(self.second * MICROSECONDS_PER_SECOND);
            self.write(now, LEFT_OUT_EVENT, &NoFields {});
        }
    }
}
