//! Encoding of datagrams with `postcard`, into buffers that the caller owns.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The largest datagram that is sent or accepted, in bytes.
pub const DATAGRAM_LIMIT: usize = 8 * 1024;

/// Why bytes could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// The value does not fit into the buffer.
    #[snafu(display("the value does not fit into {capacity} bytes"))]
    Overflow {
        /// The size of the buffer in bytes.
        capacity: usize,
        /// What the codec said.
        source: postcard::Error,
    },
    /// The bytes are not a value of the expected type.
    #[snafu(display("malformed datagram of {length} bytes"))]
    Malformed {
        /// The number of bytes received.
        length: usize,
        /// What the codec said.
        source: postcard::Error,
    },
    /// Bytes are left over behind the value.
    #[snafu(display("{excess} bytes left over behind the value"))]
    Trailing {
        /// The number of bytes left over.
        excess: usize,
    },
    /// The datagram is larger than any that is sent.
    #[snafu(display("{length} bytes exceed the limit of {DATAGRAM_LIMIT}"))]
    Oversized {
        /// The number of bytes received.
        length: usize,
    },
    /// The sender is not known or the bytes were altered.
    #[snafu(display("the authentication code does not match"))]
    Unauthenticated,
}

/// Encodes `value` into `buffer` and returns the part that was written.
///
/// # Errors
/// Fails where the value does not fit.
pub fn encode<'b, T: Serialize>(
    value: &T,
    buffer: &'b mut [u8],
) -> Result<&'b mut [u8], CodecError> {
    let capacity = buffer.len();
    postcard::to_slice(value, buffer).context(OverflowSnafu { capacity })
}

/// Decodes a value that may borrow from `bytes`.
///
/// # Errors
/// Fails on bytes that are too many, malformed, or left over.
pub fn decode<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, CodecError> {
    let length = bytes.len();
    snafu::ensure!(length <= DATAGRAM_LIMIT, OversizedSnafu { length });
    let (value, rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu { length })?;
    let excess = rest.len();
    snafu::ensure!(excess == 0, TrailingSnafu { excess });
    Ok(value)
}
