//! Long sessions that must outlive every planned change: some ask again and
//! again, some only listen to notices.

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
/// A caller that echoes its token, or not, and asks, or only listens.
const KINDS: [SessionKind; 4] = [
    SessionKind::new(true, true),
    SessionKind::new(true, false),
    SessionKind::new(false, true),
    SessionKind::new(false, false),
];

#[derive(Debug, Clone, Copy)]
struct SessionKind {
    echoes_token: bool,
    asks: bool,
}

impl SessionKind {
    const fn new(echoes_token: bool, asks: bool) -> Self {
        Self { echoes_token, asks }
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

/// Sessions that must all go on.
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
        if session.kind.asks {
            let stop = self.stop.clone();
            let asking = session.clone();
            self.tasks
                .push(executor.spawn(async move { asking.ask_until(&stop).await }));
        }
        self.sessions.push(session);
    }

    /// Waits until each session that asks has been answered `count` more
    /// times, and each that listens has got as many more notices.
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

    /// Fails where a session was reset or met another server.
    pub(crate) fn check(&self) {
        for session in &self.sessions {
            let violations = runtime::locked(&session.violations).len();
            assert_eq!(violations, 0, "{session:?}");
            assert_eq!(session.client.counters().resets, 0, "{session:?}");
        }
    }

    /// Lets every session ask once more, those that only listened too: each
    /// must still be with its server.
    pub(crate) async fn finish(self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        for session in &self.sessions {
            session.ask(LIMIT).await;
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
        let server = session.ask_server(LIMIT).await;
        Self { server, ..session }
    }

    /// The flow as the administration API writes it.
    pub(crate) fn flow(&self) -> String {
        self.client.flow().to_string()
    }

    fn progress(&self) -> u64 {
        if self.kind.asks {
            self.answers.load(atomic::Ordering::Relaxed)
        } else {
            self.client.notices().received
        }
    }

    async fn ask_until(&self, stop: &atomic::AtomicBool) {
        while !stop.load(atomic::Ordering::Relaxed) {
            self.ask(DEADLINE).await;
            async_io::Timer::after(PAUSE).await;
        }
    }

    async fn ask(&self, wait: time::Duration) {
        let server = self.ask_server(wait).await;
        if server == self.server {
            self.answers.fetch_add(1, atomic::Ordering::Relaxed);
        } else if !server.is_empty() {
            let violation = format!("{} instead of {}", server, self.server);
            runtime::locked(&self.violations).push(violation);
        }
    }

    /// Asks until an answer names the server; empty where none does in time.
    /// A request that was refused, or lost, says nothing about the session.
    async fn ask_server(&self, wait: time::Duration) -> String {
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
