//! The management endpoint: JSON-RPC by `POST /`, and `GET /metrics`,
//! `GET /healthz` and `GET /readyz`.

use std::convert;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::time;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode, service};
use jsonrpsee::RpcModule;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use snafu::{ResultExt, Snafu};

use crate::connection_limit;
use crate::rpc_dispatch;

/// The longest head of a request in bytes. The library allows no smaller limit.
const HEAD_LIMIT: usize = 8 * 1024;

const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const TEXT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Renders the metrics of the process.
pub trait MetricsSource {
    /// Returns the metrics in the text format of Prometheus.
    fn render(&self) -> String;
}

/// Reports whether the host is ready to serve.
pub trait ReadinessSource {
    /// Whether the host holds a configuration and is not stopping.
    fn is_ready(&self) -> bool;
}

/// Why the endpoint could not be opened.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EndpointError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The requested address.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system does not return the local address.
    #[snafu(display("cannot determine the address of the endpoint"))]
    Address {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RequestError {
    /// The path is unknown.
    #[snafu(display("not_found"))]
    NotFound,
    /// The path does not allow the method.
    #[snafu(display("method_not_allowed"))]
    MethodNotAllowed {
        /// The method that the path allows.
        allowed: &'static str,
    },
    /// The body is longer than allowed.
    #[snafu(display("oversized_body"))]
    OversizedBody,
    /// The body did not arrive in time.
    #[snafu(display("body_timeout"))]
    BodyTimeout,
    /// The connection broke before the body was complete.
    #[snafu(display("broken_body"))]
    BrokenBody,
}

impl RequestError {
    const fn status(self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::OversizedBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BrokenBody => StatusCode::BAD_REQUEST,
        }
    }
}

/// The limits for clients of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLimits {
    /// The number of connections held at the same time.
    pub connections: usize,
    /// The longest allowed request body, in bytes.
    pub body: usize,
    /// The time to receive the head of a request, including the idle time before it.
    pub head_timeout: time::Duration,
    /// The time to receive the body of a request.
    pub body_timeout: time::Duration,
    /// The age after which a connection accepts no further request. A request in
    /// progress then has the same time again to end, after which the connection is
    /// closed, so that a client that does not read its answer cannot hold it forever.
    pub connection_lifetime: time::Duration,
}

