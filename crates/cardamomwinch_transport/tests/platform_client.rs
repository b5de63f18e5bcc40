//! The platform and load clients against small stand-in servers.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;
use std::time;

use async_io::block_on;
use cardamomwinch_transport::http_client::HttpError;
use cardamomwinch_transport::platform_client::VALUE_LIMIT;
use cardamomwinch_transport::prelude::*;
use support::Script;
use yare::parameterized;

const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(50);

fn key() -> PlatformKey {
    "hosts".parse().unwrap()
}

fn document(revision: u64, value: &str) -> String {
    serde_json::json!({"key": "hosts", "revision": revision, "value": value}).to_string()
}

fn answer(status: &'static str, body: String, requests: usize) -> Script {
    Script::Answer {
        status,
        body,
        requests,
    }
}

fn client(addresses: &[net::SocketAddr], timeout: time::Duration) -> PlatformClient {
    PlatformClient::new(addresses, timeout)
}

#[test]
fn reads_and_watches_over_one_connection_with_get_only() {
    let (address, lines) = support::serve(vec![answer("200 OK", document(7, "a"), 2)]);
    let mut client = client(&[address], LONG_TIMEOUT);
    let reading = block_on(client.read(&key())).unwrap();
    assert_eq!((reading.revision, reading.value.as_str()), (7, "a"));
    let wait = time::Duration::from_millis(1500);
    let outcome = block_on(client.watch(&key(), 6, wait)).unwrap();
    assert_eq!(outcome, WatchOutcome::Changed(reading));
    assert_eq!(lines.recv().unwrap(), "GET /v1/keys/hosts HTTP/1.1");
    let watched = "GET /v1/keys/hosts?after=6&wait_ms=1500 HTTP/1.1";
    assert_eq!(lines.recv().unwrap(), watched);
}

#[test]
fn reads_the_longest_value_in_its_longest_form() {
    let value = "\u{1}".repeat(VALUE_LIMIT);
    let (address, _lines) = support::serve(vec![answer("200 OK", document(1, &value), 1)]);
    let reading = block_on(client(&[address], LONG_TIMEOUT).read(&key())).unwrap();
    assert_eq!(reading.value.len(), VALUE_LIMIT);
}

#[test]
fn an_unchanged_key_ends_the_watch() {
    let (address, _lines) = support::serve(vec![answer("204 No Content", String::new(), 1)]);
    let outcome =
        block_on(client(&[address], LONG_TIMEOUT).watch(&key(), 1, SHORT_TIMEOUT)).unwrap();
    assert_eq!(outcome, WatchOutcome::Unchanged);
}

#[parameterized(
    missing = { "404 Not Found", String::new(), |error| matches!(error, PlatformError::Missing { .. }) },
    garbage = { "200 OK", "{\"key\":".to_owned(), |error| matches!(error, PlatformError::Malformed { .. }) },
    wrong_type = { "200 OK", "[1]".to_owned(), |error| matches!(error, PlatformError::Malformed { .. }) },
    wrong_key = { "200 OK", document(9, "a").replace("hosts", "other"), |error| matches!(error, PlatformError::WrongKey { .. }) },
    stale = { "200 OK", document(3, "a"), |error| matches!(error, PlatformError::StaleRevision { after: 5, found: 3, .. }) },
    unexpected = { "500 Oops", String::new(), |error| matches!(error, PlatformError::UnexpectedStatus { .. }) },
    oversized_value = { "200 OK", document(9, &"a".repeat(VALUE_LIMIT + 1)), |error| matches!(error, PlatformError::OversizedValue { .. }) },
    oversized_answer = { "200 OK", "a".repeat(7 * VALUE_LIMIT), |error| matches!(error, PlatformError::Exchange { source: HttpError::Oversized { .. }, .. }) },
)]
fn a_bad_answer_is_a_typed_error(
    status: &'static str,
    body: String,
    expected: fn(&PlatformError) -> bool,
) {
    let (address, _lines) = support::serve(vec![answer(status, body, 1)]);
    let error =
        block_on(client(&[address], LONG_TIMEOUT).watch(&key(), 5, SHORT_TIMEOUT)).unwrap_err();
    assert!(expected(&error), "{error:?}");
}

