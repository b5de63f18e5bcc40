//! Runs one or more backend server stand-ins until it is stopped.

use std::future;
use std::net;
use std::process;
use std::time;

use cardamomwinch_standin::command::{self, GivenOptions, OptionHelp};
use cardamomwinch_standin::prelude::*;
use serde_json::json;

const OPTIONS: &[OptionHelp] = &[
    OptionHelp {
        name: "service",
        help: "public address of the service (127.0.0.1:80)",
    },
    OptionHelp {
        name: "fabric",
        help: "UDP address for replies; required",
    },
    OptionHelp {
        name: "listen",
        help: "UDP and TCP address of a single server (127.0.0.1:0)",
    },
    OptionHelp {
        name: "count",
        help: "number of servers (1)",
    },
    OptionHelp {
        name: "name",
        help: "name, with a number if there are several (backend)",
    },
    OptionHelp {
        name: "slots",
        help: "requests that run at the same time (2)",
    },
    OptionHelp {
        name: "connections",
        help: "flows open at the same time (2000)",
    },
    OptionHelp {
        name: "queue",
        help: "requests that may wait for a slot (2)",
    },
    OptionHelp {
        name: "service-ms-mean",
        help: "mean service time in milliseconds (5)",
    },
    OptionHelp {
        name: "heavy-tail",
        help: "whether service times vary widely (false)",
    },
    OptionHelp {
        name: "cold-start-ms",
        help: "how long a server is slower after its start (0)",
    },
    OptionHelp {
        name: "notice-ms",
        help: "time between notices, 0 for none (0)",
    },
    OptionHelp {
        name: "parts",
        help: "parts of each answer (1)",
    },
    OptionHelp {
        name: "load",
        help: "load endpoint: truth, lag or lie (truth)",
    },
    OptionHelp {
        name: "seed",
        help: "seed of the service times (1)",
    },
];

fn main() -> process::ExitCode {
    command::run(async |executor: TaskExecutor| {
        let options = command::parse(OPTIONS)?;
        let count = options.get("count", 1_usize)?;
        let mut servers = Vec::new();
        for index in 0..count {
            let mut settings = settings(&options)?;
            if count > 1 {
                settings.name = format!("{}-{index}", settings.name);
                settings.listen.set_port(0);
                settings.seed = settings.seed.wrapping_add(index as u64);
            }
            let name = settings.name.clone();
            servers.push((name, BackendStandin::start(&executor, settings).await?));
        }
        let backends: Vec<_> = servers
            .iter()
            .map(|(name, server)| json!({"name": name, "address": server.address}))
            .collect();
        let first = servers.first().map(|(_, server)| server.address);
        command::print(&json!({"ready": true, "address": first, "backends": backends}));
        future::pending().await
    })
}

fn settings(options: &GivenOptions) -> Result<BackendSettings, StandinError> {
    let none = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let http = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 80));
    let fabric = options.get("fabric", none)?;
    let plain = BackendSettings::new(options.get("service", http)?, fabric);
    Ok(BackendSettings {
        listen: options.get("listen", plain.listen)?,
        name: options.get("name", plain.name)?,
        slots: options.get("slots", plain.slots)?,
        connections: options.get("connections", plain.connections)?,
        queue_limit: options.get("queue", plain.queue_limit)?,
        service_time: millis(options, "service-ms-mean", plain.service_time)?,
        heavy_tail: options.get("heavy-tail", plain.heavy_tail)?,
        cold_start: millis(options, "cold-start-ms", plain.cold_start)?,
        notice_interval: millis(options, "notice-ms", plain.notice_interval)?,
        parts: options.get("parts", plain.parts)?,
        health: options.get("load", plain.health)?,
        seed: options.get("seed", plain.seed)?,
        ..plain
    })
}

fn millis(
    options: &GivenOptions,
    name: &'static str,
    default: time::Duration,
) -> Result<time::Duration, StandinError> {
    let plain = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
    options.get(name, plain).map(time::Duration::from_millis)
}
