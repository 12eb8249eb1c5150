//! Typed access to JSON values, with errors that say what was expected.

use std::time::Duration;

use serde_json::Value;

/// A missing or malformed value. The text says what was expected and where.
#[derive(Debug)]
pub struct ValueError(pub String);

impl From<String> for ValueError {
    fn from(message: String) -> Self {
        ValueError(message)
    }
}

impl From<&str> for ValueError {
    fn from(message: &str) -> Self {
        ValueError(message.to_owned())
    }
}

/// The value as text. `what` names the value in the error.
pub fn read_text<'a>(value: &'a Value, what: &str) -> Result<&'a str, ValueError> {
    value.as_str().ok_or_else(|| format!("expected text in {what}").into())
}

/// The value as a number. `what` names the value in the error.
pub fn read_number(value: &Value, what: &str) -> Result<f64, ValueError> {
    value.as_f64().ok_or_else(|| format!("expected a number in {what}").into())
}

/// The value as a duration in milliseconds, rounded to microseconds. Fails if it is negative. `what` names
/// the value in the error.
pub fn read_milliseconds(value: &Value, what: &str) -> Result<Duration, ValueError> {
    let ms = read_number(value, what)?;
    Duration::try_from_secs_f64((ms * 1000.0).round() / 1e6)
        .map_err(|_| format!("expected milliseconds from 0 in {what}").into())
}

/// The member of an object. Fails if it is missing or null.
pub fn member<'a>(value: &'a Value, key: &str) -> Result<&'a Value, ValueError> {
    value.get(key).filter(|v| !v.is_null()).ok_or_else(|| format!("expected {key}").into())
}
