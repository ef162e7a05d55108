//! Processes beside clients that send complete requests, which nobody may close to make room.
//!
//! The bounds of the settings hold for each process of the deployment: the entry that the clients reach, the owner, the others
//! and the agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::join_all;
use platform_standin::{Deployment, OTHER_TOKEN, Port, Result, Target};
use reqwest::StatusCode;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::crowd::Kind;
use crate::requests::{Manner, Request, send_row};
use crate::{
    ANSWER_TIMEOUT, ATTEMPT_TIMEOUT, RETRY_DELAY, process, start_entries, wait_until_answered,
};

/// Clients of a crowd, more than the descriptors in the settings leave for clients.
const CROWD_SIZE: usize = 500;
/// Clients that send long rows of small requests.
const ROW_CROWD_SIZE: usize = 40;
/// Entries of a deployment in which the owner and the others are told apart.
const ENTRIES: usize = 3;
/// Waves of a mixed crowd.
const WAVES: usize = 3;
/// Time from the begin of a wave to that of the next one, less than a wave takes.
const WAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Which entries the clients reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Through {
    Owner,
    Others,
    All,
}

impl Through {
    fn entries(self, deployment: &Deployment) -> Result<Vec<Target>> {
        let targets = deployment.targets().into_iter();
        let entries = targets.filter(|target| matches!(target, Target::Entry(_)));
        let owner = deployment.last_ownership()?.entry;
        Ok(match self {
            Self::All => entries.collect(),
            Self::Owner => vec![owner],
            Self::Others => entries.filter(|entry| *entry != owner).collect(),
        })
    }
}

/// A crowd whose clients all send the same requests.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    port: Port,
    request: Request,
    manner: Manner,
    clients: usize,
    /// Requests of each client, on one connection.
    row: usize,
}

impl Crowd {
    const fn of(request: Request) -> Self {
        Self {
            port: Port::Clients,
            request,
            manner: Manner::InTurn,
            clients: CROWD_SIZE,
            row: 1,
        }
    }

    const fn in_rows(self, clients: usize, row: usize) -> Self {
        Self {
            clients,
            row,
            ..self
        }
    }

    const fn unread(self) -> Self {
        Self {
            manner: Manner::Unread,
            ..self
        }
    }

    const fn on(self, port: Port) -> Self {
        Self { port, ..self }
    }

    /// Connects all clients, spread over the addresses.
    fn connect(self, addrs: &[SocketAddr]) -> Vec<JoinHandle<Option<TcpStream>>> {
        let clients = (0..self.clients).zip(addrs.iter().cycle());
        let senders = clients.map(|(client, addr)| {
            // Different crowds use different numbers, so that their jobs are different ones.
            let first = ((self.request as usize) << 32) + client * self.row + 1;
            let numbers = first..first + self.row;
            tokio::spawn(send_row(*addr, self.request, self.manner, numbers))
        });
        senders.collect()
    }
}

/// Submits an ordinary job of a client account that has no part in the crowd, until it is accepted.
async fn is_job_accepted(deployment: &Deployment, entries: &[Target]) -> Result<bool> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(ATTEMPT_TIMEOUT)
        .build()?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    for attempt in 0_u64.. {
        if Instant::now() > deadline {
            break;
        }
        let entry = entries[fastrand::usize(..entries.len())];
        let addr = deployment.addr(entry, Port::Clients);
        let req = http
            .post(format!("http://{addr}/batch/{:016x}", u64::MAX - attempt))
            .header("Host", "queues.example")
            .header("X-Deadline-Milliseconds", "3000")
            .bearer_auth(OTHER_TOKEN)
            .body(Request::SmallJob.job());
        let answer = req.send().await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            return Ok(true);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(false)
}

/// Checks that all processes live within the limits of their settings, and that ordinary requests are answered.
async fn check_processes(name: &str, deployment: &mut Deployment, port: Port) -> Result<()> {
    let targets: Vec<Target> = deployment.targets();
    let mut entries = Vec::new();
    for target in &targets {
        if let Some(id) = deployment.process_id(*target) {
            process::wait_until_settled(id).await;
            if matches!(target, Target::Entry(_)) {
                entries.push(*target);
            }
        }
    }
    let answered = wait_until_answered(deployment, port).await?;
    let accepted = is_job_accepted(deployment, &entries).await?;
    let mut statuses = Vec::new();
    for target in targets {
        if let Some(id) = deployment.process_id(target) {
            statuses.push((target, process::status(id)));
        }
    }
    println!("{name}: answered={answered} accepted={accepted} {statuses:?}");
    assert!(answered, "an ordinary request is answered beside the crowd");
    for (target, status) in statuses {
        process::check_limits(&format!("{target:?}"), status)?;
    }
    assert!(accepted, "an ordinary job is accepted beside the crowd");
    Ok(())
}

