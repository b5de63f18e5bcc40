//! Notes when the own failure domain has lost all servers of a service, and when it has
//! some again.
//!
//! Callers are served by other domains meanwhile, later than usual, and by nobody while
//! the domain is cut off; the log is to say from when to when.

use cardamomwinch_state::prelude::{DomainId, ServiceId};

use crate::forwarding::beliefs::BeliefChange;
use crate::forwarding::directory::{ServerDirectory, ServerPhase};

/// The services that the own domain serves, and those that it no longer does.
#[derive(Debug, Default)]
pub struct OwnServices {
    served: Vec<ServiceId>,
    lost: Vec<ServiceId>,
}

impl OwnServices {
    /// Compares with what `directory` holds of `domain` now; returns what changed.
    pub fn review(&mut self, directory: &ServerDirectory, domain: DomainId) -> Vec<BeliefChange> {
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
        let lost = lost.map(|service| BeliefChange::OwnServersLost { service });
        let back: Vec<ServiceId> = back;
        let back = back.into_iter();
        let back = back.map(|service| BeliefChange::OwnServersRegained { service });
        lost.chain(back).collect()
    }
}
