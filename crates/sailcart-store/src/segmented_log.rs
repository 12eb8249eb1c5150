//! The append-only log in segments, with the index of what counts in it: appending, syncing and reading.

use std::collections::BTreeMap;
use std::io::ErrorKind;

use crate::fault::Fault;
use crate::files::{Files, append_all, read_most};
use crate::frame::{self, Change, Found};
use crate::index::{Index, Place};
use crate::room::{BLOCK, Room, blocks};
use crate::segment::{self, HEAD};

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
    /// A failed write may have left bytes behind the length of the last segment.
    torn: bool,
    /// A sync failed: what the disk holds is not known.
    unsure: bool,
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
            unsure: false,
            buffer: Vec::new(),
        }
    }

    /// Bytes that the folder takes.
    pub fn used(&self) -> u64 {
        let segments: u64 = self.segments.values().map(|segment| blocks(segment.length)).sum();
        segments + BLOCK
    }

    /// Bytes of what counts, and of the ends that it will take.
    pub fn live(&self) -> u64 {
        self.index.live() + self.index.ends()
    }

    /// # Errors
    /// [`Fault::Unsure`] after a failed sync.
    pub fn check_sure(&self) -> Result<(), Fault> {
        if self.unsure { Err(Fault::Unsure) } else { Ok(()) }
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
        let Some(segment) = self.segments.get_mut(&number) else { return Err(Fault::Unsure) };
        if self.torn {
            let cut = self.files.truncate(&mut segment.file, segment.length);
            cut.map_err(Fault::io("cutting", &name))?;
            self.torn = false;
        }
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
        if self.room.is_durable() {
            self.sync_last()?;
        }
        let before = self.last();
        let number = before.segment + 1;
        let name = segment::name(number);
        let mut file = self.create(&name)?;
        let head = segment::head(number, before.length);
        if let Err(fault) = append_all(&mut self.files, &mut file, &head) {
            let _ = self.files.remove(&name);
            return Err(Fault::io("writing", &name)(fault));
        }
        if self.room.is_durable() {
            self.files.sync_folder().map_err(Fault::io("syncing", "the folder"))?;
        }
        self.segments.insert(number, Segment { file, length: HEAD as u64 });
        Ok(())
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
    pub fn sync(&mut self) -> Result<(), Fault> {
        self.unsynced = false;
        self.sync_last()
    }

    fn sync_last(&mut self) -> Result<(), Fault> {
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        let synced = self.files.sync(&segment.file);
        synced.map_err(|fault| {
            self.unsure = true;
            Fault::io("syncing", &segment::name(*number))(fault)
        })
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
