//! The parts of a packet that forwarding uses.

use std::fmt;
use std::num;
use std::str;

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{BackendId, FlowKey};
use serde::{Deserialize, Serialize};

/// The number of tokens that may identify a server. Two of thousands of servers share one of
/// them every few weeks; that a server shares all of them is not to be expected.
const CANDIDATES: usize = 3;

/// Identifies the server of a flow in every packet after the opening. Callers send it back
/// unchanged.
///
/// Which of a server's candidates is used depends on the other known servers; see
/// [`crate::forwarding::token_index::TokenIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FlowToken(u32);

impl FlowToken {
    /// The token in packets of callers that have not received one yet.
    pub const NONE: Self = Self(0);

    /// Creates a token from a number that [`Self::get`] returned, possibly on another host.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The token of the server `id` while no other known server shares it: the low half of
    /// the identifier.
    pub const fn of_server(id: BackendId) -> Self {
        Self(id.get() as u32)
    }

    /// The tokens that may identify the server `id`, the preferred one first. The others are
    /// derived from the whole identifier, so that servers which share the first one differ in
    /// them.
    pub fn candidates(id: BackendId) -> [Self; CANDIDATES] {
        std::array::from_fn(|index| match index {
            0 => Self::of_server(id),
            _ => Self((flow::mix(id.get().wrapping_add(index as u64)) >> u32::BITS) as u32),
        })
    }

    /// The token as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for FlowToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl str::FromStr for FlowToken {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// The effect of a packet on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow. Callers that receive no answer send numbered copies.
    Opening {
        /// The number of openings of the flow that were sent before this one.
        copy: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Announces that the caller sends no more data.
    Closing,
    /// Ends the flow at once.
    Reset,
}

/// A packet of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPacket<'a> {
    /// The flow.
    pub flow: FlowKey,
    /// The effect of the packet.
    pub kind: PacketKind,
    /// The token that the caller sent.
    pub token: FlowToken,
    /// The position of the data in the caller's stream.
    pub sequence: u32,
    /// The position up to which the caller has acknowledged the server's stream.
    pub acknowledged: u32,
    /// The length of the data in bytes.
    pub length: u16,
    /// The identifier of the request that begins in this packet, if it can be read. It is
    /// used only in logs.
    pub request: Option<&'a str>,
}
