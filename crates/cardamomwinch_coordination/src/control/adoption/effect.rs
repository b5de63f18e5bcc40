//! What adoption wants done by the control engine that it belongs to.

use std::net;

use cardamomwinch_configuration::resolve::Resolution;
use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::peer::earlier_tables::EarlierTables;
use cardamomwinch_state::prelude::HostId;

use crate::control::adoption::refusal::RefusedDocument;
use crate::control::event::PlatformRequest;
use crate::counter::Counter;

/// Something that adoption wants done.
#[derive(Debug, Clone)]
pub enum AdoptionEffect {
    /// Call the platform.
    Call(PlatformRequest),
    /// Send a message to another host.
    Tell {
        /// The host.
        host: HostId,
        /// Where it takes control messages, if no list of hosts says so yet.
        address: Option<net::SocketAddr>,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Send the earlier lookup tables to a host that started.
    TellEarlier {
        /// The host.
        host: HostId,
    },
    /// Take earlier lookup tables in.
    Earlier(EarlierTables),
    /// Count something.
    Count(Counter),
    /// Log that a document was refused.
    Refused(RefusedDocument),
    /// Take a configuration into force.
    InForce(Box<Resolution>),
    /// A newer list of hosts is in force.
    Hosts,
}
