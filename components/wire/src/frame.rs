//! Authenticated frames on a TCP connection.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use ingress::Connection;
use serde::Serialize;
use serde::de::DeserializeOwned;
use telemetry::traffic;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{Key, NONCE_LEN, TAG_LEN};
use crate::metered::MeteredReader;
use crate::traffic::TrafficCounters;

/// Maximum size of a frame in bytes, larger than the largest body that an entry accepts.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Size up to which the buffers of a connection are kept between messages. A connection would otherwise keep the memory of the largest
/// message that it ever carried.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

const CLIENT_TO_SERVER: u8 = 1;
const SERVER_TO_CLIENT: u8 = 2;

/// The read half of a connection.
pub(crate) struct FrameReader {
    inner: FramedRead<MeteredReader, LengthDelimitedCodec>,
    key: Key,
    sequence: u64,
    traffic: Arc<TrafficCounters>,
}

/// The write half of a connection.
pub(crate) struct FrameWriter {
    inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    key: Key,
    sequence: u64,
    /// Bytes of the messages since the last flush.
    unflushed: usize,
    traffic: Arc<TrafficCounters>,
}

/// The role of this process on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Client,
    Server,
}

/// Exchanges nonces with the peer and returns both halves of the connection.
pub(crate) async fn handshake(
    mut stream: TcpStream,
    key: &Key,
    side: Side,
    traffic: &Arc<TrafficCounters>,
    account: Option<Arc<Connection>>,
) -> std::io::Result<(FrameReader, FrameWriter)> {
    stream.set_nodelay(true)?;
    let own: [u8; NONCE_LEN] = fastrand::u128(..).to_le_bytes();
    stream.write_all(&own).await?;
    let mut peer = [0; NONCE_LEN];
    stream.read_exact(&mut peer).await?;
    let (client, server) = if side == Side::Client {
        (own, peer)
    } else {
        (peer, own)
    };
    let mut nonces = [0; 2 * NONCE_LEN];
    nonces[..NONCE_LEN].copy_from_slice(&client);
    nonces[NONCE_LEN..].copy_from_slice(&server);
    let to_server = key.for_direction(CLIENT_TO_SERVER, &nonces);
    let to_client = key.for_direction(SERVER_TO_CLIENT, &nonces);
    let (read_key, write_key) = match side {
        Side::Client => (to_client, to_server),
        Side::Server => (to_server, to_client),
    };
    let (read, write) = stream.into_split();
    let reader = FrameReader {
        inner: FramedRead::new(MeteredReader::new(read, account), codec()),
        key: read_key,
        sequence: 0,
        traffic: Arc::clone(traffic),
    };
    let writer = FrameWriter {
        inner: FramedWrite::new(write, codec()),
        key: write_key,
        sequence: 0,
        unflushed: 0,
        traffic: Arc::clone(traffic),
    };
    Ok((reader, writer))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message into a buffer to which the tag is appended later.
pub(crate) fn encode<T: Serialize>(message: &T) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(message, Vec::with_capacity(128))
}

impl FrameReader {
    /// Reads the next message; `None` if the connection ended or the frame is invalid.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        let frame: BytesMut = self.inner.next().await?.ok()?;
        self.traffic.add_received(LENGTH_BYTES + frame.len());
        traffic::CALLS.count_received(LENGTH_BYTES + frame.len());
        let split = frame.len().checked_sub(TAG_LEN)?;
        let (message, tag) = frame.split_at(split);
        if !self.key.verify(self.sequence, message, tag) {
            log::warn!(target: "limpethook", reason = "invalid authentication tag"; "connection_closed");
            return None;
        }
        self.inner.get_mut().finish_frame();
        self.sequence += 1;
        let message = postcard::from_bytes(message).ok();
        if frame.len() > KEPT_BUFFER_BYTES {
            release(self.inner.read_buffer_mut());
        }
        message
    }
}

impl FrameWriter {
    /// Adds an encoded message to the write buffer.
    pub(crate) async fn feed(&mut self, mut message: Vec<u8>) -> std::io::Result<()> {
        let tag = self.key.tag(self.sequence, &message);
        self.sequence += 1;
        message.extend_from_slice(&tag);
        self.unflushed += message.len();
        self.traffic.add_sent(LENGTH_BYTES + message.len());
        traffic::CALLS.count_sent(LENGTH_BYTES + message.len());
        self.inner.feed(Bytes::from(message)).await
    }

    /// Sends all buffered messages.
    pub(crate) async fn flush(&mut self) -> std::io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.inner).await?;
        if std::mem::take(&mut self.unflushed) > KEPT_BUFFER_BYTES {
            release(self.inner.write_buffer_mut());
        }
        Ok(())
    }
}

/// Releases the memory of a buffer that holds nothing. Its capacity does not tell how large that is: what was read or written is only
/// skipped.
fn release(buf: &mut BytesMut) {
    if buf.is_empty() {
        *buf = BytesMut::new();
    }
}
