//! A non-idempotent request runs at most once whatever fails meanwhile, and a
//! refused request doesn't run.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use cardamomwinch_standin::prelude::*;
use support::network::{self, FaultyDeployment};
use support::pause;
use support::requests::RequestLoad;

const CALLERS: usize = 6;
/// Answers of each service that a test waits for between two faults.
const PROGRESS: usize = 30;
const SEARCH: &str = "benchmark-desk";
const ARCHIVE: &str = "docvault";

async fn start(executor: &TaskExecutor) -> (FaultyDeployment, RequestLoad) {
    let faulty = FaultyDeployment::start(network::small_plan()).await;
    faulty.make_network_unreliable().await;
    let load = RequestLoad::start(executor, &faulty.deployment, CALLERS);
    load.wait_for_answers(PROGRESS).await;
    (faulty, load)
}

async fn finish(faulty: &FaultyDeployment, load: RequestLoad) {
    load.wait_for_answers(PROGRESS).await;
    let finished = load.finish().await;
    finished.check(faulty).await;
}

/// Guards against a second run by a successor of a dead home host. A request is resent
/// through other hosts, and the fabric duplicates and loses its datagrams. The home
/// host is killed after it sent the request to the server; its successor is killed as
/// well. A successor doesn't know what the dead host sent, and must not run the copies
/// that still arrive.
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

/// Guards against a second run by a paused home host. The home host of a server is
/// paused for three seconds and another host takes over. The paused host resumes and
/// still considers itself the home, while its sockets hold copies of requests that the
/// other host has run since.
#[test]
fn a_request_runs_once_although_its_home_host_is_paused_and_resumes_late() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for service in [SEARCH, ARCHIVE, SEARCH] {
            let home = faulty.home_of_service(service).await;
            faulty.process(&home).pause().unwrap();
            pause(3000).await;
            faulty.process(&home).resume().unwrap();
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// Guards against a second run during a hand-over. Two home hosts are stopped
/// gracefully and replaced, one after the other, while requests run. Each hands its
/// records over to a successor; both could run a request whose copies arrive meanwhile.
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

/// Guards against a second run during a network partition. One failure domain after
/// another is cut off for a while, and the fabric continues to deliver copies of the
/// same request to both sides. If both sides decided about one server, the request
/// could run twice.
#[test]
fn a_request_runs_once_although_a_domain_is_cut_off_twice() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        for domain in ["bud-angyal", "bud-csepel"] {
            faulty.cut_domain(domain).await;
            pause(3000).await;
            load.wait_for_answers(PROGRESS).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}

/// Guards against a second run during a one-way partition. A home host can send to
/// other hosts but receives nothing from them, and later the other way round. It
/// decides until its lease expires, while the others elect a new home; a request could
/// reach the server from both.
#[test]
fn a_request_runs_once_although_its_home_host_is_cut_off_one_way() {
    support::run(async |executor| {
        let (mut faulty, load) = start(executor).await;
        let all = faulty.hosts(None);
        for service in [SEARCH, ARCHIVE] {
            let home = vec![faulty.home_of_service(service).await];
            faulty.cut(&all, &home).await;
            pause(2500).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
            faulty.cut(&home, &all).await;
            pause(2500).await;
            faulty.heal().await;
            load.wait_for_answers(PROGRESS).await;
        }
        finish(&faulty, load).await;
    });
}
