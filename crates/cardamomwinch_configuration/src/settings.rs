//! The settings of one host, read once when the process starts.

use std::fmt;
use std::net;
use std::str;
use std::time;

use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::{DomainId, HostId};
use snafu::Snafu;

use crate::check::CheckReport;
use crate::checker::DocumentChecker;
use crate::document;
use crate::keys;
use crate::node::{ObjectNode, ValueNode};
use crate::problem::CheckProblem;
use crate::rules;
use crate::taken::TakenAddresses;
use crate::values::{self, WordChoice};

/// How much is logged.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// What an operator has to act on.
    Error,
    /// Also what an operator should know.
    Warn,
    /// Also decisions.
    #[default]
    Info,
    /// Also what a developer needs.
    Debug,
    /// Everything.
    Trace,
}

/// Text that is not the name of a log level.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("unknown log level {found:?}"))]
pub struct LogLevelParseError {
    /// The rejected text.
    pub found: String,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}

impl str::FromStr for LogLevel {
    type Err = LogLevelParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::from_word(text).ok_or_else(|| LogLevelParseError {
            found: text.to_owned(),
        })
    }
}

impl WordChoice for LogLevel {
    const WORDS: &'static [&'static str] = &["off", "error", "warn", "info", "debug", "trace"];

    fn from_word(word: &str) -> Option<Self> {
        match word {
            "off" => Some(Self::Off),
            "error" => Some(Self::Error),
            "warn" => Some(Self::Warn),
            "info" => Some(Self::Info),
            "debug" => Some(Self::Debug),
            "trace" => Some(Self::Trace),
            _ => None,
        }
    }
}

/// How the platform is reached and read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the platform, which are tried in turn. There is at least one.
    pub addresses: Vec<net::SocketAddr>,
    /// How long a read may take.
    pub timeout: time::Duration,
    /// How long a watch waits at the platform for a change.
    pub watch: time::Duration,
}

impl PlatformSettings {
    pub(crate) fn read(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<Self> {
        let object = node.object(checker)?;
        object.check_keys(checker, keys::PLATFORM);
        let addresses = object.required(checker, "addresses", read_platform_addresses);
        let timeout = rules::PLATFORM_TIMEOUT.read_millis(checker, &object);
        let watch = rules::PLATFORM_WATCH.read_millis(checker, &object);
        Some(Self {
            addresses: addresses?,
            timeout: timeout?,
            watch: watch?,
        })
    }
}

fn read_platform_addresses(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<Vec<net::SocketAddr>> {
    let elements = node.elements(checker)?;
    if elements.is_empty() {
        node.report(checker, CheckProblem::EmptyList);
        return None;
    }
    let mut addresses = Vec::new();
    let mut taken = TakenAddresses::default();
    for element in &elements {
        if let Some(address) = values::reachable_address(checker, element) {
            taken.note(address, element);
            addresses.push(address);
        }
    }
    taken.report(checker);
    (addresses.len() == elements.len()).then_some(addresses)
}

/// Bounds of the tables and queues of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundSettings {
    /// Maximum number of flows held.
    pub flows: usize,
    /// Maximum number of requests waited for.
    pub requests: usize,
    /// Maximum number of finished requests remembered.
    pub request_records: usize,
    /// Maximum number of datagrams that wait for the control thread.
    pub datagram_queue: usize,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            flows: rules::FLOW_BOUND.default as usize,
            requests: rules::REQUEST_BOUND.default as usize,
            request_records: rules::REQUEST_RECORD_BOUND.default as usize,
            datagram_queue: rules::DATAGRAM_QUEUE_BOUND.default as usize,
        }
    }
}

