//! Malformed, oversized, slow and vanishing callers, and the limits that stop them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Plan, Programs, Result, Submission};
use model::AccountLimits;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A new agent refuses reservations for 2 s.
const FIRST_RESERVATION: Duration = Duration::from_millis(2200);
/// The head of a request may take 10 s, a small body 5 s; the rest is for a busy machine.
const SLOW_LIMIT: Duration = Duration::from_secs(12);
/// Everything that a vanished caller held is free after the gang lease (2 s), the heartbeat and a margin.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

async fn start(plan: &Plan) -> Result<(Deployment, Caller)> {
    let deployment = Deployment::start(plan, &Programs::locate()?).await?;
    Ok((deployment, Caller::new()?))
}

fn submission(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(10_000),
        body,
        ..Submission::default()
    }
}

async fn connect(deployment: &Deployment) -> Result<TcpStream> {
    let addr = deployment.entry_urls[0].trim_start_matches("http://");
    Ok(TcpStream::connect(addr).await?)
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/services/workshop/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer faro:{TOKEN}\r\n{extra}"
    )
}

/// Sends raw bytes and returns the status and the verdict of the answer.
async fn exchange(deployment: &Deployment, bytes: &[u8]) -> Result<(u16, Box<str>)> {
    let mut stream = connect(deployment).await?;
    stream.write_all(bytes).await?;
    read_verdict(&mut stream).await
}

async fn read_verdict(stream: &mut TcpStream) -> Result<(u16, Box<str>)> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("}}") {
        let read = timeout(SLOW_LIMIT, stream.read(&mut buf)).await??;
        if read == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    let status = text.split(' ').nth(1).unwrap_or_default().parse()?;
    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let verdict = body["error"]["verdict"].as_str().unwrap_or("none").into();
    Ok((status, verdict))
}

/// Guards against input that is ignored or refused without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_malformed_input() -> Result<()> {
    let (deployment, _) = start(&one_region(1, 1)).await?;
    let bad_headers = [
        "limpethook-shape: {\"tasks\": 1",
        "limpethook-shape: {\"tasks\": 1, \"unknown\": 2}",
        "limpethook-shape: \u{e9}",
        "limpethook-idempotent: maybe",
        "limpethook-timeout-ms: -1",
        "limpethook-timeout-ms: 5\r\nlimpethook-timeout-ms: 6",
        "limpethook-stoppable: TRUE",
        "idempotency-key: a\r\nidempotency-key: b",
    ];
    for bad in bad_headers {
        let request = head(&format!("{bad}\r\ncontent-length: 2\r\n\r\n{{}}"));
        let refused = exchange(&deployment, request.as_bytes()).await?;
        assert_eq!(refused, (400, "not_run".into()), "{bad}");
    }
    let long_key = "k".repeat(256);
    let request = head(&format!(
        "idempotency-key: {long_key}\r\ncontent-length: 0\r\n\r\n"
    ));
    let refused = exchange(&deployment, request.as_bytes()).await?;
    assert_eq!(refused, (400, "not_run".into()));
    for (request, status) in [
        ("GET /none HTTP/1.1\r\nhost: entry\r\n\r\n", 404),
        ("PUT /v1/status HTTP/1.1\r\nhost: entry\r\n\r\n", 405),
    ] {
        let refused = exchange(&deployment, request.as_bytes()).await?;
        assert_eq!(refused, (status, "not_run".into()));
    }
    Ok(())
}

/// Guards against bodies that use up memory, whether their length is declared or not.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_oversized_body() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.document.services[0].max_body_bytes = 1000;
    let (deployment, _) = start(&plan).await?;
    let declared = head("content-length: 1001\r\n\r\n");
    let refused = exchange(&deployment, declared.as_bytes()).await?;
    assert_eq!(refused, (413, "not_run".into()));
    let chunk = format!("258\r\n{}\r\n", "x".repeat(600));
    let chunked = head(&format!("transfer-encoding: chunked\r\n\r\n{chunk}{chunk}"));
    let refused = exchange(&deployment, chunked.as_bytes()).await?;
    assert_eq!(refused, (413, "not_run".into()));
    Ok(())
}

