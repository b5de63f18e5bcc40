//! The platform: versioned keys over HTTP. The public listener, which hosts use,
//! is read-only and counts calls; the operator listener is for tests.

use std::net;
use std::sync;
use std::time;

use async_executor::Task;
use cardamomwinch_state::prelude::SortedVector;
use serde::{Deserialize, Serialize};

use crate::error::StandinError;
use crate::http::{self, HttpAction, HttpReply, HttpRequest};
use crate::runtime::{self, ChangeNotice, TaskExecutor};

/// The largest value of a key, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

const KEY_PREFIX: &str = "/v1/keys/";
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(300);
const GARBAGE: &[u8] = b"\xff\xfe{\"key\":";

/// Where the listeners are bound.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// The read-only listener.
    pub public: net::SocketAddr,
    /// The listener for tests.
    pub operator: net::SocketAddr,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            public: any,
            operator: any,
        }
    }
}

/// How the public listener misbehaves.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Not at all.
    #[default]
    None,
    /// Accepts requests and never answers.
    Silent,
    /// Answers late.
    Slow,
    /// Answers with the values as they were when the fault was set.
    Stale,
    /// Answers with the first revision of each key; a watch is answered at
    /// once if the first revision differs from the revision in its query.
    Back,
    /// Answers 200 with bytes that are not JSON.
    Broken,
    /// Closes the connection.
    Refuse,
}

/// Body of `POST /v1/fault`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformFault {
    /// How the public listener misbehaves.
    pub mode: FaultMode,
    /// The delay of [`FaultMode::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// One revision of a key; also the answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRevision {
    /// The key.
    pub key: String,
    /// The number of the write that set the value, counted over all keys.
    pub revision: u64,
    /// The value.
    pub value: String,
}

/// What a public call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The current value.
    Read,
    /// A later revision; counted once, whatever its wait.
    Watch,
    /// Anything but `GET`; refused.
    Refused,
}

/// The number of public calls of one kind for one key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallCount {
    /// The key, or the path if it names no key.
    pub key: String,
    /// The kind of the calls.
    pub kind: CallKind,
    /// The number of calls.
    pub count: u64,
}

/// Answer to `GET /v1/statistics`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformStatistics {
    /// The number of writes so far.
    pub revision: u64,
    /// All public calls.
    pub total: u64,
    /// Public calls that tried to write.
    pub refused: u64,
    /// The calls by key and kind.
    pub calls: Vec<CallCount>,
}

/// Answer to `PUT /v1/keys/{key}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WrittenRevision {
    /// The number of the write.
    pub revision: u64,
}

#[derive(Debug)]
struct KeyHistory {
    first: KeyRevision,
    current: KeyRevision,
    at_fault: Option<KeyRevision>,
}

#[derive(Debug, Default)]
struct PlatformState {
    revision: u64,
    keys: SortedVector<String, KeyHistory>,
    fault: PlatformFault,
    calls: SortedVector<(String, CallKind), u64>,
}

impl PlatformState {
    fn put(&mut self, key: &str, value: String) -> u64 {
        self.revision += 1;
        let written = KeyRevision {
            key: key.to_owned(),
            revision: self.revision,
            value,
        };
        match self.keys.get_mut(&written.key) {
            Some(history) => history.current = written,
            None => {
                let history = KeyHistory {
                    first: written.clone(),
                    current: written,
                    at_fault: None,
                };
                self.keys.insert(key.to_owned(), history);
            }
        }
        self.revision
    }

    fn set_fault(&mut self, fault: PlatformFault) {
        self.fault = fault;
        for (_, history) in self.keys.iter_mut() {
            history.at_fault = Some(history.current.clone());
        }
    }

    fn visible(&self, key: &str) -> Option<&KeyRevision> {
        let history = self.keys.get(&key.to_owned())?;
        match self.fault.mode {
            FaultMode::Stale => history.at_fault.as_ref(),
            FaultMode::Back => Some(&history.first),
            _ => Some(&history.current),
        }
    }

    fn later_revision(&self, key: &str, after: u64) -> Option<&KeyRevision> {
        let back = self.fault.mode == FaultMode::Back;
        let differs =
            |found: &&KeyRevision| found.revision > after || (back && found.revision != after);
        self.visible(key).filter(differs)
    }

    /// What ends a watch: a later revision, or a fault that closes connections.
    fn watch_result(&self, key: &str, after: u64) -> Option<Option<KeyRevision>> {
        if self.fault.mode == FaultMode::Refuse {
            return Some(None);
        }
        self.later_revision(key, after).cloned().map(Some)
    }

    fn count(&mut self, key: &str, kind: CallKind) {
        *self.calls.get_or_insert_with((key.to_owned(), kind), || 0) += 1;
    }

    fn statistics(&self) -> PlatformStatistics {
        let calls: Vec<_> = self
            .calls
            .iter()
            .map(|((key, kind), count)| CallCount {
                key: key.clone(),
                kind: *kind,
                count: *count,
            })
            .collect();
        let refused = calls.iter().filter(|call| call.kind == CallKind::Refused);
        PlatformStatistics {
            revision: self.revision,
            total: calls.iter().map(|call| call.count).sum(),
            refused: refused.map(|call| call.count).sum(),
            calls,
        }
    }
}

