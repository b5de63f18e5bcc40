//! Shards that this host hands over to a better-ranked host, or because it
//! stops.
//!
//! The traffic thread freezes the shard and gives out what it knows; the
//! successor acknowledges each chunk; then the lease is given up and the
//! successor told so. Until that point the hand-over can be broken off without
//! harm: the successor has only put the chunks by.

use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{ChunkReceipt, HandOverCommit, HandOverId, HomeMessage};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::HomeAction;

/// A hand-over that has not got so far in this time is broken off.
pub const HAND_OVER_LIMIT: time::Duration = time::Duration::from_millis(500);
/// What was not acknowledged is sent again after this time.
const RESEND_AFTER: time::Duration = time::Duration::from_millis(100);
/// A successor that did not acknowledge is left alone for this long.
const AVOID_FOR: time::Duration = time::Duration::from_secs(1);
/// The word that the lease is given up is repeated for this long.
const COMMIT_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Hand-overs at the same time.
pub const HAND_OVERS_AT_ONCE: usize = 8;

#[derive(Debug)]
struct OutgoingChunk {
    chunk: HandOverChunk,
    received: bool,
    sent: Timestamp,
}

/// A hand-over that is under way.
#[derive(Debug)]
pub struct OutgoingHandOver {
    /// Its name.
    pub id: HandOverId,
    /// The successor.
    pub successor: HostId,
    chunks: SortedVector<u16, OutgoingChunk>,
    total: Option<u16>,
}

impl OutgoingHandOver {
    fn is_received(&self) -> bool {
        let whole = self.total == Some(self.chunks.len() as u16);
        whole && self.chunks.values().all(|chunk| chunk.received)
    }

    fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.id.begun) >= HAND_OVER_LIMIT
    }
}

#[derive(Debug, Clone, Copy)]
struct SentCommit {
    successor: HostId,
    commit: HandOverCommit,
    sent: Timestamp,
}

/// The hand-overs that this host has begun.
#[derive(Debug, Default)]
pub struct OutgoingTable {
    running: SortedVector<ShardId, OutgoingHandOver>,
    commits: SortedVector<ShardId, SentCommit>,
    avoided: SortedVector<HostId, Timestamp>,
}

impl OutgoingTable {
    /// Whether nothing is under way and every successor has confirmed.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.commits.is_empty()
    }

    /// Whether one more hand-over, of `shard`, may begin.
    pub fn may_begin(&self, shard: ShardId) -> bool {
        self.running.len() < HAND_OVERS_AT_ONCE && !self.running.contains_key(&shard)
    }

    /// Whether `host` failed to acknowledge just now.
    pub fn is_avoided(&self, now: Timestamp, host: HostId) -> bool {
        self.avoided.get(&host).is_some_and(|until| now < *until)
    }

    /// Begins to hand `shard` over. Guards against a control thread that is held
    /// up just before it gives up the lease, while the traffic thread goes on:
    /// the shard stays frozen, unless control thaws it, until every lease that
    /// was published before that point has run out.
    pub fn begin(
        &mut self,
        now: Timestamp,
        shard: ShardId,
        successor: HostId,
        lease: time::Duration,
        out: &mut Vec<HomeAction>,
    ) {
        let id = HandOverId { shard, begun: now };
        let hand_over = OutgoingHandOver {
            id,
            successor,
            chunks: SortedVector::new(),
            total: None,
        };
        self.running.insert(shard, hand_over);
        out.push(HomeAction::ReleaseShard {
            hand_over: id,
            frozen_until: now.after(HAND_OVER_LIMIT + lease),
        });
    }

    /// Sends on what the traffic thread has given out.
    pub fn take_chunk(&mut self, now: Timestamp, chunk: HandOverChunk, out: &mut Vec<HomeAction>) {
        let running = self.running.get_mut(&chunk.hand_over.shard);
        let Some(hand_over) = running.filter(|running| running.id == chunk.hand_over) else {
            return;
        };
        hand_over.total = Some(chunk.total);
        let message = HomeMessage::HandOver(chunk.clone());
        out.push(HomeAction::Send {
            host: hand_over.successor,
            message,
        });
        let outgoing = OutgoingChunk {
            received: false,
            sent: now,
            chunk,
        };
        let position = outgoing.chunk.position;
        hand_over.chunks.insert(position, outgoing);
    }

    /// Takes an acknowledgement. Returns the hand-over where that was the last
    /// one and there still is time to commit.
    pub fn take_receipt(
        &mut self,
        now: Timestamp,
        sender: HostId,
        receipt: ChunkReceipt,
    ) -> Option<OutgoingHandOver> {
        let shard = receipt.hand_over.shard;
        let running = self.running.get_mut(&shard)?;
        if running.id != receipt.hand_over || running.successor != sender {
            return None;
        }
        running.chunks.get_mut(&receipt.position)?.received = true;
        let ready = running.is_received() && !running.is_overdue(now);
        ready.then(|| self.running.remove(&shard)).flatten()
    }

    /// Tells the successor that the lease is given up, and again until it confirms.
    pub fn commit(
        &mut self,
        now: Timestamp,
        successor: HostId,
        commit: HandOverCommit,
        out: &mut Vec<HomeAction>,
    ) {
        let sent = SentCommit {
            successor,
            commit,
            sent: now,
        };
        self.commits.insert(commit.hand_over.shard, sent);
        out.push(HomeAction::Send {
            host: successor,
            message: HomeMessage::Commit(commit),
        });
    }

    /// Takes a successor's confirmation.
    pub fn confirm(&mut self, sender: HostId, id: HandOverId) {
        self.commits.retain(|shard, sent| {
            *shard != id.shard || sent.successor != sender || sent.commit.hand_over != id
        });
    }

    /// Sends again what was not acknowledged, and breaks off what is overdue.
    pub fn advance(&mut self, now: Timestamp, out: &mut Vec<HomeAction>) {
        let avoided = &mut self.avoided;
        avoided.retain(|_, until| now < *until);
        self.running.retain(|_, running| {
            let overdue = running.is_overdue(now);
            if overdue {
                avoided.insert(running.successor, now.after(AVOID_FOR));
                let shard = running.id.shard;
                out.push(HomeAction::ThawShard { shard });
            }
            !overdue
        });
        for (_, running) in self.running.iter_mut() {
            let successor = running.successor;
            for (_, outgoing) in running.chunks.iter_mut() {
                if !outgoing.received && now.since(outgoing.sent) >= RESEND_AFTER {
                    outgoing.sent = now;
                    out.push(HomeAction::Send {
                        host: successor,
                        message: HomeMessage::HandOver(outgoing.chunk.clone()),
                    });
                }
            }
        }
        self.commits
            .retain(|_, sent| now.since(sent.commit.released) < COMMIT_LIMIT);
        for (_, sent) in self.commits.iter_mut() {
            if now.since(sent.sent) >= RESEND_AFTER {
                sent.sent = now;
                out.push(HomeAction::Send {
                    host: sent.successor,
                    message: HomeMessage::Commit(sent.commit),
                });
            }
        }
    }

    /// Breaks everything off.
    pub fn break_off(&mut self) {
        self.running.clear();
    }
}
