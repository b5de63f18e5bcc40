//! What many entries have in common, told once.

use snafu::{OptionExt, Snafu};

/// So many kinds are compared with each entry. Deployments have a handful of them; the
/// limit bounds the time that one with thousands takes, where each is told in full.
const COMPARED_KINDS: usize = 64;

/// An entry refers to a kind that was not told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("an entry is of kind {index}, which was not told"))]
pub struct UnknownKindError {
    /// The place of the kind.
    index: usize,
}

/// The place of `kind` among `kinds`, to which it is added where it is not there yet.
pub(super) fn place_of<K: PartialEq>(kinds: &mut Vec<K>, kind: K) -> usize {
    let mut compared = kinds.iter().take(COMPARED_KINDS);
    compared
        .position(|known| *known == kind)
        .unwrap_or_else(|| {
            kinds.push(kind);
            kinds.len() - 1
        })
}

/// The kind at the place `index`.
pub(super) fn kind_at<K>(kinds: &[K], index: usize) -> Result<&K, UnknownKindError> {
    kinds.get(index).context(UnknownKindSnafu { index })
}
