//! Ends of runs: their effect on jobs, their acknowledgement after the store write, and their deduplication.

mod common;

use common::{TestCell, ended, gang, job, ms, owner_run_number, running, step, task, worker};
use graph::{Content, Progress, UnitProgress};
use model::{JobEnd, JobState, RunEnd, TaskRun};

/// Guards against acknowledging an end that would be lost if the owner crashed.
#[test]
fn instructions_acknowledge_only_stored_ends() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    assert_eq!(cell.instructions("w1").acknowledged, 0);
    cell.store_changes();
    assert_eq!(cell.instructions("w1").acknowledged, 1);
}

/// Guards against an acknowledgement that skips an older end that is not stored.
#[test]
fn instructions_acknowledge_up_to_first_unstored_end() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    let change = cell.scheduler.take_ended(10).remove(0);
    cell.end_run(task(8, 0, 0), RunEnd::Done);
    cell.scheduler.mark_stored(change.job, change.version);
    assert_eq!(cell.instructions("w1").acknowledged, 1);
}

/// Guards against storing the end of a job only after progress changes of other jobs, which delayed ends when the store
/// was slow.
#[test]
fn take_ended_before_progress_of_others() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.end_run(task(8, 0, 0), RunEnd::Done);
    let ends = cell.scheduler.take_ended(1);
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].content, Content::Ended(JobEnd::Completed));
    assert_eq!(cell.scheduler.take_progress(9).len(), 1);
}

/// Guards against concurrent writes of one job, of which the older could overwrite the newer.
#[test]
fn take_progress_waits_for_earlier_write() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    let first = cell.scheduler.take_progress(9).remove(0);
    cell.end_run(task(7, 0, 1), RunEnd::Done);
    assert_eq!(cell.scheduler.take_ended(9), vec![]);
    cell.scheduler.mark_stored(first.job, first.version);
    assert_eq!(cell.scheduler.take_ended(9).len(), 1);
}

/// Guards against showing a job as completed that would run again if the owner crashed.
#[test]
fn state_completed_only_after_store() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    assert_eq!(cell.state(7), Some(JobState::Running));
    let stored = cell.store_changes();
    assert_eq!(stored, vec![(7, Content::Ended(JobEnd::Completed))]);
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against a job that fails before its attempts are used up, or keeps running after that.
#[test]
fn report_fails_job_after_all_attempts() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for attempt in 1..=3 {
        cell.advance(ms(5_000));
        cell.plan_and_start();
        cell.end_run(task(7, 0, 0), RunEnd::Failed);
        cell.store_changes();
        let failed = cell.state(7) == Some(JobState::Ended(JobEnd::Failed));
        assert_eq!(failed, attempt == 3, "attempt {attempt}");
    }
    cell.advance(ms(5_000));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
}

/// Guards against counting each member of a failed gang as an attempt.
#[test]
fn report_counts_failed_gang_once() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(3)]));
    cell.plan_and_start();
    for index in 0..3 {
        cell.end_run(task(7, 0, index), RunEnd::Failed);
    }
    let stored = cell.store_changes();
    let Content::Progress(progress) = &stored[0].1 else {
        panic!("the job has not ended");
    };
    assert_eq!(progress.units[0].failed_runs.len(), 1);
}

/// Guards against a new owner counting a stored failure again because its end was not acknowledged. Two of the three
/// attempts of the job have failed, so a third failure would end it.
#[test]
fn report_counts_repeated_failure_once() {
    let run = TaskRun::new(task(7, 0, 0), owner_run_number(1, 0));
    let mut reporting = worker("w1", "r1");
    reporting.report.ends.push(ended(1, run, RunEnd::Failed));
    let mut cell = TestCell::without_reports(2, vec![reporting], &["w1"]);
    let progress = Progress {
        units: vec![UnitProgress {
            occurrence: 0,
            step: 0,
            first: 0,
            done: false,
            failed_runs: vec![1, run.run],
            checkpoint: Box::default(),
        }],
        crashes: Vec::new(),
    };
    cell.load(7, job(1, vec![step(1)]), Some(progress));
    cell.report("w1");
    assert_eq!(cell.state(7), Some(JobState::Running));
}

