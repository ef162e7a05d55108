//! Logging of events as lines of key=value pairs.

use std::fmt::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::output::LineOutput;

/// Initializes logging to standard output; each line contains the name `process`.
///
/// Lines are dropped while writing to standard output would block. The next line that is written tells how many were
/// dropped.
pub fn init_logs(process: &str, level: LevelFilter) -> Result<()> {
    let process: Box<str> = process.into();
    let output = LineOutput::new(std::io::stdout());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("limpethook", level)
        .format(move |out, _, record| out.finish(format_args!("{}", format_line(&process, record))))
        .chain(fern::Output::call(move |record| {
            output.write_line(&record.args().to_string());
        }))
        .apply()
        .map_err(|e| {
            Report::new(Error::not_run(
                ErrorKind::Internal,
                format!("cannot initialize logging: {e}"),
            ))
        })
}

/// Parses the name of a level.
pub fn parse_level(name: &str) -> Option<LevelFilter> {
    name.parse().ok()
}

fn format_line(process: &str, record: &Record<'_>) -> String {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut buf = format!(
        "ts={}.{:03} level={} process={process} event={}",
        since_epoch.as_secs(),
        since_epoch.subsec_millis(),
        record.level().as_str().to_ascii_lowercase(),
        quote_if_needed(&record.args().to_string()),
    );
    // Writing to a string cannot fail.
    let _ = record.key_values().visit(&mut FieldWriter(&mut buf));
    buf
}

/// Appends key=value pairs to a line.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        write!(self.0, " {key}={}", quote_if_needed(&value.to_string()))
            .map_err(|fmt::Error| log::kv::Error::msg("cannot format the field"))
    }
}

/// Quotes a value if it is empty or contains whitespace, control characters, quotation marks or equals signs.
fn quote_if_needed(text: &str) -> String {
    let is_plain = !text.is_empty()
        && !text.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=');
    if is_plain {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
