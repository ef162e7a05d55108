//! What proves that a run has ended. A task whose run is taken for gone without proof runs twice.

mod common;

use std::time::Duration;

use common::{
    TestCell, ended, gang, job, ms, owner_run_number, refused, running, settings, step, task,
    worker,
};
use graph::lapse_after;
use model::{JobEnd, JobState, Refusal, RunEnd, RunReport, RunStatus, TaskRun};

impl TestCell {
    /// Lets the lease of a worker lapse, whose agent is cut off, while the other agents report.
    fn lapse(&mut self, agent: &str) {
        for _ in 0..7 {
            self.advance(ms(1_000));
            for other in self.agents() {
                if &*other != agent {
                    self.report(&other);
                    self.instructions(&other);
                }
            }
        }
        self.scheduler.expire_leases(self.now);
    }

    /// Reports that a worker left some of its runs or ends out of its list.
    fn report_incomplete(&mut self, agent: &str) {
        self.workers[agent].report.lists_complete = false;
        self.report(agent);
    }

    /// Reports a complete list.
    fn report_complete(&mut self, agent: &str) {
        self.workers[agent].report.lists_complete = true;
        self.report(agent);
    }

    /// Returns the numbers of the runs that are ordered to start now.
    fn started_runs(&mut self) -> Vec<u64> {
        self.scheduler.plan(self.now, ms(1_000));
        let agents = self.agents();
        let starts = agents
            .iter()
            .flat_map(|agent| self.instructions(agent).starts);
        starts.map(|start| start.run.run).collect()
    }
}

/// Guards against running tasks again whose ends do not fit into the 500 that a worker lists at a time.
#[test]
fn report_incomplete_list_keeps_missing_runs() {
    for step in [step(4), gang(4)] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
        cell.accept(7, job(1, vec![step]));
        cell.plan_and_start();
        let mut left_out = Vec::new();
        for agent in cell.agents() {
            let runs = std::mem::take(&mut cell.workers[&agent].report.runs);
            left_out.push((agent.clone(), runs));
            cell.report_incomplete(&agent);
        }
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        for (agent, runs) in left_out {
            cell.workers[&agent].report.runs = runs;
            cell.report_complete(&agent);
        }
        for index in 0..4 {
            cell.end_run(task(7, 0, index), RunEnd::Done);
        }
        cell.store_changes();
        assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
    }
}

/// Guards against a worker whose resources count as free while a run that its list left out occupies them, and against a run
/// that is never placed again after a complete list lacks it.
#[test]
fn report_complete_list_frees_missing_runs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.plan_and_start();
    cell.workers["w1"].report.runs.clear();
    cell.report_incomplete("w1");
    cell.accept(8, job(1, vec![step(1)]));
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.report_complete("w1");
    assert_eq!(cell.started_runs().len(), 4);
}

/// Guards against placing a task again because its agent found neither its run nor its end in an incomplete list.
#[test]
fn report_incomplete_list_keeps_stopped_runs() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    cell.workers[&agent].report.runs[0].status = RunStatus::StoppedBeforeStart;
    cell.report_incomplete(&agent);
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.report_complete(&agent);
    assert_eq!(cell.started_runs().len(), 1);
}

/// Guards against overloading a worker whose list left out a run that this owner does not know.
#[test]
fn report_incomplete_list_keeps_orphans() {
    let orphan = TaskRun::new(task(99, 0, 0), owner_run_number(1, 1));
    for end_is_listed in [false, true] {
        let mut cell = TestCell::new(2, vec![worker("w1", "r1")]);
        cell.workers["w1"].report.runs.push(running(orphan, 0));
        cell.report("w1");
        cell.accept(7, job(1, vec![step(1)]));
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        let report = &mut cell.workers["w1"].report;
        report.runs.clear();
        if end_is_listed {
            report.ends.push(ended(1, orphan, RunEnd::Stopped));
        }
        cell.report_incomplete("w1");
        assert_eq!(cell.started_runs().len(), usize::from(end_is_listed));
    }
}

