//! Runs fault-injecting proxies until it is stopped.

use std::future;
use std::net;
use std::process;

use cardamomwinch_standin::command::{self, OptionHelp};
use cardamomwinch_standin::prelude::*;
use serde_json::json;

const OPTIONS: &[OptionHelp] = &[
    OptionHelp {
        name: "listen",
        help: "address of a single proxy (127.0.0.1:0)",
    },
    OptionHelp {
        name: "to",
        help: "where the single proxy forwards to",
    },
    OptionHelp {
        name: "pairs",
        help: "proxies as LISTEN=TO, separated by commas",
    },
    OptionHelp {
        name: "control",
        help: "HTTP control listener (127.0.0.1:0)",
    },
    OptionHelp {
        name: "seed",
        help: "seed of all random choices (1)",
    },
];

fn main() -> process::ExitCode {
    command::run(async |executor: TaskExecutor| {
        let options = command::parse(OPTIONS)?;
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let control = options.get("control", any)?;
        let proxies = ProxyStandin::start(&executor, control, options.get("seed", 1)?).await?;
        let mut pairs: Vec<ProxyPair> = options.list("pairs")?;
        let listen = options.get("listen", any)?;
        let single = options
            .list("to")?
            .into_iter()
            .map(|to| ProxyPair { listen, to });
        pairs.extend(single);
        let mut bound = Vec::new();
        for pair in pairs {
            bound.push(proxies.add(pair).await?);
        }
        command::print(&json!({
            "ready": true,
            "control": proxies.control_address,
            "address": bound.first().map(|pair| pair.listen),
            "proxies": bound,
        }));
        future::pending().await
    })
}
