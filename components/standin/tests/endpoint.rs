//! The endpoint of the stand-in over loopback.

use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use standin::{
    AnswerFault, Echo, EndpointFaults, EndpointSettings, RunCounts, Selection, Server,
    start_endpoint,
};
use timer::Timer;

const CONNECTIONS: usize = 8;

async fn start() -> (Server, Client) {
    let settings = EndpointSettings {
        slots: 2,
        connections: CONNECTIONS,
        ..EndpointSettings::default()
    };
    let server = start_endpoint("e1".into(), &settings, &Timer::start()).await;
    let client = Client::builder().no_proxy().build().unwrap();
    (server.unwrap(), client)
}

fn post(server: &Server, client: &Client, id: &str) -> RequestBuilder {
    client
        .post(&*server.base())
        .header("Limpethook-Request-Id", id)
        .timeout(Duration::from_millis(500))
}

async fn set_faults(server: &Server, client: &Client, faults: &EndpointFaults) {
    let url = format!("{}/control/faults", server.base());
    let sent = client.post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

async fn runs(server: &Server, client: &Client) -> RunCounts {
    let url = format!("{}/control/runs", server.base());
    let answer = client.get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

/// Guards against an answer by which a test cannot recognise its own request.
#[tokio::test]
async fn answer_echoes_request_and_digest() {
    let (server, client) = start().await;
    let body = r#"{"answer_bytes": 5, "other": 1}"#;
    let answer = post(&server, &client, "r1").body(body).send().await;
    let answer = answer.unwrap();
    assert_eq!(answer.headers()["limpethook-request-id"], "r1");
    let echo: Echo = answer.json().await.unwrap();
    assert_eq!(echo, Echo::new("e1", "r1", body.as_bytes(), 5));
    assert_eq!(&*echo.filler, "xxxxx");
}

/// Guards against more requests running at once than the endpoint has slots.
#[tokio::test]
async fn answer_waits_for_slot() {
    let (server, client) = start().await;
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let req = post(&server, &client, "r1").header("Standin-Run-Ms", 50);
        calls.spawn(async move { req.send().await.unwrap().status() });
    }
    assert!(
        calls
            .join_all()
            .await
            .iter()
            .all(reqwest::StatusCode::is_success)
    );
    assert!(started.elapsed() >= Duration::from_millis(100));
    assert_eq!(runs(&server, &client).await.runs["r1"], 4);
}

/// Guards against a fault that runs a request when it says that it does not, or the reverse.
#[tokio::test]
async fn answer_fault_leaves_true_run_count() {
    let (server, client) = start().await;
    let cases = [
        (AnswerFault::CloseBefore, 0),
        (AnswerFault::CloseAfter, 1),
        (AnswerFault::Truncate, 1),
        (AnswerFault::WrongLength, 1),
    ];
    for (fault, expected) in cases {
        let faults = EndpointFaults {
            answer: Some(fault),
            selection: Selection {
                count: Some(1),
                ..Selection::default()
            },
            ..EndpointFaults::default()
        };
        set_faults(&server, &client, &faults).await;
        let id = format!("{fault:?}");
        let broken = match post(&server, &client, &id).body("x").send().await {
            Ok(answer) => answer.bytes().await.is_err(),
            Err(_) => true,
        };
        assert!(broken, "{fault:?} gave a whole answer");
        let counts = runs(&server, &client).await.runs;
        assert_eq!(counts.get(&*id).copied().unwrap_or(0), expected, "{id}");
        let next = post(&server, &client, "next").send().await.unwrap();
        assert!(next.bytes().await.is_ok(), "{fault:?} hit a second request");
    }
}

/// Guards against a foreign answer that a test cannot tell from a right one.
#[tokio::test]
async fn answer_fault_names_another_request() {
    let (server, client) = start().await;
    let faults = EndpointFaults {
        answer: Some(AnswerFault::Foreign),
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &faults).await;
    let answer = post(&server, &client, "r1").send().await.unwrap();
    assert_ne!(answer.headers()["limpethook-request-id"], "r1");
}

/// Guards against a freeze that nobody can lift because requests hold all connections.
#[tokio::test]
async fn freeze_leaves_connections_for_control() {
    let (server, client) = start().await;
    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &freeze).await;
    let mut held = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        held.spawn(post(&server, &client, "r1").send());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    set_faults(&server, &client, &EndpointFaults::default()).await;
    assert!(held.join_all().await.iter().all(Result::is_ok));
}

/// Guards against a frozen endpoint that still runs requests, and one that stays frozen.
#[tokio::test]
async fn freeze_holds_requests_until_lifted() {
    let (server, client) = start().await;
    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &freeze).await;
    let frozen = post(&server, &client, "r1").send().await;
    assert!(frozen.unwrap_err().is_timeout());
    let held = tokio::spawn(post(&server, &client, "r2").send());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!held.is_finished());
    set_faults(&server, &client, &EndpointFaults::default()).await;
    assert!(held.await.unwrap().unwrap().status().is_success());
    let counts = runs(&server, &client).await.runs;
    assert_eq!((counts.get("r1"), counts.get("r2")), (None, Some(&1)));
}
