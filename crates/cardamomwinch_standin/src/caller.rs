//! A caller: one flow on a socket of its own. It resends each request, with the
//! same identifier, until it receives the outcome or the deadline passes.

use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use async_executor::Task;
use async_net::UdpSocket;
use cardamomwinch_protocol::caller::{CallerDatagram, CallerKind, CallerReply, RequestHeader};
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::RoutingToken;
use cardamomwinch_state::prelude::{FlowKey, RequestId};
use snafu::ResultExt;

use crate::caller_state::CallerState;
pub use crate::caller_state::{
    CallerCounters, NoticeSummary, OpenOutcome, RequestOutcome, UnexpectedReply,
};
use crate::error::{EncodeSnafu, StandinError};
use crate::fabric;
use crate::runtime::{self, ChangeNotice, TaskExecutor};

/// How a caller behaves.
#[derive(Debug, Clone, Copy)]
pub struct CallerSettings {
    /// The fabric's address for callers.
    pub fabric: net::SocketAddr,
    /// The public address of the service.
    pub service: net::SocketAddr,
    /// The port to bind; zero for any free one.
    pub port: u16,
    /// Whether it echoes the first token it receives.
    pub echoes_token: bool,
    /// The time between two sends of the same datagram.
    pub resend_interval: time::Duration,
}

impl CallerSettings {
    /// A caller that echoes its token and resends five times a second.
    pub const fn new(fabric: net::SocketAddr, service: net::SocketAddr) -> Self {
        Self {
            fabric,
            service,
            port: 0,
            echoes_token: true,
            resend_interval: time::Duration::from_millis(200),
        }
    }
}

#[derive(Debug)]
struct SharedCaller {
    settings: CallerSettings,
    flow: FlowKey,
    socket: UdpSocket,
    state: sync::Mutex<CallerState>,
    change: ChangeNotice,
    next_request: atomic::AtomicU64,
}

/// One flow; its socket closes when dropped.
#[derive(Debug)]
pub struct CallerClient {
    shared: sync::Arc<SharedCaller>,
    _receiver: Task<()>,
}

impl CallerClient {
    /// Binds a socket of the fabric's address family and sends nothing yet. With a fabric at
    /// 127.0.0.1, the callers of a process share a loopback address of their own.
    ///
    /// # Errors
    /// Fails if the port is taken, or no port is free.
    pub async fn bind(
        executor: &TaskExecutor,
        settings: CallerSettings,
    ) -> Result<Self, StandinError> {
        let own = net::SocketAddr::new(caller_address(settings.fabric.ip()), settings.port);
        let (socket, caller) = fabric::bind_datagrams(own).await?;
        let shared = sync::Arc::new(SharedCaller {
            settings,
            flow: FlowKey {
                caller,
                service: settings.service,
            },
            socket,
            state: sync::Mutex::default(),
            change: ChangeNotice::default(),
            next_request: atomic::AtomicU64::new(1),
        });
        let receiver = executor.spawn(shared.clone().receive());
        Ok(Self {
            shared,
            _receiver: receiver,
        })
    }

    /// The flow of this client.
    pub fn flow(&self) -> FlowKey {
        self.shared.flow
    }

    /// Opens the flow without a request; resends until `wait` has passed.
    ///
    /// # Errors
    /// Fails if `payload` does not fit into a datagram.
    pub async fn open(
        &self,
        payload: &[u8],
        wait: time::Duration,
    ) -> Result<OpenOutcome, StandinError> {
        let shared = &self.shared;
        // The outcome of an earlier attempt does not count for this one.
        runtime::locked(&shared.state).opening = None;
        let outcome = || runtime::locked(&shared.state).opening;
        let limit = time::Instant::now() + wait;
        let found = shared.send_until(CallerKind::Open, None, payload, limit, outcome);
        Ok(found.await?.unwrap_or(OpenOutcome::TimedOut))
    }

    /// Opens the flow with a request in the same datagram.
    ///
    /// # Errors
    /// Fails if `payload` does not fit into a datagram.
    pub async fn open_with_request(
        &self,
        payload: &[u8],
        idempotent: bool,
        wait: time::Duration,
    ) -> Result<RequestOutcome, StandinError> {
        let kind = CallerKind::Open;
        self.shared.request(kind, payload, idempotent, wait).await
    }

    /// Sends a request on the open flow and waits for its outcome, at most for
    /// `wait`, which also sets its deadline.
    ///
    /// # Errors
    /// Fails if `payload` does not fit into a datagram.
    pub async fn request(
        &self,
        payload: &[u8],
        idempotent: bool,
        wait: time::Duration,
    ) -> Result<RequestOutcome, StandinError> {
        let kind = CallerKind::Carry;
        self.shared.request(kind, payload, idempotent, wait).await
    }

