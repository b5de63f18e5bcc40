//! A configuration version that was accepted comes into force on all hosts and is
//! never reverted.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync;
use std::sync::atomic;

use async_executor::Task;
use cardamomwinch_standin::faults::CutMode;
use cardamomwinch_standin::platform::FaultMode;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use serde_json::{Value, json};
use support::network::{self, FaultyDeployment};
use support::{LIMIT, pause};

const SEARCH: &str = "benchmark-desk";
const ARCHIVE: &str = "docvault";

/// Polls the version of every host and records each decrease.
struct VersionWatch {
    stop: sync::Arc<atomic::AtomicBool>,
    reverts: sync::Arc<sync::Mutex<Vec<String>>>,
    tasks: Vec<Task<()>>,
}

impl VersionWatch {
    async fn start(executor: &TaskExecutor, faulty: &FaultyDeployment) -> Self {
        let mut watch = Self {
            stop: sync::Arc::default(),
            reverts: sync::Arc::default(),
            tasks: Vec::new(),
        };
        for host in &faulty.deployment.hosts {
            let admin = host.address("admin_address").unwrap();
            let (stop, reverts) = (watch.stop.clone(), watch.reverts.clone());
            let status = faulty.call(&host.name, "status").await.unwrap();
            let incarnation = status["incarnation"].as_u64().unwrap();
            let watched = watch_host(admin, incarnation, stop, reverts);
            watch.tasks.push(executor.spawn(watched));
        }
        watch
    }

    async fn check(self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        let reverts = runtime::locked(&self.reverts);
        assert!(reverts.is_empty(), "{reverts:?}");
    }
}

async fn watch_host(
    admin: std::net::SocketAddr,
    incarnation: u64,
    stop: sync::Arc<atomic::AtomicBool>,
    reverts: sync::Arc<sync::Mutex<Vec<String>>>,
) {
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": "status"}).to_string();
    let mut highest = 0;
    while !stop.load(atomic::Ordering::Relaxed) {
        pause(20).await;
        // A killed host doesn't answer, which is no revert.
        let Ok(reply) = http::request(admin, "POST", "/", body.clone()).await else {
            continue;
        };
        let status = reply.json().unwrap()["result"].take();
        if status["incarnation"].as_u64() != Some(incarnation) {
            // After a kill, a host of another deployment may have got the port.
            continue;
        }
        let version = status["version"].as_u64().unwrap_or_default();
        if version < highest {
            runtime::locked(&reverts).push(format!("{admin}: {highest} to {version}"));
        }
        highest = highest.max(version);
    }
}

async fn start() -> FaultyDeployment {
    FaultyDeployment::start(network::small_plan()).await
}

async fn switch(faulty: &mut FaultyDeployment, preset: &str) -> u64 {
    faulty.deployment.preset = preset.to_owned();
    faulty.deployment.publish_root().await.unwrap()
}

