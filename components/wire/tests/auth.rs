//! Messages with a wrong key, repeated ones and changed ones.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use errors::Verdict;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{Ack, Call, Datagrams, Key, Packet, Peers, Reply, Server};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SOON: Duration = Duration::from_secs(2);
const QUIET: Duration = Duration::from_millis(100);

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

/// Returns the bytes of one datagram of a process.
async fn captured(from: &Datagrams) -> Vec<u8> {
    let tap = UdpSocket::bind(LOCAL).await.unwrap();
    from.send(tap.local_addr().unwrap(), ack()).await;
    let mut buf = [0; 1500];
    let len = timeout(SOON, tap.recv(&mut buf)).await.unwrap().unwrap();
    buf[..len].to_vec()
}

/// Sends raw bytes to a process and returns whether it accepted a datagram.
async fn accepts(to: &Datagrams, bytes: &[u8]) -> bool {
    let raw = UdpSocket::bind(LOCAL).await.unwrap();
    raw.send_to(bytes, to.local_addr().unwrap()).await.unwrap();
    timeout(QUIET, to.recv()).await.is_ok()
}

/// Guards against a recorded datagram that is accepted again.
#[tokio::test]
async fn recv_drops_repeated_datagram() {
    let sender = Datagrams::bind(LOCAL, key("one"), "sender").await.unwrap();
    let receiver = Datagrams::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = captured(&sender).await;
    assert!(accepts(&receiver, &bytes).await);
    assert!(!accepts(&receiver, &bytes).await);
    assert_eq!(receiver.counts().repeated(), 1);
}

/// Guards against datagrams of a process that does not have the key.
#[tokio::test]
async fn recv_drops_foreign_datagram() {
    let stranger = Datagrams::bind(LOCAL, key("two"), "sender").await.unwrap();
    let receiver = Datagrams::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = captured(&stranger).await;
    assert!(!accepts(&receiver, &bytes).await);
    assert_eq!(receiver.counts().foreign(), 1);
}

/// Guards against a datagram that was changed on its way.
#[tokio::test]
async fn recv_drops_changed_datagram() {
    let sender = Datagrams::bind(LOCAL, key("one"), "sender").await.unwrap();
    let receiver = Datagrams::bind(LOCAL, key("one"), "receiver")
        .await
        .unwrap();
    let bytes = captured(&sender).await;
    for position in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(
            !accepts(&receiver, &changed).await,
            "changed byte {position}"
        );
    }
    assert!(accepts(&receiver, &bytes).await);
}

/// Guards against calls of a process that does not have the key.
#[tokio::test]
async fn call_fails_with_wrong_key() {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let server =
        Server::new(listener, key("one")).serve(|_, _| async { Ok(Reply::Done) }, stop.clone());
    tokio::spawn(server);
    let call = Call::WhoOwns("caribe".into());
    let known = Peers::new(key("one")).call(addr, &call, SOON).await;
    assert!(matches!(known, Ok(Reply::Done)));
    let foreign = Peers::new(key("two")).call(addr, &call, SOON).await;
    let report = foreign.expect_err("a call with a wrong key is not answered");
    assert_eq!(report.current_context().verdict, Verdict::MayHaveRun);
    stop.cancel();
}
