//! Runs the whole path with real processes and prints the outcomes: the platform,
//! the fabric, 18 backend servers, 6 hosts in 3 failure domains, and callers of both
//! services of the Budapest deployment.
//!
//! Build the programs first: `cargo build --workspace`.
#![allow(missing_docs)]

use std::process;
use std::time;

use cardamomwinch_standin::prelude::*;
use serde_json::Value;

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(120);
const SESSIONS: u32 = 20;
const REQUESTS: u32 = 10;

fn main() -> process::ExitCode {
    let executor = TaskExecutor::default();
    match async_io::block_on(executor.run(run())) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("whole_path: {error}");
            eprintln!("The programs must have been built: cargo build --workspace");
            process::ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool, StandinError> {
    let programs = ProgramDirectory::of_this_build()?;
    println!("starting the processes of the Budapest deployment");
    let plan = DeploymentPlan::budapest(2);
    let deployment = Deployment::start(plan, programs.clone(), READY_TIMEOUT).await?;
    deployment.wait_until_homes_agree(READY_TIMEOUT).await?;
    let count = deployment.hosts.len();
    println!("{count} entry hosts are ready; every datagram goes to another one in turn");
    println!();
    println!(
        "{:<16}{:<8}{:>10}{:>10}{:>10}{:>10}{:>10}{:>12}",
        "service", "tokens", "sessions", "opened", "requests", "answered", "not run", "unknown"
    );
    let mut all_answered = true;
    for echo in [true, false] {
        for service in &deployment.plan.services {
            let summary = call(&deployment, &programs, service, echo)?;
            let number = |key: &str| summary[key].as_u64().unwrap_or_default();
            let requests = u64::from(SESSIONS * REQUESTS);
            all_answered &= number("answered") == requests;
            println!(
                "{:<16}{:<8}{:>10}{:>10}{:>10}{:>10}{:>10}{:>12}",
                service.name,
                if echo { "echoed" } else { "none" },
                SESSIONS,
                number("opened"),
                requests,
                number("answered"),
                number("not_run"),
                number("outcome_unknown"),
            );
        }
    }
    println!();
    print_runs(&deployment.run_reports().await?);
    Ok(all_answered)
}

fn call(
    deployment: &Deployment,
    programs: &ProgramDirectory,
    service: &ServicePlan,
    echo: bool,
) -> Result<Value, StandinError> {
    let options = [
        (
            "--fabric",
            deployment.fabric_address("callers")?.to_string(),
        ),
        ("--service", service.address.to_string()),
        ("--sessions", SESSIONS.to_string()),
        ("--requests", REQUESTS.to_string()),
        ("--echo", echo.to_string()),
        ("--attempts", 20.to_string()),
        ("--deadline-ms", 5000.to_string()),
        ("--pause-ms", 20.to_string()),
    ];
    let options = options.iter().flat_map(|(name, value)| [*name, value]);
    let mut caller = ChildProcess::start(programs.program("standin-caller"), options)?;
    let line = caller.next_line(CALLER_TIMEOUT).unwrap_or_default();
    caller.wait(CALLER_TIMEOUT)?;
    Ok(serde_json::from_str(&line).unwrap_or_default())
}

fn print_runs(reports: &[Value]) {
    let sum = |key: &str| -> u64 {
        reports
            .iter()
            .filter_map(|report| report[key].as_u64())
            .sum()
    };
    let repeated: usize = reports
        .iter()
        .filter_map(|report| report["repeated"].as_array().map(Vec::len))
        .sum();
    println!(
        "runs on {} backend servers: {}",
        reports.len(),
        sum("total")
    );
    println!("requests run more than once: {repeated}");
    println!("datagrams at a wrong service: {}", sum("wrong_service"));
}
