//! What the seeded plays consist of.

use rand::Rng;

use super::{LinkFaults, MILLIS, PlayPlan};

fn base_plan() -> PlayPlan {
    PlayPlan {
        hosts: vec![
            ("a0", "a"),
            ("a1", "a"),
            ("b0", "b"),
            ("b1", "b"),
            ("c0", "c"),
            ("c1", "c"),
            ("a10", "a"),
            ("b10", "b"),
        ],
        listed: 6,
        servers: vec!["a", "b", "c", "a", "b", "c"],
        slots: 2,
        server_queue: 2,
        connections: 2_000,
        shards: 4,
        lifetime_millis: 3_000,
        lease_millis: 1_000,
        callers: 8,
        pending: 1,
        opening_requests: 0.3,
        replaces_hosts: false,
        preempted: 0.0,
        fabric: LinkFaults {
            loss: 0.05,
            doubled: 0.1,
            reordered: 0.1,
            delay: MILLIS,
            held: 0.01,
            long_delay: 1_500 * MILLIS,
        },
        between_hosts: LinkFaults {
            loss: 0.02,
            doubled: 0.1,
            reordered: 0.05,
            delay: MILLIS,
            held: 0.005,
            long_delay: 1_000 * MILLIS,
        },
        to_servers: LinkFaults {
            loss: 0.02,
            doubled: 0.0,
            reordered: 0.05,
            delay: MILLIS,
            held: 0.01,
            long_delay: 1_000 * MILLIS,
        },
        service_time: 5 * MILLIS,
    }
}

/// Draws the shape of a play: its load, its faults and the sizes of tables. Flows may be
/// opened with a request, and servers may hold few flows.
pub fn with_openings(rng: &mut impl Rng) -> PlayPlan {
    let mut plan = base_plan();
    plan.callers = rng.random_range(4..=16);
    plan.pending = rng.random_range(1..=4);
    plan.slots = rng.random_range(1..=2);
    plan.server_queue = rng.random_range(0..=2);
    plan.service_time = rng.random_range(2..=60) * MILLIS;
    plan.shards = [1, 2, 4, 32][rng.random_range(0..4)];
    plan.connections = [3, 8, 2_000, 2_000][rng.random_range(0..4)];
    let scale = [0.0, 1.0, 1.0, 3.0][rng.random_range(0..4)];
    for faults in [
        &mut plan.fabric,
        &mut plan.between_hosts,
        &mut plan.to_servers,
    ] {
        faults.loss *= scale;
        faults.doubled *= scale;
        faults.reordered *= scale;
        faults.held *= scale;
    }
    plan
}

/// The same shape without requests in openings; each server holds any number of flows.
pub fn without_openings(rng: &mut impl Rng) -> PlayPlan {
    PlayPlan {
        opening_requests: 0.0,
        connections: 2_000,
        ..with_openings(rng)
    }
}

/// Established flows while hosts are replaced by others, which changes the published list.
pub fn with_replaced_hosts(rng: &mut impl Rng) -> PlayPlan {
    PlayPlan {
        replaces_hosts: true,
        ..without_openings(rng)
    }
}

/// The same, while the processor is taken from control threads.
pub fn with_preempted_threads(rng: &mut impl Rng) -> PlayPlan {
    PlayPlan {
        preempted: 0.05,
        ..with_replaced_hosts(rng)
    }
}
