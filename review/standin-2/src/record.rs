//! The record of a script: one line for each call, answer and run.

use std::fmt::Display;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Appends lines to a file that several processes share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.expect("the record can be opened");
        Self {
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time of day in milliseconds.
    pub fn line(&self, text: impl Display) {
        let line = format!("{} {text}\n", unix_ms());
        let mut file = self.file.lock().expect("no thread panics with the record");
        // One write per line, so that lines of several processes do not mix.
        let _ = file.write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}
