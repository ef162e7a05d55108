//! Asking a peer for newer sections.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::Revision;
use wire::{Call, Peers, Reply, Sections};

/// How long a peer may take; the whole document may have to cross the link between regions.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the sections that a peer has above a revision.
pub async fn fetch(peers: &Peers, addr: SocketAddr, after: Revision) -> Result<Sections> {
    match peers
        .call(addr, &Call::SectionsAfter(after), FETCH_TIMEOUT)
        .await?
    {
        Reply::Sections(sections) => Ok(sections),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply to SectionsAfter").report()),
    }
}
