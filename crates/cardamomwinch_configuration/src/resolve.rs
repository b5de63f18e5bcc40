//! Resolves the root document and the fragments of all teams into the
//! configuration in force.
//!
//! Teams write their fragments independently, so two of them may claim the same
//! resource. Only the fragment with the higher revision is then refused, and as
//! a whole: the team that published first keeps its claim, and no other team is
//! affected. The outcome depends only on the fragments, not on their order, so
//! that all hosts with the same fragments refuse the same ones.

use std::net;

use cardamomwinch_state::prelude::{
    BackendEntry, BackendId, ConfigurationVersion, DomainId, FragmentRevision,
    InForceConfiguration, ServiceEntry, ServiceId, SortedVector, TeamId,
};
use snafu::Snafu;

use crate::claims::{ClaimTable, FragmentClaims};
use crate::fragment::{BackendDefinition, ServiceDefinition, TeamFragment};
use crate::root::RootDocument;

/// A fragment that has no errors of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedFragment {
    /// The team under whose name the platform stores it.
    pub team: String,
    /// Its revision. A team has one fragment for each revision.
    pub revision: FragmentRevision,
    /// The fragment.
    pub fragment: TeamFragment,
}

/// Why a fragment without errors of its own is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum FragmentRefusal {
    /// The root document does not list the team.
    #[snafu(display("the root document does not list the team"))]
    NotListed,
    /// The fragment names another team than the one that published it.
    #[snafu(display("the fragment names team {named}"))]
    TeamMismatch {
        /// The team that the fragment names.
        named: String,
    },
    /// There is another fragment of the team, with a lower revision.
    #[snafu(display("the team has another fragment with a lower revision"))]
    TeamRepeated,
    /// Another team has a service of this name.
    #[snafu(display("the name of service {service} is taken already by team {holder}"))]
    ServiceNameTaken {
        /// The name of the service.
        service: String,
        /// The team that has it.
        holder: String,
    },
    /// Another team uses this address for a service or a backend server.
    #[snafu(display("address {address} of {claimant} is taken already by team {holder}"))]
    AddressTaken {
        /// The address.
        address: net::SocketAddr,
        /// The service or backend server for which this fragment claims it.
        claimant: String,
        /// The team that has it.
        holder: String,
    },
    /// A name has the same identifier as a name of another team.
    #[snafu(display("name {name:?} gives the same identifier as {other:?} of team {holder}"))]
    IdentifierCollision {
        /// The name in this fragment.
        name: String,
        /// The name in the other team's fragment.
        other: String,
        /// The other team.
        holder: String,
    },
}

/// A fragment that is not in force, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedFragment {
    /// The team under whose name the platform stores it.
    pub team: String,
    /// Its revision.
    pub revision: FragmentRevision,
    /// Why it is refused.
    pub reason: FragmentRefusal,
}

/// The outcome of [`resolve`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resolution {
    /// The configuration in force.
    pub configuration: InForceConfiguration,
    /// The refused fragments, ordered by team and revision.
    pub refused: Vec<RefusedFragment>,
    /// The names of the failure domains in force, for display.
    pub domain_names: SortedVector<DomainId, String>,
    /// The names of the teams in force, for display.
    pub team_names: SortedVector<TeamId, String>,
}

