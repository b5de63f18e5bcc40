//! Datagrams that one entry host relays to another as data.

use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, FlowKey, HostId, ShardId};
use serde::{Deserialize, Serialize};

use crate::backend::BackendReply;
use crate::caller::CallerDatagram;
use crate::token::TokenClaim;

/// The authentication context of relayed datagrams.
pub const RELAY_CONTEXT: u8 = b'r';

/// The most servers that one search may ask.
pub const SEARCH_LIMIT: usize = 8;

/// The servers that a search has asked, bounded in number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TriedServers([BackendId; SEARCH_LIMIT]);

/// Stands for no server; as an identifier it is never derived in practice.
const NO_SERVER: BackendId = BackendId::new(0);

impl Default for TriedServers {
    fn default() -> Self {
        Self([NO_SERVER; SEARCH_LIMIT])
    }
}

impl TriedServers {
    /// Notes `backend`; `false` where no more can be noted.
    pub fn note(&mut self, backend: BackendId) -> bool {
        if self.contains(backend) {
            return true;
        }
        let free = self.0.iter_mut().find(|tried| **tried == NO_SERVER);
        let noted = free.map(|tried| *tried = backend);
        noted.is_some()
    }

    /// Whether `backend` was asked.
    pub fn contains(&self, backend: BackendId) -> bool {
        self.0.contains(&backend)
    }

    /// The servers that were asked.
    pub fn iter(&self) -> impl Iterator<Item = BackendId> {
        self.0.iter().copied().filter(|tried| *tried != NO_SERVER)
    }

    /// Whether no server was asked yet.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|tried| *tried == NO_SERVER)
    }
}

/// What a search asks at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SearchStage {
    /// The homes of the candidates, in turn: does one of them hold a pin?
    Homes,
    /// The candidates themselves, in turn: does one of them hold the flow?
    Servers,
}

/// How far the search for the server of a flow has come whose datagram carries
/// no token and whose pin the host that got it does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FlowSearch {
    /// The host that got the datagram from the fabric, to be told the result.
    pub origin: HostId,
    /// The traffic thread of that host.
    pub thread: u16,
    /// What is being asked.
    pub stage: SearchStage,
    /// The server whose home, or which itself, is being asked.
    pub candidate: TokenClaim,
    /// Those that were asked before.
    pub tried: TriedServers,
    /// A home that an opening should have asked could not be reached, so that
    /// another host may have placed the flow as well.
    pub skipped: bool,
    /// No host on the way so far has known which servers hosts that are behind
    /// in their configuration would choose.
    pub unsettled: bool,
}

/// What is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "a frame is made on the stack, encoded at once and never stored"
)]
pub enum RelayFrame<'a> {
    /// A caller's datagram, to the home of the shard that decides about it.
    Caller {
        /// The datagram as it came.
        #[serde(borrow)]
        datagram: CallerDatagram<'a>,
        /// The backend server that the sender has found the flow to belong to,
        /// or has placed it on; absent where the receiver is to decide. It is
        /// named in full, since the receiver may never have known the server.
        decided: Option<TokenClaim>,
        /// How far the search has come, where nothing is decided yet.
        search: Option<FlowSearch>,
        /// The shard that the sender takes the receiver to be the home of.
        shard: ShardId,
        /// How often it was relayed before; bounded so that it cannot circle.
        hops: u8,
    },
    /// Tells the host that got a datagram without a token from the fabric which
    /// backend server the flow belongs to, so that the next one goes straight.
    Learned {
        /// The flow.
        flow: FlowKey,
        /// Its server.
        claim: TokenClaim,
        /// The traffic thread that wants to know.
        thread: u16,
    },
    /// Tells the home that the newest lookup table leads to where a flow without
    /// token lives, which was placed under an earlier table.
    Announced {
        /// The flow.
        flow: FlowKey,
        /// Its server.
        claim: TokenClaim,
        /// The shard whose home is told.
        shard: ShardId,
    },
    /// A backend server's reply, to the home that accounts for it. The caller
    /// has already been sent what concerns it.
    Backend {
        /// The reply; the payload is left out where the answer is too long to be kept.
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
    /// The host that relays.
    pub sender: HostId,
    /// The configuration version that the sender decided under.
    pub version: ConfigurationVersion,
    /// What is relayed.
    #[serde(borrow)]
    pub frame: RelayFrame<'a>,
}
