//! Measures how fast a change comes into force on all hosts and how many messages and
//! calls that takes, in simulated time and only with the adoption engines:
//! reachability is faked, and heartbeats carry digests to a few peers per second.
//! Prints a table.
//!
//! `cargo run --release -p cardamomwinch_coordination --example adoption_cost`
//! measures 9, 100 and 400 hosts; sizes given as arguments replace these.

mod fleet;

use std::env;
use std::error;
use std::time;

use fleet::{Change, FleetCosts, SpreadWay};

const SIZES: [usize; 3] = [9, 100, 400];
const CALM: time::Duration = time::Duration::from_secs(60);
const OUTAGE: time::Duration = time::Duration::from_secs(60);

fn main() -> Result<(), Box<dyn error::Error>> {
    let given: Result<Vec<usize>, _> = env::args().skip(1).map(|size| size.parse()).collect();
    let given = given?;
    let sizes = if given.is_empty() {
        &SIZES[..]
    } else {
        &given[..]
    };
    println!(
        "| hosts | way | change | median ms | last ms | messages a host | bytes a host | most bytes of one host | platform calls |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        for way in SpreadWay::ALL {
            for change in Change::ALL {
                let mut fleet = FleetCosts::new(*size, way, 1)?;
                let cost = fleet.measure(change)?;
                println!("| {size} | {way} | {change} | {cost} |");
            }
        }
    }
    println!();
    println!(
        "| hosts | way | calls/s calm | most calls in 1 s of the outage | in the 1st s after | in the 2nd | 3rd |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in sizes {
        for way in [SpreadWay::Announced, SpreadWay::AllRead] {
            let mut fleet = FleetCosts::new(*size, way, 2)?;
            let calls = fleet.measure_calls(CALM, OUTAGE);
            println!("| {size} | {way} | {calls} |");
        }
    }
    Ok(())
}
