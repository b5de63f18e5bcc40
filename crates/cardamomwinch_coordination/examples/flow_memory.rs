//! Measures the bytes that a flow takes at its home, as the growth of the resident
//! memory of the process (from `/proc/self/statm`) while 10,000, 100,000 and 500,000
//! flows are opened.
#![allow(missing_docs)]

#[path = "../benches/bench_common/mod.rs"]
mod bench_common;

use std::fs;
use std::io;
use std::mem;

use cardamomwinch_coordination::traffic::pins::FlowPin;
use cardamomwinch_state::prelude::FlowKey;

const FLOW_COUNTS: [usize; 3] = [10_000, 100_000, 500_000];
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}

fn main() -> io::Result<()> {
    let entry = mem::size_of::<(FlowKey, FlowPin)>();
    println!("an entry of the flow table: {entry} bytes");
    let here = bench_common::identity().host;
    let snapshot = bench_common::snapshot(bench_common::configuration(1, 14), here);
    let mut engines = Vec::new();
    for count in FLOW_COUNTS {
        let before = resident_bytes()?;
        let mut engine = bench_common::engine(count);
        bench_common::open_flows(&mut engine, &snapshot, count);
        let grown = resident_bytes()?.saturating_sub(before);
        println!("{count} flows: {} bytes a flow", grown / count as u64);
        // Kept, because the next engine would otherwise reuse its memory and appear smaller.
        engines.push(engine);
    }
    Ok(())
}
