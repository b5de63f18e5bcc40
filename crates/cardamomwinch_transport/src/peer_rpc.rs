//! Bulk exchange between hosts: JSON-RPC in authenticated frames over TCP.
//!
//! Each call opens its own connection. Bulk exchange is rare, and without idle
//! connections there is nothing to keep alive or to check.

use std::io;
use std::net;
use std::rc;
use std::time;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use cardamomwinch_protocol::prelude::AuthenticationKeys;
use futures_lite::future;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::{ResultExt, Snafu};

use crate::connection_limit;
use crate::peer_frame::{FrameError, PeerSession};
use crate::rpc_dispatch;

const REQUEST_ID: u64 = 0;

/// Why a call to a peer failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PeerRpcError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen for peers on {address}"))]
    Listen {
        /// The requested address.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system does not return the local address.
    #[snafu(display("cannot determine the address that peers are served on"))]
    Address {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer cannot be reached.
    #[snafu(display("cannot connect to the peer {address}"))]
    Connect {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The exchange failed. This is also the error if the peer accepts none of the
    /// keys: it closes the connection without an answer.
    #[snafu(display("the exchange with the peer {address} failed"))]
    Exchange {
        /// The address of the peer.
        address: net::SocketAddr,
        /// Why the exchange failed.
        source: FrameError,
    },
    /// The call did not end in time. It is unknown whether the peer ran it.
    #[snafu(display("the peer {address} did not answer within {limit:?}"))]
    TimedOut {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The timeout that expired.
        limit: time::Duration,
    },
    /// The parameters can't be encoded as JSON.
    #[snafu(display("cannot encode the parameters of {method}"))]
    Encode {
        /// The called method.
        method: &'static str,
        /// The error of the encoder.
        source: serde_json::Error,
    },
    /// The response is not a JSON-RPC response, or its result has the wrong type.
    #[snafu(display("malformed response to {method}"))]
    Malformed {
        /// The called method.
        method: &'static str,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The peer answered with an error.
    #[snafu(display("the peer refused {method}: {error}"))]
    Refused {
        /// The called method.
        method: &'static str,
        /// The error that the peer returned.
        error: ErrorObjectOwned,
    },
}

#[derive(Serialize)]
struct CallRequest<'a, P> {
    jsonrpc: &'a str,
    id: u64,
    method: &'a str,
    params: &'a P,
}

#[derive(Deserialize)]
struct CallResponse<'a> {
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    error: Option<ErrorObjectOwned>,
}

/// How long a call to a peer may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// The time in which the connection must be established. A host that is powered
    /// off or behind a partition answers nothing, and without this limit the operating
    /// system would keep trying for far longer.
    pub connect: time::Duration,
    /// The time for the whole call, connecting included.
    pub whole: time::Duration,
}

impl CallLimits {
    /// Limits the whole call only, without a shorter limit for connecting.
    pub const fn whole(limit: time::Duration) -> Self {
        Self {
            connect: limit,
            whole: limit,
        }
    }
}

/// Calls methods of peers.
#[derive(Debug, Clone)]
pub struct PeerClient {
    keys: AuthenticationKeys,
}

impl PeerClient {
    /// Creates a client that signs with `keys`.
    pub const fn new(keys: AuthenticationKeys) -> Self {
        Self { keys }
    }

    /// Calls `method` of the peer at `address`. `params` must serialize to a JSON
    /// array or object; `timeout` limits the whole call.
    ///
    /// # Errors
    /// Fails like [`Self::call_within`].
    pub async fn call<T: DeserializeOwned, P: Serialize>(
        &self,
        address: net::SocketAddr,
        method: &'static str,
        params: &P,
        timeout: time::Duration,
    ) -> Result<T, PeerRpcError> {
        let limits = CallLimits::whole(timeout);
        self.call_within(address, method, params, limits).await
    }

    /// Calls `method` of the peer at `address` within `limits`. `params` must serialize
    /// to a JSON array or object.
    ///
    /// # Errors
    /// Fails if the peer cannot be reached, accepts none of the keys, does not answer
    /// in time, or refuses the call.
    pub async fn call_within<T: DeserializeOwned, P: Serialize>(
        &self,
        address: net::SocketAddr,
        method: &'static str,
        params: &P,
        limits: CallLimits,
    ) -> Result<T, PeerRpcError> {
        let request = CallRequest {
            jsonrpc: "2.0",
            id: REQUEST_ID,
            method,
            params,
        };
        let request = serde_json::to_vec(&request).context(EncodeSnafu { method })?;
        let exchange = self.exchange(address, &request, limits.connect);
        let response = step_with_timeout(limits.whole, address, exchange).await?;
        parse_response(method, &response)
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        request: &[u8],
        limit: time::Duration,
    ) -> Result<Vec<u8>, PeerRpcError> {
        let connect = async {
            let stream = TcpStream::connect(address).await;
            stream.context(ConnectSnafu { address })
        };
        let stream = step_with_timeout(limit, address, connect).await?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let session = PeerSession::open(stream, &self.keys).await;
        let mut session = session.context(ExchangeSnafu { address })?;
        let response = session.call(request).await;
        response.context(ExchangeSnafu { address })
    }
}

