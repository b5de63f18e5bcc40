//! Datagrams that hosts relay to each other.

use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, FlowKey, HostId, ShardId};
use serde::{Deserialize, Serialize};

use crate::backend::BackendReply;
use crate::caller::CallerDatagram;
use crate::token::TokenClaim;

/// The authentication context of relayed datagrams.
pub const RELAY_CONTEXT: u8 = b'r';

/// The most servers that one search tries.
pub const SEARCH_LIMIT: usize = 8;

/// The servers that a search has tried, at most [`SEARCH_LIMIT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TriedServers([BackendId; SEARCH_LIMIT]);

/// Marks an unused entry. A hash never produces this identifier in practice.
const NO_SERVER: BackendId = BackendId::new(0);

impl Default for TriedServers {
    fn default() -> Self {
        Self([NO_SERVER; SEARCH_LIMIT])
    }
}

impl TriedServers {
    /// Adds `backend`; returns false if there is no room for it.
    pub fn add(&mut self, backend: BackendId) -> bool {
        if self.contains(backend) {
            return true;
        }
        let free = self.0.iter_mut().find(|tried| **tried == NO_SERVER);
        let added = free.map(|tried| *tried = backend);
        added.is_some()
    }

    /// Whether `backend` was tried.
    pub fn contains(&self, backend: BackendId) -> bool {
        self.0.contains(&backend)
    }

    /// The servers that were tried.
    pub fn iter(&self) -> impl Iterator<Item = BackendId> {
        self.0.iter().copied().filter(|tried| *tried != NO_SERVER)
    }

    /// Whether no server was tried yet.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|tried| *tried == NO_SERVER)
    }
}

/// The stage of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SearchStage {
    /// Queries the homes of the candidates one after the other for a pin of the flow. The
    /// candidates are the servers that the lookup tables name for the flow.
    Homes,
    /// Sends the datagram to the candidates themselves one after the other, until one of them
    /// knows the flow.
    Servers,
}

/// The state of a search for the server of a flow. A host starts a search if a datagram has no
/// token and the host has no pin for its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowSearch {
    /// The host that received the datagram from the fabric. It is sent the result.
    pub origin: HostId,
    /// The traffic thread of that host that handles the flow.
    pub thread: u16,
    /// The stage of the search.
    pub stage: SearchStage,
    /// The server that is being tried, depending on `stage` through its home or directly.
    pub candidate: TokenClaim,
    /// The servers that were tried before.
    pub tried: TriedServers,
    /// Whether the search for an opening skipped a home that could not be reached. The flow
    /// may then have been placed by another host as well.
    #[serde(rename = "skipped")]
    pub home_skipped: bool,
    /// Whether every host that handled the search so far had started so recently that other
    /// hosts may still place new flows by lookup tables that the started host does not know.
    #[serde(rename = "unsettled")]
    pub history_missing: bool,
}

/// The content of a relayed datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "a frame is made on the stack, encoded at once and never stored"
)]
pub enum RelayFrame<'a> {
    /// A caller's datagram, sent to the home that decides about it.
    Caller {
        /// The datagram as it was received.
        #[serde(borrow)]
        datagram: CallerDatagram<'a>,
        /// The backend server of the flow, which the sender found or chose; `None` if the
        /// receiver decides. The full [`TokenClaim`] is sent because the server may be
        /// unknown to the receiver.
        decided: Option<TokenClaim>,
        /// The state of the search, if the server is not decided yet.
        search: Option<FlowSearch>,
        /// The shard whose home the receiver is, as far as the sender knows.
        shard: ShardId,
        /// How often it was relayed before. The number is limited, which prevents loops.
        hops: u8,
    },
    /// The result of a search, sent to the host that received the datagram from the fabric, so
    /// that the next datagram of the flow needs no search.
    Learned {
        /// The flow.
        flow: FlowKey,
        /// Its server.
        claim: TokenClaim,
        /// The traffic thread that started the search.
        thread: u16,
    },
    /// The server of a flow without a token that was placed under an earlier lookup table, sent
    /// to the home to which the newest table leads.
    Announced {
        /// The flow.
        flow: FlowKey,
        /// Its server.
        claim: TokenClaim,
        /// The shard of the home that receives this.
        shard: ShardId,
    },
    /// A backend server's reply, sent to the home that accounts for the request. The caller has
    /// already been sent its part of it.
    Backend {
        /// The reply, without its payload if the answer is too long to be kept.
        #[serde(borrow)]
        reply: BackendReply<'a>,
        /// The shard of the server.
        shard: ShardId,
        /// How often it was relayed before.
        hops: u8,
    },
}

/// A relayed datagram with its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayEnvelope<'a> {
    /// The host that relays the datagram.
    pub sender: HostId,
    /// The version of the configuration in force at the sender.
    pub version: ConfigurationVersion,
    /// The content.
    #[serde(borrow)]
    pub frame: RelayFrame<'a>,
}
