//! A small HTTP client that only reads: one kept-alive connection to one address,
//! with limits of time and size.

use std::fmt;
use std::io;
use std::net;
use std::pin;
use std::time;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, header};
use smol_hyper::rt::FuturesIo;
use snafu::{OptionExt, ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};

/// The time to open a connection: enough for many round trips between regions, and
/// short enough that a retry follows soon after a partition has healed.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// The idle time before the first keep-alive probe of a connection, and the time
/// between two probes; the operating system counts in whole seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// The time without an acknowledgement of sent data after which a connection is
/// closed; the same time as the probes take.
const ACKNOWLEDGEMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Why an HTTP exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HttpError {
    /// No connection could be opened.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The path or the address is not valid in an HTTP request.
    #[snafu(display("cannot form a request to {address}"))]
    Request {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The error of the library.
        source: hyper::http::Error,
    },
    /// The connection broke during the exchange, or the peer did not send HTTP.
    #[snafu(display("the exchange with {address} failed"))]
    Exchange {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The error of the library.
        source: hyper::Error,
    },
    /// The peer closed the connection before it answered.
    #[snafu(display("{address} closed the connection"))]
    Closed {
        /// The address of the peer.
        address: net::SocketAddr,
    },
    /// The whole exchange did not end in time.
    #[snafu(display("{address} did not answer within {limit:?}"))]
    TimedOut {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The timeout that expired.
        limit: time::Duration,
    },
    /// The body is longer than allowed; the connection was closed.
    #[snafu(display("the answer of {address} exceeds {limit} bytes"))]
    Oversized {
        /// The address of the peer.
        address: net::SocketAddr,
        /// The longest allowed body, in bytes.
        limit: usize,
    },
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status of the answer.
    pub status: StatusCode,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The body of the answer.
    pub body: Vec<u8>,
    /// The time from the end of the head to the end of the body.
    pub body_time: time::Duration,
}

/// The limits of a single exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeLimits {
    /// The time from opening the connection to the end of the body.
    pub timeout: time::Duration,
    /// The longest allowed body, in bytes.
    pub body: usize,
}

type ClientConnection = http1::Connection<FuturesIo<TcpStream>, Empty<Bytes>>;

/// A connection that makes progress only while an exchange polls it, and therefore
/// needs no executor.
struct OpenConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: pin::Pin<Box<ClientConnection>>,
}

/// Reads from one address over one kept-alive connection. It sends only `GET`
/// requests.
pub struct HttpClient {
    address: net::SocketAddr,
    connection: Option<OpenConnection>,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let connected = self.connection.is_some();
        formatter
            .debug_struct("HttpClient")
            .field("address", &self.address)
            .field("connected", &connected)
            .finish()
    }
}

impl HttpClient {
    /// Creates a client that connects when it is first used.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// The address that the client reads from.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Reads `path`, which may include a query string.
    ///
    /// Dropping the future closes the connection, so that the rest of an unread
    /// answer is never read as the next answer.
    ///
    /// # Errors
    /// Fails if the peer cannot be reached, the connection breaks, or a limit is
    /// exceeded.
    pub async fn get(
        &mut self,
        path: &str,
        limits: ExchangeLimits,
    ) -> Result<HttpAnswer, HttpError> {
        let address = self.address;
        let timeout = async {
            Timer::after(limits.timeout).await;
            TimedOutSnafu {
                address,
                limit: limits.timeout,
            }
            .fail()
        };
        future::or(self.get_without_timeout(path, limits.body), timeout).await
    }

    async fn get_without_timeout(
        &mut self,
        path: &str,
        limit: usize,
    ) -> Result<HttpAnswer, HttpError> {
        // A peer may close an idle connection at any time, and the client notices
        // only at its next request. Reading twice is harmless, so that request is
        // repeated once on a new connection.
        if let Some(connection) = self.connection.take() {
            match self.exchange(connection, path, limit).await {
                Err(HttpError::Exchange { .. } | HttpError::Closed { .. }) => {}
                outcome => return outcome,
            }
        }
        let connection = self.connect().await?;
        self.exchange(connection, path, limit).await
    }

    /// Opens a connection within [`CONNECT_TIMEOUT`], even if the whole exchange may
    /// take longer: an address behind a network partition answers nothing at all.
    async fn open_stream(&self) -> Result<TcpStream, HttpError> {
        let address = self.address;
        let opened = async {
            TcpStream::connect(address)
                .await
                .context(ConnectSnafu { address })
        };
        let expiry = async {
            Timer::after(CONNECT_TIMEOUT).await;
            let limit = CONNECT_TIMEOUT;
            TimedOutSnafu { address, limit }.fail()
        };
        future::or(opened, expiry).await
    }

    async fn connect(&self) -> Result<OpenConnection, HttpError> {
        let address = self.address;
        let stream = self.open_stream().await?;
        // Otherwise small requests may wait for an acknowledgement.
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        enable_keepalive(&stream).context(ConnectSnafu { address })?;
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        let driver = Box::pin(driver);
        Ok(OpenConnection { sender, driver })
    }

    async fn exchange(
        &mut self,
        mut connection: OpenConnection,
        path: &str,
        limit: usize,
    ) -> Result<HttpAnswer, HttpError> {
        let address = self.address;
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Empty::new())
            .context(RequestSnafu { address })?;
        let OpenConnection { sender, driver } = &mut connection;
        let answer = async {
            sender.ready().await.context(ExchangeSnafu { address })?;
            let response = sender
                .send_request(request)
                .await
                .context(ExchangeSnafu { address })?;
            read_answer(response, address, limit).await
        };
        let outcome = drive(answer, driver.as_mut()).await;
        let outcome = outcome.context(ClosedSnafu { address })?;
        if outcome.is_ok() {
            self.connection = Some(connection);
        }
        outcome
    }
}

/// Lets the operating system close a connection whose other end no longer responds.
///
/// Guards against a network partition, which closes no connection: a watch would
/// keep waiting after the partition has healed, and the host would use outdated data
/// meanwhile. Probes are answered by the operating system of the other end, so a peer
/// that simply has nothing to send keeps its connection.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))
}

/// Polls the exchange and the connection that carries it. Returns `None` if the
/// connection ends before the exchange has a result.
async fn drive<T>(
    exchange: impl Future<Output = T>,
    driver: pin::Pin<&mut ClientConnection>,
) -> Option<T> {
    let mut exchange = pin::pin!(exchange);
    let ended = future::or(async { Some(exchange.as_mut().await) }, async {
        // The exchange also receives an error of the connection, with its cause.
        let _ = driver.await;
        None
    });
    match ended.await {
        Some(outcome) => Some(outcome),
        None => future::poll_once(exchange).await,
    }
}

async fn read_answer(
    response: Response<Incoming>,
    address: net::SocketAddr,
    limit: usize,
) -> Result<HttpAnswer, HttpError> {
    let status = response.status();
    let headers = response.headers().clone();
    let began_at = time::Instant::now();
    let mut incoming = response.into_body();
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.context(ExchangeSnafu { address })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let within = body.len() + data.len() <= limit;
        snafu::ensure!(within, OversizedSnafu { address, limit });
        body.extend_from_slice(&data);
    }
    Ok(HttpAnswer {
        status,
        headers,
        body,
        body_time: began_at.elapsed(),
    })
}
