//! Reads and watches the keys of the platform's configuration service. The client
//! can't write: it sends `GET` requests only.

use std::fmt;
use std::net;
use std::str;
use std::time;

use hyper::StatusCode;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::http_client::{ExchangeLimits, HttpAnswer, HttpClient, HttpError};

/// The longest value that is accepted, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// The longest answer that is read, in bytes. JSON may encode one byte of a value
/// in six bytes, and every value within its limit must be readable.
const ANSWER_LIMIT: usize = 6 * VALUE_LIMIT + 4096;

/// The longest name of a key, in bytes.
const KEY_LIMIT: usize = 256;

/// The error of text that is not a valid name of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "expected 1 to {KEY_LIMIT} letters, digits, `-`, `_`, `.` or `/` for a key, found {found:?}"
))]
pub struct KeyParseError {
    /// The rejected text.
    pub found: String,
}

/// The name of a key on the platform.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformKey(String);

impl fmt::Display for PlatformKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl str::FromStr for PlatformKey {
    type Err = KeyParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
        let fits = (1..=KEY_LIMIT).contains(&text.len());
        if fits && text.bytes().all(allowed) {
            Ok(Self(text.to_owned()))
        } else {
            let found: String = text.chars().take(KEY_LIMIT).collect();
            KeyParseSnafu { found }.fail()
        }
    }
}

/// Why a key could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// The client has no address of the platform.
    #[snafu(display("no address of the platform is known"))]
    NoAddress,
    /// The exchange failed.
    #[snafu(display("cannot read {key} from the platform"))]
    Exchange {
        /// The requested key.
        key: PlatformKey,
        /// Why the exchange failed.
        source: HttpError,
    },
    /// The platform holds no such key.
    #[snafu(display("the platform holds no key {key}"))]
    Missing {
        /// The requested key.
        key: PlatformKey,
    },
    /// The platform answered with a status that is not part of its interface.
    #[snafu(display("unexpected status {status} for {key}"))]
    UnexpectedStatus {
        /// The requested key.
        key: PlatformKey,
        /// The status of the answer.
        status: StatusCode,
    },
    /// The answer is not the expected JSON.
    #[snafu(display("malformed answer for {key}"))]
    Malformed {
        /// The requested key.
        key: PlatformKey,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The answer is for another key.
    #[snafu(display("asked for {key}, got an answer for {found:?}"))]
    WrongKey {
        /// The requested key.
        key: PlatformKey,
        /// The key that the answer is for.
        found: String,
    },
    /// The value is longer than the platform allows.
    #[snafu(display("the value of {key} has {length} bytes, more than {VALUE_LIMIT}"))]
    OversizedValue {
        /// The requested key.
        key: PlatformKey,
        /// The length of the value in bytes.
        length: usize,
    },
    /// A watch was answered with a revision that isn't later than the known one:
    /// the part of the platform that answered lags. Watch again after a pause.
    #[snafu(display("watched {key} after revision {after}, was answered with {found}"))]
    StaleRevision {
        /// The requested key.
        key: PlatformKey,
        /// The known revision.
        after: u64,
        /// The revision in the answer.
        found: u64,
    },
}

/// The value of a key at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyReading {
    /// The number of the revision, which rises with every change of the key.
    pub revision: u64,
    /// The value of the key at this revision.
    pub value: String,
}

/// How a watch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has a later revision.
    Changed(KeyReading),
    /// The key did not change within the wait.
    Unchanged,
}

#[derive(Deserialize)]
struct KeyDocument {
    key: String,
    revision: u64,
    value: String,
}

impl From<KeyDocument> for KeyReading {
    fn from(document: KeyDocument) -> Self {
        Self {
            revision: document.revision,
            value: document.value,
        }
    }
}

/// Reads keys from the first address that answers. Calls run one at a time.
#[derive(Debug)]
pub struct PlatformClient {
    clients: Vec<HttpClient>,
    preferred: usize,
    timeout: time::Duration,
}

