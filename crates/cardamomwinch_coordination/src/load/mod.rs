//! Decisions under load: which servers and failure domains get new flows while a service
//! is short of capacity, and which callers go first.
//!
//! The modules here know nothing of packets, views or messages. An engine passes what it has
//! observed, and asks for decisions.
//!
//! - [`admission`] decides which requests are refused while there is room for too few.
//! - [`answer`] is what an engine has seen of one answer.
//! - [`domain_wait`] is how long requests wait in a failure domain.
//! - [`domain_load`] measures it; [`base_response`] and [`typical_answer`] are what answers are
//!   compared with.
//! - [`median_response`] raises the load of a server that is slower than the others.
//! - [`moving_rate`] is the rate of recent events.
//! - [`outcome_counts`] counts the recent answers of a server.
//! - [`outliers`] decides which servers get no new flows because they do worse than the
//!   others of their service.
//! - [`server_window`] is which servers of a domain a host opens flows to.
//! - [`slow_servers`] tells answers of slow servers from those that waited in a queue.
//! - [`spill_shares`] is which new flows go to other failure domains.

pub mod admission;
pub mod answer;
pub mod base_response;
pub mod domain_load;
pub mod domain_wait;
pub mod median_response;
pub mod moving_rate;
pub mod outcome_counts;
pub mod outliers;
pub mod server_window;
pub mod slow_servers;
pub mod spill_shares;
pub mod typical_answer;

/// Which decisions under load a host makes. Without any, it chooses servers by its own
/// flows, prefers its own failure domain and refuses nothing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LoadPolicy {
    /// Whether it opens flows within a small window of the servers of each domain.
    pub windows: bool,
    /// Whether it sends flows to other domains before the queues of its own one fill.
    pub spill: bool,
    /// Whether it refuses less urgent requests first if there is room for too few.
    pub priorities: bool,
    /// Whether it keeps new flows away from servers that do worse than the others.
    pub outliers: bool,
}
