//! Serving the workers: faults, control paths, the end of leases and usage reports.

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

use crate::faults::Faults;
use crate::fleet::faults::{FailMode, Vanish, WorkerFaults};
use crate::fleet::tasks::{StartFault, Tasks};
use crate::reply::{decode_segment, json, parse, pause, refuse};
use crate::server::{Server, serve};
use crate::settings::WorkersSettings;

/// Bounds how late the end of a task lease is noticed.
const LEASE_SWEEP: Duration = Duration::from_millis(10);

struct Snapshot {
    at: Instant,
    usage: IndexMap<WorkerId, UsageAnswer>,
}

struct Fleet {
    tasks: Mutex<Tasks>,
    snapshot: ArcSwap<Snapshot>,
    faults: Faults<IndexMap<WorkerId, WorkerFaults>>,
    timer: Timer,
    checkpoint: Duration,
    origin: Instant,
}

impl Fleet {
    fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults_of(&self, worker: &str) -> WorkerFaults {
        self.faults.load().get(worker).cloned().unwrap_or_default()
    }
}

/// Starts workers without tasks; a worker exists as soon as a call names it.
pub async fn start_workers(settings: &WorkersSettings, timer: &Timer) -> Result<Server> {
    let origin = now();
    let fleet = Arc::new(Fleet {
        tasks: Mutex::default(),
        snapshot: ArcSwap::from_pointee(Snapshot {
            at: origin,
            usage: IndexMap::new(),
        }),
        faults: Faults::new(IndexMap::new()),
        timer: timer.clone(),
        checkpoint: Duration::from_millis(settings.checkpoint_ms),
        origin,
    });
    let sweep = timer.subscribe_every(LEASE_SWEEP);
    tokio::spawn(end_tasks(Arc::downgrade(&fleet), sweep));
    let lag = Duration::from_millis(settings.usage_lag_ms.max(1));
    let reports = timer.subscribe_every(lag);
    tokio::spawn(report_usage(Arc::downgrade(&fleet), reports));
    serve(settings.listen, None, FleetHandler(fleet)).await
}

async fn end_tasks(fleet: Weak<Fleet>, mut ticks: mpsc::Receiver<Instant>) {
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
        fleet.snapshot.store(Arc::new(Snapshot { at, usage }));
    }
}

struct FleetHandler(Arc<Fleet>);

