//! Values of a document together with their paths.

use jsonc_parser::ast;

use crate::checker::{DocumentChecker, KeyPath, quote};
use crate::document::{kind_of, start_of};
use crate::nearest::nearest;
use crate::problem::{CheckProblem, ValueKind};
use crate::values;

/// A value and its path.
#[derive(Debug, Clone)]
pub(crate) struct ValueNode<'d> {
    pub(crate) value: &'d ast::Value<'d>,
    pub(crate) path: KeyPath,
}

impl<'d> ValueNode<'d> {
    pub(crate) const fn new(value: &'d ast::Value<'d>, path: KeyPath) -> Self {
        Self { value, path }
    }

    /// Returns the byte offset at which the value starts.
    pub(crate) fn start(&self) -> usize {
        start_of(self.value)
    }

    /// Reports `problem` at this value.
    pub(crate) fn report(&self, checker: &mut DocumentChecker<'_>, problem: CheckProblem) {
        checker.report(self.start(), &self.path, problem);
    }

    /// Reports that the value is not of the kind `allowed`.
    pub(crate) fn report_kind(&self, checker: &mut DocumentChecker<'_>, allowed: ValueKind) {
        let found = kind_of(self.value);
        self.report(checker, CheckProblem::WrongType { found, allowed });
    }

    /// Returns the value as an object. Reports any other kind of value.
    pub(crate) fn object(&self, checker: &mut DocumentChecker<'_>) -> Option<ObjectNode<'d>> {
        let object = self.as_object();
        if object.is_none() {
            self.report_kind(checker, ValueKind::Object);
        }
        object
    }

    /// Returns the value as a boolean, or `None` without a report.
    pub(crate) fn as_boolean(&self) -> Option<bool> {
        self.value.as_boolean_lit().map(|literal| literal.value)
    }

    /// Returns the value as an object, or `None` without a report.
    pub(crate) fn as_object(&self) -> Option<ObjectNode<'d>> {
        let object = self.value.as_object()?;
        let path = self.path.clone();
        Some(ObjectNode { object, path })
    }

    /// Returns the elements of the value as an array, each with its index as the
    /// last part of its path. Reports any other kind of value.
    pub(crate) fn elements(&self, checker: &mut DocumentChecker<'_>) -> Option<Vec<Self>> {
        let Some(array) = self.value.as_array() else {
            self.report_kind(checker, ValueKind::Array);
            return None;
        };
        let elements = array.elements.iter().enumerate();
        let nodes = elements
            .map(|(position, value)| Self::new(value, self.path.child(&position.to_string())));
        Some(nodes.collect())
    }
}

/// A value under a name that the document's author chose.
#[derive(Debug, Clone)]
pub(crate) struct NamedNode<'d> {
    pub(crate) name: &'d str,
    pub(crate) node: ValueNode<'d>,
    /// The byte offset at which the name starts.
    pub(crate) name_start: usize,
}

/// An object and its path.
#[derive(Debug, Clone)]
pub(crate) struct ObjectNode<'d> {
    object: &'d ast::Object<'d>,
    pub(crate) path: KeyPath,
}

impl<'d> ObjectNode<'d> {
    /// Returns the byte offset at which the object starts.
    pub(crate) fn start(&self) -> usize {
        start_of(self.object)
    }

    /// The value under `key`.
    pub(crate) fn get(&self, key: &str) -> Option<ValueNode<'d>> {
        let property = self.object.get(key)?;
        Some(ValueNode::new(&property.value, self.path.child(key)))
    }

    /// Reports keys that are not among `allowed`, and repeated ones.
    pub(crate) fn check_keys(
        &self,
        checker: &mut DocumentChecker<'_>,
        allowed: &'static [&'static str],
    ) {
        for entry in self.entries() {
            if !allowed.contains(&entry.name) {
                let problem = CheckProblem::UnknownKey {
                    found: quote(entry.name),
                    allowed,
                    nearest: nearest(entry.name, allowed.iter().copied()),
                };
                checker.report(entry.name_start, &entry.node.path, problem);
            }
        }
        self.report_repeated(checker, |found, first_line| CheckProblem::DuplicateKey {
            found,
            first_line,
        });
    }

    /// Reads the value under `key` with `read`. Reports a missing key.
    pub(crate) fn required<T>(
        &self,
        checker: &mut DocumentChecker<'_>,
        key: &str,
        read: impl FnOnce(&mut DocumentChecker<'_>, &ValueNode<'d>) -> Option<T>,
    ) -> Option<T> {
        match self.get(key) {
            Some(node) => read(checker, &node),
            None => {
                let path = self.path.child(key);
                checker.report(self.start(), &path, CheckProblem::MissingKey);
                None
            }
        }
    }

    /// Reads the value under `key` with `read`, or returns `default` if the key
    /// is missing.
    pub(crate) fn optional<T>(
        &self,
        checker: &mut DocumentChecker<'_>,
        key: &str,
        default: T,
        read: impl FnOnce(&mut DocumentChecker<'_>, &ValueNode<'d>) -> Option<T>,
    ) -> Option<T> {
        match self.get(key) {
            Some(node) => read(checker, &node),
            None => Some(default),
        }
    }

    /// Every key, in the order of the text.
    pub(crate) fn names(&self) -> impl Iterator<Item = &'d str> {
        let properties = self.object.properties.iter();
        properties.map(|property| property.name.as_str())
    }

    /// Every entry, in the order of the text.
    pub(crate) fn entries(&self) -> impl Iterator<Item = NamedNode<'d>> {
        self.object.properties.iter().map(|property| NamedNode {
            name: property.name.as_str(),
            node: ValueNode::new(&property.value, self.path.child(property.name.as_str())),
            name_start: start_of(&property.name),
        })
    }

    /// Returns the entries of an object whose keys are names that the author
    /// chose. Reports malformed and repeated names.
    pub(crate) fn named_entries(&self, checker: &mut DocumentChecker<'_>) -> Vec<NamedNode<'d>> {
        let entries: Vec<_> = self.entries().collect();
        for entry in &entries {
            if let Some(problem) = values::name_problem(entry.name) {
                checker.report(entry.name_start, &entry.node.path, problem);
            }
        }
        self.report_repeated(checker, |found, first_line| CheckProblem::DuplicateName {
            found,
            first_line,
        });
        entries
    }

    fn report_repeated(
        &self,
        checker: &mut DocumentChecker<'_>,
        problem: impl Fn(String, usize) -> CheckProblem,
    ) {
        let mut entries: Vec<_> = self.entries().collect();
        entries.sort_by_key(|entry| (entry.name, entry.name_start));
        for same in entries.chunk_by(|left, right| left.name == right.name) {
            let first_line = checker.line(same[0].name_start);
            for entry in &same[1..] {
                let problem = problem(quote(entry.name), first_line);
                checker.report(entry.name_start, &entry.node.path, problem);
            }
        }
    }
}
