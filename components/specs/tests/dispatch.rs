//! Model checks of at-most-once dispatch.

use specs::dispatch::{Bound, Mutant, State};
use specs::explore::{Exploration, explore};

fn check(mutant: Mutant) -> Exploration<State> {
    let bound = Bound {
        attempts: 3,
        restarts: 1,
        mutant,
    };
    let start = State::initial();
    let exploration = explore(&start, |state| state.successors(bound), State::violates);
    let length = exploration.path_length();
    println!(
        "dispatch: {} states, violation at {length:?}, {bound:?}",
        exploration.states
    );
    exploration
}

/// Guards against a second call of the endpoint, and against "not run" for a request that ran.
#[test]
fn explore_dispatch_holds() {
    let exploration = check(Mutant::None);
    assert!(
        exploration.violation.is_none(),
        "{:#?}",
        exploration.violation
    );
}

/// Guards against a check that does not detect an injected fault.
#[test]
fn explore_dispatch_catches_mutants() {
    let mutants = [
        Mutant::BusyWithoutRecord,
        Mutant::SameIncarnation,
        Mutant::RetryWithoutReply,
        Mutant::RetryWithoutClaim,
        Mutant::ReportWithoutConfirmation,
    ];
    for mutant in mutants {
        let exploration = check(mutant);
        assert!(
            exploration.violation.is_some(),
            "{mutant:?} was not detected"
        );
    }
}
