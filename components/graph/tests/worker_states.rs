//! Each state in which a worker gets no tasks ends while the owner stays.

mod common;

use std::time::Duration;

use common::{TestCell, gang, job, ms, settings, step, task, worker};
use graph::lapse_after;
use model::{JobId, Refusal, RunEnd};

/// Creates an owner of one idle worker, to which it has replied once.
fn cell() -> TestCell {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.instructions("w1");
    cell
}

/// Does what an owner does in each cycle while the agent reports, for a time that includes a reply.
fn run_for(cell: &mut TestCell, time: Duration) {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(ms(250));
        cell.report("w1");
        cell.scheduler.expire_leases(cell.now);
        cell.plan_and_start();
    }
}

/// Lets the lease of the worker lapse while its agent is silent.
fn stay_silent(cell: &mut TestCell) {
    let end = cell.now + lapse_after(settings().max_lease) + ms(1_000);
    while cell.now < end {
        cell.advance(ms(200));
        cell.scheduler.expire_leases(cell.now);
    }
}

/// Returns whether a new job starts on the worker within a time.
fn starts_within(cell: &mut TestCell, id: JobId, time: Duration) -> bool {
    cell.accept(id, job(1, vec![step(1)]));
    run_for(cell, time);
    cell.run_number(task(id, 0, 0)).is_some()
}

// Guards against a worker that gets no tasks any more once its agent was cut off for longer than a lease.
#[test]
fn lost_worker_gets_tasks_after_next_report() {
    let mut cell = cell();
    stay_silent(&mut cell);
    assert!(starts_within(&mut cell, 7, ms(500)));
}

// Guards against the same while the owner answers no report for a while, as it does when there is nothing to order.
#[test]
fn lost_worker_gets_tasks_after_unanswered_reports() {
    let mut cell = cell();
    stay_silent(&mut cell);
    for _ in 0..20 {
        cell.advance(ms(200));
        cell.report("w1");
        cell.scheduler.expire_leases(cell.now);
    }
    assert!(starts_within(&mut cell, 7, ms(500)));
}

// Guards against a worker that returns and is cut off again before any reply: it must not keep tasks that it never got.
#[test]
fn returned_worker_is_lost_again_if_silent() {
    let mut cell = cell();
    stay_silent(&mut cell);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    cell.workers.insert("w2".into(), worker("w2", "r1"));
    cell.workers["w2"].report.confirmed_epoch = 1;
    stay_silent(&mut cell);
    cell.report("w2");
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w2").starts.len(), 1);
}

// Guards against starting a task elsewhere before the lease of a worker has lapsed that returned and was cut off again.
#[test]
fn returned_worker_keeps_its_run_until_its_new_lease_lapses() {
    let mut cell = cell();
    stay_silent(&mut cell);
    assert!(starts_within(&mut cell, 7, ms(500)));
    cell.workers.insert("w2".into(), worker("w2", "r1"));
    cell.workers["w2"].report.confirmed_epoch = 1;
    let lease = lapse_after(settings().max_lease).saturating_sub(ms(600));
    let lapses_at = cell.now + lease;
    while cell.now < lapses_at {
        cell.advance(ms(200));
        cell.report("w2");
        cell.scheduler.expire_leases(cell.now);
        cell.scheduler.plan(cell.now, ms(1_000));
        assert!(cell.instructions("w2").starts.is_empty());
    }
}

// Guards against a worker that stays absent after it answers again.
#[test]
fn absent_worker_gets_tasks_after_next_report() {
    let mut cell = cell();
    cell.workers["w1"].report.absent = true;
    run_for(&mut cell, ms(9_000));
    cell.workers["w1"].report.absent = false;
    assert!(starts_within(&mut cell, 7, ms(500)));
}

// Guards against a suspect worker that is never tried again.
#[test]
fn suspect_worker_is_cleared_by_success() {
    let mut cell = cell();
    assert!(starts_within(&mut cell, 7, ms(500)));
    cell.end_run(task(7, 0, 0), RunEnd::Failed);
    run_for(&mut cell, ms(9_000));
    assert!(cell.run_number(task(7, 0, 0)).is_some());
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    assert!(starts_within(&mut cell, 8, ms(500)));
}

// Guards against a quarantine without an end.
#[test]
fn quarantined_worker_gets_tasks_after_quarantine() {
    let mut cell = cell();
    // A single task would probe the worker before the end of its quarantine.
    cell.accept(7, job(1, vec![gang(2)]));
    cell.scheduler.plan(cell.now, Duration::from_secs(1));
    let starts = cell.instructions("w1").starts;
    let refusals = starts
        .iter()
        .map(|start| common::refused(start.run, Refusal::Unhealthy));
    cell.workers["w1"].report.runs = refusals.collect();
    cell.report("w1");
    cell.workers["w1"].report.runs.clear();
    run_for(&mut cell, ms(3_000));
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    run_for(&mut cell, ms(1_500));
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

// Guards against a worker that never gets tasks because it confirmed the owner late.
#[test]
fn unconfirmed_worker_gets_tasks_after_confirmation() {
    let mut cell = TestCell::without_reports(2, vec![worker("w1", "r1")], &[]);
    cell.workers["w1"].report.confirmed_epoch = 1;
    assert!(!starts_within(&mut cell, 7, ms(3_000)));
    cell.workers["w1"].report.confirmed_epoch = 2;
    run_for(&mut cell, ms(500));
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

// Guards against a worker that stays draining after it has taken that back.
#[test]
fn draining_worker_gets_tasks_after_drain_is_withdrawn() {
    let mut cell = cell();
    cell.workers["w1"].report.draining = Some(ms(5_000));
    assert!(!starts_within(&mut cell, 7, ms(3_000)));
    cell.workers["w1"].report.draining = None;
    run_for(&mut cell, ms(500));
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

// Guards against a new process of a worker that inherits the state of the one before, and one that is not used until its
// first complete list.
#[test]
fn replaced_worker_gets_tasks_after_complete_list() {
    let mut cell = cell();
    cell.crash("w1");
    cell.workers["w1"].report.lists_complete = false;
    cell.restart("w1");
    assert!(!starts_within(&mut cell, 7, ms(2_000)));
    cell.workers["w1"].report.lists_complete = true;
    run_for(&mut cell, ms(500));
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}
