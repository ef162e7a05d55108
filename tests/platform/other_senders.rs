//! Announcements of other senders that reach the real daemons in the names of workers.

use std::time::Duration;

use platform_standin::{Client, Deployment, OtherAnnouncement, Result, Target, TaskBody};

use crate::start_deployment;

const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which submitted tasks start.
const START_TIME: Duration = Duration::from_millis(800);
/// How long a worker answers nothing; several polls time out.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Starts a job of ten tasks that run for five seconds, on two workers.
pub(crate) async fn start_tasks(deployment: &Deployment, id: &str) -> Result<Client> {
    let client = deployment.client()?;
    let body = TaskBody {
        run_ms: 5_000,
        gpu: 1,
        ..TaskBody::default()
    };
    let job = Client::job(1, 10, &body);
    assert!(client.submit("batch", id, &job).await.0);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(deployment.checker.start_count(), 10);
    Ok(client)
}

/// Checks that each task has run exactly once, and that all workers are used again afterwards.
pub(crate) async fn check_single_runs(deployment: &Deployment, client: &Client, id: &str) {
    let outcome = client.outcome("batch", id, OUTCOME_TIMEOUT).await;
    assert_eq!(outcome, "completed");
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    assert_eq!(deployment.checker.start_count(), 10);
    // Needs all accelerators of both workers.
    let body = TaskBody {
        run_ms: 1_000,
        gpu: 8,
        gang: 2,
        ..TaskBody::default()
    };
    let next = "00000000000000ff";
    assert!(
        client
            .submit("batch", next, &Client::job(1, 2, &body))
            .await
            .0
    );
    let outcome = client.outcome("batch", next, OUTCOME_TIMEOUT).await;
    assert_eq!(outcome, "completed", "a worker is not used any more");
}

async fn run_beside(
    name: &str,
    announcement: OtherAnnouncement,
    silence: Option<Duration>,
) -> Result<()> {
    let deployment = start_deployment(name, 2, 2).await?;
    let id = "00000000000000f0";
    let client = start_tasks(&deployment, id).await?;
    if let Some(silence) = silence {
        deployment.workers[0].fall_silent(silence);
    }
    for _ in 0..8 {
        // The agent may not acknowledge the announcement.
        announcement.send(&deployment.workers[0]).await?;
        tokio::time::sleep(SILENCE / 10).await;
    }
    check_single_runs(&deployment, &client, id).await;
    Ok(())
}

/// Guards against tasks that run twice, and a worker that is ignored for good, after another sender announced a later process
/// of a worker.
#[tokio::test(flavor = "multi_thread")]
async fn announce_later_process_keeps_runs() -> Result<()> {
    run_beside(
        "announce_later_process_keeps_runs",
        OtherAnnouncement::LaterProcess,
        None,
    )
    .await
}

/// Guards against the same with a service that nobody has configured.
#[tokio::test(flavor = "multi_thread")]
async fn announce_later_process_of_unknown_service_keeps_runs() -> Result<()> {
    let announcement = OtherAnnouncement::LaterProcessOfUnknownService;
    run_beside(
        "announce_later_process_of_unknown_service_keeps_runs",
        announcement,
        None,
    )
    .await
}

/// Guards against the same while the worker answers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn announce_later_process_beside_silence_keeps_runs() -> Result<()> {
    let announcement = OtherAnnouncement::LaterProcess;
    run_beside(
        "announce_later_process_beside_silence_keeps_runs",
        announcement,
        Some(SILENCE),
    )
    .await
}

/// Guards against the same while the worker answers nothing, with a service that nobody has configured.
#[tokio::test(flavor = "multi_thread")]
async fn announce_later_process_of_unknown_service_beside_silence_keeps_runs() -> Result<()> {
    let name = "announce_later_process_of_unknown_service_beside_silence_keeps_runs";
    let announcement = OtherAnnouncement::LaterProcessOfUnknownService;
    run_beside(name, announcement, Some(SILENCE)).await
}

/// Guards against a worker that loses its runs or its capacity through a sender that names a service which nobody has
/// configured.
#[tokio::test(flavor = "multi_thread")]
async fn announce_unknown_service_keeps_worker() -> Result<()> {
    run_beside(
        "announce_unknown_service_keeps_worker",
        OtherAnnouncement::UnknownService,
        None,
    )
    .await
}

/// Guards against a worker that counts as leaving because another sender said so.
#[tokio::test(flavor = "multi_thread")]
async fn announce_departure_keeps_worker() -> Result<()> {
    run_beside(
        "announce_departure_keeps_worker",
        OtherAnnouncement::Departure,
        None,
    )
    .await
}

