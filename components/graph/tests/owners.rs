//! Recovery of a new owner, lost workers and delayed orders.

mod common;

use std::time::Duration;

use common::{
    TestCell, ended, gang, job, ms, owner_run_number, running, settings, step, task, worker,
};
use model::{JobEnd, JobState, RunEnd, RunReport, RunStatus, Step, TaskId, TaskRun};

/// Number of a run that the owner before the tested one placed.
const EARLIER_RUN: u64 = owner_run_number(1, 5);

/// Guards against a new owner starting a task that may still run on a worker whose agent has not reported.
#[test]
fn try_end_recovery_waits_for_pending_agent() {
    let mut cell = TestCell::without_reports(
        2,
        vec![worker("w1", "r1"), worker("w2", "r1")],
        &["w1", "w2"],
    );
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.plan_and_start_on("w1");
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    let settings = settings();
    cell.assert_starts_just_after(settings.store_outage_grace + settings.max_lease);
}

/// Returns an owner with two loaded jobs; `w1` has confirmed its epoch, and `w2`, which runs job 7, has not.
fn owner_with_unconfirmed_worker() -> TestCell {
    let mut unconfirmed = worker("w2", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    unconfirmed.report.runs.push(running(run, 40));
    let mut cell =
        TestCell::without_reports(2, vec![worker("w1", "r1"), unconfirmed], &["w1", "w2"]);
    cell.workers["w2"].report.confirmed_epoch = 1;
    cell.load(7, job(1, vec![step(1)]), None);
    cell.load(8, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell
}

/// Guards against delaying all jobs of earlier owners until the lease of one worker that does not respond has lapsed,
/// which took 5.5 s in a test with faults, and against a second run of the task on that worker.
#[test]
fn report_complete_from_unconfirmed_worker_ends_recovery() {
    let mut cell = owner_with_unconfirmed_worker();
    let report = &mut cell.workers["w2"].report;
    (report.owner_epoch, report.complete) = (2, true);
    cell.report("w2");
    cell.plan_and_start_on("w1");
    assert!(cell.run_number(task(8, 0, 0)).is_some());
    assert_eq!(cell.run_number(task(7, 0, 0)), Some(EARLIER_RUN));
    assert!(cell.instructions("w2").starts.is_empty());
}

/// Guards against running a task twice because recovery ended while a start order for it could still reach a worker.
#[test]
fn report_incomplete_does_not_end_recovery() {
    // In the first case, the agent still obeys an earlier owner, which may send the order. In the second one, an order
    // from an earlier process of the agent may not have arrived yet.
    for (owner_epoch, complete) in [(1, true), (2, false)] {
        let mut cell = owner_with_unconfirmed_worker();
        let report = &mut cell.workers["w2"].report;
        (report.owner_epoch, report.complete) = (owner_epoch, complete);
        cell.report("w2");
        cell.plan_and_start_on("w1");
        assert_eq!(
            cell.run_number(task(8, 0, 0)),
            None,
            "{owner_epoch} {complete}"
        );
    }
}

/// Guards against rerunning a task whose end the agent has read but no owner has applied.
#[test]
fn report_applies_ends_of_unconfirmed_worker() {
    let mut cell = owner_with_unconfirmed_worker();
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    let report = &mut cell.workers["w2"].report;
    (report.owner_epoch, report.complete) = (2, true);
    report.runs.clear();
    report.ends.push(ended(1, run, RunEnd::Done));
    cell.report("w2");
    cell.store_changes();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against delaying a job accepted by this owner, which no worker can be running yet.
#[test]
fn accept_is_not_delayed_by_recovery() {
    let mut cell = TestCell::without_reports(2, vec![worker("w1", "r1")], &["w1", "w2"]);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Guards against a new owner starting a second run of a task that is still running.
#[test]
fn report_adopts_running_task() {
    let mut first = worker("w1", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    first.report.runs.push(running(run, 40));
    let mut cell = TestCell::without_reports(2, vec![first], &["w1"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.plan_and_start();
    assert_eq!(cell.workers["w1"].report.runs.len(), 1);
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against gang members that wait for other members that were never started.
#[test]
fn try_end_recovery_stops_partial_gang() {
    let mut first = worker("w1", "r1");
    let run = TaskRun::new(task(7, 0, 0), EARLIER_RUN);
    first.report.runs.push(running(run, 0));
    let mut cell = TestCell::without_reports(2, vec![first], &["w1"]);
    cell.load(7, job(1, vec![gang(2)]), None);
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops, vec![run]);
}

/// Guards against run numbers of a new owner that are not higher than those of earlier owners.
#[test]
fn plan_increases_run_numbers_across_owners() {
    let mut first = TestCell::new(1, vec![worker("w1", "r1")]);
    first.accept(7, job(1, vec![step(1)]));
    first.plan_and_start();
    let mut second = TestCell::new(2, vec![worker("w1", "r1")]);
    second.accept(7, job(1, vec![step(1)]));
    second.plan_and_start();
    assert!(second.run_number(task(7, 0, 0)) > first.run_number(task(7, 0, 0)));
}

/// Guards against a second run of a task while the lease of its worker, whose agent no longer reports, may still be
/// valid. A lease of 6 s may last up to 6.37 s by the clock of the owner, because of clock drift and the margin.
#[test]
fn expire_leases_waits_for_lease_end() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    let other = if &*agent == "w1" { "w2" } else { "w1" };
    cell.advance(ms(6_100));
    cell.report(other);
    cell.scheduler.expire_leases(cell.now);
    cell.plan_and_start_on(other);
    assert!(cell.workers[other].report.runs.is_empty());
    cell.advance(ms(400));
    cell.report(other);
    cell.scheduler.expire_leases(cell.now);
    cell.plan_and_start_on(other);
    assert_eq!(cell.workers[other].report.runs.len(), 1);
}

/// Guards against waiting until the lease of a worker lapses although the worker has restarted.
#[test]
fn report_new_incarnation_frees_runs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let first = cell.run_number(task(7, 0, 0));
    let worker = &mut cell.workers["w1"];
    worker.report.incarnation = Some(2);
    worker.report.runs.clear();
    cell.report("w1");
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)) > first);
}

/// Guards against resending a start order with a different run number.
#[test]
fn instructions_repeat_same_run() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let first = cell.instructions("w1").starts;
    cell.advance(ms(700));
    cell.scheduler.plan(cell.now, ms(1_000));
    let second = cell.instructions("w1").starts;
    assert_eq!(first[0].run, second[0].run);
    assert!(!first[0].repeated && second[0].repeated);
}

/// Guards against starts by an owner whose lease may have lapsed.
#[test]
fn instructions_without_lease_start_nothing() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let now = cell.now;
    let instructions = cell.scheduler.instructions(&"w1".into(), now, false, now);
    assert!(instructions.starts.is_empty());
    assert_eq!(cell.instructions("w1").starts.len(), 1);
}

