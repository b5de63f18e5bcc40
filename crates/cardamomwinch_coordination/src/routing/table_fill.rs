//! Methods to fill the positions of a lookup table.

use std::cmp;
use std::collections;

use cardamomwinch_protocol::peer::earlier_tables::ListedServer;

use crate::routing::rendezvous;

/// The possible numbers of positions: primes, each about four times the previous
/// one. A change to another number moves nearly every position, so there are
/// few, and only the number of servers determines which one applies.
const POSITION_COUNTS: [u32; 6] = [4093, 16_381, 65_521, 262_139, 1_048_573, 4_194_301];
/// The minimum number of positions per server in a table.
const POSITIONS_PER_SERVER: usize = 32;

/// Fills the positions of a lookup table with the same result on every host.
pub trait TableFill {
    /// Returns for each position the index of its server in `servers`, which must
    /// be sorted by identifier, not empty, and of positive weight.
    fn fill(servers: &[ListedServer]) -> Vec<u32>;
}

/// The number of positions of a table with this number of servers.
pub fn position_count(servers: usize) -> u32 {
    let wanted = servers * POSITIONS_PER_SERVER;
    let fitting = POSITION_COUNTS
        .iter()
        .find(|count| **count as usize >= wanted);
    fitting
        .copied()
        .unwrap_or(POSITION_COUNTS[POSITION_COUNTS.len() - 1])
}

/// Each position goes to the server with the lowest cost for it. A change of one
/// server moves only the positions that it gains or loses, but shares are
/// randomly uneven, and the run time is proportional to the product of servers
/// and positions.
#[derive(Debug, Clone, Copy)]
pub struct RendezvousFill;

impl TableFill for RendezvousFill {
    fn fill(servers: &[ListedServer]) -> Vec<u32> {
        let best = |position: u32| {
            let costs = servers.iter().enumerate().map(|(index, entry)| {
                let subject = u64::from(position);
                let cost = rendezvous::weighted_cost(entry.backend.get(), subject, entry.weight);
                (cost, index as u32)
            });
            let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
            best.map_or(0, |(_, index)| index)
        };
        (0..position_count(servers.len())).map(best).collect()
    }
}

/// The Maglev method: the servers take turns in proportion to their weights, and
/// in its turn a server gets the next free position of its own permutation. For
/// equal weights, shares differ by at most one position. A change moves slightly
/// more positions than necessary.
#[derive(Debug, Clone, Copy)]
pub struct PermutationFill;

impl TableFill for PermutationFill {
    fn fill(servers: &[ListedServer]) -> Vec<u32> {
        let count = position_count(servers.len());
        let mut positions = vec![FREE; count as usize];
        let mut walks: Vec<PositionWalk> = servers
            .iter()
            .map(|entry| PositionWalk::new(entry.backend.get(), count))
            .collect();
        let mut turns: collections::BinaryHeap<cmp::Reverse<(u64, u32)>> = servers
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
            *first = cmp::Reverse((time + turn_length(&servers[index as usize]), index));
        }
        positions
    }
}

const FREE: u32 = u32::MAX;

/// The interval between two turns of a server, inversely proportional to its
/// weight. The sum of the longest interval over all positions fits into 64 bits.
fn turn_length(server: &ListedServer) -> u64 {
    (1 << 40) / u64::from(server.weight.get().max(1))
}

/// A permutation of the positions, by a start and a fixed step width. It visits
/// every position once because the number of positions is prime.
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

    /// Returns the next free position. There must be one.
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