/// Guards against an agent that ends or stops following its worker after announcements that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn announce_unreadable_keeps_runs() -> Result<()> {
    let announcement = OtherAnnouncement::Unreadable;
    run_beside(
        "announce_unreadable_keeps_runs",
        announcement,
        Some(SILENCE),
    )
    .await
}

/// Guards against an announcement without most of its fields that replaces what the worker said.
#[tokio::test(flavor = "multi_thread")]
async fn announce_incomplete_keeps_worker() -> Result<()> {
    run_beside(
        "announce_incomplete_keeps_worker",
        OtherAnnouncement::Incomplete,
        None,
    )
    .await
}

/// Sends announcements one after the other beside running tasks, while the worker answers.
async fn run_beside_all(name: &str, announcements: &[OtherAnnouncement]) -> Result<()> {
    let deployment = start_deployment(name, 2, 2).await?;
    let id = "00000000000000f0";
    let client = start_tasks(&deployment, id).await?;
    for announcement in announcements {
        // The agent may not acknowledge the announcement.
        announcement.send(&deployment.workers[0]).await?;
        tokio::time::sleep(SILENCE / 10).await;
    }
    check_single_runs(&deployment, &client, id).await;
    Ok(())
}

/// Guards against an agent that ends or stops following its worker after an announcement with one odd field.
#[tokio::test(flavor = "multi_thread")]
async fn announce_odd_fields_keeps_worker() -> Result<()> {
    let announcements = [
        OtherAnnouncement::InvalidText,
        OtherAnnouncement::DeepNesting,
        OtherAnnouncement::NumberOutOfRange,
        OtherAnnouncement::MistypedFields,
        OtherAnnouncement::MistypedBorn,
        OtherAnnouncement::UnknownState,
    ];
    run_beside_all("announce_odd_fields_keeps_worker", &announcements).await
}

/// Guards against a worker that loses its runs or its capacity through a late announcement of a process that has ended.
#[tokio::test(flavor = "multi_thread")]
async fn announce_ended_process_keeps_worker() -> Result<()> {
    let announcements = [
        OtherAnnouncement::EarlierProcess,
        OtherAnnouncement::EndedProcess,
    ];
    run_beside_all("announce_ended_process_keeps_worker", &announcements).await
}

/// Guards against a worker that loses its runs or its capacity through an address with a port out of range.
#[tokio::test(flavor = "multi_thread")]
async fn announce_port_out_of_range_keeps_worker() -> Result<()> {
    let announcements = [OtherAnnouncement::PortOutOfRange];
    run_beside_all("announce_port_out_of_range_keeps_worker", &announcements).await
}

/// Guards against a worker that loses its runs or its capacity through an announcement under the name of another worker.
#[tokio::test(flavor = "multi_thread")]
async fn announce_name_of_another_worker_keeps_worker() -> Result<()> {
    let announcements = [OtherAnnouncement::NameOfAnotherWorker];
    run_beside_all(
        "announce_name_of_another_worker_keeps_worker",
        &announcements,
    )
    .await
}

/// Sends an announcement to an agent that starts again while its worker answers and announces nothing.
async fn run_beside_restarted_agent(name: &str, announcement: OtherAnnouncement) -> Result<()> {
    let mut deployment = start_deployment(name, 2, 2).await?;
    let id = "00000000000000f0";
    let client = start_tasks(&deployment, id).await?;
    deployment.kill(Target::Agent(0));
    deployment.workers[0].fall_silent(SILENCE);
    deployment.workers[0].hold_announcements(SILENCE);
    deployment.launch(Target::Agent(0))?;
    for _ in 0..8 {
        // A failure is ignored because the agent may not listen yet.
        let _ = announcement.send(&deployment.workers[0]).await;
        tokio::time::sleep(SILENCE / 10).await;
    }
    check_single_runs(&deployment, &client, id).await;
    Ok(())
}

/// Guards against tasks that run twice after a late announcement of an ended process reached an agent that had just started
/// and could not poll its worker.
#[tokio::test(flavor = "multi_thread")]
async fn announce_earlier_process_to_restarted_agent_keeps_runs() -> Result<()> {
    let name = "announce_earlier_process_to_restarted_agent_keeps_runs";
    run_beside_restarted_agent(name, OtherAnnouncement::EarlierProcess).await
}

/// Guards against the same after an announcement of a later process.
#[tokio::test(flavor = "multi_thread")]
async fn announce_later_process_to_restarted_agent_keeps_runs() -> Result<()> {
    let name = "announce_later_process_to_restarted_agent_keeps_runs";
    run_beside_restarted_agent(name, OtherAnnouncement::LaterProcess).await
}
