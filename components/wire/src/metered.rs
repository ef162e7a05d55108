//! Reading from connections that are accounted for.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use ingress::Connection;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

/// Bytes that a byte of a frame costs while the frame is unfinished: the buffer is copied to one of twice its size when it is
/// full, and the holes that this leaves in the heap are as large again.
const BYTES_PER_BYTE_READ: usize = 4;

/// The read half of a connection, which ends when an unknown sender may hold no more.
#[derive(Debug)]
pub(crate) struct MeteredReader {
    inner: OwnedReadHalf,
    account: Option<Arc<Connection>>,
    /// Bytes accounted for the frame that is being read.
    held: usize,
}

impl MeteredReader {
    pub(crate) fn new(inner: OwnedReadHalf, account: Option<Arc<Connection>>) -> Self {
        Self {
            inner,
            account,
            held: 0,
        }
    }

    /// Records that a frame with a valid tag was read.
    pub(crate) fn finish_frame(&mut self) {
        if let Some(account) = &self.account {
            account.trust();
            account.give_back(std::mem::take(&mut self.held));
        }
    }

    /// Accounts for bytes that were read; returns whether the connection may hold them.
    fn record(&mut self, bytes: usize) -> bool {
        let Some(account) = &self.account else {
            return true;
        };
        if self.held == 0 {
            account.begin_message();
        }
        account.record_progress();
        let cost = bytes * BYTES_PER_BYTE_READ;
        let granted = account.hold_message(cost);
        if granted {
            self.held += cost;
        }
        granted
    }
}

impl AsyncRead for MeteredReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 && !self.record(read) {
            let message = "unfinished messages use up the memory for messages";
            return Poll::Ready(Err(io::Error::other(message)));
        }
        polled
    }
}
