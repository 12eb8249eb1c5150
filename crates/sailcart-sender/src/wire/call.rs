//! What is spoken with endpoints: packets out, the outcome of each in.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sailcart::{Outcome, Report};
use sailcart_terms::Reports;
use serde_json::{Value, json};

use super::http::{self, Extent, Head};

/// A packet's part of a call.
pub struct Parcel<'a> {
    pub id: &'a str,
    pub mark: Option<&'a str>,
    pub body: &'a [u8],
}

/// How a packet's dispatch came back, and whether its answer says that nothing more is owed for the packet.
pub type Ending = (Outcome, bool);

/// One packet goes by itself, several as a list.
pub fn write(host: &str, parcels: &[Parcel], budget: Duration) -> Vec<u8> {
    let budget = format!("X-Budget: {}m\r\n", budget.as_millis().max(1));
    if let [parcel] = parcels {
        let mark = parcel.mark.map(|mark| format!("Idempotency-Key: {mark}\r\n")).unwrap_or_default();
        let headers = format!("X-Call-Id: {}\r\n{mark}{budget}", parcel.id);
        return http::post(host, "/receive", &headers, parcel.body);
    }
    let list: Vec<Value> = parcels.iter().map(listed).collect();
    http::post(host, "/receive-many", &budget, Value::Array(list).to_string().as_bytes())
}

fn listed(parcel: &Parcel) -> Value {
    let mut entry = json!({"id": parcel.id, "body": STANDARD.encode(parcel.body)});
    if let Some(mark) = parcel.mark {
        entry["key"] = mark.into();
    }
    entry
}

/// Whether the first line alone says that the call's one packet is delivered, whatever becomes of the rest.
pub fn settled(status: Option<u16>, packets: usize) -> bool {
    status == Some(200) && packets == 1
}

/// How each of a call's packets came back.
pub fn endings(head: &Head, body: &[u8], ids: &[&str]) -> Vec<Ending> {
    let listed = head.status == 200 && ids.len() > 1;
    let states = if listed { states(body) } else { None };
    let of = |id: &&str| match &states {
        None if listed => (Outcome::Error, false),
        None => ending(head),
        Some(states) => {
            let state = states.iter().find(|(other, _)| other == id);
            listed_ending(state.map(|(_, state)| state.as_str()), head.retry_after)
        }
    };
    ids.iter().map(of).collect()
}

/// What an answer's report tells of the limit: `x0=0.4,x1=25`, with the fields that the settings name.
pub fn report(head: &Head, reports: &Reports) -> Option<Report> {
    let fields = || head.report.as_deref().unwrap_or_default().split(',').filter_map(|f| f.split_once('='));
    reports.read(|(_, name)| fields().find(|(key, _)| key.trim() == name)?.1.trim().parse().ok())
}

fn ending(head: &Head) -> Ending {
    match head.status {
        200 => (Outcome::Done, true),
        429 => (Outcome::Full(head.retry_after.filter(|wait| !wait.is_zero())), false),
        503 if head.line_busy => (Outcome::NoSlot, false),
        // One that is only busy keeps its connections, and says how long its answer is.
        503 if head.close && head.extent != Extent::Rest => (Outcome::NoRoom, false),
        503 => (Outcome::Full(None), false),
        504 => (Outcome::Moot, false),
        410 => (Outcome::Moot, true),
        _ => (Outcome::Error, false), // whatever is not in the protocol may have run
    }
}

fn listed_ending(state: Option<&str>, wait: Option<Duration>) -> Ending {
    match state {
        Some("accepted") => (Outcome::Done, true),
        Some("deferred") => (Outcome::Full(wait.filter(|wait| !wait.is_zero())), false),
        Some("expired") => (Outcome::Moot, true),
        Some("no_more") => (Outcome::Moot, false),
        _ => (Outcome::Error, false), // a fault, or the answer leaves the packet out
    }
}

fn states(body: &[u8]) -> Option<Vec<(String, String)>> {
    let list: Value = serde_json::from_slice(body).ok()?;
    let text = |entry: &Value, name: &str| entry.get(name)?.as_str().map(str::to_owned);
    list.as_array()?.iter().map(|entry| Some((text(entry, "id")?, text(entry, "state")?))).collect()
}
