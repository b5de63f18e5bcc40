//! Asks a host over its administration API: JSON-RPC 2.0 by HTTP POST.

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

/// A longer answer is refused, so that a wrong address can't fill the memory.
pub const ANSWER_BYTE_LIMIT: usize = 64 * 1024 * 1024;

/// Why a host could not be asked.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ClientError {
    /// No connection can be made.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The host does not answer in time.
    #[snafu(display("no answer from {address} within {} ms", timeout.as_millis()))]
    TimedOut {
        /// The address.
        address: net::SocketAddr,
        /// How long it was waited for.
        timeout: time::Duration,
    },
    /// The connection breaks.
    #[snafu(display("the connection to {address} broke: {source}"))]
    Exchange {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: hyper::Error,
    },
    /// The request can't be written as JSON.
    #[snafu(display("the request can't be encoded: {source}"))]
    Encode {
        /// Why.
        source: serde_json::Error,
    },
    /// The request can't be written as HTTP.
    #[snafu(display("the request can't be formed: {source}"))]
    Form {
        /// Why.
        source: hyper::http::Error,
    },
    /// The host answers with another status than 200.
    #[snafu(display("{address} answered with HTTP status {status}"))]
    HttpStatus {
        /// The address.
        address: net::SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer is too long.
    #[snafu(display("the answer of {address} is longer than {ANSWER_BYTE_LIMIT} bytes"))]
    TooLong {
        /// The address.
        address: net::SocketAddr,
    },
    /// The body of the answer can't be read to its end.
    #[snafu(display("the answer of {address} ended early: {source}"))]
    Body {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The answer is not the expected JSON.
    #[snafu(display("the answer of {address} is not understood: {source}"))]
    Malformed {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: serde_json::Error,
    },
    /// The answer has neither a result nor an error.
    #[snafu(display("the answer of {address} holds neither a result nor an error"))]
    NoResult {
        /// The address.
        address: net::SocketAddr,
    },
    /// The host refuses.
    #[snafu(display("{address} refused: {} (code {code})", printable(message)))]
    Refused {
        /// The address.
        address: net::SocketAddr,
        /// The code of the refusal.
        code: i64,
        /// What the host says.
        message: String,
    },
}

impl ClientError {
    /// Whether the host gave no answer at all.
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

/// Asks one host.
#[derive(Debug, Clone, Copy)]
pub struct AdministrationClient {
    address: net::SocketAddr,
    timeout: time::Duration,
}

impl AdministrationClient {
    /// A client of the host at `address`, which may take `timeout` to answer.
    pub const fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { address, timeout }
    }

    /// Calls `method` with `parameters`, if it takes any, and waits for the
    /// result.
    ///
    /// # Errors
    /// Fails where the host is not reached, is too slow, refuses, or answers
    /// something else.
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
        // The connection has to be polled for the exchange to go on. When it
        // breaks, the exchange fails by itself and says why.
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
