//! Bounds on how much of the load may be retries. Guards against a service that
//! is overloaded being pushed further down by its own callers' retries.

use cardamomwinch_state::prelude::{ServiceId, SortedVector};

/// What one retry costs; a first try earns as many of these as the percentage.
const RETRY_COST: u32 = 100;
/// Retries that may be made at once after a quiet time.
const BURST: u32 = 10;

/// The retry budgets of all services, a token bucket for each.
#[derive(Debug, Default, Clone)]
pub struct RetryBudgets {
    credits: SortedVector<ServiceId, u32>,
}

impl RetryBudgets {
    fn of(&mut self, service: ServiceId) -> &mut u32 {
        self.credits
            .get_or_insert_with(service, || RETRY_COST * BURST)
    }

    /// Notes a first try, which earns `percent` hundredths of a retry.
    pub fn note_first_try(&mut self, service: ServiceId, percent: u32) {
        let credit = self.of(service);
        *credit = (*credit + percent).min(RETRY_COST * BURST);
    }

    /// Pays for a retry, where the budget has it. At zero per cent there is
    /// no retry at all.
    pub fn take(&mut self, service: ServiceId, percent: u32) -> bool {
        let credit = self.of(service);
        if percent == 0 || *credit < RETRY_COST {
            return false;
        }
        *credit -= RETRY_COST;
        true
    }
}
