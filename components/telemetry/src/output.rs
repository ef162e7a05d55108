//! Line output that does not block if its reader is slow.

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Mutex;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// The maximum line length in bytes, including the line feed: the number of bytes that a pipe reported as writable
/// accepts without blocking (`PIPE_BUF` on Linux).
const MAX_LINE_BYTES: usize = 4096;

/// An output that drops lines instead of blocking.
#[derive(Debug)]
pub struct LineOutput<W>(Mutex<State<W>>);

#[derive(Debug)]
struct State<W> {
    writer: W,
    dropped: u64,
}

impl<W: Write + AsFd> LineOutput<W> {
    /// Creates an output that writes to `writer`.
    pub fn new(writer: W) -> Self {
        Self(Mutex::new(State { writer, dropped: 0 }))
    }

    /// Writes a line, truncated to 4,096 bytes with its line feed, or drops it if writing would block.
    ///
    /// The next line that can be written is preceded by an event with the number of dropped lines.
    pub fn write_line(&self, line: &str) {
        let Ok(mut state) = self.0.lock() else {
            return;
        };
        if state.dropped > 0 {
            let event = format!("event=log_lines_dropped lines={}", state.dropped);
            if !state.try_write(&event) {
                state.dropped += 1;
                return;
            }
            state.dropped = 0;
        }
        if !state.try_write(line) {
            state.dropped += 1;
        }
    }
}

impl<W: Write + AsFd> State<W> {
    /// Returns whether the line was written.
    fn try_write(&mut self, line: &str) -> bool {
        let mut fds = [PollFd::new(self.writer.as_fd(), PollFlags::POLLOUT)];
        let polled = poll(&mut fds, PollTimeout::ZERO);
        let is_writable = fds[0]
            .revents()
            .is_some_and(|events| events.contains(PollFlags::POLLOUT));
        if polled.is_err() || !is_writable {
            return false;
        }
        let length = line.floor_char_boundary(MAX_LINE_BYTES - 1);
        let mut buf = Vec::with_capacity(length + 1);
        buf.extend_from_slice(&line.as_bytes()[..length]);
        buf.push(b'\n');
        let written = self.writer.write_all(&buf);
        written.and_then(|()| self.writer.flush()).is_ok()
    }
}