/// Guards against tasks that keep running after their job was cancelled.
#[test]
fn cancel_stops_tasks() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.plan_and_start();
    cell.scheduler.cancel(7);
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Cancelled)));
    assert_eq!(cell.instructions("w1").stops.len(), 2);
}

/// Guards against rerunning an ended job whose submission is repeated.
#[test]
fn accept_repeat_after_end_is_ignored() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    cell.scheduler.compact_ended_jobs();
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
}

impl TestCell {
    /// Returns the runs of a task that the workers list.
    fn runs_of(&self, task: TaskId) -> Vec<u64> {
        let runs = self.workers.values().flat_map(|worker| &worker.report.runs);
        let of_task = runs.filter(|listed| listed.run.task == task);
        of_task.map(|listed| listed.run.run).collect()
    }

    /// Checks that the task of job 7 is not started when `time` has passed, but half a second later.
    ///
    /// `time` ends with a lease of 6 s, which counts as lapsed after 6.37 s.
    fn assert_starts_just_after(&mut self, time: Duration) {
        for (pause, starts) in [(time, false), (ms(500), true)] {
            self.advance(pause);
            self.scheduler.try_end_recovery(self.now);
            self.report("w1");
            self.plan_and_start_on("w1");
            assert_eq!(
                self.run_number(task(7, 0, 0)).is_some(),
                starts,
                "{pause:?}"
            );
        }
    }

