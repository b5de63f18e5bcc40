//! Authentication between hosts by a keyed BLAKE3 hash of each datagram. A host can accept two
//! keys, so that a key can be changed without an interruption.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::codec::{self, CodecError};

/// Length of an authentication code in bytes.
pub const CODE_LENGTH: usize = 16;

/// The error for a text that is not a key of 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("expected a key of 64 hexadecimal digits, found {length} characters"))]
pub struct KeyParseError {
    /// The length of the rejected text in bytes. The text itself stays secret.
    pub length: usize,
}

/// A secret that all hosts share. Neither `Debug` nor `Display` shows it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey([u8; 32]);

impl SecretKey {
    /// Wraps raw bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The authentication code of `bytes`. `context` is the kind of message: a code of one
    /// context is not valid in another.
    pub fn code(&self, context: u8, bytes: &[u8]) -> AuthenticationCode {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[context]);
        hasher.update(bytes);
        let mut code = [0; CODE_LENGTH];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_LENGTH]);
        AuthenticationCode(code)
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(..)")
    }
}

impl fmt::Display for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(secret)")
    }
}

impl str::FromStr for SecretKey {
    type Err = KeyParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let reject = || KeyParseError { length: text.len() };
        let parsed = blake3::Hash::from_hex(text).map_err(|_| reject())?;
        Ok(Self(*parsed.as_bytes()))
    }
}

/// A truncated keyed hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AuthenticationCode([u8; CODE_LENGTH]);

impl AuthenticationCode {
    /// Compares in constant time, so that the time taken doesn't reveal where the codes differ.
    fn matches(self, other: Self) -> bool {
        let difference = self.0.iter().zip(other.0);
        difference.fold(0, |sum, (left, right)| sum | (left ^ right)) == 0
    }
}

/// The key that a host signs with, and an optional second key that it also accepts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthenticationKeys {
    signing: SecretKey,
    accepted: Option<SecretKey>,
}

impl AuthenticationKeys {
    /// Creates keys that sign with `signing` and accept both keys.
    pub const fn new(signing: SecretKey, accepted: Option<SecretKey>) -> Self {
        Self { signing, accepted }
    }

    /// The code of `bytes` under the signing key.
    pub fn code(&self, context: u8, bytes: &[u8]) -> AuthenticationCode {
        self.signing.code(context, bytes)
    }

    /// Whether `code` is the code of `bytes` under one of the accepted keys.
    pub fn verify(&self, context: u8, bytes: &[u8], code: AuthenticationCode) -> bool {
        let keys = [Some(&self.signing), self.accepted.as_ref()];
        keys.into_iter()
            .flatten()
            .any(|key| key.code(context, bytes).matches(code))
    }

    /// Writes the authentication code of `value` and then its encoding into `buffer`, and
    /// returns the part that was written.
    ///
    /// # Errors
    /// Fails if the value does not fit.
    pub fn seal<'b, T: Serialize>(
        &self,
        context: u8,
        value: &T,
        buffer: &'b mut [u8],
    ) -> Result<&'b [u8], CodecError> {
        let capacity = buffer.len();
        if capacity < CODE_LENGTH {
            return Err(CodecError::Overflow {
                capacity,
                source: postcard::Error::SerializeBufferFull,
            });
        }
        let (head, tail) = buffer.split_at_mut(CODE_LENGTH);
        let body = codec::encode(value, tail)?;
        head.copy_from_slice(&self.code(context, body).0);
        let length = CODE_LENGTH + body.len();
        Ok(&buffer[..length])
    }

    /// Verifies and decodes what [`Self::seal`] wrote.
    ///
    /// # Errors
    /// Fails if no accepted key signed the bytes, or if they are malformed.
    pub fn open<'b, T: Deserialize<'b>>(
        &self,
        context: u8,
        bytes: &'b [u8],
    ) -> Result<T, CodecError> {
        let (head, body) = bytes
            .split_first_chunk::<CODE_LENGTH>()
            .ok_or(CodecError::Unauthenticated)?;
        if !self.verify(context, body, AuthenticationCode(*head)) {
            return Err(CodecError::Unauthenticated);
        }
        codec::decode(body)
    }
}
