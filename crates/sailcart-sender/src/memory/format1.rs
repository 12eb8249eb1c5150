//! The journal of format 1, one file: read once, and carried over.

use std::fs;
use std::io;
use std::path::Path;

use nom::bytes::complete::take;
use nom::combinator::all_consuming;
use nom::number::complete::{be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::PacketId;

use super::records;
use super::{Notice, Packet, Stand};

const NAME: &str = "journal";
const HEAD: &[u8] = b"sailcart journal 1\n";

/// One record; all of a packet's records bear its number.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Taken(Packet),
    Stands(PacketId, Stand),
    /// The packet is over, and the platform is owed a notice of it.
    Owed(PacketId, Box<str>, Notice),
    /// Nothing more is owed.
    Over(PacketId),
}

/// The folder's journal of format 1, if it has one. A torn tail never counted.
pub fn read(folder: &Path) -> io::Result<Option<Vec<Record>>> {
    let all = match fs::read(folder.join(NAME)) {
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        other => other?,
    };
    if !HEAD.starts_with(&all) && !all.starts_with(HEAD) {
        let words = format!("{} is not a journal that this version reads", folder.join(NAME).display());
        return Err(io::Error::new(io::ErrorKind::InvalidData, words));
    }
    let (mut records, mut rest) = (Vec::new(), all.strip_prefix(HEAD).unwrap_or_default());
    while let Ok((after, record)) = unframe(rest) {
        let Ok((_, record)) = all_consuming(decode).parse(record) else { break };
        records.push(record);
        rest = after;
    }
    if !rest.is_empty() {
        log::warn!("journal: code=torn {} bytes cut, {} records kept", rest.len(), records.len());
    }
    Ok(Some(records))
}

/// It has been carried over: its records stand elsewhere.
pub fn retire(folder: &Path) -> io::Result<()> {
    let _ = fs::remove_file(folder.join(NAME).with_extension("new"));
    fs::remove_file(folder.join(NAME))
}

/// Length and checksum, then the record.
fn unframe(input: &[u8]) -> IResult<&[u8], &[u8]> {
    let (rest, (length, sum)) = (be_u32, be_u32).parse(input)?;
    let (rest, record) = take(length)(rest)?;
    if crc32fast::hash(record) != sum {
        return Err(nom::Err::Error(nom::error::Error::new(input, nom::error::ErrorKind::Verify)));
    }
    Ok((rest, record))
}

fn decode(input: &[u8]) -> IResult<&[u8], Record> {
    let (rest, (form, id)) = (be_u8, be_u64.map(PacketId)).parse(input)?;
    match form {
        1 => (|input| records::packet(id, input)).map(Record::Taken).parse(rest),
        2 => records::stand.map(|stand| Record::Stands(id, stand)).parse(rest),
        3 => {
            (records::word, records::notice).map(|(name, notice)| Record::Owed(id, name, notice)).parse(rest)
        }
        _ => Ok((rest, Record::Over(id))),
    }
}
