//! Exploration of state spaces.

use specs::explore::explore;

/// Guards against counts of steps in place of states: several steps lead to the same state.
#[test]
fn explore_counts_each_state_once() {
    let exploration = explore(
        &0,
        |state| vec![(state + 1) % 5, (state + 2) % 5],
        |_| false,
    );
    assert_eq!(exploration.states, 5);
}
