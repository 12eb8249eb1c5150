//! Segments, the files of the log: a header, then frames. The header records the final length of the
//! preceding segment, so that a truncation at a frame boundary is detected too.

use crate::error::StoreError;
use crate::files::{Files, read_available};
use crate::frame::{self, FrameCheck};

/// The format version that this code writes. Version 1 was the single file `journal`. Version 2 had the same
/// files as version 3, but its callers' values held wall-clock times only. Both can still be read.
pub(crate) const FORMAT_VERSION: u32 = 3;
const MAGIC: &[u8; 4] = b"SCSL";
pub(crate) const SEGMENT_HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4;
/// Minimum number of bytes read at once while scanning a segment, unless the segment ends earlier.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// The file name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("segment-{number:016x}")
}

/// A segment file in the listing of the folder.
#[derive(Clone, Copy)]
pub(crate) struct SegmentFile {
    pub number: u64,
    pub length: u64,
}

/// The segments among the files of a folder, sorted by number.
pub(crate) fn segment_files(listing: &[(String, u64)]) -> Vec<SegmentFile> {
    let mut segments: Vec<SegmentFile> = listing
        .iter()
        .filter_map(|(name, length)| Some(SegmentFile { number: parse_file_name(name)?, length: *length }))
        .collect();
    segments.sort_by_key(|segment| (segment.number, segment.length));
    segments
}

fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("segment-").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Encodes a segment's header, which records the final length of the preceding segment.
pub(crate) fn encode_header(number: u64, previous_length: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0u8; SEGMENT_HEADER_BYTES];
    header[..4].copy_from_slice(MAGIC);
    header[4..8].copy_from_slice(&FORMAT_VERSION.to_be_bytes());
    header[8..16].copy_from_slice(&number.to_be_bytes());
    header[16..24].copy_from_slice(&previous_length.to_be_bytes());
    let checksum = crc32fast::hash(&header[..24]);
    header[24..].copy_from_slice(&checksum.to_be_bytes());
    header
}

/// Decodes a segment's header and returns the final length of the preceding segment.
pub(crate) fn decode_header(bytes: &[u8], number: u64) -> Result<u64, StoreError> {
    let damaged = |offset, expected| StoreError::Damaged { file: file_name(number), offset, expected };
    let bytes =
        bytes.get(..SEGMENT_HEADER_BYTES).ok_or_else(|| damaged(bytes.len() as u64, "a complete header"))?;
    let u32_at = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if &bytes[..4] != MAGIC || u32_at(24) != crc32fast::hash(&bytes[..24]) {
        return Err(damaged(0, "a segment header"));
    }
    if u32_at(4) > FORMAT_VERSION {
        return Err(StoreError::NewerVersion {
            file: file_name(number),
            found: u32_at(4),
            supported: FORMAT_VERSION,
        });
    }
    let u64_at = |at: usize| u64::from(u32_at(at)) << 32 | u64::from(u32_at(at + 4));
    if u64_at(8) != number { Err(damaged(8, "the segment number of the file name")) } else { Ok(u64_at(16)) }
}

/// Reads the frames of a segment one by one. Its buffer is little larger than the largest frame.
pub(crate) struct FrameReader {
    /// Bytes read from the file and not yet discarded.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that belong to frames already returned.
    consumed: usize,
    /// Offset in the file at which the returned frames end.
    pub offset: u64,
    /// Offset in the file at which reading stops.
    end: u64,
}

/// Result of reading the next frame.
pub(crate) enum NextFrame {
    /// A valid frame, which begins at this offset.
    Frame(u64),
    /// The end of the segment, at a frame boundary.
    End,
    /// No valid frame at the reader's `offset`; the reader cannot continue.
    Unreadable(FrameCheck),
}

impl FrameReader {
    /// Reads the frames between two offsets in the file.
    pub fn new(start: u64, end: u64) -> Self {
        FrameReader { buffer: Vec::new(), consumed: 0, offset: start, end }
    }

    /// Reads the next frame. [`FrameReader::body`] returns its body until the next call.
    pub fn next<F: Files>(&mut self, files: &mut F, file: &F::File) -> std::io::Result<NextFrame> {
        loop {
            let unconsumed = &self.buffer[self.consumed..];
            let missing = match frame::check(unconsumed) {
                FrameCheck::Complete(length) => {
                    let frame_offset = self.offset;
                    self.consumed += length;
                    self.offset += length as u64;
                    return Ok(NextFrame::Frame(frame_offset));
                }
                FrameCheck::Incomplete => match frame::body_length(unconsumed) {
                    Ok(length) => frame::HEADER_BYTES + length - unconsumed.len(),
                    Err(_) => frame::HEADER_BYTES - unconsumed.len(),
                },
                damaged => return Ok(NextFrame::Unreadable(damaged)),
            };
            let read_offset = self.offset + unconsumed.len() as u64;
            if read_offset >= self.end {
                return Ok(if unconsumed.is_empty() {
                    NextFrame::End
                } else {
                    NextFrame::Unreadable(FrameCheck::Incomplete)
                });
            }
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
            let (buffered, wanted) =
                (self.buffer.len(), missing.max(READ_CHUNK_BYTES).min((self.end - read_offset) as usize));
            self.buffer.resize(buffered + wanted, 0);
            let read = read_available(files, file, read_offset, &mut self.buffer[buffered..])?;
            self.buffer.truncate(buffered + read);
            if read == 0 {
                self.end = read_offset; // the file is shorter than in the listing
            }
        }
    }

    /// The body of the frame read last, which begins at `frame_offset`.
    pub fn body(&self, frame_offset: u64) -> &[u8] {
        let length = (self.offset - frame_offset) as usize;
        &self.buffer[self.consumed - length + frame::HEADER_BYTES..self.consumed]
    }
}

/// Searches for the next complete frame from an offset on, skipping bytes that are not a valid frame. Returns
/// its offset.
pub(crate) fn find_next_frame<F: Files>(
    files: &mut F,
    file: &F::File,
    start: u64,
    end: u64,
) -> std::io::Result<Option<u64>> {
    let mut bytes = vec![0; end.saturating_sub(start) as usize];
    let read = read_available(files, file, start, &mut bytes)?;
    bytes.truncate(read);
    let mut candidates = memchr::memmem::find_iter(&bytes, &frame::MAGIC);
    let found = candidates.find(|at| matches!(frame::check(&bytes[*at..]), FrameCheck::Complete(_)));
    Ok(found.map(|at| start + at as u64))
}
