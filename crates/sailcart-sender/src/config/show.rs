//! The configuration for people: the reference, an example, and what is in force with where it came from.

use std::fmt::Write;

use serde_json::Value;

use super::document::Document;

/// Which variable of the environment goes before which key.
const ENVIRONMENT: [(&str, &str); 4] = [
    ("name", "ROUTER_NAME"),
    ("listen", "ROUTER_LISTEN"),
    ("state", "ROUTER_STATE"),
    ("source.discovery", "ROUTER_DISCOVERY"),
];

pub const EXAMPLE: &str = include_str!("../../../../examples/sailcart.toml");

pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(Document)).unwrap_or_default()
}

/// `docs/configuration.md`, from the comments of the types.
pub fn reference() -> String {
    let schema = schema();
    let mut text = String::from(
        "# Configuration\n\nWritten by `sailcart config reference`; the comments are those of the code. One file, \
         `sailcart.toml`, named by `--config` or\n`ROUTER_CONFIG`. Every fault of a file is told at once with line and \
         column; unknown keys are refused. `sailcart config show` tells\nwhat is in force and where it came from, `sailcart \
         config example` prints a file to begin with, `sailcart config schema` a JSON Schema.\nThe platform's JSON is read \
         as before (`docs/settings.md`): a file whose name does not end in `.toml` is taken for it.\n\nTimes have units \
         (`\"3s\"`, `\"250ms\"`), and so have sizes (`\"64 MiB\"`). A key without a default must be given.\n",
    );
    section(&schema, &schema, "", &mut text);
    text
}

fn resolve<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    if let Some(name) = schema.get("$ref").and_then(Value::as_str) {
        return resolve(root, &root["$defs"][name.rsplit('/').next().unwrap_or_default()]);
    }
    match schema.get("anyOf").and_then(|any| any.get(0)) {
        Some(first) => resolve(root, first),
        None => schema,
    }
}

fn section(root: &Value, schema: &Value, path: &str, text: &mut String) {
    let schema = resolve(root, schema);
    let Some(keys) = schema["properties"].as_object() else { return };
    let title = if path.is_empty() { "At the top".to_owned() } else { format!("`{path}`") };
    let _ = write!(text, "\n## {title}\n\n| key | what it is | default |\n| --- | --- | --- |\n");
    let required: Vec<&str> =
        schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let mut inner = Vec::new();
    for (key, own) in keys {
        let meant = resolve(root, own);
        let words = own["description"].as_str().or(meant["description"].as_str()).unwrap_or("");
        let words = words.replace('\n', " ");
        let one_of: Vec<&str> =
            meant["enum"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let one_of = if one_of.is_empty() { String::new() } else { format!(" (`{}`)", one_of.join("`, `")) };
        let default = match own.get("default") {
            _ if required.contains(&key.as_str()) => "must be given".to_owned(),
            Some(Value::Object(_) | Value::Array(_)) | None => "-".to_owned(),
            Some(value) => format!("`{value}`"),
        };
        let list = meant["items"].is_object();
        let item = if list { resolve(root, &meant["items"]) } else { meant };
        if item["properties"].is_object() {
            let name = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            let shown = if list { format!("[[{name}]]") } else { format!("[{name}]") };
            inner.push((name, item));
            let _ = writeln!(text, "| `{shown}` | {words} | {default} |");
        } else {
            let _ = writeln!(text, "| `{key}` | {words}{one_of} | {default} |");
        }
    }
    for (name, item) in inner {
        section(root, item, &name, text);
    }
}

/// What is in force, a line a key, with where it came from.
pub fn in_force(document: &Document, text: &str, environment: super::Environment) -> String {
    let given: toml::Table = toml::from_str(text).unwrap_or_default();
    let whole = toml::Table::try_from(document).unwrap_or_default();
    let mut lines = String::new();
    leaves(&toml::Value::Table(whole), Some(&toml::Value::Table(given)), "", environment, &mut lines);
    lines
}

fn leaves(
    value: &toml::Value,
    given: Option<&toml::Value>,
    path: &str,
    environment: super::Environment,
    lines: &mut String,
) {
    let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        toml::Value::Table(table) => {
            for (key, value) in table {
                leaves(value, given.and_then(|given| given.get(key)), &under(key), environment, lines);
            }
        }
        toml::Value::Array(list) => {
            for (nth, value) in list.iter().enumerate() {
                leaves(
                    value,
                    given.and_then(|given| given.get(nth)),
                    &under(&nth.to_string()),
                    environment,
                    lines,
                );
            }
        }
        leaf => {
            let variable = ENVIRONMENT.iter().find(|(key, _)| *key == path).map(|(_, variable)| *variable);
            let told = variable.and_then(|variable| Some((variable, environment(variable)?)));
            let _ = match told {
                Some((variable, value)) => writeln!(lines, "{path} = {value:?}  # from {variable}"),
                None if given.is_some() => writeln!(lines, "{path} = {leaf}  # from the file"),
                None => writeln!(lines, "{path} = {leaf}  # default"),
            };
        }
    }
}
