//! Ends of runs: what they change, what waits for the store, what counts once.

mod common;

use common::{Cell, ended, gang, job, ms, running, side, step, task};
use graph::{Content, Progress, UnitProgress};
use model::{JobEnd, JobState, RunEnd, TaskRun};

/// Guards against acknowledging an end that a crash of the owner would lose.
#[test]
fn acknowledged_only_after_store() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    assert_eq!(cell.instructions("w1").acknowledged, 0);
    cell.store();
    assert_eq!(cell.instructions("w1").acknowledged, 1);
}

/// Guards against an acknowledgement that passes over an older end that is not stored.
#[test]
fn acknowledged_stops_at_first_unstored() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    let change = cell.scheduler.take_ended(10).remove(0);
    cell.end(task(8, 0, 0), RunEnd::Done);
    cell.scheduler.mark_stored(change.job, change.version);
    assert_eq!(cell.instructions("w1").acknowledged, 1);
}

/// Guards against the end of a job that waits behind the progress of others, as it did while the store was slow.
#[test]
fn take_ended_before_progress_of_others() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.end(task(8, 0, 0), RunEnd::Done);
    let ends = cell.scheduler.take_ended(1);
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].content, Content::Ended(JobEnd::Completed));
    assert_eq!(cell.scheduler.take_progress(9).len(), 1);
}

/// Guards against two writes of one job at a time, of which the older one could win.
#[test]
fn take_progress_waits_for_earlier_write() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    let first = cell.scheduler.take_progress(9).remove(0);
    cell.end(task(7, 0, 1), RunEnd::Done);
    assert_eq!(cell.scheduler.take_ended(9), vec![]);
    cell.scheduler.mark_stored(first.job, first.version);
    assert_eq!(cell.scheduler.take_ended(9).len(), 1);
}

/// Guards against showing a job as completed that a crash of the owner would run again.
#[test]
fn completed_shown_only_after_store() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    assert_eq!(cell.state(7), Some(JobState::Running));
    let stored = cell.store();
    assert_eq!(stored, vec![(7, Content::Ended(JobEnd::Completed))]);
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against a job that fails before its attempts are used up, or runs on after them.
#[test]
fn failed_after_all_attempts() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    for attempt in 1..=3 {
        cell.pass(ms(5_000));
        cell.run();
        cell.end(task(7, 0, 0), RunEnd::Failed);
        cell.store();
        let failed = cell.state(7) == Some(JobState::Ended(JobEnd::Failed));
        assert_eq!(failed, attempt == 3, "attempt {attempt}");
    }
    cell.pass(ms(5_000));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
}

/// Guards against counting each member of a failed gang as an attempt.
#[test]
fn failed_gang_counts_once() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(3)]));
    cell.run();
    for index in 0..3 {
        cell.end(task(7, 0, index), RunEnd::Failed);
    }
    let stored = cell.store();
    let Content::Progress(progress) = &stored[0].1 else {
        panic!("the job has not ended");
    };
    assert_eq!(progress.units[0].failed_runs.len(), 1);
}

/// Guards against a new owner that counts a stored failure again, because its end was not acknowledged.
#[test]
fn failed_listed_again_counts_once() {
    let run = TaskRun::new(task(7, 0, 0), 1 << 20);
    let mut listing = side("w1", "r1");
    listing.report.ends.push(ended(1, run, RunEnd::Failed));
    let mut cell = Cell::silent(2, vec![listing], &["w1"]);
    let progress = Progress {
        units: vec![UnitProgress {
            occurrence: 0,
            step: 0,
            first: 0,
            done: false,
            failed_runs: vec![1, run.run],
            checkpoint: Box::default(),
        }],
    };
    cell.load(7, job(1, vec![step(1)]), Some(progress));
    cell.report("w1");
    assert_eq!(cell.state(7), Some(JobState::Running));
}

/// Guards against a new owner that hears of a newer run first and then passes over the failure of an older one.
#[test]
fn failed_older_run_counts() {
    let older = TaskRun::new(task(7, 0, 0), (1 << 20) + 1);
    let newer = TaskRun::new(task(7, 0, 0), (1 << 20) + 2);
    let mut first = side("w1", "r1");
    first.report.runs.push(running(newer, 10));
    let mut second = side("w2", "r1");
    second.report.ends.push(ended(1, older, RunEnd::Failed));
    let mut cell = Cell::silent(2, vec![first, second], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.report("w2");
    let stored = cell.store();
    let Content::Progress(progress) = &stored[0].1 else {
        panic!("the job has not ended");
    };
    assert_eq!(progress.units[0].failed_runs, vec![older.run]);
    assert_eq!(cell.place_of(task(7, 0, 0)).as_deref(), Some("w1"));
}

/// Guards against starting a gang again while members of its last run are there.
#[test]
fn gang_restarts_after_all_members_ended() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![gang(6)]));
    cell.run();
    let first = cell.run_of(task(7, 0, 0)).expect("the gang runs");
    cell.end(task(7, 0, 0), RunEnd::Failed);
    cell.pass(ms(1_000));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    for index in 1..6 {
        cell.end(task(7, 0, index), RunEnd::Broken);
    }
    cell.run();
    let second = cell.run_of(task(7, 0, 0)).expect("the gang runs again");
    assert!(second > first);
    for index in 1..6 {
        assert_eq!(cell.run_of(task(7, 0, index)), Some(second));
    }
}

/// Guards against a gang that is not done although one of its members has ended so.
#[test]
fn gang_done_by_one_member() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(3)]));
    cell.run();
    cell.end(task(7, 0, 1), RunEnd::Done);
    cell.store();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against counting a lasting task that ends as done or failed for good.
#[test]
fn lasting_restarts_however_it_ends() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    let mut lasting = step(1);
    lasting.lasting = true;
    cell.accept(7, job(1, vec![lasting]));
    for end in [
        RunEnd::Failed,
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Failed,
        RunEnd::Failed,
    ] {
        cell.pass(ms(40_000));
        cell.run();
        assert!(cell.run_of(task(7, 0, 0)).is_some(), "runs again");
        cell.end(task(7, 0, 0), end);
    }
}

/// Guards against an owner that remembers every job that ever ended, and shows it after its record has gone.
#[test]
fn forget_where_drops_ended_jobs_only() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.accept(8, job(1, vec![step(1)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.store();
    cell.scheduler.forget_ended();
    cell.scheduler.forget_where(|_| true);
    assert_eq!(cell.state(7), None);
    assert_eq!(cell.state(8), Some(JobState::Running));
}

/// Guards against states that clients are not told, because nothing said that they have changed.
#[test]
fn told_changes_with_each_state() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let mut shown = vec![(cell.scheduler.status_version(), cell.state(7))];
    let show = |cell: &Cell, shown: &mut Vec<_>| {
        shown.push((cell.scheduler.status_version(), cell.state(7)));
    };
    cell.accept(7, job(1, vec![step(1)]));
    show(&cell, &mut shown);
    cell.run();
    show(&cell, &mut shown);
    cell.end(task(7, 0, 0), RunEnd::Done);
    show(&cell, &mut shown);
    cell.store();
    show(&cell, &mut shown);
    cell.scheduler.forget_ended();
    cell.scheduler.forget_where(|_| true);
    show(&cell, &mut shown);
    for pair in shown.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        assert!(before.1 == after.1 || before.0 != after.0, "{shown:?}");
    }
}
