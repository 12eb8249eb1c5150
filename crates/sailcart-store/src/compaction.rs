//! Incremental compaction. The log is written at its new end and compacted at its old end: the live data of
//! the oldest segment is appended again, then the manifest names the next segment as the first one, then the
//! old file is removed. As no older segment exists, a tombstone in the oldest one hides nothing and is
//! dropped with it.

use crate::error::StoreError;
use crate::files::Files;
use crate::frame::{self, Change};
use crate::index::Location;
use crate::manifest;
use crate::options::{BLOCK_BYTES, SEGMENTS_PER_STORE};
use crate::segment::{self, FrameReader, NextFrame, SEGMENT_HEADER_BYTES};
use crate::segmented_log::SegmentedLog;

/// Minimum number of bytes that a write spends on compaction when it is due.
const MIN_STEP_BYTES: u64 = 4096;
/// Number of consecutive passes over the log that free no space, after which a write fails because the store
/// is full.
const MAX_IDLE_PASSES: u64 = 4;
/// Target of this module's log lines. It differs from the module path because operators filter by it.
const LOG_TARGET: &str = "sailcart_store::store";

/// Progress in the oldest segment, and counters since the store was opened.
#[derive(Default)]
pub(crate) struct Compaction {
    /// Reader at the position in the oldest segment where the next step continues; `None` for its beginning.
    reader: Option<FrameReader>,
    /// Bytes written by compaction.
    pub compacted_bytes: u64,
    /// Segments that compaction made obsolete.
    pub segments_retired: u64,
    /// Writes that had to wait for compaction to free space.
    pub forced_compactions: u64,
}

impl Compaction {
    /// If enough of the log is dead, runs a step in proportion to the size of the write just done.
    pub fn step_after_write<F: Files>(
        &mut self,
        log: &mut SegmentedLog<F>,
        write_size: u64,
    ) -> Result<(), StoreError> {
        let used_bytes = log.used_bytes();
        if !is_worthwhile(log, used_bytes) {
            return Ok(());
        }
        // Each byte read frees dead/used bytes on average, which falls as more of the log is live. Reading
        // twice as much as would free `write_size` keeps compaction ahead of the writes.
        let dead_bytes = used_bytes.saturating_sub(log.live_bytes()).max(1);
        let step_bytes =
            (write_size.saturating_mul(2).saturating_mul(used_bytes) / dead_bytes).max(MIN_STEP_BYTES);
        self.step(log, step_bytes).map(|_| ())
    }

    /// Compacts until a write of this size fits within the capacity of the folder.
    pub fn ensure_free_space<F: Files>(
        &mut self,
        log: &mut SegmentedLog<F>,
        write_size: u64,
    ) -> Result<(), StoreError> {
        // Compaction itself may need a new segment for the live data of the oldest one, and a manifest.
        let overhead = log.options.segment_bytes() + BLOCK_BYTES * 4;
        if log.used_bytes() + write_size + overhead > log.options.capacity_bytes {
            self.forced_compactions += 1;
        }
        let (mut lowest_used_bytes, mut idle_steps) = (log.used_bytes(), 0);
        while log.used_bytes() + write_size + overhead > log.options.capacity_bytes {
            self.step(log, log.options.segment_bytes())?;
            idle_steps = if log.used_bytes() < lowest_used_bytes { 0 } else { idle_steps + 1 };
            lowest_used_bytes = lowest_used_bytes.min(log.used_bytes());
            if idle_steps > MAX_IDLE_PASSES * SEGMENTS_PER_STORE {
                let available = log.options.capacity_bytes.saturating_sub(log.used_bytes() + overhead);
                return Err(StoreError::Full { needed: write_size, available });
            }
        }
        Ok(())
    }

