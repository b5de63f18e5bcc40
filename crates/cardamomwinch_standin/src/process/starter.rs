//! Starts child processes that end with this process, however it ends.
//!
//! A test program that is killed runs no destructors, so its children would keep running
//! during the next test.

use std::io;
use std::os::unix::process::CommandExt;
use std::process;
use std::sync::LazyLock;
use std::sync::mpsc;
use std::thread;

use rustix::process::{Pid, Signal};

/// A request to the thread that starts children.
struct StartRequest {
    command: process::Command,
    reply: mpsc::Sender<io::Result<process::Child>>,
}

/// The system signals a child when the thread that started it ends, not the process. Threads of
/// tests end while their children run, so one thread that runs until the end of the process
/// starts all children.
static START_REQUESTS: LazyLock<mpsc::Sender<StartRequest>> = LazyLock::new(|| {
    let (sender, requests) = mpsc::channel::<StartRequest>();
    thread::spawn(move || {
        for mut request in requests {
            let child = request.command.spawn();
            // The receiver may no longer wait for the child.
            drop(request.reply.send(child));
        }
    });
    sender
});

/// Starts `command` as a child that the system kills when this process ends.
///
/// # Errors
/// Fails if the system cannot start it.
pub(super) fn spawn(mut command: process::Command) -> io::Result<process::Child> {
    let parent = rustix::process::getpid();
    // SAFETY: the closure makes two system calls, and neither allocates nor locks.
    #[allow(unsafe_code)]
    unsafe {
        command.pre_exec(move || kill_with_parent(parent));
    }
    let (reply, started) = mpsc::channel();
    let request = StartRequest { command, reply };
    START_REQUESTS.send(request).map_err(io::Error::other)?;
    started.recv().map_err(io::Error::other)?
}

/// Makes the system kill the calling process when `parent` ends; fails if `parent` has already
/// ended.
fn kill_with_parent(parent: Pid) -> io::Result<()> {
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    if rustix::process::getppid() == Some(parent) {
        Ok(())
    } else {
        Err(io::ErrorKind::NotConnected.into())
    }
}
