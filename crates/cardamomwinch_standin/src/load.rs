//! Many callers at once, and a summary of the outcomes of their requests.

use std::time;

use cardamomwinch_protocol::prelude::RefusalReason;
use cardamomwinch_state::prelude::SortedVector;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::caller::{CallerClient, CallerCounters, CallerSettings, OpenOutcome, RequestOutcome};
use crate::error::StandinError;
use crate::runtime::TaskExecutor;

/// The load to generate.
#[derive(Debug, Clone, Copy)]
pub struct LoadSettings {
    /// How each caller behaves.
    pub caller: CallerSettings,
    /// The number of concurrent sessions.
    pub sessions: u64,
    /// Requests of each session, one after another.
    pub requests: u64,
    /// How long an opening or a request may take.
    pub deadline: time::Duration,
    /// The mean pause between requests.
    pub pause: time::Duration,
    /// The maximum number of attempts at an opening or a request that is answered
    /// "not run".
    pub attempts: u32,
    /// The share of idempotent requests.
    pub idempotent: f64,
    /// How long to listen for notices at the end.
    pub listen: time::Duration,
    /// Makes the choices repeatable.
    pub seed: u64,
}

/// The number of refusals for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// The number of refusals.
    pub count: u64,
}

/// The outcomes of all sessions and requests.
#[derive(Debug, Default, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LoadSummary {
    /// Sessions that opened.
    pub opened: u64,
    /// Sessions that did not open.
    pub not_opened: u64,
    /// Requests sent, further attempts not counted.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers whose content is not the echo of the request; a violation.
    pub wrong_answers: u64,
    /// Requests whose last attempt was not run.
    pub not_run: u64,
    /// All refusals of openings and requests, each attempt counted.
    pub refusals: Vec<RefusalCount>,
    /// Requests answered "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without an outcome before the deadline.
    pub timeouts: u64,
    /// Requests whose flow ended first.
    pub resets: u64,
    /// Answers received again.
    pub duplicate_answers: u64,
    /// Parts received again with other content; a violation.
    pub conflicting_parts: u64,
    /// Requests both answered and "not run"; a violation.
    pub contradictions: u64,
    /// Notices received.
    pub notices_received: u64,
    /// Notices below the highest received one that were not received.
    pub notices_missed: u64,
    /// The median time from request to answer, in microseconds.
    pub latency_p50_us: u64,
    /// The 99th percentile of the time from request to answer, in microseconds.
    pub latency_p99_us: u64,
}

#[derive(Debug, Default)]
struct SessionRecord {
    summary: LoadSummary,
    refusals: SortedVector<RefusalReason, u64>,
    latencies: Vec<u64>,
}

/// Runs all sessions to their end and returns the summary.
///
/// # Errors
/// Fails if a socket cannot be bound or a datagram cannot be encoded.
pub async fn run(
    executor: &TaskExecutor,
    settings: LoadSettings,
) -> Result<LoadSummary, StandinError> {
    let tasks: Vec<_> = (0..settings.sessions)
        .map(|session| executor.spawn(run_session(executor.clone(), settings, session)))
        .collect();
    let mut total = SessionRecord::default();
    for task in tasks {
        total.merge(task.await?);
    }
    Ok(total.finish())
}

async fn run_session(
    executor: TaskExecutor,
    settings: LoadSettings,
    session: u64,
) -> Result<SessionRecord, StandinError> {
    let mut random = SmallRng::seed_from_u64(settings.seed.wrapping_add(session));
    let mut record = SessionRecord::default();
    let Some(client) = open(&executor, &settings, &mut record).await? else {
        record.summary.not_opened += 1;
        return Ok(record);
    };
    record.summary.opened += 1;
    for number in 0..settings.requests {
        let payload = format!("{session}.{number}/");
        let idempotent = random.random_bool(settings.idempotent.clamp(0.0, 1.0));
        request(&client, &settings, &payload, idempotent, &mut record).await?;
        if !settings.pause.is_zero() {
            async_io::Timer::after(settings.pause.mul_f64(random.random_range(0.0..2.0))).await;
        }
    }
    if !settings.listen.is_zero() {
        async_io::Timer::after(settings.listen).await;
    }
    client.close().await?;
    record.add_client_counters(&client);
    Ok(record)
}

