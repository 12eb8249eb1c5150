//! One packet's whole life, joined from what was seen outside and from the logs of all senders of a run.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use serde_json::Value;

/// Everything that a kept run's folder has of a packet, by its number: what an outsider saw, then each sender's lines.
///
/// # Errors
/// Where the folder or its events cannot be read.
pub fn story(folder: &Path, packet: u64) -> io::Result<String> {
    let mut text = seen(folder, packet)?;
    let mut logs: Vec<_> = fs::read_dir(folder)?
        .flatten()
        .map(|file| file.path())
        .filter(|path| path.extension().is_some_and(|ending| ending == "log"))
        .collect();
    logs.sort();
    for log in logs {
        let written = fs::read_to_string(&log)?;
        let lines = lines_of(&written, packet);
        if !lines.is_empty() {
            let name = log.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            text +=
                &format!("{name}\n{}", lines.iter().map(|line| format!("  {line}\n")).collect::<String>());
        }
    }
    Ok(text)
}

/// The events about a packet, and about the calls that had it with them.
fn seen(folder: &Path, packet: u64) -> io::Result<String> {
    let events = BufReader::new(zstd::Decoder::new(File::open(folder.join("events.jsonl.zst"))?)?);
    let mut calls = BTreeSet::new();
    let mut text = "seen from outside\n".to_owned();
    for line in events.lines() {
        let line = line?;
        let Ok(event) = serde_json::from_str::<Value>(&line) else { continue };
        let call = event.get("call").and_then(Value::as_u64);
        let with = event.get("packets").and_then(Value::as_array);
        if with.is_some_and(|all| all.iter().any(|one| one.as_u64() == Some(packet))) {
            calls.extend(call);
        }
        let own = event.get("packet").and_then(Value::as_u64) == Some(packet);
        if own || call.is_some_and(|call| calls.contains(&call)) {
            text += &format!("  {line}\n");
        }
    }
    Ok(text)
}

/// The lines of a sender's log about a packet, by its id and by the number that this sender gave it.
fn lines_of(log: &str, packet: u64) -> Vec<&str> {
    let id = format!("{packet:016x}");
    let mut number = None;
    let mut lines = Vec::new();
    for line in log.lines() {
        let lives =
            line.contains(" listens on ") || line.contains("recovery: ") || line.contains("code=sigterm");
        if line.contains(&id) {
            let told = line.split("taken as ").nth(1).and_then(|rest| rest.split(',').next());
            number = told.map(str::to_owned).or(number);
            lines.push(line);
        } else if let Some(number) = &number
            && (lives || is_about(line, number))
        {
            lines.push(line);
        }
    }
    lines
}

fn is_about(line: &str, number: &str) -> bool {
    let told = || {
        let list = line.split("notices: told [").nth(1)?.split(']').next()?;
        Some(list.split(", ").any(|one| one == number))
    };
    line.contains(&format!("packet {number}: ")) || told().unwrap_or(false)
}
