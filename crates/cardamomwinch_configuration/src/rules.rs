//! The range and default of every number. The parsers and the test of the
//! reference page use them.

use std::time;

use crate::checker::DocumentChecker;
use crate::node::ObjectNode;
use crate::values;

/// The range and default of an optional number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRule {
    /// The key.
    pub key: &'static str,
    /// The smallest allowed number.
    pub minimum: u64,
    /// The largest allowed number.
    pub maximum: u64,
    /// The number that applies if the key is missing.
    pub default: u64,
}

impl NumberRule {
    const fn new(key: &'static str, minimum: u64, maximum: u64, default: u64) -> Self {
        Self {
            key,
            minimum,
            maximum,
            default,
        }
    }

    /// Reads the number under the key of this rule, or returns the default.
    pub(crate) fn read(
        self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
    ) -> Option<u64> {
        object.optional(checker, self.key, self.default, |checker, node| {
            values::whole_number(checker, node, self.minimum, self.maximum)
        })
    }

    /// Like [`Self::read`], as a number of 32 bits.
    pub(crate) fn read_u32(
        self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
    ) -> Option<u32> {
        self.read(checker, object)?.try_into().ok()
    }

    /// Like [`Self::read`], as a count of items in memory.
    pub(crate) fn read_usize(
        self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
    ) -> Option<usize> {
        self.read(checker, object)?.try_into().ok()
    }

    /// Like [`Self::read`], as a time in seconds.
    pub(crate) fn read_seconds(
        self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
    ) -> Option<time::Duration> {
        self.read(checker, object).map(time::Duration::from_secs)
    }

    /// Like [`Self::read`], as a time in milliseconds.
    pub(crate) fn read_millis(
        self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
    ) -> Option<time::Duration> {
        self.read(checker, object).map(time::Duration::from_millis)
    }
}

/// How long a read from the platform may take, in milliseconds.
pub const PLATFORM_TIMEOUT: NumberRule = NumberRule::new("timeout_ms", 10, 60_000, 1_000);
/// How long a watch waits at the platform, in milliseconds.
pub const PLATFORM_WATCH: NumberRule = NumberRule::new("watch_ms", 100, 600_000, 20_000);
/// Threads that forward datagrams.
pub const TRAFFIC_THREADS: NumberRule = NumberRule::new("traffic_threads", 1, 64, 1);
/// Maximum number of flows that the host holds.
pub const FLOW_BOUND: NumberRule = NumberRule::new("flows", 1, 10_000_000, 500_000);
/// Maximum number of requests that the host waits for.
pub const REQUEST_BOUND: NumberRule = NumberRule::new("requests", 1, 10_000_000, 100_000);
/// Maximum number of finished requests that the host remembers.
pub const REQUEST_RECORD_BOUND: NumberRule =
    NumberRule::new("request_records", 1, 10_000_000, 200_000);
/// Maximum number of datagrams that wait for the control thread.
pub const DATAGRAM_QUEUE_BOUND: NumberRule = NumberRule::new("datagram_queue", 1, 1_000_000, 4_096);
/// Log lines per second about routing and placement.
pub const DECISIONS_PER_SECOND: NumberRule =
    NumberRule::new("decisions_per_second", 0, 1_000_000, 500);
/// How long a graceful stop may take, in milliseconds.
pub const STOP_DEADLINE: NumberRule = NumberRule::new("stop_deadline_ms", 1, 3_600_000, 10_000);

/// Maximum number of flows that a forwarding host watches. At half a kilobyte
/// each, the default takes a quarter of the smallest host's memory.
pub const WATCHED_FLOWS: NumberRule = NumberRule::new("watched_flows", 1, 10_000_000, 40_000);
/// How long a flow may last, in seconds.
pub const FLOW_LIFETIME: NumberRule = NumberRule::new("flow_lifetime_s", 1, 604_800, 60);
/// The time after which a stopping forwarding host is terminated, in seconds.
pub const STOP_WITHIN: NumberRule = NumberRule::new("stop_within_s", 1, 3_600, 6);

/// The longest time from the first sending of a request to its deadline, in
/// milliseconds.
pub const REQUEST_LIFETIME: NumberRule =
    NumberRule::new("request_lifetime_ms", 100, 600_000, 10_000);
/// How far apart the clocks of two hosts may be, in milliseconds.
pub const CLOCK_SKEW: NumberRule = NumberRule::new("clock_skew_ms", 0, 10_000, 100);
/// How long a home host may act without renewing its lease, in milliseconds.
pub const HOME_LEASE: NumberRule = NumberRule::new("home_lease_ms", 100, 60_000, 1_500);
/// Number of shards of a failure domain.
pub const SHARDS_PER_DOMAIN: NumberRule = NumberRule::new("shards_per_domain", 1, 1_024, 32);
/// The seed of the flow hash.
pub const FLOW_HASH_SEED: NumberRule = NumberRule::new("flow_hash_seed", 0, u64::MAX, 0);
/// Retries per hundred first attempts.
pub const RETRY_PERCENT: NumberRule = NumberRule::new("retry_percent", 0, 100, 10);

/// Requests that a backend server runs at the same time.
pub const SLOTS: NumberRule = NumberRule::new("slots", 1, 100_000, 2);
/// Flows that a backend server holds open at the same time.
pub const CONNECTIONS: NumberRule = NumberRule::new("connections", 1, 10_000_000, 2_000);
/// The relative share of new flows.
pub const WEIGHT: NumberRule = NumberRule::new("weight", 0, 1_000, 100);

/// Every rule.
pub const ALL: &[NumberRule] = &[
    PLATFORM_TIMEOUT,
    PLATFORM_WATCH,
    TRAFFIC_THREADS,
    FLOW_BOUND,
    REQUEST_BOUND,
    REQUEST_RECORD_BOUND,
    DATAGRAM_QUEUE_BOUND,
    DECISIONS_PER_SECOND,
    STOP_DEADLINE,
    WATCHED_FLOWS,
    FLOW_LIFETIME,
    STOP_WITHIN,
    REQUEST_LIFETIME,
    CLOCK_SKEW,
    HOME_LEASE,
    SHARDS_PER_DOMAIN,
    FLOW_HASH_SEED,
    RETRY_PERCENT,
    SLOTS,
    CONNECTIONS,
    WEIGHT,
];
