//! Encodes datagrams with `postcard` into buffers of the calling code, and decodes them.

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
        /// The error of the codec.
        source: postcard::Error,
    },
    /// The bytes are not a value of the expected type.
    #[snafu(display("malformed datagram of {length} bytes"))]
    Malformed {
        /// The number of bytes received.
        length: usize,
        /// The error of the codec.
        source: postcard::Error,
    },
    /// There are bytes after the value.
    #[snafu(display("{excess} unexpected bytes after the value"))]
    Trailing {
        /// The number of bytes after the value.
        excess: usize,
    },
    /// The datagram is longer than [`DATAGRAM_LIMIT`].
    #[snafu(display("{length} bytes exceed the limit of {DATAGRAM_LIMIT}"))]
    Oversized {
        /// The number of bytes received.
        length: usize,
    },
    /// No accepted key signed the bytes, or they were altered.
    #[snafu(display("the authentication code does not match"))]
    Unauthenticated,
}

/// Encodes `value` into `buffer` and returns the part that was written.
///
/// # Errors
/// Fails if the value does not fit.
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
/// Fails if there are more than [`DATAGRAM_LIMIT`] bytes, if they are malformed, or if there
/// are bytes after the value.
pub fn decode<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, CodecError> {
    let length = bytes.len();
    snafu::ensure!(length <= DATAGRAM_LIMIT, OversizedSnafu { length });
    let (value, rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu { length })?;
    let excess = rest.len();
    snafu::ensure!(excess == 0, TrailingSnafu { excess });
    Ok(value)
}
