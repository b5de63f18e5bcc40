//! The list of hosts that the platform publishes. It may be out of date.

use cardamomwinch_state::prelude::{
    DomainId, HostEntry, HostId, HostListVersion, HostPhase, HostTable, SortedVector,
};

use crate::check::CheckReport;
use crate::checker::DocumentChecker;
use crate::collision::{self, IdentifiedName};
use crate::document;
use crate::keys;
use crate::node::{NamedNode, ObjectNode, ValueNode};
use crate::problem::CheckProblem;
use crate::taken::TakenAddresses;
use crate::values;

/// Reads the list of hosts in `text`, which came from `file` and which the
/// platform holds under `version`.
///
/// # Errors
/// Reports every error of the document.
pub fn parse(file: &str, text: &str, version: HostListVersion) -> Result<HostTable, CheckReport> {
    let hosts = document::read_document(file, text, read)?;
    Ok(HostTable { version, hosts })
}

fn read(
    checker: &mut DocumentChecker<'_>,
    object: &ObjectNode<'_>,
) -> Option<SortedVector<HostId, HostEntry>> {
    object.check_keys(checker, keys::HOST_LIST);
    object.required(checker, "hosts", read_hosts)
}

fn read_hosts(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<SortedVector<HostId, HostEntry>> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let mut taken = TakenAddresses::default();
    let hosts = entries.iter().filter_map(|entry| {
        let host = read_host(checker, entry, &mut taken)?;
        Some((host.id, host))
    });
    let hosts = hosts.collect();
    taken.report(checker);
    let names = entries.iter().map(|entry| IdentifiedName {
        id: HostId::from_name(entry.name),
        name: entry.name.to_owned(),
    });
    for collision in collision::find_collisions(names.collect()) {
        let problem = CheckProblem::IdentifierCollision {
            found: collision.second,
            other: collision.first,
        };
        node.report(checker, problem);
    }
    Some(hosts)
}

fn read_host(
    checker: &mut DocumentChecker<'_>,
    entry: &NamedNode<'_>,
    taken: &mut TakenAddresses,
) -> Option<HostEntry> {
    let object = entry.node.object(checker)?;
    object.check_keys(checker, keys::HOST);
    let domain = object.required(checker, "domain", values::name);
    let mut read_address = |key| {
        object.required(checker, key, |checker, node| {
            let address = values::reachable_address(checker, node)?;
            taken.note(address, node);
            Some(address)
        })
    };
    let traffic_address = read_address("traffic_address");
    let relay_address = read_address("relay_address");
    let peer_address = read_address("peer_address");
    let phase = object.optional(checker, "phase", HostPhase::Live, values::choice);
    Some(HostEntry {
        id: HostId::from_name(entry.name),
        name: entry.name.to_owned(),
        domain: DomainId::from_name(&domain?),
        traffic_address: traffic_address?,
        peer_address: peer_address?,
        relay_address: relay_address?,
        phase: phase?,
    })
}
