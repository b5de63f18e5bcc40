//! The callers that were refused a short time ago.
//!
//! Guards against a caller that waits behind new callers indefinitely: each of its tries is
//! admitted with the same low probability, while others get in with their first one. Nothing
//! in a new flow shows that it is a retry, except the caller's IP address.

use std::net;
use std::time;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{FlowHash, PartedTable, Timestamp};

/// The maximum number of callers: those refused in [`RETURN_TIME`] if 3,000 different ones
/// are refused per second. Retries of further ones are treated like first openings.
const CALLER_LIMIT: usize = 16_384;
/// How long after a refusal another opening of the caller counts as a retry: a person tries
/// again within some seconds.
const RETURN_TIME: time::Duration = time::Duration::from_secs(5);
/// The maximum number of refusals that is counted. A caller with as many is admitted if new
/// callers are admitted with a probability of a 64th or more, which is less than a floor.
pub const MAX_RETURNS: usize = 6;

/// The IP address of a caller, and the service address that it opens flows to.
pub type CallerKey = (net::IpAddr, net::SocketAddr);

#[derive(Debug, Clone, Copy)]
struct ReturningCaller {
    refusals: usize,
    at: Timestamp,
}

/// A number that spreads callers over the parts of the table.
fn hash_of(caller: &CallerKey) -> FlowHash {
    let address = match caller.0 {
        net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        net::IpAddr::V6(ip) => ip.to_bits() as u64 ^ (ip.to_bits() >> 64) as u64,
    };
    FlowHash::new(flow::mix(address ^ u64::from(caller.1.port()) << 48))
}

/// How often callers were refused, limited in number.
#[derive(Debug)]
pub struct ReturningCallers {
    callers: PartedTable<CallerKey, ReturningCaller>,
}

impl Default for ReturningCallers {
    fn default() -> Self {
        Self {
            callers: PartedTable::new(CALLER_LIMIT),
        }
    }
}

impl ReturningCallers {
    /// How often `caller` was refused in the last seconds, at most [`MAX_RETURNS`].
    pub fn returns(&self, caller: &CallerKey, now: Timestamp) -> usize {
        let entry = self.callers.get(hash_of(caller), caller);
        let recent = entry.filter(|entry| now.since(entry.at) <= RETURN_TIME);
        recent.map_or(0, |entry| entry.refusals)
    }

    /// Records that an opening of `caller` is refused. Returns whether it found space.
    pub fn note_refused(&mut self, caller: CallerKey, now: Timestamp) -> bool {
        let refusals = (self.returns(&caller, now) + 1).min(MAX_RETURNS);
        let entry = ReturningCaller { refusals, at: now };
        self.callers.insert(hash_of(&caller), caller, entry).is_ok()
    }

    /// Records that an opening of `caller` is admitted.
    pub fn note_admitted(&mut self, caller: &CallerKey) {
        self.callers.remove(hash_of(caller), caller);
    }

    /// Removes callers that have not returned.
    pub fn sweep(&mut self, now: Timestamp) {
        self.callers
            .retain(|_, entry| now.since(entry.at) <= RETURN_TIME);
    }
}