/// Applies the preset of `root` to `fragments` and combines them into the
/// configuration of `version`.
pub fn resolve(
    root: &RootDocument,
    version: ConfigurationVersion,
    fragments: &[AcceptedFragment],
) -> Resolution {
    let mut refused = Vec::new();
    let mut candidates = Vec::new();
    for fragment in fragments {
        match check_team(root, fragment) {
            Ok(()) => candidates.push(fragment),
            Err(reason) => refused.push(refuse(fragment, reason)),
        }
    }
    candidates.sort_by_key(|fragment| (fragment.revision, &fragment.team));
    let claims = candidates
        .iter()
        .map(|fragment| FragmentClaims::of(fragment));
    let mut table = ClaimTable::new(claims.collect());
    let mut accepted = Vec::new();
    for (rank, fragment) in candidates.into_iter().enumerate() {
        match table.admit(rank) {
            Ok(()) => accepted.push(fragment),
            Err(reason) => refused.push(refuse(fragment, reason)),
        }
    }
    refused.sort_by(|left, right| (&left.team, left.revision).cmp(&(&right.team, right.revision)));
    Resolution {
        configuration: assemble(root, version, &accepted),
        refused,
        domain_names: accepted
            .iter()
            .flat_map(|fragment| domain_names(fragment))
            .collect(),
        team_names: accepted
            .iter()
            .map(|fragment| (TeamId::from_name(&fragment.team), fragment.team.clone()))
            .collect(),
    }
}

fn check_team(root: &RootDocument, fragment: &AcceptedFragment) -> Result<(), FragmentRefusal> {
    if fragment.fragment.team != fragment.team {
        let named = fragment.fragment.team.clone();
        return Err(FragmentRefusal::TeamMismatch { named });
    }
    if root.teams.contains_key(&fragment.team) {
        Ok(())
    } else {
        Err(FragmentRefusal::NotListed)
    }
}

fn refuse(fragment: &AcceptedFragment, reason: FragmentRefusal) -> RefusedFragment {
    RefusedFragment {
        team: fragment.team.clone(),
        revision: fragment.revision,
        reason,
    }
}

fn domain_names(accepted: &AcceptedFragment) -> impl Iterator<Item = (DomainId, String)> {
    let services = accepted.fragment.services.values();
    let backends = services.flat_map(|service| service.backends.values());
    backends.map(|backend| (DomainId::from_name(&backend.domain), backend.domain.clone()))
}

fn assemble(
    root: &RootDocument,
    version: ConfigurationVersion,
    accepted: &[&AcceptedFragment],
) -> InForceConfiguration {
    let mut services = Vec::new();
    let mut backends = Vec::new();
    for source in accepted {
        for (name, definition) in source.fragment.services.iter() {
            let service = service_entry(&source.team, name, definition);
            for (backend_name, backend) in definition.backends.iter() {
                let backend =
                    with_preset(&source.fragment, &root.preset, name, backend_name, backend);
                let entry = backend_entry(service.id, backend_name, &backend);
                backends.push((entry.id, entry));
            }
            services.push((service.id, service));
        }
    }
    let addresses = services.iter().map(|(id, service)| (service.address, *id));
    InForceConfiguration {
        version,
        preset: root.preset.clone(),
        limits: root.limits.clone(),
        addresses: addresses.collect(),
        services: services.into_iter().collect(),
        backends: backends.into_iter().collect(),
    }
}

fn service_entry(team: &str, name: &str, definition: &ServiceDefinition) -> ServiceEntry {
    ServiceEntry {
        id: ServiceId::from_name(name),
        name: name.to_owned(),
        team: TeamId::from_name(team),
        address: definition.address,
    }
}

fn with_preset(
    fragment: &TeamFragment,
    preset: &str,
    service: &str,
    name: &str,
    backend: &BackendDefinition,
) -> BackendDefinition {
    let mut backend = backend.clone();
    let preset = fragment.presets.get(&preset.to_owned());
    if let Some(change) = preset.and_then(|preset| preset.get(service, name)) {
        change.apply(&mut backend);
    }
    backend
}

fn backend_entry(service: ServiceId, name: &str, backend: &BackendDefinition) -> BackendEntry {
    BackendEntry {
        id: BackendId::from_parts(service, name, backend.address),
        name: name.to_owned(),
        service,
        domain: DomainId::from_name(&backend.domain),
        address: backend.address,
        slots: backend.slots,
        connections: backend.connections,
        weight: backend.weight,
        phase: backend.phase,
    }
}
