//! Entries that are added to a sorted vector together.
#![allow(missing_docs)]

use cardamomwinch_state::prelude::SortedVector;

#[test]
fn entries_added_together_are_in_order_and_the_last_of_equal_keys_wins() {
    let mut vector: SortedVector<u32, &str> = [(2, "two"), (6, "six")].into_iter().collect();
    vector.extend([(6, "later"), (4, "four"), (1, "one"), (4, "last")]);
    let entries: Vec<_> = vector.iter().map(|(key, value)| (*key, *value)).collect();
    assert_eq!(entries, [(1, "one"), (2, "two"), (4, "last"), (6, "later")]);
}