    /// Waits until `count` different notices are received, or `wait` has passed.
    pub async fn wait_for_notices(&self, count: u64, wait: time::Duration) -> NoticeSummary {
        let shared = &self.shared;
        let limit = time::Instant::now() + wait;
        let look = || {
            let notices = runtime::locked(&shared.state).notices();
            (notices.received >= count).then_some(notices)
        };
        let found = shared.change.wait(limit, look).await;
        found.unwrap_or_else(|| self.notices())
    }

    /// The notices received so far.
    pub fn notices(&self) -> NoticeSummary {
        runtime::locked(&self.shared.state).notices()
    }

    /// The first token received, if any.
    pub fn token(&self) -> Option<RoutingToken> {
        runtime::locked(&self.shared.state).token
    }

    /// The counters of this caller so far.
    pub fn counters(&self) -> CallerCounters {
        runtime::locked(&self.shared.state).counters
    }

    /// The first unexpected replies.
    pub fn unexpected_replies(&self) -> Vec<UnexpectedReply> {
        runtime::locked(&self.shared.state).unexpected.clone()
    }

    /// The requests for which both an answer and "not run" were received.
    pub fn contradicted(&self) -> Vec<RequestId> {
        runtime::locked(&self.shared.state).contradicted()
    }

    /// Closes the flow. It does not wait, because a close has no reply.
    ///
    /// # Errors
    /// Fails only if the datagram cannot be encoded.
    pub async fn close(&self) -> Result<(), StandinError> {
        self.shared.send(CallerKind::Close, None, &[]).await
    }
}

impl SharedCaller {
    async fn receive(self: sync::Arc<Self>) {
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        loop {
            // An error here belongs to an earlier send; receiving can continue.
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let decoded = codec::decode::<CallerReply<'_>>(&buffer[..length]);
            let mut state = runtime::locked(&self.state);
            match decoded {
                Ok(reply) if reply.flow == self.flow => state.handle(&reply),
                Ok(reply) => state.note_unexpected(UnexpectedReply::OtherFlow(reply.flow)),
                Err(_) => state.note_unexpected(UnexpectedReply::Unreadable { sender, length }),
            }
            drop(state);
            self.change.notify();
        }
    }

    async fn request(
        &self,
        kind: CallerKind,
        payload: &[u8],
        idempotent: bool,
        wait: time::Duration,
    ) -> Result<RequestOutcome, StandinError> {
        let number = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let header = RequestHeader {
            id: RequestId::new(number),
            idempotent,
            deadline: runtime::now().after(wait),
        };
        runtime::locked(&self.state).track(header.id);
        let outcome = || runtime::locked(&self.state).outcome(header.id);
        let limit = time::Instant::now() + wait;
        let found = self.send_until(kind, Some(header), payload, limit, outcome);
        Ok(found.await?.unwrap_or(RequestOutcome::TimedOut))
    }

    /// Sends the same datagram repeatedly until `outcome` returns a value or
    /// `limit` is reached.
    async fn send_until<T>(
        &self,
        kind: CallerKind,
        request: Option<RequestHeader>,
        payload: &[u8],
        limit: time::Instant,
        mut outcome: impl FnMut() -> Option<T>,
    ) -> Result<Option<T>, StandinError> {
        loop {
            self.send(kind, request, payload).await?;
            let pause = time::Instant::now() + self.settings.resend_interval;
            let found = self.change.wait(pause.min(limit), &mut outcome).await;
            if found.is_some() || time::Instant::now() >= limit {
                return Ok(found);
            }
        }
    }

    async fn send(
        &self,
        kind: CallerKind,
        request: Option<RequestHeader>,
        payload: &[u8],
    ) -> Result<(), StandinError> {
        let echoes_token = self.settings.echoes_token;
        let token = runtime::locked(&self.state).token;
        let datagram = CallerDatagram {
            flow: self.flow,
            kind,
            echoes_token,
            token: token.filter(|_| echoes_token && kind != CallerKind::Open),
            request,
            payload,
        };
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        let bytes = codec::encode(&datagram, &mut buffer).context(EncodeSnafu)?;
        // If the fabric no longer runs, the datagram is lost, as on a network.
        drop(self.socket.send_to(bytes, self.settings.fabric).await);
        Ok(())
    }
}

/// The address of this process's callers, given the address of the fabric.
///
/// An address of their own keeps callers from reusing ports of other processes: a caller that
/// got the port of a host that was just killed took datagrams still sent to that host for
/// replies.
fn caller_address(fabric: net::IpAddr) -> net::IpAddr {
    if fabric != net::IpAddr::V4(net::Ipv4Addr::LOCALHOST) {
        return fabric;
    }
    let [_, _, high, low] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, 1, high, low).into()
}
