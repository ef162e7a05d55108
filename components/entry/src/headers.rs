//! Parsing of request header values.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::Shape;

/// Maximum request timeout that a caller may set.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);

/// Parses and validates the gang shape, encoded as JSON.
pub(crate) fn parse_shape(text: &str) -> Result<Shape> {
    let invalid = |reason: String| {
        Error::not_run(
            ErrorKind::InvalidRequest,
            format!("header Limpethook-Shape: {reason}"),
        )
        .report()
    };
    let shape: Shape = serde_json::from_str(text).map_err(|e| invalid(e.to_string()))?;
    match shape.validation_error() {
        Some(fault) => Err(invalid(fault.into())),
        None => Ok(shape),
    }
}

/// Parses a boolean header.
pub(crate) fn parse_flag(header: &str, value: Option<&str>) -> Result<Option<bool>> {
    match value {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(other) => Err(invalid_header(header, other, "true or false")),
    }
}

/// Parses the request timeout and checks that it is in range.
pub(crate) fn parse_timeout(value: Option<&str>) -> Result<Option<Duration>> {
    let header = "Limpethook-Timeout-Ms";
    let timeout = parse_millis(header, value)?;
    match timeout {
        Some(timeout) if timeout.is_zero() || timeout > MAX_TIMEOUT => Err(invalid_header(
            header,
            value.unwrap_or_default(),
            "1 to 86400000 ms",
        )),
        timeout => Ok(timeout),
    }
}

/// Parses a duration in whole milliseconds.
pub(crate) fn parse_millis(header: &str, value: Option<&str>) -> Result<Option<Duration>> {
    let Some(value) = value else { return Ok(None) };
    match value.parse() {
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
        Err(_) => Err(invalid_header(
            header,
            value,
            "a whole number of milliseconds",
        )),
    }
}

/// Returns the error for an invalid header value.
pub(crate) fn invalid_header(
    header: &str,
    value: &str,
    allowed: &str,
) -> error_stack::Report<Error> {
    let message = format!("header {header}: {value:?} is not {allowed}");
    Error::not_run(ErrorKind::InvalidRequest, message).report()
}
