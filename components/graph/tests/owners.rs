//! Owners that follow each other, workers that vanish, and orders that are late.

mod common;

use std::time::Duration;

use common::{Cell, ended, gang, job, ms, running, side, step, task};
use model::{JobEnd, JobState, RunEnd, RunReport, RunStatus, TaskRun};

const EARLIER_RUN: u64 = (1 << 20) + 5;

/// Guards against a new owner that starts a task which an unheard worker may run.
#[test]
fn adoption_waits_for_unheard_agent() {
    let mut cell = Cell::silent(2, vec![side("w1", "r1"), side("w2", "r1")], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.run_only("w1");
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    cell.assert_starts_just_after(ms(9_000 + 6_000));
}

/// An owner with two loaded jobs; `w1` has confirmed it, and `w2`, which has a run of job 7, has not.
fn owner_with_silent_worker() -> Cell {
    let mut silent = side("w2", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    silent.report.runs.push(running(run, 40));
    let mut cell = Cell::silent(2, vec![side("w1", "r1"), silent], &["w1", "w2"]);
    cell.sides["w2"].report.fenced = 1;
    cell.load(7, job(1, vec![step(1)]), None);
    cell.load(8, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell
}

/// Guards against all jobs of earlier owners waiting for the lease of one worker that does not answer its agent, and against
/// a second run of what that worker has. Found on plotshare-grown, trouble-3, seed 1: 5.5 s.
#[test]
fn adoption_ends_with_what_agent_knows() {
    let mut cell = owner_with_silent_worker();
    let report = &mut cell.sides["w2"].report;
    (report.followed, report.complete) = (2, true);
    cell.report("w2");
    cell.run_only("w1");
    assert!(cell.run_of(task(8, 0, 0)).is_some());
    assert_eq!(cell.run_of(task(7, 0, 0)), Some(EARLIER_RUN));
    assert!(cell.instructions("w2").starts.is_empty());
}

/// Guards against a start that an earlier owner, or an earlier process of the agent, may still bring to the worker.
#[test]
fn adoption_waits_for_agent_that_may_not_know() {
    for (followed, complete) in [(1, true), (2, false)] {
        let mut cell = owner_with_silent_worker();
        let report = &mut cell.sides["w2"].report;
        (report.followed, report.complete) = (followed, complete);
        cell.report("w2");
        cell.run_only("w1");
        assert_eq!(cell.run_of(task(8, 0, 0)), None, "{followed} {complete}");
    }
}

/// Guards against running a task again whose end the agent has read and no owner has taken note of.
#[test]
fn adoption_takes_ends_of_unconfirmed_worker() {
    let mut cell = owner_with_silent_worker();
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    let report = &mut cell.sides["w2"].report;
    (report.followed, report.complete) = (2, true);
    report.runs.clear();
    report.ends.push(ended(1, run, RunEnd::Done));
    cell.report("w2");
    cell.store();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against a job that was accepted by this owner and waits for workers that cannot know it.
#[test]
fn adoption_does_not_delay_new_jobs() {
    let mut cell = Cell::silent(2, vec![side("w1", "r1")], &["w1", "w2"]);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Guards against a second run of a task that goes on under a new owner.
#[test]
fn adoption_keeps_running_task() {
    let mut first = side("w1", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    first.report.runs.push(running(run, 40));
    let mut cell = Cell::silent(2, vec![first], &["w1"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.run();
    assert_eq!(cell.sides["w1"].report.runs.len(), 1);
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.store();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against members of a gang that wait for members that were never started.
#[test]
fn adoption_stops_partial_gang() {
    let mut first = side("w1", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    first.report.runs.push(running(run, 0));
    let mut cell = Cell::silent(2, vec![first], &["w1"]);
    cell.load(7, job(1, vec![gang(2)]), None);
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops, vec![run]);
}

/// Guards against run numbers of a new owner that do not rise above those of earlier owners.
#[test]
fn place_numbers_rise_over_owners() {
    let mut first = Cell::with(1, vec![side("w1", "r1")]);
    first.accept(7, job(1, vec![step(1)]));
    first.run();
    let mut second = Cell::with(2, vec![side("w1", "r1")]);
    second.accept(7, job(1, vec![step(1)]));
    second.run();
    assert!(second.run_of(task(7, 0, 0)) > first.run_of(task(7, 0, 0)));
}

/// Guards against a second run of a task whose worker is silent but may hold its lease.
#[test]
fn expire_waits_for_lease() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    let place = cell.place_of(task(7, 0, 0)).expect("the task runs");
    let other = if &*place == "w1" { "w2" } else { "w1" };
    cell.pass(ms(6_100));
    cell.report(other);
    cell.scheduler.expire_leases(cell.now);
    cell.run_only(other);
    assert!(cell.sides[other].report.runs.is_empty());
    cell.pass(ms(400));
    cell.report(other);
    cell.scheduler.expire_leases(cell.now);
    cell.run_only(other);
    assert_eq!(cell.sides[other].report.runs.len(), 1);
}

/// Guards against waiting for the lease of a worker that has begun another life.
#[test]
fn report_new_incarnation_frees_runs() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    let first = cell.run_of(task(7, 0, 0));
    let side = &mut cell.sides["w1"];
    side.report.incarnation = Some(2);
    side.report.runs.clear();
    cell.report("w1");
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)) > first);
}

/// Guards against an order that is sent twice under different run numbers because its first sending shows no effect.
#[test]
fn instructions_repeat_same_run() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let first = cell.instructions("w1").starts;
    cell.pass(ms(700));
    cell.scheduler.plan(cell.now, ms(1_000));
    let second = cell.instructions("w1").starts;
    assert_eq!(first[0].run, second[0].run);
    assert!(!first[0].repeated && second[0].repeated);
}

/// Guards against starts by an owner whose lease may have lapsed.
#[test]
fn instructions_without_lease_start_nothing() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let now = cell.now;
    let instructions = cell.scheduler.instructions(&"w1".into(), now, false, now);
    assert!(instructions.starts.is_empty());
    assert_eq!(cell.instructions("w1").starts.len(), 1);
}

/// Guards against tasks of a cancelled job that run on.
#[test]
fn cancel_stops_tasks() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.run();
    cell.scheduler.cancel(7);
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Cancelled)));
    assert_eq!(cell.instructions("w1").stops.len(), 2);
}

