//! The routing token: given to a caller when its flow opens and echoed on each
//! datagram, so that any host knows the backend server without asking.

use cardamomwinch_state::prelude::{BackendId, FlowKey};
use serde::{Deserialize, Serialize};

use crate::authentication::{AuthenticationCode, AuthenticationKeys};
use crate::codec;

const TOKEN_CONTEXT: u8 = b't';
const SIGNED_LENGTH: usize = 128;

/// Names the backend server of one flow; authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RoutingToken {
    backend: BackendId,
    code: AuthenticationCode,
}

impl RoutingToken {
    /// The server that the token names. Verify the token before trusting it.
    pub const fn claimed_backend(&self) -> BackendId {
        self.backend
    }
}

/// Issues and verifies [`RoutingToken`]s. A token covers flow and backend
/// server; the identifier of the latter covers its service and address.
#[derive(Debug, Clone)]
pub struct TokenIssuer {
    keys: AuthenticationKeys,
}

impl TokenIssuer {
    /// Creates an issuer; all hosts must share the keys.
    pub const fn new(keys: AuthenticationKeys) -> Self {
        Self { keys }
    }

    /// The token that binds `flow` to `backend`.
    pub fn issue(&self, flow: &FlowKey, backend: BackendId) -> RoutingToken {
        let mut buffer = [0; SIGNED_LENGTH];
        let signed = Self::signed_bytes(flow, backend, &mut buffer);
        RoutingToken {
            backend,
            code: self.keys.code(TOKEN_CONTEXT, signed),
        }
    }

    /// The server of `flow` according to `token`, where a host issued it.
    pub fn verify(&self, flow: &FlowKey, token: &RoutingToken) -> Option<BackendId> {
        let mut buffer = [0; SIGNED_LENGTH];
        let signed = Self::signed_bytes(flow, token.backend, &mut buffer);
        self.keys
            .verify(TOKEN_CONTEXT, signed, token.code)
            .then_some(token.backend)
    }

    fn signed_bytes<'b>(
        flow: &FlowKey,
        backend: BackendId,
        buffer: &'b mut [u8; SIGNED_LENGTH],
    ) -> &'b [u8] {
        // Two addresses and a number always fit, so nothing is ever signed as empty.
        codec::encode(&(flow, backend), buffer).expect("a flow and a number fit into the buffer")
    }
}
