//! Parsing and checking a trace; every error names file, line and key.

use std::path::Path;

use errors::{Error, ErrorKind, Result};
use indexmap::IndexSet;
use serde::de::DeserializeOwned;

use crate::trace::{Behaviour, Header, Line, Submit, Trace, TraceEvent};

const VERSION: u32 = 1;

type Checked<T> = std::result::Result<T, Error>;

impl Trace {
    /// Reads a trace from a file.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|err| invalid(&format!("{file}: cannot be read: {err}")).report())?;
        Self::parse(&file, &text)
    }

    /// Parses the text of a trace; messages name `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Self::parse_checked(file, text).map_err(Error::report)
    }

    fn parse_checked(file: &str, text: &str) -> Checked<Self> {
        let mut texts = text.lines().enumerate();
        let Some((_, first)) = texts.next() else {
            return Err(fault(file, 1, "version", "the header line is missing"));
        };
        let header: Header = parse_line(file, 1, first)?;
        let mut check = Check::new(file, &header)?;
        let mut lines = Vec::new();
        for (index, text) in texts {
            let line: Line = parse_line(file, index + 1, text)?;
            check.line(index + 1, &line)?;
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

fn parse_line<T: DeserializeOwned>(file: &str, line: usize, text: &str) -> Checked<T> {
    serde_json::from_str(text).map_err(|err| {
        let message = err.to_string();
        let key = named_field(&message).unwrap_or_else(|| last_key(text, err.column()));
        fault(file, line, key, &message)
    })
}

/// Returns the field that a message of serde names.
fn named_field(message: &str) -> Option<&str> {
    let kinds = ["unknown field `", "missing field `", "duplicate field `"];
    let rest = kinds.iter().find_map(|kind| message.strip_prefix(kind))?;
    rest.split('`').next()
}

/// Returns the last key before a column, which is the one whose value is malformed.
fn last_key(text: &str, column: usize) -> &str {
    let before = text.get(..column).unwrap_or(text);
    let Some(end) = before.rfind("\":") else {
        return "(none)";
    };
    let start = before[..end].rfind('"').map_or(0, |quote| quote + 1);
    &before[start..end]
}

/// Checks that each line refers to what the lines before it introduced.
struct Check<'a> {
    file: &'a str,
    header: &'a Header,
    workers: IndexSet<&'a str>,
    jobs: IndexSet<u64>,
    last_ms: u64,
}

impl<'a> Check<'a> {
    fn new(file: &'a str, header: &'a Header) -> Checked<Self> {
        if header.version != VERSION {
            return Err(fault(file, 1, "version", "only version 1 is supported"));
        }
        let mut workers = IndexSet::new();
        for worker in &header.workers {
            if !workers.insert(&*worker.id) {
                return Err(fault(file, 1, "workers", "a worker appears twice"));
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

    fn line(&mut self, number: usize, line: &Line) -> Checked<()> {
        if line.at_ms < self.last_ms {
            return Err(self.fault(number, "at_ms", "is earlier than the line before"));
        }
        self.last_ms = line.at_ms;
        match &line.event {
            TraceEvent::Submit(submit) => self.submit(number, submit),
            TraceEvent::Cancel { job } if !self.jobs.contains(job) => {
                Err(self.fault(number, "job", "was not submitted before"))
            }
            TraceEvent::Cancel { .. } => Ok(()),
            TraceEvent::WorkerLost { worker }
            | TraceEvent::WorkerBack { worker }
            | TraceEvent::WorkerFails { worker } => self.worker(number, "worker", worker),
        }
    }

    fn submit(&mut self, number: usize, submit: &Submit) -> Checked<()> {
        let document = &self.header.document;
        if !self.jobs.insert(submit.job) {
            return Err(self.fault(number, "job", "was submitted before"));
        }
        if !document.accounts.contains_key(&submit.account) {
            return Err(self.fault(number, "account", "is not in the document"));
        }
        if !document.services.contains_key(&submit.service) {
            return Err(self.fault(number, "service", "is not in the document"));
        }
        if let Behaviour::FailsOn(workers) = &submit.behaviour {
            for worker in workers {
                self.worker(number, "fails_on", worker)?;
            }
        }
        Ok(())
    }

    fn worker(&self, number: usize, key: &str, worker: &str) -> Checked<()> {
        if self.workers.contains(worker) {
            return Ok(());
        }
        Err(self.fault(number, key, "names a worker that is not in the header"))
    }

    fn fault(&self, line: usize, key: &str, reason: &str) -> Error {
        fault(self.file, line, key, reason)
    }
}

fn fault(file: &str, line: usize, key: &str, reason: &str) -> Error {
    invalid(&format!("{file}:{line}: key {key}: {reason}"))
}

fn invalid(message: &str) -> Error {
    Error::not_run(ErrorKind::InvalidRequest, message)
}
