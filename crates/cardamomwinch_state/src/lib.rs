//! Identifiers, quantities and tables of the load balancer. Nothing here does input or output
//! or reads a clock.
//!
//! Every other crate of the workspace builds on this one.
//!
//! ```
//! use cardamomwinch_state::prelude::*;
//!
//! let host = HostId::from_name("bud-angyal-1");
//! assert_eq!(host, HostId::from_name("bud-angyal-1"));
//! assert_eq!(host.to_string().parse::<HostId>().unwrap(), host);
//! ```

pub mod backend_server;
pub mod configuration;
pub mod flow;
pub mod host;
pub mod identifiers;
pub mod parted_table;
pub mod quantities;
pub mod service;
pub mod sorted_vector;

/// The items of the data model that are needed most often.
pub mod prelude {
    pub use crate::backend_server::{BackendEntry, BackendPhase};
    pub use crate::configuration::{ConfigurationLimits, InForceConfiguration};
    pub use crate::flow::{FlowHash, FlowHasher, FlowKey};
    pub use crate::host::{HostEntry, HostPhase, HostTable};
    pub use crate::identifiers::{
        BackendId, DomainId, HostId, RegionId, RequestId, ServiceId, ShardId, TeamId,
    };
    pub use crate::parted_table::{FlowTable, PartedTable, TableFullError};
    pub use crate::quantities::{
        ByteCount, ConfigurationVersion, ConnectionCount, FragmentRevision, HostListVersion,
        Incarnation, OpeningRate, RefutationCount, RoutePriority, SlotCount, Timestamp, Weight,
    };
    pub use crate::service::ServiceEntry;
    pub use crate::sorted_vector::SortedVector;
}
