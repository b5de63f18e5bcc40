//! Checks the page about the administration API and the operators' command
//! against real processes.
#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path;
use std::process;
use std::time;

use cardamomwinch::protocol::codec;
use cardamomwinch_standin::prelude::*;
use serde_json::{Value, json};

const LIMIT: time::Duration = time::Duration::from_secs(120);
/// The hash of a flow selects its home; it is practically impossible that none of 60
/// flows belongs to one host of three.
const FLOW_ATTEMPTS: usize = 60;

fn run(main: impl AsyncFnOnce(&TaskExecutor)) {
    let executor = TaskExecutor::default();
    async_io::block_on(executor.run(main(&executor)));
}

async fn small_deployment(hosts_per_domain: usize) -> Deployment {
    let mut plan = DeploymentPlan::budapest(hosts_per_domain);
    plan.services[0].backends = 3;
    plan.services[1].backends = 3;
    let programs = ProgramDirectory::of_this_build().unwrap();
    let deployment = Deployment::start(plan, programs, LIMIT).await.unwrap();
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    deployment
}

/// Starts one host in each failure domain, publishes a fragment that is refused, and
/// opens a flow that echoes its token and whose home is the first host. So every list
/// of the API has entries on that host.
async fn deployment_with_flow(executor: &TaskExecutor) -> (Deployment, CallerClient) {
    let deployment = small_deployment(1).await;
    refuse_a_fragment(&deployment).await;
    deployment.wait_until_homes_agree(LIMIT).await.unwrap();
    wait_until_members_are_known(&deployment).await;
    let fabric = deployment.fabric_address("callers").unwrap();
    let service = deployment.plan.services[0].address;
    let settings = CallerSettings::new(fabric, service);
    for _ in 0..FLOW_ATTEMPTS {
        let client = CallerClient::bind(executor, settings).await.unwrap();
        assert_eq!(client.open(b"", LIMIT).await.unwrap(), OpenOutcome::Opened);
        let flows = deployment.call(0, "flows", json!({"limit": 100})).await;
        if flows.unwrap()["total"] != json!(0) {
            return (deployment, client);
        }
    }
    panic!("the first host holds none of {FLOW_ATTEMPTS} flows");
}

/// Waits until the first host has received a message from every other host.
async fn wait_until_members_are_known(deployment: &Deployment) {
    let limit = time::Instant::now() + LIMIT;
    loop {
        let members = deployment.call(0, "members", json!([])).await.unwrap();
        let members = members.as_array().unwrap();
        let received = members.iter().filter(|held| held["last_heard_ms"].is_u64());
        if received.count() == members.len() - 1 {
            return;
        }
        assert!(time::Instant::now() < limit, "{members:?}");
        async_io::Timer::after(time::Duration::from_millis(20)).await;
    }
}

/// Publishes a team whose fragment has an error, and waits until every host reports
/// it as refused.
async fn refuse_a_fragment(deployment: &Deployment) {
    let broken = r#"{"team": "archive", "services": {}, "colour": "red"}"#;
    let revision = deployment.put("teams/archive", broken).await.unwrap();
    let platform = deployment.platform_address;
    let held = http::request(platform, "GET", "/v1/keys/root", "").await;
    let held = held.unwrap().json().unwrap();
    let mut root: Value = serde_json::from_str(held["value"].as_str().unwrap()).unwrap();
    root["teams"]["archive"] = json!(revision);
    deployment.put("root", &root.to_string()).await.unwrap();
    let refused = |status: &Value| status["refused_fragments"] != json!([]);
    deployment.wait_for_status(LIMIT, refused).await.unwrap();
}

async fn post(deployment: &Deployment, body: &str) -> (u16, String) {
    let admin = deployment.hosts[0].address("admin_address").unwrap();
    let reply = http::request(admin, "POST", "/", body.to_owned()).await;
    let reply = reply.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    (reply.status, text)
}

fn hexadecimal(client: &CallerClient) -> String {
    let mut buffer = [0; 256];
    let token = codec::encode(&client.token().unwrap(), &mut buffer).unwrap();
    token.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn page() -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("docs/API.md")).unwrap()
}

