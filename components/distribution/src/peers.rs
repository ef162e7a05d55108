//! Asking a peer for newer sections, and answering.

use std::net::SocketAddr;
use std::time::Duration;

use board::{ConfigSnapshot, Section};
use errors::{Error, ErrorKind, Result};
use model::{EntryId, Revision};
use tokio::time::timeout;
use wire::{Call, Peers, Reply, Sections};

use crate::apply::sections_after;

/// How long a peer may take; the whole document may have to cross the link between regions.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a relay waits for a change before it answers without one.
pub(crate) const POLL_WAIT: Duration = Duration::from_secs(5);

/// Returns the sections that a peer has above a revision.
pub async fn fetch(peers: &Peers, addr: SocketAddr, after: Revision) -> Result<Sections> {
    let call = Call::SectionsAfter(after);
    sections(peers.call(addr, &call, FETCH_TIMEOUT).await?)
}

/// Returns the sections that a peer has above a revision, without what agents do not use.
pub async fn fetch_for_agent(peers: &Peers, addr: SocketAddr, after: Revision) -> Result<Sections> {
    let call = Call::AgentSections(after);
    sections(peers.call(addr, &call, FETCH_TIMEOUT).await?)
}

/// Returns the sections that a relay holds above a revision, once there are any.
pub async fn fetch_next(
    peers: &Peers,
    addr: SocketAddr,
    after: Revision,
    follower: EntryId,
) -> Result<Sections> {
    let call = Call::NextSections { after, follower };
    sections(peers.call(addr, &call, POLL_WAIT + FETCH_TIMEOUT).await?)
}

/// Waits for sections above a revision and returns them; there are none if the wait ended first.
pub async fn next_sections(held: &Section<ConfigSnapshot>, after: Revision) -> Sections {
    let mut changes = held.changes();
    let newer = async { while held.load().revision <= after && changes.changed().await.is_ok() {} };
    let _ = timeout(POLL_WAIT, newer).await;
    sections_after(&held.load(), after)
}

fn sections(reply: Reply) -> Result<Sections> {
    match reply {
        Reply::Sections(sections) => Ok(sections),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply for sections").report()),
    }
}
