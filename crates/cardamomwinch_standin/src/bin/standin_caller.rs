//! Runs sessions of requests and prints a summary as JSON.

use std::net;
use std::process;
use std::time;

use cardamomwinch_standin::command::{self, GivenOptions, OptionHelp};
use cardamomwinch_standin::load::{self, LoadSettings};
use cardamomwinch_standin::prelude::*;
use serde_json::json;

const OPTIONS: &[OptionHelp] = &[
    OptionHelp {
        name: "fabric",
        help: "UDP address of the fabric for callers; required",
    },
    OptionHelp {
        name: "service",
        help: "public address of the service (127.0.0.1:80)",
    },
    OptionHelp {
        name: "sessions",
        help: "concurrent sessions (10)",
    },
    OptionHelp {
        name: "requests",
        help: "requests of each session, one after another (10)",
    },
    OptionHelp {
        name: "deadline-ms",
        help: "how long each request may take (5000)",
    },
    OptionHelp {
        name: "pause-ms",
        help: "mean pause between requests (0)",
    },
    OptionHelp {
        name: "resend-ms",
        help: "time before the same datagram is sent again (200)",
    },
    OptionHelp {
        name: "attempts",
        help: "attempts at a request while it is answered \"not run\" (1)",
    },
    OptionHelp {
        name: "idempotent",
        help: "share of idempotent requests (0.5)",
    },
    OptionHelp {
        name: "echo",
        help: "whether tokens are echoed (true)",
    },
    OptionHelp {
        name: "listen-ms",
        help: "how long to listen for notices at the end (0)",
    },
    OptionHelp {
        name: "seed",
        help: "seed of all random choices (1)",
    },
];

fn main() -> process::ExitCode {
    command::run(async |executor: TaskExecutor| {
        let options = command::parse(OPTIONS)?;
        let settings = settings(&options)?;
        command::print(&json!({"ready": true, "sessions": settings.sessions}));
        let summary = load::run(&executor, settings).await?;
        command::print(&summary);
        Ok(())
    })
}

fn settings(options: &GivenOptions) -> Result<LoadSettings, StandinError> {
    let none = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let http = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 80));
    let mut caller =
        CallerSettings::new(options.get("fabric", none)?, options.get("service", http)?);
    caller.echoes_token = options.get("echo", true)?;
    caller.resend_interval = millis(options, "resend-ms", 200)?;
    Ok(LoadSettings {
        caller,
        sessions: options.get("sessions", 10)?,
        requests: options.get("requests", 10)?,
        deadline: millis(options, "deadline-ms", 5000)?,
        pause: millis(options, "pause-ms", 0)?,
        attempts: options.get("attempts", 1)?,
        idempotent: options.get("idempotent", 0.5)?,
        listen: millis(options, "listen-ms", 0)?,
        seed: options.get("seed", 1)?,
    })
}

fn millis(
    options: &GivenOptions,
    name: &'static str,
    default: u64,
) -> Result<time::Duration, StandinError> {
    options.get(name, default).map(time::Duration::from_millis)
}
