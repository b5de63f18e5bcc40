//! Breadth-first search over all states that a specification can reach.
//!
//! Safety properties are checked in each state. A liveness property says that
//! from each reachable state a good state can be reached by steps that are not
//! faults. It is checked by a search backward from all good states.

use std::collections;
use std::fmt;
use std::hash;
use std::time;

use pathfinding::directed::bfs;
use snafu::Snafu;

/// A transition system with the properties that it must have.
pub trait Specification {
    /// One state. It should be small, because all states are kept in memory.
    type State: Clone + Eq + hash::Hash + fmt::Debug;
    /// A step from one state to another.
    type Action: Copy + fmt::Display;
    /// A property that must hold.
    type Property: Copy + Eq + fmt::Debug + fmt::Display;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Appends every possible step to `steps`, with the state that it leads to.
    fn push_successors(&self, state: &Self::State, steps: &mut Vec<(Self::Action, Self::State)>);

    /// Returns the safety property that fails in `state`, if any.
    fn breach(&self, state: &Self::State) -> Option<Self::Property>;

    /// Returns the liveness properties.
    fn liveness(&self) -> Vec<Self::Property>;

    /// Returns whether the liveness property is met in `state`.
    fn is_good(&self, property: Self::Property, state: &Self::State) -> bool;

    /// Returns whether the liveness property may rely on `action`. It may not rely
    /// on faults.
    fn may_rely_on(&self, property: Self::Property, action: Self::Action) -> bool;
}

/// The maximum number of states that a search visits before it gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateLimit(usize);

impl StateLimit {
    /// Creates a limit of `count` states.
    pub const fn new(count: usize) -> Self {
        Self(count)
    }
}

impl fmt::Display for StateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Why a search has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SearchError {
    /// More states than the limit can be reached.
    #[snafu(display("more than {limit} states can be reached"))]
    TooManyStates {
        /// The limit.
        limit: StateLimit,
    },
}

/// One step of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceStep {
    /// The action, as text.
    pub action: String,
    /// The state after it, as text.
    pub state: String,
}

/// A property that fails, and a shortest trace to a state in which it fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation<P> {
    /// The property.
    pub property: P,
    /// The steps from the initial state.
    pub trace: Vec<TraceStep>,
}

impl<P: fmt::Display> fmt::Display for Violation<P> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} fails:", self.property)?;
        for (index, step) in self.trace.iter().enumerate() {
            write!(formatter, "\n  {:>2}. {}", index + 1, step.action)?;
        }
        Ok(())
    }
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct SearchReport<P> {
    /// Number of states visited.
    pub states: usize,
    /// Number of steps between them.
    pub transitions: u64,
    /// The greatest distance of a state from the initial state, in steps.
    pub depth: u32,
    /// How long the search took.
    pub elapsed: time::Duration,
    /// The first violation, if any.
    pub violation: Option<Violation<P>>,
}

impl<P> fmt::Display for SearchReport<P> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} states, {} transitions, depth {}, {:.1} s",
            self.states,
            self.transitions,
            self.depth,
            self.elapsed.as_secs_f64()
        )
    }
}

/// A visited state and its predecessor on a shortest trace. Visits of equal
/// states are equal, so that the search keeps only the first one, which has a
/// shortest trace.
#[derive(Debug, Clone)]
struct StateVisit<S> {
    state: S,
    parent: u32,
    depth: u32,
}

impl<S: PartialEq> PartialEq for StateVisit<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for StateVisit<S> {}

