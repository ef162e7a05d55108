//! Placement of jobs whose queue requires approval by the external advisor.

mod common;

use common::{TestCell, job, ms, step, task, worker};
use graph::StepId;
use indexmap::IndexSet;

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

/// Guards against a task that stands until its approval expires because the approved worker is full, while another worker,
/// about which the advisor was not asked again, has room.
#[test]
fn take_approval_requests_asks_again_if_approved_worker_is_full() {
    let mut cell = cell();
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
    let tickets = [("worker-w1".into(), "ticket".into())];
    let now = cell.now;
    cell.scheduler
        .record_approvals(STEP, &tickets, now, ms(600_000));
    let mut lasting = step(4);
    lasting.long_running = true;
    cell.workers["w1"].report.labels.push("w1".into());
    cell.report("w1");
    lasting.required_label = Some("w1".into());
    cell.accept(8, job(0, vec![lasting]));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(7, 0, 0)), None);
    cell.advance(ms(2_500));
    assert_eq!(cell.scheduler.take_approval_requests(cell.now).len(), 1);
    let tickets = [("worker-w2".into(), "ticket".into())];
    cell.scheduler
        .record_approvals(STEP, &tickets, cell.now, ms(600_000));
    cell.plan_and_start();
    assert_eq!(cell.agent_of(task(7, 0, 0)).as_deref(), Some("w2"));
}

/// Guards against asking about the same part of a large fleet for good although the advisor approves none of it.
#[test]
fn take_approval_requests_reaches_all_workers() {
    let names: Vec<String> = (0..70).map(|index| format!("w{index}")).collect();
    let mut cell = TestCell::new(1, names.iter().map(|name| worker(name, "r1")).collect());
    let mut restricted = job(1, vec![step(1)]);
    restricted.policy.needs_approval = true;
    cell.accept(7, restricted);
    let mut asked = IndexSet::new();
    for _ in 0..3 {
        cell.scheduler.plan(cell.now, ms(1_000));
        let requests = cell.scheduler.take_approval_requests(cell.now);
        for request in requests {
            asked.extend(request.workers);
            let now = cell.now;
            cell.scheduler
                .record_approvals(request.step, &[], now, ms(3_000));
        }
        cell.advance(ms(2_100));
    }
    assert_eq!(asked.len(), 70);
}
