//! Measures how fast an endpoint answers over loopback.
//!
//! `cargo run --release -p standin --example endpoint_load -- [CONNECTIONS] [REQUESTS per connection]`

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standin::{EndpointSettings, start_endpoint};
use timer::Timer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BODY: &str = "a request of common size, which is repeated for each call";

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let connections: usize = args.next().unwrap_or(1);
    let requests: usize = args.next().unwrap_or(20_000);
    let settings = EndpointSettings {
        connections,
        ..EndpointSettings::default()
    };
    let server = start_endpoint("e1".into(), &settings, &Timer::start())
        .await
        .expect("the endpoint starts");
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..connections {
        calls.spawn(load(server.addr(), requests));
    }
    let mut times = calls.join_all().await.concat();
    let elapsed = started.elapsed();
    times.sort();
    let at = |percent: usize| times[times.len() * percent / 100].as_micros();
    println!(
        "connections={connections} requests={} per_second={} p50_us={} p90_us={} p99_us={}",
        times.len(),
        times.len() as u128 * 1_000_000 / elapsed.as_micros().max(1),
        at(50),
        at(90),
        at(99),
    );
}

/// Sends requests one after the other and returns their times.
async fn load(addr: SocketAddr, requests: usize) -> Vec<Duration> {
    let mut conn = TcpStream::connect(addr)
        .await
        .expect("the endpoint accepts");
    conn.set_nodelay(true).expect("the option exists");
    let mut times = Vec::with_capacity(requests);
    let mut buf = vec![0; 4096];
    for n in 0..requests {
        let request = format!(
            "POST / HTTP/1.1\r\nHost: e1\r\nLimpethook-Request-Id: {n:032x}\r\nContent-Length: {}\r\n\r\n{BODY}",
            BODY.len()
        );
        let sent = Instant::now();
        conn.write_all(request.as_bytes()).await.expect("sent");
        read_answer(&mut conn, &mut buf).await;
        times.push(sent.elapsed());
    }
    times
}

/// Reads up to the end of the answer, which is the only closing brace.
async fn read_answer(conn: &mut TcpStream, buf: &mut [u8]) {
    let mut end = 0;
    while end == 0 || buf[end - 1] != b'}' {
        let read = conn.read(&mut buf[end..]).await.expect("an answer");
        assert!(read > 0, "the endpoint closed the connection");
        end += read;
    }
    assert!(buf.starts_with(b"HTTP/1.1 200"));
}
