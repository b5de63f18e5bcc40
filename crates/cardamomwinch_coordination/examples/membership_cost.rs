//! Measures the messages and bytes of membership and how fast it detects a dead host,
//! for several sizes of the fleet and shares of lost messages, in simulated time:
//!
//! ```text
//! cargo run --release --example membership_cost -p cardamomwinch_coordination -- 9 100 400
//! ```
//!
//! The arguments are the numbers of hosts; without them, default sizes are measured.
//! Bytes are those of encoded messages with their authentication code and 28 bytes of
//! UDP and IP headers. The baseline of all-to-all heartbeats runs up to 100 hosts. With
//! `cuts` before the sizes, a failure domain is cut off for a minute instead.

#[path = "../tests/membership_network/mod.rs"]
mod membership_network;

use std::env;
use std::time;

use cardamomwinch_coordination::control::membership::{PeerMembership, Reachability};

use membership_network::heartbeats::HeartbeatPolicy;
use membership_network::policy::MembershipPolicy;
use membership_network::{Network, NetworkOptions};

/// The sizes that are measured by default.
const SIZES: [usize; 4] = [9, 100, 400, 3200];
/// The largest fleet for which the baseline is measured.
const MAX_BASELINE_HOSTS: usize = 100;
/// The longest time until all hosts of a fleet know each other.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(240);
/// The longest time until a dead host is detected.
const DETECTION_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// The longest time until both sides of a cut detect it or its end.
const CUT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const SEED: u64 = 1;

/// The duration and the number of crashes of a measurement, by the size of the fleet.
struct MeasurementPlan {
    steady: time::Duration,
    crashes: usize,
}

impl MeasurementPlan {
    fn new(hosts: usize) -> Self {
        let (seconds, crashes) = match hosts {
            0..=9 => (1800, 40),
            10..=100 => (600, 20),
            101..=400 => (300, 12),
            _ => (10, 2),
        };
        Self {
            steady: time::Duration::from_secs(seconds),
            crashes,
        }
    }
}

fn main() {
    let given: Vec<usize> = env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let sizes = if given.is_empty() {
        &SIZES
    } else {
        given.as_slice()
    };
    if env::args()
        .nth(1)
        .is_some_and(|argument| argument == "cuts")
    {
        return measure_cuts(sizes);
    }
    println!(
        "| way | hosts | loss | all known after s | B/s a host, mean | worst | messages/s | false deaths | false cuts | own domain finds death ms, median | worst | all find it ms, median | worst |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for hosts in sizes {
        for loss in [0.0, 0.05] {
            if *hosts <= MAX_BASELINE_HOSTS {
                measure::<HeartbeatPolicy>("heartbeats", *hosts, loss);
            }
            measure::<PeerMembership>("probes", *hosts, loss);
        }
    }
}

fn measure<P: MembershipPolicy>(way: &str, hosts: usize, loss: f64) {
    let plan = MeasurementPlan::new(hosts);
    let mut network = Network::<P>::new(NetworkOptions::new(hosts, loss, SEED));
    let known = network.run_until(START_TIMEOUT, Network::all_reach_all);
    // The rumours of the start end before the measurement begins.
    network.run(time::Duration::from_secs(20));
    network.reset_traffic_counts();
    let begun = network.now;
    network.run(plan.steady);
    let deaths = network.changes_to(Reachability::Dead, begun).len();
    let cuts = network.cuts_seen(begun).len();
    let seconds = plan.steady.as_secs_f64();
    let bytes = network.hosts.iter().map(|host| host.sent_bytes);
    let worst = bytes.clone().max().unwrap_or(0) as f64 / seconds;
    let mean = bytes.sum::<u64>() as f64 / seconds / hosts as f64;
    let messages: u64 = network.hosts.iter().map(|host| host.sent_messages).sum();
    let messages = messages as f64 / seconds / hosts as f64;
    let (mut by_own_domain, mut by_all) = (Vec::new(), Vec::new());
    for round in 0..plan.crashes {
        let victim = round * 7 % hosts;
        crash(&mut network, victim, &mut by_own_domain, &mut by_all);
    }
    let known = known.map_or("never".to_owned(), |known| {
        format!("{:.1}", known.as_secs_f64())
    });
    println!(
        "| {way} | {hosts} | {loss} | {known} | {mean:.0} | {worst:.0} | {messages:.1} | {deaths} | {cuts} | {} | {} |",
        spread(&mut by_own_domain),
        spread(&mut by_all)
    );
}

