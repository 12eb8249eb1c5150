//! Reports all errors of a `sailcart.toml` at once, each with line and column.
//!
//! Deserialization stops at the first error. So the parsed file is also compared with the JSON Schema of
//! [`Document`], which finds the others.

use std::collections::BTreeMap;

use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::document::Document;

/// The minimum Jaro-Winkler similarity of an unknown key to a known key that is suggested instead.
const MIN_KEY_SIMILARITY: f64 = 0.75;

/// Compares a parsed file with the schema and collects the errors.
struct Validator<'a> {
    text: &'a str,
    schema: &'a Value,
    /// Byte offset of the value of each key.
    offsets: BTreeMap<String, usize>,
    /// Byte offset and message of each error.
    errors: Vec<(usize, String)>,
}

/// Reads a document, or returns the message of each error, in the order of the file.
pub fn read(text: &str) -> Result<Document, Vec<String>> {
    let table = DeTable::parse(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        vec![format!("{}: {}", line_and_column(text, offset), error.message())]
    })?;
    let schema = serde_json::to_value(schemars::schema_for!(Document)).unwrap_or_default();
    let mut validator = Validator { text, schema: &schema, offsets: BTreeMap::new(), errors: Vec::new() };
    validator.check_table(&schema, table.get_ref(), "", 0);
    let result: Result<Document, _> = toml::from_str(text);
    match result {
        Ok(document) => {
            for (key, message) in document.errors() {
                let offset = validator.offsets.get(&key).copied().unwrap_or(0);
                validator.errors.push((offset, format!("{key}: {message}")));
            }
            if validator.errors.is_empty() {
                return Ok(document);
            }
        }
        // An error that the comparison with the schema doesn't find.
        Err(error) if validator.errors.is_empty() => {
            let offset = error.span().map_or(0, |span| span.start);
            validator.errors.push((offset, error.message().to_owned()));
        }
        Err(_) => {}
    }
    Err(validator.into_messages())
}

/// The line and column of a byte offset. Both count from 1, columns in characters.
fn line_and_column(text: &str, offset: usize) -> String {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |line| line.chars().count()) + 1;
    format!("line {line}, column {column}")
}

impl Validator<'_> {
    fn into_messages(mut self) -> Vec<String> {
        self.errors.sort();
        self.errors
            .iter()
            .map(|(offset, message)| format!("{}: {message}", line_and_column(self.text, *offset)))
            .collect()
    }

    fn error(&mut self, offset: usize, message: String) {
        self.errors.push((offset, message));
    }

    /// Follows references, and replaces an optional type ("or null") by the type itself.
    fn resolve<'b>(&'b self, schema: &'b Value) -> &'b Value {
        if let Some(name) = schema.get("$ref").and_then(Value::as_str) {
            let name = name.rsplit('/').next().unwrap_or_default();
            return self.resolve(&self.schema["$defs"][name]);
        }
        let not_null = |option: &&Value| option.get("type").and_then(Value::as_str) != Some("null");
        match schema.get("anyOf").and_then(Value::as_array) {
            Some(options) => options.iter().find(not_null).map_or(schema, |option| self.resolve(option)),
            None => schema,
        }
    }

    fn check_table(&mut self, schema: &Value, table: &DeTable, path: &str, offset: usize) {
        let schema = self.resolve(schema).clone();
        let no_properties = serde_json::Map::new();
        let properties = schema["properties"].as_object().unwrap_or(&no_properties);
        let path_of = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        for (key, value) in table {
            let name: &str = key.get_ref();
            match properties.get(name) {
                Some(schema) => self.check_value(schema, value, &path_of(name)),
                None => {
                    let candidates =
                        properties.keys().map(|other| (strsim::jaro_winkler(other, name), other));
                    let closest = candidates
                        .filter(|(similarity, _)| *similarity >= MIN_KEY_SIMILARITY)
                        .max_by(|a, b| a.0.total_cmp(&b.0));
                    let hint = closest.map_or(String::new(), |(_, other)| format!("; is {other} meant?"));
                    self.error(key.span().start, format!("{}: unknown key{hint}", path_of(name)));
                }
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !table.iter().any(|(key, _)| key.get_ref() == name) {
                self.error(offset, format!("{}: expected it", path_of(name)));
            }
        }
    }

    fn check_value(&mut self, schema: &Value, value: &Spanned<DeValue>, path: &str) {
        let offset = value.span().start;
        self.offsets.insert(path.to_owned(), offset);
        let schema = self.resolve(schema).clone();
        let is_type = |name: &str| match &schema["type"] {
            Value::Array(types) => types.iter().any(|type_name| type_name == name),
            type_name => type_name == name,
        };
        match value.get_ref() {
            DeValue::Table(table) if is_type("object") => self.check_table(&schema, table, path, offset),
            DeValue::Array(list) if is_type("array") => {
                for (index, item) in list.iter().enumerate() {
                    self.check_value(&schema["items"], item, &format!("{path}.{index}"));
                }
            }
            DeValue::String(text) if is_type("string") || schema.get("oneOf").is_some() => {
                if let Some(message) = string_error(&schema, text) {
                    self.error(offset, format!("{path}: {message}"));
                }
            }
            DeValue::Integer(number) if is_type("integer") => {
                let whole = number.as_str().replace('_', "").parse::<i128>();
                if !whole.is_ok_and(|whole| whole >= 0) {
                    self.error(offset, format!("{path}: expected a whole number from 0"));
                }
            }
            DeValue::Integer(_) | DeValue::Float(_) if is_type("number") => {}
            DeValue::Boolean(_) if is_type("boolean") => {}
            _ => {
                let expected = if is_type("object") {
                    "a table"
                } else if is_type("array") {
                    "a list"
                } else if is_type("integer") {
                    "a whole number"
                } else if is_type("number") {
                    "a number"
                } else if is_type("boolean") {
                    "true or false"
                } else {
                    "text"
                };
                self.error(offset, format!("{path}: expected {expected}"));
            }
        }
    }
}

/// The error of a string that is not among the values that its schema lists, or not in its schema's format.
fn string_error(schema: &Value, text: &str) -> Option<String> {
    let allowed: Vec<&str> =
        schema["enum"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !allowed.is_empty() {
        return (!allowed.contains(&text))
            .then(|| format!("expected one of {}, not {text}", allowed.join(", ")));
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
