//! Where tasks run, and what has to make room.

mod common;

use std::time::Duration;

use common::{Cell, TASK_ROOM, WORKER_ROOM, gang, job, ms, refused, running, side, step, task};
use indexmap::IndexMap;
use model::{JobId, Refusal, Room, RunEnd, Step, TaskRun};

/// Guards against a step that starts before the steps that it needs.
#[test]
fn plan_keeps_dependencies() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let mut second = step(1);
    second.after = vec![0];
    cell.accept(7, job(1, vec![step(2), second]));
    cell.run();
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.run();
    assert_eq!(cell.run_of(task(7, 1, 0)), None);
    cell.end(task(7, 0, 1), RunEnd::Done);
    cell.run();
    assert!(cell.run_of(task(7, 1, 0)).is_some());
}

/// Guards against more tasks on a worker than it holds.
#[test]
fn plan_fills_no_worker_over_its_room() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(20)]));
    cell.run();
    for side in cell.sides.values() {
        assert_eq!(side.report.runs.len(), 4);
    }
}

/// Guards against using the room of a run that is not adopted before it has ended.
#[test]
fn plan_counts_strays() {
    let mut occupied = side("w1", "r1");
    let unknown = TaskRun::new(task(99, 0, 0), 1 << 20);
    occupied.report.runs.push(running(unknown, 10));
    let mut cell = Cell::silent(2, vec![occupied], &[]);
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    cell.sides["w1"].report.runs.clear();
    cell.report("w1");
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Guards against a gang that starts with only a part of its tasks.
#[test]
fn plan_starts_gang_whole() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![gang(5)]));
    cell.run();
    assert!(cell.sides["w1"].report.runs.is_empty());
}

/// Guards against spreading a gang over racks when one rack has room.
#[test]
fn plan_keeps_sensitive_gang_on_one_rack() {
    let sides = vec![side("w1", "r1"), side("w2", "r2"), side("w3", "r2")];
    let mut cell = Cell::with(1, sides);
    let mut wide = gang(8);
    wide.rack_sensitive = true;
    cell.accept(7, job(1, vec![wide]));
    cell.run();
    assert!(cell.sides["w1"].report.runs.is_empty());
    assert_eq!(cell.sides["w2"].report.runs.len(), 4);
}

/// Guards against a sensitive gang that waits forever because no rack can hold it.
#[test]
fn plan_spreads_gang_that_no_rack_holds() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    let mut wide = gang(8);
    wide.rack_sensitive = true;
    cell.accept(7, job(1, vec![wide]));
    cell.run();
    assert_eq!(cell.sides["w1"].report.runs.len(), 4);
    assert_eq!(cell.sides["w2"].report.runs.len(), 4);
}

/// Guards against running a task far from its data while the rack with the data has room.
#[test]
fn plan_prefers_data_rack() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    let mut near = step(1);
    near.data_rack = Some("r2".into());
    cell.accept(7, job(1, vec![near]));
    cell.run();
    assert_eq!(cell.place_of(task(7, 0, 0)).as_deref(), Some("w2"));
}

/// Guards against a start on a worker without the required label, or of another service.
#[test]
fn plan_keeps_label_and_service() {
    let mut other = side("w2", "r1");
    other.report.service = "other".into();
    other.report.labels.push("special".into());
    let mut cell = Cell::with(1, vec![side("w1", "r1"), other]);
    let mut special = step(1);
    special.required_label = Some("special".into());
    cell.accept(7, job(1, vec![special]));
    cell.accept(8, job(1, vec![step(5)]));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    assert!(cell.sides["w2"].report.runs.is_empty());
}

/// Guards against more tasks of a step on one worker than its spread limit.
#[test]
fn plan_keeps_spread_limit() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    let mut apart = step(6);
    apart.spread_limit = Some(2);
    cell.accept(7, job(1, vec![apart]));
    cell.run();
    cell.run();
    for side in cell.sides.values() {
        assert_eq!(side.report.runs.len(), 2);
    }
}

/// Guards against a guaranteed job that waits for work of lower ranks.
#[test]
fn plan_preempts_for_guarantee() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let guarantees = IndexMap::from([("faro".into(), 2)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    cell.accept(7, job(2, vec![step(4)]));
    cell.run();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    assert_eq!(stops.len(), 2);
    for stop in &stops {
        cell.end(stop.task, RunEnd::Stopped);
    }
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
}

/// Guards against freed room that goes to another job than the one it was freed for.
#[test]
fn plan_keeps_freed_room_for_claim() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(2, vec![step(4)]));
    cell.run();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    cell.end(stops[0].task, RunEnd::Stopped);
    cell.accept(9, job(1, vec![step(1)]));
    cell.run();
    assert_eq!(cell.run_of(task(9, 0, 0)), None);
    cell.end(stops[1].task, RunEnd::Stopped);
    cell.run();
    assert!(cell.run_of(task(8, 0, 1)).is_some());
}