/// Opens a flow. A refused opening is retried on a new flow, as a real caller
/// would do.
async fn open(
    executor: &TaskExecutor,
    settings: &LoadSettings,
    record: &mut SessionRecord,
) -> Result<Option<CallerClient>, StandinError> {
    for _ in 0..settings.attempts.max(1) {
        let client = CallerClient::bind(executor, settings.caller).await?;
        match client.open(b"", settings.deadline).await? {
            OpenOutcome::Opened => return Ok(Some(client)),
            OpenOutcome::NotRun {
                reason,
                retry_after,
            } => {
                record.record_refusal(reason);
                async_io::Timer::after(retry_after.min(settings.deadline)).await;
            }
            OpenOutcome::TimedOut | OpenOutcome::Reset { .. } => {}
        }
    }
    Ok(None)
}

async fn request(
    client: &CallerClient,
    settings: &LoadSettings,
    payload: &str,
    idempotent: bool,
    record: &mut SessionRecord,
) -> Result<(), StandinError> {
    record.summary.requests += 1;
    let attempts = settings.attempts.max(1);
    for attempt in 1..=attempts {
        let started = time::Instant::now();
        let sent = client.request(payload.as_bytes(), idempotent, settings.deadline);
        match sent.await? {
            RequestOutcome::NotRun {
                reason,
                retry_after,
            } => {
                record.record_refusal(reason);
                if attempt < attempts {
                    async_io::Timer::after(retry_after.min(settings.deadline)).await;
                    continue;
                }
                record.summary.not_run += 1;
            }
            RequestOutcome::Answered { payload: answer } => {
                let expected = format!("echo:{payload}");
                record.record_answer(started.elapsed(), answer.starts_with(expected.as_bytes()));
            }
            RequestOutcome::OutcomeUnknown { .. } => record.summary.outcome_unknown += 1,
            RequestOutcome::TimedOut => record.summary.timeouts += 1,
            RequestOutcome::Reset { .. } => record.summary.resets += 1,
        }
        break;
    }
    Ok(())
}

impl SessionRecord {
    fn record_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.get_or_insert_with(reason, || 0) += 1;
    }

    fn record_answer(&mut self, latency: time::Duration, right: bool) {
        self.summary.answered += 1;
        self.summary.wrong_answers += u64::from(!right);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies.push(micros);
    }

    fn add_client_counters(&mut self, client: &CallerClient) {
        let CallerCounters {
            duplicate_answers,
            conflicting_parts,
            contradictions,
            ..
        } = client.counters();
        let notices = client.notices();
        self.summary.duplicate_answers += duplicate_answers;
        self.summary.conflicting_parts += conflicting_parts;
        self.summary.contradictions += contradictions;
        self.summary.notices_received += notices.received;
        self.summary.notices_missed += notices.missing;
    }

    fn merge(&mut self, other: Self) {
        let (own, more) = (&mut self.summary, other.summary);
        own.opened += more.opened;
        own.not_opened += more.not_opened;
        own.requests += more.requests;
        own.answered += more.answered;
        own.wrong_answers += more.wrong_answers;
        own.not_run += more.not_run;
        own.outcome_unknown += more.outcome_unknown;
        own.timeouts += more.timeouts;
        own.resets += more.resets;
        own.duplicate_answers += more.duplicate_answers;
        own.conflicting_parts += more.conflicting_parts;
        own.contradictions += more.contradictions;
        own.notices_received += more.notices_received;
        own.notices_missed += more.notices_missed;
        for (reason, count) in other.refusals.iter() {
            *self.refusals.get_or_insert_with(*reason, || 0) += count;
        }
        self.latencies.extend(other.latencies);
    }

    fn finish(mut self) -> LoadSummary {
        self.latencies.sort_unstable();
        let refusals = self.refusals.iter().map(|(reason, count)| RefusalCount {
            reason: *reason,
            count: *count,
        });
        LoadSummary {
            refusals: refusals.collect(),
            latency_p50_us: percentile(&self.latencies, 50),
            latency_p99_us: percentile(&self.latencies, 99),
            ..self.summary
        }
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let position = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(position).copied().unwrap_or_default()
}
