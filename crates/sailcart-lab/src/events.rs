//! Writes `events.jsonl.zst`: every observation of the watcher, one JSON object per line. Written on request
//! only.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};

use crate::watcher::{CallResult, Observation};

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
    pub fn write(&mut self, now: Duration, observation: &Observation) {
        let Some(encoder) = &mut self.encoder else { return };
        let line = event_json(now, observation);
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

fn event_json(now: Duration, observation: &Observation) -> Value {
    let ms = now.as_micros() as f64 / 1000.0;
    match observation {
        Observation::Submitted(submitted) => json!({
            "ms": ms, "seen": "handed", "packet": submitted.packet.0, "origin": submitted.planned_packet.0,
            "sender": submitted.sender.0, "destination": submitted.destination.0,
            "key": submitted.key.map(|key| key.0), "ends_ms": submitted.deadline.as_micros() as f64 / 1000.0,
        }),
        Observation::Accepted(packet) => json!({"ms": ms, "seen": "taken", "packet": packet.0}),
        Observation::Completed(packet, completion) => {
            json!({"ms": ms, "seen": "ended", "packet": packet.0, "end": format!("{completion:?}")})
        }
        Observation::Abandoned(packet) => json!({"ms": ms, "seen": "abandoned", "packet": packet.0}),
        Observation::CallReceived { call, sender, endpoint, upstream, packets } => json!({
            "ms": ms, "seen": "came", "call": call.0, "sender": sender.0, "endpoint": endpoint.0,
            "gate": upstream.0, "packets": packets.iter().map(|packet| packet.0).collect::<Vec<_>>(),
        }),
        Observation::Executed(call, effects) => {
            json!({"ms": ms, "seen": "ran", "call": call.0, "effects": effects})
        }
        Observation::CallCompleted { call, result } => {
            let wait = match result {
                CallResult::Rejected(wait) => wait.map(|wait| wait.as_micros() as f64 / 1000.0),
                _ => None,
            };
            let result_text = match result {
                CallResult::Done => "done",
                CallResult::Rejected(_) => "full",
                CallResult::PossiblyExecuted => "unsure",
                CallResult::Error => "error",
            };
            json!({"ms": ms, "seen": "over", "call": call.0, "heard": result_text, "wait_ms": wait})
        }
        Observation::ConnectionFailed { sender, upstream } => {
            json!({"ms": ms, "seen": "no_connection", "sender": sender.0, "gate": upstream.0})
        }
        Observation::EndpointDraining(sender, endpoint) => {
            json!({"ms": ms, "seen": "told_off", "sender": sender.0, "endpoint": endpoint.0})
        }
        Observation::EndpointReady(sender, endpoint) => {
            json!({"ms": ms, "seen": "told_on", "sender": sender.0, "endpoint": endpoint.0})
        }
        Observation::OutageStarted(upstream) => json!({"ms": ms, "seen": "outage", "gate": upstream.0}),
        Observation::Collapsed(upstream) => json!({"ms": ms, "seen": "fell", "gate": upstream.0}),
        Observation::SenderDown(sender) => json!({"ms": ms, "seen": "sender_down", "sender": sender.0}),
        Observation::SenderUp(sender) => json!({"ms": ms, "seen": "sender_up", "sender": sender.0}),
        Observation::StateFolder { sender, fails } => {
            json!({"ms": ms, "seen": "folder", "sender": sender.0, "fails": fails})
        }
    }
}
