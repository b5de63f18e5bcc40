//! Child processes of tests. They are signalled by their own id, and killed when
//! their [`ChildProcess`] is dropped or this process ends.

mod starter;

use std::ffi;
use std::io;
use std::io::BufRead;
use std::path;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time;

use rustix::process::{Pid, Signal};
use snafu::{OptionExt, ResultExt};

use crate::error::{ChildSnafu, EndedSnafu, NotReadySnafu, StandinError};

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A child process that has printed its ready line. Dropping it kills this child and no other
/// process. The system kills it if this process is killed.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
    ready: serde_json::Value,
    lines: mpsc::Receiver<String>,
}

impl ChildProcess {
    /// Starts `binary` and waits for its ready line, a JSON object with
    /// `"ready": true`.
    ///
    /// # Errors
    /// Fails if it cannot be started, or does not print the line within 30 seconds.
    pub fn start<A: AsRef<ffi::OsStr>>(
        binary: impl AsRef<path::Path>,
        arguments: impl IntoIterator<Item = A>,
    ) -> Result<Self, StandinError> {
        let binary = binary.as_ref();
        let mut command = process::Command::new(binary);
        command.args(arguments);
        command.stdin(process::Stdio::null());
        command.stdout(process::Stdio::piped());
        let child = starter::spawn(command);
        let mut child = child.context(ChildSnafu { action: "start" })?;
        let (sender, lines) = mpsc::channel();
        if let Some(output) = child.stdout.take() {
            // Also read after the ready line, so that the child never blocks on a full pipe.
            thread::spawn(move || {
                for line in io::BufReader::new(output).lines().map_while(Result::ok) {
                    sender.send(line).unwrap_or(());
                }
            });
        }
        let mut started = Self {
            child,
            ready: serde_json::Value::Null,
            lines,
        };
        let limit = time::Instant::now() + READY_TIMEOUT;
        let binary = binary.display().to_string();
        started.ready = started
            .wait_for_ready_line(limit)
            .context(NotReadySnafu { binary })?;
        Ok(started)
    }

    fn wait_for_ready_line(&self, limit: time::Instant) -> Option<serde_json::Value> {
        loop {
            let line = self.next_line(limit.saturating_duration_since(time::Instant::now()))?;
            match serde_json::from_str::<serde_json::Value>(&line) {
                Ok(value) if value["ready"] == true => return Some(value),
                _ => {}
            }
        }
    }

    /// The ready line.
    pub const fn ready(&self) -> &serde_json::Value {
        &self.ready
    }

    /// The address under `field` of the ready line.
    pub fn address(&self, field: &str) -> Option<std::net::SocketAddr> {
        self.ready[field].as_str()?.parse().ok()
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The next line of standard output after the ready line, within `wait`.
    pub fn next_line(&self, wait: time::Duration) -> Option<String> {
        self.lines.recv_timeout(wait).ok()
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn pause(&mut self) -> Result<(), StandinError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn resume(&mut self) -> Result<(), StandinError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn terminate(&mut self) -> Result<(), StandinError> {
        self.signal(Signal::TERM)
    }

    /// Makes the process read its settings again (SIGHUP).
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn reload(&mut self) -> Result<(), StandinError> {
        self.signal(Signal::HUP)
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    /// Fails if the system call fails.
    pub fn kill(&mut self) -> Result<process::ExitStatus, StandinError> {
        let action = "kill";
        self.child.kill().context(ChildSnafu { action })?;
        self.child.wait().context(ChildSnafu { action })
    }

    /// The exit status of the process if it has ended.
    ///
    /// # Errors
    /// Fails if the system call fails.
    pub fn ended(&mut self) -> Result<Option<process::ExitStatus>, StandinError> {
        let action = "query the status of a child process";
        self.child.try_wait().context(ChildSnafu { action })
    }

    /// Waits at most for `wait` until the process has ended by itself; returns its
    /// exit status if it has.
    ///
    /// # Errors
    /// Fails if the system call fails.
    pub fn wait(
        &mut self,
        wait: time::Duration,
    ) -> Result<Option<process::ExitStatus>, StandinError> {
        let limit = time::Instant::now() + wait;
        loop {
            let ended = self.ended()?;
            if ended.is_some() || time::Instant::now() >= limit {
                return Ok(ended);
            }
            thread::sleep(time::Duration::from_millis(10));
        }
    }

    /// Checks first whether the child still runs, because the id of an ended child
    /// may belong to another process. The id cannot be reused until this process
    /// has waited for the child.
    fn signal(&mut self, signal: Signal) -> Result<(), StandinError> {
        snafu::ensure!(self.ended()?.is_none(), EndedSnafu);
        let number = i32::try_from(self.child.id()).ok();
        let id = number.and_then(Pid::from_raw).context(EndedSnafu)?;
        let sent = rustix::process::kill_process(id, signal).map_err(io::Error::from);
        sent.context(ChildSnafu { action: "signal" })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing fails if the child has already ended.
        self.kill().ok();
    }
}
