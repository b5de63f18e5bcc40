//! Ways to fill the positions of a lookup table.

use std::cmp;
use std::collections;

use cardamomwinch_protocol::peer::earlier_tables::ListedServer;

use crate::routing::rendezvous;

/// Numbers of positions to choose from: primes, each about four times the one
/// before. A step changes nearly every position, so there are few, and it is
/// the number of servers alone that says which one applies.
const POSITION_COUNTS: [u32; 6] = [4093, 16_381, 65_521, 262_139, 1_048_573, 4_194_301];
/// A table has at least this many positions for each server.
const POSITIONS_PER_SERVER: usize = 32;

/// Fills the positions of a lookup table, alike on every host.
pub trait TableFill {
    /// For each position the place of its server in `takers`, which are sorted
    /// by identifier, not empty, and of positive weight.
    fn fill(takers: &[ListedServer]) -> Vec<u32>;
}

/// The number of positions of a table of `servers`.
pub fn position_count(servers: usize) -> u32 {
    let wanted = servers * POSITIONS_PER_SERVER;
    let fitting = POSITION_COUNTS
        .iter()
        .find(|count| **count as usize >= wanted);
    fitting
        .copied()
        .unwrap_or(POSITION_COUNTS[POSITION_COUNTS.len() - 1])
}

/// Each position goes to the server with the best score for it. A change of one
/// server moves only what it wins or loses, but shares are uneven by chance and
/// the cost is the product of servers and positions.
#[derive(Debug, Clone, Copy)]
pub struct RendezvousFill;

impl TableFill for RendezvousFill {
    fn fill(takers: &[ListedServer]) -> Vec<u32> {
        let best = |position: u32| {
            let costs = takers.iter().enumerate().map(|(index, entry)| {
                let subject = u64::from(position);
                let cost = rendezvous::weighted_cost(entry.backend.get(), subject, entry.weight);
                (cost, index as u32)
            });
            let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
            best.map_or(0, |(_, index)| index)
        };
        (0..position_count(takers.len())).map(best).collect()
    }
}

/// The servers take turns, as often as their weights say, and each takes the
/// next free position of a permutation of its own (the method of Maglev).
/// Shares are even to one position; a change moves a little more than it must.
#[derive(Debug, Clone, Copy)]
pub struct PermutationFill;

impl TableFill for PermutationFill {
    fn fill(takers: &[ListedServer]) -> Vec<u32> {
        let count = position_count(takers.len());
        let mut positions = vec![FREE; count as usize];
        let mut walks: Vec<PositionWalk> = takers
            .iter()
            .map(|entry| PositionWalk::new(entry.backend.get(), count))
            .collect();
        let mut turns: collections::BinaryHeap<cmp::Reverse<(u64, u32)>> = takers
            .iter()
            .zip(0..)
            .map(|(entry, index)| cmp::Reverse((turn_length(entry), index)))
            .collect();
        for _ in 0..count {
            let Some(mut first) = turns.peek_mut() else {
                break;
            };
            let cmp::Reverse((time, index)) = *first;
            let position = walks[index as usize].next_free(&positions, count);
            positions[position as usize] = index;
            *first = cmp::Reverse((time + turn_length(&takers[index as usize]), index));
        }
        positions
    }
}

const FREE: u32 = u32::MAX;

/// The time between two turns of a server, inverse to its weight. Even the sum
/// over all positions of the longest one fits into 64 bits.
fn turn_length(taker: &ListedServer) -> u64 {
    (1 << 40) / u64::from(taker.weight.get().max(1))
}

/// A permutation of the positions: from a start in steps of a width, which
/// meets every position once because the number of positions is prime.
#[derive(Debug, Clone, Copy)]
struct PositionWalk {
    next: u32,
    step: u32,
}

impl PositionWalk {
    fn new(server: u64, count: u32) -> Self {
        let start = rendezvous::score(server, 1) % u64::from(count);
        let step = rendezvous::score(server, 2) % u64::from(count - 1) + 1;
        Self {
            next: start as u32,
            step: step as u32,
        }
    }

    /// The next position that is free. There must be one.
    fn next_free(&mut self, positions: &[u32], count: u32) -> u32 {
        loop {
            let position = self.next;
            self.next += self.step;
            if self.next >= count {
                self.next -= count;
            }
            if positions[position as usize] == FREE {
                return position;
            }
        }
    }
}
