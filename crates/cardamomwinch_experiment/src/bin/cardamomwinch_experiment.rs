//! Runs scenarios under each policy and prints the results.

use std::env;
use std::fs;
use std::io::{self, Write};
use std::num;
use std::process;
use std::str;
use std::time;

use cardamomwinch_coordination::prelude::HostEngine;
use cardamomwinch_experiment::changes::ScenarioParseError;
use cardamomwinch_experiment::deployment::DeploymentParseError;
use cardamomwinch_experiment::measures::RunMeasures;
use cardamomwinch_experiment::prelude::*;
use getopts::{Matches, Options};
use snafu::{ResultExt, Snafu};

const HOSTS: std::ops::RangeInclusive<usize> = 3..=64;

/// Errors of the command.
#[derive(Debug)]
#[derive(Snafu)]
enum CommandError {
    #[snafu(display("{source}"))]
    Arguments { source: getopts::Fail },
    #[snafu(display("{source}"))]
    Scenario { source: ScenarioParseError },
    #[snafu(display("{source}"))]
    Deployment { source: DeploymentParseError },
    #[snafu(display("--{option}: {source}"))]
    Number {
        option: &'static str,
        source: num::ParseIntError,
    },
    #[snafu(display("expected product, hash, table or all, found {found:?}"))]
    Policy { found: String },
    #[snafu(display("expected {} to {} hosts, found {found}", HOSTS.start(), HOSTS.end()))]
    HostCount { found: usize },
    #[snafu(display("cannot write {path}: {source}"))]
    Output { path: String, source: io::Error },
    #[snafu(display("cannot write a result as JSON: {source}"))]
    Json { source: serde_json::Error },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PolicyName {
    Product,
    PinnedHash,
    ConsistentTable,
}

impl PolicyName {
    const ALL: [Self; 3] = [Self::Product, Self::PinnedHash, Self::ConsistentTable];

    fn parse(text: &str) -> Result<Vec<Self>, CommandError> {
        match text {
            "all" => Ok(Self::ALL.to_vec()),
            "product" => Ok(vec![Self::Product]),
            "hash" => Ok(vec![Self::PinnedHash]),
            "table" => Ok(vec![Self::ConsistentTable]),
            _ => PolicySnafu { found: text }.fail(),
        }
    }

    fn run(self, options: &RunOptions, runs: u64) -> RunReport {
        match self {
            Self::Product => run::<HostEngine>(options, runs),
            Self::PinnedHash => run::<BaselineHost<PinnedHash>>(options, runs),
            Self::ConsistentTable => run::<BaselineHost<ConsistentTable>>(options, runs),
        }
    }
}

fn run<P: HostPolicy>(options: &RunOptions, runs: u64) -> RunReport {
    let mut sum = run_once::<P>(options.clone());
    for further in 1..runs.max(1) {
        let seed = options.seed + further;
        let options = options.clone();
        sum.add(&run_once::<P>(RunOptions { seed, ..options }));
    }
    RunReport::new(P::NAME, options, runs.max(1), &sum)
}

fn run_once<P: HostPolicy>(options: RunOptions) -> RunMeasures {
    let started = time::Instant::now();
    let subject = format!("{}, {}, seed {}", options.scenario, P::NAME, options.seed);
    let mut progress = |passed: time::Duration| {
        let (virtual_time, real) = (passed.as_secs(), started.elapsed().as_secs());
        eprint!("\r{subject}: {virtual_time} s in {real} s   ");
    };
    let measures = WorldRun::<P>::measure(options, &mut progress);
    eprint!("\r{:80}\r", "");
    measures
}

fn option_table() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt(
        "",
        "scenario",
        "calm, a change, two joined by +, singles, pairs or all",
        "NAME",
    );
    options.optopt("", "policy", "product, hash, table or all", "NAME");
    options.optopt("", "deployment", "budapest or bavaria", "NAME");
    options.optopt("", "hosts", "entry hosts at the start", "COUNT");
    options.optopt("", "load", "offered load, percent of all slots", "PERCENT");
    options.optopt("", "echo", "callers that echo tokens, percent", "PERCENT");
    options.optopt("", "loss", "datagrams lost, of 100,000", "COUNT");
    options.optopt(
        "",
        "trace",
        "show events that have this text, such as RequestId(7)",
        "TEXT",
    );
    options.optopt("", "runs", "runs with successive seeds, added up", "COUNT");
    options.optopt("", "seed", "seed of everything random", "NUMBER");
    options.optopt(
        "",
        "json",
        "append results to this file, one JSON line each",
        "FILE",
    );
    options
}

fn number<T: str::FromStr<Err = num::ParseIntError>>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, CommandError> {
    match matches.opt_str(option) {
        Some(text) => text.parse().context(NumberSnafu { option }),
        None => Ok(default),
    }
}

fn scenarios(text: &str) -> Result<Vec<ChangeScenario>, CommandError> {
    match text {
        "singles" => Ok(ChangeScenario::singles()),
        "pairs" => Ok(ChangeScenario::pairs()),
        "all" => Ok([ChangeScenario::singles(), ChangeScenario::pairs()].concat()),
        _ => Ok(vec![text.parse().context(ScenarioSnafu)?]),
    }
}

fn execute(arguments: &[String]) -> Result<(), CommandError> {
    let table = option_table();
    let matches = table.parse(arguments).context(ArgumentsSnafu)?;
    if matches.opt_present("help") {
        println!("{}", table.usage("cardamomwinch-experiment [OPTIONS]"));
        return Ok(());
    }
    let text = |option: &str, default: &str| matches.opt_str(option).unwrap_or(default.to_owned());
    let deployment = text("deployment", "budapest")
        .parse()
        .context(DeploymentSnafu)?;
    let host_count = number(&matches, "hosts", 9)?;
    snafu::ensure!(
        HOSTS.contains(&host_count),
        HostCountSnafu { found: host_count }
    );
    let load = number::<u32>(&matches, "load", 80)?;
    let echo = number::<u32>(&matches, "echo", 50)?.min(100);
    let loss = number::<u32>(&matches, "loss", 100)?.min(100_000);
    let seed = number(&matches, "seed", 1)?;
    let traced = matches.opt_str("trace");
    let runs = number::<u64>(&matches, "runs", 1)?;
    let policies = PolicyName::parse(&text("policy", "all"))?;
    println!(
        "{deployment}, {host_count} hosts, load {load} %, {echo} % echo tokens, {loss} of 100,000 datagrams lost, {runs} runs from seed {seed}\n"
    );
    println!("{TABLE_HEAD}");
    for scenario in scenarios(&text("scenario", "calm"))? {
        let options = RunOptions {
            plan: DeploymentPlan::new(deployment, host_count),
            scenario,
            load: f64::from(load) / 100.0,
            echo_share: f64::from(echo) / 100.0,
            loss: f64::from(loss) / 1e5,
            seed,
            traced: traced.clone(),
        };
        for policy in &policies {
            let report = policy.run(&options, runs);
            println!("{}", report.row());
            if let Some(path) = matches.opt_str("json") {
                append(&path, &report)?;
            }
        }
    }
    Ok(())
}

fn append(path: &str, report: &RunReport) -> Result<(), CommandError> {
    let line = serde_json::to_string(report).context(JsonSnafu)?;
    let mut options = fs::OpenOptions::new();
    let opened = options.create(true).append(true).open(path);
    let written = opened.and_then(|mut file| writeln!(file, "{line}"));
    written.context(OutputSnafu { path })
}

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match execute(&arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cardamomwinch-experiment: {error}");
            process::ExitCode::FAILURE
        }
    }
}
