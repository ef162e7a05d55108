//! Workers that a job does not use again.

use std::time::Instant;

use board::Board;
use policy::blame::{BlameController, Observation, TaskEvent};

/// Guards against a job that is tried on the same bad worker until it is condemned.
#[test]
fn observe_notes_failed_workers_until_success() {
    let (board, now) = (Board::default(), Instant::now());
    let mut blame = BlameController::default();
    let observation = |event| Observation {
        job: 1,
        workers: vec!["bad".into(), "good".into()],
        event,
    };
    let culprit = Some("bad".into());
    blame.observe(&board, &[observation(TaskEvent::Failed { culprit })], now);
    let noted = board.blame.load().failed_on[&1].clone();
    assert_eq!(noted.into_iter().collect::<Vec<_>>(), ["bad".into()]);
    blame.observe(&board, &[observation(TaskEvent::Succeeded)], now);
    assert!(board.blame.load().failed_on.is_empty());
}
