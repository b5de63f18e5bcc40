//! Every kind of error with its line, column and key.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_configuration::prelude::*;
use cardamomwinch_configuration::{document, rules};
use cardamomwinch_state::prelude::*;
use yare::parameterized;

const SETTINGS: &str = r#"{
  "host": "bud-angyal-1", "domain": "bud-angyal", // where it stands
  "traffic_address": "127.0.0.1:7100", "relay_address": "127.0.0.1:7101",
  "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "platform": {"addresses": ["127.0.0.1:7000"]},
  "keys": {"signing": "0000000000000000000000000000000000000000000000000000000000000001"}
}"#;

const ROOT: &str = r#"{
  "preset": "ordinary",
  "teams": {"search": 3, "vault": 5},
  "limits": {"home_lease_ms": 2000}
}"#;

const FRAGMENT: &str = r#"{ "team": "search",
  "services": { "benchmark-desk": { "address": "127.0.0.1:7001", "backends": {
    "bd-1": {"domain": "bud-angyal", "address": "127.0.0.1:9001", "weight": 50},
    "bd-2": {"domain": "bud-csepel", "address": "127.0.0.1:9002", "phase": "draining"} } } },
  "presets": { "deadline-peak": { "benchmark-desk": { "bd-2": {"phase": "active"} } } }
}"#;

const HOSTS: &str = r#"{"hosts": {
  "bud-angyal-1": {"domain": "bud-angyal", "traffic_address": "127.0.0.1:1",
    "relay_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3", "phase": "leaving"}
}}"#;

#[derive(Clone, Copy)]
enum Kind {
    Settings,
    Root,
    Fragment,
    Hosts,
}

impl Kind {
    const fn valid(self) -> &'static str {
        match self {
            Self::Settings => SETTINGS,
            Self::Root => ROOT,
            Self::Fragment => FRAGMENT,
            Self::Hosts => HOSTS,
        }
    }

    fn errors(self, text: &str) -> Vec<String> {
        let version = HostListVersion::new(1);
        let report = match self {
            Self::Settings => HostSettings::parse("f", text).err(),
            Self::Root => RootDocument::parse("f", text).err(),
            Self::Fragment => TeamFragment::parse("f", text).err(),
            Self::Hosts => host_list::parse("f", text, version).err(),
        };
        let errors = report.map(|report| report.errors).unwrap_or_default();
        errors.iter().map(ToString::to_string).collect()
    }
}

#[parameterized(
    settings = { Kind::Settings },
    root = { Kind::Root },
    fragment = { Kind::Fragment },
    hosts = { Kind::Hosts },
)]
fn valid_documents_have_no_error(kind: Kind) {
    assert_eq!(kind.errors(kind.valid()), Vec::<String>::new());
}

