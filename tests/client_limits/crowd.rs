//! Clients that exceed the limits.

use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::Port;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Clients of a crowd, more than the descriptors in the settings leave for clients.
const CROWD_SIZE: usize = 500;
/// Clients of a crowd that sends very small chunks, each of which costs the sender and the receiver more time.
const SMALL_CHUNKS_CROWD_SIZE: usize = 60;
/// One in so many clients sends its request to the end.
const COMPLETE_EVERY: usize = 10;
/// Size of a head over the limit of 16,384 bytes.
const OVERSIZED_HEAD_BYTES: usize = 300_000;
/// How much a client without an end sends.
const ENDLESS_BYTES: usize = 400_000;
/// Size of a body within the limit of 262,144 bytes.
const BODY_BYTES: usize = 262_144;
/// Size of a piece of a body.
const PIECE_BYTES: usize = 16_384;
/// Pause between the pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 32_768;
/// Chunks of one byte in a body.
const SMALL_CHUNKS: usize = 60_000;
/// Size of a frame between processes that is never finished.
const FRAME_BYTES: usize = 1_000_000;
/// Size of the nonce with which a connection between processes begins.
const NONCE_BYTES: usize = 16;
/// How long a client waits for the server to take its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// What the clients of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    OversizedHeads,
    EndlessHeads,
    EmptyLines,
    WholeBodies,
    BodyPieces,
    LargeChunks,
    SmallChunks,
    UnfinishedFrames,
}

impl Kind {
    /// Returns the number of clients.
    pub(crate) fn crowd_size(self) -> usize {
        match self {
            Self::SmallChunks => SMALL_CHUNKS_CROWD_SIZE,
            _ => CROWD_SIZE,
        }
    }

    /// Sends the request of a client until the server closes or stops reading, and returns the open connection.
    pub(crate) async fn send(
        self,
        addr: SocketAddr,
        port: Port,
        index: usize,
    ) -> Option<TcpStream> {
        let connecting = timeout(WRITE_TIMEOUT, TcpStream::connect(addr)).await;
        let mut stream = connecting.ok()?.ok()?;
        let mut bytes = self.bytes(port, index);
        if !index.is_multiple_of(COMPLETE_EVERY) {
            // The last line end of a head or chunked body, and the last byte of any other body.
            bytes.truncate(bytes.len() - 1);
        }
        if self == Self::BodyPieces {
            for piece in bytes.chunks(PIECE_BYTES) {
                write(&mut stream, piece).await?;
                sleep(PIECE_PAUSE).await;
            }
        } else {
            write(&mut stream, &bytes).await?;
        }
        Some(stream)
    }

    fn bytes(self, port: Port, index: usize) -> Vec<u8> {
        let sized = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::OversizedHeads => {
                let value = "x".repeat(OVERSIZED_HEAD_BYTES);
                head(port, index, &format!("X-Padding: {value}\r\n\r\n"))
            }
            Self::EndlessHeads => head(port, index, &"x".repeat(ENDLESS_BYTES)),
            Self::EmptyLines => b"\r\n".repeat(ENDLESS_BYTES / 2),
            Self::WholeBodies | Self::BodyPieces => {
                let mut bytes = head(port, index, &sized);
                bytes.resize(bytes.len() + BODY_BYTES, b' ');
                bytes
            }
            Self::LargeChunks => {
                let mut bytes = head(port, index, chunked);
                for _ in 0..BODY_BYTES / LARGE_CHUNK_BYTES {
                    bytes.extend_from_slice(format!("{LARGE_CHUNK_BYTES:x}\r\n").as_bytes());
                    bytes.resize(bytes.len() + LARGE_CHUNK_BYTES, b' ');
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
                bytes
            }
            Self::SmallChunks => {
                let mut bytes = head(port, index, chunked);
                bytes.extend(b"1\r\n \r\n".repeat(SMALL_CHUNKS));
                bytes.extend_from_slice(b"0\r\n\r\n");
                bytes
            }
            Self::UnfinishedFrames => {
                let mut bytes = vec![0; NONCE_BYTES];
                let length = u32::try_from(2 * FRAME_BYTES).unwrap_or(u32::MAX);
                bytes.extend_from_slice(&length.to_be_bytes());
                bytes.resize(bytes.len() + FRAME_BYTES, 1);
                bytes
            }
        }
    }
}

/// Returns the head of a request that is valid on the port.
fn head(port: Port, index: usize, rest: &str) -> Vec<u8> {
    let line = match port {
        Port::Clients => format!("POST /batch/{index:016x}"),
        Port::Announcements => "PUT /instances/worker-0".to_owned(),
        Port::Metrics => "GET /metrics".to_owned(),
        Port::Readiness | Port::Calls => "GET /".to_owned(),
    };
    let authorization = "Host: queues.example\r\nAuthorization: Bearer token-faro\r\n";
    format!("{line} HTTP/1.1\r\n{authorization}{rest}").into_bytes()
}

/// Writes all bytes; `None` if the connection is closed. A server that stops reading is left alone.
async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    match timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(()),
    }
}
