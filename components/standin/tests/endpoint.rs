//! Tests of the simulated endpoint over loopback.

use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use standin::{
    Echo, EndpointFaults, EndpointSettings, ResponseFault, RunCounts, Selection, Server,
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
        .post(&*server.base_url())
        .header("Limpethook-Request-Id", id)
        .timeout(Duration::from_millis(500))
}

async fn set_faults(server: &Server, client: &Client, faults: &EndpointFaults) {
    let url = format!("{}/control/faults", server.base_url());
    let sent = client.post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

async fn runs(server: &Server, client: &Client) -> RunCounts {
    let url = format!("{}/control/runs", server.base_url());
    let response = client.get(url).send().await.unwrap();
    response.json().await.unwrap()
}

/// Guards against a response that a test cannot match to its request.
#[tokio::test]
async fn handle_request_echoes_id_and_digest() {
    let (server, client) = start().await;
    let body = r#"{"answer_bytes": 5, "other": 1}"#;
    let response = post(&server, &client, "r1").body(body).send().await;
    let response = response.unwrap();
    assert_eq!(response.headers()["limpethook-request-id"], "r1");
    let echo: Echo = response.json().await.unwrap();
    assert_eq!(echo, Echo::new("e1", "r1", body.as_bytes(), 5));
    assert_eq!(&*echo.filler, "xxxxx");
}

/// Guards against more requests running concurrently than the endpoint has slots.
#[tokio::test]
async fn handle_request_waits_for_slot() {
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

/// Guards against a fault that runs a request although it is defined not to, or the reverse.
#[tokio::test]
async fn response_fault_keeps_run_count_correct() {
    let (server, client) = start().await;
    let cases = [
        (ResponseFault::CloseBefore, 0),
        (ResponseFault::CloseAfter, 1),
        (ResponseFault::Truncate, 1),
        (ResponseFault::WrongLength, 1),
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
        let incomplete = match post(&server, &client, &id).body("x").send().await {
            Ok(response) => response.bytes().await.is_err(),
            Err(_) => true,
        };
        assert!(incomplete, "{fault:?} sent a complete response");
        let counts = runs(&server, &client).await.runs;
        assert_eq!(counts.get(&*id).copied().unwrap_or(0), expected, "{id}");
        let next = post(&server, &client, "next").send().await.unwrap();
        assert!(
            next.bytes().await.is_ok(),
            "{fault:?} applied to a second request"
        );
    }
}

/// Guards against a response to another request that a test cannot distinguish from a correct one.
#[tokio::test]
async fn response_fault_names_another_request() {
    let (server, client) = start().await;
    let faults = EndpointFaults {
        answer: Some(ResponseFault::Foreign),
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &faults).await;
    let response = post(&server, &client, "r1").send().await.unwrap();
    assert_ne!(response.headers()["limpethook-request-id"], "r1");
}

/// Guards against a freeze that cannot be ended because the waiting requests occupy all connections.
#[tokio::test]
async fn freeze_reserves_connections_for_control() {
    let (server, client) = start().await;
    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &freeze).await;
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        waiting.spawn(post(&server, &client, "r1").send());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    set_faults(&server, &client, &EndpointFaults::default()).await;
    assert!(waiting.join_all().await.iter().all(Result::is_ok));
}

/// Guards against a frozen endpoint that still runs requests, and against a freeze that does not end.
#[tokio::test]
async fn freeze_blocks_requests_until_ended() {
    let (server, client) = start().await;
    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    set_faults(&server, &client, &freeze).await;
    let frozen = post(&server, &client, "r1").send().await;
    assert!(frozen.unwrap_err().is_timeout());
    let waiting = tokio::spawn(post(&server, &client, "r2").send());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished());
    set_faults(&server, &client, &EndpointFaults::default()).await;
    assert!(waiting.await.unwrap().unwrap().status().is_success());
    let counts = runs(&server, &client).await.runs;
    assert_eq!((counts.get("r1"), counts.get("r2")), (None, Some(&1)));
}
