//! Measures the throughput and latency of the simulated endpoint over loopback.
//!
//! Run with `cargo run --release -p standin --example endpoint_load -- [CONNECTIONS] [REQUESTS per connection]`

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
        .expect("failed to start the endpoint");
    let started = Instant::now();
    let mut connection_tasks = tokio::task::JoinSet::new();
    for _ in 0..connections {
        connection_tasks.spawn(send_requests(server.addr(), requests));
    }
    let mut latencies = connection_tasks.join_all().await.concat();
    let elapsed = started.elapsed();
    latencies.sort();
    let percentile = |percent: usize| latencies[latencies.len() * percent / 100].as_micros();
    println!(
        "connections={connections} requests={} per_second={} p50_us={} p90_us={} p99_us={}",
        latencies.len(),
        latencies.len() as u128 * 1_000_000 / elapsed.as_micros().max(1),
        percentile(50),
        percentile(90),
        percentile(99),
    );
}

/// Sends requests sequentially on one connection and returns their latencies.
async fn send_requests(addr: SocketAddr, requests: usize) -> Vec<Duration> {
    let mut conn = TcpStream::connect(addr)
        .await
        .expect("failed to connect to the endpoint");
    conn.set_nodelay(true).expect("failed to set TCP_NODELAY");
    let mut latencies = Vec::with_capacity(requests);
    let mut buf = vec![0; 4096];
    for number in 0..requests {
        let request = format!(
            "POST / HTTP/1.1\r\nHost: e1\r\nLimpethook-Request-Id: {number:032x}\r\nContent-Length: {}\r\n\r\n{BODY}",
            BODY.len()
        );
        let sent = Instant::now();
        conn.write_all(request.as_bytes())
            .await
            .expect("failed to send the request");
        read_response(&mut conn, &mut buf).await;
        latencies.push(sent.elapsed());
    }
    latencies
}

/// Reads to the end of the response. The only closing brace is that of the JSON body.
async fn read_response(conn: &mut TcpStream, buf: &mut [u8]) {
    let mut end = 0;
    while end == 0 || buf[end - 1] != b'}' {
        let read = conn
            .read(&mut buf[end..])
            .await
            .expect("failed to read the response");
        assert!(
            read > 0,
            "the endpoint closed the connection before the end of the response"
        );
        end += read;
    }
    assert!(buf.starts_with(b"HTTP/1.1 200"));
}
