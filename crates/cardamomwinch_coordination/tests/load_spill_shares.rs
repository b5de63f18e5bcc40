//! The shares of new flows that leave a failure domain.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::load::answer::AnswerObservation;
use cardamomwinch_coordination::load::domain_load::DomainLoads;
use cardamomwinch_coordination::load::spill_shares::{SpillReason, SpillShares};
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::*;

const GOAL: time::Duration = time::Duration::from_millis(500);

fn at(millis: u64) -> Timestamp {
    Timestamp::new(1_000_000_000).after(time::Duration::from_millis(millis))
}

fn service() -> ServiceId {
    ServiceId::from_name("desk")
}

fn domain(name: &str) -> DomainId {
    DomainId::from_name(name)
}

/// A host of domain `near` that opens 100 flows a second.
#[derive(Default)]
struct SharingHost {
    loads: DomainLoads,
    shares: SpillShares,
    now: u64,
    /// The flows that left for domain `far`, by reason.
    left: [u32; 2],
}

impl SharingHost {
    /// Runs for `millis`, while answers of the domains take so many milliseconds. A domain
    /// without a time does not answer.
    fn run(&mut self, millis: u64, near: Option<u64>, far: Option<u64>) {
        self.left = [0; 2];
        let end = self.now + millis;
        while self.now < end {
            self.now += 10;
            let now = at(self.now);
            self.shares.note_opening(service(), GOAL, now);
            let hash = flow::mix(self.now);
            let target = self.shares.choose(service(), hash, |_| true);
            let (name, response) = match target {
                Some(target) => {
                    self.left[usize::from(target.reason == SpillReason::Measuring)] += 1;
                    ("far", far)
                }
                None => ("near", near),
            };
            if let Some(response) = response {
                self.answer(name, response);
            }
            if self.now.is_multiple_of(100) {
                let domains = |_| vec![domain("far"), domain("near")];
                self.shares
                    .update(domain("near"), &self.loads, now, domains);
            }
        }
    }

    fn answer(&mut self, name: &str, response: u64) {
        self.loads.note_answer(&AnswerObservation {
            server: BackendId::new(1),
            service: service(),
            domain: domain(name),
            address: net::SocketAddr::from(([198, 18, 1, 1], 443)),
            bytes: 900,
            response: Some(time::Duration::from_millis(response)),
            closing: true,
            at: at(self.now),
        });
    }

    fn share(&self) -> f64 {
        self.shares.iter().map(|(_, _, share)| share).sum()
    }
}

/// Guards against flows that are lost in a domain that answers nothing: it gets one flow of
/// fifty, and only while flows wait in the own domain.
#[test]
fn a_domain_without_answers_gets_one_flow_of_fifty() {
    let mut host = SharingHost::default();
    host.run(2_000, Some(40), None);
    assert_eq!(host.left, [0, 0]);
    host.run(10_000, Some(140), None);
    assert_eq!(host.left[0], 0);
    assert!((15..=21).contains(&host.left[1]), "{:?}", host.left);
}

/// Guards against a domain that sends all flows away and then knows nothing of itself.
#[test]
fn a_fifth_of_the_flows_stays() {
    let mut host = SharingHost::default();
    host.run(2_000, Some(40), Some(40));
    host.run(10_000, Some(400), Some(40));
    assert!((0.7..=0.8).contains(&host.share()), "{}", host.share());
}

/// Guards against flows that leave for a domain that is as busy: the measurement shows it.
#[test]
fn a_domain_that_is_as_busy_gets_only_measuring_flows() {
    let mut host = SharingHost::default();
    host.run(2_000, Some(40), Some(40));
    host.run(10_000, Some(140), Some(140));
    assert_eq!(host.left[0], 0);
    assert!(host.left[1] <= 20, "{:?}", host.left);
}

/// Guards against shares that stay when a domain falls silent, or when the own one is calm.
#[test]
fn shares_end_with_their_reason() {
    let mut host = SharingHost::default();
    host.run(2_000, Some(40), Some(40));
    host.run(2_000, Some(240), Some(40));
    assert!(host.share() > 0.5, "{}", host.share());
    host.run(1_200, Some(240), None);
    assert_eq!(host.share(), 0.0);
    host.run(2_000, Some(240), Some(40));
    assert!(host.share() > 0.5, "{}", host.share());
    host.run(1_000, Some(40), Some(40));
    assert_eq!(host.share(), 0.0);
}

/// Guards against flows that leave before a host has measured its own domain.
#[test]
fn a_host_without_a_measurement_keeps_its_flows() {
    let mut host = SharingHost::default();
    host.run(2_000, None, Some(40));
    assert_eq!(host.left, [0, 0]);
}
