//! Errors of the stand-ins.

use std::io;

use cardamomwinch_protocol::codec;
use snafu::Snafu;

/// Any failure of a stand-in.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// A socket could not be opened, bound, connected or used.
    #[snafu(display("{action}: {source}"))]
    Socket {
        /// The action that failed.
        action: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// An HTTP exchange failed.
    #[snafu(display("HTTP exchange: {source}"))]
    Exchange {
        /// The error of the library.
        source: hyper::Error,
    },
    /// An HTTP request could not be built.
    #[snafu(display("HTTP request: {source}"))]
    Build {
        /// The error of the library.
        source: hyper::http::Error,
    },
    /// A body is not the JSON that was expected.
    #[snafu(display("JSON: {source}"))]
    Json {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A datagram could not be encoded.
    #[snafu(display("datagram: {source}"))]
    Encode {
        /// The error of the codec.
        source: codec::CodecError,
    },
    /// The command line cannot be parsed.
    #[snafu(display("{source}"))]
    Options {
        /// The error of the parser.
        source: getopts::Fail,
    },
    /// The value of an option cannot be parsed.
    #[snafu(display("--{name}: cannot understand {found:?}"))]
    OptionValue {
        /// The option.
        name: &'static str,
        /// The rejected text.
        found: String,
    },
    /// A child process could not be started or signalled.
    #[snafu(display("{action}: {source}"))]
    Child {
        /// The action that failed.
        action: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// A child process ended or timed out before it printed its ready line.
    #[snafu(display("{binary} did not become ready"))]
    NotReady {
        /// The program that was started.
        binary: String,
    },
    /// A file could not be used.
    #[snafu(display("cannot {action}: {source}"))]
    File {
        /// The action that failed.
        action: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// An HTTP request was answered with an error status.
    #[snafu(display("answered with HTTP status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// A condition was not met in time.
    #[snafu(display("waited in vain for {condition}"))]
    Timeout {
        /// The condition.
        condition: &'static str,
    },
    /// The process has ended and cannot be signalled.
    #[snafu(display("the process has ended"))]
    Ended,
}
