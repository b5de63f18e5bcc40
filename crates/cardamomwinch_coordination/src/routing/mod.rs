//! Ways to choose a backend server for a flow and a home for a shard, all of
//! which every host computes alike from what it has accepted.

pub mod candidates;
pub mod generations;
pub mod lookup_table;
pub mod placement;
pub mod rendezvous;
pub mod table_fill;