    /// After a failed sync, writes the live data of the unsynced segments again, from the oldest segment on,
    /// and retires those segments. Nothing is confirmed as durable before this has succeeded.
    pub fn rewrite_unsynced<F: Files>(&mut self, log: &mut SegmentedLog<F>) -> Result<(), StoreError> {
        let Some(last_unsynced) = log.last_unsynced_segment() else { return Ok(()) };
        log.leave_unsynced_segment()?;
        while log.oldest_segment().is_some_and(|oldest| oldest.number <= last_unsynced) {
            self.step(log, log.options.segment_bytes())?;
        }
        log.sync()?;
        log.clear_unsynced_segment();
        Ok(())
    }

    /// Runs one step, which reads about `max_read_bytes`. Returns whether a segment was retired.
    pub fn step<F: Files>(
        &mut self,
        log: &mut SegmentedLog<F>,
        max_read_bytes: u64,
    ) -> Result<bool, StoreError> {
        let Some(oldest) = log.oldest_segment() else { return Ok(false) };
        if log.segments.len() == 1 {
            if oldest.length == SEGMENT_HEADER_BYTES as u64 {
                return Ok(false);
            }
            log.roll()?;
        }
        let mut reader = self
            .reader
            .take()
            .unwrap_or_else(|| FrameReader::new(SEGMENT_HEADER_BYTES as u64, oldest.length));
        let step_end = reader.offset + max_read_bytes;
        while reader.offset < step_end {
            let Some(segment) = log.segments.get(&oldest.number) else { break };
            let name = segment::file_name(oldest.number);
            let next =
                reader.next(&mut log.files, &segment.file).map_err(StoreError::io("reading", &name))?;
            match next {
                NextFrame::Frame(frame_offset) => {
                    if let Err(error) = self.copy_live_values(log, oldest.number, frame_offset, &reader) {
                        // The next step reads this frame again.
                        self.reader = Some(FrameReader::new(frame_offset, oldest.length));
                        return Err(error);
                    }
                }
                NextFrame::End => return self.retire(log, oldest.number).map(|()| true),
                NextFrame::Unreadable(_) => {
                    let expected = "the frame that was read at the start";
                    return Err(StoreError::Damaged { file: name, offset: reader.offset, expected });
                }
            }
        }
        self.reader = Some(reader);
        Ok(false)
    }

    /// Appends the values of a frame that are still live to the end of the log.
    fn copy_live_values<F: Files>(
        &mut self,
        log: &mut SegmentedLog<F>,
        number: u64,
        frame_offset: u64,
        reader: &FrameReader,
    ) -> Result<(), StoreError> {
        for (change_index, change) in frame::decode_changes(reader.body(frame_offset)).flatten().enumerate() {
            let Change::Put(key, _) = change else { continue };
            let is_this_change = |location: &Location| {
                location.segment == number
                    && location.offset == frame_offset
                    && location.change_index == change_index as u32
            };
            if log.index.get(key).as_ref().is_some_and(is_this_change) {
                let location = log.append(&[change])?;
                log.index.relocate(key, location);
                log.needs_sync |= log.options.is_durable();
                self.compacted_bytes += u64::from(location.length);
            }
        }
        Ok(())
    }

    /// Removes the oldest segment, which no longer holds live data, from the manifest and deletes its file.
    fn retire<F: Files>(&mut self, log: &mut SegmentedLog<F>, oldest: u64) -> Result<(), StoreError> {
        let durable = log.options.is_durable();
        if durable {
            log.sync()?;
        }
        manifest::write(&mut log.files, oldest + 1, durable)?;
        log.retire(oldest);
        self.segments_retired += 1;
        if log.obsolete_segments.contains(&oldest) {
            log::warn!(target: LOG_TARGET, "store: code=not_removed {}", segment::file_name(oldest));
        }
        Ok(())
    }
}

/// Whether compaction is due: more than half of the capacity is used, or the log exceeds four times its live
/// data by more than four segments.
fn is_worthwhile<F: Files>(log: &SegmentedLog<F>, used_bytes: u64) -> bool {
    used_bytes > log.options.capacity_bytes / 2
        || used_bytes > log.live_bytes() * 4 + log.options.segment_bytes() * 4
}
