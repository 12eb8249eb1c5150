//! Typed access to the simulator's messages, which are JSON arrays. Errors name the value that is missing or
//! malformed.

use sailcart_terms::{ValueError, read_text};
use serde_json::Value;

/// A message: its name and the values that follow it.
pub struct Message<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Reads an event: an array that starts with the event's name.
    pub fn new(event: &'a Value) -> Result<Self, ValueError> {
        let items = event.as_array().ok_or("expected an array for an event")?;
        let (name, values) = items.split_first().ok_or("expected the name of an event")?;
        Ok(Message { name: read_text(name, "the event's name")?, values })
    }

    /// Reads an array without a name of its own. `name` is used in errors.
    pub fn unnamed(entry: &'a Value, name: &'a str) -> Result<Self, ValueError> {
        let values = entry.as_array().ok_or_else(|| format!("expected an array for {name}"))?;
        Ok(Message { name, values })
    }

    /// The value at a position. Null counts as absent.
    pub fn optional(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|v| !v.is_null())
    }

    /// The value at a position, called `what` in errors.
    pub fn required(&self, index: usize, what: &str) -> Result<&'a Value, ValueError> {
        self.optional(index).ok_or_else(|| format!("expected {what} in {}", self.name).into())
    }

    /// The text at a position, called `what` in errors.
    pub fn text(&self, index: usize, what: &str) -> Result<&'a str, ValueError> {
        read_text(self.required(index, what)?, what)
    }

    /// The whole number at a position, called `what` in errors.
    pub fn unsigned(&self, index: usize, what: &str) -> Result<u64, ValueError> {
        self.required(index, what)?
            .as_u64()
            .ok_or_else(|| format!("expected a whole number in {what}").into())
    }

    /// The array at a position, called `what` in errors.
    pub fn list(&self, index: usize, what: &str) -> Result<&'a [Value], ValueError> {
        let list = self.required(index, what)?.as_array();
        list.map(Vec::as_slice).ok_or_else(|| format!("expected an array in {what}").into())
    }
}
