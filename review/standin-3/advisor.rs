//! The service at `advice`, which knows which minions may run a step.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, num, text};
use crate::record::Record;

const DECISION_MS: u64 = 100;
const PER_WORKER_MS: u64 = 20;
const VALIDITY_MS: u64 = 3000;
/// Calls that may wait for each calling machine.
const MAX_WAITING: usize = 32;

/// Returns the configuration of a queue with advice.
pub fn configuration() -> Json {
    Json::obj([
        ("decisionMs", num(DECISION_MS)),
        ("perWorkerMs", num(PER_WORKER_MS)),
        ("validityMs", num(VALIDITY_MS)),
    ])
}

/// Calls of one machine, which are handled one at a time, in turn.
#[derive(Default)]
struct Line {
    next: u64,
    serving: u64,
}

#[derive(Default)]
struct State {
    /// Steps that were asked for, which belong to queues with advice.
    asked: Vec<String>,
    /// Tickets by step and minion, with the end of their validity.
    tickets: HashMap<(String, String), Vec<(String, Instant)>>,
    issued: u64,
}

#[derive(Clone)]
pub struct Advisor {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Advisor {
    pub fn new(record: &Record) -> Advisor {
        Advisor { state: Arc::default(), record: record.clone() }
    }

    /// Serves the machine that calls at this address.
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<Server> {
        let advisor = self.clone();
        let line: (Mutex<Line>, Condvar) = Default::default();
        Server::start(addr, move |request| advisor.answer(&request, &line))
    }

    fn answer(&self, request: &Request, (line, turn): &(Mutex<Line>, Condvar)) -> Answer {
        let step = request.body.get("step").str().to_owned();
        let workers: Vec<String> =
            request.body.get("workers").arr().iter().map(|worker| worker.str().to_owned()).collect();
        let asked_at = Instant::now();
        self.state.lock().unwrap().asked.push(step.clone());
        {
            let mut line = line.lock().unwrap();
            if line.next - line.serving > MAX_WAITING as u64 {
                self.record.line(&format!("POST /advise {step}: 429"));
                return (429, Json::obj([]));
            }
            let own = line.next;
            line.next += 1;
            while line.serving < own {
                line = turn.wait(line).unwrap();
            }
        }
        if request.is_gone() {
            line.lock().unwrap().serving += 1;
            turn.notify_all();
            self.record.line(&format!("POST /advise {step}: the caller has left"));
            return (0, Json::Null);
        }
        std::thread::sleep(Duration::from_millis(DECISION_MS + PER_WORKER_MS * workers.len() as u64));
        line.lock().unwrap().serving += 1;
        turn.notify_all();
        let until = Instant::now() + Duration::from_millis(VALIDITY_MS);
        let mut state = self.state.lock().unwrap();
        let mut approved = Vec::new();
        for worker in workers {
            state.issued += 1;
            let ticket = format!("t-{:08x}", state.issued);
            let tickets = state.tickets.entry((step.clone(), worker.clone())).or_default();
            tickets.push((ticket.clone(), until));
            approved.push(Json::Arr(vec![text(worker), text(ticket)]));
        }
        let took = asked_at.elapsed().as_millis();
        self.record.line(&format!("POST /advise {step}: {} approved after {took} ms", approved.len()));
        (200, Json::obj([("approved", Json::Arr(approved)), ("validityMs", num(VALIDITY_MS))]))
    }

    /// Returns whether the queue of a task has advice.
    pub fn is_asked_for(&self, task: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.asked.iter().any(|step| task.starts_with(step.as_str()))
    }

    /// Returns whether a ticket is valid for a task on a minion.
    pub fn is_valid(&self, task: &str, minion: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let state = self.state.lock().unwrap();
        let tickets = state.tickets.get(&(step.to_owned(), minion.to_owned()));
        tickets.is_some_and(|tickets| tickets.iter().any(|(known, until)| known == ticket && Instant::now() < *until))
    }
}
