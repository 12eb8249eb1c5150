//! The destination list read as a stream: bytes in any pieces go in, entries come out as soon as they are whole. Its memory
//! is bounded by [`MOST_ENTRY`], whatever comes.

use std::borrow::Cow;

use sailcart_terms::Fault;
use serde::Deserialize;
use serde_json::Value;

use super::discovery::{self, Entry};
use super::json::{Event, NotJson, Scanner, Utf8};

/// An entry's bytes at most, as written. One that has more is passed over.
pub const MOST_ENTRY: usize = 4096;
/// Bytes of the names and single values of the list's own object that are looked at. What has more is none of ours.
const MOST_WORD: usize = 64;
/// Lines of the log for what was passed over in one list; the rest is counted.
const MOST_LINES: usize = 3;

/// What a list tells beside its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    pub version: u64,
    /// It replaces all that was told before.
    pub whole: bool,
    /// Entries that were read.
    pub read: usize,
    /// Entries that could not be read, or were too large.
    pub passed_over: usize,
}

/// The members of the list's own object.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Member {
    Generation,
    Reset,
    Instances,
    Unknown,
}

/// What the bytes at hand are kept for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Nothing,
    /// The name of a member.
    Name,
    /// The value of `generation` or `reset`.
    Word,
    Entry,
}

/// A list as far as it has come. After a fault it is of no more use.
pub struct ListReader {
    scanner: Scanner,
    text: Utf8,
    part: Part,
    /// The part's bytes so far, of which there may be [`MOST_ENTRY`].
    kept: Vec<u8>,
    /// The part has more bytes than are kept.
    too_large: bool,
    member: Member,
    version: Option<u64>,
    whole: Option<bool>,
    /// The member `instances` came.
    listed: bool,
    read: usize,
    passed_over: usize,
    /// Lines of the log for what is passed over, at most.
    most_lines: usize,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader {
            scanner: Scanner::default(),
            text: Utf8::default(),
            part: Part::Nothing,
            kept: Vec::new(),
            too_large: false,
            member: Member::Unknown,
            version: None,
            whole: None,
            listed: false,
            read: 0,
            passed_over: 0,
            most_lines: MOST_LINES,
        }
    }
}

impl ListReader {
    /// One that logs nothing of what it passes over, as for a list that is read once more.
    pub fn quiet() -> Self {
        ListReader { most_lines: 0, ..ListReader::default() }
    }

    /// Takes the next bytes; tells the entries that came whole with them.
    pub fn push(&mut self, mut piece: &[u8]) -> Result<Vec<Entry>, Fault> {
        self.text.check(piece)?;
        let mut entries = Vec::new();
        while !piece.is_empty() {
            let step = self.scanner.scan(piece)?;
            let (taken, rest) = piece.split_at(step.used);
            self.keep(taken);
            piece = rest;
            match step.event {
                Some(Event::ValueEnds { depth: 2 }) if self.part == Part::Entry => {
                    entries.extend(self.entry_ends());
                }
                Some(event) => self.meet(event)?,
                None => {}
            }
        }
        Ok(entries)
    }

    /// The body has ended: a list that is not whole by now is none.
    pub fn finish(self) -> Result<Summary, Fault> {
        if !self.scanner.is_over() {
            return Err("expected JSON: it ends too early".into());
        }
        if self.most_lines > 0 && self.passed_over > self.most_lines {
            log::warn!("discovery: code=entry {} entries passed over", self.passed_over);
        }
        if !self.listed {
            return Err("expected instances".into());
        }
        Ok(Summary {
            version: self.version.ok_or("expected generation")?,
            whole: self.whole.ok_or("expected reset")?,
            read: self.read,
            passed_over: self.passed_over,
        })
    }

    fn meet(&mut self, event: Event) -> Result<(), Fault> {
        match (event, self.member) {
            (Event::ValueBegins { depth: 0, first }, _) if first != b'{' => {
                return Err("expected an object".into());
            }
            (Event::NameBegins { depth: 1 }, _) => self.begin(Part::Name, b'"'),
            (Event::NameEnds { depth: 1 }, _) => self.name_ends()?,
            (Event::ValueBegins { depth: 1, first }, Member::Instances) if first != b'[' => {
                return Err("expected an array in instances".into());
            }
            (Event::ValueBegins { depth: 1, first }, Member::Generation | Member::Reset) => {
                self.begin(Part::Word, first);
            }
            (Event::ValueEnds { depth: 1 }, _) if self.part == Part::Word => self.word_ends()?,
            (Event::ValueBegins { depth: 2, first }, Member::Instances) => self.begin(Part::Entry, first),
            _ => {}
        }
        Ok(())
    }

