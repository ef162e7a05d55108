//! Processes of the system beside clients that exceed the limits, on each port that a client reaches.
//!
//! A test checks that the process lives, that its memory and its open descriptors stay within the limits of its settings, and
//! that an ordinary request is answered while the crowd is still connected.

mod complete;
mod crowd;
mod native;
mod process;
mod requests;

use std::path::Path;
use std::time::{Duration, Instant};

use futures::future::join_all;
use platform_standin::{Deployment, Port, Result, Target};
use reqwest::{Method, StatusCode};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};

use crate::crowd::Kind;

/// `limits.memoryMb` in the settings, and the bound for the memory of a process.
const MEMORY_MB: u64 = 64;
/// `limits.fileDescriptors` in the settings, and the bound for the open descriptors of a process.
const FILE_DESCRIPTORS: usize = 450;
/// Time in which an ordinary request has to be answered; longer than the idle time of the documented limits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a single attempt of an ordinary request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before another attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Only one crowd at a time.
static RUNNING: Mutex<()> = Mutex::const_new(());

async fn start(name: &str) -> Result<(MutexGuard<'static, ()>, Deployment)> {
    start_entries(name, 1).await
}

/// Starts a deployment with one agent.
async fn start_entries(
    name: &str,
    entries: usize,
) -> Result<(MutexGuard<'static, ()>, Deployment)> {
    let guard = RUNNING.lock().await;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_limpethook"));
    let limits =
        json!({"cpuShare": 1.0, "memoryMb": MEMORY_MB, "fileDescriptors": FILE_DESCRIPTORS});
    let deployment = Deployment::start_limited(program, &dir, entries, 1, limits).await?;
    Ok((guard, deployment))
}

fn target(port: Port) -> Target {
    match port {
        Port::Announcements => Target::Agent(0),
        _ => Target::Entry(0),
    }
}

/// Sends one ordinary request to a port and returns whether it is answered with success.
async fn is_answered(deployment: &Deployment, port: Port) -> Result<bool> {
    let addr = deployment.addr(target(port), port);
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(ATTEMPT_TIMEOUT)
        .build()?;
    let req = match port {
        Port::Clients => {
            let client = deployment.client()?;
            let answer = client.call(0, Method::GET, "/batch/", None).await;
            return Ok(answer.is_some_and(|(status, _)| status == StatusCode::OK));
        }
        Port::Calls => {
            let peers = wire::Peers::new(wire::Key::from_secret("limpethook"));
            let answer = peers
                .call(addr, &wire::Call::CellView, ATTEMPT_TIMEOUT)
                .await;
            return Ok(matches!(answer, Ok(wire::Reply::CellView(_))));
        }
        Port::Readiness => http.get(format!("http://{addr}/")),
        Port::Metrics => http.get(format!("http://{addr}/metrics")),
        Port::Announcements => http
            .put(format!("http://{addr}/instances/worker-0"))
            .json(&deployment.workers[0].announcement(1_000)),
    };
    Ok(req
        .send()
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK))
}

