//! Starts children that end with this process, however it ends.
//!
//! A test program that is killed drops nothing, and its children would run on beside
//! whatever is tested next.

use std::io;
use std::os::unix::process::CommandExt;
use std::process;
use std::sync::LazyLock;
use std::sync::mpsc;
use std::thread;

use rustix::process::{Pid, Signal};

/// A child that is to be started.
struct StartOrder {
    command: process::Command,
    reply: mpsc::Sender<io::Result<process::Child>>,
}

/// The system tells children of the end of the thread that started them. Those of tests
/// end while children run; this one lasts as long as the process.
static ORDERS: LazyLock<mpsc::Sender<StartOrder>> = LazyLock::new(|| {
    let (sender, orders) = mpsc::channel::<StartOrder>();
    thread::spawn(move || {
        for mut order in orders {
            let child = order.command.spawn();
            // Whoever waited for the child may have given up.
            drop(order.reply.send(child));
        }
    });
    sender
});

/// Starts `command` as a child that the system kills when this process ends.
///
/// # Errors
/// Fails where the system does.
pub(super) fn spawn(mut command: process::Command) -> io::Result<process::Child> {
    let parent = rustix::process::getpid();
    // SAFETY: the closure makes two system calls, and neither allocates nor locks.
    #[allow(unsafe_code)]
    unsafe {
        command.pre_exec(move || end_with(parent));
    }
    let (reply, started) = mpsc::channel();
    let order = StartOrder { command, reply };
    ORDERS.send(order).map_err(io::Error::other)?;
    started.recv().map_err(io::Error::other)?
}

/// Has the calling process killed when `parent` ends, and fails where it has ended already.
fn end_with(parent: Pid) -> io::Result<()> {
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    if rustix::process::getppid() == Some(parent) {
        Ok(())
    } else {
        Err(io::ErrorKind::NotConnected.into())
    }
}
