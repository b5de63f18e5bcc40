//! Runs tasks on a thread of its own, by name.

use std::io;
use std::thread;

use async_executor::LocalExecutor;
use snafu::{ResultExt, Snafu};

/// Why a thread could not be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ThreadError {
    /// The system gave no thread.
    #[snafu(display("cannot start the thread {name}"))]
    Start {
        /// The name of the thread.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The thread panicked; the message went to the standard error stream.
    #[snafu(display("the thread {name} panicked"))]
    Panicked {
        /// The name of the thread.
        name: String,
    },
}

/// Runs `main` on the current thread until it ends, together with the tasks that
/// it spawns. Tasks still running then are dropped.
pub fn run_on_current_thread<T>(main: impl AsyncFnOnce(&LocalExecutor<'static>) -> T) -> T {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(main(&executor)))
}

/// A thread that runs an executor.
#[derive(Debug)]
pub struct ExecutorThread<T> {
    name: String,
    handle: thread::JoinHandle<T>,
}

impl<T: Send + 'static> ExecutorThread<T> {
    /// Starts a thread named `name` that runs `main` and what it spawns. Linux
    /// shows the first 15 bytes of the name.
    ///
    /// # Errors
    /// Fails where the system gives no thread.
    pub fn start<F>(name: &str, main: F) -> Result<Self, ThreadError>
    where
        F: AsyncFnOnce(&LocalExecutor<'static>) -> T + Send + 'static,
    {
        let handle = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run_on_current_thread(main))
            .context(StartSnafu { name })?;
        let name = name.to_owned();
        Ok(Self { name, handle })
    }

    /// Waits until the thread ends.
    ///
    /// # Errors
    /// Fails where it panicked.
    pub fn join(self) -> Result<T, ThreadError> {
        let name = self.name;
        self.handle
            .join()
            .map_err(|_| ThreadError::Panicked { name })
    }
}