#[test]
fn bytes_that_are_not_http_are_a_typed_error() {
    let bytes = b"this is not the protocol\r\n\r\n".to_vec();
    let (address, _lines) = support::serve(vec![Script::Bytes(bytes)]);
    let error = block_on(client(&[address], LONG_TIMEOUT).read(&key())).unwrap_err();
    assert!(matches!(
        error,
        PlatformError::Exchange {
            source: HttpError::Exchange { .. },
            ..
        }
    ));
}

// The platform is reachable but does not answer. Without a timeout the host would
// wait for it forever and miss every change, even if another address of the platform
// answers.
#[test]
fn a_silent_address_times_out_and_the_next_is_tried() {
    let (silent, _lines) = support::serve(vec![Script::NoAnswer, Script::NoAnswer]);
    let error = block_on(client(&[silent], SHORT_TIMEOUT).read(&key())).unwrap_err();
    let timed_out = |error: &PlatformError| {
        matches!(
            error,
            PlatformError::Exchange {
                source: HttpError::TimedOut { .. },
                ..
            }
        )
    };
    assert!(timed_out(&error), "{error:?}");
    let (good, _lines) = support::serve(vec![answer("200 OK", document(1, "a"), 1)]);
    let mut client = client(&[silent, good], time::Duration::from_secs(5));
    assert_eq!(block_on(client.read(&key())).unwrap().revision, 1);
}

// The platform closes idle connections, and the client notices only at its next
// request. Without a retry on a new connection, every second read would fail.
#[test]
fn a_closed_connection_is_opened_again() {
    let script = answer("200 OK", document(1, "a"), 1);
    let (address, lines) = support::serve(vec![script.clone(), script.clone(), script]);
    let mut client = client(&[address], LONG_TIMEOUT);
    for _ in 0..3 {
        assert_eq!(block_on(client.read(&key())).unwrap().revision, 1);
    }
    assert_eq!(lines.iter().count(), 3);
}

#[test]
fn no_address_and_bad_keys_are_typed_errors() {
    let error = block_on(client(&[], LONG_TIMEOUT).read(&key())).unwrap_err();
    assert!(matches!(error, PlatformError::NoAddress));
    for text in ["", "a b", "a?b", "a\r\nb", "ä", &"a".repeat(300)] {
        assert!(text.parse::<PlatformKey>().is_err(), "{text:?}");
    }
}

const REPORT: &str = r#"{"busy_slots":1,"connections":20,"healthy":true,"draining":false}"#;

#[test]
fn reads_a_load_report() {
    let (address, lines) = support::serve(vec![answer("200 OK", REPORT.to_owned(), 1)]);
    let report = block_on(LoadClient::new(address, LONG_TIMEOUT).read()).unwrap();
    assert_eq!((report.busy_slots, report.connections), (1, 20));
    assert_eq!(lines.recv().unwrap(), "GET /load HTTP/1.1");
}

#[parameterized(
    garbage = { answer("200 OK", "{}".to_owned(), 1), |error| matches!(error, LoadError::Malformed { .. }) },
    refused = { answer("503 Busy", REPORT.to_owned(), 1), |error| matches!(error, LoadError::UnexpectedStatus { .. }) },
    oversized = { answer("200 OK", " ".repeat(5000) + REPORT, 1), |error| matches!(error, LoadError::Exchange { source: HttpError::Oversized { .. } }) },
)]
fn a_bad_load_report_is_a_typed_error(script: Script, expected: fn(&LoadError) -> bool) {
    let (address, _lines) = support::serve(vec![script]);
    let error = block_on(LoadClient::new(address, LONG_TIMEOUT).read()).unwrap_err();
    assert!(expected(&error), "{error:?}");
}
