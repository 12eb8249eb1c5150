//! Calls to endpoints: writes the HTTP request for one or more packets, and reads the outcome of each packet
//! from the response.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sailcart::{LimitReport, Outcome};
use sailcart_terms::ReportFields;
use serde_json::{Value, json};

use super::http::{self, BodyLength, Head};
use crate::memory::Packet;

/// What a call carries of one packet.
pub struct CallPacket<'a> {
    pub id: &'a str,
    /// Sent as the idempotency key.
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
}

impl<'a> CallPacket<'a> {
    /// What a call carries of this packet.
    pub fn of(packet: &'a Packet) -> Self {
        CallPacket { id: &packet.id, idempotency_key: packet.idempotency_key.as_deref(), body: &packet.body }
    }
}

/// The outcome of a packet's dispatch, and whether the endpoint has settled the packet, so that no further
/// dispatch of it is needed.
pub type PacketOutcome = (Outcome, bool);

/// Writes the request for a call. A single packet is sent as the plain body, several as a JSON array.
///
/// `budget` is the time left for the call; it is sent in whole milliseconds, at least 1.
pub fn write(host: &str, packets: &[CallPacket], budget: Duration) -> Vec<u8> {
    let budget = format!("X-Budget: {}m\r\n", budget.as_millis().max(1));
    if let [packet] = packets {
        let idempotency_key =
            packet.idempotency_key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let headers = format!("X-Call-Id: {}\r\n{idempotency_key}{budget}", packet.id);
        return http::post(host, "/receive", &headers, packet.body);
    }
    let list: Vec<Value> = packets.iter().map(list_entry).collect();
    http::post(host, "/receive-many", &budget, Value::Array(list).to_string().as_bytes())
}

fn list_entry(packet: &CallPacket) -> Value {
    let mut entry = json!({"id": packet.id, "body": STANDARD.encode(packet.body)});
    if let Some(key) = packet.idempotency_key {
        entry["key"] = key.into();
    }
    entry
}

/// Number of bytes of a packet's entry in a call with several.
pub fn entry_bytes(packet: &CallPacket) -> usize {
    const EMPTY_ENTRY: &str = r#"{"body":"","id":""}"#;
    const EMPTY_KEY: &str = r#","key":"""#;
    let key = packet.idempotency_key.map_or(0, |key| EMPTY_KEY.len() + json_text_bytes(key));
    EMPTY_ENTRY.len() + packet.body.len().div_ceil(3) * 4 + json_text_bytes(packet.id) + key
}

/// Number of bytes of a text in JSON, without its quotes.
fn json_text_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum()
}

/// Whether the status line alone proves that the call's only packet was delivered. The rest of the response
/// may then be missing or malformed.
pub fn proves_delivery(status: Option<u16>, packets: usize) -> bool {
    status == Some(200) && packets == 1
}

/// The outcome of each of a call's packets, in the order of `ids`.
pub fn packet_outcomes(head: &Head, body: &[u8], ids: &[&str]) -> Vec<PacketOutcome> {
    let has_states = head.status == 200 && ids.len() > 1;
    let states = if has_states { packet_states(body) } else { None };
    let outcome_of = |id: &&str| match &states {
        None if has_states => (Outcome::Error, false),
        None => outcome_of_response(head),
        Some(states) => {
            let state = states.iter().find(|(other, _)| other == id);
            outcome_of_state(state.map(|(_, state)| state.as_str()), head.retry_after)
        }
    };
    ids.iter().map(outcome_of).collect()
}

/// Whether the body of a response lists any of these packets.
pub fn names_any(body: &[u8], ids: &[&str]) -> bool {
    packet_states(body).unwrap_or_default().iter().any(|(id, _)| ids.contains(&id.as_str()))
}

/// The endpoint's limit as reported in a response's `X-Load-Report` header, such as `x0=0.4,x1=25`. The
/// settings name the fields.
pub fn limit_report(head: &Head, report_fields: &ReportFields) -> Option<LimitReport> {
    let fields =
        || head.load_report.as_deref().unwrap_or_default().split(',').filter_map(|f| f.split_once('='));
    report_fields.read(|(_, name)| fields().find(|(key, _)| key.trim() == name)?.1.trim().parse().ok())
}

/// The outcome that status and headers give to each packet of a call.
fn outcome_of_response(head: &Head) -> PacketOutcome {
    match head.status {
        200 => (Outcome::Done, true),
        429 => (Outcome::Full(head.retry_after.filter(|wait| !wait.is_zero())), false),
        503 if head.line_busy => (Outcome::NoSlot, false),
        // The endpoint's connection limit is reached. An endpoint that is merely busy keeps its connections
        // open and states the length of its response.
        503 if head.close && head.body_length != BodyLength::UntilClose => (Outcome::NoRoom, false),
        503 => (Outcome::Full(None), false),
        504 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        _ => (Outcome::Error, false), // not part of the protocol, so the call may have executed
    }
}

/// The outcome of one packet of a call with several, from its state in the response's list.
fn outcome_of_state(state: Option<&str>, wait: Option<Duration>) -> PacketOutcome {
    match state {
        Some("accepted") => (Outcome::Done, true),
        Some("deferred") => (Outcome::Full(wait.filter(|wait| !wait.is_zero())), false),
        Some("expired") => (Outcome::Moot, true),
        Some("no_more") => (Outcome::Moot, false),
        _ => (Outcome::Error, false), // the endpoint reports an error, or its response leaves the packet out
    }
}

/// Id and state of each packet that the response's body lists.
fn packet_states(body: &[u8]) -> Option<Vec<(String, String)>> {
    let list: Value = serde_json::from_slice(body).ok()?;
    let text = |entry: &Value, name: &str| entry.get(name)?.as_str().map(str::to_owned);
    list.as_array()?.iter().map(|entry| Some((text(entry, "id")?, text(entry, "state")?))).collect()
}
