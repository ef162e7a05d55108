//! Recovery of a new owner by the records of placements: on which agents a job may have runs.

mod common;

use common::{TestCell, gang, job, ms, owner_run_number, running, settings, step, task, worker};
use graph::lapse_after;
use model::{AgentId, JobId, TaskId, TaskRun};

const NAMES: [&str; 5] = ["w1", "w2", "w3", "w4", "w5"];

/// Returns an owner of five workers; `jobs` of one task each run on them.
fn cell_with_jobs(jobs: &[JobId]) -> TestCell {
    let workers = NAMES.iter().map(|name| worker(name, "r1")).collect();
    let mut cell = TestCell::new(1, workers);
    for id in jobs {
        cell.accept(*id, job(1, vec![step(1)]));
        cell.plan_and_start();
        assert!(cell.agent_of(first_task(*id)).is_some(), "{id}");
    }
    cell
}

fn first_task(job: JobId) -> TaskId {
    task(job, 0, 0)
}

/// Returns the agents of the workers that run no task of a job.
fn others(cell: &TestCell, job: JobId) -> Vec<AgentId> {
    let agent = cell.agent_of(first_task(job));
    let mut agents = cell.agents();
    agents.retain(|other| Some(other) != agent.as_ref());
    agents
}

/// Makes all agents report to a new owner, which then plans.
fn recover(cell: &mut TestCell) {
    cell.report_all();
    cell.plan_and_start();
}

/// Returns whether a task that waits is started after the leases of earlier owners have lapsed, and not before.
fn starts_after_lapse(cell: &mut TestCell, task: TaskId) -> bool {
    let settings = settings();
    let wait = settings.store_outage_grace + lapse_after(settings.max_lease);
    cell.advance(wait.saturating_sub(ms(200)));
    cell.scheduler.try_end_recovery(cell.now);
    recover(cell);
    let is_early = cell.run_number(task).is_some();
    cell.advance(ms(400));
    cell.scheduler.try_end_recovery(cell.now);
    recover(cell);
    !is_early && cell.run_number(task).is_some()
}

/// Guards against a second run of a task that runs on a worker whose agent is lost together with the owner, and against
/// holding its neighbours on other workers for it.
#[test]
fn takeover_holds_jobs_of_lost_agent() {
    let cell = cell_with_jobs(&[7, 8]);
    let lost = cell.agent_of(first_task(7)).expect("the task runs");
    let mut cell = cell.take_over(2, &[&lost]);
    cell.accept(9, job(1, vec![step(1)]));
    recover(&mut cell);
    assert_eq!(cell.run_number(first_task(7)), None);
    assert!(cell.run_number(first_task(9)).is_some());
    assert!(starts_after_lapse(&mut cell, first_task(7)));
}

/// Guards against a second run of the neighbours of a task on the lost worker: the record names the agent for each job.
#[test]
fn takeover_holds_neighbours_on_lost_worker() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    for id in 7..10 {
        cell.accept(id, job(1, vec![step(1)]));
    }
    cell.plan_and_start();
    for name in ["w2", "w3"] {
        cell.workers.insert(name.into(), worker(name, "r1"));
        cell.workers[name].report.confirmed_epoch = 1;
    }
    cell.report_all();
    cell.accept(10, job(1, vec![step(4)]));
    cell.plan_and_start();
    let mut cell = cell.take_over(2, &["w1"]);
    recover(&mut cell);
    assert!((7..10).all(|id| cell.run_number(first_task(id)).is_none()));
    assert!(starts_after_lapse(&mut cell, first_task(8)));
}

/// Guards against a gang of which one member runs on the unheard worker: it is neither started again nor stopped before the
/// lease has lapsed.
#[test]
fn takeover_holds_gang_with_lost_member() {
    let mut cell = cell_with_jobs(&[]);
    cell.accept(7, job(1, vec![gang(6)]));
    cell.plan_and_start();
    let lost = cell.agent_of(first_task(7)).expect("the gang runs");
    let mut cell = cell.take_over(2, &[&lost]);
    recover(&mut cell);
    let stops = |cell: &mut TestCell| {
        let agents = cell.agents().into_iter();
        agents
            .map(|agent| cell.instructions(&agent).stops.len())
            .sum::<usize>()
    };
    assert_eq!(stops(&mut cell), 0);
    let settings = settings();
    cell.advance(settings.store_outage_grace + lapse_after(settings.max_lease));
    cell.scheduler.try_end_recovery(cell.now);
    cell.report_all();
    assert!(stops(&mut cell) > 0);
}

