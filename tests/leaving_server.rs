//! A draining backend server gets no new flow from a few seconds after its phase was
//! published, and keeps the flows that it has.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;

use cardamomwinch_standin::prelude::*;
use serde_json::{Value, json};
use support::network::{self, FaultyDeployment};
use support::sessions::SessionSet;
use support::{LIMIT, pause};

const SEARCH: &str = "benchmark-desk";
const SESSIONS: usize = 3;
const NEW_FLOWS: usize = 60;
const PROGRESS: u64 = 5;

async fn report(address: net::SocketAddr) -> Value {
    let reply = http::request(address, "GET", "/runs", "").await;
    reply.unwrap().json().unwrap()
}

async fn open_flows(executor: &TaskExecutor, faulty: &FaultyDeployment) -> Vec<CallerClient> {
    let fabric = faulty.deployment.fabric_address("callers").unwrap();
    let service = faulty.deployment.plan.services[0].address;
    let mut clients = Vec::new();
    for index in 0..NEW_FLOWS {
        let mut settings = CallerSettings::new(fabric, service);
        settings.echoes_token = index % 2 == 0;
        // While no home host is known after the pause, the opening is refused and
        // the caller retries with another flow.
        let client = support::eventually("a flow to open", async || {
            let client = CallerClient::bind(executor, settings).await.unwrap();
            let opened = client.open(b"", LIMIT).await.unwrap();
            (opened == OpenOutcome::Opened).then_some(client)
        });
        clients.push(client.await);
    }
    clients
}

/// Guards against a host with an old server list that opens flows on a draining
/// server. A search server is published as draining while one host is paused and
/// another is cut off from the platform; the paused host resumes with the old list.
/// After a few seconds no host opens a flow on the server, and its sessions go on.
#[test]
fn a_draining_server_gets_no_new_flow_and_keeps_its_sessions() {
    support::run(async |executor| {
        let mut plan = network::small_plan();
        for service in &mut plan.services {
            service.options = vec!["--notice-ms".to_owned(), "100".to_owned()];
        }
        let mut faulty = FaultyDeployment::start(plan).await;
        let sessions = SessionSet::open(executor, &faulty.deployment, SESSIONS).await;
        sessions.wait_for_progress(PROGRESS).await;
        let server = sessions.sessions[0].server.clone();
        let mut backends = faulty.deployment.backends.iter_mut();
        let leaving = backends.find(|backend| backend.name == server).unwrap();
        let address = leaving.address;
        leaving.definition = json!({"phase": "draining"});
        let paused = faulty.home_of_service(SEARCH).await;
        faulty.process(&paused).pause().unwrap();
        faulty.deployment.publish_team(SEARCH).await.unwrap();
        let version = faulty.deployment.publish_root().await.unwrap();
        pause(3000).await;
        faulty.process(&paused).resume().unwrap();
        faulty.wait_for_version(version).await;
        // Lets openings arrive that were in flight when the hosts received the change.
        pause(1000).await;
        let before = report(address).await["open_flows"].as_u64().unwrap();
        assert!(before > 0);
        let clients = open_flows(executor, &faulty).await;
        let after = report(address).await["open_flows"].as_u64().unwrap();
        assert!(after <= before, "{before} flows became {after}");
        sessions.wait_for_progress(PROGRESS).await;
        sessions.finish().await;
        drop(clients);
    });
}
