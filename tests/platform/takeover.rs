//! Time without a start of a job after processes are lost, with and without the owner (issue 37).
//!
//! Eight jobs of four steps run on a worker each; the processes are killed in the middle of the second step. The bounds
//! hold for each job that has no run on the lost machine at that time.

mod starts;

use std::time::{Duration, Instant};

use platform_standin::{Client, Deployment, Result, RunRecord, Target, TaskBody};
use tokio::sync::Semaphore;

use self::starts::Starts;
use crate::start_deployment;

const ENTRIES: usize = 3;
const AGENTS: usize = 8;
const STEPS: u32 = 4;
const STEP: Duration = Duration::from_millis(1_500);
/// Accelerators of a worker, so that no two tasks fit on one.
const WORKER_ACCELERATORS: u32 = 8;
/// Time from the first start to the loss.
const LOSS_AFTER: Duration = Duration::from_millis(2_200);
/// Length of the silence of a worker.
const SILENCE: Duration = Duration::from_secs(8);
/// Time after which another entry replaces a lost owner: its lease.
const TIME_TO_REPLACE_OWNER: Duration = Duration::from_secs(2);
/// Time in which a task whose turn has come starts while a worker is free; it runs from the begin of a new owner, which
/// sends its first order no earlier.
const TIME_TO_START: Duration = Duration::from_secs(3);
const OUTCOME_TIMEOUT: Duration = Duration::from_mins(1);
/// Limits the load, because these tests measure times.
static RUNNING_TESTS: Semaphore = Semaphore::const_new(3);

/// What is lost besides the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Nothing,
    Worker,
    /// The worker is up but neither carries out nor answers calls for [`SILENCE`].
    WorkerSilent,
    Agent,
    AgentPaused,
    AgentAndWorker,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    owner_lost: bool,
    loss: Loss,
    jobs: usize,
}

impl Case {
    /// Returns the maximum time between two starts of a job that has no run on the lost machine.
    fn max_gap(self) -> Duration {
        let takeover = if self.owner_lost {
            TIME_TO_REPLACE_OWNER
        } else {
            Duration::ZERO
        };
        STEP + takeover + TIME_TO_START
    }

    fn inject(self, deployment: &mut Deployment, machine: usize) -> Result<()> {
        if self.owner_lost {
            deployment.kill(deployment.last_ownership()?.entry);
        }
        match self.loss {
            Loss::Nothing => {}
            Loss::Worker => deployment.workers[machine].crash(),
            Loss::WorkerSilent => deployment.workers[machine].fall_silent(SILENCE),
            Loss::Agent => deployment.kill(Target::Agent(machine)),
            Loss::AgentPaused => deployment.signal(Target::Agent(machine), "STOP")?,
            Loss::AgentAndWorker => {
                deployment.kill(Target::Agent(machine));
                deployment.workers[machine].crash();
            }
        }
        Ok(())
    }
}

/// Returns the machine to lose: the one of the idle worker if there is one, or else any.
fn choose_machine(runs: &[RunRecord], at: Instant) -> usize {
    let is_idle = |index: &usize| {
        let worker = format!("worker-{index}");
        !runs
            .iter()
            .any(|run| *run.worker == *worker && run.is_active_at(at))
    };
    (0..AGENTS).find(is_idle).unwrap_or(0)
}

async fn submit_jobs(client: &Client, jobs: usize) -> Result<Vec<String>> {
    let body = TaskBody {
        run_ms: u64::try_from(STEP.as_millis())?,
        gpu: WORKER_ACCELERATORS,
        predecessors: 1,
        ..TaskBody::default()
    };
    let ids: Vec<String> = (0..jobs).map(|n| format!("{:016x}", 0xe000 + n)).collect();
    let submissions = ids.iter().map(|id| {
        let (client, id, job) = (client.clone(), id.clone(), Client::job(STEPS, 1, &body));
        tokio::spawn(async move { client.submit("batch", &id, &job).await })
    });
    for submission in submissions.collect::<Vec<_>>() {
        let (accepted, _) = submission.await?;
        assert!(accepted);
    }
    Ok(ids)
}

