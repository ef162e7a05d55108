//! Calls to other entries.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{ErrorKind, Result};
use wire::{Call, Peers, Reply};

use crate::entry::Entry;

impl Entry {
    /// Calls another entry and records whether it answered.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Reply> {
        let result = call_peer(&self.peers, addr, call, timeout).await;
        let answered = match &result {
            Ok(_) => true,
            Err(report) => !matches!(
                report.current_context().kind,
                ErrorKind::Unavailable | ErrorKind::Timeout
            ),
        };
        self.record_peer_result(addr, answered);
        result
    }
}

/// Calls a peer. A connection on which a call timed out is not used again, because it may stay
/// silent.
pub(crate) async fn call_peer(
    peers: &Peers,
    addr: SocketAddr,
    call: &Call,
    timeout: Duration,
) -> Result<Reply> {
    let result = peers.call(addr, call, timeout).await;
    if let Err(report) = &result
        && report.current_context().kind == ErrorKind::Timeout
    {
        peers.remove(addr);
    }
    result
}