/// Guards against an owner that is lost before it has heard an agent, and leaves records without that agent.
#[test]
fn takeover_twice_keeps_unheard_agent() {
    let mut cell = cell_with_jobs(&[]);
    cell.accept(7, job(1, vec![step(1), step(2)]));
    cell.plan_and_start();
    let lost = cell.agent_of(first_task(7)).expect("the task runs");
    let mut second = cell.take_over(2, &[&lost]);
    recover(&mut second);
    let mut third = second.take_over(3, &[]);
    recover(&mut third);
    assert_eq!(third.run_number(first_task(7)), None);
    assert!(starts_after_lapse(&mut third, first_task(7)));
}

/// Guards against a second run of a task that the second owner placed on an agent that is lost with it.
#[test]
fn takeover_twice_holds_job_of_second_owner() {
    let cell = cell_with_jobs(&[7]);
    let mut second = cell.take_over(2, &[]);
    recover(&mut second);
    second.accept(8, job(1, vec![step(1)]));
    second.plan_and_start();
    let lost = second.agent_of(first_task(8)).expect("the task runs");
    let mut third = second.take_over(3, &[&lost]);
    third.accept(9, job(1, vec![step(1)]));
    recover(&mut third);
    assert_eq!(third.run_number(first_task(8)), None);
    assert!(third.run_number(first_task(9)).is_some());
    assert!(starts_after_lapse(&mut third, first_task(8)));
}

/// Guards against a start that the next owner does not know of, because the store is slow to record the agent.
#[test]
fn instructions_hold_start_until_recorded() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let written = cell.scheduler.take_placements(10);
    assert_eq!(written.len(), 1);
    assert!(!cell.scheduler.has_orders("w1", cell.now));
    assert!(cell.unrecorded_instructions("w1").starts.is_empty());
    cell.scheduler.mark_placements_stored(&[7], cell.now);
    assert!(cell.scheduler.has_orders("w1", cell.now));
    assert_eq!(cell.unrecorded_instructions("w1").starts.len(), 1);
}

/// Guards against a start on an agent that the record in the store names, while a write without it may be carried out.
#[test]
fn instructions_hold_start_while_record_shrinks() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(6)]));
    cell.plan_and_start();
    for index in 0..4 {
        cell.end_run(task(7, 0, index), model::RunEnd::Stopped);
    }
    cell.workers["w1"].report.draining = Some(ms(60_000));
    let mut second = worker("w2", "r1");
    second.report.confirmed_epoch = 1;
    cell.workers.insert("w2".into(), second);
    cell.report_all();
    cell.scheduler.plan(cell.now, ms(1_000));
    let written = cell.scheduler.take_placements(10);
    assert!(!written[0].agents.contains("w1") && written[0].agents.contains("w2"));
    cell.workers["w1"].report.draining = None;
    cell.report_all();
    cell.scheduler.plan(cell.now, ms(1_000));
    assert!(cell.unrecorded_instructions("w1").starts.is_empty());
    cell.scheduler.mark_placements_stored(&[7], cell.now);
    assert!(cell.unrecorded_instructions("w1").starts.is_empty());
    assert_eq!(cell.instructions("w1").starts.len(), 2);
}

/// Guards against a write for each start: a job whose agents are recorded needs none.
#[test]
fn take_placements_writes_new_agents_only() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(8)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.store_placements(), 1);
    cell.plan_and_start();
    for index in 0..4 {
        cell.end_run(task(7, 0, index), model::RunEnd::Done);
    }
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.store_placements(), 0);
    assert_eq!(cell.instructions("w1").starts.len(), 4);
}

/// Guards against a record that is written after the end of its job deleted it.
#[test]
fn take_ended_waits_for_record_in_flight() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.scheduler.take_placements(10).len(), 1);
    cell.scheduler.cancel(7);
    assert!(cell.scheduler.take_ended(10).is_empty());
    cell.scheduler.mark_placements_stored(&[7], cell.now);
    assert_eq!(cell.scheduler.take_ended(10).len(), 1);
}

/// Guards against relying on records beside an earlier owner that kept none.
#[test]
fn takeover_from_owner_without_records_waits_for_all() {
    let mut cell = cell_with_jobs(&[7, 8]);
    let lost = others(&cell, 7).remove(3);
    cell.accept(9, job(1, vec![step(1)]));
    let mut cell = cell.take_over_without_records(2, &[&lost]);
    recover(&mut cell);
    assert_eq!(cell.run_number(first_task(9)), None);
    assert!(!cell.scheduler.are_records_complete());
    assert!(starts_after_lapse(&mut cell, first_task(9)));
    assert!(cell.scheduler.are_records_complete());
}

