//! The bytes that leases cost, and the time that a stop takes, with nine hosts.
#![allow(clippy::unwrap_used, missing_docs)]

mod homes_common;

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_state::prelude::*;
use homes_common::SimulatedNetwork;

const NINE: &[(&str, &str)] = &[
    ("bud-angyal-1", "bud-angyal"),
    ("bud-angyal-2", "bud-angyal"),
    ("bud-angyal-3", "bud-angyal"),
    ("bud-csepel-1", "bud-csepel"),
    ("bud-csepel-2", "bud-csepel"),
    ("bud-csepel-3", "bud-csepel"),
    ("bud-budaors-1", "bud-budaors"),
    ("bud-budaors-2", "bud-budaors"),
    ("bud-budaors-3", "bud-budaors"),
];
const SHARDS: u16 = 32;
/// Bytes per second that a host may send for leases, headers included.
const BUDGET: usize = 700;

fn with_all_homes(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(seed, NINE, SHARDS);
    let all: Vec<usize> = (0..NINE.len()).collect();
    network.publish(&all, &[]);
    for host in all {
        network.start(host, 1);
    }
    network.advance(10_000_000);
    for (_, domain) in NINE {
        assert!(network.all_held(DomainId::from_name(domain), SHARDS));
    }
    network
}

/// Guards against lease messages that take bandwidth from the traffic of callers,
/// which may share a slow link with them. Without faults, every host stays within
/// the budget.
#[test]
fn leases_cost_no_more_than_their_budget() {
    let mut network = with_all_homes(1);
    network.counting = true;
    let seconds = 60;
    network.advance(seconds as u64 * 1_000_000);
    let mut most = 0;
    for host in &network.hosts {
        let (messages, bytes) = host.sent["homes"];
        println!(
            "{}: {:.1} messages/s, {} B/s for homes",
            host.name,
            messages as f64 / seconds as f64,
            bytes / seconds
        );
        most = most.max(bytes / seconds);
    }
    assert!(most <= BUDGET, "{most} B/s");
}

/// Guards against lost records when a host is replaced. A host stops gracefully: it
/// hands over each of its shards with the records, then its process exits. The
/// replacement that starts later gets the shards back in the same way.
#[test]
fn a_stop_hands_over_every_shard_and_a_start_gets_them_back() {
    for seed in 0..10 {
        let mut network = with_all_homes(seed);
        let domain = DomainId::from_name("bud-angyal");
        let shards: Vec<ShardId> = (0..SHARDS).map(|index| ShardId { domain, index }).collect();
        let held: Vec<ShardId> = shards
            .iter()
            .copied()
            .filter(|shard| network.holders(*shard) == [0])
            .collect();
        assert!(!held.is_empty());
        let since = |network: &SimulatedNetwork, host: usize, shard: ShardId| {
            let snapshot = network.hosts[host].engine.as_ref().unwrap().snapshot();
            snapshot
                .lease_at(shard, network.local(host))
                .unwrap()
                .records_since
        };
        let before: Vec<Timestamp> = held
            .iter()
            .map(|shard| since(&network, 0, *shard))
            .collect();
        let stopped = network.now;
        network.control(0, ControlEvent::Stop);
        let mut longest_gap = 0;
        let mut gaps = vec![0_u64; shards.len()];
        while !network.hosts[0].drained {
            network.advance(1_000);
            for (gap, shard) in gaps.iter_mut().zip(&shards) {
                *gap = if network.holders(*shard).is_empty() {
                    *gap + 1
                } else {
                    0
                };
                longest_gap = longest_gap.max(*gap);
            }
            assert!(
                network.now < stopped + 10_000_000,
                "seed {seed}: not drained in time"
            );
        }
        let took = (network.now - stopped) / 1_000;
        network.crash(0);
        network.advance(500_000);
        for (shard, since_before) in held.iter().zip(before) {
            let holders = network.holders(*shard);
            assert_eq!(holders.len(), 1, "seed {seed}: {shard}");
            let since = since(&network, holders[0], *shard);
            assert_eq!(since, since_before, "seed {seed}: {shard} lost its records");
        }
        println!(
            "seed {seed}: {} shards handed over in {took} ms, longest without a home {longest_gap} ms",
            held.len()
        );
        network.start(0, 1);
        network.advance(10_000_000);
        for shard in held {
            assert_eq!(
                network.holders(shard),
                [0],
                "seed {seed}: {shard} was not handed back"
            );
        }
    }
}
