//! Wire types and codecs for messages between callers, hosts and backend servers, and between
//! the hosts themselves.
//!
//! Datagrams are encoded with `postcard`. Those between hosts are authenticated.
//!
//! ```
//! use cardamomwinch_protocol::prelude::*;
//! use cardamomwinch_state::prelude::*;
//!
//! let flow = FlowKey {
//!     caller: "127.0.0.1:4000".parse().unwrap(),
//!     service: "127.0.0.1:80".parse().unwrap(),
//! };
//! let datagram = FabricDatagram::Caller(CallerDatagram::open(flow, b"hello"));
//! let mut buffer = [0; 1500];
//! let bytes = codec::encode(&datagram, &mut buffer).unwrap();
//! assert_eq!(codec::decode::<FabricDatagram<'_>>(bytes).unwrap(), datagram);
//! ```

pub mod administration;
pub mod authentication;
pub mod backend;
pub mod caller;
pub mod codec;
pub mod fabric;
pub mod peer;
pub mod relay;
pub mod token;

/// The wire types that are needed most often.
pub mod prelude {
    pub use crate::authentication::{AuthenticationKeys, SecretKey};
    pub use crate::backend::{
        BackendDatagram, BackendKind, BackendReply, BackendReplyKind, LoadReport,
    };
    pub use crate::caller::{
        AttemptNumber, CallerDatagram, CallerKind, CallerReply, CallerReplyKind, PartNumber,
        RefusalReason, RequestHeader, ResetReason,
    };
    pub use crate::codec;
    pub use crate::fabric::FabricDatagram;
    pub use crate::peer::{PeerEnvelope, PeerMessage};
    pub use crate::relay::{
        FlowSearch, RelayEnvelope, RelayFrame, SEARCH_LIMIT, SearchStage, TriedServers,
    };
    pub use crate::token::{RoutingToken, TokenClaim, TokenIssuer};
}
