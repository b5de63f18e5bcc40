//! Records at which times packets that this host sent were delivered.
//!
//! Guards against resets of flows whose servers are alive. While the link of a host is
//! full, for instance because other hosts load a large configuration from it, the host
//! loses what it sends to all servers for a tenth of a second, and callers repeat
//! their packets. If the host sees only one or two flows of each server, two losses in a row
//! would look like a dead server. So a loss counts against a server only if a packet that
//! was sent to any server at about the same time was delivered.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// The period of time that one bucket stands for.
const BUCKET: time::Duration = time::Duration::from_millis(20);
/// The buckets cover four seconds. Callers send data again after 1.6 seconds at the latest,
/// and a loss is detected at that time.
const BUCKET_COUNT: usize = 200;
/// A delivery must lie at most this many buckets before the loss, and another one at most
/// this many after it: a tenth of a second each. The least busy hosts forward 25 packets a
/// second that are answered at once, which is enough to assess five of six losses. Full
/// links lose everything for longer than that.
const MAX_BUCKET_DISTANCE: u64 = 5;

/// If at least this many servers answered only after a repetition, this host loses or
/// delays what it sends. A full link lets some packets through, so deliveries at about the
/// same time as a loss are then no evidence. A dead server never answers.
const MIN_LATE_SERVERS: usize = 2;
/// How long each of them counts: the time in which a host with a narrow link sends a large
/// configuration to others, and drops packets now and then. It is long, because a reset of a
/// working flow breaks it, while a late reset of a flow on a dead server only costs its
/// caller time.
const LATE_RETENTION: time::Duration = time::Duration::from_secs(4);

/// The times at which packets that were delivered had been sent.
#[derive(Debug)]
pub struct DeliveryRecord {
    /// A ring of buckets. Each holds the number of the last period with a delivery.
    buckets: [u64; BUCKET_COUNT],
    /// The servers that answered only after a repetition, and when they last did.
    late_servers: SortedVector<BackendId, Timestamp>,
}

impl Default for DeliveryRecord {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
            late_servers: SortedVector::default(),
        }
    }
}

/// The number of the period of length [`BUCKET`] that `sent_at` lies in.
fn bucket_of(sent_at: Timestamp) -> u64 {
    sent_at.since(Timestamp::ZERO).as_millis() as u64 / BUCKET.as_millis() as u64
}

impl DeliveryRecord {
    /// Records that a packet sent at `sent_at` was delivered: it was answered before its
    /// caller would have sent it again.
    pub fn note(&mut self, sent_at: Timestamp) {
        let bucket = bucket_of(sent_at);
        let stored = &mut self.buckets[bucket as usize % BUCKET_COUNT];
        *stored = bucket.max(*stored);
    }

    /// Records that `server` answered only after a repetition.
    pub fn note_late(&mut self, server: BackendId, now: Timestamp) {
        self.late_servers.insert(server, now);
    }

    /// Whether this host itself seems to lose what it sends: several servers that are alive
    /// recently needed repetitions. Repetitions are then no evidence against any server.
    pub fn is_link_lossy(&self, now: Timestamp) -> bool {
        let recent = |at: &&Timestamp| now.since(**at) <= LATE_RETENTION;
        self.late_servers.values().filter(recent).count() >= MIN_LATE_SERVERS
    }

    /// Removes servers whose last late answer is too old to count.
    pub fn sweep(&mut self, now: Timestamp) {
        self.late_servers
            .retain(|_, at| now.since(*at) <= LATE_RETENTION);
    }

    /// Whether packets sent shortly before and shortly after `sent_at`, or in the same
    /// bucket, were delivered.
    pub fn was_delivering_at(&self, sent_at: Timestamp) -> bool {
        let bucket = bucket_of(sent_at);
        let arrived = |bucket: u64| self.buckets[bucket as usize % BUCKET_COUNT] == bucket;
        let before = (bucket.saturating_sub(MAX_BUCKET_DISTANCE)..=bucket).any(arrived);
        before && (bucket..=bucket + MAX_BUCKET_DISTANCE).any(arrived)
    }
}