/// Guards against a new owner ignoring the failure of an older run because a newer run was reported first.
#[test]
fn report_counts_failure_of_older_run() {
    let older = TaskRun::new(task(7, 0, 0), owner_run_number(1, 1));
    let newer = TaskRun::new(task(7, 0, 0), owner_run_number(1, 2));
    let mut first = worker("w1", "r1");
    first.report.runs.push(running(newer, 10));
    let mut second = worker("w2", "r1");
    second.report.ends.push(ended(1, older, RunEnd::Failed));
    let mut cell = TestCell::without_reports(2, vec![first, second], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.report("w2");
    let stored = cell.store_changes();
    let Content::Progress(progress) = &stored[0].1 else {
        panic!("the job has not ended");
    };
    assert_eq!(progress.units[0].failed_runs, vec![older.run]);
    assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some("w1"));
}

/// Guards against restarting a gang while members of its previous run are still running.
#[test]
fn plan_restarts_gang_after_all_members_ended() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![gang(6)]));
    cell.plan_and_start();
    let first = cell.run_number(task(7, 0, 0)).expect("the gang runs");
    cell.end_run(task(7, 0, 0), RunEnd::Failed);
    cell.advance(ms(1_000));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    for index in 1..6 {
        cell.end_run(task(7, 0, index), RunEnd::Broken);
    }
    cell.plan_and_start();
    let second = cell.run_number(task(7, 0, 0)).expect("the gang runs again");
    assert!(second > first);
    for index in 1..6 {
        assert_eq!(cell.run_number(task(7, 0, index)), Some(second));
    }
}

/// Guards against a gang that does not complete with the first of its members that is done, after which the others may
/// end as broken.
#[test]
fn report_completes_gang_with_one_done_member() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(3)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 1), RunEnd::Done);
    cell.store_changes();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against treating the end of a long-running task as final.
#[test]
fn plan_restarts_long_running_task_after_any_end() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let mut long_running = step(1);
    long_running.long_running = true;
    cell.accept(7, job(1, vec![long_running]));
    for end in [
        RunEnd::Failed,
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Failed,
        RunEnd::Failed,
    ] {
        cell.advance(ms(40_000));
        cell.plan_and_start();
        assert!(cell.run_number(task(7, 0, 0)).is_some(), "runs again");
        cell.end_run(task(7, 0, 0), end);
    }
}

/// Guards against keeping ended jobs in memory, and showing them, after their records were deleted, and against
/// removing jobs that have not ended.
#[test]
fn remove_deleted_jobs_keeps_running_jobs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    cell.scheduler.compact_ended_jobs();
    cell.scheduler.remove_deleted_jobs(|_| true);
    assert_eq!(cell.state(7), None);
    assert_eq!(cell.state(8), Some(JobState::Running));
}

/// Guards against job states that are not published because the version did not change with them.
#[test]
fn status_version_changes_with_each_state() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let mut observed = vec![(cell.scheduler.status_version(), cell.state(7))];
    let observe = |cell: &TestCell, observed: &mut Vec<_>| {
        observed.push((cell.scheduler.status_version(), cell.state(7)));
    };
    cell.accept(7, job(1, vec![step(1)]));
    observe(&cell, &mut observed);
    cell.plan_and_start();
    observe(&cell, &mut observed);
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    observe(&cell, &mut observed);
    cell.store_changes();
    observe(&cell, &mut observed);
    cell.scheduler.compact_ended_jobs();
    cell.scheduler.remove_deleted_jobs(|_| true);
    observe(&cell, &mut observed);
    for pair in observed.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        assert!(before.1 == after.1 || before.0 != after.0, "{observed:?}");
    }
}
