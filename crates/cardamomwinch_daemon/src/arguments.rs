//! The command line of the daemons.

use std::path;

use getopts::Options;
use snafu::{OptionExt, ResultExt, Snafu};

/// Why the command line is invalid.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ArgumentError {
    /// An option is unknown, or its value is missing.
    #[snafu(display("{source}"))]
    Option {
        /// The error of the parser.
        source: getopts::Fail,
    },
    /// The option for the settings file is missing.
    #[snafu(display("--settings FILE is required"))]
    NoSettings,
    /// An argument is not an option.
    #[snafu(display("unexpected argument {found:?}"))]
    Unexpected {
        /// The argument.
        found: String,
    },
}

/// The arguments of a daemon that serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonArguments {
    /// The settings file.
    pub settings: path::PathBuf,
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Serve.
    Serve(DaemonArguments),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings of this host", "FILE");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// The help text of `program`.
pub fn usage(program: &str) -> String {
    let brief = format!(
        "Usage: {program} --settings FILE\n\n\
        Serves as an entry host until SIGTERM or SIGINT, then stops gracefully.\n\
        A second signal ends it at once.\n\n\
        Exit codes: 0 stopped gracefully, 1 cut something off, 2 usage,\n\
        3 the settings are not valid, 4 an address cannot be used."
    );
    options().usage(&brief)
}

impl DaemonCommand {
    /// Parses the command line, without the name of the program.
    ///
    /// # Errors
    /// Fails on unknown options, on arguments that are not options, and if the settings file is
    /// missing.
    pub fn parse(command_line: &[String]) -> Result<Self, ArgumentError> {
        let matches = options().parse(command_line).context(OptionSnafu)?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        if let Some(found) = matches.free.first() {
            return UnexpectedSnafu { found }.fail();
        }
        let settings = matches.opt_str("settings").context(NoSettingsSnafu)?;
        Ok(Self::Serve(DaemonArguments {
            settings: settings.into(),
        }))
    }
}
