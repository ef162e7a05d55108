//! Exhaustive breadth-first exploration of a state space.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration<S> {
    /// The number of distinct states whose successors were visited; all reachable ones if none violates the property.
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
    // Counted here because `bfs` calls this once a state, and the check of the property once a step.
    let count_successors = |state: &S| {
        states += 1;
        successors(state)
    };
    let violation = bfs(start, count_successors, violates);
    Exploration { states, violation }
}
