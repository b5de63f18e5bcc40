//! Shares of servers in lookup tables, and how much a change moves.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net;

use cardamomwinch_coordination::routing::lookup_table::LookupTable;
use cardamomwinch_coordination::routing::table_fill::{PermutationFill, RendezvousFill};
use cardamomwinch_state::prelude::*;
use yare::parameterized;

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

fn table(servers: &[BackendEntry]) -> LookupTable {
    LookupTable::fill(servers.iter())
}

// A service can have thousands of servers. If a table had fewer positions than
// servers, some servers would never get a flow.
#[parameterized(one = { 1 }, today = { 14 }, many = { 3000 }, fleet = { 26_000 })]
fn every_server_gets_an_even_share(count: u32) {
    let shares = table(&servers(count)).shares();
    let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
    assert!(*least >= 32);
    assert!(most - least <= 1, "{least}..{most}");
}

#[test]
fn shares_follow_weights() {
    let mut entries = servers(14);
    entries[3].weight = Weight::new(300);
    entries[4].weight = Weight::ZERO;
    entries[5].phase = BackendPhase::Draining;
    let table = table(&entries);
    assert_eq!(table.servers().len(), 12);
    let shares = table.shares();
    let (heavy, light) = (shares[3] as f64, shares[0] as f64);
    assert!((heavy / light - 3.0).abs() < 0.05, "{heavy} to {light}");
}

// One weight is much larger than the others. Filling must still end soon, and
// every server must get a position.
#[test]
fn extreme_weights_are_filled() {
    let mut entries = servers(2000);
    entries[7].weight = Weight::MAX;
    let shares = table(&entries).shares();
    assert_eq!(shares.len(), 2000);
    assert!(shares[7] > shares.iter().sum::<usize>() / 2);
}

// The positions of a drained server move to the others. Of the other positions,
// only a small part may move, because flows without token on moved positions have
// to be searched for.
#[parameterized(today = { 14 }, many = { 100 })]
fn a_drain_moves_few_other_positions(count: u32) {
    let entries = servers(count);
    let mut drained = entries.clone();
    drained[2].phase = BackendPhase::Draining;
    let moved = table(&entries).moved_share(&table(&drained));
    let least = 1.0 / f64::from(count);
    assert!(moved >= least * 0.95, "{moved}");
    assert!(moved <= least + 0.06, "{moved}");
}

#[test]
fn both_fills_serve_the_same_servers() {
    let entries = servers(14);
    let rendezvous = LookupTable::fill_with::<RendezvousFill>(entries.iter());
    let permutation = LookupTable::fill_with::<PermutationFill>(entries.iter());
    assert_eq!(rendezvous.servers(), permutation.servers());
    assert!(rendezvous.shares().iter().all(|share| *share > 0));
}

#[test]
fn a_table_without_accepting_servers_selects_none() {
    let mut entries = servers(2);
    for entry in &mut entries {
        entry.phase = BackendPhase::Draining;
    }
    assert_eq!(table(&entries).select(FlowHash::new(7)), None);
}
