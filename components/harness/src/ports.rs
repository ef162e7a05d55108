//! Allocation of free loopback addresses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::Result;

/// Ports below the range that the kernel uses for outgoing connections. Within that range, a connection of another
/// process could take a port between the check and its use.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Offset of the next port to try. Each port is returned only once, because programs bind it after the check.
static NEXT_OFFSET: LazyLock<AtomicU16> =
    LazyLock::new(|| AtomicU16::new(fastrand::u16(PORT_RANGE)));

/// The loopback address of this process. Other test processes use other addresses, so that none of them can take a port
/// between the check and its use.
static HOST: LazyLock<Ipv4Addr> = LazyLock::new(|| {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // 127.0.0.0/8 is the loopback network; its first quarter is left to other uses.
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
});

/// Returns a loopback address whose port is free for TCP and UDP.
pub fn free_addr() -> Result<SocketAddr> {
    for _ in PORT_RANGE {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + offset % (PORT_RANGE.end - PORT_RANGE.start);
        let addr = SocketAddr::from((*HOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err("no free port on loopback".into())
}
