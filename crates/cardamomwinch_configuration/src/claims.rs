//! The resources that fragments claim, and the conflicts between claims.

use std::net;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, TeamId};

use crate::resolve::{AcceptedFragment, FragmentRefusal};

/// A resource that a fragment can claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ClaimedResource {
    Team(TeamId),
    Service(ServiceId),
    Address(net::SocketAddr),
    Domain(DomainId),
    Backend(BackendId),
}

/// A resource and the name for which it is claimed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ResourceClaim {
    resource: ClaimedResource,
    name: String,
}

/// All claims of one fragment.
pub(crate) struct FragmentClaims {
    team: String,
    claims: Vec<ResourceClaim>,
}

impl FragmentClaims {
    pub(crate) fn of(accepted: &AcceptedFragment) -> Self {
        let mut claims = Vec::new();
        let mut claim = |resource, name: &str| {
            let name = name.to_owned();
            claims.push(ResourceClaim { resource, name });
        };
        claim(
            ClaimedResource::Team(TeamId::from_name(&accepted.team)),
            &accepted.team,
        );
        for (name, service) in accepted.fragment.services.iter() {
            let id = ServiceId::from_name(name);
            claim(ClaimedResource::Service(id), name);
            claim(ClaimedResource::Address(service.address), name);
            for (name, backend) in service.backends.iter() {
                let domain = DomainId::from_name(&backend.domain);
                let backend_id = BackendId::from_parts(id, name, backend.address);
                claim(ClaimedResource::Domain(domain), &backend.domain);
                claim(ClaimedResource::Address(backend.address), name);
                claim(ClaimedResource::Backend(backend_id), name);
            }
        }
        // Thousands of backend servers name the same few failure domains. One
        // claim for each domain keeps the search for conflicts short.
        claims.sort();
        claims.dedup();
        let team = accepted.team.clone();
        Self { team, claims }
    }
}

/// A claim and the rank of the fragment that makes it.
struct RankedClaim {
    claim: ResourceClaim,
    rank: usize,
}

/// The claims of all fragments, and which fragments have been admitted so far.
pub(crate) struct ClaimTable {
    fragments: Vec<FragmentClaims>,
    /// Sorted by resource, then rank.
    claims: Vec<RankedClaim>,
    admitted: Vec<bool>,
}

impl ClaimTable {
    /// Creates a table of `fragments`, in descending order of precedence.
    pub(crate) fn new(fragments: Vec<FragmentClaims>) -> Self {
        let ranked = fragments.iter().enumerate().flat_map(|(rank, fragment)| {
            let claims = fragment.claims.iter().cloned();
            claims.map(move |claim| RankedClaim { claim, rank })
        });
        let mut claims: Vec<_> = ranked.collect();
        claims.sort_by_key(|ranked| (ranked.claim.resource, ranked.rank));
        let admitted = vec![false; fragments.len()];
        Self {
            fragments,
            claims,
            admitted,
        }
    }

    /// Admits the fragment of `rank` unless it conflicts with an admitted one.
    /// Conflicts with refused fragments don't count.
    pub(crate) fn admit(&mut self, rank: usize) -> Result<(), FragmentRefusal> {
        let claims = self.fragments[rank].claims.iter();
        match claims.filter_map(|claim| self.conflict(claim)).next() {
            Some(refusal) => Err(refusal),
            None => {
                self.admitted[rank] = true;
                Ok(())
            }
        }
    }

    fn conflict(&self, claim: &ResourceClaim) -> Option<FragmentRefusal> {
        let resource = claim.resource;
        let start = self
            .claims
            .partition_point(|ranked| ranked.claim.resource < resource);
        let same = self.claims[start..].iter();
        let same = same.take_while(|ranked| ranked.claim.resource == resource);
        let mut admitted = same.filter(|ranked| self.admitted[ranked.rank]);
        admitted.find_map(|ranked| refusal(claim, &ranked.claim, &self.fragments[ranked.rank].team))
    }
}

/// Returns why `claim` conflicts with the claim `held` of team `holder`, if it
/// does.
fn refusal(claim: &ResourceClaim, held: &ResourceClaim, holder: &str) -> Option<FragmentRefusal> {
    let holder = holder.to_owned();
    let name = claim.name.clone();
    if let ClaimedResource::Address(address) = claim.resource {
        return Some(FragmentRefusal::AddressTaken {
            address,
            claimant: name,
            holder,
        });
    }
    if claim.name != held.name {
        return Some(FragmentRefusal::IdentifierCollision {
            name,
            other: held.name.clone(),
            holder,
        });
    }
    match claim.resource {
        ClaimedResource::Team(_) => Some(FragmentRefusal::TeamRepeated),
        ClaimedResource::Service(_) => Some(FragmentRefusal::ServiceNameTaken {
            service: name,
            holder,
        }),
        // Teams may share a failure domain. The identifier of a backend server
        // is derived from that of its service, whose claim conflicts first.
        ClaimedResource::Domain(_) | ClaimedResource::Backend(_) | ClaimedResource::Address(_) => {
            None
        }
    }
}