impl PlatformClient {
    /// Creates a client. `timeout` limits one exchange with one address; the wait
    /// of a watch is added to it.
    pub fn new(addresses: &[net::SocketAddr], timeout: time::Duration) -> Self {
        let clients = addresses.iter().copied().map(HttpClient::new).collect();
        Self {
            clients,
            preferred: 0,
            timeout,
        }
    }

    /// Reads the current value of `key`.
    ///
    /// # Errors
    /// Fails with the error of the address tried last if none answers.
    pub async fn read(&mut self, key: &PlatformKey) -> Result<KeyReading, PlatformError> {
        let path = format!("/v1/keys/{key}");
        match self
            .try_each_address(key, &path, self.timeout, None)
            .await?
        {
            WatchOutcome::Changed(reading) => Ok(reading),
            WatchOutcome::Unchanged => UnexpectedStatusSnafu {
                key: key.clone(),
                status: StatusCode::NO_CONTENT,
            }
            .fail(),
        }
    }

    /// Waits up to `wait` for a revision of `key` later than `after`.
    ///
    /// # Errors
    /// Fails with the error of the address tried last if none answers.
    pub async fn watch(
        &mut self,
        key: &PlatformKey,
        after: u64,
        wait: time::Duration,
    ) -> Result<WatchOutcome, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/keys/{key}?after={after}&wait_ms={wait_ms}");
        let timeout = self.timeout.saturating_add(wait);
        self.try_each_address(key, &path, timeout, Some(after))
            .await
    }

    /// Tries the address that answered last, and after a failure each of the others.
    async fn try_each_address(
        &mut self,
        key: &PlatformKey,
        path: &str,
        timeout: time::Duration,
        after: Option<u64>,
    ) -> Result<WatchOutcome, PlatformError> {
        let mut outcome = NoAddressSnafu.fail();
        for _ in 0..self.clients.len() {
            let client = self
                .clients
                .get_mut(self.preferred)
                .context(NoAddressSnafu)?;
            outcome = fetch(client, key, path, timeout, after).await;
            if matches!(outcome, Ok(_) | Err(PlatformError::Missing { .. })) {
                return outcome;
            }
            self.preferred = (self.preferred + 1) % self.clients.len();
        }
        outcome
    }
}

async fn fetch(
    client: &mut HttpClient,
    key: &PlatformKey,
    path: &str,
    timeout: time::Duration,
    after: Option<u64>,
) -> Result<WatchOutcome, PlatformError> {
    let limits = ExchangeLimits {
        timeout,
        body: ANSWER_LIMIT,
    };
    let answer = client
        .get(path, limits)
        .await
        .with_context(|_| ExchangeSnafu { key: key.clone() })?;
    let key = key.clone();
    match answer.status {
        StatusCode::OK => parse_reading(key, &answer, after).map(WatchOutcome::Changed),
        StatusCode::NO_CONTENT => Ok(WatchOutcome::Unchanged),
        StatusCode::NOT_FOUND => MissingSnafu { key }.fail(),
        status => UnexpectedStatusSnafu { key, status }.fail(),
    }
}

fn parse_reading(
    key: PlatformKey,
    answer: &HttpAnswer,
    after: Option<u64>,
) -> Result<KeyReading, PlatformError> {
    let document: KeyDocument = match serde_json::from_slice(&answer.body) {
        Ok(document) => document,
        Err(source) => return Err(PlatformError::Malformed { key, source }),
    };
    if document.key != key.0 {
        let found = document.key;
        return WrongKeySnafu { key, found }.fail();
    }
    let length = document.value.len();
    if length > VALUE_LIMIT {
        return OversizedValueSnafu { key, length }.fail();
    }
    let found = document.revision;
    match after {
        Some(after) if found <= after => StaleRevisionSnafu { key, after, found }.fail(),
        _ => Ok(document.into()),
    }
}
