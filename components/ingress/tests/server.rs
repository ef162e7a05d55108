//! A server whose connections are accounted for, on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use ingress::decide::{Capacity, RequestLimits};
use ingress::{ClientBoard, limited_server, spawn_controller, track_exchanges};
use salvo::conn::TcpListener;
use salvo::http::Method;
use salvo::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of an answer that the buffers of the operating system do not hold.
const LARGE_ANSWER_BYTES: usize = 32 << 20;

/// Answers `/large` with a large text, reads the body of a POST, and takes its time for any other request.
struct SlowHandler(Duration);

#[async_trait]
impl Handler for SlowHandler {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == "/large" {
            res.render("x".repeat(LARGE_ANSWER_BYTES));
            return;
        }
        if *req.method() == Method::POST {
            let body = ingress::read_body(req, depot, 262_144).await;
            assert!(body.is_ok(), "the body is read");
        } else {
            tokio::time::sleep(self.0).await;
        }
        res.render("done");
    }
}

async fn start(
    capacity: Capacity,
    limits: RequestLimits,
    time: Duration,
) -> std::io::Result<(SocketAddr, Arc<ClientBoard>)> {
    let addr = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let clients = ClientBoard::new(capacity);
    spawn_controller(&clients, &timer::Timer::start(), move || limits);
    let acceptor = TcpListener::new(addr).try_bind().await;
    let server = limited_server(acceptor.expect("the address is free"), &clients);
    let router = Router::with_path("{**rest}").goal(SlowHandler(time));
    let service = Service::new(router).hoop(track_exchanges(&clients));
    tokio::spawn(server.serve(service));
    Ok((addr, clients))
}

/// Guards against cutting a request that is being handled, because nobody reads its body.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_unread_body_is_answered() -> std::io::Result<()> {
    let limits = RequestLimits {
        idle_timeout: Duration::from_millis(500),
        ..RequestLimits::default()
    };
    let capacity = Capacity {
        connections: 100,
        bytes: 32 << 20,
        jobs: 0,
    };
    let (addr, _clients) = start(capacity, limits, Duration::from_secs(4)).await?;
    let mut stream = TcpStream::connect(addr).await?;
    let request = b"DELETE /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}";
    stream.write_all(request).await?;
    let mut buf = [0; 300];
    let length = stream.read(&mut buf).await?;
    assert!(buf[..length].starts_with(b"HTTP/1.1 200"));
    Ok(())
}

/// Guards against closing idle connections in calm conditions, because a body that arrived on them in small pieces still counts.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_stay_after_bodies() -> std::io::Result<()> {
    // A tenth of what an entry with 160 MB has.
    let capacity = Capacity {
        connections: 390,
        bytes: 3_355_443,
        jobs: 0,
    };
    let (addr, clients) = start(capacity, RequestLimits::default(), Duration::ZERO).await?;
    let head = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    let mut open = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(head.as_bytes()).await?;
        for piece in vec![b'x'; 60_000].chunks(1_000) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        let mut buf = [0; 300];
        assert!(stream.read(&mut buf).await? > 0);
        open.push(stream);
    }
    assert_eq!(clients.connection_count(), 100);
    Ok(())
}

/// Guards against an answer that is cut for another connection while its client reads it, and against a client that keeps its
/// connection by not reading.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_closed_for_others_only_unread() -> std::io::Result<()> {
    let capacity = Capacity {
        connections: 2,
        bytes: 64 << 20,
        jobs: 0,
    };
    let (addr, _clients) = start(capacity, RequestLimits::default(), Duration::ZERO).await?;
    let mut reader = TcpStream::connect(addr).await?;
    let get = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    reader.write_all(get).await?;
    let mut idle = TcpStream::connect(addr).await?;
    let mut buf = vec![0; 1 << 20];
    reader.read_exact(&mut buf).await?;
    let mut other = TcpStream::connect(addr).await?;
    other
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await?;
    assert!(other.read(&mut buf).await? > 0, "the other one is served");
    assert_eq!(idle.read(&mut buf).await.unwrap_or(0), 0, "it is closed");
    reader.read_exact(&mut buf).await?;
    // From now on, nobody reads the rest of the answer.
    tokio::time::sleep(Duration::from_secs(3)).await;
    other.write_all(get).await?;
    other.read_exact(&mut buf).await?;
    let mut third = TcpStream::connect(addr).await?;
    third
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await?;
    assert!(third.read(&mut buf).await? > 0, "the third one is served");
    Ok(())
}
