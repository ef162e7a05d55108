//! Tests of `HttpWorkers` against the platform stand-in over loopback.

use std::time::Duration;

use errors::{ErrorKind, Verdict};
use model::Resources;
use standin::{
    FailMode, Server, TaskRecord, UnreachableMode, WorkerFaults, WorkersSettings, start_workers,
};
use timer::Timer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use workers::{HttpWorkers, HttpWorkersSettings, StartTask, TaskEnd, WorkerPlatform};

const LEASE: Duration = Duration::from_millis(300);

async fn start() -> (Server, HttpWorkers) {
    let settings = WorkersSettings {
        usage_lag_ms: 50,
        ..WorkersSettings::default()
    };
    let server = start_workers(&settings, &Timer::start()).await.unwrap();
    let mut settings = HttpWorkersSettings::new(server.base_url());
    settings.call_timeout = Duration::from_millis(300);
    let workers = HttpWorkers::new(&settings).unwrap();
    (server, workers)
}

fn task(id: &str) -> StartTask {
    StartTask {
        task: id.into(),
        gang: u128::MAX - 1,
        account: "faro".into(),
        service: "guild".into(),
        resources: Resources {
            accelerators: 2,
            cores: 8,
            memory_mb: 1024,
        },
        lease: LEASE,
    }
}

