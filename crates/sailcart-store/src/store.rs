//! The store's interface: writing, reading and listing keys. The log, its recovery and its compaction are
//! implemented in the neighbouring modules.

use crate::compaction::Compaction;
use crate::error::StoreError;
use crate::files::Files;
use crate::frame::{self, Change, MAX_KEY_BYTES};
use crate::options::{StoreOptions, SyncPolicy};
use crate::recovery::{self, RecoverySummary};
use crate::segmented_log::SegmentedLog;

/// Counters since the store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Bytes written by callers, as frames.
    pub written_bytes: u64,
    /// Bytes written by compaction, as frames.
    pub compacted_bytes: u64,
    /// Segments that compaction made obsolete.
    pub segments_retired: u64,
    /// Writes that had to wait for compaction to free space.
    pub forced_compactions: u64,
}

/// A key-value store in one folder.
pub struct Store<F: Files> {
    log: SegmentedLog<F>,
    compaction: Compaction,
    /// Bytes written by callers.
    written_bytes: u64,
}

impl<F: Files> Store<F> {
    /// Opens a folder, which may be empty, and recovers its contents.
    ///
    /// # Errors
    /// - [`StoreError::InUse`] if another process has the folder open.
    /// - [`StoreError::Damaged`], [`StoreError::MissingFile`] and [`StoreError::NewerVersion`] if the
    ///   contents cannot be recovered; the folder is then unchanged.
    /// - [`StoreError::Io`] if a file operation fails.
    pub fn open(files: F, options: StoreOptions) -> Result<(Self, RecoverySummary), StoreError> {
        let recovered = recovery::open(files, options)?;
        let store = Store { log: recovered.log, compaction: Compaction::default(), written_bytes: 0 };
        Ok((store, recovered.summary))
    }

    /// Total size of the folder's files in bytes, each rounded up to blocks of 512 bytes.
    pub fn used_bytes(&self) -> u64 {
        self.log.used_bytes()
    }

    /// Bytes of the live data: all current values and the tombstones that will delete them.
    pub fn live_bytes(&self) -> u64 {
        self.log.live_bytes()
    }

    /// Bytes that a value uses of [`StoreOptions::max_live_bytes`], including the tombstone that will
    /// delete it.
    pub fn live_size(key: &[u8], value: &[u8]) -> u64 {
        (frame::frame_size(&[Change::Put(key, value)]) + frame::frame_size(&[Change::Delete(key)])) as u64
    }

    /// The options that the store was opened with.
    pub fn options(&self) -> StoreOptions {
        self.log.options
    }

    /// Number of keys that have a value.
    pub fn len(&self) -> usize {
        self.log.index.len()
    }

    /// Whether no key has a value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counters since the store was opened.
    pub fn stats(&self) -> StoreStats {
        StoreStats {
            written_bytes: self.written_bytes,
            compacted_bytes: self.compaction.compacted_bytes,
            segments_retired: self.compaction.segments_retired,
            forced_compactions: self.compaction.forced_compactions,
        }
    }

