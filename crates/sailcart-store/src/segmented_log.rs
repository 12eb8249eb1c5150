//! The append-only log, split into segments, with the index of its live values: appending, syncing and
//! reading.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;

use crate::error::StoreError;
use crate::files::{Files, append_all, read_available};
use crate::frame::{self, Change, FrameCheck};
use crate::index::{Index, Location};
use crate::manifest;
use crate::options::{BLOCK_BYTES, StoreOptions, round_up_to_blocks};
use crate::segment::{self, SEGMENT_HEADER_BYTES};

/// Number of the first segment in a new folder.
const FIRST_SEGMENT: u64 = 1;

/// An open segment file of the log.
pub(crate) struct Segment<File> {
    pub file: File,
    /// Length in bytes, without the bytes of a torn write.
    pub length: u64,
}

/// Number and length in bytes of a segment.
#[derive(Clone, Copy)]
pub(crate) struct SegmentExtent {
    pub number: u64,
    pub length: u64,
}

/// All segments of a folder. Only the last one is appended to.
pub(crate) struct SegmentedLog<F: Files> {
    pub files: F,
    pub options: StoreOptions,
    /// Segments by number.
    pub segments: BTreeMap<u64, Segment<F::File>>,
    pub index: Index,
    /// Whether written data awaits a sync.
    pub needs_sync: bool,
    /// Whether bytes of a torn write may follow the recorded length of the last segment.
    pub has_torn_tail: bool,
    /// Number of the next segment, if an orphaned file of that number may exist.
    pub orphaned_segment: Option<u64>,
    /// Segments that are no longer in use, but whose files could not be removed yet.
    pub obsolete_segments: BTreeSet<u64>,
    /// Number of the last segment at the time of a failed sync: its data and that of earlier segments may
    /// never reach the disk.
    last_unsynced_segment: Option<u64>,
    /// Whether the folder is locked against other processes.
    is_locked: bool,
    write_buffer: Vec<u8>,
}

impl<F: Files> SegmentedLog<F> {
    /// A log without segments, for recovery to fill.
    pub fn new(files: F, options: StoreOptions) -> Self {
        SegmentedLog {
            files,
            options,
            segments: BTreeMap::new(),
            index: Index::default(),
            needs_sync: false,
            has_torn_tail: false,
            orphaned_segment: None,
            obsolete_segments: BTreeSet::new(),
            last_unsynced_segment: None,
            is_locked: false,
            write_buffer: Vec::new(),
        }
    }

    /// Total size of the folder's files in bytes, each rounded up to blocks.
    pub fn used_bytes(&self) -> u64 {
        let segments: u64 = self.segments.values().map(|segment| round_up_to_blocks(segment.length)).sum();
        segments + BLOCK_BYTES + self.obsolete_segments.len() as u64 * self.options.segment_bytes()
    }

    /// Bytes of all current values and of the tombstones that will delete them.
    pub fn live_bytes(&self) -> u64 {
        self.index.value_bytes() + self.index.tombstone_bytes()
    }

