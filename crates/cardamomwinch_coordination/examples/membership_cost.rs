//! Measures what membership costs and how fast it finds a dead host, for
//! several sizes of the fleet and shares of lost messages, in simulated time:
//!
//! ```text
//! cargo run --release --example membership_cost -p cardamomwinch_coordination -- 9 100 400
//! ```
//!
//! Sizes are those of encoded messages with their authentication code and
//! 28 bytes of UDP and IP headers. Sizes may be given; the baseline of
//! all-to-all heartbeats runs up to 100 hosts. With `cuts` before the sizes, a
//! failure domain is cut off for a minute instead.

#[path = "../tests/membership_network/mod.rs"]
mod membership_network;

use std::env;
use std::time;

use cardamomwinch_coordination::control::membership::{PeerMembership, Reachability};

use membership_network::heartbeats::HeartbeatPolicy;
use membership_network::policy::MembershipPolicy;
use membership_network::{Network, NetworkOptions};

/// The sizes measured where none are given.
const SIZES: [usize; 4] = [9, 100, 400, 3200];
/// The largest fleet that the baseline is measured for.
const BASELINE_LIMIT: usize = 100;
/// The longest time that a fleet may take to know all of its hosts.
const START_LIMIT: time::Duration = time::Duration::from_secs(240);
/// The longest time that a dead host may take to be found.
const DETECTION_LIMIT: time::Duration = time::Duration::from_secs(60);
/// The longest time that both sides of a cut may take to notice it or its end.
const CUT_LIMIT: time::Duration = time::Duration::from_secs(30);
const SEED: u64 = 1;

/// How much is measured, by the size of the fleet.
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
            if *hosts <= BASELINE_LIMIT {
                measure::<HeartbeatPolicy>("heartbeats", *hosts, loss);
            }
            measure::<PeerMembership>("probes", *hosts, loss);
        }
    }
}

fn measure<P: MembershipPolicy>(way: &str, hosts: usize, loss: f64) {
    let plan = MeasurementPlan::new(hosts);
    let mut network = Network::<P>::new(NetworkOptions::new(hosts, loss, SEED));
    let known = network.run_until(START_LIMIT, Network::all_reach_all);
    // Rumours of the start die down before anything is measured.
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
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for round in 0..plan.crashes {
        let victim = round * 7 % hosts;
        crash(&mut network, victim, &mut near, &mut far);
    }
    let known = known.map_or("never".to_owned(), |known| {
        format!("{:.1}", known.as_secs_f64())
    });
    println!(
        "| {way} | {hosts} | {loss} | {known} | {mean:.0} | {worst:.0} | {messages:.1} | {deaths} | {cuts} | {} | {} |",
        spread(&mut near),
        spread(&mut far)
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
    network.run_until(START_LIMIT, Network::all_reach_all);
    network.run(time::Duration::from_secs(20));
    network.reset_traffic_counts();
    let begun = network.now;
    let cut = membership_network::domain(1);
    network.cut = vec![cut];
    let inside = network.in_domain(cut);
    let outside = network.running();
    let outside = outside.into_iter().filter(|host| !inside.contains(host));
    let outside: Vec<usize> = outside.collect();
    let noticed = network.run_until(CUT_LIMIT, |network| {
        let mut near = inside.iter();
        near.all(|host| network.none_reaches(&outside, *host))
            && outside
                .iter()
                .all(|host| network.none_reaches(&inside, *host))
    });
    network.run(time::Duration::from_secs(60));
    network.cut.clear();
    let healed = network.run_until(CUT_LIMIT, Network::all_reach_all);
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

/// Crashes `victim`, notes when its own domain and all others have found out,
/// and starts it again.
fn crash<P: MembershipPolicy>(
    network: &mut Network<P>,
    victim: usize,
    near: &mut Vec<time::Duration>,
    far: &mut Vec<time::Duration>,
) {
    let begun = network.now;
    network.crash(victim);
    let mates = network.in_domain(network.hosts[victim].identity.domain);
    let all = network.running();
    let found = network.run_until(DETECTION_LIMIT, |network| {
        network.none_reaches(&mates, victim)
    });
    near.push(found.unwrap_or(DETECTION_LIMIT));
    let found = network.run_until(DETECTION_LIMIT, |network| {
        network.none_reaches(&all, victim)
    });
    far.push(found.map_or(DETECTION_LIMIT, |_| network.now.since(begun)));
    network.restart(victim);
    // A time that is no multiple of any interval, so that crashes meet all of
    // the phases of probes.
    network.run(time::Duration::from_millis(15_137));
}

fn spread(durations: &mut [time::Duration]) -> String {
    durations.sort_unstable();
    let median = durations[durations.len() / 2].as_millis();
    let worst = durations[durations.len() - 1].as_millis();
    format!("{median} | {worst}")
}