/// Guards against slow callers that hold connections and admitted requests for ever.
#[tokio::test(flavor = "multi_thread")]
async fn submit_times_out_slow_callers() -> Result<()> {
    let (deployment, _) = start(&one_region(1, 1)).await?;
    let slow_head = async {
        let mut stream = connect(&deployment).await?;
        let started = Instant::now();
        for byte in head("").into_bytes().into_iter().cycle() {
            if stream.write_all(&[byte]).await.is_err() || started.elapsed() > SLOW_LIMIT {
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok::<_, harness::Error>(started.elapsed())
    };
    let slow_body = async {
        let mut stream = connect(&deployment).await?;
        let request = head("content-length: 1000\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let (mut read, mut write) = stream.into_split();
        let trickle = tokio::spawn(async move {
            while write.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(200)).await;
            }
        });
        let mut buf = [0; 4096];
        let got = timeout(SLOW_LIMIT, read.read(&mut buf)).await??;
        trickle.abort();
        Ok::<_, harness::Error>(String::from_utf8_lossy(&buf[..got]).into_owned())
    };
    let (slow_head, slow_body) = tokio::join!(slow_head, slow_body);
    assert!(slow_head? < SLOW_LIMIT);
    let text = slow_body?;
    assert!(
        text.contains("\"not_run\"") && text.contains("\"timeout\""),
        "{text}"
    );
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    assert_eq!(status["requests_in_flight"], 0);
    Ok(())
}

/// Submits a request on a connection of its own and closes it after a while.
async fn vanish(deployment: &Deployment, extra: &str, body: &str, after: Duration) -> Result<()> {
    let mut stream = connect(deployment).await?;
    let length = body.len();
    let request = head(&format!("{extra}content-length: {length}\r\n\r\n{body}"));
    stream.write_all(request.as_bytes()).await?;
    sleep(after).await;
    Ok(())
}

/// Returns what is still held at the entry, the workers and the agent.
async fn held(deployment: &Deployment) -> Result<Vec<String>> {
    let mut held = Vec::new();
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    if status["requests_in_flight"] != 0 {
        held.push(format!("in flight: {}", status["requests_in_flight"]));
    }
    let tasks = format!("{}/control/tasks", deployment.workers_url);
    let tasks = deployment.read_control(&tasks).await?;
    let running = tasks.as_array().into_iter().flatten();
    held.extend(running.filter(|t| t["end"].is_null()).map(Value::to_string));
    let metrics = agent_metrics(deployment).await?;
    for expected in ["slots_free 1", "queued_requests 0", "gangs 0"] {
        let expected = format!("limpethook_agent_{expected}\n");
        if !metrics.contains(&expected) {
            held.push(format!("not {expected}"));
        }
    }
    Ok(held)
}

async fn agent_metrics(deployment: &Deployment) -> Result<String> {
    let file = deployment.dir.join("settings/agent-0.json");
    let settings: Value = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let addr = settings["metrics_listen"].as_str().ok_or("no metrics")?;
    let caller = Caller::new()?;
    let res = caller.http().get(format!("http://{addr}/metrics"));
    Ok(res.send().await?.text().await?)
}

/// Guards against slots, workers and queue places that a vanished caller leaves behind, in each state of its request.
#[tokio::test(flavor = "multi_thread")]
async fn vanished_callers_leave_nothing_held() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.agents[0].slots = 1;
    let (deployment, _) = start(&plan).await?;
    sleep(FIRST_RESERVATION).await;
    let gang =
        "limpethook-shape: {\"tasks\": 1, \"accelerators\": 8}\r\nlimpethook-idempotent: true\r\n";
    let long = "{\"run_ms\": 20000}";
    let (early, late) = (Duration::from_millis(700), Duration::from_millis(1500));
    // The short request takes the one slot and the first gang waits for it; the later ones wait behind them in the
    // queues of the agent and of the owner, and leave before them.
    let behind = |delay_ms, extra, after| {
        let deployment = &deployment;
        async move {
            sleep(Duration::from_millis(delay_ms)).await;
            vanish(deployment, extra, long, after).await
        }
    };
    let (a, b, c, d, queued) = tokio::join!(
        vanish(&deployment, "", long, late),
        behind(100, gang, late),
        behind(200, "", early),
        behind(200, gang, early),
        async {
            sleep(Duration::from_millis(1200)).await;
            agent_metrics(&deployment).await
        },
    );
    // The slot is still taken, but the caller in its queue has left.
    let queued = queued?;
    for expected in ["slots_free 0", "queued_requests 0"] {
        assert!(
            queued.contains(&format!("limpethook_agent_{expected}\n")),
            "{queued}"
        );
    }
    a.and(b).and(c).and(d)?;
    wait_until_free(&deployment).await?;
    // With the slot free, the gang runs when its caller leaves.
    vanish(&deployment, gang, long, late).await?;
    let tasks = format!("{}/control/tasks", deployment.workers_url);
    let tasks = deployment.read_control(&tasks).await?;
    assert!(tasks.as_array().is_some_and(|tasks| !tasks.is_empty()));
    wait_until_free(&deployment).await
}

