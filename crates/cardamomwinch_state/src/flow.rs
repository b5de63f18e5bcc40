//! The key of a flow and its hash, which is the same on all hosts.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::net;
use std::str;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use snafu::Snafu;

/// The addresses of the caller and the service, which identify a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: net::SocketAddr,
    /// Public address and port of the service.
    pub service: net::SocketAddr,
}

/// The error for a text that is not a flow in the form `CALLER->SERVICE`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("expected CALLER->SERVICE as two addresses with ports, found {found:?}"))]
pub struct FlowParseError {
    /// The rejected text.
    pub found: String,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}->{}", self.caller, self.service)
    }
}

impl str::FromStr for FlowKey {
    type Err = FlowParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let reject = || FlowParseError {
            found: text.to_owned(),
        };
        let (caller, service) = text.split_once("->").ok_or_else(reject)?;
        Ok(Self {
            caller: caller.parse().map_err(|_| reject())?,
            service: service.parse().map_err(|_| reject())?,
        })
    }
}

/// The hash of a flow under the seed that all hosts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FlowHash(u64);

impl FlowHash {
    /// Wraps a number that [`Self::get`] returned, possibly on another host.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The hash as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Mixes the hash with `salt` using the finalizer of SplitMix64. The results are evenly
    /// distributed and independent for different salts.
    pub const fn mixed_with(self, salt: u64) -> u64 {
        mix(self.0 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Distributes `number` evenly over all 64-bit numbers with the finalizer of SplitMix64.
pub const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Computes [`FlowHash`]es under a seed that all hosts share. Without a seed, callers could
/// choose ports whose flows all get the same hash.
#[derive(Debug, Clone, Copy)]
pub struct FlowHasher {
    seed: u64,
}

impl FlowHasher {
    /// Creates a hasher; every host must use the same `seed`.
    pub const fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// The hash of `key`.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        let mut hasher = SipHasher13::new_with_keys(self.seed, !self.seed);
        key.hash(&mut hasher);
        FlowHash(hasher.finish())
    }
}
