//! The destination list as discovery tells it.

use std::net::SocketAddr;
use std::time::Duration;

use sailcart_terms::{Fault, member, take_number, take_text};
use serde_json::Value;

use super::list_reader::{ListReader, Summary};

/// The rate of an entry that tells none.
pub const NO_WEIGHT: f64 = 1.0;

#[derive(Debug)]
pub struct List {
    pub version: u64,
    /// It replaces all that was told before.
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub destination: u64,
    pub live: bool,
    pub rate: f64,
}

/// Waits at discovery for what is newer than a version.
pub fn watch(from: u64, hold: Duration) -> String {
    format!("/v1/servers?from={from}&hold_ms={}", hold.as_millis())
}

pub const WHOLE: &str = "/v1/servers";

/// Reads a list of which all bytes are at hand.
pub fn read(body: &[u8]) -> Result<List, Fault> {
    let mut reader = ListReader::default();
    let entries = reader.push(body)?;
    let Summary { version, whole, .. } = reader.finish()?;
    Ok(List { version, whole, entries })
}

/// One entry; says what is wrong with one that cannot be read.
pub fn entry(value: &Value) -> Result<Entry, Fault> {
    let address = take_text(member(value, "hostPort")?, "hostPort")?;
    Ok(Entry {
        name: take_text(member(value, "instanceId")?, "instanceId")?.to_owned(),
        address: address.parse().map_err(|_| format!("expected an address in hostPort, not {address}"))?,
        kind: take_text(member(value, "machineType")?, "machineType")?.to_owned(),
        destination: whole(value, "cell")?,
        live: takes_calls(take_text(member(value, "lifecycle")?, "lifecycle")?),
        rate: value.get("weight").map_or(Ok(NO_WEIGHT), |weight| take_number(weight, "weight"))?,
    })
}

/// Terminating, Gone, and whatever else is not ready for more takes none.
pub fn takes_calls(lifecycle: &str) -> bool {
    lifecycle == "Ready"
}

fn whole(value: &Value, key: &str) -> Result<u64, Fault> {
    member(value, key)?.as_u64().ok_or_else(|| format!("expected a whole number in {key}").into())
}
