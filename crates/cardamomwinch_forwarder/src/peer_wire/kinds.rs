//! Properties that many entries share, which are sent once as a kind.

use snafu::{OptionExt, Snafu};

/// The maximum number of kinds that are compared with each entry. Deployments have a handful
/// of kinds. The limit bounds the time of encoding for a deployment with thousands; further
/// entries each get a kind of their own.
const MAX_COMPARED_KINDS: usize = 64;

/// An entry refers to a kind that is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("an entry refers to kind {index}, which is missing"))]
pub struct UnknownKindError {
    /// The index of the kind.
    index: usize,
}

/// The index of `kind` in `kinds`; adds it if it is not found.
pub(super) fn index_of<K: PartialEq>(kinds: &mut Vec<K>, kind: K) -> usize {
    let mut compared = kinds.iter().take(MAX_COMPARED_KINDS);
    compared
        .position(|known| *known == kind)
        .unwrap_or_else(|| {
            kinds.push(kind);
            kinds.len() - 1
        })
}

/// The kind at `index`.
pub(super) fn kind_at<K>(kinds: &[K], index: usize) -> Result<&K, UnknownKindError> {
    kinds.get(index).context(UnknownKindSnafu { index })
}
