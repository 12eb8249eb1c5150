//! Reads an experiment: parses the file, applies the changes of `--set`, and validates the result.

use std::path::Path;

use toml::Value;

use super::Experiment;
use super::check::check;

/// Why an experiment cannot be read or run; names the key if a value is invalid.
#[derive(Debug, PartialEq)]
pub struct LabError(pub String);

impl std::fmt::Display for LabError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads and validates an experiment file. Each entry of `set` changes one value first, as `load.rate=50` or
/// `troubles.0.for=5s`.
pub fn read(file: &Path, set: &[String]) -> Result<Experiment, LabError> {
    let text = std::fs::read_to_string(file).map_err(|e| LabError(format!("{}: {e}", file.display())))?;
    read_text(&text, set).map_err(|error| LabError(format!("{}: {error}", file.display())))
}

/// Like [`read`], for the text of an experiment file.
pub fn read_text(text: &str, set: &[String]) -> Result<Experiment, LabError> {
    let experiment: Experiment = if set.is_empty() {
        toml::from_str(text).map_err(|e| LabError(e.to_string()))? // the message names the line
    } else {
        let mut table: Value = toml::from_str(text).map_err(|e| LabError(e.to_string()))?;
        for change in set {
            apply(&mut table, change)?;
        }
        table.try_into().map_err(|e: toml::de::Error| LabError(e.to_string()))?
    };
    check(&experiment)?;
    Ok(experiment)
}

fn apply(table: &mut Value, change: &str) -> Result<(), LabError> {
    let error = |text: &str| LabError(format!("--set {change}: {text}"));
    let (path, text) = change.split_once('=').ok_or_else(|| error("expected key=value"))?;
    // A number, a boolean or a list in TOML syntax; anything else is a string.
    let value = toml::from_str::<toml::Table>(&format!("value = {text}"))
        .ok()
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| Value::String(text.to_owned()));
    let mut current = table;
    let mut segments = path.split('.').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        current = match current {
            Value::Table(table) if is_last => {
                table.insert(segment.to_owned(), value);
                return Ok(());
            }
            Value::Table(table) => {
                table.entry(segment.to_owned()).or_insert_with(|| Value::Table(toml::Table::new()))
            }
            Value::Array(list) => {
                let element = segment.parse::<usize>().ok().and_then(|index| list.get_mut(index));
                let element = element.ok_or_else(|| error(&format!("the list has no entry {segment}")))?;
                if is_last {
                    *element = value;
                    return Ok(());
                }
                element
            }
            _ => return Err(error(&format!("{segment}: its parent is neither a table nor a list"))),
        };
    }
    Err(error("expected a key"))
}
