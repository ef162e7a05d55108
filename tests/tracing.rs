//! Trace spans of a request in the logs of all processes.

use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Programs, Result, Submission};
use serde_json::json;

const CALLER_SPAN: &str = "00f067aa0ba902b7";
/// Timeout until all spans are logged. Spans are exported every 200 ms; the rest is a margin for a busy machine.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// A span as written to a log.
#[derive(Debug, PartialEq, Eq)]
struct LoggedSpan {
    process: String,
    name: String,
    span: String,
    parent: String,
}

/// Returns the spans of a trace from all logs.
fn spans(deployment: &Deployment, trace: &str) -> Result<Vec<LoggedSpan>> {
    let mut spans = Vec::new();
    for file in std::fs::read_dir(&deployment.dir)? {
        let path = file?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text = std::fs::read_to_string(path)?;
            let lines = text.lines().filter(|line| line.contains(trace));
            spans.extend(lines.map(parse_span));
        }
    }
    Ok(spans)
}

fn parse_span(line: &str) -> LoggedSpan {
    let field = |name: &str| {
        let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| value.to_owned())
    };
    LoggedSpan {
        process: field("process"),
        name: field("name"),
        span: field("span_id"),
        parent: field("parent_id"),
    }
}

async fn submit(deployment: &Deployment, url: &str, trace: &str, with_gang: bool) -> Result<()> {
    let submission = Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(10_000),
        shape: with_gang.then(|| json!({"tasks": 2, "accelerators": 1})),
        traceparent: Some(format!("00-{trace}-{CALLER_SPAN}-01").into()),
        body: json!({"run_ms": 10}),
        ..Submission::default()
    };
    let outcome = Caller::new()?.submit(url, &submission).await;
    assert!(outcome.is_answered(), "{outcome:?}");
    let started = Instant::now();
    let expected = if with_gang { 4 } else { 3 };
    while spans(deployment, trace)?.len() < expected && started.elapsed() < REPORT_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Guards against a hop whose span is missing, duplicated or has the wrong parent.
#[tokio::test(flavor = "multi_thread")]
async fn request_has_one_span_for_each_hop() -> Result<()> {
    let deployment = Deployment::start(&one_region(2, 1), &Programs::locate()?).await?;
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    let owner = status["cells"][0]["owner"].as_str().ok_or("no owner")?;
    let number = usize::from(owner == "entry-0");
    let entry = format!("entry-{number}");
    let url = &deployment.entry_urls[number];
    let (without_gang, with_gang) = (
        "4bf92f3577b34da6a3ce929d0e0e4736",
        "0af7651916cd43dd8448eb211c80319c",
    );
    submit(&deployment, url, without_gang, false).await?;
    submit(&deployment, url, with_gang, true).await?;
    let hops = [
        ("entry_request", entry.as_str(), None),
        ("owner_place", owner, Some("entry_request")),
        ("agent_dispatch", "agent-0", Some("entry_request")),
        ("endpoint_call", "agent-0", Some("agent_dispatch")),
    ];
    for (trace, has_gang) in [(without_gang, false), (with_gang, true)] {
        let spans = spans(&deployment, trace)?;
        let span_of = |name: &str| spans.iter().find(|span| span.name == name);
        let expected = hops
            .iter()
            .filter(|(name, ..)| has_gang || *name != "owner_place");
        assert_eq!(spans.len(), expected.clone().count(), "{spans:?}");
        for (name, process, parent) in expected {
            let span = span_of(name).ok_or("the span of a hop is missing")?;
            let parent = parent.and_then(span_of).map_or(CALLER_SPAN, |s| &s.span);
            assert_eq!(
                (&*span.process, &*span.parent),
                (*process, parent),
                "{name}"
            );
        }
    }
    Ok(())
}
