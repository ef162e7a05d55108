//! Malformed and oversized input, slow and disconnecting callers, and the limits of entries and client accounts.

use std::time::{Duration, Instant};

use futures::future::join_all;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Plan, Programs, Result, Submission};
use model::AccountLimits;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time after the start of an agent until it accepts reservations: it refuses them for 2 s.
const RESERVATION_DELAY: Duration = Duration::from_millis(2200);
/// Timeout for requests that are sent slowly. An entry waits 10 s for the head of a request and 5 s for a small body;
/// the rest is a margin for a busy machine.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the disconnection of a caller in which its resources must be released: the gang lease (2 s), a heartbeat
/// interval and a margin.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

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

fn request_head(extra: &str) -> String {
    format!(
        "POST /v1/services/workshop/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer faro:{TOKEN}\r\n{extra}"
    )
}

/// Sends raw bytes on a new connection and returns the status and the verdict of the response.
async fn send_raw(deployment: &Deployment, bytes: &[u8]) -> Result<(u16, Box<str>)> {
    let mut stream = connect(deployment).await?;
    stream.write_all(bytes).await?;
    read_verdict(&mut stream).await
}

async fn read_verdict(stream: &mut TcpStream) -> Result<(u16, Box<str>)> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("}}") {
        let read = timeout(SLOW_CALLER_TIMEOUT, stream.read(&mut buf)).await??;
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

/// Guards against malformed input that is ignored, or rejected without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_malformed_input() -> Result<()> {
    let (deployment, _) = start(&one_region(1, 1)).await?;
    let invalid_headers = [
        "limpethook-shape: {\"tasks\": 1",
        "limpethook-shape: {\"tasks\": 1, \"unknown\": 2}",
        "limpethook-shape: \u{e9}",
        "limpethook-idempotent: maybe",
        "limpethook-timeout-ms: -1",
        "limpethook-timeout-ms: 5\r\nlimpethook-timeout-ms: 6",
        "limpethook-stoppable: TRUE",
        "idempotency-key: a\r\nidempotency-key: b",
    ];
    for header in invalid_headers {
        let request = request_head(&format!("{header}\r\ncontent-length: 2\r\n\r\n{{}}"));
        let refused = send_raw(&deployment, request.as_bytes()).await?;
        assert_eq!(refused, (400, "not_run".into()), "{header}");
    }
    let long_key = "k".repeat(256);
    let request = request_head(&format!(
        "idempotency-key: {long_key}\r\ncontent-length: 0\r\n\r\n"
    ));
    let refused = send_raw(&deployment, request.as_bytes()).await?;
    assert_eq!(refused, (400, "not_run".into()));
    for (request, status) in [
        ("GET /none HTTP/1.1\r\nhost: entry\r\n\r\n", 404),
        ("PUT /v1/status HTTP/1.1\r\nhost: entry\r\n\r\n", 405),
    ] {
        let refused = send_raw(&deployment, request.as_bytes()).await?;
        assert_eq!(refused, (status, "not_run".into()));
    }
    Ok(())
}

/// Guards against request bodies that exhaust memory, with a declared length or chunked.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_oversized_body() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.document.services[0].max_body_bytes = 1000;
    let (deployment, _) = start(&plan).await?;
    let declared = request_head("content-length: 1001\r\n\r\n");
    let refused = send_raw(&deployment, declared.as_bytes()).await?;
    assert_eq!(refused, (413, "not_run".into()));
    let chunk = format!("258\r\n{}\r\n", "x".repeat(600));
    let chunked = request_head(&format!("transfer-encoding: chunked\r\n\r\n{chunk}{chunk}"));
    let refused = send_raw(&deployment, chunked.as_bytes()).await?;
    assert_eq!(refused, (413, "not_run".into()));
    Ok(())
}

