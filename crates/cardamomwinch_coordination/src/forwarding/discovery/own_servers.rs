//! Detects when the own failure domain has lost all servers of a service, and when it has
//! some again.
//!
//! Other domains serve callers meanwhile, with more delay, and nobody does while the own
//! domain is cut off. The log must show when this began and ended.

use cardamomwinch_state::prelude::{DomainId, ServiceId};

use crate::forwarding::directory::{ServerDirectory, ServerPhase};
use crate::forwarding::discovery::DiscoveryChange;

/// The services that have servers in the own domain, and those that have lost them all.
#[derive(Debug, Default)]
pub struct OwnServices {
    served: Vec<ServiceId>,
    lost: Vec<ServiceId>,
}

impl OwnServices {
    /// Compares with the servers of `domain` in `directory`; returns what changed.
    pub fn review(
        &mut self,
        directory: &ServerDirectory,
        domain: DomainId,
    ) -> Vec<DiscoveryChange> {
        let own = directory
            .iter()
            .filter(|server| server.domain == domain && server.phase == ServerPhase::Active);
        let mut served: Vec<ServiceId> = own.map(|server| server.service).collect();
        served.sort_unstable();
        served.dedup();
        let gone = |service: &&ServiceId| served.binary_search(service).is_err();
        let lost: Vec<ServiceId> = self.served.iter().filter(gone).copied().collect();
        let (back, still_lost) = std::mem::take(&mut self.lost)
            .into_iter()
            .partition(|service| served.binary_search(service).is_ok());
        self.lost = still_lost;
        self.lost.extend(&lost);
        self.served = served;
        let lost = lost.into_iter();
        let lost = lost.map(|service| DiscoveryChange::OwnServersLost { service });
        let back: Vec<ServiceId> = back;
        let back = back.into_iter();
        let back = back.map(|service| DiscoveryChange::OwnServersRegained { service });
        lost.chain(back).collect()
    }
}
