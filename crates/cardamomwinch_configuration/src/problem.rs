//! The problems that a document can have. Each names what was found and what is
//! allowed.

use std::fmt;
use std::net;

use jsonc_parser::errors;
use snafu::Snafu;

/// The kind of a JSON value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// No value at all: the document is empty.
    Nothing,
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean,
    /// A number.
    Number,
    /// A string.
    Text,
    /// A list in square brackets.
    Array,
    /// Keys and values in braces.
    Object,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Nothing => "nothing",
            Self::Null => "null",
            Self::Boolean => "a boolean",
            Self::Number => "a number",
            Self::Text => "a string",
            Self::Array => "an array",
            Self::Object => "an object",
        })
    }
}

/// Why an address is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddressFault {
    /// It is not an IP number with a port.
    Malformed,
    /// Its port is zero although others have to reach it.
    PortZero,
}

impl fmt::Display for AddressFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "an IP number with a port, such as 127.0.0.1:7000 or [::1]:7000",
            Self::PortZero => "a port from 1 to 65535",
        })
    }
}

/// What a preset refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReferenceKind {
    /// A service of the same fragment.
    Service,
    /// A backend server of the service.
    BackendServer,
}

impl fmt::Display for ReferenceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Service => "service",
            Self::BackendServer => "backend server",
        })
    }
}

/// One problem in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CheckProblem {
    /// The document is larger than the platform allows for a value.
    #[snafu(display("the document has {found} bytes, allowed are {limit}"))]
    TooLarge {
        /// Its size in bytes.
        found: usize,
        /// The largest size in bytes.
        limit: usize,
    },
    /// Values are nested too deep.
    #[snafu(display("values are nested deeper than the allowed {limit} levels"))]
    TooDeep {
        /// The deepest nesting.
        limit: usize,
    },
    /// The text is not JSON with comments.
    #[snafu(display("not JSON with comments: {found}"))]
    Syntax {
        /// The error that the parser reports.
        found: errors::ParseErrorKind,
    },
    /// Two values follow each other without a comma.
    #[snafu(display("a comma is missing before this value"))]
    MissingComma,
    /// A string in single quotes, which other readers of JSON refuse.
    #[snafu(display("found a string in single quotes, allowed are double quotes"))]
    SingleQuotes,
    /// A key that is not allowed here.
    #[snafu(display(
        "unknown key {found:?}{}, allowed are {}",
        suggestion(*nearest),
        allowed.join(", ")
    ))]
    UnknownKey {
        /// The unknown key.
        found: String,
        /// The keys that are allowed here.
        allowed: &'static [&'static str],
        /// The most similar allowed key, if one is similar enough.
        nearest: Option<&'static str>,
    },
    /// A key that occurs a second time.
    #[snafu(display("key {found:?} is given already in line {first_line}"))]
    DuplicateKey {
        /// The repeated key.
        found: String,
        /// The line of its first occurrence, from one.
        first_line: usize,
    },
    /// A name that occurs a second time.
    #[snafu(display("name {found:?} is given already in line {first_line}"))]
    DuplicateName {
        /// The repeated name.
        found: String,
        /// The line of its first occurrence, from one.
        first_line: usize,
    },
    /// A required key that is missing.
    #[snafu(display("the key is required and missing"))]
    MissingKey,
    /// A value of the wrong kind.
    #[snafu(display("found {found}, allowed is {allowed}"))]
    WrongType {
        /// The kind found.
        found: ValueKind,
        /// The kind that is allowed.
        allowed: ValueKind,
    },
    /// A number outside its range, or not a whole one.
    #[snafu(display("found {found}, allowed is a whole number from {minimum} to {maximum}"))]
    OutOfRange {
        /// The number as written.
        found: String,
        /// The smallest allowed.
        minimum: u64,
        /// The largest allowed.
        maximum: u64,
    },
    /// A number that must be greater than that of another key.
    #[snafu(display("found {found}, allowed is more than the {limit} of {other}"))]
    NotAbove {
        /// The number found.
        found: u64,
        /// The other number.
        limit: u64,
        /// The key of the other number.
        other: &'static str,
    },
    /// An address that can't be used here.
    #[snafu(display("found address {found:?}, allowed is {fault}"))]
    BadAddress {
        /// The text found.
        found: String,
        /// Why it is refused.
        fault: AddressFault,
    },
    /// An address that is already in use.
    #[snafu(display("address {found} is taken already by {holder}"))]
    AddressTaken {
        /// The address.
        found: net::SocketAddr,
        /// The key that uses it first.
        holder: String,
    },
    /// A name with characters that names may not have.
    #[snafu(display(
        "found name {found:?}, allowed are 1 to {limit} ASCII letters, digits, '-' and '_'"
    ))]
    BadName {
        /// The name found, truncated if it is long.
        found: String,
        /// The longest name in characters.
        limit: usize,
    },
    /// A word that is not among the allowed ones.
    #[snafu(display(
        "found {found:?}{}, allowed are {}",
        suggestion(*nearest),
        allowed.join(", ")
    ))]
    UnknownChoice {
        /// The word found.
        found: String,
        /// The words allowed.
        allowed: &'static [&'static str],
        /// The most similar allowed word, if one is similar enough.
        nearest: Option<&'static str>,
    },
    /// A secret key of the wrong form. The text itself stays secret.
    #[snafu(display("found {length} characters, allowed are 64 hexadecimal digits"))]
    BadSecret {
        /// The length of the text found.
        length: usize,
    },
    /// An empty list that needs at least one entry.
    #[snafu(display("found an empty list, allowed is one with at least one entry"))]
    EmptyList,
    /// A name that the document does not define.
    #[snafu(display(
        "unknown {kind} {found:?}{}, defined are {}",
        suggestion(nearest.as_deref()),
        defined.join(", ")
    ))]
    UnknownReference {
        /// What the name refers to.
        kind: ReferenceKind,
        /// The name found.
        found: String,
        /// The first few names that are defined.
        defined: Vec<String>,
        /// The most similar defined name, if one is similar enough.
        nearest: Option<String>,
    },
    /// Two names that have the same identifier.
    #[snafu(display("name {found:?} gives the same identifier as {other:?}: rename one"))]
    IdentifierCollision {
        /// The later name.
        found: String,
        /// The earlier name.
        other: String,
    },
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |name| format!(" (did you mean {name:?}?)"))
}