/// Plays a case and checks each job that has no run on the lost machine.
async fn check(name: &str, case: Case) -> Result<()> {
    let _permit = RUNNING_TESTS.acquire().await?;
    let mut deployment = start_deployment(name, ENTRIES, AGENTS).await?;
    let client = deployment.client()?;
    let jobs = submit_jobs(&client, case.jobs).await?;
    while !jobs.iter().all(|job| deployment.checker.has_started(job)) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let first_start = deployment.checker.runs()[0].started_at;
    tokio::time::sleep_until((first_start + LOSS_AFTER).into()).await;
    let lost_at = Instant::now();
    let machine = choose_machine(&deployment.checker.runs(), lost_at);
    case.inject(&mut deployment, machine)?;
    let mut failures = Vec::new();
    for job in &jobs {
        let outcome = client.outcome("batch", job, OUTCOME_TIMEOUT).await;
        if outcome != "completed" {
            failures.push(format!("{job} is {outcome}"));
        }
    }
    let lost_worker = (case.loss != Loss::Nothing).then(|| format!("worker-{machine}"));
    let starts = Starts::new(deployment.checker.runs(), lost_worker, AGENTS);
    println!(
        "{name}: longest time without a start of any job {:?}",
        starts.longest_gap()
    );
    let takeover = case.owner_lost.then(|| deployment.last_ownership());
    let takeover = takeover.transpose()?.map(|owner| owner.began_at);
    for job in &jobs {
        let gap = starts.longest_gap_of(job);
        let is_affected = starts.was_on_lost_worker(job, lost_at);
        println!("{name}: {job} affected={is_affected} longest time between starts {gap:?}");
        if is_affected {
            continue;
        }
        if gap > case.max_gap() {
            failures.push(format!("{job} had no start for {gap:?}"));
        }
        let wait = takeover.map(|at| starts.wait_for_free_worker_since(job, at));
        let wait = wait.transpose()?.unwrap_or_default();
        println!("{name}: {job} waited for {wait:?} after the takeover while a worker was free");
        if wait > TIME_TO_START {
            failures.push(format!("{job} waited for {wait:?} after the takeover"));
        }
    }
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

macro_rules! takeover_tests {
    ($($(#[$doc:meta])* $name:ident: $owner_lost:literal, $loss:expr, $jobs:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() -> Result<()> {
                let case = Case { owner_lost: $owner_lost, loss: $loss, jobs: $jobs };
                check(stringify!($name), case).await
            }
        )*
    };
}

takeover_tests! {
    /// Guards against a delay between the steps of a job without any fault.
    loss_of_nothing_starts_jobs: false, Loss::Nothing, AGENTS;
    /// Guards against jobs that wait after the loss of the owner.
    takeover_alone_starts_jobs: true, Loss::Nothing, AGENTS;
    /// Guards against jobs that wait for a lost worker that runs none of their tasks.
    loss_of_worker_starts_other_jobs: false, Loss::Worker, AGENTS;
    /// Guards against a new owner that holds jobs for a lost worker that runs none of their tasks.
    takeover_beside_lost_worker_starts_other_jobs: true, Loss::Worker, AGENTS;
    /// Guards against a new owner that holds jobs for a silent worker that runs none of their tasks.
    takeover_beside_silent_worker_starts_other_jobs: true, Loss::WorkerSilent, AGENTS;
    /// Guards against a new owner that holds all jobs until the leases of one lost agent have lapsed.
    takeover_beside_lost_agent_starts_other_jobs: true, Loss::Agent, AGENTS;
    /// Guards against a new owner that holds all jobs until the leases of one paused agent have lapsed.
    takeover_beside_paused_agent_starts_other_jobs: true, Loss::AgentPaused, AGENTS;
    /// Guards against a new owner that holds all jobs for one lost machine.
    takeover_beside_lost_agent_and_worker_starts_other_jobs: true, Loss::AgentAndWorker, AGENTS;
    /// Guards against a new owner that holds all jobs for one lost machine that had no task.
    takeover_beside_lost_agent_and_idle_worker_starts_other_jobs: true, Loss::AgentAndWorker, AGENTS - 1;
}
