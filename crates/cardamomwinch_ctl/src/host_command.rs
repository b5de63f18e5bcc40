//! The commands that send a request to a host.

use std::fmt;

use cardamomwinch_protocol::administration::{
    self, BackendReport, DiscoveryReport, ExplainReport, FlowsReport, MemberReport, StatusReport,
    StopReport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::{HostCall, HostRequest};
use crate::client::{AdministrationClient, ClientError};
use crate::exit::CommandExit;
use crate::outcome::{self, CommandOutcome};
use crate::report_text::{
    BackendsText, DiscoveryText, ExplainText, FlowsText, MembersText, StatusText,
};

/// No parameters.
const NONE: Option<&()> = None;

/// Sends the request of `call` to its host and returns the answer as text, or as JSON
/// if `json` is set.
pub fn run(call: &HostCall, json: bool) -> CommandOutcome {
    let client = AdministrationClient::new(call.address, call.timeout);
    let printed = execute(&client, &call.request, json);
    printed.unwrap_or_else(|error| {
        let exit = if error.is_unreachable() {
            CommandExit::Unreachable
        } else {
            CommandExit::Refused
        };
        CommandOutcome::failure(error, exit)
    })
}

fn execute(
    client: &AdministrationClient,
    request: &HostRequest,
    json: bool,
) -> Result<CommandOutcome, ClientError> {
    let printer = AnswerPrinter { client, json };
    match request {
        HostRequest::Status => printer.print(
            administration::STATUS_METHOD,
            NONE,
            |report: &StatusReport| StatusText(report).to_string(),
        ),
        HostRequest::Members => printer.print(
            administration::MEMBERS_METHOD,
            NONE,
            |report: &Vec<MemberReport>| MembersText(report).to_string(),
        ),
        HostRequest::Backends => printer.print(
            administration::BACKENDS_METHOD,
            NONE,
            |report: &Vec<BackendReport>| BackendsText(report).to_string(),
        ),
        HostRequest::Flows(parameters) => printer.print(
            administration::FLOWS_METHOD,
            Some(parameters),
            |report: &FlowsReport| FlowsText(report).to_string(),
        ),
        HostRequest::Beliefs => printer.print(
            administration::BELIEFS_METHOD,
            NONE,
            |report: &DiscoveryReport| DiscoveryText(report).to_string(),
        ),
        HostRequest::Explain(parameters) => printer.print(
            administration::EXPLAIN_METHOD,
            Some(parameters),
            |report: &ExplainReport| ExplainText(report).to_string(),
        ),
        HostRequest::Stop => stop(client, json),
    }
}

struct AnswerPrinter<'c> {
    client: &'c AdministrationClient,
    json: bool,
}

impl AnswerPrinter<'_> {
    fn print<P: Serialize, R: Serialize + DeserializeOwned, T: fmt::Display>(
        &self,
        method: &str,
        parameters: Option<&P>,
        describe: impl FnOnce(&R) -> T,
    ) -> Result<CommandOutcome, ClientError> {
        let report: R = self.client.call(method, parameters)?;
        let output = if self.json {
            outcome::to_json(&report)
        } else {
            describe(&report).to_string()
        };
        Ok(CommandOutcome::success(output))
    }
}

fn stop(client: &AdministrationClient, json: bool) -> Result<CommandOutcome, ClientError> {
    let report: StopReport = client.call(administration::STOP_METHOD, NONE)?;
    let output = match (json, report.accepted) {
        (true, _) => outcome::to_json(&report),
        (false, true) => "the host stops\n".to_owned(),
        (false, false) => "the host did not accept: it is stopping already\n".to_owned(),
    };
    let exit = if report.accepted {
        CommandExit::Success
    } else {
        CommandExit::Refused
    };
    Ok(CommandOutcome::success(output).with_exit(exit))
}
