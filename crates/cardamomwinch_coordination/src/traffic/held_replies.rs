//! Replies of servers that are kept until the host that accounts for them is known.

use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::BackendReply;

/// At most this many replies are held back for one shard, or for a starting host; further
/// replies are dropped. While a home moves, one host may receive answers to twice as many
/// requests.
const HELD_BACK_LIMIT: usize = 256;

/// Encoded replies in order of arrival, bounded in number.
#[derive(Debug, Default)]
pub(crate) struct HeldReplies {
    encoded: Vec<Box<[u8]>>,
}

impl HeldReplies {
    /// Keeps `reply` unless the limit is reached.
    pub(crate) fn push(&mut self, reply: &BackendReply<'_>) {
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        if self.encoded.len() < HELD_BACK_LIMIT
            && let Ok(encoded) = codec::encode(reply, &mut buffer)
        {
            self.encoded.push((&*encoded).into());
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.encoded.is_empty()
    }

    /// Passes each reply to `take`, in order of arrival.
    pub(crate) fn drain(self, mut take: impl FnMut(&BackendReply<'_>)) {
        for bytes in self.encoded {
            if let Ok(reply) = codec::decode::<BackendReply<'_>>(&bytes) {
                take(&reply);
            }
        }
    }
}
