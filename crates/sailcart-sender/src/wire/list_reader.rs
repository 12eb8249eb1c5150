//! A streaming reader of the destination list: bytes go in, in pieces of any size, and each entry comes out
//! as soon as it is complete. Its memory use is bounded by [`MAX_ENTRY_BYTES`], whatever the input.

use std::borrow::Cow;

use sailcart_terms::ValueError;
use serde::Deserialize;
use serde_json::Value;

use super::discovery::{self, Entry};
use super::json::{Event, JsonError, Scanner, Utf8Checker};

/// The largest entry, in bytes as written. A larger one is skipped.
pub const MAX_ENTRY_BYTES: usize = 4096;
/// The largest member name or scalar value of the list's top-level object that is read, in bytes. Anything
/// longer is not part of the format.
const MAX_SCALAR_BYTES: usize = 64;
/// The most skipped entries of one list that are logged individually; the rest is only counted.
const MAX_WARNINGS: usize = 3;

/// The properties of a list apart from its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    pub version: u64,
    /// A full snapshot, which replaces everything that was listed before. Otherwise the list is incremental.
    pub full: bool,
    pub entries_read: usize,
    /// Malformed or too large.
    pub entries_skipped: usize,
}

/// The members of the list's top-level object.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Member {
    Generation,
    Reset,
    Instances,
    Unknown,
}

/// The part of the document whose bytes are being captured.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Capture {
    None,
    /// The name of a member.
    Name,
    /// The value of `generation` or `reset`.
    Scalar,
    Entry,
}

/// Reads one list. It must not be used again after an error.
pub struct ListReader {
    scanner: Scanner,
    utf8: Utf8Checker,
    capture: Capture,
    /// The bytes captured so far, at most [`MAX_ENTRY_BYTES`].
    captured: Vec<u8>,
    /// The captured part exceeds its limit, so `captured` is incomplete.
    too_large: bool,
    member: Member,
    version: Option<u64>,
    full: Option<bool>,
    /// The member `instances` has occurred.
    instances_seen: bool,
    entries_read: usize,
    entries_skipped: usize,
    /// The most skipped entries that are logged individually.
    max_warnings: usize,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader {
            scanner: Scanner::default(),
            utf8: Utf8Checker::default(),
            capture: Capture::None,
            captured: Vec::new(),
            too_large: false,
            member: Member::Unknown,
            version: None,
            full: None,
            instances_seen: false,
            entries_read: 0,
            entries_skipped: 0,
            max_warnings: MAX_WARNINGS,
        }
    }
}

impl ListReader {
    /// A reader that logs no skipped entries, for a list that has been read before.
    pub fn without_warnings() -> Self {
        ListReader { max_warnings: 0, ..ListReader::default() }
    }

    /// Reads the next bytes and returns the entries that are complete with them. Fails if the list is
    /// malformed; malformed entries are skipped.
    pub fn push(&mut self, mut piece: &[u8]) -> Result<Vec<Entry>, ValueError> {
        self.utf8.check(piece)?;
        let mut entries = Vec::new();
        while !piece.is_empty() {
            let step = self.scanner.scan(piece)?;
            let (consumed, rest) = piece.split_at(step.consumed);
            self.capture_bytes(consumed);
            piece = rest;
            match step.event {
                Some(Event::ValueEnds { depth: 2 }) if self.capture == Capture::Entry => {
                    entries.extend(self.end_entry());
                }
                Some(event) => self.handle_event(event)?,
                None => {}
            }
        }
        Ok(entries)
    }

    /// Ends the list and returns its properties. Fails if the document is incomplete or lacks a member.
    pub fn finish(self) -> Result<Summary, ValueError> {
        if !self.scanner.is_complete() {
            return Err("expected JSON: it ends too early".into());
        }
        if self.max_warnings > 0 && self.entries_skipped > self.max_warnings {
            log::warn!("discovery: code=entry {} entries skipped", self.entries_skipped);
        }
        if !self.instances_seen {
            return Err("expected instances".into());
        }
        Ok(Summary {
            version: self.version.ok_or("expected generation")?,
            full: self.full.ok_or("expected reset")?,
            entries_read: self.entries_read,
            entries_skipped: self.entries_skipped,
        })
    }

    fn handle_event(&mut self, event: Event) -> Result<(), ValueError> {
        match (event, self.member) {
            (Event::ValueBegins { depth: 0, first }, _) if first != b'{' => {
                return Err("expected an object".into());
            }
            (Event::NameBegins { depth: 1 }, _) => self.begin_capture(Capture::Name, b'"'),
            (Event::NameEnds { depth: 1 }, _) => self.end_name()?,
            (Event::ValueBegins { depth: 1, first }, Member::Instances) if first != b'[' => {
                return Err("expected an array in instances".into());
            }
            (Event::ValueBegins { depth: 1, first }, Member::Generation | Member::Reset) => {
                self.begin_capture(Capture::Scalar, first);
            }
            (Event::ValueEnds { depth: 1 }, _) if self.capture == Capture::Scalar => self.end_scalar()?,
            (Event::ValueBegins { depth: 2, first }, Member::Instances) => {
                self.begin_capture(Capture::Entry, first)
            }
            _ => {}
        }
        Ok(())
    }

