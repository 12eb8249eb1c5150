//! The append-only log in segments, with the index of what counts in it: appending, syncing and reading.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;

use crate::fault::Fault;
use crate::files::{Files, append_all, read_most};
use crate::frame::{self, Change, Found};
use crate::index::{Index, Place};
use crate::manifest;
use crate::room::{BLOCK, Room, blocks};
use crate::segment::{self, HEAD};

/// The number of a new folder's first segment.
const FIRST: u64 = 1;

/// One open file of the log.
pub(crate) struct Segment<File> {
    pub file: File,
    pub length: u64,
}

/// A segment, and how long it is.
#[derive(Clone, Copy)]
pub(crate) struct Position {
    pub segment: u64,
    pub length: u64,
}

/// All segments of a folder. Only the last is appended to.
pub(crate) struct SegmentedLog<F: Files> {
    pub files: F,
    pub room: Room,
    /// By number.
    pub segments: BTreeMap<u64, Segment<F::File>>,
    pub index: Index,
    /// Something was written that has not been synced.
    pub unsynced: bool,
    /// Bytes that count for nothing may stand behind the length of the last segment.
    pub torn: bool,
    /// A file that counts for nothing may stand under the number of the next segment.
    pub stray: Option<u64>,
    /// Segments that no longer count and could not be removed.
    pub left_over: BTreeSet<u64>,
    /// A sync failed: what this segment and those before it hold may never reach the disk.
    suspect: Option<u64>,
    /// Other processes are kept out.
    locked: bool,
    buffer: Vec<u8>,
}

impl<F: Files> SegmentedLog<F> {
    /// A log without segments; recovery adds them.
    pub fn new(files: F, room: Room) -> Self {
        SegmentedLog {
            files,
            room,
            segments: BTreeMap::new(),
            index: Index::default(),
            unsynced: false,
            torn: false,
            stray: None,
            left_over: BTreeSet::new(),
            suspect: None,
            locked: false,
            buffer: Vec::new(),
        }
    }

    /// Bytes that the folder takes.
    pub fn used(&self) -> u64 {
        let segments: u64 = self.segments.values().map(|segment| blocks(segment.length)).sum();
        segments + BLOCK + self.left_over.len() as u64 * self.room.segment()
    }

    /// Bytes of what counts, and of the ends that it will take.
    pub fn live(&self) -> u64 {
        self.index.live() + self.index.ends()
    }

    /// Keeps other processes out. A new folder on which nothing can be written is locked later, by the first write.
    ///
    /// # Errors
    /// [`Fault::InUse`] beside another process.
    pub fn lock(&mut self) -> Result<(), Fault> {
        match self.files.lock() {
            Ok(()) => {
                self.locked = true;
                Ok(())
            }
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => Err(Fault::InUse),
            Err(fault) => Err(Fault::io("locking", "lock")(fault)),
        }
    }

    /// Where the segments of a folder are new, the first one and the manifest that names it.
    pub fn begin(&mut self) -> Result<(), Fault> {
        if !self.segments.is_empty() {
            return Ok(());
        }
        if !self.locked {
            self.lock()?;
            let there = self.files.list().map_err(Fault::io("listing", "the folder"))?;
            if there.iter().any(|(name, _)| name == manifest::NAME) {
                return Err(Fault::InUse); // another process was here before the lock
            }
        }
        let segment = self.new_segment(FIRST, 0)?;
        manifest::write(&mut self.files, FIRST, self.room.is_durable())?;
        self.stray = None;
        self.segments.insert(FIRST, segment);
        Ok(())
    }

    /// What the failure of an earlier call left behind goes before anything else is written: bytes behind the last segment's
    /// length, and a file under the number of the next one. Else a segment that is no longer the last would end in half a record.
    pub fn tidy(&mut self) -> Result<(), Fault> {
        self.begin()?;
        self.remove_stray()?;
        if self.torn {
            self.cut_torn_end()?;
        }
        Ok(())
    }

    fn remove_stray(&mut self) -> Result<(), Fault> {
        let Some(number) = self.stray else { return Ok(()) };
        let name = segment::name(number);
        match self.files.remove(&name) {
            Err(fault) if fault.kind() != ErrorKind::NotFound => {
                return Err(Fault::io("removing", &name)(fault));
            }
            _ => {}
        }
        if self.room.is_durable() {
            self.files.sync_folder().map_err(Fault::io("syncing", "the folder"))?;
        }
        self.stray = None;
        Ok(())
    }

    fn cut_torn_end(&mut self) -> Result<(), Fault> {
        if let Some((number, segment)) = self.segments.iter_mut().next_back() {
            let cut = self.files.truncate(&mut segment.file, segment.length);
            cut.map_err(Fault::io("cutting", &segment::name(*number)))?;
        }
        self.torn = false;
        Ok(())
    }

    /// The segment that was begun first, unless there is none.
    pub fn oldest(&self) -> Option<Position> {
        let (number, segment) = self.segments.first_key_value()?;
        Some(Position { segment: *number, length: segment.length })
    }

    /// The segment that is appended to.
    fn last(&self) -> Position {
        let last = self.segments.last_key_value();
        last.map_or(Position { segment: 0, length: 0 }, |(number, segment)| Position {
            segment: *number,
            length: segment.length,
        })
    }

