//! Messages about who is home of which shard. All of them but
//! [`HolderNotice`] concern shards of the candidate's own failure domain, so
//! that a shard is named by its position alone.

use cardamomwinch_state::prelude::{DomainId, HostId, HostListVersion, ShardId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::peer::hand_over::HandOverChunk;

/// Positions of shards within one failure domain, as a bitmap without trailing
/// zero bytes: the shards 0 to 31 take at most four bytes.
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

    /// The positions in the set below `count`, in order. A set from outside
    /// may name any position, so the reader says how many there are.
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

/// Numbers the requests and releases of one life of a host, from one, so that
/// a voter can tell which of two about one shard was sent later.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRound(pub u32);

/// Asks a voter to grant, or to renew, leases.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The round of the sender.
    pub round: LeaseRound,
    /// How long a grant is to run, in milliseconds.
    pub lease_millis: u32,
    /// The list of hosts that the sender goes by.
    pub host_list: HostListVersion,
    /// Shards into which the sender divides its failure domain.
    pub shard_count: u16,
    /// Whether the sender stops, and is to get no shard that it does not have.
    pub stopping: bool,
    /// The shards that the sender holds or wants.
    pub wanted: ShardSet,
    /// The shards of `wanted` that it holds.
    pub held: ShardSet,
    /// Shards of `wanted` for which an earlier set of voters, known to the
    /// sender or not, may still be relied on.
    pub unsettled: ShardSet,
}

/// A voter's answer: shards that are not named were refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The round that it answers.
    pub round: LeaseRound,
    /// The list of hosts that the voter goes by.
    pub host_list: HostListVersion,
    /// The shards that were granted.
    pub granted: ShardSet,
    /// Earlier hosts of the candidate's failure domain, for a candidate that
    /// may never have heard of them.
    pub earlier: Vec<EarlierHosts>,
}

/// The hosts of a failure domain by a list that a later one has replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EarlierHosts {
    /// The hosts.
    pub hosts: Vec<HostId>,
    /// The list that replaced them.
    pub replaced_in: HostListVersion,
}

/// Gives up leases after a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRelease {
    /// The round of the sender.
    pub round: LeaseRound,
    /// The shards.
    pub shards: ShardSet,
}

/// What the sender holds, for hosts of other failure domains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderNotice {
    /// The failure domain of the shards.
    pub domain: DomainId,
    /// Shards into which the domain is divided.
    pub shard_count: u16,
    /// The shards that the sender holds.
    pub held: ShardSet,
}

/// Names one hand-over of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HandOverId {
    /// The shard.
    pub shard: ShardId,
    /// When the holder began; it begins at most one per shard at a time.
    pub begun: Timestamp,
}

/// The successor has put a chunk by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkReceipt {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// The position of the chunk.
    pub position: u16,
}

/// The holder has given up its lease; what the successor has put by is now
/// everything that is known of the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverCommit {
    /// The hand-over.
    pub hand_over: HandOverId,
    /// When the holder gave up its lease.
    pub released: Timestamp,
    /// Requests that may have been sent before this point may be known to an
    /// earlier home only.
    pub records_since: Timestamp,
}

/// Asks for, grants and hands over the lease on shards.
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
