//! Reads that do not make the buffer of a connection grow.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of a read. hyper doubles the buffer of a connection after a read that fills it, which begins with 8,192 bytes, and
/// keeps it until the connection closes.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Accepts connections whose reads are short.
#[derive(Debug)]
pub struct ShortReads<A>(pub(crate) A);

/// A connection whose reads are short.
#[derive(Debug)]
pub struct ShortReadStream<S>(S);

impl<A> Acceptor for ShortReads<A>
where
    A: Acceptor,
    A::Stream: AsyncRead + AsyncWrite,
{
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = ShortReadStream<A::Stream>;

    fn holdings(&self) -> &[Holding] {
        self.0.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.0.accept(fuse_policy).await?;
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: ShortReadStream(accepted.stream),
            fuse_config: accepted.fuse_config,
            conn_ctrl: accepted.conn_ctrl,
            local_addr: accepted.local_addr,
            remote_addr: accepted.remote_addr,
            http_scheme: accepted.http_scheme,
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ShortReadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.0).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.advance(read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ShortReadStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
