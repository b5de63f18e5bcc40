//! The administration API of running hosts, called by `cardamomwinchctl`.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;
use std::process;

use cardamomwinch_standin::faults::CutMode;
use cardamomwinch_standin::prelude::*;
use serde_json::Value;
use support::network::{self, FaultyDeployment};
use support::sessions::SessionSet;
use support::{LIMIT, pause};

const SESSIONS: usize = 1;
const SEARCH: &str = "benchmark-desk";

/// The exit code and the output of the command.
struct CommandOutput {
    code: Option<i32>,
    text: String,
}

impl CommandOutput {
    /// Runs the command against `admin`; it must succeed.
    fn of(admin: net::SocketAddr, arguments: &[&str]) -> Self {
        let output = Self::run(admin, arguments);
        assert_eq!(output.code, Some(0), "{arguments:?}: {}", output.text);
        output
    }

    fn run(admin: net::SocketAddr, arguments: &[&str]) -> Self {
        let programs = ProgramDirectory::of_this_build().unwrap();
        let mut command = process::Command::new(programs.program("cardamomwinchctl"));
        command.args(["--admin", &admin.to_string(), "--timeout-ms", "30000"]);
        let output = command.args(arguments).output().unwrap();
        Self {
            code: output.status.code(),
            text: String::from_utf8(output.stdout).unwrap(),
        }
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

async fn status_of(admin: net::SocketAddr, path: &str) -> u16 {
    let reply = http::request(admin, "GET", path, "").await;
    reply.unwrap().status
}

/// The command prints the status of a host, its members, backend servers and flows,
/// and where a flow would go. The output agrees with the published configuration and
/// with the server that actually answered.
#[test]
fn the_command_shows_what_a_host_knows() {
    support::run(async |executor| {
        let faulty = FaultyDeployment::start(network::small_plan()).await;
        let sessions = SessionSet::open(executor, &faulty.deployment, SESSIONS).await;
        let host = &faulty.deployment.hosts[0];
        let admin = host.address("admin_address").unwrap();
        let status = CommandOutput::of(admin, &["--json", "status"]).json();
        assert_eq!(status["host"], host.name.as_str());
        assert_eq!(status["preset"], "ordinary");
        assert_eq!(status["phase"], "serving");
        let text = CommandOutput::of(admin, &["status"]).text;
        assert!(
            text.contains(&host.name) && text.contains("ordinary"),
            "{text}"
        );
        let members = CommandOutput::of(admin, &["--json", "members"]).json();
        assert_eq!(members.as_array().unwrap().len(), 6);
        let backends = CommandOutput::of(admin, &["--json", "backends"]).json();
        let backends = backends.as_array().unwrap();
        let search = backends.iter().filter(|held| held["service"] == SEARCH);
        assert_eq!((backends.len(), search.count()), (9, 6));
        check_flows(&faulty, &sessions);
        sessions.finish().await;
    });
}

/// Checks that some host lists each session, and that `explain` names the server that
/// answered it.
fn check_flows(faulty: &FaultyDeployment, sessions: &SessionSet) {
    let mut listed = Vec::new();
    for host in &faulty.deployment.hosts {
        let admin = host.address("admin_address").unwrap();
        let flows = CommandOutput::of(admin, &["--json", "--limit", "1000", "flows"]).json();
        let flows = flows["flows"].as_array().unwrap().clone();
        listed.extend(flows.into_iter().map(|flow| (admin, flow)));
    }
    for session in &sessions.sessions {
        let flow = session.flow();
        let found = listed
            .iter()
            .find(|(_, listed)| listed["flow"] == flow.as_str());
        let (admin, listed) = found.unwrap();
        assert_eq!(listed["backend"], session.server.as_str());
        let explained = CommandOutput::of(*admin, &["--json", "explain", &flow]).json();
        assert_eq!(explained["backend"], session.server.as_str(), "{explained}");
    }
}

/// A host without a configuration is alive but not ready; it becomes ready once the
/// platform answers. After the command has asked it to stop while it waits for answers,
/// it is no longer ready, reports the phase `stopping`, and ends.
#[test]
fn a_host_is_ready_only_while_it_serves() {
    support::run(async |executor| {
        let mut plan = network::small_plan();
        plan.services[0].options = vec!["--service-ms-mean".to_owned(), "2000".to_owned()];
        let mut faulty = FaultyDeployment::start(plan).await;
        let name = faulty.start_host_with_cut(0, 10, CutMode::Close).await;
        let admin = faulty.process(&name).address("admin_address").unwrap();
        assert_eq!(status_of(admin, "/healthz").await, 200);
        assert_ne!(status_of(admin, "/readyz").await, 200);
        faulty
            .cut_platform(std::slice::from_ref(&name), CutMode::None)
            .await;
        faulty.deployment.publish_hosts().await.unwrap();
        faulty.deployment.wait_until_ready(LIMIT).await.unwrap();
        assert_eq!(status_of(admin, "/healthz").await, 200);
        let metrics = http::request(admin, "GET", "/metrics", "").await.unwrap();
        let metrics = String::from_utf8(metrics.body.to_vec()).unwrap();
        assert!(metrics.contains("cardamomwinch_"), "{metrics}");

        let stopping = faulty.home_of_service(SEARCH).await;
        let admin = faulty.process(&stopping).address("admin_address").unwrap();
        let callers = keep_busy(executor, &faulty);
        support::eventually("a request in flight", async || {
            let status = faulty.call(&stopping, "status").await?;
            (status["pending_requests"].as_u64()? > 0).then_some(())
        })
        .await;
        let stopped = CommandOutput::of(admin, &["--json", "stop"]).json();
        assert_eq!(stopped["accepted"], true);
        support::eventually("the host to report that it is not ready", async || {
            let ready = http::request(admin, "GET", "/readyz", "").await.ok()?;
            (ready.status != 200).then_some(())
        })
        .await;
        let status = CommandOutput::of(admin, &["--json", "status"]).json();
        assert_eq!(status["phase"], "stopping");
        let again = CommandOutput::run(admin, &["--json", "stop"]);
        assert_eq!(again.code, Some(4));
        assert_eq!(again.json()["accepted"], false);
        faulty.wait_until_stopped(&[stopping]).await;
        drop(callers);
    });
}

/// Starts callers that send one request after another until the tasks are dropped.
fn keep_busy(executor: &TaskExecutor, faulty: &FaultyDeployment) -> Vec<async_executor::Task<()>> {
    let fabric = faulty.deployment.fabric_address("callers").unwrap();
    let service = faulty.deployment.plan.services[0].address;
    let tasks = (0..24).map(|_| {
        let executor_of_caller = executor.clone();
        executor.spawn(async move {
            let settings = CallerSettings::new(fabric, service);
            let client = CallerClient::bind(&executor_of_caller, settings)
                .await
                .unwrap();
            loop {
                client.open(b"", LIMIT).await.unwrap();
                let deadline = network::REQUEST_LIFETIME;
                drop(client.request(b"busy/", true, deadline).await.unwrap());
                pause(20).await;
            }
        })
    });
    tasks.collect()
}
