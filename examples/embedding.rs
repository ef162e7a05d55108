//! Uses the scheduling code without the daemons: a cell with two workers, a guarantee, and a reclaim.
//!
//! Run with `cargo run --example embedding`. The program simulates the effects that the daemons have on the cell: it
//! confirms each reservation and reports each stopped gang.

use std::sync::Arc;
use std::time::{Duration, Instant};

use limpethook::board::{Agent, Board};
use limpethook::model::{
    Account, Adjacency, Announced, Endpoint, Location, Request, Resources, Shape, Worker,
};
use limpethook::placement::{Action, Event, GangEnd, Strategy, step};

const SECOND: Duration = Duration::from_secs(1);
const EPOCH: u64 = 1;

fn main() {
    let start = Instant::now();
    let board = Board::default();
    configure(&board);
    register_agent(&board, start);
    let mut events = vec![Event::MembershipChanged];

    // The batch account occupies both workers, although one of them is guaranteed to the lens account.
    events.push(Event::Submitted(request(
        1 << 32,
        "batch",
        16,
        Adjacency::Rack,
    )));
    process_events(&board, events, start);

    // The lens account uses its guarantee. The job of the batch account is stopped and queued until capacity is free.
    let claim = Event::Submitted(request(2 << 32, "lens", 8, Adjacency::Worker));
    process_events(&board, vec![claim], start + 10 * SECOND);

    let queue = board.queue.load();
    println!(
        "running: {:?}",
        queue.active.keys().map(|job| job >> 32).collect::<Vec<_>>()
    );
    println!(
        "queued: {:?}",
        queue.queued.keys().map(|job| job >> 32).collect::<Vec<_>>()
    );
    assert!(
        queue.active.contains_key(&(2 << 32)),
        "the guaranteed job runs"
    );
}

/// Processes events and the events that result from the actions, until none are left.
fn process_events(board: &Board, mut events: Vec<Event>, now: Instant) {
    while !events.is_empty() {
        let actions = step(board, Strategy::Guarded, events, now);
        events = actions.iter().filter_map(simulate_action).collect();
    }
}

/// Simulates the effect of an action and returns the event that reports it, if any.
fn simulate_action(action: &Action) -> Option<Event> {
    match action {
        Action::Reserve(gang) => Some(Event::Reserved {
            gang: gang.id,
            epoch: EPOCH,
        }),
        Action::Start(gang) => {
            println!(
                "start job {} on {} workers",
                gang.job >> 32,
                gang.members.len()
            );
            None
        }
        Action::Stop { gang, reason } => {
            println!("stop job {}: {reason:?}", gang.job >> 32);
            Some(Event::Ended {
                gang: gang.id,
                end: GangEnd::Stopped,
            })
        }
        Action::Refuse { job, error } => {
            println!("refuse job {}: {error}", job >> 32);
            None
        }
        Action::Release(_) | Action::Free { .. } => None,
    }
}

fn configure(board: &Board) {
    board.config.update(|config| {
        let guarantee = shape(8, Adjacency::Worker);
        let lens = Account {
            guarantees: vec![guarantee],
            ..Account::default()
        };
        config.document.accounts.insert("lens".into(), lens);
        config
            .document
            .accounts
            .insert("batch".into(), Account::default());
    });
}

/// Registers one agent with an endpoint and two workers of 8 accelerators each.
fn register_agent(board: &Board, now: Instant) {
    let location = Location {
        region: "caribe".into(),
        data_centre: "caribe-1".into(),
        rack: "r1".into(),
    };
    let worker = |number: u32| Worker {
        id: format!("worker-{number}").into(),
        agent: "agent-1".into(),
        location: location.clone(),
        capacity: Resources {
            accelerators: 8,
            cores: 64,
            memory_mb: 131_072,
        },
    };
    let addr = ([127, 0, 0, 1], 1).into();
    let agent = Agent {
        id: "agent-1".into(),
        addr,
        incarnation: 1,
        workers: vec![worker(1), worker(2)],
        last_seen: now,
        config_revision: 0,
    };
    let endpoint = Endpoint {
        id: "workshop-1".into(),
        agent: "agent-1".into(),
        agent_addr: addr,
        incarnation: 1,
        service: "workshop".into(),
        location: location.clone(),
        slots: 8,
        state: Announced { at: now },
    };
    board.membership.update(|membership| {
        membership.agents.insert(agent.id.clone(), Arc::new(agent));
        membership
            .serving
            .insert(endpoint.id.clone(), Arc::new(endpoint.serve(8, now)));
    });
}

fn shape(tasks: u32, adjacency: Adjacency) -> Shape {
    Shape {
        tasks,
        accelerators: 1,
        cores: 2,
        memory_mb: 1024,
        adjacency,
    }
}

fn request(id: u128, account: &str, tasks: u32, adjacency: Adjacency) -> Arc<Request> {
    Arc::new(Request {
        id,
        account: account.into(),
        service: "workshop".into(),
        shape: Some(shape(tasks, adjacency)),
        idempotent: true,
        stoppable: false,
        timeout: 3600 * SECOND,
        declared_run_time: None,
    })
}
