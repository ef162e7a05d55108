//! Stand-in for a worker ("minion"), written from the users' protocol page.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use serde_json::{Value, json};

use crate::Result;
use crate::record::{Record, RunId};

/// Longest lease (`maxHoldMs`).
const MAX_HOLD: Duration = Duration::from_secs(6);
/// Time that a stop takes; the bound is `stopMs`.
const STOP_TIME: Duration = Duration::from_millis(100);
/// How long members of a gang wait for each other (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of the reports of a worker about itself (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Interval at which runs are checked.
const TICK: Duration = Duration::from_millis(10);
/// Number of ends in one list, as the protocol page says.
const MAX_LISTED_ENDS: usize = 500;
/// Interval at which checkpoints are made (`checkpointIntervalS`).
const CHECKPOINT_INTERVAL_MS: u128 = 1000;

/// What a worker is.
#[derive(Debug, Clone)]
pub(crate) struct Kind {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) addr: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) labels: Vec<String>,
    pub(crate) cpu: u32,
    pub(crate) memory_mb: u32,
    pub(crate) gpu: u32,
    /// Time from the start of a life to its first report about itself.
    pub(crate) first_report_after: Duration,
}

#[derive(Debug)]
struct Run {
    number: u64,
    work: Duration,
    gang: usize,
    fails: bool,
    saves: bool,
    /// Whether the task runs until it is stopped.
    lasts: bool,
    checkpoint: String,
    began_at: Instant,
    complete_at: Option<Instant>,
    stop_at: Option<Instant>,
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    checkpoint: String,
    /// Whether the lease has held since the end.
    leased: bool,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    lease_end: Option<Instant>,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

/// Members of gangs that are present, by gang and run, and how the first of them ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gangs(Arc<Mutex<HashMap<(String, u64), Gang>>>);

#[derive(Debug, Default)]
struct Gang {
    present: HashSet<String>,
    ended: Option<&'static str>,
}

/// One life of a worker.
#[derive(Clone)]
pub(crate) struct Worker {
    kind: Kind,
    born_ms: u64,
    began_at: Instant,
    record: Record,
    gangs: Gangs,
    state: Arc<Mutex<State>>,
    up: Arc<AtomicBool>,
    server: Arc<Mutex<Option<ServerHandle>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(gang, _)| gang).into()
}

/// Offset of the time of day on the machines of the workers, in milliseconds.
pub(crate) static CLOCK_STEP_MS: AtomicI64 = AtomicI64::new(0);

fn time_of_day_ms() -> Result<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let stepped = i64::try_from(now)? + CLOCK_STEP_MS.load(Ordering::Relaxed);
    Ok(u64::try_from(stepped)?)
}

