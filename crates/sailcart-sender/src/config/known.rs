//! The destination list that a configuration brings: as last known from discovery, or the sender's own. It may be as large as
//! discovery's, so it is kept as written, and read in pieces where it is put in force.

use std::fmt;
use std::ops::Range;

use sailcart_terms::Fault;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::wire::discovery::Entry;
use crate::wire::list_reader::{ListReader, Summary};

/// The member of the configuration that holds the list.
const KNOWN: &str = "known";
/// Bytes of it that are read at once.
const PIECE: usize = 64 * 1024;

/// A list that was read once, and can be.
pub struct KnownList {
    text: String,
    /// Where it stands in the text, if the configuration has one.
    place: Option<Range<usize>>,
    summary: Summary,
}

impl KnownList {
    /// Reads the list that stands there in a configuration's text.
    fn new(text: String, place: Option<Range<usize>>) -> Result<Self, Fault> {
        let mut reader = ListReader::default();
        let nothing = Summary { version: 0, whole: true, read: 0, passed_over: 0 };
        let mut list = KnownList { text, place, summary: nothing };
        if list.place.is_some() {
            for piece in list.pieces() {
                reader.push(piece)?;
            }
            list.summary = reader.finish()?;
        }
        Ok(list)
    }

    /// What it tells beside its entries.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    /// Its entries, read anew, a piece at a time.
    pub fn entries(&self) -> impl Iterator<Item = Entry> {
        let mut reader = ListReader::quiet();
        // It could be read once, so no piece is at fault now.
        self.pieces().flat_map(move |piece| reader.push(piece).unwrap_or_default())
    }

    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let place = self.place.clone().unwrap_or_default();
        self.text.as_bytes().get(place).unwrap_or_default().chunks(PIECE)
    }
}

/// A configuration in JSON: all but its list as a value, and its list.
pub fn split(text: String) -> Result<(Value, KnownList), Fault> {
    let mut reading = serde_json::Deserializer::from_str(&text);
    let read = reading.deserialize_map(Members).and_then(|read| reading.end().map(|()| read));
    let (members, known) = read.map_err(|fault| format!("expected JSON: {fault}"))?;
    // The raw value is a part of the text.
    let begin = known.map(|known| known.get().as_ptr() as usize - text.as_ptr() as usize);
    let place = begin.zip(known).map(|(begin, known)| begin..begin + known.get().len());
    let list = KnownList::new(text, place).map_err(|fault| format!("{KNOWN}: {}", fault.0))?;
    Ok((Value::Object(members), list))
}

/// A configuration that stands in memory already.
pub fn take(mut file: Value) -> Result<(Value, KnownList), Fault> {
    let known = file.as_object_mut().and_then(|file| file.remove(KNOWN)).map(|known| known.to_string());
    let place = known.as_ref().map(|known| 0..known.len());
    let list = KnownList::new(known.unwrap_or_default(), place);
    Ok((file, list.map_err(|fault| format!("{KNOWN}: {}", fault.0))?))
}

/// Takes the members of an object; that of the list as it stands in the text. Of two the last counts.
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