async fn wait_until_free(deployment: &Deployment) -> Result<()> {
    let started = Instant::now();
    let mut left = held(deployment).await?;
    while !left.is_empty() && started.elapsed() < RELEASE_LIMIT {
        sleep(Duration::from_millis(100)).await;
        left = held(deployment).await?;
    }
    assert!(left.is_empty(), "{left:?}");
    Ok(())
}

/// Guards against more connections than the entry may hold.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_setting_wait() -> Result<()> {
    let dir = std::env::temp_dir().join(format!("limpethook-abuse-{:08x}", fastrand::u32(..)));
    one_region(1, 1).write(&dir)?;
    let file = dir.join("settings/entry-0.json");
    let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&file)?)?;
    settings["connections"] = json!(8);
    std::fs::write(&file, settings.to_string())?;
    let deployment = Deployment::start_dir(&dir, &dir, &Programs::locate()?).await?;
    // The connections of the harness itself are idle and count as well.
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(connect(&deployment).await?);
    }
    let get = b"GET /health HTTP/1.1\r\nhost: entry\r\n\r\n";
    let mut waiting = connect(&deployment).await?;
    waiting.write_all(get).await?;
    let mut buf = [0; 64];
    let early = timeout(Duration::from_millis(500), waiting.read(&mut buf)).await;
    assert!(early.is_err(), "a connection beyond the limit was served");
    drop(idle);
    let read = timeout(Duration::from_secs(2), waiting.read(&mut buf)).await??;
    assert!(buf[..read].starts_with(b"HTTP/1.1 200"));
    drop(deployment);
    std::fs::remove_dir_all(dir)?;
    Ok(())
}

/// Guards against an account that takes more than its limit, and against retries beyond the account's budget.
#[tokio::test(flavor = "multi_thread")]
async fn burst_stays_within_account_limits() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.agents[0].slots = 1;
    plan.document.accounts["faro"].limits = AccountLimits {
        requests: 4,
        ..AccountLimits::default()
    };
    plan.document.accounts["puerto"].limits = AccountLimits {
        retry_percent: 0,
        ..AccountLimits::default()
    };
    let (deployment, caller) = start(&plan).await?;
    let url = &deployment.entry_urls[0];
    let slow = submission(json!({"run_ms": 300}));
    let outcomes = join_all((0..40).map(|_| caller.submit(url, &slow))).await;
    let (answered, refused): (Vec<_>, Vec<_>) = outcomes.iter().partition(|o| o.is_answered());
    assert_eq!((answered.len(), refused.len()), (4, 36));
    for outcome in refused {
        assert_eq!((outcome.status, &*outcome.verdict), (503, "not_run"));
    }
    // Seven requests fit into the slot and its queue; the others are busy at once and may not be retried.
    let other = Submission {
        account: "puerto".into(),
        ..slow
    };
    let outcomes = join_all((0..30).map(|_| caller.submit(url, &other))).await;
    let busy = outcomes.iter().filter(|o| &*o.verdict == "not_run").count();
    assert_eq!(busy, 23, "{outcomes:?}");
    let metrics = caller.http().get(format!("{url}/metrics")).send().await?;
    let metrics = metrics.text().await?;
    assert!(
        metrics.contains("limpethook_entry_retries_total 0\n"),
        "{metrics}"
    );
    Ok(())
}

/// Guards against a token that opens another account.
#[tokio::test(flavor = "multi_thread")]
async fn token_of_other_account_is_refused() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.document.accounts["puerto"].tokens = vec![config::new_token_hash("token-of-puerto-only")];
    let (deployment, caller) = start(&plan).await?;
    let url = &deployment.entry_urls[0];
    let cases = [
        ("faro", "token-of-puerto-only", "unauthenticated"),
        ("puerto", TOKEN, "unauthenticated"),
        ("puerto", "token-of-puerto-only", "answered"),
    ];
    for (account, token, kind) in cases {
        let submission = Submission {
            account: account.into(),
            token: token.into(),
            ..submission(json!({}))
        };
        let outcome = caller.submit(url, &submission).await;
        assert_eq!(&*outcome.kind, kind, "{account} {token}");
    }
    Ok(())
}
