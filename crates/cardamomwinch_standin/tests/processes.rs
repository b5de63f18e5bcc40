//! The stand-in programs as real processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use support::{Forwarder, TIMEOUT};

#[test]
fn a_whole_path_of_processes_answers_every_request() {
    support::run(async |executor| {
        let fabric =
            ChildProcess::start(env!("CARGO_BIN_EXE_standin-fabric"), ["--spray", "rotate"]);
        let fabric = fabric.unwrap();
        let returns = fabric.address("returns").unwrap().to_string();
        let arguments = ["--fabric", &returns, "--slots", "8", "--queue", "8"];
        let backend =
            ChildProcess::start(env!("CARGO_BIN_EXE_standin-backend"), arguments).unwrap();
        let address = backend.address("address").unwrap();
        let hosts = [
            Forwarder::start(&executor, address).await,
            Forwarder::start(&executor, address).await,
        ];
        let addresses = serde_json::to_vec(&hosts.each_ref().map(|host| host.address)).unwrap();
        let control = fabric.address("control").unwrap();
        let set = http::request(control, "PUT", "/v1/hosts", addresses).await;
        assert_eq!(set.unwrap().status, 204);
        let callers = fabric.address("callers").unwrap().to_string();
        let arguments = ["--fabric", &callers, "--sessions", "3", "--requests", "4"];
        let arguments = arguments.into_iter().chain(["--resend-ms", "20000"]);
        let caller = ChildProcess::start(env!("CARGO_BIN_EXE_standin-caller"), arguments);
        let mut caller = caller.unwrap();
        // Waiting blocks its thread, and this thread runs the forwarders.
        let (sender, ended) = async_channel::bounded(1);
        std::thread::spawn(move || {
            let line = caller.next_line(TIMEOUT);
            let status = caller.wait(TIMEOUT).unwrap();
            sender.send_blocking((line, status)).unwrap();
        });
        let (line, status) = ended.recv().await.unwrap();
        assert!(status.unwrap().success());
        let summary: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        assert_eq!(summary["opened"], 3);
        assert_eq!(summary["answered"], 12);
        let runs = http::request(address, "GET", "/runs", "").await.unwrap();
        assert_eq!(runs.json().unwrap()["total"], 12);
    });
}

#[test]
fn a_paused_process_does_not_answer_until_it_is_resumed() {
    support::run(async |_| {
        let arguments: [&str; 0] = [];
        let platform = ChildProcess::start(env!("CARGO_BIN_EXE_standin-platform"), arguments);
        let mut platform = platform.unwrap();
        let public = platform.address("public").unwrap();
        platform.pause().unwrap();
        let mut read = Box::pin(http::request(public, "GET", "/v1/keys/root", ""));
        let limit = time::Instant::now() + time::Duration::from_millis(200);
        assert!(runtime::until(limit, &mut read).await.is_none());
        platform.resume().unwrap();
        assert_eq!(read.await.unwrap().status, 404);
        platform.terminate().unwrap();
        assert!(platform.wait(TIMEOUT).unwrap().is_some());
        assert!(matches!(platform.terminate(), Err(StandinError::Ended)));
    });
}

#[test]
fn a_proxy_process_forwards_to_another_process() {
    support::run(async |_| {
        let arguments: [&str; 0] = [];
        let platform = ChildProcess::start(env!("CARGO_BIN_EXE_standin-platform"), arguments);
        let platform = platform.unwrap();
        let to = platform.address("public").unwrap().to_string();
        let arguments = ["--to", to.as_str()];
        let proxy = ChildProcess::start(env!("CARGO_BIN_EXE_standin-proxy"), arguments).unwrap();
        let listen = proxy.address("address").unwrap();
        let reply = http::request(listen, "POST", "/v1/keys/root", "").await;
        assert_eq!(reply.unwrap().status, 405);
    });
}