    /// Plans, and simulates that one worker starts the tasks that it is ordered to start.
    fn plan_and_start_on(&mut self, agent: &str) {
        self.scheduler.plan(self.now, ms(1_000));
        let starts = self.instructions(agent).starts;
        let worker = &mut self.workers[agent];
        worker
            .report
            .runs
            .extend(starts.into_iter().map(|start| running(start.run, 0)));
        self.report(agent);
    }
}

/// Guards against a second run of a task whose start order was in flight when its worker restarted: the order may reach
/// the new incarnation after the task was started elsewhere. Found by the soak test with seed 120.
#[test]
fn report_new_incarnation_stops_pending_start() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let pending = RunReport {
        run,
        status: RunStatus::Starting,
    };
    let report = &mut cell.workers[&agent].report;
    report.incarnation = Some(2);
    report.runs = vec![pending];
    cell.report(&agent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let other = if &*agent == "w1" { "w2" } else { "w1" };
    assert!(cell.instructions(other).starts.is_empty());
    assert_eq!(cell.instructions(&agent).stops, vec![run]);
    cell.workers[&agent].report.runs[0].status = RunStatus::StoppedBeforeStart;
    cell.report(&agent);
    cell.workers[&agent].report.runs.clear();
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Guards against a second run of a task whose first one began on the next process of its worker, before the agent learned
/// of that process: the run had been reported under the previous incarnation, and was counted as lost with it.
#[test]
fn report_new_incarnation_keeps_listed_run() {
    for status in [
        RunStatus::Starting,
        running(TaskRun::new(task(7, 0, 0), 1), 0).status,
    ] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
        cell.accept(7, job(1, vec![step(2)]));
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
        let run = cell.run_number(task(7, 0, 0)).expect("the task runs");
        let report = &mut cell.workers[&agent].report;
        report.incarnation = Some(2);
        report.runs.retain(|listed| listed.run.task.index == 0);
        for listed in &mut report.runs {
            listed.status = status.clone();
        }
        cell.report(&agent);
        for _ in 0..3 {
            cell.plan_and_start();
        }
        let runs = cell.runs_of(task(7, 0, 0));
        assert_eq!(runs, vec![run], "{status:?}");
        assert!(cell.run_number(task(7, 0, 1)) > Some(run), "{status:?}");
    }
}

/// Guards against a task that is never started again: the agent kept its run until a poll showed that the next process of
/// the worker does not have it.
#[test]
fn report_new_incarnation_without_run_frees_it() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let run = cell.run_number(task(7, 0, 0));
    cell.workers["w1"].report.incarnation = Some(2);
    cell.report("w1");
    cell.workers["w1"].report.runs[0].status = RunStatus::StoppedBeforeStart;
    cell.report("w1");
    cell.workers["w1"].report.runs.clear();
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 0, 0)) > run);
}

/// Guards against a second run of a task that began and ended on the next process of its worker, before the agent learned of
/// that process.
#[test]
fn report_new_incarnation_applies_its_ends() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    let run = cell.run_number(task(7, 0, 0)).expect("the task runs");
    let report = &mut cell.workers[&agent].report;
    report.incarnation = Some(2);
    report.runs.clear();
    report.ends = vec![ended(1, TaskRun::new(task(7, 0, 0), run), RunEnd::Done)];
    // The worker has not confirmed the epoch yet, so that its ends are not applied.
    report.confirmed_epoch = 0;
    cell.report(&agent);
    cell.plan_and_start();
    assert_eq!(cell.runs_of(task(7, 0, 0)), Vec::<u64>::new());
    cell.workers[&agent].report.confirmed_epoch = 1;
    cell.report(&agent);
    cell.store_changes();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against a report about an earlier process of a worker that arrives after the first one about the next process, and
