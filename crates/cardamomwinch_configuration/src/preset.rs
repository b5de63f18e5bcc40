//! What a preset changes about the backend servers of a fragment.

use cardamomwinch_state::prelude::{
    BackendPhase, ConnectionCount, SlotCount, SortedVector, Weight,
};

use crate::checker::{DocumentChecker, quote, quote_on_one_line};
use crate::fragment::BackendDefinition;
use crate::keys;
use crate::nearest::nearest;
use crate::node::{NamedNode, ObjectNode, ValueNode};
use crate::problem::{CheckProblem, ReferenceKind};
use crate::rules::{self, NumberRule};
use crate::values;

/// The maximum number of defined names that an error lists.
const LISTED_NAME_LIMIT: usize = 16;

/// What a preset changes about one backend server. `None` changes nothing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BackendOverride {
    /// Another share of new flows.
    pub weight: Option<Weight>,
    /// Whether it gets new flows.
    pub phase: Option<BackendPhase>,
    /// Another number of slots.
    pub slots: Option<SlotCount>,
    /// Another number of connections.
    pub connections: Option<ConnectionCount>,
}

impl BackendOverride {
    /// Applies the override to `backend`.
    pub fn apply(&self, backend: &mut BackendDefinition) {
        backend.weight = self.weight.unwrap_or(backend.weight);
        backend.phase = self.phase.unwrap_or(backend.phase);
        backend.slots = self.slots.unwrap_or(backend.slots);
        backend.connections = self.connections.unwrap_or(backend.connections);
    }

    fn read(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<Self> {
        let object = node.object(checker)?;
        object.check_keys(checker, keys::OVERRIDE);
        let weight = read_number(checker, &object, rules::WEIGHT);
        let slots = read_number(checker, &object, rules::SLOTS);
        let connections = read_number(checker, &object, rules::CONNECTIONS);
        let phase = object.optional(checker, "phase", None, |checker, node| {
            values::choice(checker, node).map(Some)
        });
        Some(Self {
            weight: weight?.map(Weight::new),
            phase: phase?,
            slots: slots?.map(SlotCount::new),
            connections: connections?.map(ConnectionCount::new),
        })
    }
}

/// Reads the number under the key of `rule`. The inner option is `None` if the
/// key is missing, the outer one if the number is invalid.
fn read_number(
    checker: &mut DocumentChecker<'_>,
    object: &ObjectNode<'_>,
    rule: NumberRule,
) -> Option<Option<u32>> {
    match object.get(rule.key) {
        Some(_) => rule.read_u32(checker, object).map(Some),
        None => Some(None),
    }
}

/// What a preset changes, by service and backend server.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PresetOverrides {
    /// Overrides by the name of the service and that of the backend server.
    pub services: SortedVector<String, SortedVector<String, BackendOverride>>,
}

impl PresetOverrides {
    /// Returns what the preset changes about backend server `backend` of
    /// `service`.
    pub fn get(&self, service: &str, backend: &str) -> Option<&BackendOverride> {
        let service = self.services.get(&service.to_owned())?;
        service.get(&backend.to_owned())
    }
}

/// Names that the fragment defines, sorted.
struct DefinedNames<'d> {
    names: Vec<&'d str>,
}

impl<'d> DefinedNames<'d> {
    fn of(object: &ObjectNode<'d>) -> Self {
        let mut names: Vec<_> = object.names().collect();
        names.sort_unstable();
        Self { names }
    }

    fn contains(&self, name: &str) -> bool {
        self.names.binary_search(&name).is_ok()
    }

    fn unknown(&self, kind: ReferenceKind, found: &str) -> CheckProblem {
        let names = || self.names.iter().copied();
        CheckProblem::UnknownReference {
            kind,
            found: quote(found),
            defined: names()
                .take(LISTED_NAME_LIMIT)
                .map(quote_on_one_line)
                .collect(),
            nearest: nearest(found, names()).map(str::to_owned),
        }
    }
}

/// The services that the fragment defines, and the names of their backend
/// servers if these can be read.
///
/// The names come from the text rather than from the parsed services, so that
/// an error within a service does not turn every reference to it into another
/// error. They are collected only once: collecting them for each reference
/// would let one team's fragment keep every host busy for minutes.
struct DefinedServices<'d> {
    names: DefinedNames<'d>,
    backends: SortedVector<&'d str, DefinedNames<'d>>,
}

impl<'d> DefinedServices<'d> {
    fn of(services: &ValueNode<'d>) -> Option<Self> {
        let services = services.as_object()?;
        let backends = services.entries().filter_map(|entry| {
            let backends = entry.node.as_object()?.get("backends")?.as_object()?;
            Some((entry.name, DefinedNames::of(&backends)))
        });
        Some(Self {
            names: DefinedNames::of(&services),
            backends: backends.collect(),
        })
    }
}

/// Reads the presets of a fragment whose services are under the node
/// `services`.
pub(crate) fn read_presets(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    services: Option<&ValueNode<'_>>,
) -> Option<SortedVector<String, PresetOverrides>> {
    let object = node.object(checker)?;
    let defined = services.and_then(DefinedServices::of);
    let entries = object.named_entries(checker);
    let presets = entries.iter().filter_map(|entry| {
        let overrides = read_preset(checker, &entry.node, defined.as_ref())?;
        Some((entry.name.to_owned(), overrides))
    });
    Some(presets.collect())
}

fn read_preset(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    defined: Option<&DefinedServices<'_>>,
) -> Option<PresetOverrides> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let services = entries.iter().filter_map(|entry| {
        check_service(checker, entry, defined);
        let backends = defined.and_then(|defined| defined.backends.get(&entry.name));
        let overrides = read_overrides(checker, &entry.node, backends)?;
        Some((entry.name.to_owned(), overrides))
    });
    Some(PresetOverrides {
        services: services.collect(),
    })
}

fn check_service(
    checker: &mut DocumentChecker<'_>,
    entry: &NamedNode<'_>,
    defined: Option<&DefinedServices<'_>>,
) {
    let Some(defined) = defined.filter(|defined| !defined.names.contains(entry.name)) else {
        return;
    };
    let problem = defined.names.unknown(ReferenceKind::Service, entry.name);
    checker.report(entry.name_start, &entry.node.path, problem);
}

fn read_overrides(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    defined: Option<&DefinedNames<'_>>,
) -> Option<SortedVector<String, BackendOverride>> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let overrides = entries.iter().filter_map(|entry| {
        if let Some(defined) = defined.filter(|defined| !defined.contains(entry.name)) {
            let problem = defined.unknown(ReferenceKind::BackendServer, entry.name);
            checker.report(entry.name_start, &entry.node.path, problem);
        }
        let backend = BackendOverride::read(checker, &entry.node)?;
        Some((entry.name.to_owned(), backend))
    });
    Some(overrides.collect())
}
