//! Named threads that run asynchronous tasks.

use std::io;
use std::thread;

use async_executor::LocalExecutor;
use snafu::{ResultExt, Snafu};

/// Why a thread could not be started, or ended without a result.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ThreadError {
    /// The operating system could not start the thread.
    #[snafu(display("cannot start the thread {name}"))]
    Start {
        /// The name of the thread.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The thread panicked. The message was written to the standard error stream.
    #[snafu(display("the thread {name} panicked"))]
    Panicked {
        /// The name of the thread.
        name: String,
    },
}

/// Runs `main` and the tasks that it spawns on the current thread until `main` ends.
/// Tasks that are still running then are dropped.
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
    /// Starts a thread named `name` that runs `main` and the tasks that it spawns.
    /// Linux shows the first 15 bytes of the name.
    ///
    /// # Errors
    /// Fails if the operating system cannot start the thread.
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

    /// Waits until the thread ends and returns the result of its `main`.
    ///
    /// # Errors
    /// Fails if the thread panicked.
    pub fn join(self) -> Result<T, ThreadError> {
        let name = self.name;
        self.handle
            .join()
            .map_err(|_| ThreadError::Panicked { name })
    }
}
