//! Decisions under load: which servers and failure domains get new flows while a service
//! is short of capacity, and which callers go first.
//!
//! The modules here know nothing of packets, views or messages. An engine passes what it has
//! observed, and asks for decisions.
//!
//! - [`answer`] is what an engine has seen of one answer.
//! - [`domain_wait`] is how long requests wait in a failure domain.
//! - [`outcome_counts`] counts the recent answers of a server, and tells refused ones apart.
//! - [`outliers`] decides which servers get no new flows because they do worse than the
//!   others of their service.

pub mod answer;
pub mod domain_wait;
pub mod outcome_counts;
pub mod outliers;

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
