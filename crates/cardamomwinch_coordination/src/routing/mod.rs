//! Selection of the backend server for a flow and of the home for a shard. Every
//! host computes the same result from the same accepted state.

pub mod candidates;
pub mod generations;
pub mod lookup_table;
pub mod placement;
pub mod rendezvous;
pub mod table_fill;
