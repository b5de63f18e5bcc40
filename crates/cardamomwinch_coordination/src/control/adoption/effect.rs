//! Effects that adoption requests from its control engine.

use std::net;

use cardamomwinch_configuration::resolve::Resolution;
use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::peer::earlier_tables::EarlierTables;
use cardamomwinch_state::prelude::HostId;

use crate::control::adoption::refusal::RefusedDocument;
use crate::control::event::PlatformRequest;
use crate::counter::Counter;

/// An effect for the control engine to carry out.
#[derive(Debug, Clone)]
pub enum AdoptionEffect {
    /// Call the platform.
    Call(PlatformRequest),
    /// Send a message to another host.
    Send {
        /// The receiver.
        host: HostId,
        /// The address for control messages, if the receiver is not in the list of
        /// hosts yet.
        address: Option<net::SocketAddr>,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Send the earlier lookup tables to a host that started.
    SendEarlierTables {
        /// The host that started.
        host: HostId,
    },
    /// Apply the earlier lookup tables of a peer.
    ApplyEarlierTables(EarlierTables),
    /// Increment a counter.
    Count(Counter),
    /// Log that a document was refused.
    Refused(RefusedDocument),
    /// Put a configuration in force.
    InForce(Box<Resolution>),
    /// Report that a newer list of hosts is in force.
    HostsChanged,
}
