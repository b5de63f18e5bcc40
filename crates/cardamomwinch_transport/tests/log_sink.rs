//! Log lines, and what happens when there are too many.
#![allow(clippy::unwrap_used, missing_docs)]

use std::io;
use std::sync;
use std::sync::mpsc;

use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::*;
use log::{LevelFilter, Log};
use serde::Serialize;
use serde_json::Value;

#[derive(Clone, Default)]
struct SharedOutput(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedOutput {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let parse = |line| serde_json::from_str(line).unwrap();
        text.lines().map(parse).collect()
    }
}

/// An output that nobody reads until the sender is dropped.
struct BlockedOutput(mpsc::Receiver<()>, SharedOutput);

impl io::Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        self.1.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Serialize)]
struct Placement {
    flow: u64,
    reason: &'static str,
}

impl DecisionRecord for Placement {
    fn event(&self) -> &'static str {
        "flow_placed"
    }
}

const PLACEMENT: Placement = Placement {
    flow: 7,
    reason: "least_loaded",
};

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::new(seconds * 1_000_000)
}

#[test]
fn messages_with_special_characters_are_json_lines() {
    let output = SharedOutput::default();
    let clock = HostClock::start();
    let sink = LogSink::start(output.clone(), 16, clock).unwrap();
    let logger = sink.logger(LevelFilter::Info, clock);
    let special = "quote \" backslash \\ line\nend \u{1} ä";
    let log = |level, message| {
        let mut builder = log::Record::builder();
        builder.level(level).target("daemon");
        logger.log(&builder.args(format_args!("{message}")).build());
    };
    log(log::Level::Warn, special);
    log(log::Level::Debug, "below the level");
    drop(sink);
    let lines = output.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["message"], special);
    assert_eq!(lines[0]["level"], "WARN");
    assert_eq!(lines[0]["target"], "daemon");
    assert!(lines[0]["time"].is_u64());
}

#[test]
fn the_logger_of_the_process_is_installed_once() {
    let output = SharedOutput::default();
    let clock = HostClock::start();
    let sink = LogSink::start(output.clone(), 16, clock).unwrap();
    sink.install(LevelFilter::Info, clock).unwrap();
    log::info!("started");
    let again = sink.install(LevelFilter::Info, clock);
    assert!(matches!(again, Err(LogError::Install { .. })));
    drop(sink);
    assert_eq!(output.lines()[0]["message"], "started");
}

#[test]
fn records_beyond_the_limit_are_counted_as_left_out() {
    let output = SharedOutput::default();
    let sink = LogSink::start(output.clone(), 64, HostClock::start()).unwrap();
    let mut logger = DecisionLogger::new(&sink, 3);
    for _ in 0..10 {
        logger.log(seconds(5), &PLACEMENT);
    }
    assert_eq!(logger.left_out(), 7);
    logger.log(seconds(6), &PLACEMENT);
    logger.log(seconds(6), &PLACEMENT);
    drop(sink);
    let lines = output.lines();
    assert_eq!(lines.len(), 5);
    assert_eq!(lines[0]["event"], "flow_placed");
    assert_eq!(
        (&lines[0]["flow"], &lines[0]["time"]),
        (&7.into(), &5_000_000.into())
    );
    assert_eq!(lines[2].get("left_out"), None);
    assert_eq!(lines[3]["left_out"], 7);
    assert_eq!(lines[4].get("left_out"), None);
}

// A burst of decisions ends, and no decision follows for hours. If only the line of a
// later decision carried the number left out, a reader of the log would not see that
// lines are missing.
#[test]
fn the_number_left_out_is_reported_without_a_further_decision() {
    let output = SharedOutput::default();
    let sink = LogSink::start(output.clone(), 64, HostClock::start()).unwrap();
    let mut logger = DecisionLogger::new(&sink, 2);
    for _ in 0..5 {
        logger.log(seconds(5), &PLACEMENT);
    }
    logger.report_left_out(seconds(5));
    logger.report_left_out(seconds(6));
    logger.report_left_out(seconds(7));
    assert_eq!(logger.left_out(), 0);
    drop(sink);
    let lines = output.lines();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[2]["event"], "decisions_left_out");
    assert_eq!(lines[2]["left_out"], 3);
}

