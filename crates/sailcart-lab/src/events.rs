//! Writes `events.jsonl.zst`: every observation of the watcher, one JSON object per line. Written on request
//! only.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};

use crate::watcher::{Heard, Seen};

/// Compression level; low, because runs wait for the compression.
const COMPRESSION_LEVEL: i32 = 3;

/// The event log; a default one discards everything.
#[derive(Default)]
pub struct EventLog {
    encoder: Option<zstd::Encoder<'static, File>>,
}

impl EventLog {
    /// Creates `events.jsonl.zst` in a folder, which is created if necessary.
    ///
    /// # Errors
    ///
    /// The folder or the file cannot be created.
    pub fn create(folder: &Path) -> io::Result<EventLog> {
        std::fs::create_dir_all(folder)?;
        let file = File::create(folder.join("events.jsonl.zst"))?;
        Ok(EventLog { encoder: Some(zstd::Encoder::new(file, COMPRESSION_LEVEL)?) })
    }

    /// Writes an observation. After a failed write the log discards everything.
    pub fn write(&mut self, now: Duration, seen: &Seen) {
        let Some(encoder) = &mut self.encoder else { return };
        let line = event_json(now, seen);
        if let Err(error) = writeln!(encoder, "{line}") {
            log::error!(
                "events: code=not_written cannot write events.jsonl.zst, further events are lost: {error}"
            );
            self.encoder = None;
        }
    }

    /// Completes the file.
    pub fn finish(&mut self) {
        if let Some(Err(error)) = self.encoder.take().map(zstd::Encoder::finish) {
            log::error!("events: code=not_written cannot complete events.jsonl.zst: {error}");
        }
    }
}

fn event_json(now: Duration, seen: &Seen) -> Value {
    let ms = now.as_micros() as f64 / 1000.0;
    match seen {
        Seen::Handed(handed) => json!({
            "ms": ms, "seen": "handed", "packet": handed.packet.0, "origin": handed.planned_packet.0,
            "sender": handed.sender.0, "destination": handed.destination.0,
            "key": handed.key.map(|key| key.0), "ends_ms": handed.ends.as_micros() as f64 / 1000.0,
        }),
        Seen::Taken(packet) => json!({"ms": ms, "seen": "taken", "packet": packet.0}),
        Seen::Ended(packet, end) => {
            json!({"ms": ms, "seen": "ended", "packet": packet.0, "end": format!("{end:?}")})
        }
        Seen::Abandoned(packet) => json!({"ms": ms, "seen": "abandoned", "packet": packet.0}),
        Seen::Came { call, sender, endpoint, gate, packets } => json!({
            "ms": ms, "seen": "came", "call": call.0, "sender": sender.0, "endpoint": endpoint.0,
            "gate": gate.0, "packets": packets.iter().map(|packet| packet.0).collect::<Vec<_>>(),
        }),
        Seen::Ran(call, effects) => json!({"ms": ms, "seen": "ran", "call": call.0, "effects": effects}),
        Seen::Over { call, heard } => {
            let wait = match heard {
                Heard::Full(wait) => wait.map(|wait| wait.as_micros() as f64 / 1000.0),
                _ => None,
            };
            let heard_text = match heard {
                Heard::Done => "done",
                Heard::Full(_) => "full",
                Heard::Unsure => "unsure",
                Heard::Error => "error",
            };
            json!({"ms": ms, "seen": "over", "call": call.0, "heard": heard_text, "wait_ms": wait})
        }
        Seen::NoConnection { sender, gate } => {
            json!({"ms": ms, "seen": "no_connection", "sender": sender.0, "gate": gate.0})
        }
        Seen::ToldOff(sender, endpoint) => {
            json!({"ms": ms, "seen": "told_off", "sender": sender.0, "endpoint": endpoint.0})
        }
        Seen::ToldOn(sender, endpoint) => {
            json!({"ms": ms, "seen": "told_on", "sender": sender.0, "endpoint": endpoint.0})
        }
        Seen::OutageFrom(gate) => json!({"ms": ms, "seen": "outage", "gate": gate.0}),
        Seen::Fell(gate) => json!({"ms": ms, "seen": "fell", "gate": gate.0}),
        Seen::SenderDown(sender) => json!({"ms": ms, "seen": "sender_down", "sender": sender.0}),
        Seen::SenderUp(sender) => json!({"ms": ms, "seen": "sender_up", "sender": sender.0}),
        Seen::Folder { sender, fails } => {
            json!({"ms": ms, "seen": "folder", "sender": sender.0, "fails": fails})
        }
    }
}
