//! The measurement of how busy domains are.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use cardamomwinch_coordination::load::answer::AnswerObservation;
use cardamomwinch_coordination::load::domain_load::DomainLoads;
use cardamomwinch_state::prelude::*;

const GOAL: time::Duration = time::Duration::from_millis(500);

fn at(millis: u64) -> Timestamp {
    Timestamp::new(1_000_000_000).after(time::Duration::from_millis(millis))
}

fn service() -> ServiceId {
    ServiceId::from_name("desk")
}

fn domain() -> DomainId {
    DomainId::from_name("near")
}

/// An answer of route `number` after `response` milliseconds.
fn answer(number: u8, response: u64, now: u64) -> AnswerObservation {
    AnswerObservation {
        server: BackendId::new(1),
        service: service(),
        domain: domain(),
        address: net::SocketAddr::from(([198, 18, 1, number], 443)),
        bytes: 900,
        response: Some(time::Duration::from_millis(response)),
        closing: true,
        at: at(now),
    }
}

fn refusal(now: u64) -> AnswerObservation {
    AnswerObservation {
        bytes: 150,
        ..answer(1, 130, now)
    }
}

/// Notes answers of `response` milliseconds every 20 ms.
fn note_steady(loads: &mut DomainLoads, response: u64, times: std::ops::Range<u64>) {
    for now in times.step_by(20) {
        loads.note_answer(&answer(1, response, now));
    }
}

fn wait(loads: &DomainLoads, now: u64) -> time::Duration {
    loads.wait(service(), domain(), at(now)).unwrap().wait
}

/// Guards against full queues: a domain fills within 0.4 s, and a mean that follows later sees
/// it when requests are shed already.
#[test]
fn a_step_is_seen_within_a_quarter_of_a_second() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..2_000);
    assert!(wait(&loads, 2_000) < time::Duration::from_millis(2));
    note_steady(&mut loads, 140, 2_000..2_250);
    assert!(wait(&loads, 2_250) > time::Duration::from_millis(60));
}

/// Guards against a wait that is measured where there is none: routes of one service need
/// different work, and their shares change.
#[test]
fn a_change_of_the_mix_of_routes_is_no_wait() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..1_000);
    for now in (1_000..3_000).step_by(20) {
        loads.note_answer(&answer(2, 200, now));
    }
    assert!(wait(&loads, 3_000) < time::Duration::from_millis(2));
}

/// Guards against a domain that seems fast because it refuses requests.
#[test]
fn refused_answers_count_by_their_number_only() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..2_000);
    for now in (2_000..3_000).step_by(40) {
        loads.note_answer(&answer(1, 40, now));
        loads.note_answer(&refusal(now + 20));
    }
    let measured = loads.wait(service(), domain(), at(3_000)).unwrap();
    assert!(
        measured.wait < time::Duration::from_millis(2),
        "{measured:?}"
    );
    assert!(
        (300..=500).contains(&measured.refused_permille),
        "{measured:?}"
    );
    let measurement = loads.measurement(service(), domain(), at(3_000)).unwrap();
    assert!(measurement.wait(GOAL) > 0.15, "{measurement:?}");
}

/// Guards against a single small answer that keeps a domain from counting as one with room.
#[test]
fn a_refused_answer_is_forgotten_after_two_seconds() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..1_000);
    loads.note_answer(&refusal(1_000));
    let permille = |loads: &DomainLoads, now| {
        let measured = loads.wait(service(), domain(), at(now));
        measured.unwrap().refused_permille
    };
    assert!(permille(&loads, 1_000) > 0);
    note_steady(&mut loads, 40, 1_020..3_000);
    assert_eq!(permille(&loads, 3_000), 0);
}

/// Guards against a host that starts in an overload and counts its waits as the work: the first
/// answers of a domain without queues correct it.
#[test]
fn a_base_that_is_too_high_falls_quickly() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 150, 0..1_000);
    let far = DomainId::from_name("far");
    for now in (1_000..2_000).step_by(20) {
        let answer = answer(1, 40, now);
        loads.note_answer(&AnswerObservation {
            domain: far,
            ..answer
        });
        loads.note_answer(&self::answer(1, 150, now));
    }
    assert!(wait(&loads, 2_000) > time::Duration::from_millis(60));
}

/// Guards against a base that a long overload raises to its waits, and against one that stays too
/// low after a release has made requests longer.
#[test]
fn the_base_rises_over_minutes() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..2_000);
    note_steady(&mut loads, 140, 2_000..32_000);
    assert!(wait(&loads, 32_000) > time::Duration::from_millis(80));
    note_steady(&mut loads, 60, 32_000..200_000);
    assert!(wait(&loads, 200_000) < time::Duration::from_millis(5));
}

/// Guards against decisions by a measurement of the past, and by failures alone: a domain that
/// is cut off answers nothing.
#[test]
fn a_measurement_expires_after_a_second() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..1_000);
    let near = (service(), domain());
    loads.note_failures(near.0, near.1, 5, at(1_500));
    let failing = loads.wait(near.0, near.1, at(1_500)).unwrap();
    assert!(failing.refused_permille > 100, "{failing:?}");
    assert!(loads.wait(near.0, near.1, at(2_100)).is_none());
    assert_eq!(loads.measured(at(2_100)).count(), 0);
}

/// Guards against sheds that nobody notices on long flows, whose answers have no time.
#[test]
fn answers_without_a_time_count_for_the_refused_share() {
    let mut loads = DomainLoads::default();
    note_steady(&mut loads, 40, 0..1_000);
    for now in (1_000..1_500).step_by(20) {
        let untimed = AnswerObservation {
            response: None,
            ..answer(1, 0, now)
        };
        loads.note_answer(&untimed);
        loads.note_answer(&AnswerObservation {
            bytes: 150,
            ..untimed
        });
    }
    let measured = loads.wait(service(), domain(), at(1_500)).unwrap();
    assert!(
        (300..=500).contains(&measured.refused_permille),
        "{measured:?}"
    );
    assert!(measured.wait < time::Duration::from_millis(2));
}
