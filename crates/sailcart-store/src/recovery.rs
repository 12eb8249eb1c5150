//! Recovery at start: reads the whole log, and either restores it completely or refuses to open it. Only what
//! a crash can cause is repaired: a torn write at the end of the last segment, a segment or a manifest whose
//! creation was interrupted, and files that the manifest no longer names.

use crate::error::StoreError;
use crate::files::{Files, read_available};
use crate::frame::{self, FrameCheck};
use crate::index::Location;
use crate::manifest;
use crate::options::{StoreOptions, SyncPolicy, round_up_to_blocks};
use crate::segment::{self, FrameReader, NextFrame, SEGMENT_HEADER_BYTES, SegmentFile};
use crate::segmented_log::{Segment, SegmentedLog};

/// What recovery found in a folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoverySummary {
    /// Number of keys that have a value.
    pub keys: usize,
    /// Number of segments.
    pub segments: usize,
    /// Bytes of all segments, each rounded up to blocks of 512 bytes.
    pub total_segment_bytes: u64,
    /// Number of frames read.
    pub frames: u64,
    /// Bytes of a torn write that are discarded. Its changes never took effect.
    pub torn_bytes: u64,
}

/// A log read from its folder, and a summary of it.
pub(crate) struct Recovered<F: Files> {
    pub log: SegmentedLog<F>,
    pub summary: RecoverySummary,
}

/// Locks a folder, reads its log and repairs what a crash can cause. If nothing can be written at the moment,
/// the log is read anyway, and the first write that succeeds repairs it.
pub(crate) fn open<F: Files>(files: F, options: StoreOptions) -> Result<Recovered<F>, StoreError> {
    let mut recovery = Recovery::new(files, options, true);
    let locked = recovery.log.lock();
    let listing = recovery.log.files.list().map_err(StoreError::io("listing", "the folder"))?;
    match locked {
        // Only a folder that no process has written to yet has no lock file.
        Err(error @ StoreError::Io { .. }) if segment::segment_files(&listing).is_empty() => {
            log_deferred_repair(&error)
        }
        other => other?,
    }
    let mut recovered = recovery.read()?;
    if let Err(error) = recovered.log.prepare_write() {
        log_deferred_repair(&error);
    }
    Ok(recovered)
}

fn log_deferred_repair(error: &StoreError) {
    log::warn!(
        "store: code=mended_later {error}; the folder cannot be written yet; the first write that succeeds repairs it"
    );
}

