//! Exhaustive breadth-first exploration of a state space.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration<S> {
    /// The number of distinct states that were visited.
    pub states: usize,
    /// A shortest path to a state that violates the property, if any.
    pub violation: Option<Vec<S>>,
}

impl<S> Exploration<S> {
    /// Returns the number of steps to the violation.
    pub fn path_length(&self) -> Option<usize> {
        self.violation.as_ref().map(|path| path.len() - 1)
    }
}

/// Visits all states that are reachable from `start`, in breadth-first order, until one violates the property.
pub fn explore<S: Clone + Eq + Hash>(
    start: &S,
    successors: impl Fn(&S) -> Vec<S>,
    violates: impl Fn(&S) -> bool,
) -> Exploration<S> {
    let mut states = 0;
    let violation = bfs(start, successors, |state| {
        states += 1;
        violates(state)
    });
    Exploration { states, violation }
}