impl<S: hash::Hash> hash::Hash for StateVisit<S> {
    fn hash<H: hash::Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every state that `specification` can reach and checks its properties.
///
/// # Errors
/// Fails if more states than `limit` can be reached.
pub fn explore<S: Specification>(
    specification: &S,
    limit: StateLimit,
) -> Result<SearchReport<S::Property>, SearchError> {
    let begun = time::Instant::now();
    let mut transitions = 0;
    let mut visits: Vec<StateVisit<S::State>> = Vec::new();
    let mut breach = None;
    let first = StateVisit {
        state: specification.initial(),
        parent: 0,
        depth: 0,
    };
    // States are expanded in the order in which they are numbered.
    let mut expanded = 0;
    let mut steps = Vec::new();
    let expand = |visit: &StateVisit<S::State>| {
        let (parent, depth) = (expanded, visit.depth + 1);
        expanded += 1;
        steps.clear();
        if specification.breach(&visit.state).is_none() {
            specification.push_successors(&visit.state, &mut steps);
        }
        transitions += steps.len() as u64;
        let next = steps.drain(..).map(|(_, state)| StateVisit {
            state,
            parent,
            depth,
        });
        next.collect::<Vec<_>>()
    };
    for visit in bfs::bfs_reach(first, expand) {
        breach = specification.breach(&visit.state);
        visits.push(visit);
        if breach.is_some() {
            break;
        }
        if visits.len() > limit.0 {
            return Err(SearchError::TooManyStates { limit });
        }
    }
    let violation = match breach {
        Some(property) => Some((property, visits.len() - 1)),
        None => find_stuck(specification, &visits),
    };
    Ok(SearchReport {
        states: visits.len(),
        transitions,
        depth: visits.last().map_or(0, |visit| visit.depth),
        elapsed: begun.elapsed(),
        violation: violation.map(|(property, index)| Violation {
            property,
            trace: trace_to(specification, &visits, index),
        }),
    })
}

fn trace_to<S: Specification>(
    specification: &S,
    visits: &[StateVisit<S::State>],
    target: usize,
) -> Vec<TraceStep> {
    let mut trace = Vec::new();
    let mut index = target;
    while index > 0 {
        let parent = visits[index].parent as usize;
        let mut steps = Vec::new();
        specification.push_successors(&visits[parent].state, &mut steps);
        let step = steps
            .into_iter()
            .find(|(_, state)| *state == visits[index].state);
        let action = step.map(|(action, _)| action.to_string());
        trace.push(TraceStep {
            action: action.unwrap_or_default(),
            state: format!("{:?}", visits[index].state),
        });
        index = parent;
    }
    trace.reverse();
    trace
}

/// A step that a liveness property may rely on, indexed by the state it leads
/// to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BackwardEdge {
    to: u32,
    from: u32,
}

/// Returns the first state from which some liveness property can never be met.
fn find_stuck<S: Specification>(
    specification: &S,
    visits: &[StateVisit<S::State>],
) -> Option<(S::Property, usize)> {
    let properties = specification.liveness();
    if properties.is_empty() {
        return None;
    }
    // A hash map, because each of millions of transitions is looked up.
    let numbers: collections::HashMap<&S::State, u32> = visits
        .iter()
        .enumerate()
        .map(|(number, visit)| (&visit.state, number as u32))
        .collect();
    properties.into_iter().find_map(|property| {
        let edges = backward_edges(specification, property, visits, &numbers);
        let stuck = first_stuck(specification, property, visits, &edges);
        stuck.map(|index| (property, index))
    })
}

fn backward_edges<S: Specification>(
    specification: &S,
    property: S::Property,
    visits: &[StateVisit<S::State>],
    numbers: &collections::HashMap<&S::State, u32>,
) -> Vec<BackwardEdge> {
    let mut edges = Vec::new();
    let mut steps = Vec::new();
    for (from, visit) in visits.iter().enumerate() {
        // The property is already met in a good state.
        if specification.is_good(property, &visit.state) {
            continue;
        }
        steps.clear();
        specification.push_successors(&visit.state, &mut steps);
        let from = from as u32;
        let usable = steps
            .iter()
            .filter(|(action, _)| specification.may_rely_on(property, *action));
        edges.extend(usable.map(|(_, state)| BackwardEdge {
            to: numbers[state],
            from,
        }));
    }
    edges.sort_unstable();
    edges.dedup();
    edges
}

fn first_stuck<S: Specification>(
    specification: &S,
    property: S::Property,
    visits: &[StateVisit<S::State>],
    edges: &[BackwardEdge],
) -> Option<usize> {
    /// A node that represents all good states.
    const GOAL: u32 = u32::MAX;
    let good: Vec<u32> = (0..visits.len() as u32)
        .filter(|number| specification.is_good(property, &visits[*number as usize].state))
        .collect();
    let backward = |number: &u32| match *number {
        GOAL => good.clone(),
        to => {
            let start = edges.partition_point(|edge| edge.to < to);
            let run = edges[start..].iter().take_while(|edge| edge.to == to);
            run.map(|edge| edge.from).collect()
        }
    };
    let mut met = vec![false; visits.len()];
    for number in bfs::bfs_reach(GOAL, backward).filter(|number| *number != GOAL) {
        met[number as usize] = true;
    }
    met.iter().position(|met| !met)
}
