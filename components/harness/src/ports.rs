//! Free addresses on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::Result;

/// Returns a loopback address whose port is free for TCP and UDP.
pub fn free_addr() -> Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        if UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
}
