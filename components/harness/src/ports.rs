//! Free addresses on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::Result;

/// Ports below the range that the system gives to outgoing connections, which could take a port between its choice and
/// its use.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 22_000;
/// Each process begins in a block of its own, so that tests in parallel do not choose the same port.
const BLOCK: u32 = 100;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port is free for TCP and UDP.
pub fn free_addr() -> Result<SocketAddr> {
    let block = std::process::id() * BLOCK % u32::from(PORTS);
    let block = u16::try_from(block)?;
    for _ in 0..PORTS {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let port = FIRST_PORT + (block + offset) % PORTS;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err("no port is free".into())
}