async fn wait_for_preset(faulty: &FaultyDeployment, preset: &str) {
    let what = format!("preset {preset} on all hosts");
    support::eventually(&what, async || {
        for name in faulty.hosts(None) {
            let status = faulty.call(&name, "status").await?;
            if status["preset"] != preset {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Guards against a new version that doesn't reach all hosts because the host from
/// which others fetch it is killed. Operators switch the preset twice, and each time
/// another host is killed while the version spreads.
#[test]
fn a_version_spreads_although_a_host_is_killed_meanwhile() {
    support::run(async |executor| {
        let mut faulty = start().await;
        let watch = VersionWatch::start(executor, &faulty).await;
        for (preset, victim) in [
            ("deadline-peak", "bud-angyal-0"),
            ("maintenance", "bud-csepel-0"),
        ] {
            let version = switch(&mut faulty, preset).await;
            faulty.process(victim).kill().unwrap();
            let mut living = faulty.hosts(None);
            living.retain(|name| name != victim);
            faulty.wait_for_version_on(&living, version).await;
            faulty.remove_host(victim).await;
            wait_for_preset(&faulty, preset).await;
        }
        watch.check().await;
    });
}

/// Guards against a faulty platform that reverts a version. The platform doesn't
/// answer, answers late, with stale values or with garbage, refuses, and goes back to
/// its first values. Hosts keep the version that they accepted, and once the platform
/// is healthy again they adopt what was published meanwhile.
#[test]
fn no_fault_of_the_platform_reverts_a_version() {
    support::run(async |executor| {
        let mut faulty = start().await;
        let watch = VersionWatch::start(executor, &faulty).await;
        let version = switch(&mut faulty, "deadline-peak").await;
        faulty.wait_for_version(version).await;
        for mode in [
            FaultMode::Back,
            FaultMode::Silent,
            FaultMode::Stale,
            FaultMode::Broken,
            FaultMode::Slow,
            FaultMode::Refuse,
            FaultMode::Back,
        ] {
            faulty.set_platform_fault(mode, 500).await;
            pause(700).await;
        }
        let during = switch(&mut faulty, "maintenance").await;
        pause(700).await;
        faulty.set_platform_fault(FaultMode::None, 0).await;
        faulty.wait_for_version(during).await;
        wait_for_preset(&faulty, "maintenance").await;
        watch.check().await;
    });
}

/// A host starts without a connection to the platform, which then fails for all
/// hosts. The other hosts have a host list that contains it, so it fetches the
/// configuration in force from them and serves.
#[test]
fn a_cold_host_becomes_ready_from_its_peers_while_the_platform_is_down() {
    support::run(async |_| {
        let mut faulty = start().await;
        let name = faulty.start_host_with_cut(0, 10, CutMode::Close).await;
        let all = faulty.hosts(None);
        let listed = faulty.deployment.publish_hosts().await.unwrap();
        support::eventually("the list with the new host", async || {
            for name in all.iter().filter(|other| **other != name) {
                let status = faulty.call(name, "status").await?;
                if status["host_list_version"].as_u64()? < listed {
                    return None;
                }
            }
            Some(())
        })
        .await;
        faulty.set_platform_fault(FaultMode::Silent, 0).await;
        faulty.deployment.wait_until_ready(LIMIT).await.unwrap();
        let status = faulty.call(&name, "status").await.unwrap();
        assert_eq!(status["platform"]["reachable"], json!(false));
    });
}

/// One team publishes a broken fragment while another team changes its own. Only the
/// broken fragment is refused, and `status` names it; the last valid fragment of its
/// team stays in force, and the change of the other team comes into force.
#[test]
fn a_bad_fragment_is_refused_alone_and_named() {
    support::run(async |_| {
        let mut faulty = start().await;
        let bad = json!({"team": SEARCH, "services": {SEARCH: {"address": "nowhere"}}});
        let revision = faulty
            .deployment
            .put(&format!("teams/{SEARCH}"), &bad.to_string())
            .await
            .unwrap();
        faulty.deployment.set_revision(SEARCH, revision);
        let mut backends = faulty.deployment.backends.iter_mut();
        let changed = backends.find(|held| held.service == ARCHIVE).unwrap();
        changed.definition = json!({"weight": 7});
        let changed = changed.name.clone();
        faulty.deployment.publish_team(ARCHIVE).await.unwrap();
        let version = faulty.deployment.publish_root().await.unwrap();
        faulty.wait_for_version(version).await;
        for name in faulty.hosts(None) {
            support::eventually("the refused fragment in the status", async || {
                let status = faulty.call(&name, "status").await?;
                let refused = status["refused_fragments"].as_array()?;
                let named = refused.len() == 1 && refused[0]["team"] == SEARCH;
                (named && refused[0]["revision"] == revision).then_some(())
            })
            .await;
            let backends = faulty.call(&name, "backends").await.unwrap();
            let backends = backends.as_array().unwrap();
            let of = |service: &str| {
                backends
                    .iter()
                    .filter(|held| held["service"] == service)
                    .count()
            };
            assert_eq!((of(SEARCH), of(ARCHIVE)), (6, 3));
            let found = backends
                .iter()
                .find(|held| held["backend"] == changed.as_str());
            assert_eq!(found.unwrap()["weight"], json!(7));
        }
    });
}

/// Two operators switch the preset repeatedly at the same time, while a domain is cut
/// off from the platform. All hosts end with the preset that was published last, and
/// the version of no host decreases.
#[test]
fn after_two_operators_raced_all_hosts_hold_the_last_preset() {
    support::run(async |executor| {
        let faulty = start().await;
        let watch = VersionWatch::start(executor, &faulty).await;
        let apart = faulty.hosts(Some("bud-budaors"));
        faulty.cut_platform(&apart, CutMode::Hold).await;
        let mut last_written = (0, "");
        for _ in 0..10 {
            let first = put_preset(&faulty, "deadline-peak");
            let second = put_preset(&faulty, "maintenance");
            let (first, second) = futures_lite::future::zip(first, second).await;
            last_written = first.max(second);
        }
        faulty.wait_for_version(last_written.0).await;
        wait_for_preset(&faulty, last_written.1).await;
        faulty.cut_platform(&apart, CutMode::None).await;
        wait_for_preset(&faulty, last_written.1).await;
        watch.check().await;
    });
}

async fn put_preset<'p>(faulty: &FaultyDeployment, preset: &'p str) -> (u64, &'p str) {
    let root: Value = faulty.deployment.root_document(preset);
    let version = faulty.deployment.put("root", &root.to_string()).await;
    (version.unwrap(), preset)
}
