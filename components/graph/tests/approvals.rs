//! Queues whose steps an advisor has to approve.

mod common;

use common::{Cell, job, ms, side, step, task};
use graph::StepId;

const STEP: StepId = StepId {
    job: 7,
    occurrence: 0,
    step: 0,
};

fn cell() -> Cell {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    let mut guarded = job(1, vec![step(2)]);
    guarded.policy.needs_approval = true;
    cell.accept(7, guarded);
    cell
}

/// Guards against a start on a worker that was not approved, or without its ticket.
#[test]
fn plan_starts_on_approved_worker_only() {
    let mut cell = cell();
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    let questions = cell.scheduler.take_approval_requests(cell.now);
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 2);
    let tickets = [("worker-w2".into(), "ticket".into())];
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(3_000));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert!(cell.instructions("w1").starts.is_empty());
    let starts = cell.instructions("w2").starts;
    assert_eq!(starts.len(), 2);
    assert!(
        starts
            .iter()
            .all(|start| start.approval.as_deref() == Some("ticket"))
    );
}

/// Guards against asking again while an answer is awaited.
#[test]
fn take_questions_asks_once() {
    let mut cell = cell();
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
    assert!(cell.scheduler.take_approval_requests(cell.now).is_empty());
    cell.pass(ms(2_500));
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
}

/// Guards against using a ticket after its time, or in another life of the worker.
#[test]
fn plan_refuses_expired_approval() {
    let mut cell = cell();
    let tickets = [("worker-w2".into(), "ticket".into())];
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(3_000));
    cell.pass(ms(2_800));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(3_000));
    cell.sides["w2"].report.incarnation = Some(2);
    cell.report("w2");
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
}
