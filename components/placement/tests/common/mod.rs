//! Shared fixtures: boards, requests and functions that read actions.
#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Board};
use model::{
    Account, Adjacency, Endpoint, Gang, Location, Request, Resources, Running, Serving, Shape,
    Worker,
};
use placement::{Action, Event, GangEnd, StopReason, Strategy, step};

pub(crate) const HOUR: Duration = Duration::from_hours(1);

/// The board of a cell, with a strategy and a clock that tests control.
pub(crate) struct Cell {
    pub(crate) board: Board,
    pub(crate) now: Instant,
    pub(crate) strategy: Strategy,
    next_id: u128,
}

pub(crate) fn shape(tasks: u32, accelerators: u32, adjacency: Adjacency) -> Shape {
    Shape {
        tasks,
        accelerators,
        cores: accelerators.max(1),
        memory_mb: 1,
        adjacency,
    }
}

pub(crate) fn worker(number: usize) -> Worker {
    let id_text = |prefix: &str, n: usize| -> Box<str> { format!("{prefix}{n:05}").into() };
    Worker {
        id: id_text("w", number),
        agent: id_text("a", number),
        location: Location {
            region: id_text("r", number / 24),
            data_centre: id_text("d", number / 12),
            rack: id_text("k", number / 3),
        },
        capacity: Resources {
            accelerators: 8,
            cores: 64,
            memory_mb: 1000,
        },
    }
}

impl Cell {
    /// Creates a cell of 8-accelerator workers, three to a rack, twelve to a data centre, 24 to a region.
    pub(crate) fn new(workers: usize) -> Self {
        let mut cell = Self {
            board: Board::default(),
            now: Instant::now(),
            strategy: Strategy::Guarded,
            next_id: 1,
        };
        cell.set_workers(&(0..workers).collect::<Vec<_>>());
        cell
    }

    pub(crate) fn set_workers(&mut self, numbers: &[usize]) -> Vec<Action> {
        let now = self.now;
        self.board.membership.update(|membership| {
            membership.agents.clear();
            for number in numbers {
                let worker = worker(*number);
                let agent = Agent {
                    id: worker.agent.clone(),
                    addr: ([127, 0, 0, 1], 1).into(),
                    incarnation: 1,
                    workers: vec![worker],
                    last_seen: now,
                    config_revision: 0,
                };
                membership.agents.insert(agent.id.clone(), Arc::new(agent));
            }
            let endpoint = Endpoint {
                id: "e".into(),
                agent: "a00000".into(),
                agent_addr: ([127, 0, 0, 1], 1).into(),
                incarnation: 1,
                service: "lens".into(),
                location: worker(0).location,
                slots: 100_000,
                state: Serving {
                    free: 100_000,
                    last_heartbeat: now,
                },
            };
            membership.serving.insert("e".into(), Arc::new(endpoint));
        });
        self.step(vec![Event::MembershipChanged])
    }

    pub(crate) fn guarantee(&mut self, account: &str, shapes: &[Shape]) -> Vec<Action> {
        self.board.config.update(|config| {
            let guarantees = shapes.to_vec();
            let account_cfg = Account {
                guarantees,
                ..Account::default()
            };
            let accounts = &mut config.document.accounts;
            accounts.insert(account.into(), account_cfg);
        });
        self.step(vec![Event::ConfigChanged])
    }

    pub(crate) fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        step(&self.board, self.strategy, events, self.now)
    }

    /// Returns a new job id. The ids are 2^32 apart, because the id of a gang is that of its job plus the attempt
    /// number.
    pub(crate) fn new_id(&mut self) -> u128 {
        self.next_id += 1;
        self.next_id << 32
    }

    /// Returns a non-preemptible request.
    pub(crate) fn request(&mut self, account: &str, shape: Shape) -> Request {
        Request {
            id: self.new_id(),
            account: account.into(),
            service: "lens".into(),
            shape: Some(shape),
            idempotent: false,
            stoppable: false,
            timeout: HOUR,
            declared_run_time: Some(HOUR),
        }
    }

    pub(crate) fn submit(&mut self, request: Request) -> Vec<Action> {
        self.step(vec![Event::Submitted(Arc::new(request))])
    }

    /// Submits a job, confirms its reservation and returns its running gang.
    pub(crate) fn run(&mut self, request: Request) -> Arc<Gang<Running>> {
        let actions = self.submit(request);
        self.confirm(&actions);
        let fleet = self.board.fleet.load();
        let (_, gang) = fleet.running.last().expect("no gang is running");
        Arc::clone(gang)
    }

    /// Confirms every reservation among the actions.
    pub(crate) fn confirm(&mut self, actions: &[Action]) -> Vec<Action> {
        let events = reserved(actions)
            .into_iter()
            .map(|gang| Event::Reserved { gang, epoch: 1 })
            .collect();
        self.step(events)
    }

    pub(crate) fn end(&mut self, gang: u128, end: GangEnd) -> Vec<Action> {
        self.step(vec![Event::Ended { gang, end }])
    }
}

/// Returns the gangs whose members are to be reserved.
pub(crate) fn reserved(actions: &[Action]) -> Vec<u128> {
    let gang = |action: &Action| match action {
        Action::Reserve(gang) => Some(gang.id),
        _ => None,
    };
    actions.iter().filter_map(gang).collect()
}

/// Returns the jobs for which a gang was planned.
pub(crate) fn placed(actions: &[Action]) -> Vec<u128> {
    let job = |action: &Action| match action {
        Action::Reserve(gang) => Some(gang.job),
        _ => None,
    };
    actions.iter().filter_map(job).collect()
}

/// Returns the gangs to stop for a guarantee.
pub(crate) fn reclaimed(actions: &[Action]) -> Vec<u128> {
    let gang = |action: &Action| match action {
        Action::Stop {
            gang,
            reason: StopReason::Reclaimed,
        } => Some(gang.id),
        _ => None,
    };
    actions.iter().filter_map(gang).collect()
}
