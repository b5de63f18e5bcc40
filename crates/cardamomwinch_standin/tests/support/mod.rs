//! Runs tests on an executor, and defines a host that forwards without any decisions.
// Each test file uses only a part of this.
#![allow(dead_code)]

use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_net::UdpSocket;
use cardamomwinch_protocol::backend::{BackendKind, BackendRequest};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_standin::fabric;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_state::prelude::*;

pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(20);

pub(crate) fn any() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn service() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 80))
}

/// Runs `test` to its end and fails it if it takes too long.
pub(crate) fn run<F: future::Future<Output = ()>>(test: impl FnOnce(TaskExecutor) -> F) {
    let executor = TaskExecutor::default();
    let limited = futures_lite::future::or(test(executor.clone()), async {
        async_io::Timer::after(3 * TIMEOUT).await;
        panic!("the test did not end in time");
    });
    async_io::block_on(executor.run(limited));
}

/// Repeats `check` until it returns `true`; fails the test after [`TIMEOUT`].
pub(crate) async fn eventually(mut check: impl FnMut() -> bool) {
    let limit = time::Instant::now() + TIMEOUT;
    while !check() {
        assert!(
            time::Instant::now() < limit,
            "the condition was not met in time"
        );
        async_io::Timer::after(time::Duration::from_millis(5)).await;
    }
}

/// A host that forwards everything from callers to one backend server and back.
pub(crate) struct Forwarder {
    pub(crate) address: net::SocketAddr,
    pub(crate) received: sync::Arc<atomic::AtomicUsize>,
    _task: async_executor::Task<()>,
}

impl Forwarder {
    pub(crate) async fn start(executor: &TaskExecutor, backend: net::SocketAddr) -> Self {
        let (socket, address) = fabric::bind_datagrams(any()).await.unwrap();
        let received = sync::Arc::new(atomic::AtomicUsize::new(0));
        let counter = received.clone();
        let task = executor.spawn(async move {
            let mut buffer = [0; codec::DATAGRAM_LIMIT];
            loop {
                let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
                counter.fetch_add(1, atomic::Ordering::Relaxed);
                match codec::decode(&buffer[..length]).unwrap() {
                    FabricDatagram::Caller(datagram) => {
                        forward(&socket, backend, &datagram).await;
                    }
                    FabricDatagram::Backend(reply) => answer(&socket, &reply).await,
                }
            }
        });
        Self {
            address,
            received,
            _task: task,
        }
    }
}

async fn forward(socket: &UdpSocket, backend: net::SocketAddr, datagram: &CallerDatagram<'_>) {
    let forwarded = BackendDatagram {
        flow: datagram.flow,
        backend: BackendId::new(7),
        via: HostId::from_name("forwarder"),
        kind: match datagram.kind {
            CallerKind::Open => BackendKind::Open,
            CallerKind::Carry => BackendKind::Carry,
            CallerKind::Close => BackendKind::Close,
        },
        request: datagram.request.map(|request| BackendRequest {
            id: request.id,
            attempt: AttemptNumber::default(),
            start_before: request.deadline,
            deadline: request.deadline,
        }),
        payload: datagram.payload,
    };
    send(socket, backend, &forwarded).await;
}

/// A claim for `backend`; its domain and address are placeholders.
pub(crate) fn claim(backend: BackendId) -> TokenClaim {
    TokenClaim {
        backend,
        domain: DomainId::from_name("anywhere"),
        address: any(),
    }
}

async fn answer(socket: &UdpSocket, reply: &BackendReply<'_>) {
    let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
    let retry_after = time::Duration::from_millis(10);
    let kind = match reply.kind {
        BackendReplyKind::Opened => CallerReplyKind::Opened {
            token: TokenIssuer::new(keys).issue(&reply.flow, claim(reply.backend)),
        },
        BackendReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        } => CallerReplyKind::Answer {
            request,
            attempt,
            part,
            payload,
        },
        BackendReplyKind::Shed { request, .. } => CallerReplyKind::NotRun {
            request,
            reason: RefusalReason::Shed,
            retry_after,
        },
        BackendReplyKind::Notice { sequence, payload } => {
            CallerReplyKind::Notice { sequence, payload }
        }
        BackendReplyKind::UnknownFlow { .. } => CallerReplyKind::Reset {
            reason: ResetReason::UnknownFlow,
        },
        BackendReplyKind::Closed => return,
    };
    let flow = reply.flow;
    send(socket, flow.caller, &CallerReply { flow, kind }).await;
}

pub(crate) async fn send<T: serde::Serialize>(socket: &UdpSocket, to: net::SocketAddr, value: &T) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT];
    let bytes = codec::encode(value, &mut buffer).unwrap();
    socket.send_to(bytes, to).await.unwrap();
}