    fn begin_capture(&mut self, capture: Capture, first: u8) {
        self.capture = capture;
        self.too_large = false;
        self.captured.clear();
        self.captured.push(first);
    }

    fn capture_bytes(&mut self, bytes: &[u8]) {
        let max_bytes = match self.capture {
            Capture::None => return,
            Capture::Name | Capture::Scalar => MAX_SCALAR_BYTES,
            Capture::Entry => MAX_ENTRY_BYTES,
        };
        self.too_large |= self.captured.len() + bytes.len() > max_bytes;
        if !self.too_large {
            self.captured.extend_from_slice(bytes);
        }
    }

    /// Ends the capture and returns its bytes, unless they exceed the limit.
    fn end_capture(&mut self) -> Option<&[u8]> {
        self.capture = Capture::None;
        (!self.too_large).then_some(&self.captured)
    }

    fn end_name(&mut self) -> Result<(), ValueError> {
        let name = self.end_capture().and_then(|name| serde_json::from_slice::<Cow<str>>(name).ok());
        let (member, seen_before) = match name.as_deref() {
            Some("generation") => (Member::Generation, self.version.is_some()),
            Some("reset") => (Member::Reset, self.full.is_some()),
            Some("instances") => (Member::Instances, std::mem::replace(&mut self.instances_seen, true)),
            _ => (Member::Unknown, false),
        };
        self.member = member;
        // The entries of the first `instances` have been returned by now, so a second one cannot replace
        // them.
        if seen_before { Err("expected generation, reset and instances once each".into()) } else { Ok(()) }
    }

    fn end_scalar(&mut self) -> Result<(), ValueError> {
        let member = self.member;
        let value = self
            .end_capture()
            .and_then(|bytes| serde_json::from_slice::<Value>(bytes).ok())
            .unwrap_or_default();
        if member == Member::Generation {
            self.version = Some(value.as_u64().ok_or("expected a whole number in generation")?);
        } else {
            self.full = Some(value.as_bool().ok_or("expected true or false in reset")?);
        }
        Ok(())
    }

    /// Returns the entry, or skips it if it is malformed or too large, so that it does not invalidate the
    /// others.
    fn end_entry(&mut self) -> Option<Entry> {
        let log_if_skipped = self.entries_skipped < self.max_warnings;
        let entry = match self.end_capture() {
            Some(bytes) => read_entry_bytes(bytes, log_if_skipped),
            None => {
                if log_if_skipped {
                    log::warn!(
                        "discovery: code=entry_too_large skipped an entry of more than {MAX_ENTRY_BYTES} bytes"
                    );
                }
                None
            }
        };
        match entry {
            Some(_) => self.entries_read += 1,
            None => self.entries_skipped += 1,
        }
        entry
    }
}

/// An entry in the form that nearly all entries have.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TypicalEntry<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
    #[serde(borrow)]
    host_port: Cow<'a, str>,
    #[serde(borrow)]
    machine_type: Cow<'a, str>,
    cell: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(default = "default_rate")]
    weight: f64,
}

fn default_rate() -> f64 {
    discovery::DEFAULT_RATE
}

/// Reads a typical entry directly, without building a JSON value for each member. Any other entry is read a
/// second time through a JSON value: it may be unusual but valid, and otherwise the log says what is wrong
/// with it.
fn read_entry_bytes(bytes: &[u8], log_errors: bool) -> Option<Entry> {
    if let Some(entry) = serde_json::from_slice(bytes).ok().and_then(from_typical) {
        return Some(entry);
    }
    // Some escapes and numbers satisfy the grammar of JSON, but serde_json cannot represent them.
    let value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    let warn = |error: &ValueError| log::warn!("discovery: code=entry {}: {value}", error.0);
    discovery::read_entry(&value)
        .inspect_err(|error| {
            if log_errors {
                warn(error)
            }
        })
        .ok()
}

fn from_typical(entry: TypicalEntry) -> Option<Entry> {
    Some(Entry {
        address: entry.host_port.parse().ok()?,
        name: entry.instance_id.into_owned(),
        kind: entry.machine_type.into_owned(),
        destination: entry.cell,
        live: discovery::accepts_calls(&entry.lifecycle),
        rate: entry.weight,
    })
}

impl From<JsonError> for ValueError {
    fn from(error: JsonError) -> Self {
        format!("expected JSON: {}", error.0).into()
    }
}
