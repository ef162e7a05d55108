//! Minions that run tasks under leases, as the pages describe them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::advisor::Advisor;
use crate::http::{Answer, Client, Request, Server};
use crate::json::{Json, num, text};
use crate::record::Record;

const MAX_HOLD: Duration = Duration::from_secs(6);
const HEARTBEAT: Duration = Duration::from_millis(1500);

struct Run {
    number: u64,
    started_at: Instant,
    /// When the run ends by itself, and how; one that lasts has none.
    end: Option<(Duration, &'static str)>,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end: Option<Instant>,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    refused: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// One life of a minion.
struct Life {
    name: String,
    born: u64,
    began: Instant,
    up: AtomicBool,
    state: Mutex<State>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    record: Record,
    advisor: Advisor,
}

pub struct Minion {
    name: String,
    app: SocketAddr,
    control: SocketAddr,
    rack: String,
    record: Record,
    advisor: Advisor,
    life: Mutex<Option<Arc<Life>>>,
}

impl Minion {
    pub fn new(name: &str, app: SocketAddr, control: SocketAddr, rack: &str, record: &Record, advisor: &Advisor) -> Minion {
        Minion {
            name: name.into(),
            app,
            control,
            rack: rack.into(),
            record: record.clone(),
            advisor: advisor.clone(),
            life: Mutex::new(None),
        }
    }

    pub fn start(&self) -> std::io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let life = Arc::new(Life {
            name: self.name.clone(),
            born,
            began: Instant::now(),
            up: AtomicBool::new(true),
            state: Mutex::default(),
            ended: Condvar::new(),
            server: Mutex::new(None),
            record: self.record.clone(),
            advisor: self.advisor.clone(),
        });
        let handling = Arc::clone(&life);
        let server = Server::start(self.app, move |request| handling.answer(&request))?;
        *life.server.lock().unwrap() = Some(server);
        *self.life.lock().unwrap() = Some(Arc::clone(&life));
        self.record.line(&format!("{} is up, born {born}", self.name));
        let running = Arc::clone(&life);
        std::thread::spawn(move || running.run_tasks());
        let (control, app, rack) = (self.control, self.app, self.rack.clone());
        std::thread::spawn(move || life.announce(control, app, &rack));
        Ok(())
    }

    /// Ends the minion and all that it runs; it sends nothing.
    pub fn crash(&self) {
        let Some(life) = self.life.lock().unwrap().take() else { return };
        life.up.store(false, Ordering::SeqCst);
        if let Some(server) = life.server.lock().unwrap().take() {
            server.stop();
        }
        let runs = std::mem::take(&mut life.state.lock().unwrap().runs);
        self.record.line(&format!("{} crashes, with {} tasks", self.name, runs.len()));
        for (task, run) in runs {
            self.record.end(&self.name, &task, run.number, "lost in the crash");
        }
    }

    /// Returns the tasks that run on the minion, with how long each has run.
    pub fn running(&self) -> Vec<(String, Duration)> {
        let life = self.life.lock().unwrap();
        let Some(life) = life.as_ref() else { return Vec::new() };
        let state = life.state.lock().unwrap();
        state.runs.iter().map(|(task, run)| (task.clone(), run.started_at.elapsed())).collect()
    }
}

impl Life {
    /// Returns when a run ends by itself. The specification `MS` is a task that takes so long; `lasts N MS` one
    /// that lasts, of which the first N runs fail after so long.
    fn end_of(&self, specification: &str, task: &str) -> Option<(Duration, &'static str)> {
        let words: Vec<&str> = specification.split(' ').collect();
        if let ["lasts", failing, ms] = words[..] {
            let earlier = self.record.runs_of(task).len();
            let fails = earlier < failing.parse().unwrap_or(0);
            return fails.then(|| (Duration::from_millis(ms.parse().unwrap_or(1000)), "failed"));
        }
        let ms = specification.trim().parse().unwrap_or(1000);
        Some((Duration::from_millis(ms), "done"))
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn announce(&self, control: SocketAddr, app: SocketAddr, rack: &str) {
        let mut client = Client::new(control, Duration::from_secs(1));
        let mut sequence = 0;
        while self.up.load(Ordering::SeqCst) {
            sequence += 1;
            let capacity = Json::obj([
                ("cpu", num(64_000)),
                ("memoryRequestMb", num(131_072)),
                ("gpu", num(8)),
            ]);
            let body = Json::obj([
                ("service", text("optics")),
                ("address", text(app.to_string())),
                ("zone", text("cartagena")),
                ("version", text("v1")),
                ("slots", num(8)),
                ("state", text("ready")),
                ("coldRemainingMs", num(0)),
                ("capacity", capacity),
                ("labels", Json::Arr(vec![text("a"), text(rack)])),
                ("clockMs", num(self.clock())),
                ("sequence", num(sequence)),
                ("born", num(self.born)),
            ]);
            client.call("PUT", &format!("/instances/{}", self.name), "Host: control\r\n", Some(&body));
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.runs.remove(task) {
            state.last_end += 1;
            let refused = state.refused.entry(task.to_owned()).or_default();
            *refused = (*refused).max(run.number);
            state.ends.push((state.last_end, task.to_owned(), run.number, how));
            self.record.end(&self.name, task, run.number, how);
            self.ended.notify_all();
        }
    }

    fn run_tasks(&self) {
        while self.up.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
            let mut state = self.state.lock().unwrap();
            if !self.up.load(Ordering::SeqCst) {
                return;
            }
            let lapsed = state.lease_end.is_some_and(|end| end <= Instant::now());
            let due = |run: &Run| {
                let own = run.end.filter(|(after, _)| run.started_at.elapsed() >= *after);
                if lapsed { Some("lapsed") } else { own.map(|(_, how)| how) }
            };
            let ends = state.runs.iter().filter_map(|(task, run)| Some((task.clone(), due(run)?)));
            let ends: Vec<(String, &str)> = ends.collect();
            for (task, how) in ends {
                self.end(&mut state, &task, how);
            }
        }
    }

    /// Prolongs the lease; returns false if its end has passed.
    fn renew(&self, state: &mut State, body: &Json) -> bool {
        let Some(until) = body.get("untilMs").u64() else { return true };
        let now = Instant::now();
        let until = (self.began + Duration::from_millis(until)).min(now + MAX_HOLD);
        if until <= now {
            return false;
        }
        state.lease_end = Some(state.lease_end.map_or(until, |known| known.max(until)));
        true
    }

    fn with_clock(&self, status: u16, reason: &str) -> Answer {
        let mut fields = vec![("clockMs", num(self.clock())), ("born", num(self.born))];
        if !reason.is_empty() {
            fields.push(("reason", text(reason)));
        }
        (status, Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()))
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header("X-Expected-Instance").is_some_and(|name| name != self.name) {
            return self.with_clock(421, "");
        }
        let body = &request.body;
        let mut state = self.state.lock().unwrap();
        if !self.up.load(Ordering::SeqCst) {
            return (0, Json::Null);
        }
        let token = body.get("fencingToken").u64().unwrap_or(0);
        if token < state.token {
            return self.with_clock(409, "fence");
        }
        state.token = token;
        let task = body.get("task").str().to_owned();
        let number = body.get("run").u64().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                if state.runs.get(&task).is_some_and(|run| run.number == number) {
                    return self.with_clock(200, "");
                }
                if !self.renew(&mut state, body) {
                    return self.with_clock(409, "late");
                }
                let refused = state.refused.get(&task).is_some_and(|refused| number <= *refused);
                if refused || state.runs.contains_key(&task) {
                    return self.with_clock(409, "old");
                }
                if self.advisor.is_asked_for(&task) && !self.advisor.is_valid(&task, &self.name, body.get("ticket").str()) {
                    self.record.line(&format!("{} rejects {task}, run {number}: ticket", self.name));
                    return self.with_clock(409, "ticket");
                }
                let run = Run {
                    number,
                    started_at: Instant::now(),
                    end: self.end_of(body.get("specification").str(), &task),
                };
                self.record.start(&self.name, &task, number);
                state.runs.insert(task, run);
                self.with_clock(200, "")
            }
            "/run-stop" => {
                let refused = state.refused.entry(task.clone()).or_default();
                *refused = (*refused).max(number);
                if state.runs.get(&task).is_some_and(|run| run.number <= number) {
                    self.end(&mut state, &task, "stopped");
                }
                self.with_clock(200, "")
            }
            "/hold" => {
                self.renew(&mut state, body);
                let seen = body.get("lastSeen").u64().unwrap_or(0);
                state.ends.retain(|end| end.0 > seen);
                let wait = body.get("waitMs").u64().unwrap_or(0).min(2000);
                let deadline = Instant::now() + Duration::from_millis(wait);
                while state.ends.is_empty() && self.up.load(Ordering::SeqCst) {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                if !self.up.load(Ordering::SeqCst) {
                    return (0, Json::Null);
                }
                self.lists(&state)
            }
            _ => (404, Json::obj([])),
        }
    }

    fn lists(&self, state: &State) -> Answer {
        // A task that lasts is at work after a short startup.
        let percent = |run: &Run| {
            let work = run.end.filter(|(_, how)| *how == "done").map_or(500, |(after, _)| after.as_millis());
            let limit = if work == 500 { 100 } else { 99 };
            num((run.started_at.elapsed().as_millis() * 100 / work.max(1)).min(limit) as u64)
        };
        let running = state.runs.iter().map(|(task, run)| {
            Json::Arr(vec![text(&**task), num(run.number), text(""), percent(run), num(0)])
        });
        let ended = state.ends.iter().map(|(n, task, run, how)| {
            Json::Arr(vec![num(*n), text(&**task), num(*run), text(*how), text("")])
        });
        let fields = [
            ("clockMs", num(self.clock())),
            ("born", num(self.born)),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.take(500).collect())),
        ];
        (200, Json::obj(fields))
    }
}
