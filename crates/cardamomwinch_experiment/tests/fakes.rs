//! The fakes and the measurements of the experiment.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::{PlatformKey, PlatformRequest};
use cardamomwinch_experiment::backends;
use cardamomwinch_experiment::deployment;
use cardamomwinch_experiment::event_queue::EventQueue;
use cardamomwinch_experiment::measures::BusyWindows;
use cardamomwinch_experiment::platform::{PlatformStore, WaitingCall};
use cardamomwinch_experiment::prelude::*;
use cardamomwinch_state::prelude::Timestamp;

const fn at(seconds: u64) -> Timestamp {
    Timestamp::new(seconds * 1_000_000)
}

#[test]
fn events_of_the_same_time_keep_their_order() {
    let mut queue = EventQueue::default();
    for (time, event) in [(at(2), 'c'), (at(1), 'a'), (at(2), 'd'), (at(1), 'b')] {
        queue.push(time, event);
    }
    let order: String = std::iter::from_fn(|| queue.pop().map(|(_, event)| event)).collect();
    assert_eq!(order, "abcd");
}

#[test]
fn imbalance_is_the_maximum_over_the_mean_of_each_window() {
    let plan = DeploymentPlan::new(DeploymentName::Budapest, 9);
    let mut busy = BusyWindows::new(&plan, at(10), at(30));
    busy.add(0, at(8), at(13));
    busy.add(1, at(19), at(21));
    let servers = [0, 1];
    // The first window holds 3 s and 1 s, the second 0 s and 1 s.
    assert_eq!(busy.imbalance(&servers), [1.5, 2.0]);
}

#[test]
fn a_flow_key_identifies_its_flow_and_service() {
    for flow in [0, 255, 256, 70_000] {
        let key = deployment::flow_key(flow, 1);
        assert_eq!(deployment::flow_at(&key), flow);
        assert_eq!(deployment::service_at(&key), 1);
    }
}

#[test]
fn service_times_have_a_mean_near_fifty_milliseconds() {
    let mean = backends::mean_service_time();
    let range = time::Duration::from_millis(45)..time::Duration::from_millis(55);
    assert!(range.contains(&mean), "{mean:?}");
}

#[test]
fn the_names_of_scenarios_can_be_parsed() {
    for scenario in [ChangeScenario::singles(), ChangeScenario::pairs()].concat() {
        let name = scenario.to_string();
        assert_eq!(name.parse::<ChangeScenario>().unwrap(), scenario);
    }
    assert!("calm+drain+nothing".parse::<ChangeScenario>().is_err());
}

/// A replica of the platform falls behind: a read returns the older revision,
/// and a watch for a later one is not answered until the replica catches up.
#[test]
fn a_stale_platform_answers_with_the_older_revision() {
    let mut store = PlatformStore::default();
    let (first, _) = store.publish(PlatformKey::Root, "old".to_owned());
    let (second, _) = store.publish(PlatformKey::Root, "new".to_owned());
    let request = |after| PlatformRequest {
        key: PlatformKey::Root,
        after,
        wait: time::Duration::from_secs(20),
    };
    store.set_stale(true);
    let shown = PlatformAnswer::Value {
        revision: first,
        text: "old".to_owned(),
    };
    assert_eq!(store.answer(&request(None)), Some(shown));
    assert_eq!(store.answer(&request(Some(first))), None);
    store.wait(WaitingCall {
        host: 0,
        life: 1,
        request: request(Some(first)),
    });
    let ready = store.set_stale(false);
    assert_eq!(ready.len(), 1);
    let shown = PlatformAnswer::Value {
        revision: second,
        text: "new".to_owned(),
    };
    assert_eq!(store.answer(&ready[0].request), Some(shown));
}
