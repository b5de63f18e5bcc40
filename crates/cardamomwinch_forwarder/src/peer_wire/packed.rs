//! Values in JSON that are encoded with `postcard` and written as Base64. For thousands of
//! servers this takes less than half of the bytes, and less time to read.

use base64::Engine;
use base64::engine::general_purpose;
use serde::de::{DeserializeOwned, Error as _};
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Writes `value` as a Base64 string.
///
/// # Errors
/// Fails if the serializer fails.
pub(super) fn serialize<T: Serialize, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let bytes = postcard::to_stdvec(value).map_err(S::Error::custom)?;
    serializer.serialize_str(&general_purpose::STANDARD_NO_PAD.encode(bytes))
}

/// Reads a value from a Base64 string.
///
/// # Errors
/// Fails if the string doesn't contain such a value.
pub(super) fn deserialize<'d, T: DeserializeOwned, D: Deserializer<'d>>(
    deserializer: D,
) -> Result<T, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = general_purpose::STANDARD_NO_PAD.decode(text);
    let bytes = bytes.map_err(D::Error::custom)?;
    postcard::from_bytes(&bytes).map_err(D::Error::custom)
}