impl Worker {
    /// Starts one life of a worker.
    pub(crate) async fn start(kind: Kind, record: Record, gangs: Gangs) -> Result<Self> {
        let worker = Self {
            born_ms: time_of_day_ms()?,
            kind,
            began_at: Instant::now(),
            record,
            gangs,
            state: Arc::default(),
            up: Arc::new(AtomicBool::new(true)),
            server: Arc::default(),
        };
        let mut attempts = 0;
        let acceptor = loop {
            // The listener of the life before closes in the background.
            match TcpListener::new(worker.kind.addr).try_bind().await {
                Ok(acceptor) => break acceptor,
                Err(e) if attempts > 100 => return Err(e.to_string().into()),
                Err(_) => attempts += 1,
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let server = Server::new(acceptor);
        *lock(&worker.server) = Some(server.handle());
        let router = Router::with_path("{**path}").goal(worker.clone());
        tokio::spawn(server.serve(router));
        worker.record.line(&format!(
            "worker {} begins, born {}",
            worker.kind.id, worker.born_ms
        ));
        tokio::spawn(worker.clone().announce());
        tokio::spawn(worker.clone().tick());
        Ok(worker)
    }

    /// Returns what the worker is.
    pub(crate) fn kind(&self) -> &Kind {
        &self.kind
    }

    /// Ends the worker at once, with all that runs on it.
    pub(crate) fn crash(&self) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record
            .line(&format!("worker {} crashes", self.kind.id));
        if let Some(server) = lock(&self.server).take() {
            server.stop_forceful();
        }
        let runs = std::mem::take(&mut lock(&self.state).runs);
        for (task, run) in runs {
            self.record.ended(&task, &self.run_id(run.number), "lost");
            self.end_gang(&task, &run, "lost");
        }
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn run_id(&self, run: u64) -> RunId {
        RunId {
            worker: self.kind.id.clone(),
            life: self.born_ms,
            run,
        }
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.began_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Reports the worker to its agent; a report that is not confirmed is repeated soon.
    async fn announce(self) {
        let client = reqwest::Client::builder().no_proxy().build();
        let Ok(client) = client else { return };
        tokio::time::sleep(self.kind.first_report_after).await;
        let mut sequence = 0;
        let url = format!("http://{}/instances/{}", self.kind.control, self.kind.id);
        while self.is_up() {
            sequence += 1;
            let body = json!({"service": self.kind.service, "address": self.kind.addr.to_string(),
                "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": self.kind.cpu, "memoryRequestMb": self.kind.memory_mb, "gpu": self.kind.gpu},
                "labels": self.kind.labels, "clockMs": self.clock(), "sequence": sequence,
                "born": self.born_ms});
            let sent = client.put(&url).json(&body).timeout(Duration::from_secs(1));
            let confirmed = sent.send().await.is_ok_and(|r| r.status().is_success());
            let pause = if confirmed { HEARTBEAT } else { HEARTBEAT / 5 };
            tokio::time::sleep(pause).await;
        }
    }

    async fn tick(self) {
        while self.is_up() {
            self.check_runs();
            tokio::time::sleep(TICK).await;
        }
    }

    fn check_runs(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let lapsed = state.lease_end.is_some_and(|end| end <= now);
        if lapsed {
            state.lease_end = None;
            state.ends.iter_mut().for_each(|end| end.leased = false);
        }
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        for task in tasks {
            let how = if lapsed {
                Some("lapsed")
            } else {
                let run = state.runs.get_mut(&task);
                run.and_then(|run| self.due_end(&task, run, now))
            };
            if let Some(how) = how
                && let Some(run) = state.runs.remove(&task)
            {
                self.end_run(&mut state, task, &run, how);
            }
        }
    }

    /// Returns how a run ends if it ends now.
    fn due_end(&self, task: &str, run: &mut Run, now: Instant) -> Option<&'static str> {
        if run.stop_at.is_some_and(|at| at <= now) {
            return Some("stopped");
        }
        let mut worked_since = run.began_at;
        if run.gang > 0 {
            let mut gangs = lock(&self.gangs.0);
            let gang = gangs.entry((gang_of(task), run.number)).or_default();
            if let Some(how) = gang.ended {
                return Some(if how == "done" { "done" } else { "broken" });
            }
            gang.present.insert(task.into());
            if gang.present.len() >= run.gang {
                run.complete_at.get_or_insert(now);
            }
            let Some(at) = run.complete_at else {
                return (now > run.began_at + GANG_TIMEOUT).then_some("alone");
            };
            worked_since = at;
        }
        if run.saves {
            let saved = now.duration_since(worked_since).as_millis() / CHECKPOINT_INTERVAL_MS;
            if saved > 0 {
                run.checkpoint = format!("{:08x}{saved:08x}", run.number & 0xffff_ffff);
            }
        }
        let how = if run.fails { "failed" } else { "done" };
        (!run.lasts && now >= worked_since + run.work).then_some(how)
    }

    fn end_run(&self, state: &mut State, task: String, run: &Run, how: &'static str) {
        self.record.ended(&task, &self.run_id(run.number), how);
        self.end_gang(&task, run, how);
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(run.number);
        state.last_end += 1;
        state.ends.push(End {
            number: state.last_end,
            task,
            run: run.number,
            how,
            checkpoint: run.checkpoint.clone(),
            leased: how != "lapsed",
        });
    }

    fn end_gang(&self, task: &str, run: &Run, how: &'static str) {
        if run.gang > 0 {
            let mut gangs = lock(&self.gangs.0);
            let gang = gangs.entry((gang_of(task), run.number)).or_default();
            gang.ended.get_or_insert(how);
        }
    }

    /// Applies `untilMs`; returns false if that time has passed.
    fn extend_lease(&self, state: &mut State, body: &Value) -> bool {
        let Some(until) = body["untilMs"].as_u64() else {
            return true;
        };
        let now = Instant::now();
        let until = self.began_at + Duration::from_millis(until);
        if until <= now {
            return false;
        }
        let until = until.min(now + MAX_HOLD);
        state.lease_end = Some(state.lease_end.map_or(until, |known| known.max(until)));
        true
    }

    fn accepts_token(state: &mut State, body: &Value) -> bool {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let accepted = token >= state.token;
        state.token = state.token.max(token);
        accepted
    }

    fn refusal(&self, reason: &str) -> (StatusCode, Value) {
        let body = json!({"clockMs": self.clock(), "reason": reason, "born": self.born_ms});
        (StatusCode::CONFLICT, body)
    }

    fn confirmation(&self) -> (StatusCode, Value) {
        let body = json!({"clockMs": self.clock(), "born": self.born_ms});
        (StatusCode::OK, body)
    }

    fn start_run(&self, body: &Value) -> (StatusCode, Value) {
        let mut state = lock(&self.state);
        if !Self::accepts_token(&mut state, body) {
            return self.refusal("fence");
        }
        let (Some(task), Some(number), Some(specification)) = (
            body["task"].as_str(),
            body["run"].as_u64(),
            body["specification"].as_str(),
        ) else {
            return (StatusCode::BAD_REQUEST, json!({"clockMs": self.clock()}));
        };
        if !self.extend_lease(&mut state, body) {
            return self.refusal("late");
        }
        let known = state.runs.get(task).map(|run| run.number);
        if known == Some(number) {
            return self.confirmation();
        }
        let over = state.over.get(task).copied().unwrap_or(0);
        if number <= over || known.is_some() {
            return self.refusal("old");
        }
        let spec: Value = serde_json::from_str(specification).unwrap_or_default();
        let run = Run {
            number,
            work: Duration::from_millis(spec["ms"].as_u64().unwrap_or(0)),
            gang: usize::try_from(spec["gang"].as_u64().unwrap_or(0)).unwrap_or(0),
            fails: spec["fails"].as_bool().unwrap_or(false),
            saves: spec["saves"].as_bool().unwrap_or(false),
            lasts: spec["lasts"].as_bool().unwrap_or(false),
            checkpoint: body["checkpoint"].as_str().unwrap_or("").into(),
            began_at: Instant::now(),
            complete_at: None,
            stop_at: None,
        };
        self.record.started(task, &self.run_id(number));
        state.runs.insert(task.into(), run);
        self.confirmation()
    }

    fn stop_run(&self, body: &Value) -> (StatusCode, Value) {
        let mut state = lock(&self.state);
        if !Self::accepts_token(&mut state, body) {
            return self.refusal("fence");
        }
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        if let Some(run) = state.runs.get_mut(&task)
            && run.number <= number
        {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        let over = state.over.entry(task).or_default();
        *over = (*over).max(number);
        self.confirmation()
    }

    async fn hold(&self, body: &Value) -> (StatusCode, Value) {
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let seen = body["lastSeen"].as_u64().unwrap_or(0);
        {
            let mut state = lock(&self.state);
            if !Self::accepts_token(&mut state, body) {
                let mut lists = self.lists(&state);
                lists["reason"] = json!("fence");
                return (StatusCode::CONFLICT, lists);
            }
            self.extend_lease(&mut state, body);
            for end in state.ends.iter().filter(|end| end.number <= seen) {
                let run = self.run_id(end.run);
                self.record.noted(&end.task, &run, end.how, end.leased);
            }
            state.ends.retain(|end| end.number > seen);
        }
        let deadline = Instant::now() + wait;
        while self.is_up() && lock(&self.state).ends.is_empty() && Instant::now() < deadline {
            tokio::time::sleep(TICK).await;
        }
        (StatusCode::OK, self.lists(&lock(&self.state)))
    }

    fn lists(&self, state: &State) -> Value {
        let percent = |run: &Run| {
            let since = if run.gang > 0 {
                run.complete_at
            } else {
                Some(run.began_at)
            };
            let worked = since.map_or(0, |at| at.elapsed().as_millis());
            let most = if run.lasts { 100 } else { 99 };
            (worked * 100 / run.work.as_millis().max(1)).min(most)
        };
        let running = state.runs.iter().map(|(task, run)| {
            json!([
                task,
                run.number,
                run.checkpoint,
                u64::try_from(percent(run)).unwrap_or(0),
                0
            ])
        });
        let ended = state.ends.iter().take(MAX_LISTED_ENDS);
        let ended =
            ended.map(|end| json!([end.number, end.task, end.run, end.how, end.checkpoint]));
        json!({"clockMs": self.clock(), "born": self.born_ms,
            "running": running.collect::<Vec<Value>>(), "ended": ended.collect::<Vec<Value>>()})
    }
}

#[async_trait]
impl Handler for Worker {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let expected = req.headers().get("x-expected-instance");
        let expected = expected.and_then(|id| id.to_str().ok()).map(str::to_owned);
        let body = req.payload().await.ok();
        let body = body.and_then(|body| serde_json::from_slice::<Value>(body).ok());
        let body = body.unwrap_or_default();
        if !self.is_up() {
            // A worker that has ended answers nothing on channels that are still open.
            std::future::pending::<()>().await;
        }
        let (status, answer) = if expected.is_some_and(|id| id != self.kind.id) {
            (
                StatusCode::MISDIRECTED_REQUEST,
                json!({"clockMs": self.clock()}),
            )
        } else {
            match req.uri().path() {
                "/run-start" => self.start_run(&body),
                "/run-stop" => self.stop_run(&body),
                "/hold" => self.hold(&body).await,
                _ => (StatusCode::NOT_FOUND, json!({})),
            }
        };
        if !self.is_up() {
            std::future::pending::<()>().await;
        }
        res.status_code(status);
        res.render(Json(answer));
    }
}