/// The request and the response of each exchange on the page, in the order of the page.
fn exchanges() -> Vec<(String, Value)> {
    let page = page();
    let blocks: Vec<&str> = page
        .split("```json\n")
        .skip(1)
        .map(|rest| rest.split("```").next().unwrap())
        .collect();
    assert_eq!(blocks.len() % 2, 0, "a request or a response is missing");
    let pairs = blocks.chunks(2);
    pairs
        .map(|pair| {
            let response = serde_json::from_str(pair[1]);
            (pair[0].to_owned(), response.expect(pair[1]))
        })
        .collect()
}

/// The request of the page with the flow and the token of `client` inserted.
fn request_of_run(request: &str, client: &CallerClient) -> String {
    let Ok(mut request) = serde_json::from_str::<Value>(request) else {
        return request.to_owned();
    };
    let params = request.get_mut("params");
    let Some(params) = params.and_then(Value::as_object_mut) else {
        return request.to_string();
    };
    if params.get("flow").is_some_and(|flow| flow != "nonsense") {
        params.insert("flow".to_owned(), json!(client.flow().to_string()));
    }
    if params.get("token").is_some_and(|token| token != "zz") {
        params.insert("token".to_owned(), json!(hexadecimal(client)));
    }
    request.to_string()
}

/// The JSON types at each path. All entries of a list share one path.
type Shape = BTreeMap<String, BTreeSet<&'static str>>;

fn shape(value: &Value) -> Shape {
    let mut found = Shape::new();
    add_shape(value, "", &mut found);
    found
}

fn add_shape(value: &Value, path: &str, found: &mut Shape) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    found.entry(path.to_owned()).or_default().insert(kind);
    for entry in value.as_array().into_iter().flatten() {
        add_shape(entry, &format!("{path}[]"), found);
    }
    for (name, entry) in value.as_object().into_iter().flatten() {
        add_shape(entry, &format!("{path}.{name}"), found);
    }
}

/// Repeats every exchange of the page. Its response must have the fields and types of
/// the real one, and errors the same code and text.
#[test]
fn each_exchange_on_the_page_is_as_a_host_answers() {
    run(async |executor| {
        let (deployment, client) = deployment_with_flow(executor).await;
        let mut differing = String::new();
        let mut methods = BTreeSet::new();
        for (request, documented) in exchanges() {
            let request = request_of_run(&request, &client);
            let (status, text) = post(&deployment, &request).await;
            let real: Value = serde_json::from_str(&text).unwrap();
            assert_eq!(status, 200);
            if let Ok(request) = serde_json::from_str::<Value>(&request) {
                methods.insert(request["method"].as_str().unwrap_or_default().to_owned());
            }
            let same_error = documented["error"] == real["error"];
            if shape(&documented) != shape(&real) || !same_error {
                differing += &format!("{request}\n{text}\n");
            }
        }
        assert!(differing.is_empty(), "the page differs from:\n{differing}");
        for method in ["status", "members", "backends", "flows", "explain", "stop"] {
            assert!(methods.contains(method), "{method} is not on the page");
        }
    });
}

/// Responses to the other paths, to wrong methods and to oversized bodies are as on the
/// page.
#[test]
fn paths_and_refusals_are_as_the_page_says() {
    run(async |executor| {
        let (deployment, _client) = deployment_with_flow(executor).await;
        let admin = deployment.hosts[0].address("admin_address").unwrap();
        let page = page();
        let long = " ".repeat(64 * 1024 + 1);
        for (method, target, body, status, expected) in [
            ("GET", "/healthz", "", 200, "ok\n"),
            ("GET", "/readyz", "", 200, "ready\n"),
            ("GET", "/none", "", 404, "{\"error\":\"not_found\"}\n"),
            ("GET", "/", "", 405, "{\"error\":\"method_not_allowed\"}\n"),
            (
                "POST",
                "/metrics",
                "",
                405,
                "{\"error\":\"method_not_allowed\"}\n",
            ),
            (
                "POST",
                "/",
                long.as_str(),
                413,
                "{\"error\":\"oversized_body\"}\n",
            ),
        ] {
            let reply = http::request(admin, method, target, body.to_owned()).await;
            let reply = reply.unwrap();
            let text = String::from_utf8(reply.body.to_vec()).unwrap();
            assert_eq!((reply.status, text.as_str()), (status, expected));
            assert!(page.contains(expected.trim_end()), "{expected}");
            assert!(page.contains(&status.to_string()), "{status}");
        }
        let reply = http::request(admin, "GET", "/metrics", "").await.unwrap();
        let text = String::from_utf8(reply.body.to_vec()).unwrap();
        assert!(
            text.contains("cardamomwinch_platform_reads_total"),
            "{text}"
        );
    });
}