#[derive(Debug, Default)]
struct SharedPlatform {
    state: sync::Mutex<PlatformState>,
    change: ChangeNotice,
}

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    /// The bound address of the read-only listener.
    pub public_address: net::SocketAddr,
    /// The bound address of the listener for tests.
    pub operator_address: net::SocketAddr,
    shared: sync::Arc<SharedPlatform>,
    _tasks: [Task<()>; 2],
}

impl PlatformStandin {
    /// Binds both listeners and serves them.
    ///
    /// # Errors
    /// Fails if an address is not free.
    pub async fn start(
        executor: &TaskExecutor,
        settings: PlatformSettings,
    ) -> Result<Self, StandinError> {
        let shared = sync::Arc::new(SharedPlatform::default());
        let public = http::bind(settings.public).await?;
        let operator = http::bind(settings.operator).await?;
        let public_address = http::address(&public)?;
        let operator_address = http::address(&operator)?;
        let reader = shared.clone();
        let writer = shared.clone();
        let read = http::serve(executor, public, move |request| {
            serve_public(reader.clone(), request)
        });
        let write = http::serve(executor, operator, move |request| {
            let reply = writer.serve_operator(&request);
            async { HttpAction::Reply(reply) }
        });
        Ok(Self {
            public_address,
            operator_address,
            shared,
            _tasks: [read, write],
        })
    }

    /// Sets `key` and returns the revision.
    pub fn put(&self, key: &str, value: String) -> u64 {
        self.shared.put(key, value)
    }

    /// Makes the public listener misbehave.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.shared.set_fault(fault);
    }

    /// The public calls so far.
    pub fn statistics(&self) -> PlatformStatistics {
        runtime::locked(&self.shared.state).statistics()
    }
}

impl SharedPlatform {
    fn put(&self, key: &str, value: String) -> u64 {
        let revision = runtime::locked(&self.state).put(key, value);
        self.change.notify();
        revision
    }

    fn set_fault(&self, fault: PlatformFault) {
        runtime::locked(&self.state).set_fault(fault);
        self.change.notify();
    }

    fn serve_operator(&self, request: &HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/statistics") => {
                HttpReply::with_json(&runtime::locked(&self.state).statistics())
            }
            ("POST", "/v1/fault") => {
                let fault = request.json();
                HttpReply::for_result(&fault.map(|fault| self.set_fault(fault)))
            }
            ("PUT", path) => match path.strip_prefix(KEY_PREFIX) {
                Some(key) if !key.is_empty() => self.write(key, &request.body),
                _ => HttpReply::empty(404),
            },
            _ => HttpReply::empty(404),
        }
    }

    fn write(&self, key: &str, value: &[u8]) -> HttpReply {
        if value.len() > VALUE_LIMIT {
            return HttpReply::empty(413);
        }
        match String::from_utf8(value.to_vec()) {
            Ok(value) => HttpReply::with_json(&WrittenRevision {
                revision: self.put(key, value),
            }),
            Err(_) => HttpReply::empty(400),
        }
    }

    async fn read(&self, key: &str, request: &HttpRequest) -> HttpReply {
        let found = match request.query_number("after") {
            None => runtime::locked(&self.state).visible(key).cloned(),
            Some(after) => {
                let millis = request.query_number("wait_ms").unwrap_or_default();
                let wait = time::Duration::from_millis(millis).min(MAX_WATCH_WAIT);
                let look = || runtime::locked(&self.state).watch_result(key, after);
                let limit = time::Instant::now() + wait;
                match self.change.wait(limit, look).await {
                    None => return HttpReply::empty(204),
                    Some(found) => found,
                }
            }
        };
        found.map_or(HttpReply::empty(404), |found| HttpReply::with_json(&found))
    }
}

async fn serve_public(shared: sync::Arc<SharedPlatform>, request: HttpRequest) -> HttpAction {
    let key = request.path.strip_prefix(KEY_PREFIX).unwrap_or_default();
    let kind = match (request.method.as_str(), request.query_number("after")) {
        ("GET", None) => CallKind::Read,
        ("GET", Some(_)) => CallKind::Watch,
        _ => CallKind::Refused,
    };
    let counted = if key.is_empty() { &request.path } else { key };
    runtime::locked(&shared.state).count(counted, kind);
    if let Some(action) = apply_fault(&shared).await {
        return action;
    }
    if kind == CallKind::Refused {
        return HttpAction::Reply(HttpReply::empty(405));
    }
    let reply = shared.read(key, &request).await;
    // A fault set while a watch waits also applies to that watch.
    let fault = runtime::locked(&shared.state).fault;
    immediate_action(fault).unwrap_or(HttpAction::Reply(reply))
}

async fn apply_fault(shared: &SharedPlatform) -> Option<HttpAction> {
    let fault = runtime::locked(&shared.state).fault;
    if fault.mode == FaultMode::Slow {
        async_io::Timer::after(time::Duration::from_millis(fault.delay_ms)).await;
    }
    immediate_action(fault)
}

fn immediate_action(fault: PlatformFault) -> Option<HttpAction> {
    match fault.mode {
        FaultMode::None | FaultMode::Slow | FaultMode::Stale | FaultMode::Back => None,
        FaultMode::Silent => Some(HttpAction::Silence),
        FaultMode::Refuse => Some(HttpAction::Close),
        FaultMode::Broken => Some(HttpAction::Reply(HttpReply {
            status: 200,
            body: GARBAGE.into(),
        })),
    }
}
