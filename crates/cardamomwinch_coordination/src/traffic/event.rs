//! What a traffic engine is told.

use cardamomwinch_protocol::prelude::{FabricDatagram, RelayEnvelope};

/// Something that a traffic thread has to decide about.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is made on the stack and used at once, never stored"
)]
pub enum TrafficEvent<'a> {
    /// Time has passed. To be sent several times a second.
    Tick,
    /// The fabric handed over a datagram.
    Fabric(FabricDatagram<'a>),
    /// Another host, or another thread of this host, relayed a datagram. The
    /// transport has authenticated it.
    Relay(RelayEnvelope<'a>),
}