/// Guards against two jobs that count on the same stopping run: the first one has to stop more work once the second one has
/// taken its room.
#[test]
fn plan_stops_work_of_its_own_for_each_claim() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.accept(8, job(2, vec![gang(4)]));
    cell.run();
    let accept_first = |cell: &mut Cell, id| {
        let mut urgent = job(0, vec![gang(4)]);
        urgent.graph.steps[0].expected = ms(60_000);
        cell.accept(id, urgent);
        cell.scheduler.plan(cell.now, ms(1_000));
    };
    accept_first(&mut cell, 9);
    accept_first(&mut cell, 10);
    let stops = |cell: &mut Cell, name| cell.instructions(name).stops.len();
    assert_eq!((stops(&mut cell, "w1"), stops(&mut cell, "w2")), (4, 4));
}

/// Guards against a unit with an earlier deadline that takes the room that was freed for another one.
#[test]
fn plan_leaves_freed_room_to_its_claim() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.run();
    let mut urgent = job(0, vec![gang(4)]);
    urgent.graph.steps[0].expected = ms(60_000);
    cell.accept(8, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops = cell.instructions("w1").stops;
    assert_eq!(stops.len(), 4);
    cell.accept(9, job(0, vec![step(1)]));
    for stop in &stops {
        cell.end(stop.task, RunEnd::Stopped);
    }
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
    assert_eq!(cell.run_of(task(9, 0, 0)), None);
}

/// Guards against stopping an urgent run that has just begun, only because it has no work to lose yet.
#[test]
fn plan_preempts_lower_priority_before_urgent() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.run();
    cell.pass(ms(1_500));
    cell.report("w1");
    cell.report("w2");
    cell.accept(8, job(0, vec![gang(4)]));
    cell.run();
    let guarantees = IndexMap::from([("puerto".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    let mut urgent = job(0, vec![gang(4)]);
    urgent.account = "puerto".into();
    cell.accept(9, urgent);
    cell.scheduler.plan(cell.now, ms(1_000));
    let stops: Vec<JobId> = ["w1", "w2"]
        .into_iter()
        .flat_map(|name| cell.instructions(name).stops)
        .map(|stop| stop.task.job)
        .collect();
    assert_eq!(stops, vec![7; 4]);
}

/// Fills one worker of two while urgent jobs keep arriving, and lets the urgent ones end.
fn busy_cell_with_demand() -> Cell {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.run();
    for id in 20..26 {
        cell.accept(id, job(0, vec![gang(4)]));
        cell.run();
        cell.end(task(id, 0, 0), RunEnd::Done);
        for index in 1..4 {
            cell.end(task(id, 0, index), RunEnd::Broken);
        }
    }
    cell
}

/// Guards against urgent jobs that wait for stops because lower priorities took the last room.
#[test]
fn plan_leaves_reserve_to_urgent_jobs() {
    let mut cell = busy_cell_with_demand();
    cell.accept(8, job(2, vec![step(4)]));
    cell.run();
    assert_eq!(cell.run_of(task(8, 0, 0)), None);
    cell.accept(9, job(0, vec![gang(4)]));
    cell.run();
    assert!(cell.run_of(task(9, 0, 0)).is_some());
}

/// Guards against a reserve that keeps waiting work from free workers for good.
#[test]
fn plan_gives_reserve_to_work_that_waited() {
    let mut cell = busy_cell_with_demand();
    cell.accept(8, job(2, vec![step(4)]));
    cell.run();
    cell.pass(ms(3_000));
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
}

/// Guards against a lasting task that is down while the room for it is kept for others.
#[test]
fn plan_gives_reserve_to_lasting_task() {
    let mut cell = busy_cell_with_demand();
    let lasting = Step {
        lasting: true,
        ..step(1)
    };
    cell.accept(8, job(2, vec![lasting]));
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
}

/// Guards against a reserve where less than half of the room is taken.
#[test]
fn plan_keeps_no_reserve_while_half_is_free() {
    let mut cell = busy_cell_with_demand();
    cell.end(task(7, 0, 0), RunEnd::Done);
    cell.accept(8, job(2, vec![step(8)]));
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
}

/// Guards against room that stays kept for a job that was cancelled.
#[test]
fn plan_drops_claim_of_cancelled_job() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(2, vec![gang(4)]));
    cell.run();
    cell.accept(8, job(0, vec![gang(4)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    for stop in cell.instructions("w1").stops {
        cell.end(stop.task, RunEnd::Stopped);
    }
    cell.scheduler.cancel(8);
    cell.accept(9, job(1, vec![step(1)]));
    cell.run();
    assert!(cell.run_of(task(9, 0, 0)).is_some());
}

/// Guards against starting tasks on a worker that drains.
#[test]
fn plan_leaves_draining_worker() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.sides["w1"].report.draining = Some(ms(2_500));
    cell.report("w1");
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
}

/// Guards against work on a leaving worker that is lost because it is not stopped in time for a checkpoint.
#[test]
fn plan_stops_tasks_before_worker_leaves() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    let place = cell.place_of(task(7, 0, 0)).expect("the task runs");
    cell.sides[&place].report.draining = Some(ms(1_000));
    cell.report(&place);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions(&place).stops.len(), 1);
}

