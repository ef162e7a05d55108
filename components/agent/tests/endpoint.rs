//! Tests of an agent whose endpoint answers in unusual ways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::{AgentSettings, parse_settings};
use errors::Result;
use model::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, Dispatch, Key, Peers, Reply};

const SECRET: &str = "0123456789abcdef0123456789abcdef";
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns an address of loopback on which nothing listens.
async fn closed_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Answers every request on a loopback listener with the given head and an empty body, and returns its URL.
async fn start_endpoint(head: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let response =
                format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    url
}

fn settings(peer_listen: SocketAddr, store: SocketAddr, endpoint_url: &str) -> AgentSettings {
    let text = format!(
        r#"{{"id": "a1", "region": "caribe", "data_centre": "c1", "rack": "r1",
        "peer_listen": "{peer_listen}", "store_url": "http://{store}", "peer_key": "{SECRET}",
        "endpoint": {{"id": "p1", "service": "workshop", "url": "{endpoint_url}", "slots": 1, "connections": 1}},
        "workers": [{{"id": "w1", "url": "http://{store}", "accelerators": 8, "cores": 64, "memory_mb": 131072}}]}}"#
    );
    parse_settings("agent.json", &text).unwrap()
}

/// Starts an agent beside the endpoint and dispatches one request to it.
async fn dispatch_to(endpoint_url: &str) -> Result<Reply> {
    let addr = closed_addr().await;
    let settings = settings(addr, closed_addr().await, endpoint_url);
    let shutdown = CancellationToken::new();
    tokio::spawn(agent::run(
        settings,
        shutdown.clone(),
        CancellationToken::new(),
    ));
    let call = Call::Dispatch(Dispatch {
        request: Request {
            id: 7,
            account: "faro".into(),
            service: "workshop".into(),
            shape: None,
            idempotent: true,
            stoppable: false,
            timeout: TIMEOUT,
            declared_run_time: None,
        },
        attempt: 1,
        incarnation: 0,
        gang: None,
        compress: false,
        claim: None,
        body: Bytes::from_static(b"{}"),
        detached: false,
    });
    let peers = Peers::new(Key::from_secret(SECRET));
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let reply = peers.call(addr, &call, TIMEOUT).await;
    shutdown.cancel();
    reply
}

/// Guards against the verdict `not_run`, upon which the request runs elsewhere, for a request that the endpoint received and
/// answered with a redirect to an unreachable address.
#[tokio::test(flavor = "multi_thread")]
async fn dispatch_returns_redirect_as_answer() {
    let location = closed_addr().await;
    let endpoint = start_endpoint(format!("303 See Other\r\nlocation: http://{location}/")).await;
    let reply = dispatch_to(&endpoint).await;
    let Ok(Reply::Answer(answer)) = reply else {
        panic!("unexpected reply {reply:?}");
    };
    assert_eq!(answer.status, 303);
}
