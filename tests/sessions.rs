//! An established session survives every planned change: it stays with its
//! server, is never reset, and continues to receive notices.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use cardamomwinch_standin::prelude::*;
use serde_json::json;
use support::LIMIT;
use support::network::{self, FaultyDeployment};
use support::sessions::SessionSet;

/// Sessions of each kind to each service.
const SESSIONS: usize = 3;
/// Answers or notices that a test waits for on each session after each change.
const PROGRESS: u64 = 5;
const SEARCH: &str = "benchmark-desk";
const ARCHIVE: &str = "docvault";

async fn start(executor: &TaskExecutor) -> (FaultyDeployment, SessionSet) {
    let mut plan = network::small_plan();
    for service in &mut plan.services {
        service.options = vec!["--notice-ms".to_owned(), "100".to_owned()];
    }
    let faulty = FaultyDeployment::start(plan).await;
    let sessions = SessionSet::open(executor, &faulty.deployment, SESSIONS).await;
    sessions.wait_for_progress(PROGRESS).await;
    (faulty, sessions)
}

/// Adds a preset in which the servers of each service have weights of 1 and 300 in
/// turn.
fn add_uneven_preset(faulty: &mut FaultyDeployment) {
    for service in [SEARCH, ARCHIVE] {
        let mut changes = serde_json::Map::new();
        for (position, backend) in faulty.deployment.backends.iter().enumerate() {
            if backend.service == service {
                let weight = if position % 2 == 0 { 1 } else { 300 };
                changes.insert(backend.name.clone(), json!({"weight": weight}));
            }
        }
        let presets = json!({"deadline-peak": {service: changes}});
        faulty
            .deployment
            .presets
            .insert(service.to_owned(), presets);
    }
}

async fn switch_preset(faulty: &mut FaultyDeployment, preset: &str) -> u64 {
    faulty.deployment.preset = preset.to_owned();
    faulty.deployment.publish_root().await.unwrap()
}

/// Guards against sessions that break while a preset changes the weights of all
/// servers, a server drains and a host joins, so that hosts have different lookup
/// tables for a while.
#[test]
fn sessions_outlive_a_preset_switch_while_a_server_drains_and_a_host_joins() {
    support::run(async |executor| {
        let (mut faulty, sessions) = start(executor).await;
        add_uneven_preset(&mut faulty);
        for service in [SEARCH, ARCHIVE] {
            faulty.deployment.publish_team(service).await.unwrap();
        }
        let version = switch_preset(&mut faulty, "deadline-peak").await;
        let server = sessions.sessions[0].server.clone();
        let mut backends = faulty.deployment.backends.iter_mut();
        let leaving = backends.find(|backend| backend.name == server).unwrap();
        leaving.definition = json!({"phase": "draining"});
        faulty.deployment.publish_team(SEARCH).await.unwrap();
        faulty.deployment.publish_root().await.unwrap();
        faulty.add_host(0, 10).await;
        faulty.wait_for_version(version + 2).await;
        sessions.wait_for_progress(PROGRESS).await;
        let version = switch_preset(&mut faulty, "ordinary").await;
        faulty.wait_for_version(version).await;
        sessions.wait_for_progress(PROGRESS).await;
        sessions.finish().await;
    });
}

/// Guards against sessions that break because no remaining host received their
/// openings. All hosts are replaced one by one: a new host joins the domain, then the
/// old one is stopped gracefully and has to hand over what only it knows.
#[test]
fn sessions_outlive_the_replacement_of_all_hosts() {
    support::run(async |executor| {
        let (mut faulty, sessions) = start(executor).await;
        let domains = faulty.deployment.plan.domains.clone();
        for (index, domain) in domains.iter().enumerate() {
            for (number, name) in faulty.hosts(Some(domain.name)).into_iter().enumerate() {
                faulty.add_host(index, 10 + number).await;
                faulty.stop_hosts(&[name]).await;
                sessions.wait_for_progress(PROGRESS).await;
            }
        }
        sessions.finish().await;
    });
}

/// Guards against sessions that break because shards are handed over while the lookup
/// tables change: two hosts of different domains stop at the same time, during a switch
/// of the preset.
#[test]
fn sessions_outlive_the_stop_of_two_hosts_during_a_preset_switch() {
    support::run(async |executor| {
        let (mut faulty, sessions) = start(executor).await;
        add_uneven_preset(&mut faulty);
        for service in [SEARCH, ARCHIVE] {
            faulty.deployment.publish_team(service).await.unwrap();
        }
        let version = switch_preset(&mut faulty, "deadline-peak").await;
        let leaving = ["bud-angyal-0".to_owned(), "bud-csepel-1".to_owned()];
        faulty.stop_hosts(&leaving).await;
        faulty.wait_for_version(version).await;
        sessions.wait_for_progress(PROGRESS).await;
        sessions.finish().await;
    });
}

/// Guards against sessions that break because a host joins during a hand-over. A host
/// is stopped while another joins the same domain, twice. The new host ranks before
/// others for some shards, so it receives what the stopping host is already handing
/// over to another host.
#[test]
fn sessions_outlive_a_host_that_joins_while_another_stops() {
    support::run(async |executor| {
        let (mut faulty, sessions) = start(executor).await;
        for (index, name) in [(10, "bud-angyal-0"), (11, "bud-angyal-1")] {
            faulty.start_host(0, index).await;
            faulty.deployment.publish_hosts().await.unwrap();
            faulty.stop_hosts(&[name.to_owned()]).await;
            faulty.deployment.wait_until_ready(LIMIT).await.unwrap();
            sessions.wait_for_progress(PROGRESS).await;
        }
        sessions.finish().await;
    });
}