// A host is stopped in the middle of a burst of decisions, so there is no later second
// in which the number left out could be reported.
#[test]
fn the_number_left_out_is_reported_when_the_logger_is_dropped() {
    let output = SharedOutput::default();
    let sink = LogSink::start(output.clone(), 64, HostClock::start()).unwrap();
    let mut logger = DecisionLogger::new(&sink, 2);
    for _ in 0..5 {
        logger.log(seconds(5), &PLACEMENT);
    }
    drop(logger);
    drop(sink);
    let lines = output.lines();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[2]["event"], "decisions_left_out");
    assert_eq!(
        (&lines[2]["left_out"], &lines[2]["time"]),
        (&3.into(), &5_000_000.into())
    );
}

// Decisions are lines of the level info. Without the check of the level, they would
// fill the log even if an operator sets the level to warn.
#[test]
fn decisions_are_logged_from_the_level_info_on() {
    for (level, count) in [
        (LevelFilter::Off, 0),
        (LevelFilter::Warn, 0),
        (LevelFilter::Info, 1),
        (LevelFilter::Trace, 1),
    ] {
        let output = SharedOutput::default();
        let sink = LogSink::start(output.clone(), 64, HostClock::start()).unwrap();
        let mut logger = DecisionLogger::new(&sink, 2).with_level(level);
        assert_eq!(logger.is_enabled(), count == 1);
        logger.log(seconds(5), &PLACEMENT);
        logger.report_left_out(seconds(6));
        assert_eq!(logger.left_out(), 0);
        drop(sink);
        assert_eq!(output.lines().len(), count, "{level}");
    }
}

// A burst of successful requests uses up the lines of a second, and a request that
// fails in the same second would not be logged.
#[test]
fn records_of_successes_leave_room_for_those_of_failures() {
    let output = SharedOutput::default();
    let sink = LogSink::start(output.clone(), 64, HostClock::start()).unwrap();
    let mut logger = DecisionLogger::new(&sink, 4);
    for _ in 0..10 {
        logger.log_routine(seconds(5), &PLACEMENT);
    }
    assert_eq!(logger.left_out(), 8);
    logger.log(seconds(5), &PLACEMENT);
    logger.log(seconds(5), &PLACEMENT);
    logger.log(seconds(5), &PLACEMENT);
    drop(logger);
    drop(sink);
    let lines = output.lines();
    assert_eq!(
        lines.len(),
        5,
        "two of each, and the line with the number left out"
    );
    assert_eq!(lines[2]["left_out"], 8);
}

// The reader of the host's standard output is blocked. If the traffic threads wrote
// the lines themselves, the host would stop serving. Instead lines are left out, and
// their number is logged once the reader continues.
#[test]
fn a_blocked_output_loses_lines_but_blocks_no_caller() {
    let output = SharedOutput::default();
    let (release, blocked) = mpsc::channel();
    let clock = HostClock::start();
    let sink = LogSink::start(BlockedOutput(blocked, output.clone()), 8, clock).unwrap();
    let mut decisions = DecisionLogger::new(&sink, u32::MAX);
    for _ in 0..100 {
        decisions.log(seconds(1), &PLACEMENT);
    }
    let logger = sink.logger(LevelFilter::Info, clock);
    for _ in 0..50 {
        let mut builder = log::Record::builder();
        logger.log(&builder.args(format_args!("a")).build());
    }
    let unreported = decisions.left_out();
    assert!(output.lines().is_empty());
    drop(release);
    drop(sink);
    let lines = output.lines();
    let left_out: u64 = lines
        .iter()
        .filter_map(|line| line["left_out"].as_u64())
        .sum();
    let written = lines
        .iter()
        .filter(|line| line["event"] != "lines_left_out")
        .count();
    // The queue holds eight lines and the writer one more.
    assert!(written <= 9, "{written}");
    assert_eq!(u64::try_from(written).unwrap() + left_out + unreported, 150);
}

// The process is stopped while nobody reads its output. It must still end.
#[test]
fn a_blocked_output_does_not_keep_the_process_from_ending() {
    let (release, blocked) = mpsc::channel();
    let clock = HostClock::start();
    let sink = LogSink::start(BlockedOutput(blocked, SharedOutput::default()), 8, clock).unwrap();
    DecisionLogger::new(&sink, 1).log(seconds(1), &PLACEMENT);
    drop(sink);
    drop(release);
}