/// Connects crowds one after the other and checks the processes after each of them.
async fn check(name: &str, through: Option<Through>, crowds: &[Crowd]) -> Result<()> {
    let count = if through.is_some() { ENTRIES } else { 1 };
    let (_guard, mut deployment) = start_entries(name, count).await?;
    assert!(
        wait_until_answered(&deployment, Port::Clients).await?,
        "an ordinary request is answered before the crowd"
    );
    let entries = through.unwrap_or(Through::All).entries(&deployment)?;
    let mut open = Vec::new();
    for crowd in crowds {
        let addrs: Vec<SocketAddr> = match crowd.port {
            Port::Announcements => vec![deployment.addr(Target::Agent(0), crowd.port)],
            port => entries
                .iter()
                .map(|entry| deployment.addr(*entry, port))
                .collect(),
        };
        open.push(join_all(crowd.connect(&addrs)).await);
        check_processes(name, &mut deployment, crowd.port).await?;
    }
    drop(open);
    Ok(())
}

/// Defines a test for crowds that follow each other.
macro_rules! check_crowds {
    ($($(#[$doc:meta])* $name:ident: $through:expr, $crowds:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() -> Result<()> {
                check(stringify!($name), $through, &$crowds).await
            }
        )*
    };
}

/// A crowd that submits 8,000 small jobs one after the other.
const SMALL_JOBS: Crowd = Crowd::of(Request::SmallJob).in_rows(ROW_CROWD_SIZE, 200);
/// A crowd that submits 20,000 jobs which stay.
const LASTING_JOBS: Crowd = Crowd::of(Request::LastingJob).in_rows(ROW_CROWD_SIZE, 300);
/// The same with jobs that wait for room and have the largest specification.
const WAITING_JOBS: Crowd = Crowd::of(Request::WaitingJob).in_rows(ROW_CROWD_SIZE, 200);

check_crowds! {
    /// Guards against decoded jobs that are not counted: a body of 252 kB becomes some megabytes in the entry and the owner.
    complete_bounds_jobs_of_many_steps: None, [Crowd::of(Request::ManySteps)];
    /// Guards against the same with bodies of 12 kB.
    complete_bounds_jobs_of_some_steps: None, [Crowd::of(Request::SomeSteps)];
    /// Guards against small bodies of jobs that the owner unfolds into 65,536 tasks.
    complete_bounds_jobs_of_many_tasks: None, [Crowd::of(Request::ManyTasks)];
    /// Guards against the same with occurrences that are all due.
    complete_bounds_jobs_of_many_occurrences: None, [Crowd::of(Request::ManyOccurrences)];
    /// Guards against specifications that are copied for each task on the way to the worker.
    complete_bounds_jobs_of_large_specifications: None, [Crowd::of(Request::LargeSpecification)];
    /// Guards against small jobs without number, in the owner and at the agent.
    complete_bounds_small_jobs_in_turn: None, [SMALL_JOBS];
    /// Guards against jobs that stay in the owner, and against runs that stay at the agent.
    complete_bounds_lasting_jobs_in_turn: None, [LASTING_JOBS];
    /// Guards against jobs that wait in the owner.
    complete_bounds_waiting_jobs_in_turn: None, [WAITING_JOBS];
    /// Guards against rows of requests on one connection, each of which costs a connection to the store.
    complete_bounds_small_jobs_in_rows: None, [Crowd::of(Request::SmallJob).in_rows(CROWD_SIZE, 20).unread()];
    /// Guards against the same with queries of jobs, which read the store.
    complete_bounds_states_in_rows: None, [Crowd::of(Request::State).in_rows(CROWD_SIZE, 20).unread()];
    /// Guards against cancellations of unknown jobs, each of which leaves a record and a lease.
    complete_bounds_cancellations_in_rows: None, [Crowd::of(Request::Cancellation).in_rows(CROWD_SIZE, 40).unread()];
    /// Guards against answers that are kept for clients that do not read them.
    complete_bounds_unread_pages: None, [Crowd::of(Request::Page).in_rows(CROWD_SIZE, 200).unread().on(Port::Metrics)];
    /// Guards against announcements that cost an agent many times their size.
    complete_bounds_announcements_of_many_labels: None, [Crowd::of(Request::ManyLabels).on(Port::Announcements)];

    /// Guards against jobs that entries store although the owner has no room for them.
    complete_through_others_bounds_owner: Some(Through::Others), [Crowd::of(Request::ManySteps), LASTING_JOBS];
    /// Guards against the same at the owner itself.
    complete_through_owner_bounds_owner: Some(Through::Owner), [Crowd::of(Request::ManyTasks), SMALL_JOBS];
    /// Guards against crowds that use up what the ones before have left.
    complete_bounds_crowds_in_turn: Some(Through::All),
        [Crowd::of(Request::SomeSteps), SMALL_JOBS, WAITING_JOBS];
}

