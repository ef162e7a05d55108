//! Accounts of connections without a network.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ingress::ClientBoard;
use ingress::decide::{CONNECTION_BYTES, Capacity};

fn addr(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn board(connections: usize) -> Arc<ClientBoard> {
    ClientBoard::new(Capacity {
        connections,
        bytes: 1 << 20,
        jobs: 0,
    })
}

/// Guards against accounts that are not settled when connections end.
#[test]
fn dropped_connections_release_everything() {
    let clients = board(20);
    for round in 0..3 {
        let open: Vec<_> = (0..20)
            .map(|port| clients.open(addr(1 + port), addr(100 + round), || {}))
            .collect();
        assert!(open.iter().all(Option::is_some));
        assert_eq!(clients.connection_count(), 20);
        assert_eq!(clients.held_bytes(), 20 * CONNECTION_BYTES);
        for connection in open.iter().flatten() {
            assert!(connection.hold_message(1_000));
        }
        drop(open);
        assert_eq!((clients.connection_count(), clients.held_bytes()), (0, 0));
    }
}

/// Guards against more connections than descriptors, and against a new connection for which none is closed.
#[tokio::test]
async fn make_room_closes_one_connection() {
    let clients = board(4);
    let closed = Arc::new(AtomicUsize::new(0));
    let open: Vec<_> = (0..4)
        .map(|port| {
            let closed = Arc::clone(&closed);
            clients.open(addr(1 + port), addr(100), move || {
                closed.fetch_add(1, Ordering::SeqCst);
            })
        })
        .collect();
    assert!(clients.open(addr(50), addr(100), || {}).is_none());
    // The closed connection keeps its descriptor until its task ends.
    assert!(!clients.make_room().await);
    assert_eq!(closed.load(Ordering::SeqCst), 1);
    drop(open);
    assert!(clients.make_room().await);
}

/// Guards against a connection of a process of the deployment that is closed or refused for strangers.
#[test]
fn peer_keeps_its_connection() {
    let clients = board(4);
    let peer = clients.open(addr(1), addr(100), || panic!("a peer is not closed"));
    let peer = peer.expect("there is room");
    peer.trust();
    assert!(peer.hold_message(2 << 20));
    let stranger = clients.open(addr(2), addr(100), || {});
    assert!(stranger.is_none(), "the budget is used up");
    peer.give_back(2 << 20);
    let stranger = clients.open(addr(2), addr(100), || {});
    let stranger = stranger.expect("there is room again");
    assert!(!stranger.hold_message(2 << 20));
}

/// Guards against idle connections that use up the memory although there are descriptors for them, and against agents of a large
/// deployment that count as such.
#[test]
fn open_bounds_strangers_and_spares_peers() {
    let clients = board(1_000);
    let peers: Vec<_> = (0..500)
        .map(|port| {
            let peer = clients.open(addr(1 + port), addr(100), || panic!("a peer is not closed"));
            peer.inspect(|peer| peer.trust())
        })
        .collect();
    assert!(peers.iter().all(Option::is_some));
    assert_eq!(clients.held_bytes(), 0);
    // Closed connections stay open here, as those of a process that is too slow to end them.
    let strangers: Vec<_> = (0..500)
        .filter_map(|port| clients.open(addr(1_001 + port), addr(100), || {}))
        .collect();
    let budget = (1 << 20) / CONNECTION_BYTES;
    assert!((budget..=budget * 5 / 4).contains(&strangers.len()));
    drop((peers, strangers));
    assert_eq!((clients.connection_count(), clients.held_bytes()), (0, 0));
}

/// Guards against relayed jobs that are handled without a bound, and against their account that is not settled.
#[test]
fn hold_bounds_work_without_connection() {
    let clients = board(4);
    let held = clients.hold(1 << 20).expect("there is room");
    assert!(clients.hold(1 << 20).is_none());
    drop(held);
    assert_eq!(clients.held_bytes(), 0);
    assert!(clients.hold(1 << 20).is_some());
}
