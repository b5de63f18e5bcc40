//! Limits the share of retries in the load, so that retries do not overload a service
//! further.

use cardamomwinch_state::prelude::{ServiceId, SortedVector};

/// The cost of one retry. A first try earns the configured percentage as credit.
const RETRY_COST: u32 = 100;
/// The number of retries that may be made at once after a period without retries.
const BURST: u32 = 10;

/// The retry budgets of all services, a token bucket for each.
#[derive(Debug, Default, Clone)]
pub struct RetryBudgets {
    credits: SortedVector<ServiceId, u32>,
}

impl RetryBudgets {
    fn balance_mut(&mut self, service: ServiceId) -> &mut u32 {
        self.credits
            .get_or_insert_with(service, || RETRY_COST * BURST)
    }

    /// Records a first try, which earns `percent` hundredths of a retry.
    pub fn note_first_try(&mut self, service: ServiceId, percent: u32) {
        let credit = self.balance_mut(service);
        *credit = (*credit + percent).min(RETRY_COST * BURST);
    }

    /// Takes a retry from the budget; returns whether it covered the retry. At zero per
    /// cent no retries are made.
    pub fn take(&mut self, service: ServiceId, percent: u32) -> bool {
        let credit = self.balance_mut(service);
        if percent == 0 || *credit < RETRY_COST {
            return false;
        }
        *credit -= RETRY_COST;
        true
    }
}
