//! Tests that messages with a wrong key, replayed messages and modified messages are rejected.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use errors::Verdict;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{Ack, Call, DatagramSocket, Key, Packet, Peers, Reply, Server};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const RECV_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a test waits before it concludes that a datagram was dropped.
const DROP_TIMEOUT: Duration = Duration::from_millis(100);

fn key(secret: &str) -> Key {
    Key::from_secret(secret)
}

fn ack() -> Packet {
    Packet::Ack(Ack {
        epoch: 7,
        revision: 3,
        announce: false,
    })
}

/// Sends a datagram from a process and returns its bytes.
async fn capture_datagram(from: &DatagramSocket) -> Vec<u8> {
    let receiver = UdpSocket::bind(LOCAL).await.unwrap();
    from.send(receiver.local_addr().unwrap(), ack()).await;
    let mut buf = [0; 1500];
    let len = timeout(RECV_TIMEOUT, receiver.recv(&mut buf))
        .await
        .unwrap()
        .unwrap();
    buf[..len].to_vec()
}

/// Sends raw bytes to a process and returns whether it accepted a datagram.
async fn accepts(to: &DatagramSocket, bytes: &[u8]) -> bool {
    let raw = UdpSocket::bind(LOCAL).await.unwrap();
    raw.send_to(bytes, to.local_addr().unwrap()).await.unwrap();
    timeout(DROP_TIMEOUT, to.recv()).await.is_ok()
}

/// Guards against accepting a replayed datagram.
#[tokio::test]
async fn recv_drops_repeated_datagram() {
    let sender = DatagramSocket::bind(LOCAL, key("one"), "sender")
        .await
        .unwrap();
    let receiver = DatagramSocket::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = capture_datagram(&sender).await;
    assert!(accepts(&receiver, &bytes).await);
    assert!(!accepts(&receiver, &bytes).await);
    assert_eq!(receiver.counts().repeated(), 1);
}

/// Guards against an agent that is ignored for good after a restart while its clock is back: the owner removes it, and the
/// runs that it leads count as gone.
#[tokio::test]
async fn recv_accepts_process_with_earlier_incarnation() {
    let with_earlier_clock = DatagramSocket::bind(LOCAL, key("one"), "sender")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(2)).await;
    let first = DatagramSocket::bind(LOCAL, key("one"), "sender")
        .await
        .unwrap();
    assert!(with_earlier_clock.incarnation() < first.incarnation());
    let receiver = DatagramSocket::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let of_first = capture_datagram(&first).await;
    assert!(accepts(&receiver, &of_first).await);
    let of_restarted = capture_datagram(&with_earlier_clock).await;
    assert!(accepts(&receiver, &of_restarted).await);
    assert!(!accepts(&receiver, &of_restarted).await);
    assert!(!accepts(&receiver, &of_first).await);
}

/// Guards against unbounded memory of the incarnations of a process, and against a replay of one of the latest ones.
#[tokio::test]
async fn recv_drops_repeated_datagram_of_recent_incarnations() {
    let receiver = DatagramSocket::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let mut datagrams = Vec::new();
    for _ in 0..6 {
        let sender = DatagramSocket::bind(LOCAL, key("one"), "sender")
            .await
            .unwrap();
        let bytes = capture_datagram(&sender).await;
        assert!(accepts(&receiver, &bytes).await);
        datagrams.push(bytes);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    for bytes in datagrams.iter().rev().take(4) {
        assert!(!accepts(&receiver, bytes).await);
    }
}

/// Guards against accepting a datagram from a process with another key.
#[tokio::test]
async fn recv_drops_foreign_datagram() {
    let foreign_sender = DatagramSocket::bind(LOCAL, key("two"), "sender")
        .await
        .unwrap();
    let receiver = DatagramSocket::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = capture_datagram(&foreign_sender).await;
    assert!(!accepts(&receiver, &bytes).await);
    assert_eq!(receiver.counts().foreign(), 1);
}

/// Guards against accepting a datagram that was modified in transit.
#[tokio::test]
async fn recv_drops_modified_datagram() {
    let sender = DatagramSocket::bind(LOCAL, key("one"), "sender")
        .await
        .unwrap();
    let receiver = DatagramSocket::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = capture_datagram(&sender).await;
    for position in 0..bytes.len() {
        let mut modified = bytes.clone();
        modified[position] ^= 1;
        assert!(
            !accepts(&receiver, &modified).await,
            "modified byte {position}"
        );
    }
    assert!(accepts(&receiver, &bytes).await);
}

/// Guards against handling a call from a process with another key.
#[tokio::test]
async fn call_fails_with_wrong_key() {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let shutdown = CancellationToken::new();
    let server =
        Server::new(listener, key("one")).serve(|_, _| async { Ok(Reply::Done) }, shutdown.clone());
    tokio::spawn(server);
    let call = Call::FindOwner("caribe".into());
    let same_key = Peers::new(key("one")).call(addr, &call, RECV_TIMEOUT).await;
    assert!(matches!(same_key, Ok(Reply::Done)));
    let other_key = Peers::new(key("two")).call(addr, &call, RECV_TIMEOUT).await;
    let report = other_key.expect_err("a call with a wrong key must not be answered");
    assert_eq!(report.current_context().verdict, Verdict::MayHaveRun);
    shutdown.cancel();
}
