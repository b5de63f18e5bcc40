//! Named threads that run an executor, and the upkeep of metrics.
#![allow(clippy::unwrap_used, missing_docs)]

use std::thread;

use cardamomwinch_transport::prelude::*;

#[test]
fn a_named_thread_runs_main_and_what_it_spawns() {
    let thread = ExecutorThread::start("control", async |executor| {
        let spawned = executor.spawn(async { 41 });
        let name = thread::current().name().map(str::to_owned);
        (spawned.await + 1, name)
    });
    let (sum, name) = thread.unwrap().join().unwrap();
    assert_eq!((sum, name.as_deref()), (42, Some("control")));
}

#[test]
fn a_panic_is_a_typed_error() {
    let thread = ExecutorThread::start("traffic", async |_| panic!("on purpose"));
    let outcome: Result<(), ThreadError> = thread.unwrap().join();
    assert!(matches!(outcome, Err(ThreadError::Panicked { name }) if name == "traffic"));
}

#[test]
fn metrics_are_rendered_and_a_second_recorder_is_refused() {
    let sink = MetricsSink::install().unwrap();
    metrics::counter!("flows_total").increment(3);
    assert!(sink.render().contains("flows_total 3"));
    let again = MetricsSink::install();
    assert!(matches!(again, Err(MetricsError::AlreadyInstalled)));
}
