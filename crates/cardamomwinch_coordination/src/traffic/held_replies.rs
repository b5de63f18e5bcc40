//! Replies of servers that are kept until it is known who is to account for them.

use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::BackendReply;

/// Replies that are held back at one place; more are dropped. Twice as many requests
/// are answered at one host in the time that a home takes to change hands.
const HELD_BACK_LIMIT: usize = 256;

/// Replies, as they came, bounded in number.
#[derive(Debug, Default)]
pub(crate) struct HeldReplies {
    encoded: Vec<Box<[u8]>>,
}

impl HeldReplies {
    /// Keeps `reply`, unless there are too many.
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

    /// Gives each reply to `take`, in the order in which they came.
    pub(crate) fn drain(self, mut take: impl FnMut(&BackendReply<'_>)) {
        for bytes in self.encoded {
            if let Ok(reply) = codec::decode::<BackendReply<'_>>(&bytes) {
                take(&reply);
            }
        }
    }
}
