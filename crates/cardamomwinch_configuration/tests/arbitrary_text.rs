//! Parsing must not panic, whatever the text.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_configuration::prelude::*;
use cardamomwinch_state::prelude::HostListVersion;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 500;

const VALID: &[&str] = &[
    r#"{"host": "h-1", "domain": "d", "traffic_address": "127.0.0.1:1", "relay_address": "127.0.0.1:2", "peer_address": "[::1]:3", "admin_address": "127.0.0.1:0", "platform": {"addresses": ["127.0.0.1:5"]}, "keys": {"signing": "00"}, "log": {"level": "info"}}"#,
    r#"{"preset": "p", "teams": {"a": 1, /* ő */ "b": 2}, "limits": {"home_lease_ms": 1e3}}"#,
    r#"{"team": "t", "services": {"s": {"address": "127.0.0.1:1", "backends": {"b": {"domain": "d", "address": "127.0.0.1:2"}}}}, "presets": {"p": {"s": {"b": {"weight": 3}}}}}"#,
    "{\"hosts\": { // list\n\"h\": {\"domain\": \"d\", \"traffic_address\": \"127.0.0.1:1\", \"phase\": 'live', \"x\": \"\\u00e9\"}}}",
];

/// A runner whose cases are the same on every run.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::XorShift, &[7; 16]);
    TestRunner::new_with_rng(config, random)
}

/// Reads `bytes` as every kind of document. Reported lines must lie within the
/// text.
fn read_as_every_kind(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let lines = text.split('\n').count();
    let reports = [
        HostSettings::parse("f", &text).err(),
        RootDocument::parse("f", &text).err(),
        TeamFragment::parse("f", &text).err(),
        host_list::parse("f", &text, HostListVersion::ZERO).err(),
    ];
    for report in reports.into_iter().flatten() {
        assert!(!report.errors.is_empty());
        assert!(
            report
                .errors
                .iter()
                .all(|error| (1..=lines).contains(&error.line))
        );
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    let outcome = runner().run(&bytes, |bytes| {
        read_as_every_kind(&bytes);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn json_like_text_never_panics() {
    let text = "[\\[\\]{}:,\"'/* \\\\u0-9a-ftrue.é\n-]{0,80}";
    let outcome = runner().run(&text, |text| {
        read_as_every_kind(text.as_bytes());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn mutated_documents_never_panic() {
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3), 1..6);
    let cases = (0..VALID.len(), changes);
    let outcome = runner().run(&cases, |(document, changes)| {
        let mut bytes = VALID[document].as_bytes().to_vec();
        for (index, byte, action) in changes {
            let at = index.index(bytes.len());
            match action {
                0 => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => bytes.truncate(at.max(1)),
            }
        }
        read_as_every_kind(&bytes);
        Ok(())
    });
    outcome.unwrap();
}
