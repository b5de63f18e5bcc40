//! The metrics of the process, rendered as text.
#![allow(clippy::unwrap_used, missing_docs)]

use cardamomwinch_transport::prelude::*;
use cardamomwinch_transport::rpc_endpoint::MetricsSource;

/// A single test, because a process can have only one recorder.
#[test]
fn metrics_are_rendered_with_help_labels_and_buckets() {
    let sink = MetricsSink::install().unwrap();
    metrics::describe_counter!("packets_total", "Packets by outcome.");
    metrics::counter!("packets_total", "outcome" => "sent").increment(3);
    metrics::counter!("packets_total", "outcome" => "reset").increment(1);
    metrics::gauge!("age_seconds").set(1.5);
    metrics::describe_histogram!(
        "answer_seconds",
        metrics::Unit::Seconds,
        "Until the answer."
    );
    let answers = metrics::histogram!("answer_seconds");
    answers.record(0.004);
    answers.record(0.3);
    let expected = r#"# HELP packets_total Packets by outcome.
# TYPE packets_total counter
packets_total{outcome="reset"} 1
packets_total{outcome="sent"} 3
# TYPE age_seconds gauge
age_seconds 1.5
# HELP answer_seconds Until the answer.
# TYPE answer_seconds histogram
answer_seconds_bucket{le="0.002"} 0
answer_seconds_bucket{le="0.005"} 1
answer_seconds_bucket{le="0.01"} 1
answer_seconds_bucket{le="0.02"} 1
answer_seconds_bucket{le="0.05"} 1
answer_seconds_bucket{le="0.1"} 1
answer_seconds_bucket{le="0.2"} 1
answer_seconds_bucket{le="0.5"} 2
answer_seconds_bucket{le="1"} 2
answer_seconds_bucket{le="2"} 2
answer_seconds_bucket{le="5"} 2
answer_seconds_bucket{le="+Inf"} 2
answer_seconds_sum 0.304
answer_seconds_count 2
"#;
    assert_eq!(sink.render(), expected);
    answers.record(6.0);
    assert!(sink.render().contains("answer_seconds_count 3\n"));
    let again = MetricsSink::install();
    assert!(matches!(again, Err(MetricsError::AlreadyInstalled)));
}
