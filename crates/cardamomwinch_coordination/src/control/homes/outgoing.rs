//! Shards that this host hands over to a better-ranked host, or because it
//! stops.
//!
//! The traffic thread freezes the shard and exports its records. The successor
//! acknowledges each chunk. Then this host gives up the lease and sends the
//! successor a commit. Before the commit the hand-over can be aborted without
//! harm, because the successor has only buffered the chunks.

use std::time;

use cardamomwinch_protocol::peer::hand_over::HandOverChunk;
use cardamomwinch_protocol::peer::homes::{
    ChunkReceipt, HandOverCommit, HandOverId, HomeMessage, LeaseSuccessor,
};
use cardamomwinch_state::prelude::{HostId, ShardId, SortedVector, Timestamp};

use crate::control::homes::HomeAction;
use crate::control::homes::voters::HostIncarnation;

/// A hand-over whose chunks are not all acknowledged within this time is aborted.
pub const HAND_OVER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Chunks and commits that were not acknowledged are sent again after this time.
const RESEND_AFTER: time::Duration = time::Duration::from_millis(100);
/// A host that did not acknowledge a hand-over is not chosen as successor for
/// this long.
const AVOID_DURATION: time::Duration = time::Duration::from_secs(1);
/// An unconfirmed commit is repeated for this long.
const COMMIT_DURATION: time::Duration = time::Duration::from_secs(2);
/// The most outgoing hand-overs at the same time.
pub const MAX_CONCURRENT_HAND_OVERS: usize = 8;

#[derive(Debug)]
struct OutgoingChunk {
    chunk: HandOverChunk,
    received: bool,
    sent: Timestamp,
}

/// A hand-over that is under way.
#[derive(Debug)]
pub struct OutgoingHandOver {
    /// Identifies the hand-over.
    pub id: HandOverId,
    /// The successor.
    pub successor: HostId,
    /// The incarnation of the successor that acknowledges, and its last round.
    acknowledged_by: Option<LeaseSuccessor>,
    chunks: SortedVector<u16, OutgoingChunk>,
    total: Option<u16>,
}

impl OutgoingHandOver {
    fn is_received(&self) -> bool {
        let whole = self.total == Some(self.chunks.len() as u16);
        whole && self.chunks.values().all(|chunk| chunk.received)
    }

    /// Records the round of a receipt. Returns `false` if `sender` is not the
    /// successor, or not the incarnation of it that acknowledged before.
    ///
    /// Guards against a successor that restarts during the hand-over: it has lost
    /// the chunks of its earlier incarnation, so the hand-over would seem complete
    /// although it is not. Receipts of the new incarnation are ignored, and the
    /// hand-over times out.
    fn record_receipt(&mut self, sender: HostIncarnation, receipt: ChunkReceipt) -> bool {
        let incarnation = sender.incarnation;
        let known = self.acknowledged_by.unwrap_or(LeaseSuccessor {
            host: sender.host,
            incarnation,
            round: receipt.round,
        });
        if sender.host != self.successor || incarnation != known.incarnation {
            return false;
        }
        let round = known.round.max(receipt.round);
        self.acknowledged_by = Some(LeaseSuccessor { round, ..known });
        true
    }

    /// The incarnation of the successor that has acknowledged, if any.
    pub fn acknowledged_by(&self) -> Option<LeaseSuccessor> {
        self.acknowledged_by
    }

    fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.id.begun) >= HAND_OVER_TIMEOUT
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
    /// Whether no hand-over is running and every commit was confirmed.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.commits.is_empty()
    }

    /// Whether a hand-over of `shard` may begin.
    pub fn may_begin(&self, shard: ShardId) -> bool {
        self.running.len() < MAX_CONCURRENT_HAND_OVERS && !self.running.contains_key(&shard)
    }

    /// Whether `host` recently failed to acknowledge a hand-over.
    pub fn is_avoided(&self, now: Timestamp, host: HostId) -> bool {
        self.avoided.get(&host).is_some_and(|until| now < *until)
    }

    /// Begins to hand over `shard`.
    ///
    /// Guards against a control thread that is delayed just before it gives up the
    /// lease while the traffic thread continues: the shard stays frozen until every
    /// lease in a published snapshot has expired, unless the control thread thaws it
    /// before.
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
            acknowledged_by: None,
            chunks: SortedVector::new(),
            total: None,
        };
        self.running.insert(shard, hand_over);
        out.push(HomeAction::ReleaseShard {
            hand_over: id,
            frozen_until: now.after(HAND_OVER_TIMEOUT + lease),
        });
    }

    /// Sends a chunk that the traffic thread has exported to the successor.
    pub fn send_chunk(&mut self, now: Timestamp, chunk: HandOverChunk, out: &mut Vec<HomeAction>) {
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

    /// Handles an acknowledgement. Returns the hand-over if this was the last
    /// missing one and the hand-over has not timed out.
    pub fn handle_receipt(
        &mut self,
        now: Timestamp,
        sender: HostIncarnation,
        receipt: ChunkReceipt,
    ) -> Option<OutgoingHandOver> {
        let shard = receipt.hand_over.shard;
        let running = self.running.get_mut(&shard)?;
        if running.id != receipt.hand_over || !running.record_receipt(sender, receipt) {
            return None;
        }
        running.chunks.get_mut(&receipt.position)?.received = true;
        let ready = running.is_received() && !running.is_overdue(now);
        ready.then(|| self.running.remove(&shard)).flatten()
    }

    /// Sends the successor the commit, and repeats it until the successor confirms.
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

    /// Handles the confirmation of a commit.
    pub fn handle_confirmation(&mut self, sender: HostId, id: HandOverId) {
        self.commits.retain(|shard, sent| {
            *shard != id.shard || sent.successor != sender || sent.commit.hand_over != id
        });
    }

    /// Resends unacknowledged chunks and commits, and aborts overdue hand-overs.
    pub fn advance(&mut self, now: Timestamp, out: &mut Vec<HomeAction>) {
        let avoided = &mut self.avoided;
        avoided.retain(|_, until| now < *until);
        self.running.retain(|_, running| {
            let overdue = running.is_overdue(now);
            if overdue {
                avoided.insert(running.successor, now.after(AVOID_DURATION));
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
            .retain(|_, sent| now.since(sent.commit.released) < COMMIT_DURATION);
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

    /// Aborts all running hand-overs.
    pub fn abort_all(&mut self) {
        self.running.clear();
    }
}
