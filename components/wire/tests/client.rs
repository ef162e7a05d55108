//! Tests of what a client concludes about the process of a peer.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpListener;
use wire::{Key, Peers};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Guards against a silent process that is taken for one that has ended: its host still accepts connections for it.
#[tokio::test]
async fn is_refused_only_without_listener() {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let peers = Peers::new(Key::from_secret("one"));
    assert!(!peers.is_refused(addr).await);
    drop(listener);
    assert!(peers.is_refused(addr).await);
}
