//! Accepts connections up to a limit.

use std::cell;
use std::rc;
use std::time;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};

/// How long to wait after a failure to accept. When the process has no file
/// descriptor left, each attempt fails at once; without the pause the thread would
/// be busy with attempts until a connection ends.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(100);

#[derive(Debug, Clone)]
struct ConnectionLimiter {
    open: rc::Rc<cell::Cell<usize>>,
    limit: usize,
}

impl ConnectionLimiter {
    fn new(limit: usize) -> Self {
        let open = rc::Rc::default();
        Self { open, limit }
    }

    fn acquire(&self) -> Option<ConnectionPermit> {
        let open = self.open.get();
        (open < self.limit).then(|| {
            self.open.set(open + 1);
            let open = rc::Rc::clone(&self.open);
            ConnectionPermit { open }
        })
    }
}

/// The permission to hold one connection. Dropping it frees the slot.
#[derive(Debug)]
struct ConnectionPermit {
    open: rc::Rc<cell::Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// Passes each connection to `handle`, at most `limit` at the same time. Further
/// connections are closed and counted with the label `endpoint`. Never returns;
/// dropping the future closes all connections.
pub(crate) async fn accept_connections<F: Future<Output = ()>>(
    listener: &TcpListener,
    limit: usize,
    endpoint: &'static str,
    handle: impl Fn(TcpStream) -> F,
) {
    let limiter = ConnectionLimiter::new(limit);
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                count_refusal(endpoint, "accept_failed");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let Some(permit) = limiter.acquire() else {
                count_refusal(endpoint, "too_many_connections");
                continue;
            };
            let served = handle(stream);
            let task = executor.spawn(async move {
                served.await;
                drop(permit);
            });
            task.detach();
        }
    };
    executor.run(accept).await;
}

fn count_refusal(endpoint: &'static str, reason: &'static str) {
    let labels = [("endpoint", endpoint), ("reason", reason)];
    metrics::counter!("cardamomwinch_refused_connections_total", &labels).increment(1);
}
