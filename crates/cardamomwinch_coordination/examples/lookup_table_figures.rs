//! Prints, for each algorithm that fills a lookup table and several numbers of servers,
//! how long the fill takes, how uneven the shares are, and how many positions a change
//! moves.

#![allow(missing_docs, clippy::print_stdout)]

use std::net;
use std::time;

use cardamomwinch_coordination::routing::lookup_table::LookupTable;
use cardamomwinch_coordination::routing::table_fill::{PermutationFill, RendezvousFill, TableFill};
use cardamomwinch_state::prelude::*;

fn servers(count: u32) -> Vec<BackendEntry> {
    let service = ServiceId::from_name("renewal");
    let entry = |number: u32| {
        let address = net::SocketAddr::from((net::Ipv4Addr::from(0x0a00_0000 + number), 7000));
        let name = format!("server-{number}");
        BackendEntry {
            id: BackendId::from_parts(service, &name, address),
            name,
            service,
            domain: DomainId::from_name("a"),
            address,
            slots: SlotCount::new(2),
            connections: ConnectionCount::new(2000),
            weight: Weight::new(100),
            phase: BackendPhase::Active,
        }
    };
    let mut entries: Vec<BackendEntry> = (0..count).map(entry).collect();
    entries.sort_by_key(|entry| entry.id);
    entries
}

fn line<F: TableFill>(name: &str, count: u32) {
    let entries = servers(count);
    let started = time::Instant::now();
    let table = LookupTable::fill_with::<F>(entries.iter());
    let taken = started.elapsed();
    let shares = table.shares();
    let mean = shares.iter().sum::<usize>() as f64 / shares.len() as f64;
    let most = shares.iter().max().copied().unwrap_or_default() as f64 / mean;
    let middle = entries.len() / 2;
    let mut drained = entries.clone();
    drained[middle].phase = BackendPhase::Draining;
    let removed = table.moved_share(&LookupTable::fill_with::<F>(drained.iter()));
    let mut reweighted = entries.clone();
    reweighted[middle].weight = Weight::new(50);
    let halved = table.moved_share(&LookupTable::fill_with::<F>(reweighted.iter()));
    println!(
        "| {name} | {count} | {} | {:.3} | {most:.3} | {:.3} | {:.3} | {:.3} |",
        shares.iter().sum::<usize>(),
        taken.as_secs_f64() * 1e3,
        removed * 100.0,
        100.0 / f64::from(count),
        halved * 100.0,
    );
}

fn main() {
    println!(
        "| fill | servers | positions | ms | max/mean share | moved % by one drain | least | moved % by halving one |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for count in [4, 14, 100, 1000] {
        line::<RendezvousFill>("rendezvous", count);
        line::<PermutationFill>("permutation", count);
    }
    line::<PermutationFill>("permutation", 26_000);
}
