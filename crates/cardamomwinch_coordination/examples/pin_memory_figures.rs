//! Prints the memory that a pinned flow takes: the size of an entry, and the growth of
//! the resident memory of the process per flow.

#![allow(missing_docs, clippy::print_stdout)]

use std::fs;
use std::net;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_coordination::traffic::pins::{FlowPin, PinRole};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

const SIZES: [usize; 3] = [10_000, 100_000, 500_000];

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or_default() * 4096
}

fn main() {
    println!("entry: {} bytes", size_of::<(FlowKey, FlowPin)>());
    let hasher = FlowHasher::new(1);
    let address = net::SocketAddr::from(([10, 2, 0, 1], 7000));
    let pin = FlowPin {
        claim: TokenClaim {
            backend: BackendId::new(1),
            domain: DomainId::from_name("a"),
            address,
        },
        shard: ShardId {
            domain: DomainId::from_name("a"),
            index: 1,
        },
        role: PinRole::Placed,
        disputed: false,
        since: Timestamp::new(1),
        last_seen: Timestamp::new(1),
        counted: true,
        announced: ConfigurationVersion::ZERO,
        echoes_token: true,
    };
    println!("default bound: {} flows", TrafficBounds::default().flows);
    println!("| flows | resident bytes a flow |");
    println!("|---|---|");
    for size in SIZES {
        let before = resident_bytes();
        let mut table: FlowTable<FlowPin> = FlowTable::new(size);
        for number in 0..size as u32 {
            let caller = net::Ipv4Addr::from(0x0a00_0000 + number / 50_000);
            let key = FlowKey {
                caller: net::SocketAddr::from((caller, 1024 + (number % 50_000) as u16)),
                service: address,
            };
            let _held = table.insert(hasher.hash(&key), key, pin);
        }
        let grown = resident_bytes().saturating_sub(before);
        println!("| {} | {:.0} |", table.len(), grown as f64 / size as f64);
    }
}
