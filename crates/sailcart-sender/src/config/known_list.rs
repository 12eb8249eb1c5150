//! The destination list inside a configuration: the last one known from discovery, or the sender's own.
//!
//! It may be as large as a list from discovery, so it is stored as text and parsed in pieces when it is
//! applied.

use std::fmt;
use std::ops::Range;

use sailcart::starting_list::ConfiguredList;
use sailcart_terms::ValueError;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::wire::discovery::Entry;
use crate::wire::list_reader::{ListReader, Summary};

/// The member of the configuration that contains the list.
const KNOWN: &str = "known";
/// The size of the pieces in which the list is parsed.
const PIECE_BYTES: usize = 64 * 1024;

/// A list that has been validated.
pub struct KnownList {
    /// The text that contains the list.
    text: String,
    /// The bytes of `text` that are the list; `None` if the configuration has no list.
    range: Option<Range<usize>>,
    summary: Summary,
}

impl KnownList {
    /// Validates the list in this range of `text`.
    fn new(text: String, range: Option<Range<usize>>) -> Result<Self, ValueError> {
        let mut reader = ListReader::default();
        let empty = Summary { version: 0, full: true, entries_read: 0, entries_skipped: 0 };
        let mut list = KnownList { text, range, summary: empty };
        if list.range.is_some() {
            for piece in list.pieces() {
                reader.push(piece)?;
            }
            list.summary = reader.finish()?;
        }
        Ok(list)
    }

    /// The properties of the list apart from its entries. Without a list, those of an empty full list of
    /// version 0.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// Identifies the list for a process that starts later.
    pub fn identity(&self) -> ConfiguredList {
        let checksum = self.pieces().fold(crc32fast::Hasher::new(), |mut hasher, piece| {
            hasher.update(piece);
            hasher
        });
        ConfiguredList { version: self.summary.version, checksum: checksum.finalize() }
    }

    /// Parses the list again and returns its entries, one piece of the text at a time.
    pub fn entries(&self) -> impl Iterator<Item = Entry> {
        let mut reader = ListReader::without_warnings();
        // `new` has parsed the same text without an error.
        self.pieces().flat_map(move |piece| reader.push(piece).unwrap_or_default())
    }

    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let range = self.range.clone().unwrap_or_default();
        self.text.as_bytes().get(range).unwrap_or_default().chunks(PIECE_BYTES)
    }
}

/// Parses a configuration in JSON. Returns it without its list, and the list.
pub fn split(text: String) -> Result<(Value, KnownList), ValueError> {
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let result =
        deserializer.deserialize_map(Members).and_then(|members| deserializer.end().map(|()| members));
    let (members, known) = result.map_err(|error| format!("expected JSON: {error}"))?;
    // The raw value borrows from `text`, so its offset is the difference of the addresses.
    let start = known.map(|known| known.get().as_ptr() as usize - text.as_ptr() as usize);
    let range = start.zip(known).map(|(start, known)| start..start + known.get().len());
    let list = KnownList::new(text, range).map_err(|error| format!("{KNOWN}: {}", error.0))?;
    Ok((Value::Object(members), list))
}

/// Splits a configuration that is already a JSON value, as [`split`] does.
pub fn split_value(mut file: Value) -> Result<(Value, KnownList), ValueError> {
    let known = file.as_object_mut().and_then(|file| file.remove(KNOWN)).map(|known| known.to_string());
    let range = known.as_ref().map(|known| 0..known.len());
    let list = KnownList::new(known.unwrap_or_default(), range);
    Ok((file, list.map_err(|error| format!("{KNOWN}: {}", error.0))?))
}

/// Deserializes an object, with the list as raw text. If a member occurs twice, the last one counts.
struct Members;

impl<'de> Visitor<'de> for Members {
    type Value = (Map<String, Value>, Option<&'de RawValue>);

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<Self::Value, A::Error> {
        let mut file = Map::new();
        let mut known = None;
        while let Some(name) = members.next_key::<String>()? {
            if name == KNOWN {
                known = Some(members.next_value()?);
            } else {
                file.insert(name, members.next_value()?);
            }
        }
        Ok((file, known))
    }
}