/// Guards against ends that are never listed because those before them are not acknowledged while the list is incomplete.
#[test]
fn report_incomplete_list_acknowledges_its_ends() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(2)]));
    cell.plan_and_start();
    cell.workers["w1"].report.lists_complete = false;
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    assert_eq!(cell.instructions("w1").acknowledged, 1);
}

/// Guards against a second run of a task that began on the next process of its worker, which listed only a part of its runs, and
/// against a task that is never placed again after that process has listed all.
#[test]
fn report_new_incarnation_incomplete_keeps_runs() {
    for step in [step(2), gang(2)] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
        cell.accept(7, job(1, vec![step]));
        cell.plan_and_start();
        let runs = std::mem::take(&mut cell.workers["w1"].report.runs);
        cell.workers["w1"].report.incarnation = Some(2);
        cell.report_incomplete("w1");
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        cell.workers["w1"].report.runs = runs;
        cell.report_complete("w1");
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        cell.workers["w1"].report.runs.clear();
        cell.report_complete("w1");
        assert_eq!(cell.started_runs().len(), 2);
    }
}

/// Guards against a second run of a task whose start may have reached the next process of its worker, which listed only a part
/// of its runs. The start is not wanted there, because that process may be another kind of worker.
#[test]
fn report_new_incarnation_incomplete_stops_pending_start() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    cell.workers[&agent].report.incarnation = Some(2);
    cell.report_incomplete(&agent);
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.report_complete(&agent);
    assert_eq!(cell.instructions(&agent).stops, Vec::new());
    cell.advance(ms(700));
    assert_eq!(cell.instructions(&agent).stops, vec![run]);
    let stopped = RunReport {
        run,
        status: RunStatus::StoppedBeforeStart,
    };
    cell.workers[&agent].report.runs = vec![stopped];
    cell.report_complete(&agent);
    assert_eq!(cell.started_runs().len(), 1);
}

/// Guards against overloading the next process of a worker with a run that it has but has not listed.
#[test]
fn report_new_incarnation_incomplete_keeps_orphans() {
    let orphan = TaskRun::new(task(99, 0, 0), owner_run_number(1, 1));
    let mut cell = TestCell::new(2, vec![worker("w1", "r1")]);
    cell.workers["w1"].report.runs.push(running(orphan, 0));
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    let report = &mut cell.workers["w1"].report;
    report.incarnation = Some(2);
    report.runs.clear();
    cell.report_incomplete("w1");
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.report_complete("w1");
    assert_eq!(cell.started_runs().len(), 1);
}

/// Guards against running a task once more whose earlier run is done: its end was listed after the task had been placed again,
/// and was dropped.
#[test]
fn report_completes_unit_with_late_end_of_earlier_run() {
    for step in [step(2), gang(2)] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
        cell.workers["w2"].report.draining = Some(ms(60_000));
        cell.report("w2");
        cell.accept(7, job(1, vec![step]));
        cell.plan_and_start();
        cell.workers["w2"].report.draining = None;
        cell.lapse("w1");
        let again = cell.started_runs();
        assert_eq!(again.len(), 2);
        for index in 0..2 {
            let run = TaskRun::new(task(7, 0, index), again[index as usize]);
            cell.workers["w2"].report.runs.push(running(run, 0));
        }
        cell.report("w2");
        for index in 0..2 {
            cell.end_run(task(7, 0, index), RunEnd::Done);
        }
        assert_eq!(cell.instructions("w2").stops.len(), 2);
        for index in 0..2 {
            cell.end_run(task(7, 0, index), RunEnd::Stopped);
        }
        cell.store_changes();
        assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
    }
}