/// Reads a folder without changing it and calls `visit` with each key and its value.
///
/// # Errors
/// As for [`Store::open`](crate::Store::open), except that a folder without a store is
/// [`StoreError::MissingFile`].
pub fn check<F: Files>(files: F, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<RecoverySummary, StoreError> {
    let options = StoreOptions { capacity_bytes: u64::MAX / 2, sync: SyncPolicy::None };
    let Recovered { mut log, summary } = Recovery::new(files, options, false).read()?;
    let keys: Vec<Vec<u8>> = log.index.range(&[], None).map(<[u8]>::to_vec).collect();
    for key in keys {
        if let Some(value) = log.get(&key)? {
            visit(&key, &value);
        }
    }
    Ok(summary)
}

/// A log that is being read.
struct Recovery<F: Files> {
    log: SegmentedLog<F>,
    summary: RecoverySummary,
    /// Whether to repair what a crash can cause; otherwise the folder is not changed.
    repair: bool,
}

/// Position of a segment in the log.
#[derive(Clone, Copy)]
struct SegmentContext {
    /// Length of the preceding segment; `None` for the first one.
    previous_length: Option<u64>,
    is_last: bool,
}

impl<F: Files> Recovery<F> {
    fn new(files: F, options: StoreOptions, repair: bool) -> Self {
        Recovery { log: SegmentedLog::new(files, options), summary: RecoverySummary::default(), repair }
    }

    fn read(mut self) -> Result<Recovered<F>, StoreError> {
        let listing = self.log.files.list().map_err(StoreError::io("listing", "the folder"))?;
        let segment_files = segment::segment_files(&listing);
        match manifest::read(&mut self.log.files, &listing)? {
            None => self.prepare_new_log(&segment_files)?,
            Some(first_segment) => self.read_segments(first_segment, &segment_files)?,
        }
        self.summary.keys = self.log.index.len();
        self.summary.segments = self.log.segments.len();
        self.summary.total_segment_bytes =
            self.log.segments.values().map(|segment| round_up_to_blocks(segment.length)).sum();
        Ok(Recovered { log: self.log, summary: self.summary })
    }

    /// A folder without a manifest is new, or its first start was interrupted. In either case it holds no
    /// frames.
    fn prepare_new_log(&mut self, segment_files: &[SegmentFile]) -> Result<(), StoreError> {
        let is_new =
            segment_files.iter().all(|file| file.number == 1 && file.length <= SEGMENT_HEADER_BYTES as u64);
        if !is_new || !self.repair {
            return Err(StoreError::MissingFile { file: manifest::FILE_NAME.to_owned() });
        }
        self.log.orphaned_segment = segment_files.first().map(|file| file.number);
        Ok(())
    }

    /// Reads all segments from the first one in use. Earlier ones are obsolete and are removed.
    fn read_segments(&mut self, first_segment: u64, segment_files: &[SegmentFile]) -> Result<(), StoreError> {
        let (obsolete, current): (Vec<SegmentFile>, Vec<SegmentFile>) =
            segment_files.iter().partition(|file| file.number < first_segment);
        if self.repair {
            self.log.obsolete_segments.extend(obsolete.iter().map(|file| file.number));
            self.log.remove_obsolete_segments();
        }
        check_complete(first_segment, &current)?;
        let mut previous_length = None;
        for (position, file) in current.iter().enumerate() {
            let is_last = position + 1 == current.len();
            previous_length = self.read_segment(*file, SegmentContext { previous_length, is_last })?;
        }
        Ok(())
    }

    /// Reads one segment into the index. Returns its length, which the next segment's header must confirm.
    fn read_segment(
        &mut self,
        segment_file: SegmentFile,
        context: SegmentContext,
    ) -> Result<Option<u64>, StoreError> {
        let number = segment_file.number;
        let name = segment::file_name(number);
        let file = self.log.files.open(&name).map_err(StoreError::io("opening", &name))?;
        let mut header = [0u8; SEGMENT_HEADER_BYTES];
        let read = read_available(&mut self.log.files, &file, 0, &mut header);
        let header = &header[..read.map_err(StoreError::io("reading", &name))?];
        if self.is_torn_header(header, number, context) {
            // The file holds no frames yet. It is removed before the preceding segment is written to.
            self.summary.torn_bytes += segment_file.length;
            self.log.orphaned_segment = Some(number);
            return Ok(context.previous_length);
        }
        let recorded_length = segment::decode_header(header, number)?;
        if context.previous_length.is_some_and(|previous_length| previous_length != recorded_length) {
            let file = segment::file_name(number - 1);
            let expected = "the length recorded in the next segment";
            return Err(StoreError::Damaged { file, offset: context.previous_length.unwrap_or(0), expected });
        }
        self.read_frames(file, segment_file, context).map(Some)
    }

    /// Whether a new segment was interrupted while its header was written; the preceding segment is then
    /// complete.
    fn is_torn_header(&self, header: &[u8], number: u64, context: SegmentContext) -> bool {
        let is_short = header.len() < SEGMENT_HEADER_BYTES;
        let is_unreadable = self.log.options.is_durable() && segment::decode_header(header, number).is_err();
        context.is_last && context.previous_length.is_some() && (is_short || is_unreadable)
    }

    /// Reads a segment's frames into the index, up to its end or a torn write, and returns the offset at
    /// which reading stopped.
    fn read_frames(
        &mut self,
        file: F::File,
        segment_file: SegmentFile,
        context: SegmentContext,
    ) -> Result<u64, StoreError> {
        let name = segment::file_name(segment_file.number);
        let mut reader = FrameReader::new(SEGMENT_HEADER_BYTES as u64, segment_file.length);
        loop {
            match reader.next(&mut self.log.files, &file).map_err(StoreError::io("reading", &name))? {
                NextFrame::Frame(frame_offset) => self.apply(&reader, segment_file.number, frame_offset),
                NextFrame::End => break,
                NextFrame::Unreadable(failure) => {
                    self.check_torn_tail(&file, segment_file, reader.offset, &failure, context.is_last)?;
                    self.summary.torn_bytes += segment_file.length - reader.offset;
                    self.log.has_torn_tail = true;
                    break;
                }
            }
        }
        self.log.segments.insert(segment_file.number, Segment { file, length: reader.offset });
        Ok(reader.offset)
    }

    /// Applies the frame that the reader read last to the index.
    fn apply(&mut self, reader: &FrameReader, number: u64, frame_offset: u64) {
        let location = Location {
            segment: number,
            offset: frame_offset,
            length: (reader.offset - frame_offset) as u32,
            change_index: 0,
        };
        self.log.apply(frame::decode_changes(reader.body(frame_offset)).flatten(), location);
        self.summary.frames += 1;
    }

    /// Returns an error unless the unreadable bytes at this offset are a torn write at the end of the log.
    fn check_torn_tail(
        &mut self,
        file: &F::File,
        segment_file: SegmentFile,
        frame_offset: u64,
        failure: &FrameCheck,
        is_last: bool,
    ) -> Result<(), StoreError> {
        let name = segment::file_name(segment_file.number);
        let expected = match failure {
            FrameCheck::Damaged(expected) => expected,
            _ => "a complete frame",
        };
        let damaged = StoreError::Damaged { file: name.clone(), offset: frame_offset, expected };
        // Writes are in order, so a killed process leaves a short frame, never a changed one. A power loss
        // may leave a changed one.
        if !is_last || (!self.log.options.is_durable() && *failure != FrameCheck::Incomplete) {
            return Err(damaged);
        }
        let next_frame =
            segment::find_next_frame(&mut self.log.files, file, frame_offset + 1, segment_file.length);
        match next_frame.map_err(StoreError::io("reading", &name))? {
            // A complete frame follows, so this was not the end of the log.
            Some(_) => Err(damaged),
            None => Ok(()),
        }
    }
}

/// Checks that the segments are numbered without a gap from the first one in use, and that there is at least
/// one.
fn check_complete(first_segment: u64, segment_files: &[SegmentFile]) -> Result<(), StoreError> {
    for (expected, file) in (first_segment..).zip(segment_files) {
        if file.number != expected {
            return Err(StoreError::MissingFile { file: segment::file_name(expected) });
        }
    }
    if segment_files.is_empty() {
        return Err(StoreError::MissingFile { file: segment::file_name(first_segment) });
    }
    Ok(())
}
