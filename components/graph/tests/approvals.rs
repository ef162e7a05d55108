//! Placement of jobs whose queue requires approval by the external advisor.

mod common;

use common::{TestCell, job, ms, step, task, worker};
use graph::StepId;

const STEP: StepId = StepId {
    job: 7,
    occurrence: 0,
    step: 0,
};

fn cell() -> TestCell {
    let mut cell = TestCell::new(1, vec![worker("w1", "r1"), worker("w2", "r2")]);
    let mut restricted = job(1, vec![step(2)]);
    restricted.policy.needs_approval = true;
    cell.accept(7, restricted);
    cell
}

/// Guards against starting a task on a worker without an approval, or without its ticket.
#[test]
fn plan_starts_on_approved_worker_only() {
    let mut cell = cell();
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    let requests = cell.scheduler.take_approval_requests(cell.now);
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].workers.len(), 2);
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

/// Guards against repeating a request while its response is pending, and against never repeating it.
#[test]
fn take_approval_requests_waits_for_response() {
    let mut cell = cell();
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
    assert!(cell.scheduler.take_approval_requests(cell.now).is_empty());
    cell.advance(ms(2_500));
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
}

/// Guards against using a ticket after its expiry, or for another incarnation of the worker.
#[test]
fn plan_refuses_expired_approval() {
    let mut cell = cell();
    let tickets = [("worker-w2".into(), "ticket".into())];
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(3_000));
    // The ticket is valid for another 200 ms, less than a start order may take to reach the worker.
    cell.advance(ms(2_800));
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(3_000));
    cell.workers["w2"].report.incarnation = Some(2);
    cell.report("w2");
    cell.plan_and_start();
    assert_eq!(cell.run_number(task(7, 0, 0)), None);
}
