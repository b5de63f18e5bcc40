//! Messages about the homes of shards. The home of a shard is the host that holds its lease. A
//! candidate asks voters, which are hosts of its failure domain, to grant it the lease.
//!
//! All messages except [`HolderNotice`] are about shards of the sender's own failure domain, so
//! they name a shard by its index alone.

use cardamomwinch_state::prelude::{
    DomainId, HostId, HostListVersion, Incarnation, ShardId, Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::peer::hand_over::HandOverChunk;

/// Indices of shards within one failure domain, as a bitmap without trailing zero bytes: the
/// shards 0 to 31 take at most four bytes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardSet(Vec<u8>);

impl ShardSet {
    /// Adds the shard at `index`.
    pub fn insert(&mut self, index: u16) {
        let byte = usize::from(index / 8);
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (index % 8);
    }

    /// Whether the shard at `index` is in the set.
    pub fn contains(&self, index: u16) -> bool {
        let byte = self.0.get(usize::from(index / 8));
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// The indices in the set that are less than `count`, in order. A set that was received may
    /// contain any index, so `count`, the number of shards, limits them.
    pub fn iter(&self, count: u16) -> impl Iterator<Item = u16> {
        (0..count).filter(|index| self.contains(*index))
    }
}

impl FromIterator<u16> for ShardSet {
    fn from_iter<I: IntoIterator<Item = u16>>(indices: I) -> Self {
        let mut set = Self::default();
        for index in indices {
            set.insert(index);
        }
        set
    }
}

/// The number of a request or release within one incarnation of a host, from one. It shows a
/// voter which of two messages about a shard was sent later.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRound(pub u32);

/// Requests a voter to grant or renew leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The round of this request.
    pub round: LeaseRound,
    /// The duration of the lease in milliseconds.
    pub lease_millis: u32,
    /// The version of the list of hosts that the sender uses.
    pub host_list: HostListVersion,
    /// The number of shards into which the sender divides its failure domain.
    pub shard_count: u16,
    /// Whether the sender is stopping. It must then get no shard that it does not hold.
    pub stopping: bool,
    /// The shards that the sender holds or wants.
    pub wanted: ShardSet,
    /// The shards of `wanted` that it holds.
    pub held: ShardSet,
    /// The shards of `wanted` for which grants of an earlier set of voters, which the sender may
    /// not know, may still be valid.
    pub unsettled: ShardSet,
}

/// A voter's answer to a [`LeaseRequest`]. Shards that are not in `granted` were refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The round of the request.
    pub round: LeaseRound,
    /// The version of the list of hosts that the voter uses.
    pub host_list: HostListVersion,
    /// The shards that were granted.
    pub granted: ShardSet,
    /// The hosts of the candidate's failure domain by earlier lists, which the candidate may
    /// not have received.
    pub earlier: Vec<EarlierHosts>,
}

/// The hosts of a failure domain by a list that has been replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierHosts {
    /// The hosts.
    pub hosts: Vec<HostId>,
    /// The version of the list that replaced them.
    pub replaced_in: HostListVersion,
}

/// The incarnation of a host in whose favour a lease is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct LeaseSuccessor {
    /// The host.
    pub host: HostId,
    /// The incarnation that has acknowledged the hand-over.
    pub incarnation: Incarnation,
    /// Its last round at that time. Its releases up to this round concern leases that it held
    /// before the hand-over.
    pub round: LeaseRound,
}

/// Releases leases after a hand-over, in favour of the successor only.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRelease {
    /// The round of this release.
    pub round: LeaseRound,
    /// The host that may be granted the shards before the leases of the sender expire.
    pub successor: LeaseSuccessor,
    /// The released shards.
    pub shards: ShardSet,
}

/// The shards that the sender holds, sent to hosts of other failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderNotice {
    /// The failure domain of the shards.
    pub domain: DomainId,
    /// The number of shards into which the domain is divided.
    pub shard_count: u16,
    /// The shards that the sender holds.
    pub held: ShardSet,
    /// Whether the sender has stopped and must not be assumed to be the home of any shard.
    pub stopped: bool,
}

/// Identifies a hand-over of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HandOverId {
    /// The shard.
    pub shard: ShardId,
    /// When the holder began it. A shard has at most one hand-over at a time.
    pub begun: Timestamp,
}

/// The successor has received and buffered a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkReceipt {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The index of the chunk.
    pub position: u16,
    /// The last round of the successor.
    pub round: LeaseRound,
}

/// The holder has released its lease. The chunks that the successor has buffered are now the
/// whole state of the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverCommit {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// When the holder released its lease.
    pub released: Timestamp,
    /// Requests that were sent before this point may be missing, because only an earlier home
    /// knew them.
    pub records_since: Timestamp,
}

/// Requests, grants, releases and hands over the leases of shards.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HomeMessage {
    /// From a candidate or holder to a voter.
    Request(LeaseRequest),
    /// From a voter to a candidate.
    Grant(LeaseGrant),
    /// From a holder to a voter.
    Release(LeaseRelease),
    /// From a holder to a host of another failure domain.
    Holders(HolderNotice),
    /// From a holder to its successor.
    HandOver(HandOverChunk),
    /// From a successor to the holder.
    Received(ChunkReceipt),
    /// From a former holder to its successor.
    Commit(HandOverCommit),
    /// From a successor to the former holder.
    Committed(HandOverId),
}
