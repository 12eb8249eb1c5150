//! Frames, the unit of writing: several changes that take effect together or not at all.
//!
//! ```text
//! magic 2 | length of the body 4 | checksum of these six bytes 2 | checksum of the body 4 | body
//! body: changes: kind 1 (put, delete) | key: varint length, bytes | with put, value: varint length, bytes
//! ```
//!
//! The header has a checksum of its own: without it, a changed length would look like a torn write at the end
//! of a file.

use integer_encoding::VarInt;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 1024;
pub(crate) const HEADER_BYTES: usize = 12;
pub(crate) const MAGIC: [u8; 2] = [0xa7, 0x5c];
/// Maximum length of a frame's body, whatever the capacity of the store.
pub(crate) const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

const KIND_PUT: u8 = 1;
const KIND_DELETE: u8 = 2;

/// A change of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// Sets the value of a key: (key, value).
    Put(&'a [u8], &'a [u8]),
    /// Deletes a key; the stored change is its tombstone.
    Delete(&'a [u8]),
}

impl<'a> Change<'a> {
    /// The key that is changed.
    pub fn key(&self) -> &'a [u8] {
        match self {
            Change::Put(key, _) | Change::Delete(key) => key,
        }
    }

    fn encoded_size(&self) -> usize {
        let prefixed_size = |bytes: &[u8]| bytes.len().required_space() + bytes.len();
        match self {
            Change::Put(key, value) => 1 + prefixed_size(key) + prefixed_size(value),
            Change::Delete(key) => 1 + prefixed_size(key),
        }
    }
}

/// Bytes of the changes encoded as one frame.
pub(crate) fn frame_size(changes: &[Change]) -> usize {
    HEADER_BYTES + changes.iter().map(Change::encoded_size).sum::<usize>()
}

/// Appends the changes to the buffer as one frame.
pub(crate) fn encode(changes: &[Change], buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.resize(start + HEADER_BYTES, 0);
    for change in changes {
        match change {
            Change::Put(key, value) => {
                buffer.push(KIND_PUT);
                push_prefixed(buffer, key);
                push_prefixed(buffer, value);
            }
            Change::Delete(key) => {
                buffer.push(KIND_DELETE);
                push_prefixed(buffer, key);
            }
        }
    }
    let body = &buffer[start + HEADER_BYTES..];
    let (length, body_checksum) = ((body.len() as u32).to_be_bytes(), crc32fast::hash(body).to_be_bytes());
    let header = &mut buffer[start..start + HEADER_BYTES];
    header[..2].copy_from_slice(&MAGIC);
    header[2..6].copy_from_slice(&length);
    let header_checksum = header_checksum(&header[..6]);
    header[6..8].copy_from_slice(&header_checksum);
    header[8..].copy_from_slice(&body_checksum);
}

/// Appends the length of the bytes as a varint, then the bytes.
fn push_prefixed(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let mut prefix = [0u8; 10];
    let prefix_length = bytes.len().encode_var(&mut prefix);
    buffer.extend_from_slice(&prefix[..prefix_length]);
    buffer.extend_from_slice(bytes);
}

/// Checksum of the first six bytes of a header: their CRC-32, folded to 16 bits.
fn header_checksum(bytes: &[u8]) -> [u8; 2] {
    let crc = crc32fast::hash(bytes).to_be_bytes();
    [crc[0] ^ crc[2], crc[1] ^ crc[3]]
}

/// Result of checking the bytes at a position of the log.
#[derive(Debug, PartialEq)]
pub(crate) enum FrameCheck {
    /// A complete, valid frame of this many bytes, header included.
    Complete(usize),
    /// The bytes end within the frame, as after a crash.
    Incomplete,
    /// The frame is invalid in a way that a crash of the process cannot cause. Contains a description of what
    /// was expected.
    Damaged(&'static str),
}

/// Checks the frame at the start of `bytes`; more bytes may follow it.
pub(crate) fn check(bytes: &[u8]) -> FrameCheck {
    match body_length(bytes) {
        Err(failure) => failure,
        Ok(length) if bytes.len() < HEADER_BYTES + length => FrameCheck::Incomplete,
        Ok(length) => {
            let (checksum, body) = (&bytes[8..HEADER_BYTES], &bytes[HEADER_BYTES..HEADER_BYTES + length]);
            if crc32fast::hash(body).to_be_bytes() != checksum {
                return FrameCheck::Damaged("a frame that matches its checksum");
            }
            match decode_changes(body).all(|change| change.is_some()) {
                true => FrameCheck::Complete(HEADER_BYTES + length),
                false => FrameCheck::Damaged("a frame of decodable changes"),
            }
        }
    }
}

/// Length of the body in bytes according to the frame's header.
pub(crate) fn body_length(bytes: &[u8]) -> Result<usize, FrameCheck> {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return Err(FrameCheck::Incomplete) };
    if header[..2] != MAGIC || header_checksum(&header[..6]) != header[6..8] {
        return Err(FrameCheck::Damaged("a frame header"));
    }
    let length = u32::from_be_bytes([header[2], header[3], header[4], header[5]]) as usize;
    if length > MAX_BODY_BYTES {
        Err(FrameCheck::Damaged("a frame body of at most 256 MiB"))
    } else {
        Ok(length)
    }
}

/// The changes in a frame's body. A change that cannot be decoded yields `None` and ends the iteration.
pub(crate) fn decode_changes(mut body: &[u8]) -> impl Iterator<Item = Option<Change<'_>>> {
    std::iter::from_fn(move || {
        if body.is_empty() {
            return None;
        }
        let decoded = decode_change(body);
        body = decoded.map_or(&[], |(_, rest)| rest);
        Some(decoded.map(|(change, _)| change))
    })
}

/// Decodes the first change of a body and returns it with the rest of the body.
fn decode_change(body: &[u8]) -> Option<(Change<'_>, &[u8])> {
    let (kind, rest) = body.split_first()?;
    let (key, rest) = split_prefixed(rest)?;
    match *kind {
        KIND_PUT => {
            let (value, rest) = split_prefixed(rest)?;
            Some((Change::Put(key, value), rest))
        }
        KIND_DELETE => Some((Change::Delete(key), rest)),
        _ => None,
    }
}

/// Splits off bytes that follow their length as a varint.
fn split_prefixed(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, prefix_length) = u64::decode_var(bytes)?;
    bytes[prefix_length..].split_at_checked(usize::try_from(length).ok()?)
}
