//! Request handling of the workers: faults, control paths, lease expiry and usage reports.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use errors::Result;
use indexmap::IndexMap;
use model::WorkerId;
use salvo::http::{Method, StatusCode};
use salvo::{Request, Response, handler};
use timer::{Timer, now};
use tokio::sync::mpsc;
use workers::{RenewRequest, StartRequest, ThrottleRequest, UsageAnswer};

use crate::faults::FaultState;
use crate::fleet::faults::{FailMode, UnreachableMode, WorkerFaults};
use crate::fleet::tasks::{StartError, TaskTable};
use crate::http::{delay, percent_decode, read_json, send_error, send_json};
use crate::server::{Server, serve};
use crate::settings::WorkersSettings;

/// Interval between sweeps for expired task leases; bounds how late an expiry takes effect.
const LEASE_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// The usage of all workers as of the last report.
struct UsageSnapshot {
    at: Instant,
    usage: IndexMap<WorkerId, UsageAnswer>,
}

struct Fleet {
    tasks: Mutex<TaskTable>,
    usage_snapshot: ArcSwap<UsageSnapshot>,
    faults: FaultState<IndexMap<WorkerId, WorkerFaults>>,
    timer: Timer,
    checkpoint_duration: Duration,
    origin: Instant,
}

impl Fleet {
    fn tasks(&self) -> MutexGuard<'_, TaskTable> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults_of(&self, worker: &str) -> WorkerFaults {
        self.faults.load().get(worker).cloned().unwrap_or_default()
    }
}

/// Starts a worker service without tasks; a worker exists as soon as a request names it.
pub async fn start_workers(settings: &WorkersSettings, timer: &Timer) -> Result<Server> {
    let origin = now();
    let fleet = Arc::new(Fleet {
        tasks: Mutex::default(),
        usage_snapshot: ArcSwap::from_pointee(UsageSnapshot {
            at: origin,
            usage: IndexMap::new(),
        }),
        faults: FaultState::new(IndexMap::new()),
        timer: timer.clone(),
        checkpoint_duration: Duration::from_millis(settings.checkpoint_ms),
        origin,
    });
    let sweep = timer.subscribe_every(LEASE_SWEEP_INTERVAL);
    tokio::spawn(sweep_expired_tasks(Arc::downgrade(&fleet), sweep));
    let interval = Duration::from_millis(settings.usage_lag_ms.max(1));
    let reports = timer.subscribe_every(interval);
    tokio::spawn(report_usage(Arc::downgrade(&fleet), reports));
    serve(settings.listen, None, FleetHandler(fleet)).await
}

async fn sweep_expired_tasks(fleet: Weak<Fleet>, mut ticks: mpsc::Receiver<Instant>) {
    while let Some(now) = ticks.recv().await {
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        fleet.tasks().end_due(now);
    }
}

async fn report_usage(fleet: Weak<Fleet>, mut ticks: mpsc::Receiver<Instant>) {
    while let Some(at) = ticks.recv().await {
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        let usage = fleet.tasks().usage();
        fleet
            .usage_snapshot
            .store(Arc::new(UsageSnapshot { at, usage }));
    }
}

struct FleetHandler(Arc<Fleet>);

