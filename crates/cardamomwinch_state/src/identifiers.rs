//! Identifiers. One that is derived from a name is the first eight bytes of a BLAKE3 hash of
//! that name, so that all hosts derive the same identifier without having to agree on an
//! assignment. The configuration check refuses two names whose identifiers are equal.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The error for a text that is not an identifier of sixteen hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("expected sixteen hexadecimal digits, found {found:?}"))]
pub struct IdentifierParseError {
    /// The rejected text.
    pub found: String,
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

macro_rules! hashed_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number that [`Self::get`] returned, possibly on another host.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The identifier as a number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:016x}", self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = IdentifierParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let reject = || IdentifierParseError { found: text.to_owned() };
                if text.len() != 16 {
                    return Err(reject());
                }
                u64::from_str_radix(text, 16).map(Self).map_err(|_| reject())
            }
        }
    };
}

hashed_identifier! {
    /// A host.
    HostId
}
hashed_identifier! {
    /// A failure domain.
    DomainId
}
hashed_identifier! {
    /// A region: failure domains that are close to each other.
    RegionId
}
hashed_identifier! {
    /// A team that owns a configuration fragment.
    TeamId
}
hashed_identifier! {
    /// A service behind one public address.
    ServiceId
}
hashed_identifier! {
    /// A backend server of one service. The same address has a different identifier in each
    /// service, so that a flow of one service can't be sent to a server of another after the
    /// address is reassigned.
    BackendId
}
hashed_identifier! {
    /// A request. The caller chooses the identifier, unique within the flow.
    RequestId
}

impl HostId {
    /// Derives the identifier of the host named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"host", name.as_bytes()]))
    }
}

impl DomainId {
    /// Derives the identifier of the failure domain named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"domain", name.as_bytes()]))
    }
}

impl RegionId {
    /// Derives the identifier of the region named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"region", name.as_bytes()]))
    }
}

impl TeamId {
    /// Derives the identifier of the team named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"team", name.as_bytes()]))
    }
}

impl ServiceId {
    /// Derives the identifier of the service named `name`.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"service", name.as_bytes()]))
    }
}

impl BackendId {
    /// Derives the identifier of the backend server `name` of `service` at `address`.
    pub fn from_parts(service: ServiceId, name: &str, address: std::net::SocketAddr) -> Self {
        let address = address.to_string();
        Self(hash_parts(&[
            b"backend",
            &service.get().to_le_bytes(),
            name.as_bytes(),
            address.as_bytes(),
        ]))
    }
}

/// One of the equal parts into which the backend servers of a failure domain are divided.
/// A shard has at most one home at a time: the host that holds its lease and decides about
/// its flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ShardId {
    /// The failure domain that the shard belongs to.
    pub domain: DomainId,
    /// The index of the shard within its domain, from zero.
    pub index: u16,
}

impl ShardId {
    /// The shard of `backend` in `domain`, which is divided into `count` shards (zero counts
    /// as one).
    pub const fn of_backend(domain: DomainId, backend: BackendId, count: u16) -> Self {
        let count = if count == 0 { 1 } else { count };
        let index = (crate::flow::mix(backend.get()) % count as u64) as u16;
        Self { domain, index }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.domain, self.index)
    }
}

impl str::FromStr for ShardId {
    type Err = IdentifierParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let reject = || IdentifierParseError {
            found: text.to_owned(),
        };
        let (domain, index) = text.split_once('/').ok_or_else(reject)?;
        Ok(Self {
            domain: domain.parse()?,
            index: index.parse().map_err(|_| reject())?,
        })
    }
}
