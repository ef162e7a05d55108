//! Free addresses on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::Result;

/// Ports below the range from which the system takes ports of outgoing connections; those connections of other
/// processes would take a port between the check and its use.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The next port; a port is given out once, because programs bind it later.
static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(fastrand::u16(PORTS)));

/// Returns a loopback address whose port is free for TCP and UDP.
pub fn free_addr() -> Result<SocketAddr> {
    for _ in PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + step % (PORTS.end - PORTS.start);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err("no free port on loopback".into())
}
