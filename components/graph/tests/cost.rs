//! What jobs cost the owner.

mod common;

use common::{TestCell, job, step, task, worker};
use graph::{ENDED_JOB_BYTES, job_bytes, storing_bytes};
use model::{Recurrence, RunEnd};

/// Guards against jobs that cost far more than they are counted, by tasks, steps, occurrences or texts.
#[test]
fn job_bytes_grow_with_content() {
    let small = job_bytes(&job(1, vec![step(1)]));
    assert!(job_bytes(&job(1, vec![step(1_000)])) > small + 200_000);
    assert!(job_bytes(&job(1, vec![step(1); 1_000])) > small + 500_000);
    let mut recurring = job(1, vec![step(1)]);
    recurring.graph.recurrence = Some(Recurrence {
        first: common::ms(0),
        interval: common::ms(0),
        count: 1_000,
    });
    assert!(job_bytes(&recurring) > small + 200_000);
    let mut specified = job(1, vec![step(1)]);
    specified.graph.body = "x".repeat(4_000).into();
    assert!(job_bytes(&specified) >= small + 3_900);
}

/// Guards against a relayed job that is refused for tasks which only the owner unfolds, and against steps that are not counted.
#[test]
fn storing_bytes_ignore_tasks() {
    let small = storing_bytes(&job(1, vec![step(1)]));
    assert_eq!(storing_bytes(&job(1, vec![step(60_000)])), small);
    assert!(storing_bytes(&job(1, vec![step(1); 1_000])) > small + 200_000);
}

/// Guards against an account of the jobs that is not settled when they end or their records are deleted.
#[test]
fn usage_follows_jobs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let spec = job(1, vec![step(1)]);
    let bytes = job_bytes(&spec);
    for id in 7..9 {
        cell.accept(id, spec.clone());
        // A job that is known does not count twice.
        cell.accept(id, spec.clone());
    }
    assert_eq!(cell.scheduler.usage().total, 2 * bytes);
    assert_eq!(cell.scheduler.usage().of_account("faro"), 2 * bytes);
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    cell.scheduler.compact_ended_jobs();
    let ended = bytes + ENDED_JOB_BYTES;
    assert_eq!(cell.scheduler.usage().of_account("faro"), ended);
    cell.scheduler.remove_deleted_jobs(|_| true);
    assert_eq!(cell.scheduler.usage().of_account("faro"), bytes);
    // Records of jobs that were cancelled before they were submitted.
    cell.scheduler.record_ended(9, model::JobEnd::Cancelled);
    cell.scheduler.record_ended(8, model::JobEnd::Cancelled);
    assert_eq!(cell.scheduler.usage().total, ended);
    cell.scheduler.remove_deleted_jobs(|id| id == 9);
    assert_eq!(cell.scheduler.usage().total, bytes);
}