async fn wait_until_answered(deployment: &Deployment, port: Port) -> Result<bool> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < deadline {
        if is_answered(deployment, port).await? {
            return Ok(true);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(false)
}

/// Connects a crowd of one kind to a port and checks the process that serves it.
async fn check(name: &str, port: Port, kind: Kind) -> Result<()> {
    let (_guard, mut deployment) = start(name).await?;
    let target = target(port);
    assert!(
        wait_until_answered(&deployment, port).await?,
        "an ordinary request is answered before the crowd"
    );
    let id = deployment.process_id(target).ok_or("no process")?;
    let addr = deployment.addr(target, port);
    let senders = (0..kind.crowd_size()).map(|index| tokio::spawn(kind.send(addr, port, index)));
    let open: Vec<_> = join_all(senders).await;
    process::wait_until_settled(id).await;
    let answered = wait_until_answered(&deployment, port).await?;
    let status = process::status(id);
    drop(open);
    println!("{name}: answered={answered} {status:?}");
    assert!(answered, "an ordinary request is answered beside the crowd");
    process::check_limits("the process", status)
}

/// Defines a test for a kind of client on a port.
macro_rules! check_clients {
    ($($(#[$doc:meta])* $name:ident: $port:ident, $kind:ident;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() -> Result<()> {
                check(stringify!($name), Port::$port, Kind::$kind).await
            }
        )*
    };
}

check_clients! {
    /// Guards against heads over the limit that use up memory or descriptors of an entry.
    clients_port_bounds_oversized_heads: Clients, OversizedHeads;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_oversized_heads: Readiness, OversizedHeads;
    /// Guards against the same at an agent.
    announcements_port_bounds_oversized_heads: Announcements, OversizedHeads;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_oversized_heads: Calls, OversizedHeads;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_oversized_heads: Metrics, OversizedHeads;

    /// Guards against heads without end that use up memory or descriptors of an entry.
    clients_port_bounds_endless_heads: Clients, EndlessHeads;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_endless_heads: Readiness, EndlessHeads;
    /// Guards against the same at an agent.
    announcements_port_bounds_endless_heads: Announcements, EndlessHeads;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_endless_heads: Calls, EndlessHeads;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_endless_heads: Metrics, EndlessHeads;

    /// Guards against empty lines without end before a request that use up memory or descriptors of an entry.
    clients_port_bounds_empty_lines: Clients, EmptyLines;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_empty_lines: Readiness, EmptyLines;
    /// Guards against the same at an agent.
    announcements_port_bounds_empty_lines: Announcements, EmptyLines;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_empty_lines: Calls, EmptyLines;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_empty_lines: Metrics, EmptyLines;

    /// Guards against many whole bodies of legal size at once that use up memory or descriptors of an entry.
    clients_port_bounds_whole_bodies: Clients, WholeBodies;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_whole_bodies: Readiness, WholeBodies;
    /// Guards against the same at an agent.
    announcements_port_bounds_whole_bodies: Announcements, WholeBodies;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_whole_bodies: Calls, WholeBodies;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_whole_bodies: Metrics, WholeBodies;

    /// Guards against many bodies of legal size that arrive piece by piece and use up memory or descriptors of an entry.
    clients_port_bounds_body_pieces: Clients, BodyPieces;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_body_pieces: Readiness, BodyPieces;
    /// Guards against the same at an agent.
    announcements_port_bounds_body_pieces: Announcements, BodyPieces;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_body_pieces: Calls, BodyPieces;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_body_pieces: Metrics, BodyPieces;

    /// Guards against many chunked bodies in large chunks that use up memory or descriptors of an entry.
    clients_port_bounds_large_chunks: Clients, LargeChunks;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_large_chunks: Readiness, LargeChunks;
    /// Guards against the same at an agent.
    announcements_port_bounds_large_chunks: Announcements, LargeChunks;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_large_chunks: Calls, LargeChunks;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_large_chunks: Metrics, LargeChunks;

    /// Guards against chunked bodies in very small chunks that cost a process many times their size.
    clients_port_bounds_small_chunks: Clients, SmallChunks;
    /// Guards against the same on the port of the readiness checks.
    readiness_port_bounds_small_chunks: Readiness, SmallChunks;
    /// Guards against the same at an agent.
    announcements_port_bounds_small_chunks: Announcements, SmallChunks;
    /// Guards against the same on the port of the calls between processes.
    calls_port_bounds_small_chunks: Calls, SmallChunks;
    /// Guards against the same on the port of the metrics.
    metrics_port_bounds_small_chunks: Metrics, SmallChunks;

    /// Guards against frames of calls that senders without the key leave unfinished, which use up memory or descriptors of an
    /// entry.
    calls_port_bounds_unfinished_frames: Calls, UnfinishedFrames;
}
