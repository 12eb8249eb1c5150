//! The destination list in discovery's format: request paths, complete lists, and single entries. Lists
//! that may be large are read with [`ListReader`].

use std::net::SocketAddr;
use std::time::Duration;

use sailcart_terms::{ValueError, member, read_number, read_text};
use serde_json::Value;

use super::list_reader::{ListReader, Summary};

/// The rate, in calls per second, of an entry without `weight`.
pub const DEFAULT_RATE: f64 = 1.0;

/// A destination list, full or incremental.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    /// A full snapshot, which replaces everything that was listed before. Otherwise the list is incremental.
    pub full: bool,
    pub entries: Vec<Entry>,
}

/// One endpoint of the destination list.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub destination: u64,
    /// Whether the endpoint accepts new calls.
    pub live: bool,
    /// Calls per second that the destination accepts from all senders.
    pub rate: f64,
}

/// Path of the request that waits up to `hold` for a list newer than version `from`.
pub fn watch_path(from: u64, hold: Duration) -> String {
    format!("/v1/servers?from={from}&hold_ms={}", hold.as_millis())
}

/// Path of the request for the full list.
pub const FULL_LIST_PATH: &str = "/v1/servers";

/// Reads a list that is completely in memory. Malformed entries are skipped.
pub fn read_list(body: &[u8]) -> Result<List, ValueError> {
    let mut reader = ListReader::default();
    let entries = reader.push(body)?;
    let Summary { version, full, .. } = reader.finish()?;
    Ok(List { version, full, entries })
}

/// Reads one entry of a list. The error says which member is missing or malformed.
pub fn read_entry(value: &Value) -> Result<Entry, ValueError> {
    let address = read_text(member(value, "hostPort")?, "hostPort")?;
    Ok(Entry {
        name: read_text(member(value, "instanceId")?, "instanceId")?.to_owned(),
        address: address.parse().map_err(|_| format!("expected ADDRESS:PORT in hostPort, not {address}"))?,
        kind: read_text(member(value, "machineType")?, "machineType")?.to_owned(),
        destination: unsigned_member(value, "cell")?,
        live: accepts_calls(read_text(member(value, "lifecycle")?, "lifecycle")?),
        rate: value.get("weight").map_or(Ok(DEFAULT_RATE), |weight| read_number(weight, "weight"))?,
    })
}

/// Whether an endpoint in this state accepts new calls. Those that are `Terminating`, `Gone` or in any
/// unknown state do not.
pub fn accepts_calls(lifecycle: &str) -> bool {
    lifecycle == "Ready"
}

fn unsigned_member(value: &Value, key: &str) -> Result<u64, ValueError> {
    member(value, key)?.as_u64().ok_or_else(|| format!("expected a whole number in {key}").into())
}
