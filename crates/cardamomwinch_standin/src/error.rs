//! Why a stand-in could not do what it was asked.

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
        /// What was tried.
        action: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// An HTTP exchange failed.
    #[snafu(display("HTTP exchange: {source}"))]
    Exchange {
        /// What the library said.
        source: hyper::Error,
    },
    /// An HTTP request could not be built.
    #[snafu(display("HTTP request: {source}"))]
    Build {
        /// What the library said.
        source: hyper::http::Error,
    },
    /// A body is not the JSON that was expected.
    #[snafu(display("JSON: {source}"))]
    Json {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A datagram could not be encoded.
    #[snafu(display("datagram: {source}"))]
    Encode {
        /// What the codec said.
        source: codec::CodecError,
    },
    /// The command line is not understood.
    #[snafu(display("{source}"))]
    Options {
        /// What the parser said.
        source: getopts::Fail,
    },
    /// The value of an option is not understood.
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
        /// What was tried.
        action: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A child process ended, or stayed silent, before it said it was ready.
    #[snafu(display("{binary} did not say that it was ready"))]
    NotReady {
        /// The program that was started.
        binary: String,
    },
    /// A file could not be used.
    #[snafu(display("cannot {action}: {source}"))]
    File {
        /// What was tried.
        action: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// An HTTP exchange was answered with a refusal.
    #[snafu(display("answered with HTTP status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// Something that was waited for did not happen.
    #[snafu(display("waited in vain for {condition}"))]
    Timeout {
        /// What was waited for.
        condition: &'static str,
    },
    /// The process has ended and cannot be signalled.
    #[snafu(display("the process has ended"))]
    Ended,
}