/// takes the runs of that for lost.
#[test]
fn report_overtaken_by_new_incarnation_is_ignored() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let overtaken = cell.workers["w1"].report.clone();
    for agent in cell.agents() {
        cell.workers[&agent].report.incarnation = Some(2);
        cell.report(&agent);
    }
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let run = cell.run_number(task(7, 0, 0)).expect("the task runs");
    for agent in cell.agents() {
        let mut overtaken = overtaken.clone();
        overtaken.agent = agent;
        cell.scheduler.report(&overtaken, cell.now);
    }
    cell.plan_and_start();
    assert_eq!(cell.runs_of(task(7, 0, 0)), vec![run]);
}

/// Guards against waiting for the lease of an absent worker: after a power failure, an agent may find no worker at the
/// address of its worker. In a test with faults, this delayed all jobs by 15.5 s.
#[test]
fn report_absent_worker_ends_recovery() {
    let mut absent = worker("w2", "r1");
    absent.report.incarnation = None;
    absent.report.absent = true;
    let mut cell = TestCell::without_reports(2, vec![worker("w1", "r1"), absent], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    cell.report("w2");
    cell.plan_and_start_on("w1");
    assert!(cell.run_number(task(7, 0, 0)).is_some());
}

/// Guards against waiting for lease renewals by an earlier owner that has ended.
#[test]
fn previous_ended_shortens_recovery() {
    let mut cell = TestCell::without_reports(2, vec![worker("w1", "r1")], &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.scheduler.previous_ended(cell.now);
    cell.assert_starts_just_after(settings().max_lease);
}

/// Guards against a next owner that waits for an agent whose worker has a lapsed lease, so that nothing runs on it.
#[test]
fn roster_excludes_worker_with_lapsed_lease() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    // More than the 6.37 s after which a lease of 6 s counts as lapsed.
    cell.advance(ms(7_000));
    cell.report("w1");
    cell.instructions("w1");
    cell.scheduler.expire_leases(cell.now);
    let roster = cell.scheduler.roster();
    assert!(roster.contains("w1") && !roster.contains("w2"));
}

/// Guards against a next owner that waits for an agent whose worker had shut down before, for example with its VM.
#[test]
fn roster_excludes_absent_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.workers["w2"].report.absent = true;
    cell.report("w2");
    let roster = cell.scheduler.roster();
    assert!(roster.contains("w1") && !roster.contains("w2"));
}

/// Guards against workers that are held for runs that have ended: an agent whose stop was answered late reports an ended
/// run once more, and its outcome for a minute.
#[test]
fn report_frees_resources_of_stopped_orphan() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.plan_and_start();
    let stopped = TaskRun::new(task(7, 0, 0), cell.run_number(task(7, 0, 0)).unwrap_or(0));
    for index in 0..4 {
        cell.end_run(task(7, 0, index), RunEnd::Done);
    }
    cell.store_changes();
    let mut report_as = |status: RunStatus| {
        cell.workers["w1"].report.runs = vec![RunReport {
            run: stopped,
            status,
        }];
        cell.report("w1");
    };
    report_as(RunStatus::Starting);
    report_as(RunStatus::StoppedBeforeStart);
    cell.accept(8, job(1, vec![step(4)]));
    cell.plan_and_start();
    let started = (0..4).filter(|index| cell.agent_of(task(8, 0, *index)).is_some());
    assert_eq!(started.count(), 4);
}

/// Guards against an agent that is lost together with the owner stopping all jobs until its lease has lapsed, also those
/// that never had a run on its worker. In a test with three entries and eight agents, nothing was started for 17.4 s.
#[test]
fn takeover_without_agent_starts_other_jobs() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    let workers = names.iter().map(|name| worker(name, "r1")).collect();
    let mut cell = TestCell::new(1, workers);
    let steps = vec![
        step(1),
        Step {
            after: vec![0],
            ..step(1)
        },
    ];
    cell.accept(7, job(1, steps));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    let lost = names.iter().find(|name| ***name != *agent);
    let lost = lost.expect("other workers have no run");
    let mut cell = cell.take_over(2, &[lost]);
    cell.report_all();
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.report_all();
    cell.plan_and_start();
    assert!(cell.run_number(task(7, 1, 0)).is_some());
}
