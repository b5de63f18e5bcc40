//! Sends requests to the administration API of a host: JSON-RPC 2.0 by HTTP POST.

use std::error;
use std::future::Future;
use std::io;
use std::net;
use std::time;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::rpc::{RpcRequest, RpcResponse};
use crate::text_table::printable;

/// The longest accepted answer, so that the server at a wrong address can't fill the
/// memory.
pub const ANSWER_BYTE_LIMIT: usize = 64 * 1024 * 1024;

/// Why a call to a host failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClientError {
    /// The connection can't be opened.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address of the host.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The host does not answer in time.
    #[snafu(display("no answer from {address} within {} ms", timeout.as_millis()))]
    TimedOut {
        /// The address of the host.
        address: net::SocketAddr,
        /// The timeout that expired.
        timeout: time::Duration,
    },
    /// The connection breaks.
    #[snafu(display("the connection to {address} broke: {source}"))]
    Exchange {
        /// The address of the host.
        address: net::SocketAddr,
        /// The error of the library.
        source: hyper::Error,
    },
    /// The request can't be written as JSON.
    #[snafu(display("the request can't be encoded: {source}"))]
    Encode {
        /// The error of the library.
        source: serde_json::Error,
    },
    /// The request can't be written as HTTP.
    #[snafu(display("the request can't be formed: {source}"))]
    Form {
        /// The error of the library.
        source: hyper::http::Error,
    },
    /// The host answers with a status other than 200.
    #[snafu(display("{address} answered with HTTP status {status}"))]
    HttpStatus {
        /// The address of the host.
        address: net::SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer is too long.
    #[snafu(display("the answer of {address} is longer than {ANSWER_BYTE_LIMIT} bytes"))]
    TooLong {
        /// The address of the host.
        address: net::SocketAddr,
    },
    /// The body of the answer can't be read to its end.
    #[snafu(display("the answer of {address} ended early: {source}"))]
    Body {
        /// The address of the host.
        address: net::SocketAddr,
        /// The error of the library.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The answer is not the expected JSON.
    #[snafu(display("the answer of {address} is not understood: {source}"))]
    Malformed {
        /// The address of the host.
        address: net::SocketAddr,
        /// The error of the library.
        source: serde_json::Error,
    },
    /// The answer has neither a result nor an error.
    #[snafu(display("the answer of {address} holds neither a result nor an error"))]
    NoResult {
        /// The address of the host.
        address: net::SocketAddr,
    },
    /// The host refuses the request.
    #[snafu(display("{address} refused: {} (code {code})", printable(message)))]
    Refused {
        /// The address of the host.
        address: net::SocketAddr,
        /// The code of the refusal.
        code: i64,
        /// The message of the host.
        message: String,
    },
}

impl ClientError {
    /// Whether no complete answer of the host arrived.
    pub const fn is_unreachable(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::TimedOut { .. }
                | Self::Exchange { .. }
                | Self::Body { .. }
        )
    }
}

/// Calls methods of one host.
#[derive(Debug, Clone, Copy)]
pub struct AdministrationClient {
    address: net::SocketAddr,
    timeout: time::Duration,
}

impl AdministrationClient {
    /// Creates a client of the host at `address`. `timeout` limits a whole call.
    pub const fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { address, timeout }
    }

    /// Calls `method` and waits for the result. `parameters` is `None` if the method
    /// takes none.
    ///
    /// # Errors
    /// Fails if the host can't be reached, does not answer in time, refuses the
    /// request, or returns anything but the expected result.
    pub fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        parameters: Option<&P>,
    ) -> Result<R, ClientError> {
        let body = serde_json::to_vec(&RpcRequest::new(method, parameters));
        let body = body.context(EncodeSnafu)?;
        let answer = async_io::block_on(self.within_timeout(self.post(body)))?;
        self.read_result(&answer)
    }

    async fn within_timeout<T>(
        &self,
        work: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, ClientError> {
        let expiry = async {
            Timer::after(self.timeout).await;
            let Self { address, timeout } = *self;
            TimedOutSnafu { address, timeout }.fail()
        };
        future::or(work, expiry).await
    }

    async fn post(&self, body: Vec<u8>) -> Result<Bytes, ClientError> {
        let address = self.address;
        let stream = TcpStream::connect(address).await;
        let stream = FuturesIo::new(stream.context(ConnectSnafu { address })?);
        let handshake = http1::handshake(stream).await;
        let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
        let request = self.request(body)?;
        let exchange = async {
            let response = sender.send_request(request).await;
            self.read_body(response.context(ExchangeSnafu { address })?)
                .await
        };
        // The exchange makes progress only while the connection is polled. If the
        // connection breaks, the exchange itself fails with the cause.
        let drive = async {
            let _ = connection.await;
            future::pending().await
        };
        future::or(exchange, drive).await
    }

    fn request(&self, body: Vec<u8>) -> Result<Request<Full<Bytes>>, ClientError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        request.context(FormSnafu)
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, ClientError> {
        let address = self.address;
        let status = response.status();
        ensure!(
            status == StatusCode::OK,
            HttpStatusSnafu { address, status }
        );
        let body = Limited::new(response.into_body(), ANSWER_BYTE_LIMIT);
        match body.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(source) if source.is::<LengthLimitError>() => TooLongSnafu { address }.fail(),
            Err(source) => Err(ClientError::Body { address, source }),
        }
    }

    fn read_result<R: DeserializeOwned>(&self, answer: &[u8]) -> Result<R, ClientError> {
        let address = self.address;
        let response: RpcResponse<'_> =
            serde_json::from_slice(answer).context(MalformedSnafu { address })?;
        if let Some(error) = response.error {
            let code = error.code;
            let message = error.message;
            return RefusedSnafu {
                address,
                code,
                message,
            }
            .fail();
        }
        let result = response.result.context(NoResultSnafu { address })?;
        serde_json::from_str(result.get()).context(MalformedSnafu { address })
    }
}
