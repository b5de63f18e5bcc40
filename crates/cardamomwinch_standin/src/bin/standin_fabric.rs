//! Runs the fabric stand-in until it is stopped.

use std::future;
use std::process;

use cardamomwinch_standin::command::{self, OptionHelp};
use cardamomwinch_standin::prelude::*;
use serde_json::json;

const OPTIONS: &[OptionHelp] = &[
    OptionHelp {
        name: "callers",
        help: "UDP address for callers (127.0.0.1:0)",
    },
    OptionHelp {
        name: "returns",
        help: "UDP address for backend servers (127.0.0.1:0)",
    },
    OptionHelp {
        name: "control",
        help: "HTTP control listener (127.0.0.1:0)",
    },
    OptionHelp {
        name: "hosts",
        help: "traffic addresses of the entry hosts, separated by commas",
    },
    OptionHelp {
        name: "spray",
        help: "random or rotate (random)",
    },
    OptionHelp {
        name: "seed",
        help: "seed of all random choices (1)",
    },
];

fn main() -> process::ExitCode {
    command::run(async |executor: TaskExecutor| {
        let options = command::parse(OPTIONS)?;
        let plain = FabricSettings::default();
        let settings = FabricSettings {
            callers: options.get("callers", plain.callers)?,
            returns: options.get("returns", plain.returns)?,
            control: options.get("control", plain.control)?,
            spray: options.get("spray", plain.spray)?,
            seed: options.get("seed", plain.seed)?,
            hosts: options.list("hosts")?,
        };
        let fabric = FabricStandin::start(&executor, settings).await?;
        command::print(&json!({
            "ready": true,
            "callers": fabric.caller_address,
            "returns": fabric.return_address,
            "control": fabric.control_address,
        }));
        future::pending().await
    })
}