impl Default for EndpointLimits {
    fn default() -> Self {
        Self {
            connections: 32,
            body: 64 * 1024,
            head_timeout: time::Duration::from_secs(5),
            body_timeout: time::Duration::from_secs(5),
            connection_lifetime: time::Duration::from_secs(60),
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Route {
    Call,
    Metrics,
    Health,
    Readiness,
}

impl Route {
    fn find(method: &Method, path: &str) -> Result<Self, RequestError> {
        let (route, expected) = match path {
            "/" => (Self::Call, Method::POST),
            "/metrics" => (Self::Metrics, Method::GET),
            "/healthz" => (Self::Health, Method::GET),
            "/readyz" => (Self::Readiness, Method::GET),
            _ => return NotFoundSnafu.fail(),
        };
        let allowed = if expected == Method::POST {
            "POST"
        } else {
            "GET"
        };
        snafu::ensure!(*method == expected, MethodNotAllowedSnafu { allowed });
        Ok(route)
    }
}

struct RequestHandler<M, R> {
    module: RpcModule<()>,
    metrics: M,
    readiness: R,
    limits: EndpointLimits,
}

/// The management endpoint of a host.
pub struct RpcEndpoint<M, R> {
    listener: TcpListener,
    handler: rc::Rc<RequestHandler<M, R>>,
}

impl<M: MetricsSource, R: ReadinessSource> RpcEndpoint<M, R> {
    /// Listens on `address`; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    /// Fails if the operating system refuses the address.
    pub async fn bind(
        address: net::SocketAddr,
        module: RpcModule<()>,
        metrics: M,
        readiness: R,
        limits: EndpointLimits,
    ) -> Result<Self, EndpointError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let handler = rc::Rc::new(RequestHandler {
            module,
            metrics,
            readiness,
            limits,
        });
        Ok(Self { listener, handler })
    }

    /// The address that the endpoint listens on.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_address(&self) -> Result<net::SocketAddr, EndpointError> {
        self.listener.local_addr().context(AddressSnafu)
    }

    /// Serves until the future is dropped, which closes all connections.
    pub async fn serve(self) {
        let handler = &self.handler;
        let limit = handler.limits.connections;
        let handle = |stream| serve_connection(rc::Rc::clone(handler), stream);
        connection_limit::accept_connections(&self.listener, limit, "management", handle).await;
    }
}

async fn serve_connection<M: MetricsSource, R: ReadinessSource>(
    handler: rc::Rc<RequestHandler<M, R>>,
    stream: TcpStream,
) {
    let lifetime = handler.limits.connection_lifetime;
    let service = service::service_fn(|request| {
        let handler = rc::Rc::clone(&handler);
        async move { Ok::<_, convert::Infallible>(handler.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(handler.limits.head_timeout)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin::pin!(connection);
    // An error of a connection concerns only its client, which sees it closed.
    let ended = async {
        let _ = connection.as_mut().await;
        true
    };
    if future::or(ended, expire(lifetime)).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let ended = async {
        let _ = connection.await;
        true
    };
    future::or(ended, expire(lifetime)).await;
}

async fn expire(limit: time::Duration) -> bool {
    Timer::after(limit).await;
    false
}

impl<M: MetricsSource, R: ReadinessSource> RequestHandler<M, R> {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match self.try_answer(request).await {
            Ok(response) => response,
            Err(error) => refuse(error),
        }
    }

    async fn try_answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let response = match Route::find(request.method(), request.uri().path())? {
            Route::Call => {
                let body = self.read_body(request.into_body()).await?;
                let text = rpc_dispatch::dispatch(&self.module, &body).await;
                respond(StatusCode::OK, JSON_TYPE, text)
            }
            Route::Metrics => respond(StatusCode::OK, TEXT_TYPE, self.metrics.render()),
            Route::Health => respond(StatusCode::OK, TEXT_TYPE, "ok\n".to_owned()),
            Route::Readiness if self.readiness.is_ready() => {
                respond(StatusCode::OK, TEXT_TYPE, "ready\n".to_owned())
            }
            Route::Readiness => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                respond(status, TEXT_TYPE, "not ready\n".to_owned())
            }
        };
        Ok(response)
    }

    async fn read_body(&self, body: Incoming) -> Result<Vec<u8>, RequestError> {
        let timeout = async {
            Timer::after(self.limits.body_timeout).await;
            BodyTimeoutSnafu.fail()
        };
        future::or(read_bounded(body, self.limits.body), timeout).await
    }
}

async fn read_bounded(mut incoming: Incoming, limit: usize) -> Result<Vec<u8>, RequestError> {
    let limit_bytes = u64::try_from(limit).unwrap_or(u64::MAX);
    let announced = incoming.size_hint().lower();
    snafu::ensure!(announced <= limit_bytes, OversizedBodySnafu);
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| RequestError::BrokenBody)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        snafu::ensure!(body.len() + data.len() <= limit, OversizedBodySnafu);
        body.extend_from_slice(&data);
    }
    Ok(body)
}

fn respond(status: StatusCode, kind: HeaderValue, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn refuse(error: RequestError) -> Response<Full<Bytes>> {
    let text = format!("{{\"error\":\"{error}\"}}\n");
    let mut response = respond(error.status(), JSON_TYPE, text);
    if let RequestError::MethodNotAllowed { allowed } = error {
        let value = HeaderValue::from_static(allowed);
        response.headers_mut().insert(header::ALLOW, value);
    }
    response
}
