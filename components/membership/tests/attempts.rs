//! Tests of the at-most-once record.

use std::time::Instant;

use errors::Verdict;
use membership::attempts::{ATTEMPT_RETENTION, AttemptId, Attempts, believes_not_run};

fn id(attempt: u32) -> AttemptId {
    AttemptId {
        request: 7,
        attempt,
        incarnation: 1,
    }
}

/// Guards against a repeated dispatch that calls the endpoint twice.
#[test]
fn begin_permits_once() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 10);
    let permit = attempts.begin(id(1), 1, false, now).unwrap();
    let again = attempts.begin(id(1), 1, false, now).unwrap_err();
    assert_eq!(again.current_context().verdict, Verdict::MayHaveRun);
    attempts.finish(permit, now);
    let verdict = attempts.refuse(id(1), now).current_context().verdict;
    assert_eq!(verdict, Verdict::Ran);
}

/// Guards against a second attempt of a non-idempotent request beside the first.
#[test]
fn begin_refuses_second_attempt() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 10);
    attempts.begin(id(1), 1, false, now).unwrap();
    assert!(attempts.begin(id(2), 1, false, now).is_err());
    assert!(attempts.begin(id(2), 1, true, now).is_ok());
}

/// Guards against a late dispatch that runs after "not run" was told.
#[test]
fn refuse_bars_late_dispatch() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 10);
    let verdict = attempts.refuse(id(1), now).current_context().verdict;
    assert_eq!(verdict, Verdict::NotRun);
    assert!(attempts.begin(id(1), 1, false, now).is_err());
    assert!(attempts.begin(id(2), 1, false, now).is_ok());
}

/// Guards against "not run" without a record that bars the attempt.
#[test]
fn refuse_when_full_may_have_run() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 1);
    let _ = attempts.refuse(id(1), now);
    let verdict = attempts.refuse(id(2), now).current_context().verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
    let later = now + ATTEMPT_RETENTION;
    let verdict = attempts.refuse(id(2), later).current_context().verdict;
    assert_eq!(verdict, Verdict::NotRun);
    assert!(!believes_not_run(now, later));
}

/// Guards against "not run" from a restarted agent about what its earlier life did.
#[test]
fn refuse_after_restart_may_have_run() {
    let now = Instant::now();
    let mut attempts = Attempts::start(2, 10);
    let verdict = attempts.refuse(id(1), now).current_context().verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(attempts.begin(id(1), 1, false, now).is_err());
}