/// Guards against slow callers that occupy connections and admitted requests indefinitely.
#[tokio::test(flavor = "multi_thread")]
async fn submit_times_out_slow_callers() -> Result<()> {
    let (deployment, _) = start(&one_region(1, 1)).await?;
    let slow_head = async {
        let mut stream = connect(&deployment).await?;
        let started = Instant::now();
        for byte in request_head("").into_bytes().into_iter().cycle() {
            if stream.write_all(&[byte]).await.is_err() || started.elapsed() > SLOW_CALLER_TIMEOUT {
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok::<_, harness::Error>(started.elapsed())
    };
    let slow_body = async {
        let mut stream = connect(&deployment).await?;
        let request = request_head("content-length: 1000\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let (mut read, mut write) = stream.into_split();
        let trickle = tokio::spawn(async move {
            while write.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(200)).await;
            }
        });
        let mut buf = [0; 4096];
        let bytes_read = timeout(SLOW_CALLER_TIMEOUT, read.read(&mut buf)).await??;
        trickle.abort();
        Ok::<_, harness::Error>(String::from_utf8_lossy(&buf[..bytes_read]).into_owned())
    };
    let (slow_head, slow_body) = tokio::join!(slow_head, slow_body);
    assert!(slow_head? < SLOW_CALLER_TIMEOUT);
    let text = slow_body?;
    assert!(
        text.contains("\"not_run\"") && text.contains("\"timeout\""),
        "{text}"
    );
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    assert_eq!(status["requests_in_flight"], 0);
    Ok(())
}

/// Submits a request on a new connection and closes the connection after `delay`.
async fn submit_and_disconnect(
    deployment: &Deployment,
    extra: &str,
    body: &str,
    delay: Duration,
) -> Result<()> {
    let mut stream = connect(deployment).await?;
    let length = body.len();
    let request = request_head(&format!("{extra}content-length: {length}\r\n\r\n{body}"));
    stream.write_all(request.as_bytes()).await?;
    sleep(delay).await;
    Ok(())
}

/// Returns the resources that are still in use at the entry, the workers and the agent.
async fn held_resources(deployment: &Deployment) -> Result<Vec<String>> {
    let mut held_resources = Vec::new();
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    if status["requests_in_flight"] != 0 {
        held_resources.push(format!(
            "requests in flight: {}",
            status["requests_in_flight"]
        ));
    }
    let tasks = format!("{}/control/tasks", deployment.workers_url);
    let tasks = deployment.read_control(&tasks).await?;
    let running = tasks.as_array().into_iter().flatten();
    held_resources.extend(running.filter(|t| t["end"].is_null()).map(Value::to_string));
    let metrics = agent_metrics(deployment).await?;
    for expected in ["slots_free 1", "queued_requests 0", "gangs 0"] {
        let expected = format!("limpethook_agent_{expected}\n");
        if !metrics.contains(&expected) {
            held_resources.push(format!("metric is not {expected}"));
        }
    }
    Ok(held_resources)
}

async fn agent_metrics(deployment: &Deployment) -> Result<String> {
    let file = deployment.dir.join("settings/agent-0.json");
    let settings: Value = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let addr = settings["metrics_listen"]
        .as_str()
        .ok_or("settings have no metrics_listen")?;
    let caller = Caller::new()?;
    let res = caller.http().get(format!("http://{addr}/metrics"));
    Ok(res.send().await?.text().await?)
}

/// Guards against slots, workers and queue entries that leak when a caller disconnects, in each state of its request.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_callers_hold_no_resources() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.agents[0].slots = 1;
    let (deployment, _) = start(&plan).await?;
    sleep(RESERVATION_DELAY).await;
    let gang =
        "limpethook-shape: {\"tasks\": 1, \"accelerators\": 8}\r\nlimpethook-idempotent: true\r\n";
    let long_run = "{\"run_ms\": 20000}";
    let (short_delay, long_delay) = (Duration::from_millis(700), Duration::from_millis(1500));
    // The first request occupies the only slot and the first gang waits for it. The later ones wait behind them in the
    // queues of the agent and of the owner, and disconnect earlier.
    let submit_after = |delay_ms, extra, after| {
        let deployment = &deployment;
        async move {
            sleep(Duration::from_millis(delay_ms)).await;
            submit_and_disconnect(deployment, extra, long_run, after).await
        }
    };
    let (a, b, c, d, queued) = tokio::join!(
        submit_and_disconnect(&deployment, "", long_run, long_delay),
        submit_after(100, gang, long_delay),
        submit_after(200, "", short_delay),
        submit_after(200, gang, short_delay),
        async {
            sleep(Duration::from_millis(1200)).await;
            agent_metrics(&deployment).await
        },
    );
    // The slot is still in use, but the queued request of the disconnected caller is gone.
    let queued = queued?;
    for expected in ["slots_free 0", "queued_requests 0"] {
        assert!(
            queued.contains(&format!("limpethook_agent_{expected}\n")),
            "{queued}"
        );
    }
    a.and(b).and(c).and(d)?;
    wait_until_released(&deployment).await?;
    // The slot is free, so this gang is running when its caller disconnects.
    submit_and_disconnect(&deployment, gang, long_run, long_delay).await?;
    let tasks = format!("{}/control/tasks", deployment.workers_url);
    let tasks = deployment.read_control(&tasks).await?;
    assert!(tasks.as_array().is_some_and(|tasks| !tasks.is_empty()));
    wait_until_released(&deployment).await
}

async fn wait_until_released(deployment: &Deployment) -> Result<()> {
    let started = Instant::now();
    let mut remaining = held_resources(deployment).await?;
    while !remaining.is_empty() && started.elapsed() < RELEASE_TIMEOUT {
        sleep(Duration::from_millis(100)).await;
        remaining = held_resources(deployment).await?;
    }
    assert!(remaining.is_empty(), "{remaining:?}");
    Ok(())
}

/// Guards against an entry that serves more connections than its limit, and against idle connections that keep other callers
/// out.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_limit_close_idle_ones() -> Result<()> {
    const LIMIT: usize = 8;
    let dir = std::env::temp_dir().join(format!("limpethook-abuse-{:08x}", fastrand::u32(..)));
    one_region(1, 1).write(&dir)?;
    let file = dir.join("settings/entry-0.json");
    let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(&file)?)?;
    settings["connections"] = json!(LIMIT);
    std::fs::write(&file, settings.to_string())?;
    let deployment = Deployment::start_dir(&dir, &dir, &Programs::locate()?).await?;
    let mut connections = Vec::new();
    for _ in 0..3 * LIMIT {
        let mut connection = connect(&deployment).await?;
        let get = b"GET /health HTTP/1.1\r\nhost: entry\r\n\r\n";
        connection.write_all(get).await?;
        let mut buf = [0; 1024];
        let read = timeout(Duration::from_secs(2), connection.read(&mut buf)).await??;
        assert!(buf[..read].starts_with(b"HTTP/1.1 200"));
        connections.push(connection);
        let mut open = 0;
        for connection in &mut connections {
            let ended = timeout(Duration::from_millis(10), connection.read(&mut buf)).await;
            open += usize::from(ended.is_err());
        }
        assert!(open <= LIMIT, "{open} connections are open at once");
    }
    drop(deployment);
    std::fs::remove_dir_all(dir)?;
    Ok(())
}

/// Guards against a client account that exceeds its request limit, and against retries beyond its retry budget.
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
    // The slot and its queue hold seven requests. The others are rejected as busy, and the retry budget is zero.
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

/// Guards against a token that authenticates another client account.
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
