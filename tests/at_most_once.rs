//! A non-idempotent request runs at most once, whatever fails meanwhile, and a
//! request that was refused did not run.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use cardamomwinch_standin::prelude::*;
use support::last;
use support::network::{self, FaultyDeployment};
use support::requests::RequestLoad;

const CALLERS: usize = 6;
/// Answers of each service that are waited for between two faults.
const PROGRESS: usize = 30;
const SEARCH: &str = "benchmark-desk";
const ARCHIVE: &str = "docvault";

async fn start(executor: &TaskExecutor) -> (FaultyDeployment, RequestLoad) {
    let faulty = FaultyDeployment::start(network::small_plan()).await;
    faulty.make_network_poor().await;
    let load = RequestLoad::start(executor, &faulty.deployment, CALLERS);
    load.wait_for_answers(PROGRESS).await;
    (faulty, load)
}

async fn finish(faulty: &FaultyDeployment, load: RequestLoad) {
    load.wait_for_answers(PROGRESS).await;
    let finished = load.finish().await;
    finished.check(faulty).await;
}

/// A filing is sent again and again through other hosts, and the fabric
/// doubles and loses its datagrams. The host that decides about its server
/// dies after sending it there; another takes over, and dies as well. Whoever
/// takes over knows nothing of what the dead host sent, and must not run the
/// copies that still arrive.
#[test]
fn a_request_runs_once_although_its_home_host_is_killed_twice() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for service in [SEARCH, ARCHIVE] {
            let home = faulty.home_of_service(service).await;
            faulty.process(&home).kill().unwrap();
            load.wait_for_answers(PROGRESS).await;
            faulty.remove_host(&home).await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// The home host of a server is paused for three seconds and another host
/// takes over. The paused one wakes, still believing that it is the home, with
/// copies of requests waiting in its sockets that the other host has run since.
#[test]
fn a_request_runs_once_although_its_home_host_is_paused_and_wakes_late() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for service in [SEARCH, ARCHIVE, SEARCH] {
            let home = faulty.home_of_service(service).await;
            faulty.process(&home).pause().unwrap();
            last(3000).await;
            faulty.process(&home).resume().unwrap();
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// Two home hosts are stopped gracefully and replaced, one after the other,
/// while requests run. Each hands its records to a successor. A request whose copies arrive
/// during the hand-over could run at both.
#[test]
fn a_request_runs_once_although_its_home_host_stops() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for (index, service) in [(10, SEARCH), (11, ARCHIVE)] {
            let home = faulty.home_of_service(service).await;
            faulty.stop_hosts(std::slice::from_ref(&home)).await;
            let domains = &faulty.deployment.plan.domains;
            let domain = domains.iter().position(|plan| home.starts_with(plan.name));
            faulty.add_host(domain.unwrap(), index).await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// A failure domain is cut off from the others, heals, and is cut off again,
/// while the fabric goes on handing copies of the same request to both sides.
/// If both sides decided about one server, the request could run on each.
#[test]
fn a_request_runs_once_although_a_domain_is_cut_off_twice() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for domain in ["bud-angyal", "bud-csepel"] {
            faulty.cut_domain(domain).await;
            last(3000).await;
            load.wait_for_answers(PROGRESS).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// A home host can send but hears no other host, then hears them but cannot
/// send. It goes on deciding until its lease is over, while the others elect a
/// new home; a request could reach the server from both.
#[test]
fn a_request_runs_once_although_its_home_host_is_cut_off_one_way() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        let all = faulty.hosts(None);
        for service in [SEARCH, ARCHIVE] {
            let home = vec![faulty.home_of_service(service).await];
            faulty.cut(&all, &home).await;
            last(2500).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
            faulty.cut(&home, &all).await;
            last(2500).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}
