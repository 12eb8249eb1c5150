//! A frame: several changes that count together or not at all.
//!
//! ```text
//! mark 2 | length of the body 4 | checksum of these six bytes 2 | checksum of the body 4 | body
//! body: changes, each: kind 1 (put, end) | key: varint length, bytes | with put, value: varint length, bytes
//! ```
//!
//! The head has a checksum of its own: without it a changed length would look like the torn end of a file.

use integer_encoding::VarInt;

/// Bytes of a key at most.
pub const MOST_KEY: usize = 1024;
pub(crate) const HEAD: usize = 12;
pub(crate) const MARK: [u8; 2] = [0xa7, 0x5c];
/// Bytes of a body at most, whatever the room.
pub(crate) const MOST_BODY: usize = 256 * 1024 * 1024;

const PUT: u8 = 1;
const END: u8 = 2;

/// What a write changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// The key stands for this value from now on.
    Put(&'a [u8], &'a [u8]),
    /// The key stands for nothing any more.
    End(&'a [u8]),
}

impl<'a> Change<'a> {
    /// The key that it changes.
    pub fn key(&self) -> &'a [u8] {
        match self {
            Change::Put(key, _) | Change::End(key) => key,
        }
    }

    fn size(&self) -> usize {
        let with = |bytes: &[u8]| bytes.len().required_space() + bytes.len();
        match self {
            Change::Put(key, value) => 1 + with(key) + with(value),
            Change::End(key) => 1 + with(key),
        }
    }
}

/// Bytes that changes take as one frame.
pub(crate) fn size(changes: &[Change]) -> usize {
    HEAD + changes.iter().map(Change::size).sum::<usize>()
}

pub(crate) fn write(changes: &[Change], into: &mut Vec<u8>) {
    let start = into.len();
    into.resize(start + HEAD, 0);
    for change in changes {
        match change {
            Change::Put(key, value) => {
                into.push(PUT);
                bytes(into, key);
                bytes(into, value);
            }
            Change::End(key) => {
                into.push(END);
                bytes(into, key);
            }
        }
    }
    let body = &into[start + HEAD..];
    let (length, sum) = ((body.len() as u32).to_be_bytes(), crc32fast::hash(body).to_be_bytes());
    let head = &mut into[start..start + HEAD];
    head[..2].copy_from_slice(&MARK);
    head[2..6].copy_from_slice(&length);
    let own = head_sum(&head[..6]);
    head[6..8].copy_from_slice(&own);
    head[8..].copy_from_slice(&sum);
}

fn bytes(into: &mut Vec<u8>, bytes: &[u8]) {
    let mut length = [0u8; 10];
    let used = bytes.len().encode_var(&mut length);
    into.extend_from_slice(&length[..used]);
    into.extend_from_slice(bytes);
}

fn head_sum(six: &[u8]) -> [u8; 2] {
    let sum = crc32fast::hash(six).to_be_bytes();
    [sum[0] ^ sum[2], sum[1] ^ sum[3]]
}

/// What stands at a place of a log.
#[derive(Debug, PartialEq)]
pub(crate) enum Found {
    /// A whole frame of so many bytes, head included.
    Whole(usize),
    /// The bytes end within it: what a crash leaves.
    Short,
    /// No crash of a process leaves this.
    Damaged(&'static str),
}

/// Looks at the frame that begins `bytes`, of which there may be more than one.
pub(crate) fn look(bytes: &[u8]) -> Found {
    match length(bytes) {
        Err(found) => found,
        Ok(length) if bytes.len() < HEAD + length => Found::Short,
        Ok(length) => {
            let (sum, body) = (&bytes[8..HEAD], &bytes[HEAD..HEAD + length]);
            if crc32fast::hash(body).to_be_bytes() != sum {
                return Found::Damaged("a record that matches its checksum");
            }
            match changes(body).all(|change| change.is_some()) {
                true => Found::Whole(HEAD + length),
                false => Found::Damaged("a record that can be read"),
            }
        }
    }
}

/// Length of the body that a head tells.
pub(crate) fn length(bytes: &[u8]) -> Result<usize, Found> {
    let Some(head) = bytes.get(..HEAD) else { return Err(Found::Short) };
    if head[..2] != MARK || head_sum(&head[..6]) != head[6..8] {
        return Err(Found::Damaged("the head of a record"));
    }
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    if length > MOST_BODY { Err(Found::Damaged("a record of a length that is written")) } else { Ok(length) }
}

/// The changes of a body; `None` for what cannot be read, and nothing after it.
pub(crate) fn changes(mut body: &[u8]) -> impl Iterator<Item = Option<Change<'_>>> {
    std::iter::from_fn(move || {
        if body.is_empty() {
            return None;
        }
        let read = change(body);
        body = read.map_or(&[], |(_, rest)| rest);
        Some(read.map(|(change, _)| change))
    })
}

fn change(body: &[u8]) -> Option<(Change<'_>, &[u8])> {
    let (kind, rest) = body.split_first()?;
    let (key, rest) = taken(rest)?;
    match *kind {
        PUT => {
            let (value, rest) = taken(rest)?;
            Some((Change::Put(key, value), rest))
        }
        END => Some((Change::End(key), rest)),
        _ => None,
    }
}

fn taken(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, used) = u64::decode_var(bytes)?;
    bytes[used..].split_at_checked(usize::try_from(length).ok()?)
}