/// Guards against stopping a long-running task because an earlier run of it has ended, which completes nothing.
#[test]
fn report_keeps_long_running_task_after_late_end() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let mut long_running = step(1);
    long_running.long_running = true;
    cell.accept(7, job(1, vec![long_running]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    let other = if &*agent == "w1" { "w2" } else { "w1" };
    cell.lapse(&agent);
    let again = cell.started_runs();
    let run = TaskRun::new(task(7, 0, 0), again[0]);
    cell.workers[other].report.runs.push(running(run, 0));
    cell.report(other);
    let earlier = cell.workers[&agent].report.runs.remove(0).run;
    let report = &mut cell.workers[&agent].report;
    report.ends.push(ended(1, earlier, RunEnd::Done));
    cell.report(&agent);
    assert_eq!(cell.instructions(other).stops, Vec::new());
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
}

/// Guards against a new owner that takes a task for not started because a worker left its run out of its first list: the owner
/// placed it elsewhere, or overloaded the worker with its own tasks.
#[test]
fn report_incomplete_list_does_not_end_recovery() {
    for confirmed_epoch in [1, 2] {
        let workers = vec![worker("w1", "r1"), worker("w2", "r2")];
        let mut cell = TestCell::without_reports(2, workers, &["w1", "w2"]);
        cell.load(7, job(1, vec![step(1)]), None);
        cell.report("w1");
        let report = &mut cell.workers["w2"].report;
        (report.owner_epoch, report.complete) = (2, true);
        report.confirmed_epoch = confirmed_epoch;
        cell.report_incomplete("w2");
        cell.accept(8, job(1, vec![step(8)]));
        assert_eq!(cell.started_runs().len(), 4, "{confirmed_epoch}");
        assert!(cell.instructions("w2").starts.is_empty());
        let run = TaskRun::new(task(7, 0, 0), owner_run_number(1, 5));
        cell.workers["w2"].report.runs.push(running(run, 10));
        cell.report_complete("w2");
        assert!(!cell.started_runs().contains(&run.run));
        cell.workers["w2"].report.confirmed_epoch = 2;
        cell.end_run(task(7, 0, 0), RunEnd::Done);
        cell.store_changes();
        assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
    }
}

/// Guards against a second run of a task on a worker that the agent reports, but whose runs this owner does not know when the
/// leases have lapsed that earlier owners renewed: this owner renews its lease. It must stop that, or recovery never ends.
#[test]
fn try_end_recovery_waits_for_renewed_lease() {
    for (confirmed_epoch, lists_complete) in [(1, true), (2, false)] {
        let workers = vec![worker("w1", "r1"), worker("w2", "r2")];
        let mut cell = TestCell::without_reports(2, workers, &["w1", "w2"]);
        cell.load(7, job(1, vec![step(1)]), None);
        let report = &mut cell.workers["w2"].report;
        (report.confirmed_epoch, report.lists_complete) = (confirmed_epoch, lists_complete);
        let mut lease_end = Duration::ZERO;
        for _ in 0..240 {
            cell.advance(ms(100));
            cell.scheduler.expire_leases(cell.now);
            cell.scheduler.try_end_recovery(cell.now);
            for agent in cell.agents() {
                cell.report(&agent);
            }
            cell.scheduler.plan(cell.now, ms(1_000));
            let starts = cell.instructions("w1").starts;
            let renewed_at = cell.instructions("w2").report_sent_at;
            if !starts.is_empty() {
                break;
            }
            lease_end = lease_end.max(renewed_at + lapse_after(settings().max_lease));
        }
        assert!(cell.now >= lease_end, "{confirmed_epoch} {lists_complete}");
        assert!(
            cell.now < lease_end + ms(500),
            "{confirmed_epoch} {lists_complete}"
        );
    }
}

/// Guards against a report about an earlier process of a worker that arrives long after the next process has begun, and takes the
/// runs of that for lost. A report may wait for seconds in the connection of a process that is paused.
#[test]
fn report_overtaken_for_long_is_ignored() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let overtaken = cell.workers["w1"].report.clone();
    cell.workers["w1"].report.incarnation = Some(2);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(8)]));
    cell.plan_and_start();
    for _ in 0..30 {
        cell.advance(ms(1_000));
        for agent in cell.agents() {
            cell.report(&agent);
            cell.instructions(&agent);
        }
        cell.scheduler.report(&overtaken, cell.now);
        cell.scheduler.expire_leases(cell.now);
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
    }
}

