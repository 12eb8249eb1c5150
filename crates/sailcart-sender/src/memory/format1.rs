//! Reads the journal of format 1, a single file, so that its records can be migrated into the store.

use std::fs;
use std::io;
use std::path::Path;

use nom::bytes::complete::take;
use nom::combinator::all_consuming;
use nom::number::complete::{be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::PacketId;

use super::records;
use super::{DispatchState, Notice, Packet};

const FILE_NAME: &str = "journal";
const HEADER: &[u8] = b"sailcart journal 1\n";

/// One journal record. Every record of a packet carries the packet's number.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Accepted(Packet),
    DispatchState(PacketId, DispatchState),
    /// The packet completed without being delivered, and its notice is pending.
    PendingNotice(PacketId, Box<str>, Notice),
    /// The packet completed, and its notice, if any, was acknowledged.
    Completed(PacketId),
}

/// Reads the records of the folder's format 1 journal; `None` if the folder has no such file.
///
/// A torn write at the end of the file is ignored: its record never counted.
///
/// # Errors
/// [`io::ErrorKind::InvalidData`] if the file has another header; errors of the file system.
pub fn read(folder: &Path) -> io::Result<Option<Vec<Record>>> {
    let content = match fs::read(folder.join(FILE_NAME)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        other => other?,
    };
    if !HEADER.starts_with(&content) && !content.starts_with(HEADER) {
        let message =
            format!("{}: expected the header of a format 1 journal", folder.join(FILE_NAME).display());
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    let (mut records, mut rest) = (Vec::new(), content.strip_prefix(HEADER).unwrap_or_default());
    while let Ok((after, record)) = parse_frame(rest) {
        let Ok((_, record)) = all_consuming(decode).parse(record) else { break };
        records.push(record);
        rest = after;
    }
    if !rest.is_empty() {
        log::warn!(
            "journal: code=torn ignored {} bytes at the end, read {} records",
            rest.len(),
            records.len()
        );
    }
    Ok(Some(records))
}

/// Deletes the format 1 journal after its records have been migrated.
pub fn remove(folder: &Path) -> io::Result<()> {
    let _ = fs::remove_file(folder.join(FILE_NAME).with_extension("new"));
    fs::remove_file(folder.join(FILE_NAME))
}

/// Parses one frame: the record's length, its CRC-32, the record.
fn parse_frame(input: &[u8]) -> IResult<&[u8], &[u8]> {
    let (rest, (length, checksum)) = (be_u32, be_u32).parse(input)?;
    let (rest, record) = take(length)(rest)?;
    if crc32fast::hash(record) != checksum {
        return Err(nom::Err::Error(nom::error::Error::new(input, nom::error::ErrorKind::Verify)));
    }
    Ok((rest, record))
}

fn decode(input: &[u8]) -> IResult<&[u8], Record> {
    let (rest, (tag, number)) = (be_u8, be_u64.map(PacketId)).parse(input)?;
    match tag {
        1 => (|input| records::packet(number, input)).map(Record::Accepted).parse(rest),
        2 => records::dispatch_state.map(|state| Record::DispatchState(number, state)).parse(rest),
        3 => (records::string, records::notice)
            .map(|(id, notice)| Record::PendingNotice(number, id, notice))
            .parse(rest),
        _ => Ok((rest, Record::Completed(number))),
    }
}
