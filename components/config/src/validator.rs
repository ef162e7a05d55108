//! Walks a JSON value and collects its faults.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use errors::{Error, ErrorKind, Result};
use serde_json::{Map, Value};

use crate::unique::Unique;

/// Below this similarity a known name is no useful suggestion.
const MIN_SIMILARITY: f64 = 0.6;

/// The longest id; ids are parts of store keys and of log lines.
const MAX_ID_LENGTH: usize = 64;

/// The faults of one file.
pub(crate) struct Faults {
    file: Box<str>,
    list: RefCell<Vec<String>>,
}

impl Faults {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            list: RefCell::default(),
        }
    }

    /// Parses the text of the file; a syntax fault is the only fault then.
    pub(crate) fn parse(&self, text: &str) -> Result<Value> {
        serde_json::from_str(text)
            .map(|Unique(value)| value)
            .map_err(|fault| {
                let message = format!("{}: is not valid JSON: {fault}", self.file);
                Error::not_run(ErrorKind::InvalidRequest, message).report()
            })
    }

    pub(crate) fn root<'a>(&'a self, value: &'a Value) -> Node<'a> {
        Node {
            faults: self,
            path: String::new(),
            value: Some(value),
        }
    }

    /// Returns one error with one fault a line, if there are faults.
    pub(crate) fn finish(self) -> Result<()> {
        let list = self.list.into_inner();
        if list.is_empty() {
            return Ok(());
        }
        Err(Error::not_run(ErrorKind::InvalidRequest, list.join("\n")).report())
    }
}

/// A value in the file, or the place of a missing one.
///
/// A reader records a fault and returns a placeholder, so that the walk goes on and finds the other faults.
pub(crate) struct Node<'a> {
    faults: &'a Faults,
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Node<'a> {
    pub(crate) fn fault(&self, what: impl fmt::Display) {
        let path = if self.path.is_empty() {
            "(root)"
        } else {
            &self.path
        };
        let line = format!("{}: {path}: {what}", self.faults.file);
        self.faults.list.borrow_mut().push(line);
    }

    fn expected(&self, what: impl fmt::Display) {
        match self.value {
            None => self.fault(format_args!("is missing; it must be {what}")),
            Some(_) => self.fault(format_args!("must be {what}")),
        }
    }

    fn child(&self, name: &str, value: Option<&'a Value>) -> Self {
        let path = if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        };
        Self {
            faults: self.faults,
            path,
            value,
        }
    }

    /// Returns the node if the file has a value for it.
    pub(crate) fn given(self) -> Option<Self> {
        self.value.is_some().then_some(self)
    }

    /// Refuses every key that is not among the known names.
    pub(crate) fn known(&self, names: &[&str]) {
        let Some(Value::Object(map)) = self.value else {
            return self.expected("an object");
        };
        for key in map.keys().filter(|key| !names.contains(&key.as_str())) {
            let hint = match nearest(key, names) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("known names: {}", names.join(", ")),
            };
            self.child(key, None)
                .fault(format_args!("is unknown; {hint}"));
        }
    }

    pub(crate) fn field(&self, name: &str) -> Self {
        let value = self.value.and_then(|value| value.get(name));
        self.child(name, value)
    }

    /// Returns the entries of an object with free keys.
    pub(crate) fn entries(&self) -> Vec<(&'a str, Self)> {
        let Some(Value::Object(map)) = self.value else {
            self.expected("an object");
            return Vec::new();
        };
        let entry = |(key, value): (&'a String, _)| (key.as_str(), self.child(key, Some(value)));
        Map::iter(map).map(entry).collect()
    }

    pub(crate) fn items(&self) -> Vec<Self> {
        let Some(Value::Array(items)) = self.value else {
            self.expected("a list");
            return Vec::new();
        };
        let item = |(index, value): (usize, _)| self.child(&index.to_string(), Some(value));
        items.iter().enumerate().map(item).collect()
    }

    /// Returns the length of the value as JSON text.
    pub(crate) fn size(&self) -> usize {
        self.value.map_or(0, |value| value.to_string().len())
    }

    pub(crate) fn text(&self) -> Box<str> {
        let Some(text) = self.value.and_then(Value::as_str) else {
            self.expected("a text");
            return Box::default();
        };
        text.into()
    }

    pub(crate) fn id(&self) -> Box<str> {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        if !is_id(text) {
            self.expected(ID_RULE);
        }
        text.into()
    }

    pub(crate) fn integer(&self, range: RangeInclusive<u64>) -> u64 {
        let number = self.value.and_then(Value::as_u64);
        let Some(number) = number.filter(|number| range.contains(number)) else {
            let (low, high) = (range.start(), range.end());
            self.expected(format_args!("an integer from {low} to {high}"));
            return *range.start();
        };
        number
    }

    pub(crate) fn small(&self, range: RangeInclusive<u32>) -> u32 {
        let (low, high) = range.into_inner();
        let number = self.integer(u64::from(low)..=u64::from(high));
        u32::try_from(number).unwrap_or(high)
    }

    pub(crate) fn fraction(&self) -> f64 {
        let number = self.value.and_then(Value::as_f64);
        let Some(number) = number.filter(|number| (0.0..=1.0).contains(number)) else {
            self.expected("a number from 0 to 1");
            return 0.0;
        };
        number
    }

    pub(crate) fn boolean(&self) {
        if self.value.and_then(Value::as_bool).is_none() {
            self.expected("true or false");
        }
    }

    pub(crate) fn choice(&self, names: &[&'static str]) -> &'static str {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        if let Some(name) = names.iter().find(|name| **name == text) {
            return name;
        }
        let hint = nearest(text, names).map(|name| format!("; did you mean `{name}`?"));
        let hint = hint.unwrap_or_default();
        self.expected(format_args!("one of {}{hint}", names.join(", ")));
        names[0]
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        text.parse().unwrap_or_else(|_| {
            self.expected("an IP address with a port, such as 127.0.0.1:7000");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    pub(crate) fn url(&self) -> Box<str> {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        let host = text.strip_prefix("http://").unwrap_or_default();
        if host.is_empty() || host.starts_with(['/', ':']) || host.contains(char::is_whitespace) {
            self.expected("a URL that starts with http:// and names a host");
        }
        text.trim_end_matches('/').into()
    }
}

pub(crate) const ID_RULE: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// Returns whether a text can be an id; `/` and `:` separate ids in store keys and credentials.
pub(crate) fn is_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_ID_LENGTH && text.chars().all(allowed)
}

fn nearest<'n>(text: &str, names: &[&'n str]) -> Option<&'n str> {
    let rated = names
        .iter()
        .map(|name| (strsim::jaro_winkler(text, name), *name));
    let best = rated.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}
