//! Runs the platform stand-in until it is stopped.

use std::future;
use std::net;
use std::process;

use cardamomwinch_standin::command::{self, OptionHelp};
use cardamomwinch_standin::prelude::*;
use serde_json::json;

const OPTIONS: &[OptionHelp] = &[
    OptionHelp {
        name: "public",
        help: "read-only listener (127.0.0.1:0)",
    },
    OptionHelp {
        name: "operator",
        help: "listener for tests (127.0.0.1:0)",
    },
];

fn main() -> process::ExitCode {
    command::run(async |executor: TaskExecutor| {
        let options = command::parse(OPTIONS)?;
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let settings = PlatformSettings {
            public: options.get("public", any)?,
            operator: options.get("operator", any)?,
        };
        let platform = PlatformStandin::start(&executor, settings).await?;
        command::print(&json!({
            "ready": true,
            "public": platform.public_address,
            "operator": platform.operator_address,
        }));
        future::pending().await
    })
}