    /// Takes the changes of the frame at a place into the index.
    pub fn apply<'c>(&mut self, changes: impl IntoIterator<Item = Change<'c>>, frame: Place) {
        for (nth, change) in changes.into_iter().enumerate() {
            let end = frame::size(&[Change::End(change.key())]) as u64;
            match change {
                Change::Put(key, _) => {
                    let place = Place { nth: nth as u32, ..frame };
                    self.index.put(key, place, frame::size(&[change]) as u64, end);
                }
                Change::End(key) => self.index.end(key, end),
            }
        }
    }

    /// Appends one frame to the last segment, or to a new one once that is full.
    pub fn append(&mut self, changes: &[Change]) -> Result<Place, Fault> {
        self.tidy()?;
        let size = frame::size(changes) as u64;
        let mut last = self.last();
        if last.length > HEAD as u64 && last.length + size > self.room.segment() {
            self.roll()?;
            last = self.last();
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        frame::write(changes, &mut buffer);
        let written = self.append_bytes(last.segment, &buffer);
        self.buffer = buffer;
        written?;
        Ok(Place { segment: last.segment, offset: last.length, length: size as u32, nth: 0 })
    }

    fn append_bytes(&mut self, number: u64, bytes: &[u8]) -> Result<(), Fault> {
        let name = segment::name(number);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(Fault::Missing { file: name });
        };
        if let Err(fault) = append_all(&mut self.files, &mut segment.file, bytes) {
            // Half a frame would hide all that come after it: it goes at once, or before the next write.
            self.torn = self.files.truncate(&mut segment.file, segment.length).is_err();
            return Err(Fault::io("writing", &name)(fault));
        }
        segment.length += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment. The one before it is whole and, where that is asked for, on the disk.
    pub fn roll(&mut self) -> Result<(), Fault> {
        self.tidy()?;
        if self.room.is_durable() {
            self.sync_last()?;
        }
        self.roll_unsynced()
    }

    fn roll_unsynced(&mut self) -> Result<(), Fault> {
        let before = self.last();
        let number = before.segment + 1;
        let segment = self.new_segment(number, before.length)?;
        if self.room.is_durable() {
            self.files.sync_folder().map_err(Fault::io("syncing", "the folder"))?;
        }
        self.stray = None;
        self.segments.insert(number, segment);
        Ok(())
    }

    /// A new file with its head. Until it stands among the segments, it is a stray one.
    fn new_segment(&mut self, number: u64, before: u64) -> Result<Segment<F::File>, Fault> {
        self.remove_stray()?;
        let name = segment::name(number);
        self.stray = Some(number);
        let mut file = self.create(&name)?;
        let head = segment::head(number, before);
        append_all(&mut self.files, &mut file, &head).map_err(Fault::io("writing", &name))?;
        if self.room.is_durable() {
            self.files.sync(&file).map_err(Fault::io("syncing", &name))?;
        }
        Ok(Segment { file, length: HEAD as u64 })
    }

    /// A new file, in place of one that a try left which failed half-way.
    fn create(&mut self, name: &str) -> Result<F::File, Fault> {
        let file = match self.files.create(name) {
            Err(fault) if fault.kind() == ErrorKind::AlreadyExists => {
                self.files.remove(name).map_err(Fault::io("removing", name))?;
                self.files.create(name)
            }
            other => other,
        };
        file.map_err(Fault::io("creating", name))
    }

    /// What was written until now outlives the power.
    ///
    /// # Errors
    /// [`Fault::Unsure`] as a sync fails. The kernel may take the bytes for written then, so that a later sync of the same file
    /// says nothing of them: they are [written anew](Self::suspect) first.
    pub fn sync(&mut self) -> Result<(), Fault> {
        self.sync_last()?;
        self.unsynced = false;
        Ok(())
    }

    fn sync_last(&mut self) -> Result<(), Fault> {
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        if let Err(source) = self.files.sync(&segment.file) {
            self.suspect = Some(*number);
            self.unsynced = true;
            return Err(Fault::Unsure { file: segment::name(*number), source });
        }
        Ok(())
    }

    /// The last segment of which a failed sync has left open what the disk holds, if there is one.
    pub fn suspect(&self) -> Option<u64> {
        self.suspect
    }

    /// What is written from here on goes to a segment that a sync has reached, and not to a suspect one.
    pub fn leave_suspect(&mut self) -> Result<(), Fault> {
        self.tidy()?;
        if self.suspect.is_some_and(|suspect| self.last().segment <= suspect) {
            self.roll_unsynced()?;
        }
        Ok(())
    }

    /// No segment that counts is suspect any more.
    pub fn trust(&mut self) {
        self.suspect = None;
    }

    /// A segment counts no more: the manifest names a later one. Files that cannot be removed are tried again with the next.
    pub fn retire(&mut self, number: u64) {
        self.segments.remove(&number);
        self.left_over.insert(number);
        self.remove_left_over();
    }

    /// Removes what is left over, as far as that goes now.
    pub fn remove_left_over(&mut self) {
        let files = &mut self.files;
        self.left_over.retain(|number| {
            let removed = files.remove(&segment::name(*number));
            removed.is_err_and(|fault| fault.kind() != ErrorKind::NotFound)
        });
    }

    /// The value that a key stands for, read from the log and checked.
    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        let Some(place) = self.index.get(key) else { return Ok(None) };
        let name = segment::name(place.segment);
        let Some(segment) = self.segments.get(&place.segment) else {
            return Err(Fault::Missing { file: name });
        };
        let mut bytes = vec![0; place.length as usize];
        let read = read_most(&mut self.files, &segment.file, place.offset, &mut bytes);
        let read = read.map_err(Fault::io("reading", &name))?;
        let expected = "the record that was read at the start";
        let damaged = || Fault::Damaged { file: name.clone(), offset: place.offset, expected };
        if read < bytes.len() || frame::look(&bytes) != Found::Whole(bytes.len()) {
            return Err(damaged());
        }
        // The index is believed only as far as the log agrees.
        match frame::changes(&bytes[frame::HEAD..]).nth(place.nth as usize).flatten() {
            Some(Change::Put(found, value)) if found == key => Ok(Some(value.to_vec())),
            _ => Err(damaged()),
        }
    }
}
