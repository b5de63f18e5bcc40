//! Long sessions that must outlive every planned change: some send requests
//! all the time, some only receive notices.

use std::fmt;
use std::sync;
use std::sync::atomic;
use std::time;

use async_executor::Task;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;

use crate::support::{self, LIMIT};

const DEADLINE: time::Duration = time::Duration::from_millis(2500);
const PAUSE: time::Duration = time::Duration::from_millis(50);
/// Callers that echo their token or not, and that send requests or only receive notices.
const KINDS: [SessionKind; 4] = [
    SessionKind::new(true, true),
    SessionKind::new(true, false),
    SessionKind::new(false, true),
    SessionKind::new(false, false),
];

#[derive(Debug, Clone, Copy)]
struct SessionKind {
    echoes_token: bool,
    sends_requests: bool,
}

impl SessionKind {
    const fn new(echoes_token: bool, sends_requests: bool) -> Self {
        Self {
            echoes_token,
            sends_requests,
        }
    }
}

/// One open session.
pub(crate) struct OpenSession {
    client: CallerClient,
    kind: SessionKind,
    /// The name of the server that answered first.
    pub(crate) server: String,
    answers: atomic::AtomicU64,
    violations: sync::Mutex<Vec<String>>,
}

impl fmt::Debug for OpenSession {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let violations = runtime::locked(&self.violations);
        write!(
            formatter,
            "{:?} of {} at {}: {} resets, {} answers, {:?}, {:?}",
            self.kind,
            self.client.flow(),
            self.server,
            self.client.counters().resets,
            self.answers.load(atomic::Ordering::Relaxed),
            self.client.notices(),
            violations.first(),
        )
    }
}

/// Sessions that must all stay with their servers.
pub(crate) struct SessionSet {
    pub(crate) sessions: Vec<sync::Arc<OpenSession>>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<Task<()>>,
}

impl SessionSet {
    /// Opens `count` sessions of each kind to each service.
    pub(crate) async fn open(
        executor: &TaskExecutor,
        deployment: &Deployment,
        count: usize,
    ) -> Self {
        let fabric = deployment.fabric_address("callers").unwrap();
        let mut set = Self {
            sessions: Vec::new(),
            stop: sync::Arc::default(),
            tasks: Vec::new(),
        };
        for service in &deployment.plan.services {
            for kind in KINDS.into_iter().cycle().take(KINDS.len() * count) {
                let mut settings = CallerSettings::new(fabric, service.address);
                settings.echoes_token = kind.echoes_token;
                let session = OpenSession::open(executor, settings, kind).await;
                set.add(executor, sync::Arc::new(session));
            }
        }
        set
    }

    fn add(&mut self, executor: &TaskExecutor, session: sync::Arc<OpenSession>) {
        if session.kind.sends_requests {
            let stop = self.stop.clone();
            let requesting = session.clone();
            self.tasks
                .push(executor.spawn(async move { requesting.send_requests_until(&stop).await }));
        }
        self.sessions.push(session);
    }

    /// Waits until each session that sends requests has received `count` more
    /// answers, and each other session `count` more notices.
    pub(crate) async fn wait_for_progress(&self, count: u64) {
        let before: Vec<_> = self.sessions.iter().map(|held| held.progress()).collect();
        for (session, before) in self.sessions.iter().zip(before) {
            let what = format!("progress of {session:?}");
            support::eventually(&what, async || {
                self.check();
                (session.progress() >= before + count).then_some(())
            })
            .await;
        }
        self.check();
    }

    /// Fails if a session was reset or answered by another server.
    pub(crate) fn check(&self) {
        for session in &self.sessions {
            let violations = runtime::locked(&session.violations).len();
            assert_eq!(violations, 0, "{session:?}");
            assert_eq!(session.client.counters().resets, 0, "{session:?}");
        }
    }

    /// Sends one more request on every session, also on those that only received
    /// notices: each must still be with its server.
    pub(crate) async fn finish(self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        for session in &self.sessions {
            session.send_request(LIMIT).await;
        }
        for session in &self.sessions {
            let violations = runtime::locked(&session.violations).len();
            assert_eq!(violations, 0, "{session:?}");
            assert_eq!(session.client.counters().resets, 0, "{session:?}");
        }
    }
}

impl OpenSession {
    async fn open(executor: &TaskExecutor, settings: CallerSettings, kind: SessionKind) -> Self {
        let client = CallerClient::bind(executor, settings).await.unwrap();
        let opened = client.open(b"", LIMIT).await.unwrap();
        assert_eq!(opened, OpenOutcome::Opened);
        let session = Self {
            client,
            kind,
            server: String::new(),
            answers: atomic::AtomicU64::new(0),
            violations: sync::Mutex::default(),
        };
        let server = session.request_server_name(LIMIT).await;
        Self { server, ..session }
    }

    /// The flow as the administration API writes it.
    pub(crate) fn flow(&self) -> String {
        self.client.flow().to_string()
    }

    fn progress(&self) -> u64 {
        if self.kind.sends_requests {
            self.answers.load(atomic::Ordering::Relaxed)
        } else {
            self.client.notices().received
        }
    }

    async fn send_requests_until(&self, stop: &atomic::AtomicBool) {
        while !stop.load(atomic::Ordering::Relaxed) {
            self.send_request(DEADLINE).await;
            async_io::Timer::after(PAUSE).await;
        }
    }

    async fn send_request(&self, wait: time::Duration) {
        let server = self.request_server_name(wait).await;
        if server == self.server {
            self.answers.fetch_add(1, atomic::Ordering::Relaxed);
        } else if !server.is_empty() {
            let violation = format!("{} instead of {}", server, self.server);
            runtime::locked(&self.violations).push(violation);
        }
    }

    /// Sends requests until an answer names the server. Returns an empty string if
    /// there is none within `wait`. Requests that were refused or lost are ignored:
    /// they don't show that the session broke.
    async fn request_server_name(&self, wait: time::Duration) -> String {
        let limit = time::Instant::now() + wait;
        while time::Instant::now() < limit {
            let outcome = self.client.request(b"who/", true, DEADLINE).await.unwrap();
            match outcome {
                RequestOutcome::Answered { payload } => {
                    let text = String::from_utf8(payload).unwrap();
                    return text.strip_prefix("echo:who/").unwrap().to_owned();
                }
                RequestOutcome::Reset { reason } => {
                    runtime::locked(&self.violations).push(format!("reset, {reason:?}"));
                    return String::new();
                }
                _ => async_io::Timer::after(PAUSE).await,
            };
        }
        String::new()
    }
}
