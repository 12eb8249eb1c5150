//! Every fault of a `sailcart.toml` at once, each with its line and column: the file is walked beside the schema, so
//! that the first fault does not hide the others.

use std::collections::BTreeMap;

use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::document::Document;

/// How alike a key must be to one that is known to be meant by it.
const ALIKE: f64 = 0.75;

struct Walk<'a> {
    text: &'a str,
    schema: &'a Value,
    /// Where each key's value stands.
    places: BTreeMap<String, usize>,
    faults: Vec<(usize, String)>,
}

/// Reads a document, or tells every fault, a line each.
pub fn read(text: &str) -> Result<Document, Vec<String>> {
    let table = DeTable::parse(text).map_err(|fault| {
        let at = fault.span().map_or(0, |span| span.start);
        vec![format!("{}: {}", place(text, at), fault.message())]
    })?;
    let schema = serde_json::to_value(schemars::schema_for!(Document)).unwrap_or_default();
    let mut walk = Walk { text, schema: &schema, places: BTreeMap::new(), faults: Vec::new() };
    walk.table(&schema, table.get_ref(), "", 0);
    let read: Result<Document, _> = toml::from_str(text);
    match read {
        Ok(document) => {
            for (key, words) in document.faults() {
                let at = walk.places.get(&key).copied().unwrap_or(0);
                walk.faults.push((at, format!("{key}: {words}")));
            }
            if walk.faults.is_empty() {
                return Ok(document);
            }
        }
        // What the walk does not know of.
        Err(fault) if walk.faults.is_empty() => {
            let at = fault.span().map_or(0, |span| span.start);
            walk.faults.push((at, fault.message().to_owned()));
        }
        Err(_) => {}
    }
    Err(walk.told())
}

fn place(text: &str, at: usize) -> String {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |line| line.chars().count()) + 1;
    format!("line {line}, column {column}")
}

impl Walk<'_> {
    fn told(mut self) -> Vec<String> {
        self.faults.sort();
        self.faults.iter().map(|(at, words)| format!("{}: {words}", place(self.text, *at))).collect()
    }

    fn fault(&mut self, at: usize, words: String) {
        self.faults.push((at, words));
    }

    /// What a schema stands for: without references, and without "or nothing".
    fn resolve<'b>(&'b self, schema: &'b Value) -> &'b Value {
        if let Some(name) = schema.get("$ref").and_then(Value::as_str) {
            let name = name.rsplit('/').next().unwrap_or_default();
            return self.resolve(&self.schema["$defs"][name]);
        }
        let some = |one: &&Value| one.get("type").and_then(Value::as_str) != Some("null");
        match schema.get("anyOf").and_then(Value::as_array) {
            Some(any) => any.iter().find(some).map_or(schema, |one| self.resolve(one)),
            None => schema,
        }
    }

    fn table(&mut self, schema: &Value, table: &DeTable, path: &str, at: usize) {
        let schema = self.resolve(schema).clone();
        let none = serde_json::Map::new();
        let known = schema["properties"].as_object().unwrap_or(&none);
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        for (key, value) in table {
            let name: &str = key.get_ref();
            match known.get(name) {
                Some(schema) => self.value(schema, value, &under(name)),
                None => {
                    let near = known.keys().map(|other| (strsim::jaro_winkler(other, name), other));
                    let near = near.filter(|(alike, _)| *alike >= ALIKE).max_by(|a, b| a.0.total_cmp(&b.0));
                    let hint = near.map_or(String::new(), |(_, other)| format!("; is {other} meant?"));
                    self.fault(key.span().start, format!("{}: unknown key{hint}", under(name)));
                }
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !table.iter().any(|(key, _)| key.get_ref() == name) {
                self.fault(at, format!("{}: expected it", under(name)));
            }
        }
    }

    fn value(&mut self, schema: &Value, value: &Spanned<DeValue>, path: &str) {
        let at = value.span().start;
        self.places.insert(path.to_owned(), at);
        let schema = self.resolve(schema).clone();
        let is = |name: &str| match &schema["type"] {
            Value::Array(all) => all.iter().any(|one| one == name),
            one => one == name,
        };
        match value.get_ref() {
            DeValue::Table(table) if is("object") => self.table(&schema, table, path, at),
            DeValue::Array(list) if is("array") => {
                for (nth, one) in list.iter().enumerate() {
                    self.value(&schema["items"], one, &format!("{path}.{nth}"));
                }
            }
            DeValue::String(text) if is("string") || schema.get("oneOf").is_some() => {
                if let Some(words) = wrong_text(&schema, text) {
                    self.fault(at, format!("{path}: {words}"));
                }
            }
            DeValue::Integer(number) if is("integer") => {
                let whole = number.as_str().replace('_', "").parse::<i128>();
                if !whole.is_ok_and(|whole| whole >= 0) {
                    self.fault(at, format!("{path}: expected a whole number from 0"));
                }
            }
            DeValue::Integer(_) | DeValue::Float(_) if is("number") => {}
            DeValue::Boolean(_) if is("boolean") => {}
            _ => {
                let words = if is("object") {
                    "a table"
                } else if is("array") {
                    "a list"
                } else if is("integer") {
                    "a whole number"
                } else if is("number") {
                    "a number"
                } else if is("boolean") {
                    "true or false"
                } else {
                    "text"
                };
                self.fault(at, format!("{path}: expected {words}"));
            }
        }
    }
}

/// What is wrong with a text, by its schema's words or format.
fn wrong_text(schema: &Value, text: &str) -> Option<String> {
    let words: Vec<&str> =
        schema["enum"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !words.is_empty() {
        return (!words.contains(&text)).then(|| format!("expected one of {}, not {text}", words.join(", ")));
    }
    match schema["format"].as_str() {
        Some("span") if humantime::parse_duration(text).is_err() => {
            Some(format!("expected a time as \"3s\" or \"250ms\", not {text:?}"))
        }
        Some("size") if text.parse::<bytesize::ByteSize>().is_err() => {
            Some(format!("expected a size as \"64 MiB\", not {text:?}"))
        }
        Some("address") if text.parse::<std::net::SocketAddr>().is_err() => {
            Some(format!("expected ADDRESS:PORT, not {text:?}"))
        }
        _ => None,
    }
}