/// Guards against a job that runs again because its submission is repeated after its end.
#[test]
fn accept_repeat_after_end_is_ignored() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.store();
    cell.scheduler.forget_ended();
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
}

impl Cell {
    /// Checks that the task of job 7 does not start before a time has passed, and starts within half a second after it.
    fn assert_starts_just_after(&mut self, time: Duration) {
        for (pause, starts) in [(time, false), (ms(500), true)] {
            self.pass(pause);
            self.scheduler.end_adoption(self.now);
            self.report("w1");
            self.run_only("w1");
            assert_eq!(self.run_of(task(7, 0, 0)).is_some(), starts, "{pause:?}");
        }
    }

    /// Plans, and lets one worker begin what it is told to.
    fn run_only(&mut self, agent: &str) {
        self.scheduler.plan(self.now, ms(1_000));
        let starts = self.instructions(agent).starts;
        let side = &mut self.sides[agent];
        side.report
            .runs
            .extend(starts.into_iter().map(|start| running(start.run, 0)));
        self.report(agent);
    }
}

/// Guards against a second run of a task whose start was on its way when its worker began another life: the start may
/// reach the new life after the task was started elsewhere. Found by seed 120 of the soak.
#[test]
fn report_new_incarnation_stops_open_start() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let open = RunReport {
        run,
        status: RunStatus::Starting,
    };
    let reborn = &mut cell.sides[&agent].report;
    reborn.incarnation = Some(2);
    reborn.runs = vec![open];
    cell.report(&agent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let other = if &*agent == "w1" { "w2" } else { "w1" };
    assert!(cell.instructions(other).starts.is_empty());
    assert_eq!(cell.instructions(&agent).stops, vec![run]);
    cell.sides[&agent].report.runs[0].status = RunStatus::Gone;
    cell.report(&agent);
    cell.sides[&agent].report.runs.clear();
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Guards against a cell that waits for an agent whose worker is gone: after a loss of power an agent may find nothing at
/// the address of its worker. Found by plotshare hunt-d1be-147, where jobs stood still for 15.5 s.
#[test]
fn adoption_ends_with_absent_worker() {
    let mut gone = side("w2", "r1");
    gone.report.incarnation = None;
    gone.report.absent = true;
    let mut cell = Cell::silent(2, vec![side("w1", "r1"), gone], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.report("w2");
    cell.run_only("w1");
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Guards against waiting for permissions of an earlier owner that has ended.
#[test]
fn previous_ended_shortens_adoption() {
    let mut cell = Cell::silent(2, vec![side("w1", "r1")], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.scheduler.previous_ended(cell.now);
    cell.assert_starts_just_after(ms(6_000));
}

/// Guards against a next owner that waits for an agent which was removed long ago.
#[test]
fn roster_drops_silent_agent() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.pass(ms(7_000));
    cell.report("w1");
    cell.instructions("w1");
    cell.scheduler.expire_leases(cell.now);
    let roster = cell.scheduler.roster();
    assert!(roster.contains("w1") && !roster.contains("w2"));
}

/// Guards against a next owner that waits for a machine which left together with its worker.
#[test]
fn roster_drops_absent_worker() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.sides["w2"].report.absent = true;
    cell.report("w2");
    let roster = cell.scheduler.roster();
    assert!(roster.contains("w1") && !roster.contains("w2"));
}
