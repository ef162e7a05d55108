//! Parses and validates a trace; every error of a line names the file, the line and the key.

use std::path::Path;

use errors::{Error, ErrorKind, Result};
use indexmap::IndexSet;
use serde::de::DeserializeOwned;

use crate::trace::{Behaviour, Header, Line, Submit, Trace, TraceEvent};

const VERSION: u32 = 1;

type ParseResult<T> = std::result::Result<T, Error>;

impl Trace {
    /// Reads a trace from a file.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|err| invalid_trace(&format!("{file}: cannot be read: {err}")).report())?;
        Self::parse(&file, &text)
    }

    /// Parses the text of a trace; errors refer to it as `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Self::parse_lines(file, text).map_err(Error::report)
    }

    fn parse_lines(file: &str, text: &str) -> ParseResult<Self> {
        let mut numbered_lines = text.lines().enumerate();
        let Some((_, first)) = numbered_lines.next() else {
            return Err(key_error(file, 1, "version", "the header line is missing"));
        };
        let header: Header = parse_line(file, 1, first)?;
        let mut validator = Validator::new(file, &header)?;
        let mut lines = Vec::new();
        for (index, text) in numbered_lines {
            let line: Line = parse_line(file, index + 1, text)?;
            validator.check_line(index + 1, &line)?;
            lines.push(line);
        }
        Ok(Self {
            file: file.into(),
            header,
            lines,
        })
    }

    /// Returns the text of the trace.
    pub fn to_text(&self) -> String {
        let mut text = json(&self.header);
        for line in &self.lines {
            text.push('\n');
            text.push_str(&json(line));
        }
        text.push('\n');
        text
    }
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("trace types have string keys only")
}

fn parse_line<T: DeserializeOwned>(file: &str, line: usize, text: &str) -> ParseResult<T> {
    serde_json::from_str(text).map_err(|err| {
        let message = err.to_string();
        let key = named_field(&message).unwrap_or_else(|| last_key(text, err.column()));
        key_error(file, line, key, &message)
    })
}

/// Returns the field named in an error message of serde.
fn named_field(message: &str) -> Option<&str> {
    let prefixes = ["unknown field `", "missing field `", "duplicate field `"];
    let rest = prefixes
        .iter()
        .find_map(|prefix| message.strip_prefix(prefix))?;
    rest.split('`').next()
}

/// Returns the last key before the column of an error, which is the key of the malformed value.
fn last_key(text: &str, column: usize) -> &str {
    let before = text.get(..column).unwrap_or(text);
    let Some(end) = before.rfind("\":") else {
        return "(none)";
    };
    let start = before[..end].rfind('"').map_or(0, |quote| quote + 1);
    &before[start..end]
}

/// Checks the order of the lines and that they refer only to objects of the header and of earlier lines.
struct Validator<'a> {
    file: &'a str,
    header: &'a Header,
    workers: IndexSet<&'a str>,
    jobs: IndexSet<u64>,
    last_ms: u64,
}

impl<'a> Validator<'a> {
    fn new(file: &'a str, header: &'a Header) -> ParseResult<Self> {
        if header.version != VERSION {
            return Err(key_error(file, 1, "version", "only version 1 is supported"));
        }
        let mut workers = IndexSet::new();
        for worker in &header.workers {
            if !workers.insert(&*worker.id) {
                return Err(key_error(file, 1, "workers", "a worker is listed twice"));
            }
        }
        Ok(Self {
            file,
            header,
            workers,
            jobs: IndexSet::new(),
            last_ms: 0,
        })
    }

    fn check_line(&mut self, number: usize, line: &Line) -> ParseResult<()> {
        if line.at_ms < self.last_ms {
            return Err(self.error(number, "at_ms", "is earlier than in the previous line"));
        }
        self.last_ms = line.at_ms;
        match &line.event {
            TraceEvent::Submit(submit) => self.check_submit(number, submit),
            TraceEvent::Cancel { job } if !self.jobs.contains(job) => {
                Err(self.error(number, "job", "was not submitted before"))
            }
            TraceEvent::Cancel { .. } => Ok(()),
            TraceEvent::WorkerLost { worker }
            | TraceEvent::WorkerBack { worker }
            | TraceEvent::WorkerFails { worker } => self.check_worker(number, "worker", worker),
        }
    }

    fn check_submit(&mut self, number: usize, submit: &Submit) -> ParseResult<()> {
        let document = &self.header.document;
        if !self.jobs.insert(submit.job) {
            return Err(self.error(number, "job", "was submitted before"));
        }
        if !document.accounts.contains_key(&submit.account) {
            return Err(self.error(number, "account", "is not in the document"));
        }
        if !document.services.contains_key(&submit.service) {
            return Err(self.error(number, "service", "is not in the document"));
        }
        if let Behaviour::FailsOn(workers) = &submit.behaviour {
            for worker in workers {
                self.check_worker(number, "fails_on", worker)?;
            }
        }
        Ok(())
    }

    fn check_worker(&self, number: usize, key: &str, worker: &str) -> ParseResult<()> {
        if self.workers.contains(worker) {
            return Ok(());
        }
        Err(self.error(number, key, "refers to a worker that is not in the header"))
    }

    fn error(&self, line: usize, key: &str, reason: &str) -> Error {
        key_error(self.file, line, key, reason)
    }
}

fn key_error(file: &str, line: usize, key: &str, reason: &str) -> Error {
    invalid_trace(&format!("{file}:{line}: key {key}: {reason}"))
}

fn invalid_trace(message: &str) -> Error {
    Error::not_run(ErrorKind::InvalidRequest, message)
}
