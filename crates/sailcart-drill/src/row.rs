//! Reading the wire's values, with plain words for what is not as expected.

use std::time::Duration;

use serde_json::Value;

/// What was expected and not found.
#[derive(Debug)]
pub struct Fault(pub String);

impl From<String> for Fault {
    fn from(words: String) -> Self {
        Fault(words)
    }
}

impl From<&str> for Fault {
    fn from(words: &str) -> Self {
        Fault(words.to_owned())
    }
}

/// One message: its name and the values after it.
pub struct Row<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Row<'a> {
    pub fn new(event: &'a Value) -> Result<Self, Fault> {
        let all = event.as_array().ok_or("expected an array for an event")?;
        let (name, values) = all.split_first().ok_or("expected the name of an event")?;
        Ok(Row { name: take_text(name, "the event's name")?, values })
    }

    /// A row without a name.
    pub fn plain(entry: &'a Value, name: &'a str) -> Result<Self, Fault> {
        let values = entry.as_array().ok_or_else(|| format!("expected an array for {name}"))?;
        Ok(Row { name, values })
    }

    /// The value at a position; null counts as absent.
    pub fn maybe(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|v| !v.is_null())
    }

    pub fn at(&self, at: usize, what: &str) -> Result<&'a Value, Fault> {
        self.maybe(at).ok_or_else(|| format!("expected {what} in {}", self.name).into())
    }

    pub fn text(&self, at: usize, what: &str) -> Result<&'a str, Fault> {
        take_text(self.at(at, what)?, what)
    }

    pub fn whole(&self, at: usize, what: &str) -> Result<u64, Fault> {
        self.at(at, what)?.as_u64().ok_or_else(|| format!("expected a whole number in {what}").into())
    }

    pub fn list(&self, at: usize, what: &str) -> Result<&'a [Value], Fault> {
        let list = self.at(at, what)?.as_array();
        list.map(Vec::as_slice).ok_or_else(|| format!("expected an array in {what}").into())
    }
}

pub fn take_text<'a>(value: &'a Value, what: &str) -> Result<&'a str, Fault> {
    value.as_str().ok_or_else(|| format!("expected text in {what}").into())
}

pub fn take_number(value: &Value, what: &str) -> Result<f64, Fault> {
    value.as_f64().ok_or_else(|| format!("expected a number in {what}").into())
}

/// Milliseconds, which may not be negative.
pub fn span(value: &Value, what: &str) -> Result<Duration, Fault> {
    let ms = take_number(value, what)?;
    Duration::try_from_secs_f64((ms * 1000.0).round() / 1e6)
        .map_err(|_| format!("expected milliseconds from 0 in {what}").into())
}

pub fn member<'a>(value: &'a Value, key: &str) -> Result<&'a Value, Fault> {
    value.get(key).filter(|v| !v.is_null()).ok_or_else(|| format!("expected {key}").into())
}
