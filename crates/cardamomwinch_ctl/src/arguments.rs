//! The command line.

use std::net;
use std::num;
use std::path;
use std::str;
use std::time;

use cardamomwinch_configuration::document_kind::KindParseError;
use cardamomwinch_configuration::prelude::DocumentKind;
use cardamomwinch_protocol::administration::{ExplainParameters, FlowsParameters};
use cardamomwinch_state::flow::{FlowKey, FlowParseError};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::exit::CommandExit;

/// The default time for a host to answer, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// How many flows are listed by default.
pub const DEFAULT_FLOW_LIMIT: u32 = 50;

const COMMANDS: &str = "\
Usage: cardamomwinchctl COMMAND [OPTIONS]

Without a host:
    check FILE...   check documents and print each error with line and column
    diff OLD NEW    print what changing from directory OLD to NEW would move;
                    each holds root.jsonc and teams/*.jsonc
    id NAME...      print the identifiers under which names of services, domains
                    and hosts stand in logs and reports

Of the host at --admin ADDRESS:
    status          how the host is doing
    members         the hosts it knows
    backends        the backend servers it knows
    flows           flows that it holds
    beliefs         what a forwarding host believes, how old that is, and from
                    where it learns
    explain FLOW    where a datagram of CALLER->SERVICE would go, and why
    stop            begin a graceful stop";

/// A request to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostRequest {
    /// The status of the host.
    Status,
    /// The hosts that the host knows.
    Members,
    /// The backend servers that the host knows.
    Backends,
    /// Flows that the host holds.
    Flows(FlowsParameters),
    /// What a forwarding host knows, and from which source.
    Beliefs,
    /// Where a datagram of a flow would go, and why.
    Explain(ExplainParameters),
    /// A graceful stop.
    Stop,
}

/// A request and the host to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostCall {
    /// The address of the administration API of the host.
    pub address: net::SocketAddr,
    /// How long the host may take to answer.
    pub timeout: time::Duration,
    /// The request.
    pub request: HostRequest,
}

/// A command with its operands and options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check documents.
    Check {
        /// The documents.
        files: Vec<path::PathBuf>,
        /// The kind of all of them; guessed for each if `None`.
        kind: Option<DocumentKind>,
    },
    /// Compare two configuration directories.
    Diff {
        /// The directory of the configuration in force.
        old: path::PathBuf,
        /// The directory of the changed configuration.
        new: path::PathBuf,
    },
    /// Print the identifiers of names.
    Identify {
        /// The names.
        names: Vec<String>,
    },
    /// Send a request to a host.
    Host(HostCall),
}

/// The whole command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandArguments {
    /// The command.
    pub command: OperatorCommand,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

/// A wrong command line.
#[derive(Debug)]
#[derive(Snafu)]
pub enum UsageError {
    /// An option is unknown, repeated or without its value.
    #[snafu(display("{source}"))]
    Options {
        /// Which option, and why.
        source: getopts::Fail,
    },
    /// No command is given.
    #[snafu(display("no command is given"))]
    NoCommand,
    /// The command is unknown.
    #[snafu(display("unknown command {found:?}"))]
    UnknownCommand {
        /// The unknown command.
        found: String,
    },
    /// The command does not take this number of operands.
    #[snafu(display("{command} takes {expected}, found {found}"))]
    Operands {
        /// The command.
        command: String,
        /// The operands that it takes.
        expected: &'static str,
        /// The number of operands found.
        found: usize,
    },
    /// The command does not use an option that is given.
    #[snafu(display("{command} does not use --{option}"))]
    UnusedOption {
        /// The command.
        command: String,
        /// The option.
        option: &'static str,
    },
    /// The kind of document is unknown.
    #[snafu(display("--kind: {source}"))]
    Kind {
        /// The error of the parser.
        source: KindParseError,
    },
    /// The command needs a host, and no address is given.
    #[snafu(display("{command} needs --admin ADDRESS"))]
    NoAddress {
        /// The command.
        command: String,
    },
    /// The address of the host is malformed.
    #[snafu(display("--admin: expected an IP number with a port, found {found:?}"))]
    Address {
        /// The text found.
        found: String,
        /// The error of the parser.
        source: net::AddrParseError,
    },
    /// A number is malformed.
    #[snafu(display("--{option}: expected a whole number, found {found:?}"))]
    Number {
        /// The option.
        option: &'static str,
        /// The text found.
        found: String,
        /// The error of the parser.
        source: num::ParseIntError,
    },
    /// The flow is malformed.
    #[snafu(display("{source}"))]
    Flow {
        /// The error of the parser.
        source: FlowParseError,
    },
}

/// The options that only some commands use.
const VALUE_OPTIONS: [&str; 5] = ["kind", "admin", "timeout-ms", "limit", "token"];

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optflag("", "json", "print JSON instead of tables");
    options.optopt(
        "",
        "kind",
        "kind of the documents to check: settings, forwarder, root, fragment or hosts; guessed by default",
        "KIND",
    );
    options.optopt("", "admin", "administration address of a host", "ADDRESS");
    let timeout = format!("how long the host may take to answer; {DEFAULT_TIMEOUT_MS} by default");
    options.optopt("", "timeout-ms", &timeout, "MILLISECONDS");
    let limit = format!("how many flows to list; {DEFAULT_FLOW_LIMIT} by default");
    options.optopt("", "limit", &limit, "NUMBER");
    options.optopt("", "token", "routing token for explain", "HEX");
    options
}

/// Returns the text of the help.
pub fn help() -> String {
    let mut text = options().usage(COMMANDS);
    text.push_str("\nExit codes:\n");
    for exit in CommandExit::ALL {
        text.push_str(&format!("    {}  {exit}\n", exit.code()));
    }
    text
}

impl CommandArguments {
    /// Parses the arguments that follow the name of the program.
    ///
    /// # Errors
    /// Fails with the first error found.
    pub fn parse(arguments: &[String]) -> Result<Self, UsageError> {
        let matches = options().parse(arguments).context(OptionsSnafu)?;
        Ok(Self {
            command: parse_command(&matches)?,
            json: matches.opt_present("json"),
        })
    }
}

fn parse_command(matches: &getopts::Matches) -> Result<OperatorCommand, UsageError> {
    if matches.opt_present("help") {
        return Ok(OperatorCommand::Help);
    }
    if matches.opt_present("version") {
        return Ok(OperatorCommand::Version);
    }
    let (command, operands) = matches.free.split_first().context(NoCommandSnafu)?;
    check_options(matches, command)?;
    match command.as_str() {
        "check" => parse_check(matches, command, operands),
        "diff" => parse_diff(command, operands),
        "id" => parse_identify(command, operands),
        _ => {
            let request = parse_host_request(matches, command, operands)?;
            parse_host_call(matches, command, request).map(OperatorCommand::Host)
        }
    }
}

/// The options that `command` uses, besides those that every command uses.
fn used_options(command: &str) -> &'static [&'static str] {
    match command {
        "check" => &["kind"],
        "diff" | "id" => &[],
        "flows" => &["admin", "timeout-ms", "limit"],
        "explain" => &["admin", "timeout-ms", "token"],
        _ => &["admin", "timeout-ms"],
    }
}

/// Refuses options that `command` does not use. If they were silently ignored, an
/// operator would think that they took effect.
fn check_options(matches: &getopts::Matches, command: &str) -> Result<(), UsageError> {
    let used = used_options(command);
    let unused = VALUE_OPTIONS
        .iter()
        .find(|option| matches.opt_present(option) && !used.contains(option));
    match unused {
        Some(option) => UnusedOptionSnafu {
            command,
            option: *option,
        }
        .fail(),
        None => Ok(()),
    }
}

/// Returns an error about the number of operands unless `fits` is true.
fn check_operands(
    command: &str,
    operands: &[String],
    fits: bool,
    expected: &'static str,
) -> Result<(), UsageError> {
    let found = operands.len();
    ensure!(
        fits,
        OperandsSnafu {
            command,
            expected,
            found
        }
    );
    Ok(())
}

fn parse_check(
    matches: &getopts::Matches,
    command: &str,
    operands: &[String],
) -> Result<OperatorCommand, UsageError> {
    check_operands(command, operands, !operands.is_empty(), "at least one file")?;
    let kind = matches.opt_str("kind");
    let kind = kind.map(|kind| kind.parse()).transpose();
    Ok(OperatorCommand::Check {
        files: operands.iter().map(path::PathBuf::from).collect(),
        kind: kind.context(KindSnafu)?,
    })
}

fn parse_diff(command: &str, operands: &[String]) -> Result<OperatorCommand, UsageError> {
    let [old, new] = operands else {
        let expected = "two directories";
        let found = operands.len();
        return OperandsSnafu {
            command,
            expected,
            found,
        }
        .fail();
    };
    Ok(OperatorCommand::Diff {
        old: old.into(),
        new: new.into(),
    })
}

fn parse_identify(command: &str, operands: &[String]) -> Result<OperatorCommand, UsageError> {
    check_operands(command, operands, !operands.is_empty(), "at least one name")?;
    Ok(OperatorCommand::Identify {
        names: operands.to_vec(),
    })
}

fn parse_host_request(
    matches: &getopts::Matches,
    command: &str,
    operands: &[String],
) -> Result<HostRequest, UsageError> {
    if command == "explain" {
        return parse_explain(matches, command, operands).map(HostRequest::Explain);
    }
    let request = match command {
        "status" => HostRequest::Status,
        "members" => HostRequest::Members,
        "backends" => HostRequest::Backends,
        "flows" => HostRequest::Flows(FlowsParameters {
            limit: parse_number(matches, "limit", DEFAULT_FLOW_LIMIT)?,
        }),
        "beliefs" => HostRequest::Beliefs,
        "stop" => HostRequest::Stop,
        found => return UnknownCommandSnafu { found }.fail(),
    };
    check_operands(command, operands, operands.is_empty(), "no operand")?;
    Ok(request)
}

fn parse_explain(
    matches: &getopts::Matches,
    command: &str,
    operands: &[String],
) -> Result<ExplainParameters, UsageError> {
    let [flow] = operands else {
        let expected = "one flow";
        let found = operands.len();
        return OperandsSnafu {
            command,
            expected,
            found,
        }
        .fail();
    };
    let flow: FlowKey = flow.parse().context(FlowSnafu)?;
    Ok(ExplainParameters {
        flow: flow.to_string(),
        token: matches.opt_str("token"),
    })
}

fn parse_host_call(
    matches: &getopts::Matches,
    command: &str,
    request: HostRequest,
) -> Result<HostCall, UsageError> {
    let found = matches.opt_str("admin");
    let found = found.context(NoAddressSnafu { command })?;
    let timeout = parse_number(matches, "timeout-ms", DEFAULT_TIMEOUT_MS)?;
    Ok(HostCall {
        address: found.parse().context(AddressSnafu { found })?,
        timeout: time::Duration::from_millis(timeout),
        request,
    })
}

fn parse_number<T: str::FromStr<Err = num::ParseIntError>>(
    matches: &getopts::Matches,
    option: &'static str,
    default: T,
) -> Result<T, UsageError> {
    match matches.opt_str(option) {
        Some(found) => found.parse().context(NumberSnafu { option, found }),
        None => Ok(default),
    }
}
