//! Requests for newer sections between peers.

use std::net::SocketAddr;
use std::time::Duration;

use board::{ConfigSnapshot, Section};
use errors::{Error, ErrorKind, Result};
use model::{EntryId, Revision};
use tokio::time::timeout;
use wire::{Call, Peers, Reply, Sections};

use crate::apply::sections_after;

/// Timeout of a fetch, in which the whole document may have to be transferred between regions.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a relay waits for a change before it replies without one.
pub(crate) const POLL_WAIT: Duration = Duration::from_secs(5);

/// Fetches the sections that are newer than a revision from a peer.
pub async fn fetch(peers: &Peers, addr: SocketAddr, after: Revision) -> Result<Sections> {
    let call = Call::SectionsAfter(after);
    into_sections(peers.call(addr, &call, FETCH_TIMEOUT).await?)
}

/// Fetches the sections that are newer than a revision from a peer, without those that agents do not use.
pub async fn fetch_for_agent(peers: &Peers, addr: SocketAddr, after: Revision) -> Result<Sections> {
    let call = Call::AgentSections(after);
    into_sections(peers.call(addr, &call, FETCH_TIMEOUT).await?)
}

/// Polls a relay for sections that are newer than a revision; the relay waits for a change before it replies.
pub async fn fetch_next(
    peers: &Peers,
    addr: SocketAddr,
    after: Revision,
    follower: EntryId,
) -> Result<Sections> {
    let call = Call::NextSections { after, follower };
    into_sections(peers.call(addr, &call, POLL_WAIT + FETCH_TIMEOUT).await?)
}

/// Waits for sections that are newer than a revision and returns them; there are none if the wait times out.
pub async fn next_sections(received: &Section<ConfigSnapshot>, after: Revision) -> Sections {
    let mut changes = received.changes();
    let wait_for_newer =
        async { while received.load().revision <= after && changes.changed().await.is_ok() {} };
    let _ = timeout(POLL_WAIT, wait_for_newer).await;
    sections_after(&received.load(), after)
}

fn into_sections(reply: Reply) -> Result<Sections> {
    match reply {
        Reply::Sections(sections) => Ok(sections),
        _ => Err(Error::not_run(
            ErrorKind::Internal,
            "unexpected reply to a request for sections",
        )
        .report()),
    }
}