    /// Writes changes atomically. Deletions always fit, because space for the tombstones is reserved.
    ///
    /// # Errors
    /// - [`StoreError::Full`] and [`StoreError::TooLarge`] if the changes do not fit; none of them takes
    ///   effect.
    /// - [`StoreError::Io`] if the disk fails: none of the changes takes effect, and the next write may
    ///   succeed.
    /// - [`StoreError::SyncFailed`] if a sync fails: the changes may or may not have taken effect; if they
    ///   have, the next successful write or sync makes them durable.
    /// - [`StoreError::Damaged`] if compaction finds that the log has changed since it was read at the
    ///   start; none of the changes takes effect.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        self.check_sizes(changes)?;
        self.check_live_bytes(changes)?;
        self.log.prepare_write()?;
        self.compaction.rewrite_unsynced(&mut self.log).map_err(StoreError::into_not_written)?;
        let write_size = frame::frame_size(changes) as u64;
        self.compaction.ensure_free_space(&mut self.log, write_size)?;
        let location = self.log.append(changes)?;
        self.written_bytes += write_size;
        self.log.apply(changes.iter().copied(), location);
        match self.log.options.sync {
            SyncPolicy::EachWrite => self.log.sync()?,
            SyncPolicy::Interval(_) => self.log.needs_sync = true,
            SyncPolicy::None => {}
        }
        // The write has taken effect even if its compaction step fails. If compaction keeps failing, the
        // first write that finds no free space returns the error.
        if let Err(error) = self.compaction.step_after_write(&mut self.log, write_size) {
            log::warn!("store: code=compaction_put_off {error}");
        }
        Ok(())
    }

    /// Checks the keys and the whole write against their maximum sizes.
    fn check_sizes(&self, changes: &[Change]) -> Result<(), StoreError> {
        if changes.iter().any(|change| change.key().len() > MAX_KEY_BYTES) {
            return Err(StoreError::TooLarge { size: MAX_KEY_BYTES as u64 + 1, max: MAX_KEY_BYTES as u64 });
        }
        let write_size = frame::frame_size(changes) as u64;
        let max = self.log.options.max_write_bytes();
        if write_size > max {
            return Err(StoreError::TooLarge { size: write_size, max });
        }
        Ok(())
    }

    /// Checks that the live data after the changes, with its tombstones, does not exceed
    /// [`StoreOptions::max_live_bytes`].
    fn check_live_bytes(&self, changes: &[Change]) -> Result<(), StoreError> {
        let growth: i64 = changes.iter().map(|change| self.live_growth(change)).sum();
        let (live_bytes, max_live_bytes) = (self.live_bytes(), self.log.options.max_live_bytes());
        if growth > 0 && live_bytes + growth as u64 > max_live_bytes {
            return Err(StoreError::Full {
                needed: growth as u64,
                available: max_live_bytes.saturating_sub(live_bytes),
            });
        }
        Ok(())
    }

    /// Bytes that a change adds to the live data, with its tombstone; negative if it frees some.
    fn live_growth(&self, change: &Change) -> i64 {
        let old_size = self.log.index.value_size(change.key()) as i64;
        let tombstone_size = frame::frame_size(&[Change::Delete(change.key())]) as i64;
        match change {
            Change::Put(..) if old_size > 0 => frame::frame_size(&[*change]) as i64 - old_size,
            Change::Put(..) => frame::frame_size(&[*change]) as i64 + tombstone_size,
            Change::Delete(_) if old_size > 0 => -old_size - tombstone_size,
            Change::Delete(_) => 0,
        }
    }

    /// Makes everything written so far durable.
    ///
    /// # Errors
    /// [`StoreError::SyncFailed`] if a sync fails. The next call that writes or syncs then begins by
    /// rewriting, to new files, what was written since the last successful sync.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.compaction.rewrite_unsynced(&mut self.log)?;
        self.log.sync()
    }

    /// Whether written data awaits a [`Store::sync`].
    pub fn needs_sync(&self) -> bool {
        self.log.needs_sync
    }

    /// Reads the value of a key from the log and verifies it; `None` for an unknown key.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if the log has changed since it was read at the start, [`StoreError::Io`] if a
    /// file operation fails.
    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.log.get(key)
    }

    /// The keys from `from` (inclusive) to `until` (exclusive), in ascending order.
    pub fn keys<'a>(
        &'a self,
        from: &[u8],
        until: Option<&[u8]>,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, F> {
        self.log.index.range(from, until)
    }

    /// Runs one step of compaction, which reads about `max_read_bytes`. Returns whether a segment was
    /// retired.
    ///
    /// # Errors
    /// As for [`Store::write`]. Live data is in the log at every moment, at times in two copies.
    pub fn compact(&mut self, max_read_bytes: u64) -> Result<bool, StoreError> {
        self.compaction.step(&mut self.log, max_read_bytes)
    }
}
