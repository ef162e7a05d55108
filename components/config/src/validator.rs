//! Validates JSON values and collects all errors.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use errors::{Error, ErrorKind, Result};
use serde_json::{Map, Value};

use crate::unique_keys::UniqueKeys;

/// The minimum Jaro-Winkler similarity at which a known name is suggested in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// The maximum length of an id, because ids are parts of store keys and log lines.
const MAX_ID_LENGTH: usize = 64;

/// Collects the validation errors of one file.
pub(crate) struct Validator {
    file: Box<str>,
    errors: RefCell<Vec<String>>,
}

impl Validator {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            errors: RefCell::default(),
        }
    }

    /// Parses the text of the file. A syntax error is returned at once, because nothing can be validated then.
    pub(crate) fn parse(&self, text: &str) -> Result<Value> {
        serde_json::from_str(text)
            .map(|UniqueKeys(value)| value)
            .map_err(|e| {
                let message = format!("{}: is not valid JSON: {e}", self.file);
                Error::not_run(ErrorKind::InvalidRequest, message).report()
            })
    }

    pub(crate) fn root<'a>(&'a self, value: &'a Value) -> Node<'a> {
        Node {
            validator: self,
            path: String::new(),
            value: Some(value),
        }
    }

    /// Returns the errors found, one per line of the message.
    pub(crate) fn finish(self) -> Result<()> {
        let errors = self.errors.into_inner();
        if errors.is_empty() {
            return Ok(());
        }
        Err(Error::not_run(ErrorKind::InvalidRequest, errors.join("\n")).report())
    }
}

/// A value in the file, or the path of a missing one.
///
/// Methods that read a value record an error and return a placeholder if it is invalid, so that validation continues
/// and finds the other errors.
pub(crate) struct Node<'a> {
    validator: &'a Validator,
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Node<'a> {
    /// Records an error at this node.
    pub(crate) fn add_error(&self, message: impl fmt::Display) {
        let path = if self.path.is_empty() {
            "(root)"
        } else {
            &self.path
        };
        let line = format!("{}: {path}: {message}", self.validator.file);
        self.validator.errors.borrow_mut().push(line);
    }

    /// Records that the value is missing or not of the expected form.
    fn add_mismatch_error(&self, expected: impl fmt::Display) {
        match self.value {
            None => self.add_error(format_args!("is missing; it must be {expected}")),
            Some(_) => self.add_error(format_args!("must be {expected}")),
        }
    }

    fn child(&self, name: &str, value: Option<&'a Value>) -> Self {
        let path = if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        };
        Self {
            validator: self.validator,
            path,
            value,
        }
    }

    /// Returns the node if it has a value.
    pub(crate) fn if_present(self) -> Option<Self> {
        self.value.is_some().then_some(self)
    }

    /// Records an error for each key that is not among `names`.
    pub(crate) fn reject_unknown_keys(&self, names: &[&str]) {
        let Some(Value::Object(map)) = self.value else {
            return self.add_mismatch_error("an object");
        };
        for key in map.keys().filter(|key| !names.contains(&key.as_str())) {
            let hint = match closest_name(key, names) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("known names: {}", names.join(", ")),
            };
            self.child(key, None)
                .add_error(format_args!("is unknown; {hint}"));
        }
    }

    pub(crate) fn field(&self, name: &str) -> Self {
        let value = self.value.and_then(|value| value.get(name));
        self.child(name, value)
    }

    /// Returns the entries of an object with arbitrary keys.
    pub(crate) fn entries(&self) -> Vec<(&'a str, Self)> {
        let Some(Value::Object(map)) = self.value else {
            self.add_mismatch_error("an object");
            return Vec::new();
        };
        let entry = |(key, value): (&'a String, _)| (key.as_str(), self.child(key, Some(value)));
        Map::iter(map).map(entry).collect()
    }

    pub(crate) fn items(&self) -> Vec<Self> {
        let Some(Value::Array(items)) = self.value else {
            self.add_mismatch_error("a list");
            return Vec::new();
        };
        let item = |(index, value): (usize, _)| self.child(&index.to_string(), Some(value));
        items.iter().enumerate().map(item).collect()
    }

    /// Returns the length of the value as JSON.
    pub(crate) fn json_len(&self) -> usize {
        self.value.map_or(0, |value| value.to_string().len())
    }

    pub(crate) fn string(&self) -> Box<str> {
        let Some(text) = self.value.and_then(Value::as_str) else {
            self.add_mismatch_error("a string");
            return Box::default();
        };
        text.into()
    }

    pub(crate) fn id(&self) -> Box<str> {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        if !is_valid_id(text) {
            self.add_mismatch_error(ID_RULE);
        }
        text.into()
    }

    pub(crate) fn u64(&self, range: RangeInclusive<u64>) -> u64 {
        let number = self.value.and_then(Value::as_u64);
        let Some(number) = number.filter(|number| range.contains(number)) else {
            let (low, high) = (range.start(), range.end());
            self.add_mismatch_error(format_args!("an integer from {low} to {high}"));
            return *range.start();
        };
        number
    }

    pub(crate) fn u32(&self, range: RangeInclusive<u32>) -> u32 {
        let (low, high) = range.into_inner();
        let number = self.u64(u64::from(low)..=u64::from(high));
        u32::try_from(number).unwrap_or(high)
    }

    /// Returns a number from 0 to 1.
    pub(crate) fn fraction(&self) -> f64 {
        let number = self.value.and_then(Value::as_f64);
        let Some(number) = number.filter(|number| (0.0..=1.0).contains(number)) else {
            self.add_mismatch_error("a number from 0 to 1");
            return 0.0;
        };
        number
    }

    /// Records an error unless the value is a boolean.
    pub(crate) fn check_bool(&self) {
        if self.value.and_then(Value::as_bool).is_none() {
            self.add_mismatch_error("true or false");
        }
    }

    pub(crate) fn one_of(&self, names: &[&'static str]) -> &'static str {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        if let Some(name) = names.iter().find(|name| **name == text) {
            return name;
        }
        let hint = closest_name(text, names).map(|name| format!("; did you mean `{name}`?"));
        let hint = hint.unwrap_or_default();
        self.add_mismatch_error(format_args!("one of {}{hint}", names.join(", ")));
        names[0]
    }

    pub(crate) fn socket_addr(&self) -> SocketAddr {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        text.parse().unwrap_or_else(|_| {
            self.add_mismatch_error("an IP address with a port, such as 127.0.0.1:7000");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    pub(crate) fn http_url(&self) -> Box<str> {
        let text = self.value.and_then(Value::as_str).unwrap_or_default();
        let host = text.strip_prefix("http://").unwrap_or_default();
        if host.is_empty() || host.starts_with(['/', ':']) || host.contains(char::is_whitespace) {
            self.add_mismatch_error("a URL that starts with http:// and names a host");
        }
        text.trim_end_matches('/').into()
    }
}

pub(crate) const ID_RULE: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

/// Returns whether a string is a valid id; `/` and `:` are excluded because they separate ids in store keys and
/// credentials.
pub(crate) fn is_valid_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_ID_LENGTH && text.chars().all(allowed)
}

fn closest_name<'n>(text: &str, names: &[&'n str]) -> Option<&'n str> {
    let scored = names
        .iter()
        .map(|name| (strsim::jaro_winkler(text, name), *name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}
