//! Finds names that have the same identifier.
//!
//! Every host derives identifiers from names. Two names that collide would be
//! the same thing to all hosts: flows of one would be sent to the other. With
//! 64 bits a collision by chance is very unlikely, but the authors of a
//! fragment choose the names, and the check is cheap.

/// A name and the identifier derived from it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdentifiedName<I> {
    /// The identifier.
    pub id: I,
    /// The name.
    pub name: String,
}

/// Two names with the same identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameCollision {
    /// The name that comes first in order.
    pub first: String,
    /// The other name.
    pub second: String,
}

/// Returns the collisions among `names`, ordered by identifier.
pub fn find_collisions<I: Ord>(mut names: Vec<IdentifiedName<I>>) -> Vec<NameCollision> {
    names.sort();
    let neighbours = names.windows(2);
    let colliding = neighbours
        .filter(|pair| pair[0].id == pair[1].id && pair[0].name != pair[1].name)
        .map(|pair| NameCollision {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
        });
    colliding.collect()
}