/// Returns the result of `step` of a call to the peer at `address`, or times out after
/// `limit`.
async fn step_with_timeout<T>(
    limit: time::Duration,
    address: net::SocketAddr,
    step: impl Future<Output = Result<T, PeerRpcError>>,
) -> Result<T, PeerRpcError> {
    let expiry = async {
        Timer::after(limit).await;
        TimedOutSnafu { address, limit }.fail()
    };
    future::or(step, expiry).await
}

fn parse_response<T: DeserializeOwned>(
    method: &'static str,
    response: &[u8],
) -> Result<T, PeerRpcError> {
    let response: CallResponse<'_> =
        serde_json::from_slice(response).context(MalformedSnafu { method })?;
    if let Some(error) = response.error {
        return RefusedSnafu { method, error }.fail();
    }
    let result = response.result.map_or("null", RawValue::get);
    serde_json::from_str(result).context(MalformedSnafu { method })
}

/// The limits for connections of peers, also before they are authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// The number of connections held at the same time.
    pub connections: usize,
    /// The time in which a peer must prove that it holds an accepted key.
    pub handshake_timeout: time::Duration,
    /// The time to receive one request, and the time to send one response.
    pub frame_timeout: time::Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: 64,
            handshake_timeout: time::Duration::from_secs(2),
            frame_timeout: time::Duration::from_secs(10),
        }
    }
}

/// Why a connection of a peer was closed.
#[derive(Debug)]
#[derive(Snafu)]
enum ServeError {
    #[snafu(display("frames could not be exchanged"), context(false))]
    Frame { source: FrameError },
    #[snafu(display("the peer was too slow"))]
    Slow,
}

impl ServeError {
    /// The value of the label `reason` under which the error is counted.
    const fn reason(&self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Frame { source } => match source {
                FrameError::Broken { .. } => "broken",
                FrameError::Ended => "ended",
                FrameError::Truncated => "truncated",
                FrameError::Length { .. } => "length",
                FrameError::Unauthenticated => "unauthenticated",
                FrameError::Random { .. } => "no_random_bytes",
            },
        }
    }
}

struct PeerService {
    module: RpcModule<()>,
    keys: AuthenticationKeys,
    limits: PeerLimits,
}

/// Serves calls of peers.
pub struct PeerServer {
    listener: TcpListener,
    service: rc::Rc<PeerService>,
}

impl PeerServer {
    /// Listens on `address`; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    /// Fails if the operating system refuses the address.
    pub async fn bind(
        address: net::SocketAddr,
        module: RpcModule<()>,
        keys: AuthenticationKeys,
        limits: PeerLimits,
    ) -> Result<Self, PeerRpcError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let service = rc::Rc::new(PeerService {
            module,
            keys,
            limits,
        });
        Ok(Self { listener, service })
    }

    /// The address that peers are served on.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_address(&self) -> Result<net::SocketAddr, PeerRpcError> {
        self.listener.local_addr().context(AddressSnafu)
    }

    /// Serves until the future is dropped, which closes all connections.
    /// Connections that are closed because of an error are counted by reason in
    /// `cardamomwinch_peer_rpc_errors_total`.
    pub async fn serve(self) {
        let service = &self.service;
        let handle = |stream| {
            let service = rc::Rc::clone(service);
            async move {
                if let Err(error) = service.serve_peer(stream).await {
                    count_error(error.reason());
                }
            }
        };
        let limit = service.limits.connections;
        connection_limit::accept_connections(&self.listener, limit, "peer", handle).await;
    }
}

fn count_error(reason: &'static str) {
    metrics::counter!("cardamomwinch_peer_rpc_errors_total", "reason" => reason).increment(1);
}

impl PeerService {
    /// Serves one connection until the peer closes it between two requests.
    async fn serve_peer(&self, stream: TcpStream) -> Result<(), ServeError> {
        let limits = self.limits;
        let handshake = PeerSession::accept(stream, &self.keys);
        let mut session = exchange_with_timeout(limits.handshake_timeout, handshake).await?;
        loop {
            let request =
                match exchange_with_timeout(limits.frame_timeout, session.read_request()).await {
                    Err(ServeError::Frame {
                        source: FrameError::Ended,
                    }) => return Ok(()),
                    outcome => outcome?,
                };
            let response = rpc_dispatch::dispatch(&self.module, &request).await;
            let sent = session.respond(response.as_bytes());
            exchange_with_timeout(limits.frame_timeout, sent).await?;
        }
    }
}

async fn exchange_with_timeout<T>(
    limit: time::Duration,
    exchange: impl Future<Output = Result<T, FrameError>>,
) -> Result<T, ServeError> {
    let expiry = async {
        Timer::after(limit).await;
        SlowSnafu.fail()
    };
    future::or(async { Ok(exchange.await?) }, expiry).await
}
