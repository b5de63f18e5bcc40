//! The keys that each object may have. The parsers and the test of the
//! reference page use them.

/// Keys of the settings of a host.
pub const SETTINGS: &[&str] = &[
    "host",
    "domain",
    "traffic_address",
    "relay_address",
    "peer_address",
    "admin_address",
    "platform",
    "keys",
    "traffic_threads",
    "bounds",
    "log",
    "stop_deadline_ms",
];
/// Keys of the settings of a forwarding host.
pub const FORWARDER: &[&str] = &[
    "host",
    "domain",
    "regions",
    "traffic_address",
    "readiness_address",
    "peer_address",
    "admin_address",
    "platform",
    "seeds",
    "keys",
    "watched_flows",
    "flow_lifetime_s",
    "stop_within_s",
    "log",
    "load",
];
/// Keys of `platform` in the settings.
pub const PLATFORM: &[&str] = &["addresses", "timeout_ms", "watch_ms"];
/// Keys of `keys` in the settings.
pub const SECRETS: &[&str] = &["signing", "accepted"];
/// Keys of `bounds` in the settings.
pub const BOUNDS: &[&str] = &["flows", "requests", "request_records", "datagram_queue"];
/// Keys of `load` in the settings of a forwarding host.
pub const LOAD: &[&str] = &["windows", "spill", "priorities", "outliers"];
/// Keys of `log` in the settings.
pub const LOG: &[&str] = &["level", "decisions_per_second"];

/// Keys of the root document.
pub const ROOT: &[&str] = &["preset", "teams", "limits"];
/// Keys of `limits` in the root document.
pub const LIMITS: &[&str] = &[
    "request_lifetime_ms",
    "clock_skew_ms",
    "home_lease_ms",
    "shards_per_domain",
    "flow_hash_seed",
    "retry_percent",
];

/// Keys of a team's fragment.
pub const FRAGMENT: &[&str] = &["team", "services", "presets"];
/// Keys of a service in a fragment.
pub const SERVICE: &[&str] = &["address", "backends"];
/// Keys of a backend server in a fragment.
pub const BACKEND: &[&str] = &[
    "domain",
    "address",
    "slots",
    "connections",
    "weight",
    "phase",
];
/// Keys of a backend server in a preset.
pub const OVERRIDE: &[&str] = &["weight", "phase", "slots", "connections"];

/// Keys of the list of hosts.
pub const HOST_LIST: &[&str] = &["hosts"];
/// Keys of a host in the list of hosts.
pub const HOST: &[&str] = &[
    "domain",
    "traffic_address",
    "relay_address",
    "peer_address",
    "phase",
];

/// The keys of one object, and its heading on the reference page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectKeys {
    /// The heading on the reference page.
    pub heading: &'static str,
    /// The keys.
    pub keys: &'static [&'static str],
}

impl ObjectKeys {
    const fn new(heading: &'static str, keys: &'static [&'static str]) -> Self {
        Self { heading, keys }
    }
}

/// Every object, in the order of the reference page.
pub const ALL: &[ObjectKeys] = &[
    ObjectKeys::new("Top level of the settings", SETTINGS),
    ObjectKeys::new("Top level of the settings of a forwarding host", FORWARDER),
    ObjectKeys::new("`platform`", PLATFORM),
    ObjectKeys::new("`keys`", SECRETS),
    ObjectKeys::new("`bounds`", BOUNDS),
    ObjectKeys::new("`log`", LOG),
    ObjectKeys::new("`load`", LOAD),
    ObjectKeys::new("Top level of the root document", ROOT),
    ObjectKeys::new("`limits`", LIMITS),
    ObjectKeys::new("Top level of a fragment", FRAGMENT),
    ObjectKeys::new("A service", SERVICE),
    ObjectKeys::new("A backend server", BACKEND),
    ObjectKeys::new("A backend server in a preset", OVERRIDE),
    ObjectKeys::new("Top level of the list of hosts", HOST_LIST),
    ObjectKeys::new("A host", HOST),
];
