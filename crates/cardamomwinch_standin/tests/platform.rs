//! The platform: reads, watches, refused writes and faults.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_standin::http::HttpReply;
use cardamomwinch_standin::platform::{CallKind, FaultMode, PlatformFault};
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use support::eventually;
use yare::parameterized;

async fn start(executor: &TaskExecutor) -> PlatformStandin {
    let started = PlatformStandin::start(executor, PlatformSettings::default());
    started.await.unwrap()
}

async fn read(platform: &PlatformStandin, path: &str) -> HttpReply {
    let reply = http::request(platform.public_address, "GET", path, "");
    reply.await.unwrap()
}

fn fault(mode: FaultMode) -> PlatformFault {
    PlatformFault { mode, delay_ms: 0 }
}

#[test]
fn a_watch_ends_with_the_next_revision_and_counts_once() {
    support::run(async |executor| {
        let platform = start(&executor).await;
        assert_eq!(read(&platform, "/v1/keys/teams/search").await.status, 404);
        platform.put("teams/search", "a".to_owned());
        platform.put("root", "b".to_owned());
        let found = read(&platform, "/v1/keys/teams/search")
            .await
            .json()
            .unwrap();
        assert_eq!(found["revision"], 1);
        assert_eq!(found["value"], "a");
        let none = read(&platform, "/v1/keys/teams/search?after=1&wait_ms=1").await;
        assert_eq!(none.status, 204);
        let watch = read(&platform, "/v1/keys/teams/search?after=1&wait_ms=60000");
        let write = async {
            eventually(|| platform.statistics().total == 4).await;
            let put = "/v1/keys/teams/search";
            let reply = http::request(platform.operator_address, "PUT", put, "c").await;
            assert_eq!(reply.unwrap().json().unwrap()["revision"], 3);
        };
        let (changed, ()) = futures_lite::future::zip(watch, write).await;
        assert_eq!(changed.json().unwrap()["value"], "c");
        let statistics = platform.statistics();
        let watches = statistics
            .calls
            .iter()
            .find(|call| call.kind == CallKind::Watch);
        assert_eq!(watches.unwrap().count, 2);
        assert_eq!((statistics.total, statistics.refused), (4, 0));
    });
}

#[parameterized(put = {"PUT"}, post = {"POST"}, delete = {"DELETE"})]
fn a_write_on_the_public_listener_is_refused_and_counted(method: &str) {
    support::run(async |executor| {
        let platform = start(&executor).await;
        let reply = http::request(platform.public_address, method, "/v1/keys/root", "x").await;
        assert_eq!(reply.unwrap().status, 405);
        assert_eq!(platform.statistics().refused, 1);
        assert_eq!(platform.statistics().revision, 0);
    });
}

#[test]
fn a_value_beyond_the_limit_is_refused() {
    support::run(async |executor| {
        let platform = start(&executor).await;
        for (size, status) in [(1024 * 1024, 200), (1024 * 1024 + 1, 413)] {
            let value = vec![b'x'; size];
            let path = "/v1/keys/root";
            let reply = http::request(platform.operator_address, "PUT", path, value).await;
            assert_eq!(reply.unwrap().status, status);
        }
        let found = read(&platform, "/v1/keys/root").await.json().unwrap();
        assert_eq!(found["value"].as_str().unwrap().len(), 1024 * 1024);
    });
}

#[parameterized(
    none = {FaultMode::None, "third"},
    stale = {FaultMode::Stale, "second"},
    back = {FaultMode::Back, "first"},
    slow = {FaultMode::Slow, "third"},
)]
fn a_fault_determines_which_revision_is_returned(mode: FaultMode, value: &str) {
    support::run(async |executor| {
        let platform = start(&executor).await;
        platform.put("root", "first".to_owned());
        platform.put("root", "second".to_owned());
        platform.set_fault(fault(mode));
        platform.put("root", "third".to_owned());
        let found = read(&platform, "/v1/keys/root").await.json().unwrap();
        assert_eq!(found["value"], value);
    });
}

#[test]
fn a_fault_returns_garbage_refuses_or_never_answers() {
    support::run(async |executor| {
        let platform = start(&executor).await;
        platform.put("root", "x".to_owned());
        platform.set_fault(fault(FaultMode::Broken));
        let broken = read(&platform, "/v1/keys/root").await;
        assert_eq!(broken.status, 200);
        broken.json().unwrap_err();
        let order = r#"{"mode":"refuse"}"#;
        let set = http::request(platform.operator_address, "POST", "/v1/fault", order).await;
        assert_eq!(set.unwrap().status, 204);
        let refused = http::request(platform.public_address, "GET", "/v1/keys/root", "").await;
        refused.unwrap_err();
        platform.set_fault(fault(FaultMode::Silent));
        let limit = time::Instant::now() + time::Duration::from_millis(100);
        let silent = runtime::until(limit, read(&platform, "/v1/keys/root")).await;
        assert!(silent.is_none());
    });
}

/// Guards against a platform that refuses new connections but leaves waiting
/// watches open. A host would then not notice the failure until its watch ends.
#[test]
fn a_refusing_platform_also_closes_waiting_watches() {
    support::run(async |executor| {
        let platform = start(&executor).await;
        let path = "/v1/keys/root?after=0&wait_ms=300000";
        let watch = http::request(platform.public_address, "GET", path, "");
        let refuse = async {
            eventually(|| platform.statistics().total == 1).await;
            platform.set_fault(fault(FaultMode::Refuse));
        };
        let (watched, ()) = futures_lite::future::zip(watch, refuse).await;
        watched.unwrap_err();
    });
}