/// Guards against waiting although everything was restarted and all agents are heard.
#[test]
fn restart_of_everything_ends_with_last_agent() {
    let mut cell = cell_with_jobs(&[7]);
    cell.accept(9, job(1, vec![step(1)]));
    let mut cell = cell.take_over_without_records(2, &[]);
    recover(&mut cell);
    assert!(cell.run_number(first_task(9)).is_some());
    let runs = cell.workers.values();
    let runs = runs.map(|worker| worker.report.runs.len());
    assert_eq!(runs.sum::<usize>(), 2);
}

/// Guards against taking the records for complete while they lack the agent of an adopted run, which an owner placed that kept
/// no records.
#[test]
fn are_records_complete_waits_for_adopted_runs() {
    let mut first = worker("w1", "r1");
    let run = TaskRun::new(first_task(7), owner_run_number(1, 5));
    first.report.runs.push(running(run, 40));
    let mut cell = TestCell::without_reports(2, vec![first], &["w1"]);
    cell.load(7, job(1, vec![step(1)]), None);
    cell.report("w1");
    assert!(!cell.scheduler.are_records_complete());
    assert_eq!(cell.store_placements(), 1);
    assert!(cell.scheduler.are_records_complete());
}

/// Guards against a start that is ordered for a job that was cancelled while the store was slow to record its agent.
#[test]
fn cancel_drops_start_that_waits_for_record() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let written = cell.scheduler.take_placements(10);
    cell.scheduler.cancel(7);
    let written: Vec<JobId> = written.iter().map(|change| change.job).collect();
    cell.scheduler.mark_placements_stored(&written, cell.now);
    assert!(cell.unrecorded_instructions("w1").starts.is_empty());
}

/// Guards against a record in flight of one job that holds the starts of others.
#[test]
fn instructions_start_jobs_beside_record_in_flight() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.scheduler.take_placements(10).len(), 1);
    cell.accept(8, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.store_placements(), 1);
    let starts = cell.unrecorded_instructions("w1").starts;
    let started: Vec<JobId> = starts.iter().map(|start| start.run.task.job).collect();
    assert_eq!(started, [8]);
}

/// Returns an owner whose job has ended its first task on `w1` and goes on to its second on `w2`. The record names `w2` alone,
/// and the progress with the end is not stored yet.
fn cell_with_unstored_end(end: model::RunEnd) -> TestCell {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let next = model::Step {
        after: vec![0],
        ..step(1)
    };
    cell.accept(7, job(1, vec![step(1), next]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(first_task(7)).as_deref(), Some("w1"));
    let mut second = worker("w2", "r1");
    second.report.confirmed_epoch = 1;
    cell.workers.insert("w2".into(), second);
    cell.report("w2");
    cell.workers["w1"].report.draining = Some(ms(60_000));
    cell.report("w1");
    cell.end_run(first_task(7), end);
    cell.advance(ms(2_000));
    cell.report_all();
    cell.plan_and_start();
    assert!(cell.stored[&7].placements.contains("w2"));
    cell
}

/// Guards against a second run of a task that has ended on an agent that is heard late: the record must name the agent until
/// its end is stored.
#[test]
fn takeover_waits_for_agent_with_unstored_end() {
    let cell = cell_with_unstored_end(model::RunEnd::Done);
    let mut cell = cell.take_over(2, &["w1"]);
    recover(&mut cell);
    assert_eq!(cell.run_number(first_task(7)), None);
}

/// Guards against one attempt too many of a task whose failure on an agent is not stored: the record must name the agent until
/// then.
#[test]
fn record_names_agent_with_unstored_failure() {
    let cell = cell_with_unstored_end(model::RunEnd::Failed);
    assert!(cell.stored[&7].placements.contains("w1"));
}

/// Guards against a job that stands for a lease because an agent is lost on which its only run has ended and is stored.
#[test]
fn takeover_holds_no_job_for_agent_of_stored_end() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    let next = model::Step {
        after: vec![0],
        ..step(8)
    };
    // The gang has no room on one worker, so that the job has no run when the owner is lost.
    let next = model::Step { gang: true, ..next };
    cell.accept(7, job(1, vec![step(1), next]));
    cell.plan_and_start();
    cell.end_run(first_task(7), model::RunEnd::Done);
    cell.store_changes();
    cell.plan_and_start();
    cell.advance(ms(2_000));
    cell.report_all();
    cell.plan_and_start();
    let mut cell = cell.take_over(2, &["w1"]);
    for name in ["w2", "w3"] {
        let mut other = worker(name, "r1");
        other.report.confirmed_epoch = 2;
        cell.workers.insert(name.into(), other);
    }
    recover(&mut cell);
    assert_eq!(cell.scheduler.recovery_state().jobs, 0);
    assert!(cell.run_number(task(7, 1, 0)).is_some());
}

