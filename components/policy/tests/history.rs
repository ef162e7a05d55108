//! Tests of the history controller.

use std::time::{Duration, Instant};

use board::Board;
use model::{Request, Shape};
use policy::history::{HistoryController, MAX_ESTIMATES, Run, RunEnd, corrected_run_time};

const MINUTE: Duration = Duration::from_mins(1);

fn run(account: &str, declared: Option<Duration>, actual: Duration, end: RunEnd) -> Run {
    let shape = Shape {
        tasks: 2,
        accelerators: 4,
        ..Shape::default()
    };
    Run {
        account: account.into(),
        service: "prism".into(),
        shape,
        declared,
        actual,
        end,
    }
}

fn corrected(board: &Board, declared: Option<Duration>) -> Duration {
    let request = Request {
        id: 1,
        account: "faro".into(),
        service: "prism".into(),
        shape: None,
        idempotent: true,
        stoppable: true,
        timeout: MINUTE,
        declared_run_time: declared,
    };
    corrected_run_time(&board.history.load(), &request)
}

/// Guards against backfill that trusts declared run times that were always four times too short.
#[test]
fn corrected_run_time_learns_from_runs() {
    let (board, mut controller) = (Board::default(), HistoryController::default());
    assert_eq!(corrected(&board, Some(MINUTE)), MINUTE);
    assert_eq!(corrected(&board, None), 60 * MINUTE);
    let runs: Vec<_> = (1..=20)
        .map(|n| run("faro", Some(n * MINUTE), 4 * n * MINUTE, RunEnd::Answered))
        .collect();
    controller.observe_runs(&board, &runs, Instant::now());
    let near = |a: Duration, b: Duration| a.abs_diff(b) < Duration::from_millis(1);
    assert!(near(corrected(&board, Some(5 * MINUTE)), 20 * MINUTE));
    let p90 = 76 * MINUTE;
    assert_eq!(corrected(&board, None), p90);
    assert_eq!(
        corrected(&board, Some(Duration::MAX)),
        p90,
        "limited by the history"
    );
    assert_eq!(corrected(&board, Some(Duration::ZERO)), 8 * MINUTE);
    let estimate = &board.history.load().estimates[0];
    assert!(near(estimate.mean, 42 * MINUTE) && estimate.runs == 20);
}

/// Guards against estimates shortened by runs that failed early or were stopped.
#[test]
fn observe_runs_ignores_partial_runs() {
    let (board, mut controller) = (Board::default(), HistoryController::default());
    let whole = || run("faro", None, 10 * MINUTE, RunEnd::Answered);
    let mut runs: Vec<_> = (0..8).map(|_| whole()).collect();
    runs.extend((0..8).map(|_| run("faro", None, MINUTE, RunEnd::Failed)));
    runs.extend((0..8).map(|_| run("faro", None, MINUTE, RunEnd::Stopped)));
    controller.observe_runs(&board, &runs, Instant::now());
    assert_eq!(corrected(&board, None), 10 * MINUTE);
    let stopped_late = run("faro", None, 90 * MINUTE, RunEnd::Stopped);
    controller.observe_runs(&board, &[stopped_late], Instant::now());
    assert_eq!(
        corrected(&board, None),
        90 * MINUTE,
        "a stopped run is a lower bound"
    );
}

/// Guards against attained service that never decays, so that last week's use still counts against an account.
#[test]
fn observe_runs_decays_attained_service() {
    let (board, mut controller) = (Board::default(), HistoryController::default());
    let now = Instant::now();
    let runs = [
        run("faro", None, MINUTE, RunEnd::Failed),
        run("prisma", None, MINUTE, RunEnd::Stopped),
    ];
    controller.observe_runs(&board, &runs, now);
    assert!((board.history.load().attained_service["faro"] - 480.0).abs() < 1e-6);
    controller.observe_runs(&board, &runs[1..], now + Duration::from_hours(24));
    assert!((board.history.load().attained_service["faro"] - 240.0).abs() < 1e-6);
    assert!((board.history.load().attained_service["prisma"] - 720.0).abs() < 1e-6);
}

/// Guards against memory that grows with every account name ever seen.
#[test]
fn observe_runs_keeps_recent_accounts() {
    let (board, mut controller) = (Board::default(), HistoryController::default());
    let runs: Vec<_> = (0..MAX_ESTIMATES + 10)
        .map(|n| run(&format!("account-{n}"), None, MINUTE, RunEnd::Answered))
        .collect();
    controller.observe_runs(&board, &runs, Instant::now());
    let history = board.history.load();
    assert_eq!(history.estimates.len(), MAX_ESTIMATES);
    assert!(history.attained_service.len() <= MAX_ESTIMATES);
    let has = |name: &str| {
        history
            .estimates
            .contains_key(&(name.into(), "prism".into()))
    };
    assert!(has("account-1033") && !has("account-9"));
}
