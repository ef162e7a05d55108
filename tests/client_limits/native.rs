//! The same for `limpethook entry` and `limpethook agent`, which have settings of their own.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use futures::future::join_all;
use harness::fixtures::{TOKEN, one_region, request};
use harness::{Caller, Deployment, Programs, Result};
use platform_standin::Port;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::crowd::Kind;
use crate::{
    ANSWER_TIMEOUT, ATTEMPT_TIMEOUT, FILE_DESCRIPTORS, MEMORY_MB, RETRY_DELAY, RUNNING, process,
};

/// Clients whose heads have no end.
const HEADS_CROWD_SIZE: usize = 1_500;
/// Clients that leave a body or a frame unfinished.
const CROWD_SIZE: usize = 500;
/// Size of a body, half of what a service accepts by default.
const BODY_BYTES: usize = 4 << 20;
/// How long a client waits for the server to take its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// A port of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NativePort {
    EntryHttp,
    EntryPeers,
    AgentPeers,
    AgentMetrics,
}

impl NativePort {
    /// Returns the settings file and the key of the address.
    fn setting(self) -> (&'static str, &'static str) {
        match self {
            Self::EntryHttp => ("entry-0", "http_listen"),
            Self::EntryPeers => ("entry-0", "peer_listen"),
            Self::AgentPeers => ("agent-0", "peer_listen"),
            Self::AgentMetrics => ("agent-0", "metrics_listen"),
        }
    }
}

/// What the clients of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NativeKind {
    EndlessHeads,
    /// Bodies that lack their last byte.
    Bodies,
    /// Whole requests.
    Requests,
    UnfinishedFrames,
}

impl NativeKind {
    fn crowd_size(self) -> usize {
        match self {
            Self::EndlessHeads => HEADS_CROWD_SIZE,
            _ => CROWD_SIZE,
        }
    }

    async fn send(self, addr: SocketAddr, index: usize) -> Option<TcpStream> {
        let missing = match self {
            Self::EndlessHeads => return Kind::EndlessHeads.send(addr, Port::Readiness, 1).await,
            Self::UnfinishedFrames => {
                return Kind::UnfinishedFrames.send(addr, Port::Calls, 1).await;
            }
            Self::Bodies => 1,
            Self::Requests => 0,
        };
        let connecting = timeout(WRITE_TIMEOUT, TcpStream::connect(addr)).await;
        let mut stream = connecting.ok()?.ok()?;
        let head = format!(
            "POST /v1/services/workshop/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer puerto:{TOKEN}\r\n\
             limpethook-timeout-ms: 60000\r\ncontent-length: {BODY_BYTES}\r\n\r\n{{\"run_ms\": 60000, \"client\": {index}"
        );
        let mut bytes = head.into_bytes();
        let body_begin = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
        bytes.resize(body_begin + BODY_BYTES - 1, b' ');
        bytes.push(b'}');
        bytes.truncate(bytes.len() - missing);
        match timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Err(_)) => None,
            // A server that stops reading is left alone.
            Ok(Ok(())) | Err(_) => Some(stream),
        }
    }
}

fn read_json(file: &Path) -> Result<Value> {
    Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
}

/// Writes the settings of a deployment with the limits of the test.
fn write_settings(dir: &Path) -> Result<()> {
    if dir.exists() {
        std::fs::remove_dir_all(dir)?;
    }
    one_region(1, 1).write(dir)?;
    for name in ["entry-0", "agent-0"] {
        let file = dir.join(format!("settings/{name}.json"));
        let mut settings = read_json(&file)?;
        settings["memory_mb"] = json!(MEMORY_MB);
        settings["descriptors"] = json!(FILE_DESCRIPTORS);
        std::fs::write(&file, settings.to_string())?;
    }
    Ok(())
}

async fn is_answered(deployment: &Deployment, metrics: SocketAddr) -> Result<bool> {
    let caller = Caller::new()?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < deadline {
        let submission = request(json!({"run_ms": 1}));
        let answering = caller.submit(&deployment.entry_urls[0], &submission);
        let answered = timeout(ATTEMPT_TIMEOUT, answering).await;
        let reading = caller.http().get(format!("http://{metrics}/metrics"));
        let page = timeout(ATTEMPT_TIMEOUT, reading.send()).await;
        if answered.is_ok_and(|outcome| outcome.is_answered())
            && page.is_ok_and(|page| page.is_ok_and(|page| page.status().is_success()))
        {
            return Ok(true);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(false)
}

async fn check(name: &str, port: NativePort, kinds: &[NativeKind]) -> Result<()> {
    let _guard = RUNNING.lock().await;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    write_settings(&dir)?;
    let deployment = Deployment::start_dir(&dir, &dir, &Programs::locate()?).await?;
    let addr_of = |port: NativePort| -> Result<SocketAddr> {
        let (process, key) = port.setting();
        let settings = read_json(&dir.join(format!("settings/{process}.json")))?;
        let addr = settings[key]
            .as_str()
            .ok_or("the settings lack an address")?;
        Ok(addr.parse()?)
    };
    let metrics = addr_of(NativePort::AgentMetrics)?;
    assert!(
        is_answered(&deployment, metrics).await?,
        "an ordinary request is answered before the crowd"
    );
    let addr = addr_of(port)?;
    let processes = || {
        deployment
            .entries
            .values()
            .chain(deployment.agents.values())
    };
    let mut open = Vec::new();
    for kind in kinds {
        let clients = 0..kind.crowd_size();
        let senders = clients.map(|index| tokio::spawn(kind.send(addr, index)));
        open.push(join_all(senders).await);
    }
    for process in processes() {
        process::wait_until_settled(process.id()).await;
    }
    let answered = is_answered(&deployment, metrics).await?;
    let statuses: Vec<_> = processes()
        .map(|process| (process.name.clone(), process::status(process.id())))
        .collect();
    drop(open);
    println!("{name}: answered={answered} {statuses:?}");
    assert!(answered, "an ordinary request is answered beside the crowd");
    for (name, status) in statuses {
        process::check_limits(&name, status)?;
    }
    Ok(())
}

/// Defines a test for crowds on a port, which follow each other.
macro_rules! check_native {
    ($($(#[$doc:meta])* $name:ident: $port:ident, [$($kind:ident),*];)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() -> Result<()> {
                check(stringify!($name), NativePort::$port, &[$(NativeKind::$kind),*]).await
            }
        )*
    };
}

check_native! {
    /// Guards against heads without end that use up memory or descriptors of an entry.
    native_entry_bounds_endless_heads: EntryHttp, [EndlessHeads];
    /// Guards against large bodies that stop short of their end.
    native_entry_bounds_bodies: EntryHttp, [Bodies];
    /// Guards against large requests that are complete.
    native_entry_bounds_requests: EntryHttp, [Requests];
    /// Guards against frames that senders without the key leave unfinished at an entry.
    native_entry_bounds_unfinished_frames: EntryPeers, [UnfinishedFrames];
    /// Guards against the same at an agent.
    native_agent_bounds_unfinished_frames: AgentPeers, [UnfinishedFrames];
    /// Guards against heads without end on the port of the metrics of an agent.
    native_agent_bounds_endless_heads: AgentMetrics, [EndlessHeads];
    /// Guards against crowds that use up what the ones before have left.
    native_entry_bounds_crowds_in_turn: EntryHttp, [Requests, Bodies, EndlessHeads];
}