#[handler]
impl FleetHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let segments = req.uri().path().split('/').skip(1);
        let Some(segments) = segments.map(percent_decode).collect::<Option<Vec<_>>>() else {
            return send_error(res, StatusCode::BAD_REQUEST, "the path is malformed");
        };
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        match segments.as_slice() {
            ["control", rest @ ..] => control(&self.0, rest, req, res).await,
            ["v1", "workers", worker, rest @ ..] => {
                let faults = self.0.faults_of(worker);
                if faults.vanish.is_some() {
                    // The client gets no response until the worker is reachable again.
                    self.0.wait_until_reachable(worker).await;
                }
                delay(&self.0.timer, Duration::from_millis(faults.slow_ms)).await;
                self.0.handle_call(worker, rest, req, res).await;
            }
            _ => send_error(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

async fn control(fleet: &Fleet, rest: &[&str], req: &mut Request, res: &mut Response) {
    match (req.method(), rest) {
        (&Method::GET, ["tasks"]) => {
            let records = fleet.tasks().records(fleet.origin);
            send_json(res, StatusCode::OK, &records);
        }
        (&Method::POST, ["workers", worker]) => match read_json::<WorkerFaults>(req).await {
            Ok(faults) => {
                fleet.set_faults(worker, faults.clone());
                send_json(res, StatusCode::OK, &faults);
            }
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        },
        _ => send_error(res, StatusCode::NOT_FOUND, "no such control path"),
    }
}

impl Fleet {
    fn set_faults(&self, worker: &str, faults: WorkerFaults) {
        let is_lost = faults.vanish == Some(UnreachableMode::Lost);
        let mut all = IndexMap::clone(&self.faults.load());
        all.insert(worker.into(), faults);
        self.faults.set(all);
        if is_lost {
            self.tasks().end_lost(worker, now());
        }
    }

    async fn wait_until_reachable(&self, worker: &str) {
        self.faults
            .wait_until(|all| all.get(worker).is_none_or(|faults| faults.vanish.is_none()))
            .await;
    }

    async fn handle_call(
        &self,
        worker: &str,
        rest: &[&str],
        req: &mut Request,
        res: &mut Response,
    ) {
        match (req.method().as_str(), rest) {
            ("POST", ["tasks"]) => self.start(worker, req, res).await,
            ("POST", ["renew"]) => self.renew(worker, req, res).await,
            ("DELETE", ["tasks", task]) => {
                self.tasks().stop(worker, task, now());
                send_json(res, StatusCode::OK, &());
            }
            ("POST", ["tasks", task, "throttle"]) => self.throttle(worker, task, req, res).await,
            ("POST", ["tasks", task, "checkpoint"]) => self.checkpoint(worker, task, res).await,
            ("GET", ["usage"]) => self.usage(worker, res),
            _ => send_error(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn start(&self, worker: &str, req: &mut Request, res: &mut Response) {
        let task = match read_json::<StartRequest>(req)
            .await
            .map(StartRequest::into_task)
        {
            Ok(Some(task)) => task,
            Ok(None) => return send_error(res, StatusCode::BAD_REQUEST, "gang is not hexadecimal"),
            Err(error) => return send_error(res, StatusCode::BAD_REQUEST, &error),
        };
        let faults = self.faults_of(worker);
        if faults.fail == Some(FailMode::Start) {
            return send_error(res, StatusCode::INTERNAL_SERVER_ERROR, "the task failed");
        }
        let fails_after = (faults.fail == Some(FailMode::Run))
            .then(|| Duration::from_millis(faults.fail_after_ms));
        let started = self
            .tasks()
            .start(worker, task, faults.capacity, fails_after, now());
        match started {
            Ok(()) => send_json(res, StatusCode::OK, &()),
            Err(StartError::NoCapacity) => {
                send_error(res, StatusCode::CONFLICT, "the resources are taken");
            }
            Err(StartError::Ended) => send_error(res, StatusCode::GONE, "the task has ended"),
        }
    }

    async fn renew(&self, worker: &str, req: &mut Request, res: &mut Response) {
        match read_json::<RenewRequest>(req).await {
            Ok(request) => {
                let lease = Duration::from_millis(request.lease_ms);
                let renewed = self.tasks().renew(worker, request.tasks, lease, now());
                send_json(res, StatusCode::OK, &renewed);
            }
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        }
    }

    async fn throttle(&self, worker: &str, task: &str, req: &mut Request, res: &mut Response) {
        match read_json::<ThrottleRequest>(req).await {
            Ok(request) if request.percent <= 100 => {
                let running = self.tasks().throttle(worker, task, request.percent);
                send_if_running(res, running);
            }
            Ok(_) => send_error(res, StatusCode::BAD_REQUEST, "percent is above 100"),
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        }
    }

    async fn checkpoint(&self, worker: &str, task: &str, res: &mut Response) {
        delay(&self.timer, self.checkpoint_duration).await;
        let running = self.tasks().is_running(worker, task);
        send_if_running(res, running);
    }

    fn usage(&self, worker: &str, res: &mut Response) {
        let snapshot = self.usage_snapshot.load_full();
        let mut usage = snapshot.usage.get(worker).cloned().unwrap_or_default();
        let age = now().saturating_duration_since(snapshot.at);
        usage.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        send_json(res, StatusCode::OK, &usage);
    }
}

fn send_if_running(res: &mut Response, running: bool) {
    if running {
        send_json(res, StatusCode::OK, &());
    } else {
        send_error(res, StatusCode::NOT_FOUND, "no such running task");
    }
}