async fn set_faults(server: &Server, worker: &str, faults: &WorkerFaults) {
    let url = format!("{}/control/workers/{worker}", server.base_url());
    let sent = reqwest::Client::new().post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

async fn records(server: &Server) -> Vec<TaskRecord> {
    let url = format!("{}/control/tasks", server.base_url());
    let answer = reqwest::get(url).await.unwrap();
    answer.json().await.unwrap()
}

/// Guards against tasks that continue to run after their lease has expired, and against renewals that do not report
/// their end.
#[tokio::test]
async fn renew_tasks_reports_expired_lease() {
    let (server, workers) = start().await;
    workers.start_task("w1", &task("a/0")).await.unwrap();
    workers.start_task("w1", &task("b")).await.unwrap();
    for _ in 0..4 {
        tokio::time::sleep(LEASE / 2).await;
        let renewed = workers.renew_tasks("w1", &["b".into()], LEASE).await;
        assert_eq!(renewed.unwrap().renewed, ["b".into()]);
    }
    let both = ["a/0".into(), "b".into()];
    let renewed = workers.renew_tasks("w1", &both, LEASE).await.unwrap();
    assert_eq!(renewed.renewed, ["b".into()]);
    assert_eq!(renewed.ended[0].end, Some(TaskEnd::LeaseLapsed));
    let log = records(&server).await;
    assert_eq!(log[0].gang_id(), Some(u128::MAX - 1));
    let ran = log[0].end_us.unwrap() - log[0].start_us;
    assert!((300_000..500_000).contains(&ran), "ran for {ran} us");
    assert_eq!(log[1].end, None);
}

/// Guards against a repeated start that runs a task again, while it runs or after it has ended.
#[tokio::test]
async fn start_task_is_idempotent() {
    let (server, workers) = start().await;
    workers.start_task("w1", &task("a")).await.unwrap();
    workers.start_task("w1", &task("a")).await.unwrap();
    workers.stop_task("w1", "a").await.unwrap();
    workers.stop_task("w1", "a").await.unwrap();
    let repeated = workers.start_task("w1", &task("a")).await.unwrap_err();
    assert_eq!(repeated.current_context().verdict, Verdict::Ran);
    let log = records(&server).await;
    assert_eq!(log.len(), 1);
    assert_eq!(log[0].end, Some(TaskEnd::Stopped));
}

/// Guards against incorrect encoding of ids with reserved characters in paths, which would address another task or
/// worker.
#[tokio::test]
async fn stop_task_finds_id_with_reserved_characters() {
    let (server, workers) = start().await;
    let (worker, id) = ("rack 1/w%2F1?", "a/0 %41#é");
    workers.start_task(worker, &task(id)).await.unwrap();
    workers.stop_task(worker, id).await.unwrap();
    let log = records(&server).await;
    assert_eq!((&*log[0].worker, &*log[0].task), (worker, id));
    assert_eq!(log[0].end, Some(TaskEnd::Stopped));
}

/// Guards against a worker that accepts tasks beyond its capacity.
#[tokio::test]
async fn start_task_rejects_task_beyond_capacity() {
    let (server, workers) = start().await;
    let faults = WorkerFaults {
        capacity: Some(task("a").resources),
        ..WorkerFaults::default()
    };
    set_faults(&server, "w1", &faults).await;
    workers.start_task("w1", &task("a")).await.unwrap();
    let refused = workers.start_task("w1", &task("b")).await.unwrap_err();
    assert_eq!(refused.current_context().kind, ErrorKind::Overloaded);
    assert_eq!(refused.current_context().verdict, Verdict::NotRun);
}

/// Guards against usage reports that are not updated or do not contain the throttle.
#[tokio::test]
async fn usage_is_updated_after_lag() {
    let (_server, workers) = start().await;
    workers.start_task("w1", &task("a")).await.unwrap();
    workers.throttle_task("w1", "a", 25).await.unwrap();
    workers.checkpoint_task("w1", "a").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let usage = workers.usage("w1").await.unwrap();
    assert_eq!(usage.used, task("a").resources);
    assert_eq!(usage.tasks[0].throttle_percent, 25);
    let unknown = workers.checkpoint_task("w1", "b").await.unwrap_err();
    assert_eq!(unknown.current_context().kind, ErrorKind::NotFound);
}

/// Guards against failures of a worker that are not reported to its agent.
#[tokio::test]
async fn start_task_reports_failing_worker() {
    let (server, workers) = start().await;
    let fail = |mode| WorkerFaults {
        fail: Some(mode),
        ..WorkerFaults::default()
    };
    set_faults(&server, "w1", &fail(FailMode::Start)).await;
    let failed = workers.start_task("w1", &task("a")).await.unwrap_err();
    assert_eq!(failed.current_context().kind, ErrorKind::Failed);
    set_faults(&server, "w2", &fail(FailMode::Run)).await;
    workers.start_task("w2", &task("a")).await.unwrap();
    let renewed = workers.renew_tasks("w2", &["a".into()], LEASE).await;
    assert_eq!(renewed.unwrap().ended[0].end, Some(TaskEnd::Failed));
}

/// Guards against a start on a lost worker that is reported as "not run", and against tasks that outlive their worker.
#[tokio::test]
async fn start_task_may_have_run_on_vanished_worker() {
    let (server, workers) = start().await;
    workers.start_task("w1", &task("a")).await.unwrap();
    let faults = WorkerFaults {
        vanish: Some(UnreachableMode::Lost),
        ..WorkerFaults::default()
    };
    set_faults(&server, "w1", &faults).await;
    let failed = workers.start_task("w1", &task("b")).await.unwrap_err();
    assert_eq!(failed.current_context().verdict, Verdict::MayHaveRun);
    assert_eq!(records(&server).await[0].end, Some(TaskEnd::Lost));
}

/// Answers every request on a loopback listener with the given head and an empty body, and returns its base URL.
async fn start_responder(head: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let response =
                format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    url
}

/// Guards against a stop that counts as confirmed because another server, to which the worker redirects, answers.
#[tokio::test]
async fn stop_task_rejects_redirect() {
    let other = start_responder("200 OK".into()).await;
    let redirecting = start_responder(format!("303 See Other\r\nlocation: {other}/")).await;
    let workers = HttpWorkers::new(&HttpWorkersSettings::new(redirecting)).unwrap();
    let report = workers.stop_task("w1", "a").await.unwrap_err();
    assert_eq!(report.current_context().verdict, Verdict::MayHaveRun);
}

/// Guards against the verdict `not_run` for a start that the worker received and redirected to an unreachable address.
#[tokio::test]
async fn start_task_may_have_run_after_redirect() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = closed.local_addr().unwrap();
    drop(closed);
    let redirecting = start_responder(format!("303 See Other\r\nlocation: http://{addr}/")).await;
    let workers = HttpWorkers::new(&HttpWorkersSettings::new(redirecting)).unwrap();
    let report = workers.start_task("w1", &task("a")).await.unwrap_err();
    assert_eq!(report.current_context().verdict, Verdict::MayHaveRun);
}
