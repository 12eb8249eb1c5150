//! Reading an experiment: the file, what `--set` changes in it, and the checks.

use std::path::Path;

use toml::Value;

use super::Experiment;
use super::check::check;

/// What is wrong with an experiment, naming the key.
#[derive(Debug, PartialEq)]
pub struct Fault(pub String);

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads a file, then changes what `set` says, as `load.rate=50` or `troubles.0.for=5s`.
pub fn read(file: &Path, set: &[String]) -> Result<Experiment, Fault> {
    let text = std::fs::read_to_string(file).map_err(|e| Fault(format!("{}: {e}", file.display())))?;
    read_text(&text, set).map_err(|fault| Fault(format!("{}: {fault}", file.display())))
}

pub fn read_text(text: &str, set: &[String]) -> Result<Experiment, Fault> {
    let experiment: Experiment = if set.is_empty() {
        toml::from_str(text).map_err(|e| Fault(e.to_string()))? // with the line
    } else {
        let mut table: Value = toml::from_str(text).map_err(|e| Fault(e.to_string()))?;
        for change in set {
            apply(&mut table, change)?;
        }
        table.try_into().map_err(|e: toml::de::Error| Fault(e.to_string()))?
    };
    check(&experiment)?;
    Ok(experiment)
}

fn apply(table: &mut Value, change: &str) -> Result<(), Fault> {
    let wrong = |words: &str| Fault(format!("--set {change}: {words}"));
    let (path, text) = change.split_once('=').ok_or_else(|| wrong("expected key=value"))?;
    // A number, a truth value or a list as TOML writes it; anything else is text.
    let value = toml::from_str::<toml::Table>(&format!("value = {text}"))
        .ok()
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| Value::String(text.to_owned()));
    let mut at = table;
    let mut steps = path.split('.').peekable();
    while let Some(step) = steps.next() {
        let last = steps.peek().is_none();
        at = match at {
            Value::Table(table) if last => {
                table.insert(step.to_owned(), value);
                return Ok(());
            }
            Value::Table(table) => {
                table.entry(step.to_owned()).or_insert_with(|| Value::Table(toml::Table::new()))
            }
            Value::Array(list) => {
                let place = step.parse::<usize>().ok().and_then(|at| list.get_mut(at));
                let place = place.ok_or_else(|| wrong(&format!("no entry {step}")))?;
                if last {
                    *place = value;
                    return Ok(());
                }
                place
            }
            _ => return Err(wrong(&format!("{step} is beyond a plain value"))),
        };
    }
    Err(wrong("expected a key"))
}
