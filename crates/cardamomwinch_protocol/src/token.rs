//! The routing token. A caller receives it when its flow is opened and echoes it in each
//! datagram, so that every host knows the backend server of the flow without asking others.

use std::net;

use cardamomwinch_state::prelude::{BackendEntry, BackendId, DomainId, FlowKey};
use serde::{Deserialize, Serialize};

use crate::authentication::{AuthenticationCode, AuthenticationKeys};
use crate::codec;

const TOKEN_CONTEXT: u8 = b't';
const SIGNED_LENGTH: usize = 160;

/// The backend server that a token names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TokenClaim {
    /// The backend server; its identifier covers service and address.
    pub backend: BackendId,
    /// The failure domain of the server.
    pub domain: DomainId,
    /// The address of the server. With it, a host can send datagrams to a server that was
    /// removed from the configuration before the host started.
    pub address: net::SocketAddr,
}

impl From<&BackendEntry> for TokenClaim {
    fn from(entry: &BackendEntry) -> Self {
        Self {
            backend: entry.id,
            domain: entry.domain,
            address: entry.address,
        }
    }
}

/// An authenticated statement of the backend server of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RoutingToken {
    claim: TokenClaim,
    code: AuthenticationCode,
}

impl RoutingToken {
    /// The claim of the token. Don't use it before the token is verified.
    pub const fn unverified_claim(&self) -> &TokenClaim {
        &self.claim
    }
}

/// Issues and verifies [`RoutingToken`]s. The authentication code covers both flow and claim,
/// so a token is not valid for another flow.
#[derive(Debug, Clone)]
pub struct TokenIssuer {
    keys: AuthenticationKeys,
}

impl TokenIssuer {
    /// Creates an issuer; all hosts must share the keys.
    pub const fn new(keys: AuthenticationKeys) -> Self {
        Self { keys }
    }

    /// The token that binds `flow` to the server of `claim`.
    pub fn issue(&self, flow: &FlowKey, claim: TokenClaim) -> RoutingToken {
        let mut buffer = [0; SIGNED_LENGTH];
        let signed = signed_bytes(flow, &claim, &mut buffer);
        let code = self.keys.code(TOKEN_CONTEXT, signed);
        RoutingToken { claim, code }
    }

    /// The claim of `token`, or `None` if no host issued it for `flow`.
    pub fn verify(&self, flow: &FlowKey, token: &RoutingToken) -> Option<TokenClaim> {
        let mut buffer = [0; SIGNED_LENGTH];
        let signed = signed_bytes(flow, &token.claim, &mut buffer);
        let genuine = self.keys.verify(TOKEN_CONTEXT, signed, token.code);
        genuine.then_some(token.claim)
    }
}

fn signed_bytes<'b>(
    flow: &FlowKey,
    claim: &TokenClaim,
    buffer: &'b mut [u8; SIGNED_LENGTH],
) -> &'b [u8] {
    codec::encode(&(flow, claim), buffer)
        .expect("three addresses and two numbers fit into the buffer")
}