/// Guards against a second run of a task on a machine that was given the name of another one, whose worker goes on until its lease
/// ends, and against ignoring the machine for good. The boot clock of the new machine starts anew.
#[test]
fn report_of_replaced_machine_frees_runs_after_lease() {
    for uptime in [ms(90_000), ms(1_000)] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
        cell.accept(7, job(1, vec![step(1)]));
        cell.plan_and_start();
        let reported_at = cell.now;
        let lease_end = reported_at + lapse_after(settings().max_lease);
        let mut report = cell.workers["w1"].report.clone();
        report.incarnation = Some(9);
        report.runs.clear();
        for beat in 0..80 {
            cell.advance(ms(100));
            report.sent_at = uptime + ms(100 * beat);
            cell.scheduler.expire_leases(cell.now);
            cell.scheduler.report(&report, cell.now);
            if !cell.started_runs().is_empty() {
                break;
            }
        }
        assert!(cell.now > lease_end && cell.now < lease_end + ms(500));
    }
}

/// Guards against a task that is never placed again: a start was in flight to a worker that was reported absent, and then its
/// machine was removed, so that no report told what became of the start.
#[test]
fn expire_leases_frees_pending_start_of_absent_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    let pending = RunReport {
        run,
        status: RunStatus::Starting,
    };
    let report = &mut cell.workers[&agent].report;
    report.runs = vec![pending];
    report.absent = true;
    cell.report(&agent);
    cell.instructions(&agent);
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.workers.shift_remove(&agent);
    cell.lapse(&agent);
    assert_eq!(cell.started_runs().len(), 1);
    assert!(!cell.scheduler.roster().contains(&agent));
}

/// Guards against a second run of a task whose start was in flight when the owner changed: the new owner took it for running, and
/// for ended when the next process of its agent, which does not know the order, reported a list without it.
#[test]
fn report_adopts_pending_start_as_pending() {
    let run = TaskRun::new(task(7, 0, 0), owner_run_number(1, 5));
    let pending = RunReport {
        run,
        status: RunStatus::Starting,
    };
    let workers = vec![worker("w1", "r1"), worker("w2", "r2")];
    let mut cell = TestCell::without_reports(2, workers, &["w1", "w2"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.workers["w1"].report.runs.push(pending);
    for agent in cell.agents() {
        cell.report(&agent);
    }
    assert_eq!(cell.state(7), Some(JobState::Queued));
    cell.workers["w1"].report.runs.clear();
    cell.report("w1");
    assert_eq!(cell.started_runs(), Vec::<u64>::new());
    cell.advance(ms(700));
    let starts = cell.instructions("w1").starts;
    assert!(starts.len() == 1 && starts[0].run == run && starts[0].repeated);
    cell.workers["w1"].report.runs.push(running(run, 0));
    cell.report("w1");
    cell.end_run(task(7, 0, 0), RunEnd::Done);
    cell.store_changes();
    assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
}

/// Guards against a second run of a task whose start was in flight to an absent worker when the owner changed. The new owner ended
/// its recovery with the report that listed the start, and placed the task elsewhere.
#[test]
fn report_absent_adopts_pending_start_of_earlier_owner() {
    for step in [step(1), gang(2)] {
        let run = TaskRun::new(task(7, 0, 0), owner_run_number(1, 5));
        let workers = vec![worker("w1", "r1"), worker("w2", "r2")];
        let mut cell = TestCell::without_reports(2, workers, &["w1", "w2"]);
        let tasks = step.tasks as usize;
        cell.load(7, job(1, vec![step]), None);
        let report = &mut cell.workers["w1"].report;
        report.absent = true;
        report.runs = vec![RunReport {
            run,
            status: RunStatus::Starting,
        }];
        for agent in cell.agents() {
            cell.report(&agent);
        }
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        assert!(cell.scheduler.roster().contains("w1"));
        cell.workers["w1"].report.runs.clear();
        cell.report("w1");
        assert_eq!(cell.started_runs().len(), tasks);
    }
}

/// Guards against running a task again whose end was listed in the same report as the absence of its worker, or in a report to a
/// new owner.
#[test]
fn report_absent_applies_listed_ends() {
    for step in [step(1), gang(2)] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
        cell.accept(7, job(1, vec![step.clone()]));
        cell.plan_and_start();
        let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
        cell.workers[&agent].report.absent = true;
        cell.end_run(task(7, 0, 0), RunEnd::Done);
        let absent = cell.workers[&agent].clone();
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        cell.store_changes();
        assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));

        let mut cell = TestCell::without_reports(2, vec![absent], &[&*agent]);
        cell.load(7, job(1, vec![step]), None);
        cell.report(&agent);
        cell.store_changes();
        assert_eq!(cell.state(7), Some(JobState::Ended(JobEnd::Completed)));
    }
}

