//! Tests of the workers that a job avoids after a failure.

use std::time::Instant;

use board::Board;
use policy::blame::{BlameController, Observation, TaskEvent};

/// Guards against a job that is retried on the same faulty worker until the job itself counts as faulty.
#[test]
fn observe_records_failed_workers_until_success() {
    let (board, now) = (Board::default(), Instant::now());
    let mut blame = BlameController::default();
    let observation = |event| Observation {
        job: 1,
        workers: vec!["bad".into(), "good".into()],
        event,
    };
    let failed_worker = Some("bad".into());
    blame.observe(
        &board,
        &[observation(TaskEvent::Failed { failed_worker })],
        now,
    );
    let recorded = board.blame.load().failed_on[&1].clone();
    assert_eq!(recorded.into_iter().collect::<Vec<_>>(), ["bad".into()]);
    blame.observe(&board, &[observation(TaskEvent::Succeeded)], now);
    assert!(board.blame.load().failed_on.is_empty());
}
