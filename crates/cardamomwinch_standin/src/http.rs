//! A very small HTTP/1 server and client.

use std::future;
use std::net;
use std::sync;

use async_executor::Task;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use hyper::body::Bytes;
use hyper::{client, server, service};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt, Snafu};

use crate::error::{BuildSnafu, ExchangeSnafu, JsonSnafu, SocketSnafu, StandinError};
use crate::runtime::TaskExecutor;

/// The largest request body that is read, in bytes.
pub const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The method in capital letters.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark; empty if there is none.
    pub query: String,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// The query parameter `name` as a number, if it is one.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// Fails if the body is not such JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StandinError> {
        serde_json::from_slice(&self.body).context(JsonSnafu)
    }
}

/// A status and a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The body, usually JSON.
    pub body: Bytes,
}

impl HttpReply {
    /// A reply with an empty body.
    pub const fn empty(status: u16) -> Self {
        Self {
            status,
            body: Bytes::new(),
        }
    }

    /// A reply of status 200 with `value` as JSON.
    pub fn with_json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(bytes) => Self {
                status: 200,
                body: bytes.into(),
            },
            Err(_) => Self::empty(500),
        }
    }

    /// An empty reply: 204 for success, 400 for failure.
    pub fn for_result<T>(result: &Result<T, StandinError>) -> Self {
        Self::empty(if result.is_ok() { 204 } else { 400 })
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// Fails if the body is not such JSON.
    pub fn json(&self) -> Result<serde_json::Value, StandinError> {
        serde_json::from_slice(&self.body).context(JsonSnafu)
    }
}

/// What a server does with a request.
#[derive(Debug)]
pub enum HttpAction {
    /// Answers it.
    Reply(HttpReply),
    /// Never answers it.
    Silence,
    /// Closes the connection.
    Close,
}

/// Makes hyper close a connection without an answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the connection is closed on purpose"))]
struct ClosedOnPurpose;

/// Binds `address`.
///
/// # Errors
/// Fails if the address is not free.
pub async fn bind(address: net::SocketAddr) -> Result<async_net::TcpListener, StandinError> {
    let bound = async_net::TcpListener::bind(address).await;
    bound.context(SocketSnafu {
        action: "bind a TCP listener",
    })
}

/// Serves `listener` with `handler` until the returned task is dropped.
/// Connections stay open until their clients close them.
pub fn serve<H, F>(
    executor: &TaskExecutor,
    listener: async_net::TcpListener,
    handler: H,
) -> Task<()>
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: future::Future<Output = HttpAction> + Send + 'static,
{
    let handler = sync::Arc::new(handler);
    let spawner = executor.clone();
    executor.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let answer = move |request| answer(request, handler.clone());
            let connection = server::conn::http1::Builder::new()
                .serve_connection(FuturesIo::new(stream), service::service_fn(answer));
            // A client that closes its connection early is not an error here.
            spawner
                .spawn(async { connection.await.unwrap_or(()) })
                .detach();
        }
    })
}

async fn answer<H, F>(
    request: hyper::Request<body::Incoming>,
    handler: sync::Arc<H>,
) -> Result<hyper::Response<Full<Bytes>>, ClosedOnPurpose>
where
    H: Fn(HttpRequest) -> F,
    F: future::Future<Output = HttpAction>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        return Ok(respond(HttpReply::empty(413)));
    };
    let request = HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body: body.to_bytes(),
    };
    match handler(request).await {
        HttpAction::Reply(reply) => Ok(respond(reply)),
        HttpAction::Silence => future::pending().await,
        HttpAction::Close => Err(ClosedOnPurpose),
    }
}

fn respond(reply: HttpReply) -> hyper::Response<Full<Bytes>> {
    let mut response = hyper::Response::new(Full::new(reply.body));
    if let Ok(status) = hyper::StatusCode::from_u16(reply.status) {
        *response.status_mut() = status;
    }
    response
}

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
/// Fails if the connection fails or the path is malformed.
pub async fn request(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<HttpReply, StandinError> {
    let connected = async_net::TcpStream::connect(address).await;
    let stream = connected.context(SocketSnafu { action: "connect" })?;
    let handshake = client::conn::http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu)?;
    let request = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body.into()))
        .context(BuildSnafu)?;
    let exchange = async {
        let response = sender.send_request(request).await.context(ExchangeSnafu)?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .context(ExchangeSnafu)?;
        Ok(HttpReply {
            status,
            body: body.to_bytes(),
        })
    };
    let driver = async {
        // A failure of the connection also fails the exchange, which reports it.
        connection.await.unwrap_or(());
        future::pending().await
    };
    futures_lite::future::or(exchange, driver).await
}

/// The address that `listener` is bound to.
///
/// # Errors
/// Fails if the system does not return it.
pub fn address(listener: &async_net::TcpListener) -> Result<net::SocketAddr, StandinError> {
    listener.local_addr().context(SocketSnafu {
        action: "look up the address of a listener",
    })
}
