//! The keys that each object may have, for the readers and for the reference
//! page.

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
/// Keys of `platform` in the settings.
pub const PLATFORM: &[&str] = &["addresses", "timeout_ms", "watch_ms"];
/// Keys of `keys` in the settings.
pub const SECRETS: &[&str] = &["signing", "accepted"];
/// Keys of `bounds` in the settings.
pub const BOUNDS: &[&str] = &["flows", "requests", "request_records", "datagram_queue"];
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

/// Every list of keys.
pub const ALL: &[&[&str]] = &[
    SETTINGS, PLATFORM, SECRETS, BOUNDS, LOG, ROOT, LIMITS, FRAGMENT, SERVICE, BACKEND, OVERRIDE,
    HOST_LIST, HOST,
];