#[parameterized(
    unknown_key = { Kind::Settings, "\"platform\"", "\"platfrom\"", &[
        "f:1:1: platform: the key is required and missing",
        "f:5:3: platfrom: unknown key \"platfrom\" (did you mean \"platform\"?), allowed are host, domain, traffic_address, relay_address, peer_address, admin_address, platform, keys, traffic_threads, bounds, log, stop_deadline_ms",
    ] },
    column_counts_characters = { Kind::Settings, "\"host\": \"bud-angyal-1\", \"domain\"", "/* ő */ \"host\": \"bud-angyal-1\", \"domain\": 3, \"domain\"", &[
        "f:2:45: domain: found a number, allowed is a string",
        "f:2:48: domain: key \"domain\" is given already in line 2",
    ] },
    bad_name = { Kind::Settings, "\"bud-angyal-1\"", "\"bud angyal\"", &[
        "f:2:11: host: found name \"bud angyal\", allowed are 1 to 64 ASCII letters, digits, '-' and '_'",
    ] },
    bad_address = { Kind::Settings, "\"127.0.0.1:7100\"", "\"localhost:7100\"", &[
        "f:3:22: traffic_address: found address \"localhost:7100\", allowed is an IP number with a port, such as 127.0.0.1:7000 or [::1]:7000",
    ] },
    port_zero = { Kind::Settings, ":7000\"", ":0\"", &[
        "f:5:30: platform.addresses.0: found address \"127.0.0.1:0\", allowed is a port from 1 to 65535",
    ] },
    empty_list = { Kind::Settings, "[\"127.0.0.1:7000\"]", "[]", &[
        "f:5:29: platform.addresses: found an empty list, allowed is one with at least one entry",
    ] },
    own_addresses_differ = { Kind::Settings, ":7101", ":7100", &[
        "f:3:57: relay_address: address 127.0.0.1:7100 is taken already by traffic_address",
    ] },
    bad_secret_is_not_shown = { Kind::Settings, "0001\"", "1\"", &[
        "f:6:23: keys.signing: found 61 characters, allowed are 64 hexadecimal digits",
    ] },
    bad_level = { Kind::Settings, "\"keys\"", "\"log\": {\"level\": \"inf\"}, \"keys\"", &[
        "f:6:20: log.level: found \"inf\" (did you mean \"info\"?), allowed are off, error, warn, info, debug, trace",
    ] },
    out_of_range = { Kind::Settings, "\"keys\"", "\"traffic_threads\": 0, \"keys\"", &[
        "f:6:22: traffic_threads: found 0, allowed is a whole number from 1 to 64",
    ] },
    no_fractions = { Kind::Settings, "\"keys\"", "\"bounds\": {\"flows\": 1.5}, \"keys\"", &[
        "f:6:23: bounds.flows: found 1.5, allowed is a whole number from 1 to 10000000",
    ] },
    missing_comma = { Kind::Root, "\"ordinary\",", "\"ordinary\"", &[
        "f:3:3: .: a comma is missing before this value",
    ] },
    single_quotes = { Kind::Root, "\"ordinary\"", "'ordinary'", &[
        "f:2:13: .: found a string in single quotes, allowed are double quotes",
    ] },
    one_line_an_error = { Kind::Root, "\"vault\": 5", "\"a\\nb\": 5", &[
        "f:3:26: teams.a\\nb: found name \"a\\nb\", allowed are 1 to 64 ASCII letters, digits, '-' and '_'",
    ] },
    syntax = { Kind::Root, "3, \"vault\": 5}", "3, \"vault\": }", &[
        "f:3:35: .: not JSON with comments: Unexpected close brace",
    ] },
    several_errors_at_once = { Kind::Root, "3, \"vault\": 5", "-3, \"search\": 4, \"a.b\": null", &[
        "f:3:23: teams.search: found -3, allowed is a whole number from 0 to 18446744073709551615",
        "f:3:27: teams.search: name \"search\" is given already in line 3",
        "f:3:40: teams.a.b: found name \"a.b\", allowed are 1 to 64 ASCII letters, digits, '-' and '_'",
        "f:3:47: teams.a.b: found null, allowed is a number",
    ] },
    lease_within_skew = { Kind::Root, "2000", "100", &[
        "f:4:31: limits.home_lease_ms: found 100, allowed is more than the 100 of clock_skew_ms",
    ] },
    address_of_two_servers = { Kind::Fragment, ":9002", ":9001", &[
        "f:4:49: services.benchmark-desk.backends.bd-2.address: address 127.0.0.1:9001 is taken already by services.benchmark-desk.backends.bd-1.address",
    ] },
    address_of_service_and_server = { Kind::Fragment, ":9002", ":7001", &[
        "f:4:49: services.benchmark-desk.backends.bd-2.address: address 127.0.0.1:7001 is taken already by services.benchmark-desk.address",
    ] },
    weight = { Kind::Fragment, "50", "1001", &[
        "f:3:77: services.benchmark-desk.backends.bd-1.weight: found 1001, allowed is a whole number from 0 to 1000",
    ] },
    unknown_service = { Kind::Fragment, "{ \"benchmark-desk\": { \"bd-2\"", "{ \"benchmark-dek\": { \"bd-2\"", &[
        "f:5:35: presets.deadline-peak.benchmark-dek: unknown service \"benchmark-dek\" (did you mean \"benchmark-desk\"?), defined are benchmark-desk",
    ] },
    unknown_server = { Kind::Fragment, "{ \"bd-2\"", "{ \"vault-7\"", &[
        "f:5:55: presets.deadline-peak.benchmark-desk.vault-7: unknown backend server \"vault-7\", defined are bd-1, bd-2",
    ] },
    override_key = { Kind::Fragment, "{\"phase\": \"active\"}", "{\"domain\": \"x\"}", &[
        "f:5:64: presets.deadline-peak.benchmark-desk.bd-2.domain: unknown key \"domain\", allowed are weight, phase, slots, connections",
    ] },
    faulty_service_is_still_defined = { Kind::Fragment, "\"127.0.0.1:7001\"", "7001", &[
        "f:2:48: services.benchmark-desk.address: found a number, allowed is a string",
    ] },
    host_phase = { Kind::Hosts, "\"leaving\"", "\"gone\"", &[
        "f:3:77: hosts.bud-angyal-1.phase: found \"gone\", allowed are live, leaving",
    ] },
    host_address = { Kind::Hosts, "0.0.1:3", "0.0.1:1", &[
        "f:3:53: hosts.bud-angyal-1.peer_address: address 127.0.0.1:1 is taken already by hosts.bud-angyal-1.traffic_address",
    ] },
)]
fn errors_name_place_and_cause(kind: Kind, valid: &str, broken: &str, expected: &[&str]) {
    assert!(kind.valid().contains(valid), "the case changes nothing");
    let text = kind.valid().replacen(valid, broken, 1);
    assert_eq!(kind.errors(&text), expected);
}

#[parameterized(
    empty = { "", CheckProblem::WrongType { found: ValueKind::Nothing, allowed: ValueKind::Object } },
    only_a_comment = { "// nothing", CheckProblem::WrongType { found: ValueKind::Nothing, allowed: ValueKind::Object } },
    array = { "[]", CheckProblem::WrongType { found: ValueKind::Array, allowed: ValueKind::Object } },
)]
fn only_objects_are_documents(text: &str, expected: CheckProblem) {
    let report = RootDocument::parse("f", text).unwrap_err();
    assert_eq!(report.errors.len(), 1);
    assert_eq!(report.errors[0].problem, expected);
}

