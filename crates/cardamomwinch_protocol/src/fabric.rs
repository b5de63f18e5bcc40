//! Datagrams that the fabric delivers to a host.

use serde::{Deserialize, Serialize};

use crate::backend::BackendReply;
use crate::caller::CallerDatagram;

/// A datagram to the traffic address of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FabricDatagram<'a> {
    /// From a caller.
    #[serde(borrow)]
    Caller(CallerDatagram<'a>),
    /// From a backend server.
    #[serde(borrow)]
    Backend(BackendReply<'a>),
}