impl BoundSettings {
    fn read(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<Self> {
        let object = node.object(checker)?;
        object.check_keys(checker, keys::BOUNDS);
        let flows = rules::FLOW_BOUND.read_usize(checker, &object);
        let requests = rules::REQUEST_BOUND.read_usize(checker, &object);
        let request_records = rules::REQUEST_RECORD_BOUND.read_usize(checker, &object);
        let datagram_queue = rules::DATAGRAM_QUEUE_BOUND.read_usize(checker, &object);
        Some(Self {
            flows: flows?,
            requests: requests?,
            request_records: request_records?,
            datagram_queue: datagram_queue?,
        })
    }
}

/// What is logged, and how much of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The level.
    pub level: LogLevel,
    /// Lines per second about routing and placement. Further lines are left out
    /// and counted.
    pub decisions_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::default(),
            decisions_per_second: rules::DECISIONS_PER_SECOND.default as u32,
        }
    }
}

impl LogSettings {
    pub(crate) fn read(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<Self> {
        let object = node.object(checker)?;
        object.check_keys(checker, keys::LOG);
        let level = object.optional(checker, "level", LogLevel::default(), values::choice);
        let decisions_per_second = rules::DECISIONS_PER_SECOND.read_u32(checker, &object);
        Some(Self {
            level: level?,
            decisions_per_second: decisions_per_second?,
        })
    }
}

/// The settings of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// Where it receives datagrams from the fabric (UDP).
    pub traffic_address: net::SocketAddr,
    /// Where it receives datagrams relayed by other hosts (UDP).
    pub relay_address: net::SocketAddr,
    /// Where it receives control messages of other hosts (UDP and TCP).
    pub peer_address: net::SocketAddr,
    /// Where it serves the administration API (TCP).
    pub admin_address: net::SocketAddr,
    /// How the platform is reached and read.
    pub platform: PlatformSettings,
    /// The keys that authenticate the hosts to each other.
    pub keys: AuthenticationKeys,
    /// Threads that forward datagrams.
    pub traffic_threads: usize,
    /// Bounds of tables and queues.
    pub bounds: BoundSettings,
    /// What is logged.
    pub log: LogSettings,
    /// How long a graceful stop may take.
    pub stop_deadline: time::Duration,
}

impl HostSettings {
    /// Reads the settings in `text`, which came from `file`.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn parse(file: &str, text: &str) -> Result<Self, CheckReport> {
        document::read_document(file, text, Self::read)
    }

    /// The identifier of the host.
    pub fn host_id(&self) -> HostId {
        HostId::from_name(&self.host)
    }

    /// The identifier of its failure domain.
    pub fn domain_id(&self) -> DomainId {
        DomainId::from_name(&self.domain)
    }

    fn read(checker: &mut DocumentChecker<'_>, object: &ObjectNode<'_>) -> Option<Self> {
        object.check_keys(checker, keys::SETTINGS);
        let host = object.required(checker, "host", values::name);
        let domain = object.required(checker, "domain", values::name);
        let names = [
            "traffic_address",
            "relay_address",
            "peer_address",
            "admin_address",
        ];
        let addresses = TakenAddresses::read_local(checker, object, names);
        let platform = object.required(checker, "platform", PlatformSettings::read);
        let keys = object.required(checker, "keys", read_keys);
        let traffic_threads = rules::TRAFFIC_THREADS.read_usize(checker, object);
        let bounds = BoundSettings::default();
        let bounds = object.optional(checker, "bounds", bounds, BoundSettings::read);
        let log = object.optional(checker, "log", LogSettings::default(), LogSettings::read);
        let stop_deadline = rules::STOP_DEADLINE.read_millis(checker, object);
        let [traffic, relay, peer, admin] = addresses?;
        Some(Self {
            host: host?,
            domain: domain?,
            traffic_address: traffic,
            relay_address: relay,
            peer_address: peer,
            admin_address: admin,
            platform: platform?,
            keys: keys?,
            traffic_threads: traffic_threads?,
            bounds: bounds?,
            log: log?,
            stop_deadline: stop_deadline?,
        })
    }
}

pub(crate) fn read_keys(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<AuthenticationKeys> {
    let object = node.object(checker)?;
    object.check_keys(checker, keys::SECRETS);
    let signing = object.required(checker, "signing", values::secret);
    let accepted = object.optional(checker, "accepted", None, |checker, node| {
        values::secret(checker, node).map(Some)
    });
    Some(AuthenticationKeys::new(signing?, accepted?))
}
