//! Suggests the name that was probably meant by a misspelt one.

/// At most this many candidates are compared, so that a large document full of
/// unknown names is still checked quickly.
const MAX_CANDIDATES: usize = 64;

/// Longer names are not compared, for the same reason.
const MAX_COMPARED_BYTES: usize = 64;

/// Returns the candidate with the smallest edit distance from `found`, if that
/// distance is at most a third of the length of `found`, or 1.
pub(crate) fn nearest<'c>(
    found: &str,
    candidates: impl IntoIterator<Item = &'c str>,
) -> Option<&'c str> {
    if found.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let allowed = (found.chars().count() / 3).max(1);
    candidates
        .into_iter()
        .take(MAX_CANDIDATES)
        .filter(|candidate| candidate.len() <= MAX_COMPARED_BYTES)
        .map(|candidate| (edit_distance(found, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the number of insertions, removals and replacements between two
/// words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (above, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = above + 1;
        for (column, right_char) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
