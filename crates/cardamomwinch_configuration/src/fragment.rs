//! A team's fragment: its services, their backend servers, and what each
//! preset changes about them.

use std::net;

use cardamomwinch_state::prelude::{
    BackendId, BackendPhase, ConnectionCount, DomainId, ServiceId, SlotCount, SortedVector, Weight,
};

use crate::check::CheckReport;
use crate::checker::DocumentChecker;
use crate::collision::{self, IdentifiedName};
use crate::document;
use crate::keys;
use crate::node::{NamedNode, ObjectNode, ValueNode};
use crate::preset::{self, PresetOverrides};
use crate::problem::CheckProblem;
use crate::rules;
use crate::taken::TakenAddresses;
use crate::values;

/// A backend server as its team defines it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendDefinition {
    /// The name of its failure domain.
    pub domain: String,
    /// Where it receives datagrams.
    pub address: net::SocketAddr,
    /// Requests it runs at the same time.
    pub slots: SlotCount,
    /// Flows it holds open at the same time.
    pub connections: ConnectionCount,
    /// Its share of new flows.
    pub weight: Weight,
    /// Whether it gets new flows.
    pub phase: BackendPhase,
}

/// A service as its team defines it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDefinition {
    /// The public address that callers use.
    pub address: net::SocketAddr,
    /// Its backend servers by name.
    pub backends: SortedVector<String, BackendDefinition>,
}

/// A team's fragment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamFragment {
    /// The name of the team.
    pub team: String,
    /// Its services by name.
    pub services: SortedVector<String, ServiceDefinition>,
    /// What each preset changes, by the name of the preset. A preset that is
    /// not listed changes nothing.
    pub presets: SortedVector<String, PresetOverrides>,
}

impl TeamFragment {
    /// Reads the fragment in `text`, which came from `file`.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn parse(file: &str, text: &str) -> Result<Self, CheckReport> {
        document::read_document(file, text, Self::read)
    }

    fn read(checker: &mut DocumentChecker<'_>, object: &ObjectNode<'_>) -> Option<Self> {
        object.check_keys(checker, keys::FRAGMENT);
        let team = object.required(checker, "team", values::name);
        let services = object.required(checker, "services", read_services);
        let none = SortedVector::new();
        let presets = object.optional(checker, "presets", none, |checker, node| {
            preset::read_presets(checker, node, object.get("services").as_ref())
        });
        Some(Self {
            team: team?,
            services: services?,
            presets: presets?,
        })
    }
}

/// What is collected from all services of the fragment and checked at the end.
#[derive(Default)]
struct FragmentIndex {
    addresses: TakenAddresses,
    domains: Vec<IdentifiedName<DomainId>>,
}

fn read_services(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<SortedVector<String, ServiceDefinition>> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let mut index = FragmentIndex::default();
    let services = entries.iter().filter_map(|entry| {
        let service = read_service(checker, entry, &mut index)?;
        Some((entry.name.to_owned(), service))
    });
    let services = services.collect();
    index.addresses.report(checker);
    let names = entries.iter().map(|entry| IdentifiedName {
        id: ServiceId::from_name(entry.name),
        name: entry.name.to_owned(),
    });
    report_collisions(checker, node, names.collect());
    report_collisions(checker, node, index.domains);
    Some(services)
}

fn read_service(
    checker: &mut DocumentChecker<'_>,
    entry: &NamedNode<'_>,
    index: &mut FragmentIndex,
) -> Option<ServiceDefinition> {
    let object = entry.node.object(checker)?;
    object.check_keys(checker, keys::SERVICE);
    let address = read_address(checker, &object, index);
    let backends = object.required(checker, "backends", |checker, node| {
        read_backends(checker, node, ServiceId::from_name(entry.name), index)
    });
    Some(ServiceDefinition {
        address: address?,
        backends: backends?,
    })
}

fn read_backends(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    service: ServiceId,
    index: &mut FragmentIndex,
) -> Option<SortedVector<String, BackendDefinition>> {
    let object = node.object(checker)?;
    let mut names = Vec::new();
    let mut backends = Vec::new();
    for entry in object.named_entries(checker) {
        let Some(backend) = read_backend(checker, &entry.node, index) else {
            continue;
        };
        names.push(IdentifiedName {
            id: BackendId::from_parts(service, entry.name, backend.address),
            name: entry.name.to_owned(),
        });
        backends.push((entry.name.to_owned(), backend));
    }
    report_collisions(checker, node, names);
    Some(backends.into_iter().collect())
}

fn read_backend(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    index: &mut FragmentIndex,
) -> Option<BackendDefinition> {
    let object = node.object(checker)?;
    object.check_keys(checker, keys::BACKEND);
    let domain = object.required(checker, "domain", values::name);
    let address = read_address(checker, &object, index);
    let slots = rules::SLOTS.read_u32(checker, &object);
    let connections = rules::CONNECTIONS.read_u32(checker, &object);
    let weight = rules::WEIGHT.read_u32(checker, &object);
    let phase = object.optional(checker, "phase", BackendPhase::Active, values::choice);
    let domain = domain?;
    index.domains.push(IdentifiedName {
        id: DomainId::from_name(&domain),
        name: domain.clone(),
    });
    Some(BackendDefinition {
        domain,
        address: address?,
        slots: SlotCount::new(slots?),
        connections: ConnectionCount::new(connections?),
        weight: Weight::new(weight?),
        phase: phase?,
    })
}

/// Reads an address, which may belong to only one service or to one backend
/// server of one service. If it were shared, a datagram could reach a service
/// that its flow does not belong to.
fn read_address(
    checker: &mut DocumentChecker<'_>,
    object: &ObjectNode<'_>,
    index: &mut FragmentIndex,
) -> Option<net::SocketAddr> {
    object.required(checker, "address", |checker, node| {
        let address = values::reachable_address(checker, node)?;
        index.addresses.note(address, node);
        Some(address)
    })
}

fn report_collisions<I: Ord>(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
    names: Vec<IdentifiedName<I>>,
) {
    for collision in collision::find_collisions(names) {
        let problem = CheckProblem::IdentifierCollision {
            found: collision.second,
            other: collision.first,
        };
        node.report(checker, problem);
    }
}