/// Guards against a run that stands still and holds its room until the end of the day.
#[test]
fn plan_stops_hanging_run() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    let place = cell.place_of(task(7, 0, 0)).expect("the task runs");
    cell.pass(ms(4_500));
    cell.report(&place);
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions(&place).stops.len(), 1);
}

/// Guards against a worker that is given up for half a minute because several of its runs stood still at the same time.
#[test]
fn plan_quarantines_once_for_runs_that_hang_together() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(4)]));
    cell.run();
    cell.pass(ms(4_500));
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops.len(), 4);
    for index in 0..4 {
        cell.end(task(7, 0, index), RunEnd::Stopped);
    }
    cell.run();
    assert_eq!(cell.run_of(task(7, 0, 0)), None);
    cell.pass(ms(4_500));
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Returns whether the only run of a job was told to stop.
fn is_stopped(cell: &mut Cell) -> bool {
    cell.report("w1");
    cell.scheduler.plan(cell.now, ms(1_000));
    !cell.instructions("w1").stops.is_empty()
}

/// Guards against a long run that is taken for a hanging one between two percent of its progress.
#[test]
fn plan_keeps_long_run_between_percents() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let mut long = step(1);
    long.expected = Duration::from_hours(1);
    cell.accept(7, job(1, vec![long]));
    cell.run();
    cell.pass(ms(60_000));
    assert!(!is_stopped(&mut cell));
    cell.pass(Duration::from_mins(10));
    assert!(is_stopped(&mut cell));
}

/// Guards against a run that is taken for a hanging one because its client expected it to be much shorter.
#[test]
fn plan_judges_run_by_its_own_pace() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    for percent in [1, 2] {
        cell.pass(ms(3_500));
        let run = cell.sides["w1"].report.runs[0].run;
        cell.sides["w1"].report.runs = vec![running(run, percent)];
        assert!(!is_stopped(&mut cell), "{percent}");
    }
    cell.pass(ms(7_000));
    assert!(!is_stopped(&mut cell));
    cell.pass(ms(14_000));
    assert!(is_stopped(&mut cell));
}

/// Guards against a job that never ends because each run of a task with a wrong estimate is stopped for standing still.
#[test]
fn plan_waits_longer_after_each_hang() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    cell.run();
    cell.pass(ms(4_500));
    assert!(is_stopped(&mut cell));
    cell.end(task(7, 0, 0), RunEnd::Stopped);
    cell.pass(ms(10_000));
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
    cell.pass(ms(7_500));
    assert!(!is_stopped(&mut cell));
    cell.pass(ms(1_000));
    assert!(is_stopped(&mut cell));
}

/// Guards against a job that never starts again after a worker refused it.
#[test]
fn report_refused_run_starts_elsewhere() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r1")]);
    cell.accept(7, job(1, vec![step(1)]));
    let (agent, run) = cell.first_start();
    cell.sides[&agent]
        .report
        .runs
        .push(refused(run, Refusal::Unhealthy));
    cell.report(&agent);
    cell.sides[&agent].report.runs.clear();
    cell.pass(ms(500));
    cell.run();
    let place = cell.place_of(task(7, 0, 0)).expect("the task runs");
    assert_ne!(place, agent);
}

/// Guards against processor time of filling tasks that is counted against the worker.
#[test]
fn plan_ignores_cores_of_filling_tasks() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let mut filling = step(1);
    filling.filling = true;
    filling.room = Room {
        millicores: WORKER_ROOM.millicores * 2,
        ..TASK_ROOM
    };
    cell.accept(7, job(1, vec![filling]));
    cell.run();
    assert!(cell.run_of(task(7, 0, 0)).is_some());
}

/// Guards against a guaranteed job that waits for jobs of its own priority that are outside of guarantees.
#[test]
fn plan_preempts_borrowers_of_same_priority() {
    let mut cell = Cell::with(1, vec![side("w1", "r1")]);
    let guarantees = IndexMap::from([("faro".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    let mut borrowed = job(0, vec![step(4)]);
    borrowed.account = "other".into();
    cell.accept(7, borrowed);
    cell.run();
    cell.accept(8, job(0, vec![gang(2)]));
    cell.scheduler.plan(cell.now, ms(1_000));
    assert_eq!(cell.instructions("w1").stops.len(), 2);
}

/// Guards against a guaranteed gang that waits for one rack although only several racks can make room.
#[test]
fn plan_places_guaranteed_gang_over_racks() {
    let mut cell = Cell::with(1, vec![side("w1", "r1"), side("w2", "r2")]);
    let guarantees = IndexMap::from([("faro".into(), 3), ("kept".into(), 4)]);
    cell.scheduler.configure(IndexMap::new(), guarantees);
    for (id, rack) in [(5, "r1"), (6, "r2")] {
        let mut kept = step(2);
        kept.data_rack = Some(rack.into());
        let mut kept = job(0, vec![kept]);
        kept.account = "kept".into();
        cell.accept(id, kept);
    }
    cell.run();
    let mut wide = gang(3);
    wide.rack_sensitive = true;
    cell.accept(8, job(0, vec![wide]));
    cell.run();
    cell.run();
    assert!(cell.run_of(task(8, 0, 0)).is_some());
}