fn measure_cuts(sizes: &[usize]) {
    println!(
        "| hosts | loss | all notice the cut ms | all see all after it ms | worst B/s a host | deaths |"
    );
    println!("|---|---|---|---|---|---|");
    for hosts in sizes {
        for loss in [0.0, 0.05] {
            measure_cut(*hosts, loss);
        }
    }
}

/// Cuts one failure domain off for a minute.
fn measure_cut(hosts: usize, loss: f64) {
    let mut network = Network::<PeerMembership>::new(NetworkOptions::new(hosts, loss, SEED));
    network.run_until(START_TIMEOUT, Network::all_reach_all);
    network.run(time::Duration::from_secs(20));
    network.reset_traffic_counts();
    let begun = network.now;
    let cut = membership_network::domain(1);
    network.cut = vec![cut];
    let inside = network.in_domain(cut);
    let outside = network.running();
    let outside = outside.into_iter().filter(|host| !inside.contains(host));
    let outside: Vec<usize> = outside.collect();
    let noticed = network.run_until(CUT_TIMEOUT, |network| {
        let mut members = inside.iter();
        members.all(|host| network.none_reaches(&outside, *host))
            && outside
                .iter()
                .all(|host| network.none_reaches(&inside, *host))
    });
    network.run(time::Duration::from_secs(60));
    network.cut.clear();
    let healed = network.run_until(CUT_TIMEOUT, Network::all_reach_all);
    network.run(time::Duration::from_secs(20));
    let seconds = network.now.since(begun).as_secs_f64();
    let bytes = network.hosts.iter().map(|host| host.sent_bytes).max();
    let worst = bytes.unwrap_or(0) as f64 / seconds;
    let deaths = network.changes_to(Reachability::Dead, begun).len();
    let text = |duration: Option<time::Duration>| {
        duration.map_or("never".to_owned(), |duration| {
            duration.as_millis().to_string()
        })
    };
    println!(
        "| {hosts} | {loss} | {} | {} | {worst:.0} | {deaths} |",
        text(noticed),
        text(healed)
    );
}

/// Crashes `victim`, adds to `by_own_domain` the time until its own domain has detected it and
/// to `by_all` the time until all hosts have, and restarts it.
fn crash<P: MembershipPolicy>(
    network: &mut Network<P>,
    victim: usize,
    by_own_domain: &mut Vec<time::Duration>,
    by_all: &mut Vec<time::Duration>,
) {
    let begun = network.now;
    network.crash(victim);
    let own_domain = network.in_domain(network.hosts[victim].identity.domain);
    let all = network.running();
    let found = network.run_until(DETECTION_TIMEOUT, |network| {
        network.none_reaches(&own_domain, victim)
    });
    by_own_domain.push(found.unwrap_or(DETECTION_TIMEOUT));
    let found = network.run_until(DETECTION_TIMEOUT, |network| {
        network.none_reaches(&all, victim)
    });
    by_all.push(found.map_or(DETECTION_TIMEOUT, |_| network.now.since(begun)));
    network.restart(victim);
    // Not a multiple of any interval, so that crashes occur in all phases of the probes.
    network.run(time::Duration::from_millis(15_137));
}

fn spread(durations: &mut [time::Duration]) -> String {
    durations.sort_unstable();
    let median = durations[durations.len() / 2].as_millis();
    let worst = durations[durations.len() - 1].as_millis();
    format!("{median} | {worst}")
}
