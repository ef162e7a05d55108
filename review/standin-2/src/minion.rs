//! A minion: runs tasks under leases and announces itself on its machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request};
use crate::record::{Record, unix_ms};

/// Longest lease, as `maxHoldMs` in the settings.
const MAX_HOLD: Duration = Duration::from_secs(6);
/// Time that a stop takes, below `stopMs` in the settings.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Interval of the heartbeats, as `heartbeatMs` in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);

struct Run {
    number: u64,
    work: Duration,
    fails: bool,
    /// The run fails if it ends before this time.
    fails_until_ms: u64,
    started_at: Instant,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fencing_token: u64,
    lease_end: Option<Instant>,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    outdated: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

struct Minion {
    name: String,
    service: String,
    rack: String,
    listen: SocketAddr,
    control: SocketAddr,
    record: Record,
    born: u64,
    started_at: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

/// Options: NAME SERVICE RACK LISTEN CONTROL RECORD.
pub fn run(options: &[&str]) -> ExitCode {
    let [name, service, rack, listen, control, record] = options else {
        return ExitCode::from(2);
    };
    let (Ok(listen), Ok(control)) = (listen.parse(), control.parse()) else {
        return ExitCode::from(2);
    };
    let minion = Arc::new(Minion {
        name: (*name).to_owned(),
        service: (*service).to_owned(),
        rack: (*rack).to_owned(),
        listen,
        control,
        record: Record::open(Path::new(record)),
        born: unix_ms(),
        started_at: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
    });
    let handling = Arc::clone(&minion);
    let served = http::serve(
        listen,
        Arc::new(move |request| Some(handling.answer(&request))),
    );
    if let Err(e) = served {
        minion
            .record
            .line(format_args!("{name} cannot listen: {e}"));
        return ExitCode::FAILURE;
    }
    minion
        .record
        .line(format_args!("{name} up born={}", minion.born));
    let working = Arc::clone(&minion);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(5));
            working.end_due_runs();
        }
    });
    minion.announce()
}

impl Minion {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the minion")
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(0)
    }

    fn announce(&self) -> ExitCode {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = json!({"service": self.service, "address": self.listen.to_string(), "zone": "regina",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": 128_000, "memoryRequestMb": 524_288, "gpu": 8},
                "labels": ["a", self.rack], "clockMs": self.clock_ms(), "sequence": sequence, "born": self.born});
            let path = format!("/instances/{}", self.name);
            let sent = http::call(
                self.control,
                "PUT",
                &path,
                &[("Host", "control")],
                &body,
                Duration::from_secs(1),
            );
            let acknowledged = matches!(sent, Ok((status, _)) if status / 100 == 2);
            let pause = if acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(100)
            };
            thread::sleep(pause);
        }
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        if request
            .header("x-expected-instance")
            .is_some_and(|intended| intended != self.name)
        {
            return (421, json!({}));
        }
        let body = &request.body;
        let mut state = self.lock();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.fencing_token {
            return (409, self.refusal("fence"));
        }
        state.fencing_token = token;
        match request.path.as_str() {
            "/run-start" => self.start(&mut state, body),
            "/run-stop" => self.stop(&mut state, body),
            "/hold" => self.hold(state, body),
            _ => (404, json!({})),
        }
    }

    fn refusal(&self, reason: &str) -> Value {
        json!({"clockMs": self.clock_ms(), "reason": reason, "born": self.born})
    }

    /// Renews the lease if the call asks for it; returns false if the end that it names has passed.
    fn renew(&self, state: &mut State, body: &Value) -> bool {
        let Some(until_ms) = body["untilMs"].as_u64() else {
            return true;
        };
        let now = Instant::now();
        let until = self.started_at + Duration::from_millis(until_ms);
        if until <= now {
            return false;
        }
        let until = until.min(now + MAX_HOLD);
        state.lease_end = Some(state.lease_end.map_or(until, |known| known.max(until)));
        true
    }

    fn start(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        if !self.renew(state, body) {
            return (409, self.refusal("late"));
        }
        if state
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return (200, json!({"clockMs": self.clock_ms()}));
        }
        let is_old = state
            .outdated
            .get(&task)
            .is_some_and(|last| number <= *last);
        if is_old || state.runs.contains_key(&task) {
            return (409, self.refusal("old"));
        }
        let text = body["specification"].as_str().unwrap_or("");
        let specification: Value = serde_json::from_str(text).unwrap_or(Value::Null);
        let run = Run {
            number,
            work: Duration::from_millis(specification["ms"].as_u64().unwrap_or(1000)),
            fails: specification["fails"].as_bool().unwrap_or(false),
            fails_until_ms: specification["failsUntilMs"].as_u64().unwrap_or(0),
            started_at: Instant::now(),
            stop_at: None,
        };
        self.record
            .line(format_args!("{} starts {task} run={number}", self.name));
        state.runs.insert(task, run);
        (200, json!({"clockMs": self.clock_ms()}))
    }

    fn stop(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        if let Some(run) = state.runs.get_mut(&task)
            && run.number <= number
        {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        let last = state.outdated.entry(task).or_default();
        *last = number.max(*last);
        (200, json!({"clockMs": self.clock_ms()}))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> (u16, Value) {
        self.renew(&mut state, body);
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > last_seen);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let deadline = Instant::now() + wait;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                return (200, self.lists(&state));
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.expect("no thread panics with the minion").0;
        }
    }

    fn lists(&self, state: &State) -> Value {
        let percent = |run: &Run| {
            let worked = run.started_at.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
            u64::try_from(worked).unwrap_or(0).min(99)
        };
        let runs = state.runs.iter();
        let running: Vec<Value> = runs
            .map(|(task, run)| json!([task, run.number, "", percent(run), 0]))
            .collect();
        let ends = state.ends.iter().take(500);
        let ended: Vec<Value> = ends
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({"clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": ended})
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let has_lapsed = state.lease_end.is_some_and(|end| end <= now);
        let how = |run: &Run| {
            if run.stop_at.is_some_and(|at| at <= now) {
                Some("stopped")
            } else if has_lapsed {
                Some("lapsed")
            } else if run.started_at + run.work <= now {
                let fails = run.fails || unix_ms() < run.fails_until_ms;
                Some(if fails { "failed" } else { "done" })
            } else {
                None
            }
        };
        let due = state.runs.iter();
        let due = due.filter_map(|(task, run)| Some((task.clone(), run.number, how(run)?)));
        let due: Vec<(String, u64, &'static str)> = due.collect();
        for (task, number, how) in due {
            self.record
                .line(format_args!("{} ends {task} run={number} {how}", self.name));
            state.runs.remove(&task);
            let last = state.outdated.entry(task.clone()).or_default();
            *last = number.max(*last);
            state.last_end += 1;
            let sequence = state.last_end;
            state.ends.push((sequence, task, number, how));
            self.ended.notify_all();
        }
    }
}