    /// Locks the folder against other processes. If nothing can be written to a new folder, the first write
    /// locks it instead.
    ///
    /// # Errors
    /// [`StoreError::InUse`] if another process holds the lock.
    pub fn lock(&mut self) -> Result<(), StoreError> {
        match self.files.lock() {
            Ok(()) => {
                self.is_locked = true;
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(StoreError::InUse),
            Err(error) => Err(StoreError::io("locking", "lock")(error)),
        }
    }

    /// In a new folder, creates the first segment and the manifest that names it.
    pub fn create_if_new(&mut self) -> Result<(), StoreError> {
        if !self.segments.is_empty() {
            return Ok(());
        }
        if !self.is_locked {
            self.lock()?;
            let listing = self.files.list().map_err(StoreError::io("listing", "the folder"))?;
            if listing.iter().any(|(name, _)| name == manifest::FILE_NAME) {
                return Err(StoreError::InUse); // another process used the folder before it was locked
            }
        }
        let segment = self.create_segment(FIRST_SEGMENT, 0)?;
        manifest::write(&mut self.files, FIRST_SEGMENT, self.options.is_durable())?;
        self.orphaned_segment = None;
        self.segments.insert(FIRST_SEGMENT, segment);
        Ok(())
    }

    /// Creates the log in a new folder and removes what an earlier failure left behind: bytes after the
    /// recorded length of the last segment, and an orphaned file under the number of the next one. Without
    /// this, a segment that is no longer the last could end in a partial frame.
    pub fn prepare_write(&mut self) -> Result<(), StoreError> {
        self.create_if_new()?;
        self.remove_orphaned_segment()?;
        if self.has_torn_tail {
            self.truncate_torn_tail()?;
        }
        Ok(())
    }

    fn remove_orphaned_segment(&mut self) -> Result<(), StoreError> {
        let Some(number) = self.orphaned_segment else { return Ok(()) };
        let name = segment::file_name(number);
        match self.files.remove(&name) {
            Err(error) if error.kind() != ErrorKind::NotFound => {
                return Err(StoreError::io("removing", &name)(error));
            }
            _ => {}
        }
        if self.options.is_durable() {
            self.files.sync_folder().map_err(StoreError::io("syncing", "the folder"))?;
        }
        self.orphaned_segment = None;
        Ok(())
    }

    fn truncate_torn_tail(&mut self) -> Result<(), StoreError> {
        if let Some((number, segment)) = self.segments.iter_mut().next_back() {
            let truncated = self.files.truncate(&mut segment.file, segment.length);
            truncated.map_err(StoreError::io("cutting", &segment::file_name(*number)))?;
        }
        self.has_torn_tail = false;
        Ok(())
    }

    /// The oldest segment, if the log has any.
    pub fn oldest_segment(&self) -> Option<SegmentExtent> {
        let (number, segment) = self.segments.first_key_value()?;
        Some(SegmentExtent { number: *number, length: segment.length })
    }

    /// The segment that is appended to; number 0 and length 0 for a log without segments.
    fn last_segment(&self) -> SegmentExtent {
        let last = self.segments.last_key_value();
        last.map_or(SegmentExtent { number: 0, length: 0 }, |(number, segment)| SegmentExtent {
            number: *number,
            length: segment.length,
        })
    }

    /// Applies the changes of the frame at this location to the index.
    pub fn apply<'c>(&mut self, changes: impl IntoIterator<Item = Change<'c>>, frame_location: Location) {
        for (change_index, change) in changes.into_iter().enumerate() {
            let tombstone_size = frame::frame_size(&[Change::Delete(change.key())]) as u64;
            match change {
                Change::Put(key, _) => {
                    let location = Location { change_index: change_index as u32, ..frame_location };
                    self.index.put(key, location, frame::frame_size(&[change]) as u64, tombstone_size);
                }
                Change::Delete(key) => self.index.remove(key, tombstone_size),
            }
        }
    }

    /// Appends one frame to the last segment, or to a new segment if it would not fit.
    pub fn append(&mut self, changes: &[Change]) -> Result<Location, StoreError> {
        self.prepare_write()?;
        let size = frame::frame_size(changes) as u64;
        let mut last = self.last_segment();
        if last.length > SEGMENT_HEADER_BYTES as u64 && last.length + size > self.options.segment_bytes() {
            self.roll()?;
            last = self.last_segment();
        }
        let mut buffer = std::mem::take(&mut self.write_buffer);
        buffer.clear();
        frame::encode(changes, &mut buffer);
        let written = self.append_bytes(last.number, &buffer);
        self.write_buffer = buffer;
        written?;
        Ok(Location { segment: last.number, offset: last.length, length: size as u32, change_index: 0 })
    }

    fn append_bytes(&mut self, number: u64, bytes: &[u8]) -> Result<(), StoreError> {
        let name = segment::file_name(number);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(StoreError::MissingFile { file: name });
        };
        if let Err(error) = append_all(&mut self.files, &mut segment.file, bytes) {
            // A partial frame would hide all frames after it. It is truncated now or, if that fails, before
            // the next write.
            self.has_torn_tail = self.files.truncate(&mut segment.file, segment.length).is_err();
            return Err(StoreError::io("writing", &name)(error));
        }
        segment.length += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment. The previous one is complete and, in a durable store, synced first.
    pub fn roll(&mut self) -> Result<(), StoreError> {
        self.prepare_write()?;
        if self.options.is_durable() {
            self.sync_last_segment()?;
        }
        self.roll_without_sync()
    }

    fn roll_without_sync(&mut self) -> Result<(), StoreError> {
        let previous = self.last_segment();
        let number = previous.number + 1;
        let segment = self.create_segment(number, previous.length)?;
        if self.options.is_durable() {
            self.files.sync_folder().map_err(StoreError::io("syncing", "the folder"))?;
        }
        self.orphaned_segment = None;
        self.segments.insert(number, segment);
        Ok(())
    }