/// Guards against a job that waits for an agent other than those of its record: the lease of its lost agent has lapsed, while
/// another agent reports incomplete lists.
#[test]
fn lapsed_agent_holds_no_job_longer_than_its_own_lease() {
    let cell = cell_with_jobs(&[7, 8]);
    let lost = cell.agent_of(first_task(7)).expect("the task runs");
    let mut cell = cell.take_over(2, &[&lost]);
    // Another agent of the roster is in touch, but its list is never complete.
    let other = cell.agents().remove(0);
    cell.workers[&other].report.lists_complete = false;
    let settings = settings();
    let until = cell.now + settings.store_outage_grace + lapse_after(settings.max_lease) + ms(500);
    while cell.now < until {
        cell.advance(ms(250));
        cell.scheduler.expire_leases(cell.now);
        cell.scheduler.try_end_recovery(cell.now);
        recover(&mut cell);
    }
    assert!(cell.run_number(first_task(7)).is_some());
}

/// Guards against stop orders for starts that were never ordered, because the store was slow to record their agents.
#[test]
fn unrecorded_start_is_not_given_up() {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.scheduler.take_placements(10).len(), 1);
    let until = cell.now + lapse_after(settings().max_lease) + ms(1_000);
    while cell.now < until {
        cell.advance(ms(500));
        cell.report_all();
        cell.scheduler.expire_leases(cell.now);
        cell.scheduler.plan(cell.now, ms(1_000));
        assert!(cell.unrecorded_instructions("w1").stops.is_empty());
    }
    cell.scheduler.mark_placements_stored(&[7], cell.now);
    assert_eq!(cell.unrecorded_instructions("w1").starts.len(), 1);
}

/// Guards against a lasting task that stands for a lease because another task of its job ran on a lost agent: its own run was
/// adopted, so that no other run of it can exist.
#[test]
fn takeover_restarts_adopted_lasting_task_beside_lost_agent() {
    let mut cell = cell_with_jobs(&[]);
    let lasting = model::Step {
        long_running: true,
        ..step(6)
    };
    cell.accept(7, job(1, vec![lasting]));
    cell.plan_and_start();
    let lost = cell.agent_of(first_task(7)).expect("the task runs");
    let mut indices = 0..6;
    let other = indices.find(|index| cell.agent_of(task(7, 0, *index)).as_ref() != Some(&lost));
    let other = task(7, 0, other.expect("another worker runs a task"));
    let mut cell = cell.take_over(2, &[&lost]);
    recover(&mut cell);
    cell.end_run(other, model::RunEnd::Broken);
    cell.advance(ms(2_500));
    recover(&mut cell);
    assert!(cell.run_number(other).is_some());
    assert_eq!(cell.run_number(first_task(7)), None);
}

/// Guards against a job that stands after a takeover because its record still names an agent on which its run has ended: the
/// end was not stored yet when the job was placed on another agent.
#[test]
fn takeover_holds_no_job_for_agent_of_earlier_step() {
    let next = model::Step {
        after: vec![0],
        ..step(1)
    };
    let mut cell = cell_with_jobs(&[]);
    cell.accept(7, job(1, vec![step(1), next]));
    cell.plan_and_start();
    let first = cell.agent_of(first_task(7)).expect("the task runs");
    cell.workers[&first].report.draining = Some(ms(60_000));
    cell.end_run(first_task(7), model::RunEnd::Done);
    cell.plan_and_start();
    cell.store_changes();
    for _ in 0..2 {
        cell.advance(ms(500));
        cell.report_all();
        cell.plan_and_start();
    }
    let second = cell.agent_of(task(7, 1, 0)).expect("the next task runs");
    assert_ne!(first, second);
    let mut cell = cell.take_over(2, &[&first]);
    recover(&mut cell);
    assert_eq!(cell.scheduler.recovery_state().jobs, 0);
}
