//! Model checks of takeovers with recorded placements.

use specs::explore::{Exploration, explore};
use specs::placements::{Bound, Mutant, State};

/// Two owners that start one run each, and two sets to write.
const TAKEOVER: Bound = Bound {
    owners: 2,
    unrecording: 0,
    jobs: 1,
    runs: 1,
    writes: 2,
    late: 0,
    restarts: 0,
    reboots: 0,
    ends: 0,
    mutant: Mutant::None,
};

/// Three owners that start one run each, of which the first one keeps no records.
const UNRECORDED: Bound = Bound {
    owners: 3,
    unrecording: 1,
    ..TAKEOVER
};

fn check(bound: &Bound, violates: impl Fn(&State) -> bool) -> Exploration<State> {
    let start = State::initial(bound);
    let exploration = explore(&start, |state| state.successors(bound), violates);
    let length = exploration.path_length();
    println!(
        "placements: {} states, found at {length:?}, {bound:?}",
        exploration.states
    );
    exploration
}

#[track_caller]
fn assert_holds(bound: &Bound) {
    let violation = check(bound, |state| state.violates(bound)).violation;
    assert!(violation.is_none(), "{violation:#?}");
}

/// Checks that a fault breaks a property.
#[track_caller]
fn assert_detects(mutant: Mutant, property: fn(&State) -> bool, bound: &Bound) {
    let bound = Bound { mutant, ..*bound };
    let exploration = check(&bound, property);
    assert!(
        exploration.violation.is_some(),
        "{mutant:?} was not detected"
    );
}

/// Guards against a job on two agents after late writes of a set that shrinks and grows.
#[test]
fn explore_placements_late_writes() {
    assert_holds(&Bound {
        late: 1,
        writes: 3,
        ..TAKEOVER
    });
}

/// Guards against a job on two agents after two messages or writes that are late at once.
#[test]
fn explore_placements_two_late() {
    assert_holds(&Bound {
        late: 2,
        writes: 1,
        ..TAKEOVER
    });
}

/// Guards against a job on two agents that was started again after its run had ended.
#[test]
fn explore_placements_ends() {
    assert_holds(&Bound {
        runs: 2,
        ends: 1,
        writes: 3,
        ..TAKEOVER
    });
}

/// Guards against a job on two agents after an agent restarted, which may follow a superseded owner again.
#[test]
fn explore_placements_restart() {
    for (late, writes) in [(0, 2), (1, 1)] {
        assert_holds(&Bound {
            late,
            writes,
            restarts: 1,
            ..TAKEOVER
        });
    }
}

/// Guards against a job on two agents after a machine restarted, whose agent no longer knows the highest epoch.
#[test]
fn explore_placements_reboot() {
    for (late, writes) in [(0, 2), (1, 1)] {
        assert_holds(&Bound {
            late,
            writes,
            reboots: 1,
            ..TAKEOVER
        });
    }
}

/// Guards against a job on two agents after two takeovers, between which the sets change.
#[test]
fn explore_placements_three_owners() {
    for (restarts, reboots) in [(0, 0), (1, 0), (0, 1)] {
        assert_holds(&Bound {
            owners: 3,
            restarts,
            reboots,
            ..TAKEOVER
        });
    }
}

/// Guards against a wait for the agents of another job.
#[test]
fn explore_placements_two_jobs() {
    assert_holds(&Bound {
        jobs: 2,
        runs: 2,
        ..TAKEOVER
    });
}

/// Guards against a job on two agents after a first owner of a version that keeps no records.
#[test]
fn explore_placements_unrecorded_first_owner() {
    for (writes, restarts, reboots) in [(2, 0, 0), (1, 1, 0), (1, 0, 1)] {
        assert_holds(&Bound {
            writes,
            restarts,
            reboots,
            ..UNRECORDED
        });
    }
}

/// Guards against a job on two agents after an owner of a version that keeps no records replaced one that keeps them.
#[test]
fn explore_placements_unrecorded_second_owner() {
    for (writes, restarts, reboots) in [(2, 0, 0), (1, 1, 0), (1, 0, 1)] {
        assert_holds(&Bound {
            unrecording: 2,
            writes,
            restarts,
            reboots,
            ..UNRECORDED
        });
    }
}

/// Guards against a check that holds only because no owner starts a job before it has heard all agents.
#[test]
fn explore_placements_reaches_early_start() {
    for bound in [TAKEOVER, UNRECORDED] {
        let exploration = check(&bound, State::has_placed_before_all_heard);
        assert!(exploration.violation.is_some());
    }
}

/// Guards against a check that does not detect a start that should have waited.
#[test]
fn explore_placements_catches_start_mutants() {
    assert_detects(Mutant::StartBeforeRecord, State::runs_twice, &TAKEOVER);
    let reboot = Bound {
        reboots: 1,
        ..TAKEOVER
    };
    assert_detects(Mutant::StartWithoutLease, State::runs_twice, &reboot);
    let late = Bound {
        late: 1,
        ..TAKEOVER
    };
    assert_detects(Mutant::UnconfirmedReportCounts, State::runs_twice, &late);
}

/// Guards against a check that does not detect a set that lacks a run.
#[test]
fn explore_placements_catches_set_mutants() {
    let late = Bound {
        late: 1,
        writes: 3,
        ..TAKEOVER
    };
    assert_detects(Mutant::ShrinkBeforeEnd, State::runs_twice, &late);
    assert_detects(Mutant::NoRevisionCheck, State::runs_twice, &late);
    assert_detects(Mutant::UnansweredShrinkIgnored, State::runs_twice, &late);
}

/// Guards against a check that does not detect an owner that relies on sets that were not kept.
#[test]
fn explore_placements_catches_unrecorded_mutants() {
    let detects = |mutant| assert_detects(mutant, State::runs_twice, &UNRECORDED);
    detects(Mutant::RelyWithoutRecords);
    detects(Mutant::RecordingBeforeRecovery);
    detects(Mutant::RecordingBeforeAdoptedStored);
}

/// Guards against a check that does not detect a wait for an agent that the set of the job does not name.
#[test]
fn explore_placements_catches_needless_wait() {
    let bound = Bound {
        mutant: Mutant::WaitForAll,
        ..TAKEOVER
    };
    let exploration = check(&bound, |state| state.waits_needlessly(&bound));
    assert!(exploration.violation.is_some());
}