    /// Creates a segment file with its header. The file counts as orphaned until the caller adds it to the
    /// segments.
    fn create_segment(&mut self, number: u64, previous_length: u64) -> Result<Segment<F::File>, StoreError> {
        self.remove_orphaned_segment()?;
        let name = segment::file_name(number);
        self.orphaned_segment = Some(number);
        let mut file = self.create_file(&name)?;
        let header = segment::encode_header(number, previous_length);
        append_all(&mut self.files, &mut file, &header).map_err(StoreError::io("writing", &name))?;
        if self.options.is_durable() {
            self.files.sync(&file).map_err(StoreError::io("syncing", &name))?;
        }
        Ok(Segment { file, length: SEGMENT_HEADER_BYTES as u64 })
    }

    /// Creates a file, replacing one that an earlier failed attempt left behind.
    fn create_file(&mut self, name: &str) -> Result<F::File, StoreError> {
        let file = match self.files.create(name) {
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {
                self.files.remove(name).map_err(StoreError::io("removing", name))?;
                self.files.create(name)
            }
            other => other,
        };
        file.map_err(StoreError::io("creating", name))
    }

    /// Makes everything written so far durable.
    ///
    /// # Errors
    /// [`StoreError::SyncFailed`] if a sync fails. The kernel may then consider the bytes written, so that a
    /// later sync of the same file succeeds although they never reached the disk. They must be rewritten
    /// first, see [`last_unsynced_segment`](Self::last_unsynced_segment).
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.sync_last_segment()?;
        self.needs_sync = false;
        Ok(())
    }

    fn sync_last_segment(&mut self) -> Result<(), StoreError> {
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        if let Err(source) = self.files.sync(&segment.file) {
            self.last_unsynced_segment = Some(*number);
            self.needs_sync = true;
            return Err(StoreError::SyncFailed { file: segment::file_name(*number), source });
        }
        Ok(())
    }

    /// The last segment that a failed sync has left in an unknown state on disk, if there is one.
    pub fn last_unsynced_segment(&self) -> Option<u64> {
        self.last_unsynced_segment
    }

    /// Starts a new segment if the last one is unsynced, so that later writes go to a file whose syncs have
    /// succeeded.
    pub fn leave_unsynced_segment(&mut self) -> Result<(), StoreError> {
        self.prepare_write()?;
        if self.last_unsynced_segment.is_some_and(|unsynced| self.last_segment().number <= unsynced) {
            self.roll_without_sync()?;
        }
        Ok(())
    }

    /// Records that no segment in use is unsynced any more.
    pub fn clear_unsynced_segment(&mut self) {
        self.last_unsynced_segment = None;
    }

    /// Drops a segment after the manifest has named a later one as the first. If its file cannot be removed,
    /// removal is retried when the next segment is retired.
    pub fn retire(&mut self, number: u64) {
        self.segments.remove(&number);
        self.obsolete_segments.insert(number);
        self.remove_obsolete_segments();
    }

    /// Removes the files of obsolete segments. Those that cannot be removed stay in `obsolete_segments`.
    pub fn remove_obsolete_segments(&mut self) {
        let files = &mut self.files;
        self.obsolete_segments.retain(|number| {
            let removed = files.remove(&segment::file_name(*number));
            removed.is_err_and(|error| error.kind() != ErrorKind::NotFound)
        });
    }

    /// Reads the value of a key from the log and verifies it; `None` for an unknown key.
    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(location) = self.index.get(key) else { return Ok(None) };
        let name = segment::file_name(location.segment);
        let Some(segment) = self.segments.get(&location.segment) else {
            return Err(StoreError::MissingFile { file: name });
        };
        let mut bytes = vec![0; location.length as usize];
        let read = read_available(&mut self.files, &segment.file, location.offset, &mut bytes);
        let read = read.map_err(StoreError::io("reading", &name))?;
        let expected = "the frame that was read at the start";
        let damaged = || StoreError::Damaged { file: name.clone(), offset: location.offset, expected };
        if read < bytes.len() || frame::check(&bytes) != FrameCheck::Complete(bytes.len()) {
            return Err(damaged());
        }
        // The index is trusted only as far as the log agrees with it.
        match frame::decode_changes(&bytes[frame::HEADER_BYTES..])
            .nth(location.change_index as usize)
            .flatten()
        {
            Some(Change::Put(stored_key, value)) if stored_key == key => Ok(Some(value.to_vec())),
            _ => Err(damaged()),
        }
    }
}
