//! Tests of the at-most-once record of an agent.

use std::time::Instant;

use errors::Verdict;
use membership::attempts::{ATTEMPT_RETENTION, AttemptId, Attempts, may_trust_not_run};

fn id(attempt: u32) -> AttemptId {
    AttemptId {
        request: 7,
        attempt,
        incarnation: 1,
    }
}

/// Guards against a repeated dispatch that calls the endpoint a second time.
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

/// Guards against a non-idempotent request of which two attempts run.
#[test]
fn begin_refuses_second_attempt() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 10);
    attempts.begin(id(1), 1, false, now).unwrap();
    assert!(attempts.begin(id(2), 1, false, now).is_err());
    assert!(attempts.begin(id(2), 1, true, now).is_ok());
}

/// Guards against a late dispatch that runs after the agent answered "not run".
#[test]
fn refuse_bars_late_dispatch() {
    let now = Instant::now();
    let mut attempts = Attempts::start(1, 10);
    let verdict = attempts.refuse(id(1), now).current_context().verdict;
    assert_eq!(verdict, Verdict::NotRun);
    assert!(attempts.begin(id(1), 1, false, now).is_err());
    assert!(attempts.begin(id(2), 1, false, now).is_ok());
}

/// Guards against a "not run" answer from a full record, which cannot refuse a later dispatch of the attempt.
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
    assert!(!may_trust_not_run(now, later));
}

/// Guards against a "not run" answer from a restarted agent about an attempt sent to an earlier incarnation.
#[test]
fn refuse_after_restart_may_have_run() {
    let now = Instant::now();
    let mut attempts = Attempts::start(2, 10);
    let verdict = attempts.refuse(id(1), now).current_context().verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
    assert!(attempts.begin(id(1), 1, false, now).is_err());
}
