//! Checks of at-most-once dispatch.

use specs::dispatch::{Bound, Mutant, State};
use specs::explore::{Exploration, explore};

fn run(mutant: Mutant) -> Exploration<State> {
    let bound = Bound {
        attempts: 3,
        restarts: 1,
        mutant,
    };
    let start = State::initial();
    let found = explore(&start, |state| state.successors(bound), State::violates);
    let length = found.path_length();
    println!(
        "dispatch: {} states, violation at {length:?}, {bound:?}",
        found.states
    );
    found
}

/// Guards against a second call of the endpoint and against "not run" for a request that runs.
#[test]
fn explore_dispatch_holds() {
    let found = run(Mutant::None);
    assert!(found.violation.is_none(), "{:#?}", found.violation);
}

/// Guards against a check that cannot see a missing guard.
#[test]
fn explore_dispatch_catches_mutants() {
    let mutants = [
        Mutant::BusyWithoutRecord,
        Mutant::SameLife,
        Mutant::RetryOnSilence,
        Mutant::RetryWithoutClaim,
        Mutant::TellWithoutClose,
    ];
    for mutant in mutants {
        assert!(run(mutant).violation.is_some(), "{mutant:?} was not caught");
    }
}