#[test]
fn large_and_deep_documents_are_refused() {
    let large = " ".repeat(document::DOCUMENT_BYTE_LIMIT + 1);
    let report = RootDocument::parse("f", &large).unwrap_err();
    assert!(matches!(
        report.errors[..],
        [CheckError {
            problem: CheckProblem::TooLarge { .. },
            ..
        }]
    ));

    // Closing brackets in strings and comments must not hide the depth.
    let deep = "{/*}*/\"}\":".repeat(100_000);
    let report = RootDocument::parse("f", &deep).unwrap_err();
    assert!(matches!(
        report.errors[..],
        [CheckError {
            problem: CheckProblem::TooDeep { .. },
            ..
        }]
    ));
}

/// One team publishes a fragment of a megabyte in which every name is wrong
/// and every preset repeats a large service. Checking it must not keep a host
/// busy, and the report must not be many times the size of the document.
#[test]
fn a_hostile_fragment_is_checked_within_bounds() {
    let backends: String = (0..40_000).map(|n| format!("\"b{n}\":1,")).collect();
    let presets: String = (0..20_000)
        .map(|n| format!("\"p{n}\":{{\"s\":{{\"x\":{{}}}}}},"))
        .collect();
    let text = format!(
        "{{\"team\":\"t\",\"services\":{{\"s\":{{\"address\":\"127.0.0.1:1\",\"backends\":{{{backends}}}}}}},\"presets\":{{{presets}}}}}"
    );
    assert!(text.len() <= document::DOCUMENT_BYTE_LIMIT);
    let report = TeamFragment::parse("f", &text).unwrap_err();
    assert_eq!(report.errors.len(), 60_000);

    let long_name = "n".repeat(400_000);
    let wrong: String = (0..20_000).map(|n| format!("\"k{n}\":1,")).collect();
    let text = format!("{{\"{long_name}\":{{{wrong}}},\"limits\":{{{wrong}}}}}");
    let report = RootDocument::parse("f", &text).unwrap_err();
    assert!(report.to_string().len() < 20_000 * 300);
}

#[test]
fn values_arrive_with_their_defaults() {
    let settings = HostSettings::parse("f", SETTINGS).unwrap();
    assert_eq!(settings.domain_id(), DomainId::from_name("bud-angyal"));
    assert_eq!(settings.platform.watch, time::Duration::from_secs(20));
    assert_eq!(settings.bounds, BoundSettings::default());
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.stop_deadline, time::Duration::from_secs(10));

    let root = RootDocument::parse("f", ROOT).unwrap();
    assert_eq!(
        root.teams.get(&"vault".to_owned()),
        Some(&FragmentRevision::new(5))
    );
    let home_lease = time::Duration::from_secs(2);
    let expected = ConfigurationLimits {
        home_lease,
        ..Default::default()
    };
    assert_eq!(root.limits, expected);

    let fragment = TeamFragment::parse("f", FRAGMENT).unwrap();
    let service = fragment.services.get(&"benchmark-desk".to_owned()).unwrap();
    let backend = service.backends.get(&"bd-2".to_owned()).unwrap();
    assert_eq!(backend.slots, SlotCount::new(2));
    assert_eq!(backend.connections, ConnectionCount::new(2000));
    assert_eq!(backend.weight, Weight::new(100));
    let preset = fragment.presets.get(&"deadline-peak".to_owned()).unwrap();
    let change = preset.get("benchmark-desk", "bd-2").unwrap();
    assert_eq!(change.phase, Some(BackendPhase::Active));
    assert_eq!(change.weight, None);

    let table = host_list::parse("f", HOSTS, HostListVersion::new(9)).unwrap();
    assert_eq!(table.version, HostListVersion::new(9));
    let host = table.get(HostId::from_name("bud-angyal-1")).unwrap();
    assert_eq!(host.phase, HostPhase::Leaving);
}

#[test]
fn defaults_of_limits_match_the_rules() {
    let limits = ConfigurationLimits::default();
    assert_eq!(
        limits.request_lifetime.as_millis() as u64,
        rules::REQUEST_LIFETIME.default
    );
    assert_eq!(
        limits.clock_skew.as_millis() as u64,
        rules::CLOCK_SKEW.default
    );
    assert_eq!(
        limits.home_lease.as_millis() as u64,
        rules::HOME_LEASE.default
    );
    assert_eq!(
        u64::from(limits.shards_per_domain),
        rules::SHARDS_PER_DOMAIN.default
    );
    assert_eq!(limits.flow_hash_seed, rules::FLOW_HASH_SEED.default);
    assert_eq!(
        u64::from(limits.retry_percent),
        rules::RETRY_PERCENT.default
    );
}

#[test]
fn secrets_are_not_shown() {
    let settings = HostSettings::parse("f", SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("00000000"));
}