    fn begin(&mut self, part: Part, first: u8) {
        self.part = part;
        self.too_large = false;
        self.kept.clear();
        self.kept.push(first);
    }

    fn keep(&mut self, bytes: &[u8]) {
        let most = match self.part {
            Part::Nothing => return,
            Part::Name | Part::Word => MOST_WORD,
            Part::Entry => MOST_ENTRY,
        };
        self.too_large |= self.kept.len() + bytes.len() > most;
        if !self.too_large {
            self.kept.extend_from_slice(bytes);
        }
    }

    /// The bytes of the part that has just ended.
    fn end(&mut self) -> Option<&[u8]> {
        self.part = Part::Nothing;
        (!self.too_large).then_some(&self.kept)
    }

    fn name_ends(&mut self) -> Result<(), Fault> {
        let name = self.end().and_then(|name| serde_json::from_slice::<Cow<str>>(name).ok());
        let (member, came) = match name.as_deref() {
            Some("generation") => (Member::Generation, self.version.is_some()),
            Some("reset") => (Member::Reset, self.whole.is_some()),
            Some("instances") => (Member::Instances, std::mem::replace(&mut self.listed, true)),
            _ => (Member::Unknown, false),
        };
        self.member = member;
        // Entries were handed on by then: the last of two cannot take the place of the first.
        if came { Err("expected generation, reset and instances once each".into()) } else { Ok(()) }
    }

    fn word_ends(&mut self) -> Result<(), Fault> {
        let member = self.member;
        let word = self.end().and_then(|word| serde_json::from_slice::<Value>(word).ok()).unwrap_or_default();
        if member == Member::Generation {
            self.version = Some(word.as_u64().ok_or("expected a whole number in generation")?);
        } else {
            self.whole = Some(word.as_bool().ok_or("expected true or false in reset")?);
        }
        Ok(())
    }

    /// An entry that cannot be read must not hide what the others tell.
    fn entry_ends(&mut self) -> Option<Entry> {
        let first_lines = self.passed_over < self.most_lines;
        let entry = match self.end() {
            Some(bytes) => read_entry(bytes, first_lines),
            None => {
                if first_lines {
                    log::warn!("discovery: code=entry_too_large an entry has over {MOST_ENTRY} bytes");
                }
                None
            }
        };
        match entry {
            Some(_) => self.read += 1,
            None => self.passed_over += 1,
        }
        entry
    }
}

/// An entry as nearly all are written.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line<'a> {
    #[serde(borrow)]
    instance_id: Cow<'a, str>,
    #[serde(borrow)]
    host_port: Cow<'a, str>,
    #[serde(borrow)]
    machine_type: Cow<'a, str>,
    cell: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(default = "no_weight")]
    weight: f64,
}

fn no_weight() -> f64 {
    discovery::NO_WEIGHT
}

/// The ordinary entry is read without a value for each of its members. What is left is read again with care: it may be unusual
/// and good, and else the log tells what is wrong with it.
fn read_entry(bytes: &[u8], logged: bool) -> Option<Entry> {
    if let Some(entry) = serde_json::from_slice(bytes).ok().and_then(ordinary) {
        return Some(entry);
    }
    // Some escapes and numbers are JSON by its grammar, and yet no value.
    let value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    let told = |fault: &Fault| log::warn!("discovery: code=entry {}: {value}", fault.0);
    discovery::entry(&value)
        .inspect_err(|fault| {
            if logged {
                told(fault)
            }
        })
        .ok()
}

fn ordinary(line: Line) -> Option<Entry> {
    Some(Entry {
        address: line.host_port.parse().ok()?,
        name: line.instance_id.into_owned(),
        kind: line.machine_type.into_owned(),
        destination: line.cell,
        live: discovery::takes_calls(&line.lifecycle),
        rate: line.weight,
    })
}

impl From<NotJson> for Fault {
    fn from(fault: NotJson) -> Self {
        format!("expected JSON: {}", fault.0).into()
    }
}