/// Guards against jobs that a new owner reads back without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn complete_bounds_owner_after_takeover() -> Result<()> {
    let name = "complete_bounds_owner_after_takeover";
    let (_guard, mut deployment) = start_entries(name, ENTRIES).await?;
    let entries = Through::All.entries(&deployment)?;
    let addrs: Vec<SocketAddr> = entries
        .iter()
        .map(|entry| deployment.addr(*entry, Port::Clients))
        .collect();
    for crowd in [WAITING_JOBS, Crowd::of(Request::SomeSteps), LASTING_JOBS] {
        join_all(crowd.connect(&addrs)).await;
    }
    for _ in 1..ENTRIES {
        let owner = deployment.last_ownership()?.entry;
        deployment.kill(owner);
        // The first entry answers the ordinary requests, so that it always runs.
        if owner == Target::Entry(0) {
            deployment.launch(owner)?;
        }
        check_processes(name, &mut deployment, Port::Clients).await?;
    }
    Ok(())
}

/// Guards against stalling and complete requests that use up together what each kind leaves.
#[tokio::test(flavor = "multi_thread")]
async fn complete_bounds_mixed_waves() -> Result<()> {
    let name = "complete_bounds_mixed_waves";
    let (_guard, mut deployment) = start_entries(name, 1).await?;
    assert!(wait_until_answered(&deployment, Port::Clients).await?);
    let addr = deployment.addr(Target::Entry(0), Port::Clients);
    let mut senders = Vec::new();
    for _ in 0..WAVES {
        for kind in [Kind::EndlessHeads, Kind::WholeBodies, Kind::LargeChunks] {
            let clients = 0..CROWD_SIZE / 5;
            senders
                .extend(clients.map(|client| tokio::spawn(kind.send(addr, Port::Clients, client))));
        }
        for crowd in [
            Crowd::of(Request::ManySteps).in_rows(CROWD_SIZE / 5, 1),
            Crowd::of(Request::SmallJob)
                .in_rows(CROWD_SIZE / 5, 20)
                .unread(),
        ] {
            senders.extend(crowd.connect(&[addr]));
        }
        tokio::time::sleep(WAVE_INTERVAL).await;
    }
    let open = join_all(senders).await;
    check_processes(name, &mut deployment, Port::Clients).await?;
    drop(open);
    Ok(())
}

/// Guards against limits that a single request within the documented ones meets in calm.
#[tokio::test(flavor = "multi_thread")]
async fn complete_serves_single_requests() -> Result<()> {
    let name = "complete_serves_single_requests";
    for request in [
        Request::ManySteps,
        Request::ManyTasks,
        Request::ManyOccurrences,
        Request::WaitingJob,
    ] {
        let (_guard, mut deployment) = start_entries(name, 1).await?;
        assert!(wait_until_answered(&deployment, Port::Clients).await?);
        let addr = deployment.addr(Target::Entry(0), Port::Clients);
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(ATTEMPT_TIMEOUT)
            .build()?;
        let req = http
            .post(format!("http://{addr}/batch/{:016x}", 1))
            .header("Host", "queues.example")
            .bearer_auth("token-faro")
            .body(request.job());
        assert_eq!(req.send().await?.status(), StatusCode::OK, "{request:?}");
        check_processes(
            &format!("{name} {request:?}"),
            &mut deployment,
            Port::Clients,
        )
        .await?;
    }
    Ok(())
}
