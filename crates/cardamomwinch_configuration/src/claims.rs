//! What each fragment claims for itself, and which claims clash.

use std::net;

use cardamomwinch_state::prelude::{BackendId, DomainId, ServiceId, TeamId};

use crate::resolve::{AcceptedFragment, FragmentRefusal};

/// What a fragment may claim.
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
    pub(crate) fn of(held: &AcceptedFragment) -> Self {
        let mut claims = Vec::new();
        let mut claim = |resource, name: &str| {
            let name = name.to_owned();
            claims.push(ResourceClaim { resource, name });
        };
        claim(
            ClaimedResource::Team(TeamId::from_name(&held.team)),
            &held.team,
        );
        for (name, service) in held.fragment.services.iter() {
            let id = ServiceId::from_name(name);
            claim(ClaimedResource::Service(id), name);
            claim(ClaimedResource::Address(service.address), name);
            for (name, backend) in service.backends.iter() {
                let domain = DomainId::from_name(&backend.domain);
                let backend_id = BackendId::from_role(id, name, backend.address);
                claim(ClaimedResource::Domain(domain), &backend.domain);
                claim(ClaimedResource::Address(backend.address), name);
                claim(ClaimedResource::Backend(backend_id), name);
            }
        }
        // Thousands of backend servers name the same few failure domains; one
        // claim for each keeps the search for a clash short.
        claims.sort();
        claims.dedup();
        let team = held.team.clone();
        Self { team, claims }
    }
}

/// A claim and the fragment that makes it.
struct RankedClaim {
    claim: ResourceClaim,
    rank: usize,
}

/// The claims of all fragments, and which fragments were admitted so far.
pub(crate) struct ClaimTable {
    fragments: Vec<FragmentClaims>,
    /// Sorted by resource, then rank.
    claims: Vec<RankedClaim>,
    admitted: Vec<bool>,
}

impl ClaimTable {
    /// Creates a table over `fragments`, of which earlier ones go first.
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

    /// Admits the fragment of `rank`, unless it clashes with an admitted one.
    /// A clash with a refused fragment costs nothing.
    pub(crate) fn admit(&mut self, rank: usize) -> Result<(), FragmentRefusal> {
        let claims = self.fragments[rank].claims.iter();
        match claims.filter_map(|claim| self.clash(claim)).next() {
            Some(refusal) => Err(refusal),
            None => {
                self.admitted[rank] = true;
                Ok(())
            }
        }
    }

    fn clash(&self, claim: &ResourceClaim) -> Option<FragmentRefusal> {
        let resource = claim.resource;
        let start = self
            .claims
            .partition_point(|held| held.claim.resource < resource);
        let same = self.claims[start..].iter();
        let same = same.take_while(|held| held.claim.resource == resource);
        let mut admitted = same.filter(|held| self.admitted[held.rank]);
        admitted.find_map(|held| refusal(claim, &held.claim, &self.fragments[held.rank].team))
    }
}

/// Why `claim` can't stand beside the claim `held` of team `holder`, if so.
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
        // A shared failure domain is no clash. The identifier of a backend
        // server holds that of its service, which has clashed before.
        ClaimedResource::Domain(_) | ClaimedResource::Backend(_) | ClaimedResource::Address(_) => {
            None
        }
    }
}
