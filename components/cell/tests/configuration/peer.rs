//! Other entries that answer questions about the configuration, and nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use cell::Configuration;
use errors::Result;
use model::Revision;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, CellView, Key, Reply, Server};

use crate::common::SECRET;

/// The configuration of another entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerConfiguration {
    pub(crate) version: u64,
    pub(crate) revision: Revision,
    /// Time since the store confirmed it.
    pub(crate) age: Duration,
    /// Time that the transfer of the document takes.
    pub(crate) transfer: Duration,
    /// Whether its document ends before the limits of requests.
    pub(crate) has_no_request_limits: bool,
}

impl PeerConfiguration {
    /// Returns a version that was stored with the same revision and has just been confirmed.
    pub(crate) fn fresh(version: u64) -> Self {
        Self {
            version,
            revision: version,
            age: Duration::ZERO,
            transfer: Duration::ZERO,
            has_no_request_limits: false,
        }
    }

    fn document(self) -> Vec<u8> {
        let configuration = Configuration {
            version: self.version,
            ..Configuration::default()
        };
        let mut document = postcard::to_stdvec(&configuration).unwrap_or_default();
        if self.has_no_request_limits {
            let limits = postcard::to_stdvec(&configuration.request_limits).unwrap_or_default();
            document.truncate(document.len() - limits.len());
        }
        document
    }

    async fn answer(self, call: Call) -> Result<Reply> {
        Ok(match call {
            Call::ConfigurationAfter(after) => {
                tokio::time::sleep(self.transfer).await;
                let newer = (self.version > after).then(|| (self.version, self.document()));
                Reply::Configuration(newer)
            }
            Call::ConfigurationState => {
                Reply::ConfigurationState(Some((self.revision, Some(self.age))))
            }
            Call::ConfigurationDocument(after) => {
                tokio::time::sleep(self.transfer).await;
                let newer = (self.revision > after).then(|| (self.revision, self.document()));
                Reply::ConfigurationDocument(newer)
            }
            _ => Reply::CellView(CellView::default()),
        })
    }
}

/// Starts an entry that has this configuration, and returns its address.
pub(crate) async fn start_peer(peer: PeerConfiguration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is available");
    let addr = listener.local_addr().expect("the listener has an address");
    let server = Server::new(listener, Key::from_secret(SECRET));
    let answer = move |_, call| peer.answer(call);
    tokio::spawn(server.serve(answer, CancellationToken::new()));
    addr
}
