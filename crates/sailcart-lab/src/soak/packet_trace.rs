//! Traces one packet through a run: combines the events observed from outside with the logs of all senders.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use serde_json::Value;

/// Collects all records of a packet, given by its number, from the folder of a run: the events observed from
/// outside, then the log lines of each sender.
///
/// # Errors
/// The error of reading the folder, its events or its logs.
pub fn trace_packet(folder: &Path, packet: u64) -> io::Result<String> {
    let mut text = observed_events(folder, packet)?;
    let mut logs: Vec<_> = fs::read_dir(folder)?
        .flatten()
        .map(|file| file.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    logs.sort();
    for log in logs {
        let log_text = fs::read_to_string(&log)?;
        let lines = log_lines(&log_text, packet);
        if !lines.is_empty() {
            let name = log.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            text +=
                &format!("{name}\n{}", lines.iter().map(|line| format!("  {line}\n")).collect::<String>());
        }
    }
    Ok(text)
}

/// The events about a packet, and about the calls that contained it.
fn observed_events(folder: &Path, packet: u64) -> io::Result<String> {
    let events = BufReader::new(zstd::Decoder::new(File::open(folder.join("events.jsonl.zst"))?)?);
    let mut calls = BTreeSet::new();
    let mut text = "observed from outside\n".to_owned();
    for line in events.lines() {
        let line = line?;
        let Ok(event) = serde_json::from_str::<Value>(&line) else { continue };
        let call = event.get("call").and_then(Value::as_u64);
        let packets = event.get("packets").and_then(Value::as_array);
        if packets.is_some_and(|packets| packets.iter().any(|number| number.as_u64() == Some(packet))) {
            calls.extend(call);
        }
        let is_about_packet = event.get("packet").and_then(Value::as_u64) == Some(packet);
        if is_about_packet || call.is_some_and(|call| calls.contains(&call)) {
            text += &format!("  {line}\n");
        }
    }
    Ok(text)
}

/// The lines of a sender's log about a packet. They name it by its id or by the number that this sender gave
/// it. Lines about the start and the stop of the sender are included once the packet has been accepted.
fn log_lines(log: &str, packet: u64) -> Vec<&str> {
    let id = format!("{packet:016x}");
    let mut number = None;
    let mut lines = Vec::new();
    for line in log.lines() {
        let start_or_stop =
            line.contains(" listens on ") || line.contains("recovery: ") || line.contains("code=sigterm");
        if line.contains(&id) {
            let accepted_as = line.split("taken as ").nth(1).and_then(|rest| rest.split(',').next());
            number = accepted_as.map(str::to_owned).or(number);
            lines.push(line);
        } else if let Some(number) = &number
            && (start_or_stop || is_about(line, number))
        {
            lines.push(line);
        }
    }
    lines
}

fn is_about(line: &str, number: &str) -> bool {
    let in_acknowledged_notices = || {
        let list = line.split("notices: told [").nth(1)?.split(']').next()?;
        Some(list.split(", ").any(|listed| listed == number))
    };
    line.contains(&format!("packet {number}: ")) || in_acknowledged_notices().unwrap_or(false)
}