fn ctl(deployment: &Deployment, words: &[&str]) -> process::Output {
    let programs = ProgramDirectory::of_this_build().unwrap();
    let admin = deployment.hosts[0].address("admin_address").unwrap();
    process::Command::new(programs.program("cardamomwinchctl"))
        .args(words)
        .args(["--admin", &admin.to_string()])
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// The command prints the answer of the host as a table and as JSON.
#[test]
fn the_command_prints_each_method_as_table_and_as_json() {
    run(async |executor| {
        let (deployment, client) = deployment_with_flow(executor).await;
        let flow = client.flow().to_string();
        let token = hexadecimal(&client);
        let commands: [(&[&str], &str); 6] = [
            (&["status"], "phase             serving"),
            (&["members"], "REACHABILITY"),
            (&["backends"], "BACKEND SERVER"),
            (&["flows", "--limit", "5"], "flows"),
            (&["explain", &flow], "reason"),
            (
                &["explain", &flow, "--token", &token],
                "reason            token",
            ),
        ];
        for (words, expected) in commands {
            let table = ctl(&deployment, words);
            let printed = text(&table.stdout);
            assert_eq!(table.status.code(), Some(0), "{}", text(&table.stderr));
            assert!(printed.contains(expected), "{words:?}: {printed}");
            let output = ctl(&deployment, &[words, &["--json"]].concat());
            let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
            let method = json!({"jsonrpc": "2.0", "id": 1, "method": words[0], "params":
            match words.len() {
                1 => json!([]),
                2 => json!({"flow": flow}),
                3 => json!({"limit": 5}),
                _ => json!({"flow": flow, "token": token}),
            }});
            let (_, real) = post(&deployment, &method.to_string()).await;
            let real: Value = serde_json::from_str(&real).unwrap();
            assert_eq!(shape(&printed), shape(&real["result"]), "{words:?}");
        }
        let refused = ctl(&deployment, &["explain", &flow, "--token", "zz"]);
        assert_ne!(refused.status.code(), Some(0));
        let stopped = ctl(&deployment, &["stop"]);
        assert_eq!(text(&stopped.stdout), "the host stops\n");
        assert_eq!(stopped.status.code(), Some(0));
    });
}

async fn wait_until_stopping(deployment: &Deployment) {
    let limit = time::Instant::now() + LIMIT;
    loop {
        let status = deployment.call(0, "status", json!([])).await.unwrap();
        if status["phase"] == json!("stopping") {
            return;
        }
        assert!(time::Instant::now() < limit, "{status}");
        async_io::Timer::after(time::Duration::from_millis(20)).await;
    }
}

/// `stop` ends the process with exit code 0, and meanwhile `/readyz` answers 503. The
/// failure domain has two hosts, because its last host could hand its shards over to
/// no one.
#[test]
fn a_stop_by_the_command_ends_the_host_with_exit_code_0() {
    run(async |_| {
        let mut deployment = small_deployment(2).await;
        let admin = deployment.hosts[0].address("admin_address").unwrap();
        let output = ctl(&deployment, &["stop", "--json"]);
        let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(printed, json!({"accepted": true}));
        let limit = time::Instant::now() + LIMIT;
        wait_until_stopping(&deployment).await;
        let again = ctl(&deployment, &["stop"]);
        assert_eq!(again.status.code(), Some(4), "{}", text(&again.stdout));
        let mut unready = false;
        let status = loop {
            if let Some(status) = deployment.hosts[0].process.ended().unwrap() {
                break status;
            }
            let reply = http::request(admin, "GET", "/readyz", "").await;
            unready |= reply.is_ok_and(|reply| reply.status == 503);
            assert!(time::Instant::now() < limit, "the host does not end");
            async_io::Timer::after(time::Duration::from_millis(20)).await;
        };
        assert!(unready, "the host reported that it was ready until its end");
        assert_eq!(status.code(), Some(0));
    });
}
