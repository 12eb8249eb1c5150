//! One file of the log: a head, then frames. The head tells how long the segment before it had become, so that a
//! cut at the end of a frame is seen too.

use crate::fault::Fault;
use crate::files::{Files, read_most};
use crate::frame::{self, Found};

/// The format that this code writes. 1 was the single file `journal`; 2 had the same files, and values of callers that knew the wall
/// clock alone. Both are read.
pub(crate) const VERSION: u32 = 3;
const MARK: &[u8; 4] = b"SCSL";
pub(crate) const HEAD: usize = 4 + 4 + 8 + 8 + 4;
/// Bytes read at once while a log is walked.
const CHUNK: usize = 64 * 1024;

/// The name of a segment's file.
pub(crate) fn name(number: u64) -> String {
    format!("segment-{number:016x}")
}

/// A segment's file as the folder lists it.
#[derive(Clone, Copy)]
pub(crate) struct Listed {
    pub number: u64,
    pub length: u64,
}

/// The segments among a folder's files, in order.
pub(crate) fn listed(there: &[(String, u64)]) -> Vec<Listed> {
    let mut segments: Vec<Listed> = there
        .iter()
        .filter_map(|(name, length)| Some(Listed { number: number(name)?, length: *length }))
        .collect();
    segments.sort_by_key(|segment| (segment.number, segment.length));
    segments
}

fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("segment-").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

/// A segment's head, with the length that the segment before it had become.
pub(crate) fn head(number: u64, before: u64) -> [u8; HEAD] {
    let mut head = [0u8; HEAD];
    head[..4].copy_from_slice(MARK);
    head[4..8].copy_from_slice(&VERSION.to_be_bytes());
    head[8..16].copy_from_slice(&number.to_be_bytes());
    head[16..24].copy_from_slice(&before.to_be_bytes());
    let sum = crc32fast::hash(&head[..24]);
    head[24..].copy_from_slice(&sum.to_be_bytes());
    head
}

/// Reads a head: how long the segment before it had become.
pub(crate) fn read_head(bytes: &[u8], number: u64) -> Result<u64, Fault> {
    let damaged = |offset, expected| Fault::Damaged { file: name(number), offset, expected };
    let bytes = bytes.get(..HEAD).ok_or_else(|| damaged(bytes.len() as u64, "a whole head"))?;
    let four = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if &bytes[..4] != MARK || four(24) != crc32fast::hash(&bytes[..24]) {
        return Err(damaged(0, "the head of a segment"));
    }
    if four(4) > VERSION {
        return Err(Fault::Newer { file: name(number), found: four(4), known: VERSION });
    }
    let eight = |at: usize| u64::from(four(at)) << 32 | u64::from(four(at + 4));
    if eight(8) != number { Err(damaged(8, "the number in the file's name")) } else { Ok(eight(16)) }
}

/// Walks a segment's frames with a buffer that holds little more than the largest of them.
pub(crate) struct Walk {
    /// Bytes read; of them, how many are used up.
    bytes: Vec<u8>,
    used: usize,
    /// Where in the file the used ones end.
    pub offset: u64,
    until: u64,
}

/// Where a walk has come.
pub(crate) enum Step {
    /// The frame that begins at this offset.
    Frame(u64),
    End,
    /// It cannot go on from `offset`.
    Stuck(Found),
}

impl Walk {
    pub fn new(from: u64, until: u64) -> Self {
        Walk { bytes: Vec::new(), used: 0, offset: from, until }
    }

    /// The next frame; its bytes stand in [`Walk::body`] until the one after it.
    pub fn next<F: Files>(&mut self, files: &mut F, file: &F::File) -> std::io::Result<Step> {
        loop {
            let left = &self.bytes[self.used..];
            let missing = match frame::look(left) {
                Found::Whole(length) => {
                    let at = self.offset;
                    self.used += length;
                    self.offset += length as u64;
                    return Ok(Step::Frame(at));
                }
                Found::Short => match frame::length(left) {
                    Ok(length) => frame::HEAD + length - left.len(),
                    Err(_) => frame::HEAD - left.len(),
                },
                damaged => return Ok(Step::Stuck(damaged)),
            };
            let next = self.offset + left.len() as u64;
            if next >= self.until {
                return Ok(if left.is_empty() { Step::End } else { Step::Stuck(Found::Short) });
            }
            self.bytes.drain(..self.used);
            self.used = 0;
            let (had, more) = (self.bytes.len(), missing.max(CHUNK).min((self.until - next) as usize));
            self.bytes.resize(had + more, 0);
            let read = read_most(files, file, next, &mut self.bytes[had..])?;
            self.bytes.truncate(had + read);
            if read == 0 {
                self.until = next; // shorter than it was listed
            }
        }
    }

    /// The body of the frame that was found last, which began at `at`.
    pub fn body(&self, at: u64) -> &[u8] {
        let length = (self.offset - at) as usize;
        &self.bytes[self.used - length + frame::HEAD..self.used]
    }
}

/// The next whole record from an offset on, where the chain of them is broken.
pub(crate) fn find<F: Files>(
    files: &mut F,
    file: &F::File,
    from: u64,
    until: u64,
) -> std::io::Result<Option<u64>> {
    let mut bytes = vec![0; until.saturating_sub(from) as usize];
    let read = read_most(files, file, from, &mut bytes)?;
    bytes.truncate(read);
    let mut marks = memchr::memmem::find_iter(&bytes, &frame::MARK);
    let found = marks.find(|at| matches!(frame::look(&bytes[*at..]), Found::Whole(_)));
    Ok(found.map(|at| from + at as u64))
}
