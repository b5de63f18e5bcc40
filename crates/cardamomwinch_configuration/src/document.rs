//! Parses JSON with comments, limited in size and nesting.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors;
use jsonc_parser::tokens::Token;

use crate::check::CheckReport;
use crate::checker::{DocumentChecker, KeyPath};
use crate::node::{ObjectNode, ValueNode};
use crate::problem::{CheckProblem, ValueKind};

/// The largest document in bytes: the largest value that the platform holds.
pub const DOCUMENT_BYTE_LIMIT: usize = 1024 * 1024;

/// The deepest nesting of objects and arrays. The deepest valid document has 5.
pub const NESTING_LIMIT: usize = 32;

/// Parses `text` and passes its top-level object to `read`.
pub(crate) fn read_document<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&mut DocumentChecker<'_>, &ObjectNode<'_>) -> Option<T>,
) -> Result<T, CheckReport> {
    if text.len() > DOCUMENT_BYTE_LIMIT {
        return refuse_large(file, text.len());
    }
    let mut checker = DocumentChecker::new(file, text);
    let value = read_within_bounds(&mut checker, text, read);
    checker.finish(value)
}

/// Reports a document that is too large. Its text isn't passed to the checker,
/// which would scan it for line breaks: it may be gigabytes long.
fn refuse_large<T>(file: &str, found: usize) -> Result<T, CheckReport> {
    let mut checker = DocumentChecker::new(file, "");
    let limit = DOCUMENT_BYTE_LIMIT;
    let problem = CheckProblem::TooLarge { found, limit };
    checker.report(0, &KeyPath::default(), problem);
    checker.finish(None)
}

fn read_within_bounds<T>(
    checker: &mut DocumentChecker<'_>,
    text: &str,
    read: impl FnOnce(&mut DocumentChecker<'_>, &ObjectNode<'_>) -> Option<T>,
) -> Option<T> {
    let root = KeyPath::default();
    if let Some((offset, problem)) = scan_tokens(text) {
        checker.report(offset, &root, problem);
        return None;
    }
    let options = jsonc_parser::ParseOptions {
        allow_loose_object_property_names: false,
        ..Default::default()
    };
    let parsed = match jsonc_parser::parse_to_ast(text, &Default::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            let (offset, problem) = syntax_problem(&error);
            checker.report(offset, &root, problem);
            return None;
        }
    };
    let Some(value) = parsed.value else {
        let problem = CheckProblem::WrongType {
            found: ValueKind::Nothing,
            allowed: ValueKind::Object,
        };
        checker.report(0, &root, problem);
        return None;
    };
    let node = ValueNode::new(&value, root);
    let object = node.object(checker)?;
    read(checker, &object)
}

fn syntax_problem(error: &errors::ParseError) -> (usize, CheckProblem) {
    let found = error.kind().clone();
    (error.range().start, CheckProblem::Syntax { found })
}

/// Checks what the parser itself does not. The parser recurses once per level,
/// so a few kilobytes of opening brackets would overflow the stack and end the
/// process. It also accepts values without a comma between them, which hides
/// typing errors, and single quotes. The tokens come from the parser's own
/// scanner, so both see the same strings and comments.
fn scan_tokens(text: &str) -> Option<(usize, CheckProblem)> {
    let mut scanner = jsonc_parser::Scanner::new(text);
    let mut depth: usize = 0;
    let mut after_value = false;
    loop {
        let token = match scanner.scan() {
            Ok(Some(token)) => token,
            Ok(None) => return None,
            Err(error) => return Some(syntax_problem(&error)),
        };
        let role = TokenRole::of(&token);
        if after_value && matches!(role, TokenRole::Opening | TokenRole::Value) && depth > 0 {
            return Some((scanner.token_start(), CheckProblem::MissingComma));
        }
        if matches!(token, Token::String(_)) && text[scanner.token_start()..].starts_with('\'') {
            return Some((scanner.token_start(), CheckProblem::SingleQuotes));
        }
        match role {
            TokenRole::Opening => depth += 1,
            TokenRole::Closing => depth = depth.saturating_sub(1),
            TokenRole::Comment => continue,
            TokenRole::Value | TokenRole::Separator => {}
        }
        if depth > NESTING_LIMIT {
            let limit = NESTING_LIMIT;
            return Some((scanner.token_start(), CheckProblem::TooDeep { limit }));
        }
        after_value = matches!(role, TokenRole::Value | TokenRole::Closing);
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum TokenRole {
    Opening,
    Closing,
    Value,
    Separator,
    Comment,
}

impl TokenRole {
    const fn of(token: &Token<'_>) -> Self {
        match token {
            Token::OpenBrace | Token::OpenBracket => Self::Opening,
            Token::CloseBrace | Token::CloseBracket => Self::Closing,
            Token::Comma | Token::Colon => Self::Separator,
            Token::CommentLine(_) | Token::CommentBlock(_) => Self::Comment,
            Token::String(_)
            | Token::Word(_)
            | Token::Boolean(_)
            | Token::Number(_)
            | Token::Null => Self::Value,
        }
    }
}

/// Returns the kind of `value`.
pub(crate) const fn kind_of(value: &ast::Value<'_>) -> ValueKind {
    match value {
        ast::Value::StringLit(_) => ValueKind::Text,
        ast::Value::NumberLit(_) => ValueKind::Number,
        ast::Value::BooleanLit(_) => ValueKind::Boolean,
        ast::Value::Object(_) => ValueKind::Object,
        ast::Value::Array(_) => ValueKind::Array,
        ast::Value::NullKeyword(_) => ValueKind::Null,
    }
}

/// Returns the byte offset at which `node` starts.
pub(crate) fn start_of(node: &impl Ranged) -> usize {
    node.range().start
}
