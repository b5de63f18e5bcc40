//! Reads load reports of backend servers.

use std::net;
use std::time;

use cardamomwinch_protocol::prelude::LoadReport;
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};

use crate::http_client::{ExchangeLimits, HttpClient, HttpError};

const LOAD_PATH: &str = "/load";

/// The longest report that is read, in bytes.
const REPORT_LIMIT: usize = 4 * 1024;

/// Why no load report could be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LoadError {
    /// The exchange failed.
    #[snafu(display("cannot read the load of a backend server"))]
    Exchange {
        /// Why the exchange failed.
        source: HttpError,
    },
    /// The server answered with something other than a report.
    #[snafu(display("unexpected status {status} from the load endpoint at {address}"))]
    UnexpectedStatus {
        /// The address of the load endpoint.
        address: net::SocketAddr,
        /// The status of the answer.
        status: StatusCode,
    },
    /// The answer is not a report.
    #[snafu(display("malformed load report from {address}"))]
    Malformed {
        /// The address of the load endpoint.
        address: net::SocketAddr,
        /// The error of the parser.
        source: serde_json::Error,
    },
}

/// Reads the load of one backend server over a kept-alive connection.
#[derive(Debug)]
pub struct LoadClient {
    client: HttpClient,
    timeout: time::Duration,
}

impl LoadClient {
    /// Creates a client of the load endpoint at `address`. `timeout` limits one exchange.
    pub const fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        let client = HttpClient::new(address);
        Self { client, timeout }
    }

    /// Reads the current report. Its figures may be outdated or wrong.
    ///
    /// # Errors
    /// Fails if the server does not return a report in time.
    pub async fn read(&mut self) -> Result<LoadReport, LoadError> {
        let limits = ExchangeLimits {
            timeout: self.timeout,
            body: REPORT_LIMIT,
        };
        let address = self.client.address();
        let exchange = self.client.get(LOAD_PATH, limits).await;
        let answer = exchange.context(ExchangeSnafu)?;
        let status = answer.status;
        let expected = status == StatusCode::OK;
        snafu::ensure!(expected, UnexpectedStatusSnafu { address, status });
        serde_json::from_slice(&answer.body).context(MalformedSnafu { address })
    }
}
