//! Hosts that may hold the lease are interchangeable, so states that differ only
//! in their numbering are searched once.

use crate::homes::state::HomeState;
use crate::homes::{ProcessIndex, VOTER_COUNT};

type Renumbering = [ProcessIndex; VOTER_COUNT];

const OF_TWO: &[Renumbering] = &[[1, 0, 2]];
const OF_THREE: &[Renumbering] = &[[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// Returns the smallest of all states that differ from `state` only in the
/// numbering of hosts.
pub(crate) fn canonical(state: &HomeState, candidates: u8) -> HomeState {
    let renumberings = match candidates {
        2 => OF_TWO,
        3 => OF_THREE,
        _ => &[],
    };
    let others = renumberings.iter().map(|map| renumber(state, map));
    others.fold(state.clone(), Ord::min)
}

fn renumber(state: &HomeState, map: &Renumbering) -> HomeState {
    let renumbered = |process: ProcessIndex| map[usize::from(process)];
    let mut next = state.clone();
    for from in 0..VOTER_COUNT {
        let to = usize::from(map[from]);
        next.up[to] = state.up[from];
        let mut voter = state.voters[from];
        voter.holder = voter.holder.map(renumbered);
        voter.transfer = voter.transfer.map(renumbered);
        next.voters[to] = voter;
        let mut host = state.hosts[from];
        host.frozen_for = host.frozen_for.map(renumbered);
        host.granted = renumber_bits(host.granted, map);
        next.hosts[to] = host;
    }
    for dispatch in next.dispatches.iter_mut().flatten() {
        dispatch.sender = dispatch.sender.map(renumbered);
    }
    next.dispatches.sort_unstable();
    next
}

fn renumber_bits(bits: u8, map: &Renumbering) -> u8 {
    let moved = (0..VOTER_COUNT).filter(|bit| bits & (1 << bit) != 0);
    moved.fold(0, |sum, bit| sum | 1 << map[bit])
}