#[handler]
impl FleetHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let segments = req.uri().path().split('/').skip(1);
        let Some(parts) = segments.map(decode_segment).collect::<Option<Vec<_>>>() else {
            return refuse(res, StatusCode::BAD_REQUEST, "the path is malformed");
        };
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match parts.as_slice() {
            ["control", rest @ ..] => control(&self.0, rest, req, res).await,
            ["v1", "workers", worker, rest @ ..] => {
                let faults = self.0.faults_of(worker);
                if faults.vanish.is_some() {
                    // The caller sees no answer until the worker is back.
                    self.0.wait_for(worker).await;
                }
                pause(&self.0.timer, Duration::from_millis(faults.slow_ms)).await;
                self.0.run(worker, rest, req, res).await;
            }
            _ => refuse(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

async fn control(fleet: &Fleet, rest: &[&str], req: &mut Request, res: &mut Response) {
    match (req.method(), rest) {
        (&Method::GET, ["tasks"]) => {
            let records = fleet.tasks().records(fleet.origin);
            json(res, StatusCode::OK, &records);
        }
        (&Method::POST, ["workers", worker]) => match parse::<WorkerFaults>(req).await {
            Ok(faults) => {
                fleet.set_faults(worker, faults.clone());
                json(res, StatusCode::OK, &faults);
            }
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        },
        _ => refuse(res, StatusCode::NOT_FOUND, "no such control path"),
    }
}

impl Fleet {
    fn set_faults(&self, worker: &str, faults: WorkerFaults) {
        let lost = faults.vanish == Some(Vanish::Lost);
        let mut all = IndexMap::clone(&self.faults.load());
        all.insert(worker.into(), faults);
        self.faults.set(all);
        if lost {
            self.tasks().lose(worker, now());
        }
    }

    async fn wait_for(&self, worker: &str) {
        self.faults
            .wait_until(|all| all.get(worker).is_none_or(|faults| faults.vanish.is_none()))
            .await;
    }

    async fn run(&self, worker: &str, rest: &[&str], req: &mut Request, res: &mut Response) {
        match (req.method().as_str(), rest) {
            ("POST", ["tasks"]) => self.start(worker, req, res).await,
            ("POST", ["renew"]) => self.renew(worker, req, res).await,
            ("DELETE", ["tasks", task]) => {
                self.tasks().stop(worker, task, now());
                json(res, StatusCode::OK, &());
            }
            ("POST", ["tasks", task, "throttle"]) => self.throttle(worker, task, req, res).await,
            ("POST", ["tasks", task, "checkpoint"]) => self.checkpoint(worker, task, res).await,
            ("GET", ["usage"]) => self.usage(worker, res),
            _ => refuse(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn start(&self, worker: &str, req: &mut Request, res: &mut Response) {
        let task = match parse::<StartRequest>(req)
            .await
            .map(StartRequest::into_task)
        {
            Ok(Some(task)) => task,
            Ok(None) => return refuse(res, StatusCode::BAD_REQUEST, "gang is not hexadecimal"),
            Err(fault) => return refuse(res, StatusCode::BAD_REQUEST, &fault),
        };
        let faults = self.faults_of(worker);
        if faults.fail == Some(FailMode::Start) {
            return refuse(res, StatusCode::INTERNAL_SERVER_ERROR, "the task failed");
        }
        let fails_after = (faults.fail == Some(FailMode::Run))
            .then(|| Duration::from_millis(faults.fail_after_ms));
        let started = self
            .tasks()
            .start(worker, task, faults.capacity, fails_after, now());
        match started {
            Ok(()) => json(res, StatusCode::OK, &()),
            Err(StartFault::NoCapacity) => {
                refuse(res, StatusCode::CONFLICT, "the resources are taken");
            }
            Err(StartFault::Ended) => refuse(res, StatusCode::GONE, "the task has ended"),
        }
    }

    async fn renew(&self, worker: &str, req: &mut Request, res: &mut Response) {
        match parse::<RenewRequest>(req).await {
            Ok(asked) => {
                let lease = Duration::from_millis(asked.lease_ms);
                let renewed = self.tasks().renew(worker, asked.tasks, lease, now());
                json(res, StatusCode::OK, &renewed);
            }
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        }
    }

    async fn throttle(&self, worker: &str, task: &str, req: &mut Request, res: &mut Response) {
        match parse::<ThrottleRequest>(req).await {
            Ok(asked) if asked.percent <= 100 => {
                let known = self.tasks().throttle(worker, task, asked.percent);
                answer_known(res, known);
            }
            Ok(_) => refuse(res, StatusCode::BAD_REQUEST, "percent is above 100"),
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        }
    }

    async fn checkpoint(&self, worker: &str, task: &str, res: &mut Response) {
        pause(&self.timer, self.checkpoint).await;
        let known = self.tasks().is_running(worker, task);
        answer_known(res, known);
    }

    fn usage(&self, worker: &str, res: &mut Response) {
        let snapshot = self.snapshot.load_full();
        let mut usage = snapshot.usage.get(worker).cloned().unwrap_or_default();
        let age = now().saturating_duration_since(snapshot.at);
        usage.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        json(res, StatusCode::OK, &usage);
    }
}

fn answer_known(res: &mut Response, known: bool) {
    if known {
        json(res, StatusCode::OK, &());
    } else {
        refuse(res, StatusCode::NOT_FOUND, "no such running task");
    }
}