/// Guards against running a task again whose start was refused because the worker has had the run: its end is listed later.
#[test]
fn report_outdated_start_awaits_its_end() {
    for end in [RunEnd::Done, RunEnd::Stopped] {
        let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
        cell.accept(7, job(1, vec![step(1)]));
        let (agent, run) = cell.first_start();
        cell.workers[&agent].report.runs = vec![refused(run, Refusal::Outdated)];
        cell.report(&agent);
        cell.advance(ms(1_000));
        cell.report(&agent);
        assert_eq!(cell.started_runs(), Vec::<u64>::new());
        cell.end_run(task(7, 0, 0), end);
        assert_eq!(cell.started_runs().len(), usize::from(end != RunEnd::Done));
    }
}

/// Guards against a run that occupies its worker for good: the worker refused its start as outdated and has forgotten its end.
#[test]
fn report_outdated_start_ends_with_stop() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    cell.workers[&agent].report.runs = vec![refused(run, Refusal::Outdated)];
    cell.report(&agent);
    assert_eq!(cell.instructions(&agent).stops, vec![run]);
    cell.workers[&agent].report.runs[0].status = RunStatus::StoppedBeforeStart;
    cell.report(&agent);
    assert_eq!(cell.started_runs().len(), 1);
}

/// Guards against stopping a healthy run as hanging, and its worker from being used, because the lists of the worker leave it out.
#[test]
fn stop_hanging_runs_spares_runs_left_out() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let runs = std::mem::take(&mut cell.workers["w1"].report.runs);
    for _ in 0..20 {
        cell.advance(ms(500));
        cell.report_incomplete("w1");
        cell.scheduler.plan(cell.now, ms(1_000));
        assert_eq!(cell.instructions("w1").stops, Vec::new());
    }
    cell.workers["w1"].report.runs = runs;
    cell.report_complete("w1");
    cell.advance(ms(500));
    cell.accept(8, job(1, vec![step(1)]));
    assert_eq!(cell.started_runs().len(), 1);
}

/// Guards against a task that runs twice: the agent of a worker had restarted and found its address refusing connections, while
/// the process that it had reported before ran on.
#[test]
fn report_absent_without_contact_keeps_runs_until_lapse() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.plan_and_start();
    let agent = cell.agent_of(task(7, 0, 0)).expect("the task runs");
    let lease_end = cell.now + lapse_after(settings().max_lease);
    let report = &mut cell.workers[&agent].report;
    report.incarnation = None;
    report.absent = true;
    report.runs.clear();
    while cell.started_runs().is_empty() && cell.now < lease_end + ms(500) {
        cell.advance(ms(100));
        for agent in cell.agents() {
            cell.report(&agent);
        }
        cell.scheduler.expire_leases(cell.now);
    }
    assert!(cell.now > lease_end, "started elsewhere within the lease");
    assert!(cell.now < lease_end + ms(500), "not started again");
}

/// Guards against a task that runs twice: a restarted agent does not know a start in flight of its earlier process, which may
/// reach the next process of the worker.
#[test]
fn report_new_incarnation_of_restarted_agent_keeps_pending_start() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, _) = cell.first_start();
    let report = &mut cell.workers[&agent].report;
    report.incarnation = Some(2);
    report.complete = false;
    cell.report(&agent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let agents = cell.agents();
    let started: usize = agents
        .iter()
        .map(|agent| cell.instructions(agent).starts.len())
        .sum();
    assert_eq!(started, 0);
}
