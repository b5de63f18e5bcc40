//! Logs as JSON lines, one object per line, from the `log` macros and from the
//! decisions of the host.
//!
//! Lines go through a bounded queue to one thread that writes them. Writing
//! directly would be simpler, but then a standard output that nobody reads for a
//! while would block the traffic threads. While the queue is full, lines are left
//! out and counted, and the count is logged.

use std::io;
use std::io::Write;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use async_channel::{Receiver, Sender};
use log::{LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use snafu::{ResultExt, Snafu};

use crate::clock::Clock;

const THREAD_NAME: &str = "log-writer";
/// How long a process that ends waits for the queue to be written.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

const SINK_TARGET: &str = "cardamomwinch_transport::log_sink";

/// Why logs cannot be written.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LogError {
    /// The operating system could not start the thread that writes.
    #[snafu(display("cannot start the thread that writes logs"))]
    Start {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The process already has a logger.
    #[snafu(display("cannot install the logger"))]
    Install {
        /// The error of the library.
        source: log::SetLoggerError,
    },
}

/// One line. The fields of `R` are on the same level as the others.
#[derive(Serialize)]
pub(crate) struct LogLine<'a, R> {
    /// Microseconds since the Unix epoch.
    pub(crate) time: u64,
    pub(crate) level: &'a str,
    pub(crate) target: &'a str,
    pub(crate) event: &'a str,
    /// How many lines were left out before this one.
    #[serde(skip_serializing_if = "is_zero")]
    pub(crate) left_out: u64,
    #[serde(flatten)]
    pub(crate) fields: &'a R,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serde attribute passes a reference"
)]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Serialize)]
struct MessageFields {
    message: String,
}

#[derive(Serialize)]
pub(crate) struct NoFields {}

/// Sends lines to the queue without waiting.
#[derive(Debug, Clone)]
pub(crate) struct LineSender {
    queue: Sender<Vec<u8>>,
    lost: sync::Arc<atomic::AtomicU64>,
}

impl LineSender {
    /// Queues a line. Returns false if the queue is full; the caller counts the line as
    /// left out.
    pub(crate) fn send(&self, mut line: Vec<u8>) -> bool {
        line.push(b'\n');
        self.queue.try_send(line).is_ok()
    }
}

/// The thread that writes logs. Dropping this writes the queued lines and ends the
/// thread.
#[derive(Debug)]
pub struct LogSink {
    sender: LineSender,
    /// Disconnected when the thread has ended. Nothing is sent over it.
    ended: mpsc::Receiver<()>,
}

impl LogSink {
    /// Starts the thread, which writes to `output`. The queue holds `capacity` lines, at
    /// least one.
    ///
    /// # Errors
    /// Fails if the operating system cannot start the thread.
    pub fn start<W, C>(output: W, capacity: usize, clock: C) -> Result<Self, LogError>
    where
        W: Write + Send + 'static,
        C: Clock + Send + 'static,
    {
        let (queue, receiver) = async_channel::bounded(capacity.max(1));
        let lost = sync::Arc::new(atomic::AtomicU64::new(0));
        let sender = LineSender { queue, lost };
        let lost = sync::Arc::clone(&sender.lost);
        let (ending, ended) = mpsc::channel();
        thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || {
                write_lines(output, &receiver, &lost, &clock);
                drop(ending);
            })
            .context(StartSnafu)?;
        Ok(Self { sender, ended })
    }

    /// Installs this as the logger of the process, for records up to `level`.
    ///
    /// # Errors
    /// Fails if the process already has a logger.
    pub fn install<C>(&self, level: LevelFilter, clock: C) -> Result<(), LogError>
    where
        C: Clock + Send + Sync + 'static,
    {
        let logger = self.logger(level, clock);
        log::set_boxed_logger(Box::new(logger)).context(InstallSnafu)?;
        log::set_max_level(level);
        Ok(())
    }

    /// Returns a logger that writes records up to `level` to this sink as JSON lines.
    pub fn logger<C: Clock + Send + Sync>(&self, level: LevelFilter, clock: C) -> JsonLogger<C> {
        let config = ConfigBuilder::new()
            .set_time_level(LevelFilter::Off)
            .set_max_level(LevelFilter::Off)
            .set_thread_level(LevelFilter::Off)
            .set_target_level(LevelFilter::Off)
            .set_location_level(LevelFilter::Off)
            .build();
        let writer = LineWriter {
            sender: self.sender.clone(),
            partial: Vec::new(),
        };
        let inner = WriteLogger::new(level, config, writer);
        JsonLogger { inner, clock }
    }

    pub(crate) fn line_sender(&self) -> LineSender {
        self.sender.clone()
    }
}

impl Drop for LogSink {
    fn drop(&mut self) {
        // The thread still writes the lines in a closed queue: the last lines of a
        // process show why it ended. The timeout ensures that an output that nobody
        // reads does not keep the process from ending.
        self.sender.queue.close();
        let _ = self.ended.recv_timeout(DRAIN_TIMEOUT);
    }
}

/// Converts records of the `log` macros to JSON lines.
pub struct JsonLogger<C> {
    inner: Box<WriteLogger<LineWriter>>,
    clock: C,
}

impl<C: Clock + Send + Sync> Log for JsonLogger<C> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = LogLine {
            time: self.clock.now().get(),
            level: record.level().as_str(),
            target: record.target(),
            event: "message",
            left_out: 0,
            fields: &MessageFields {
                message: record.args().to_string(),
            },
        };
        // A line of numbers and text can always be encoded as JSON.
        if let Ok(text) = serde_json::to_string(&line) {
            let metadata = record.metadata().clone();
            let mut builder = Record::builder();
            builder.metadata(metadata);
            self.inner
                .log(&builder.args(format_args!("{text}")).build());
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Joins the pieces that `simplelog` writes to whole lines.
struct LineWriter {
    sender: LineSender,
    partial: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if self.partial.last() == Some(&b'\n') {
            self.partial.pop();
            let line = mem::take(&mut self.partial);
            if !self.sender.send(line) {
                self.sender.lost.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes until the queue is closed and empty. If the output fails, such as a closed
/// pipe, the lines are lost, but the queue is still emptied, so that the rest of the
/// process is not affected.
fn write_lines(
    mut output: impl Write,
    receiver: &Receiver<Vec<u8>>,
    lost: &atomic::AtomicU64,
    clock: &impl Clock,
) {
    while let Ok(line) = receiver.recv_blocking() {
        let _ = output.write_all(&line);
        let left_out = lost.swap(0, atomic::Ordering::Relaxed);
        if left_out > 0 {
            let _ = output.write_all(&left_out_line(left_out, clock));
        }
        if receiver.is_empty() {
            let _ = output.flush();
        }
    }
    let _ = output.flush();
}

fn left_out_line(left_out: u64, clock: &impl Clock) -> Vec<u8> {
    let line = LogLine {
        time: clock.now().get(),
        level: "WARN",
        target: SINK_TARGET,
        event: "lines_left_out",
        left_out,
        fields: &NoFields {},
    };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
