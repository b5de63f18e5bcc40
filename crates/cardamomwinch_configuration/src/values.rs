//! Functions that read single values. Each reports an invalid value and then
//! returns `None`.

use std::net;

use cardamomwinch_protocol::prelude::SecretKey;
use cardamomwinch_state::prelude::{BackendPhase, HostPhase};

use crate::checker::{DocumentChecker, quote};
use crate::nearest::nearest;
use crate::node::ValueNode;
use crate::problem::{AddressFault, CheckProblem, ValueKind};

/// The longest name in characters.
pub const NAME_LENGTH_LIMIT: usize = 64;

/// A type whose values are written as words.
pub(crate) trait WordChoice: Sized {
    /// The words.
    const WORDS: &'static [&'static str];

    /// Returns the value that `word` stands for.
    fn from_word(word: &str) -> Option<Self>;
}

impl WordChoice for BackendPhase {
    const WORDS: &'static [&'static str] = &["active", "draining"];

    fn from_word(word: &str) -> Option<Self> {
        match word {
            "active" => Some(Self::Active),
            "draining" => Some(Self::Draining),
            _ => None,
        }
    }
}

impl WordChoice for HostPhase {
    const WORDS: &'static [&'static str] = &["live", "leaving"];

    fn from_word(word: &str) -> Option<Self> {
        match word {
            "live" => Some(Self::Live),
            "leaving" => Some(Self::Leaving),
            _ => None,
        }
    }
}

/// Whether others have to reach an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PortRule {
    /// Port zero lets the operating system choose.
    ZeroAllowed,
    /// The port must not be zero.
    Reachable,
}

/// Reads `true` or `false`.
pub(crate) fn boolean(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<bool> {
    let value = node.as_boolean();
    if value.is_none() {
        node.report_kind(checker, ValueKind::Boolean);
    }
    value
}

/// Reads a string.
pub(crate) fn text<'d>(checker: &mut DocumentChecker<'_>, node: &ValueNode<'d>) -> Option<&'d str> {
    let literal = node.value.as_string_lit();
    if literal.is_none() {
        node.report_kind(checker, ValueKind::Text);
    }
    literal.map(|literal| literal.value.as_ref())
}

/// Returns why `name` is not a valid name, if it isn't.
pub(crate) fn name_problem(name: &str) -> Option<CheckProblem> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let fits = (1..=NAME_LENGTH_LIMIT).contains(&name.len());
    if fits && name.bytes().all(allowed) {
        return None;
    }
    Some(CheckProblem::BadName {
        found: quote(name),
        limit: NAME_LENGTH_LIMIT,
    })
}

/// Reads a name.
pub(crate) fn name(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<String> {
    let name = text(checker, node)?;
    match name_problem(name) {
        Some(problem) => {
            node.report(checker, problem);
            None
        }
        None => Some(name.to_owned()),
    }
}

/// Reads one of the words of `T`.
pub(crate) fn choice<T: WordChoice>(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<T> {
    let word = text(checker, node)?;
    let value = T::from_word(word);
    if value.is_none() {
        let problem = CheckProblem::UnknownChoice {
            found: quote(word),
            allowed: T::WORDS,
            nearest: nearest(word, T::WORDS.iter().copied()),
        };
        node.report(checker, problem);
    }
    value
}

/// Reads an address whose port may be zero.
pub(crate) fn local_address(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<net::SocketAddr> {
    address(checker, node, PortRule::ZeroAllowed)
}

/// Reads an address that others have to reach.
pub(crate) fn reachable_address(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<net::SocketAddr> {
    address(checker, node, PortRule::Reachable)
}

fn address(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    rule: PortRule,
) -> Option<net::SocketAddr> {
    let found = text(checker, node)?;
    let parsed = found.parse::<net::SocketAddr>();
    let fault = match parsed {
        Err(_) => AddressFault::Malformed,
        Ok(address) if address.port() == 0 && rule == PortRule::Reachable => AddressFault::PortZero,
        Ok(address) => return Some(address),
    };
    let found = quote(found);
    node.report(checker, CheckProblem::BadAddress { found, fault });
    None
}

/// Reads a whole number within a range.
pub(crate) fn whole_number(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    minimum: u64,
    maximum: u64,
) -> Option<u64> {
    let Some(literal) = node.value.as_number_lit() else {
        node.report_kind(checker, ValueKind::Number);
        return None;
    };
    let number = literal.value.parse::<u64>().ok();
    let allowed = number.filter(|number| (minimum..=maximum).contains(number));
    if allowed.is_none() {
        let problem = CheckProblem::OutOfRange {
            found: quote(literal.value),
            minimum,
            maximum,
        };
        node.report(checker, problem);
    }
    allowed
}

/// Reads a secret key of 64 hexadecimal digits.
pub(crate) fn secret(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<SecretKey> {
    let digits = text(checker, node)?;
    let key = digits.parse::<SecretKey>();
    if let Err(error) = &key {
        let length = error.length;
        node.report(checker, CheckProblem::BadSecret { length });
    }
    key.ok()
}
