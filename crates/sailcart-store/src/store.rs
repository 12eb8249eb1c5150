//! The store: an append-only log in segments, a circle that is cleaned at its old end. What still counts in the
//! oldest segment is appended anew, then the manifest names the next one as the first, then the file goes. So an
//! end in the oldest segment has nothing before it that it could hide, and may go with it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fault::Fault;
use crate::files::{Files, append_all, read_most};
use crate::frame::{self, Change, MOST_KEY};
use crate::index::{Index, Place};
use crate::manifest;
use crate::recovery::{self, Standing};
use crate::segment::{self, HEAD, Step, Walk};

/// When what was written must outlive the power. SIGKILL loses nothing in any case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never asked for: the folder is lost with the machine, or the machine is not.
    #[default]
    None,
    /// Before [`Store::write`] returns.
    Each,
    /// By [`Store::sync`], which its caller promises to call so often; one for all that was written meanwhile.
    Every(Duration),
}

/// How much the folder may hold.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes over all files, each counted in whole 512.
    pub bytes: u64,
    pub sync: Sync,
}

/// What the store has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Bytes that callers wrote, as frames.
    pub written: u64,
    /// Bytes that compaction wrote.
    pub carried: u64,
    pub segments_retired: u64,
    /// Writes that had to wait for compaction to make room at once.
    pub forced: u64,
}

const BLOCK: u64 = 512;
/// A segment is this part of the room.
const SEGMENTS: u64 = 8;
const SEGMENT: std::ops::RangeInclusive<u64> = 4096..=(64 << 20);
/// Segments' worth of room beyond what counts: the one written to, the one being cleaned, and what rounding takes.
const SPARE: u64 = 3;
/// The least that a write spends on compaction when there is some to do, in bytes.
const LEAST_STEP: u64 = 4096;

pub(crate) struct Segment<File> {
    pub file: File,
    pub length: u64,
}

/// How far the oldest segment is cleaned.
struct Cleaning {
    walk: Walk,
}

pub struct Store<F: Files> {
    pub(crate) files: F,
    pub(crate) room: Room,
    pub(crate) segments: BTreeMap<u64, Segment<F::File>>,
    pub(crate) index: Index,
    cleaning: Option<Cleaning>,
    effort: Effort,
    unsynced: bool,
    /// A failed write may have left bytes behind this length of the last segment.
    torn: bool,
    unsure: bool,
    buffer: Vec<u8>,
}

pub(crate) fn blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK) * BLOCK
}

impl Room {
    pub(crate) fn segment(&self) -> u64 {
        (self.bytes / SEGMENTS).clamp(*SEGMENT.start(), *SEGMENT.end())
    }

    /// What may count at once, with room for its ends.
    pub fn budget(&self) -> u64 {
        let spare = SPARE * (self.segment() + BLOCK) + 2 * BLOCK;
        self.bytes.saturating_sub(spare)
    }

    /// The largest change: one that fills a segment.
    pub fn most_change(&self) -> u64 {
        (self.segment() - HEAD as u64).min(self.budget())
    }
}

impl<F: Files> Store<F> {
    /// Opens a folder, a new one too, and restores what stands in it or says why that cannot be.
    ///
    /// # Errors
    /// [`Fault::InUse`] beside another process; [`Fault::Damaged`], [`Fault::Missing`] and [`Fault::Newer`] with the
    /// folder as it was; [`Fault::Io`] as the files fail.
    pub fn open(files: F, room: Room) -> Result<(Self, Standing), Fault> {
        recovery::open(files, room)
    }

    pub(crate) fn new(files: F, room: Room) -> Self {
        Store {
            files,
            room,
            segments: BTreeMap::new(),
            index: Index::default(),
            cleaning: None,
            effort: Effort::default(),
            unsynced: false,
            torn: false,
            unsure: false,
            buffer: Vec::new(),
        }
    }

    fn durable(&self) -> bool {
        self.room.sync != Sync::None
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

    /// Bytes that a value takes of [`Room::budget`], with its end.
    pub fn cost(key: &[u8], value: &[u8]) -> u64 {
        (frame::size(&[Change::Put(key, value)]) + frame::size(&[Change::End(key)])) as u64
    }

    pub fn room(&self) -> Room {
        self.room
    }

    /// Keys that stand for something.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn effort(&self) -> Effort {
        self.effort
    }

    /// Writes changes that count together or not at all. Ends always fit: room is kept for them.
    ///
    /// # Errors
    /// [`Fault::Full`] and [`Fault::TooLarge`] with nothing changed; [`Fault::Io`] as the disk fails, after which
    /// nothing of these changes counts and the next write may do; [`Fault::Unsure`] after a failed sync.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), Fault> {
        if self.unsure {
            return Err(Fault::Unsure);
        }
        if changes.iter().any(|change| change.key().len() > MOST_KEY) {
            return Err(Fault::TooLarge { wanted: MOST_KEY as u64 + 1, most: MOST_KEY as u64 });
        }
        let size = frame::size(changes) as u64;
        let most = self.room.most_change();
        if size > most {
            return Err(Fault::TooLarge { wanted: size, most });
        }
        self.admit(changes)?;
        self.make_room(size)?;
        let place = self.append(changes)?;
        self.effort.written += size;
        self.note(changes, place);
        match self.room.sync {
            Sync::Each => self.sync()?,
            Sync::Every(_) => self.unsynced = true,
            Sync::None => {}
        }
        // The write counts, whatever becomes of its share of cleaning: what stands in the way there is told by the
        // first write that finds no room.
        if let Err(fault) = self.share(size) {
            log::warn!("store: code=compaction_put_off {fault}");
        }
        Ok(())
    }

    /// Whether what will count afterwards, with its ends, still fits.
    fn admit(&self, changes: &[Change]) -> Result<(), Fault> {
        let mut more = 0i64;
        for change in changes {
            let before = self.index.size(change.key()) as i64;
            let end = frame::size(&[Change::End(change.key())]) as i64;
            more += match change {
                Change::Put(..) if before > 0 => frame::size(&[*change]) as i64 - before,
                Change::Put(..) => frame::size(&[*change]) as i64 + end,
                Change::End(_) if before > 0 => -before - end,
                Change::End(_) => 0,
            };
        }
        let (live, budget) = (self.live(), self.room.budget());
        if more > 0 && live + more as u64 > budget {
            return Err(Fault::Full { wanted: more as u64, left: budget.saturating_sub(live) });
        }
        Ok(())
    }

    fn note(&mut self, changes: &[Change], place: Place) {
        for (nth, change) in changes.iter().enumerate() {
            let end = frame::size(&[Change::End(change.key())]) as u64;
            match change {
                Change::Put(key, _) => {
                    let place = Place { nth: nth as u32, ..place };
                    self.index.put(key, place, frame::size(&[*change]) as u64, end);
                }
                Change::End(key) => self.index.end(key, end),
            }
        }
    }

    /// Takes over what recovery found.
    pub(crate) fn recovered(&mut self, body: &[u8], place: Place) {
        for (nth, change) in frame::changes(body).flatten().enumerate() {
            let end = frame::size(&[Change::End(change.key())]) as u64;
            match change {
                Change::Put(key, _) => {
                    let place = Place { nth: nth as u32, ..place };
                    self.index.put(key, place, frame::size(&[change]) as u64, end);
                }
                Change::End(key) => self.index.end(key, end),
            }
        }
    }

    /// Appends one frame to the last segment, or to a new one once that is full.
    fn append(&mut self, changes: &[Change]) -> Result<Place, Fault> {
        let size = frame::size(changes) as u64;
        let (mut number, mut length) = self.last();
        if length > HEAD as u64 && length + size > self.room.segment() {
            self.roll()?;
            (number, length) = self.last();
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        frame::write(changes, &mut buffer);
        let written = self.append_bytes(number, &buffer);
        self.buffer = buffer;
        written?;
        Ok(Place { segment: number, offset: length, length: size as u32, nth: 0 })
    }

    fn last(&self) -> (u64, u64) {
        self.segments.last_key_value().map_or((0, 0), |(number, segment)| (*number, segment.length))
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
    fn roll(&mut self) -> Result<(), Fault> {
        if self.durable() {
            self.sync_now()?;
        }
        let (before, length) = self.last();
        let number = before + 1;
        let name = segment::name(number);
        let file = match self.files.create(&name) {
            // Left by a try that failed half-way.
            Err(fault) if fault.kind() == std::io::ErrorKind::AlreadyExists => {
                self.files.remove(&name).map_err(Fault::io("removing", &name))?;
                self.files.create(&name)
            }
            other => other,
        };
        let mut file = file.map_err(Fault::io("creating", &name))?;
        if let Err(fault) = append_all(&mut self.files, &mut file, &segment::head(number, length)) {
            let _ = self.files.remove(&name);
            return Err(Fault::io("writing", &name)(fault));
        }
        if self.durable() {
            self.files.sync_folder().map_err(Fault::io("syncing", "the folder"))?;
        }
        self.segments.insert(number, Segment { file, length: HEAD as u64 });
        Ok(())
    }

    /// What was written until now outlives the power.
    ///
    /// # Errors
    /// After a failed sync nothing more can be written: what the disk holds is not known.
    pub fn sync(&mut self) -> Result<(), Fault> {
        self.unsynced = false;
        self.sync_now()
    }

    /// Whether something waits for [`Store::sync`].
    pub fn wants_sync(&self) -> bool {
        self.unsynced
    }

    fn sync_now(&mut self) -> Result<(), Fault> {
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        let synced = self.files.sync(&segment.file);
        synced.map_err(|fault| {
            self.unsure = true;
            Fault::io("syncing", &segment::name(*number))(fault)
        })
    }

    /// The value that a key stands for, read from the log and checked.
    ///
    /// # Errors
    /// [`Fault::Damaged`] where the log no longer holds what was read at the start.
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
        if read < bytes.len() || frame::look(&bytes) != frame::Found::Whole(bytes.len()) {
            return Err(damaged());
        }
        // The index is believed only as far as the log agrees.
        match frame::changes(&bytes[frame::HEAD..]).nth(place.nth as usize).flatten() {
            Some(Change::Put(found, value)) if found == key => Ok(Some(value.to_vec())),
            _ => Err(damaged()),
        }
    }

    /// The keys from one on, up to but without another, in order.
    pub fn keys<'a>(
        &'a self,
        from: &[u8],
        until: Option<&[u8]>,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, F> {
        self.index.range(from, until)
    }

    /// Where there is much that does not count, a write also cleans, in step with its own size.
    fn share(&mut self, size: u64) -> Result<(), Fault> {
        let used = self.used();
        if !self.worth_cleaning(used) {
            return Ok(());
        }
        // What one cleaned byte frees falls as more of it counts; twice that keeps ahead.
        let dead = used.saturating_sub(self.live()).max(1);
        let spent = (size.saturating_mul(2).saturating_mul(used) / dead).max(LEAST_STEP);
        self.step(spent).map(|_| ())
    }

    fn worth_cleaning(&self, used: u64) -> bool {
        used > self.room.bytes / 2 || used > self.live() * 4 + self.room.segment() * 4
    }

    /// Guards against a folder above its room: where a write would not fit, cleaning makes room first.
    fn make_room(&mut self, size: u64) -> Result<(), Fault> {
        // What cleaning itself may need: a new segment for what counts in the oldest, and its manifest.
        let own = self.room.segment() + BLOCK * 4;
        let mut forced = false;
        let (mut least, mut idle) = (self.used(), 0);
        while self.used() + size + own > self.room.bytes {
            if !std::mem::replace(&mut forced, true) {
                self.effort.forced += 1;
            }
            self.step(self.room.segment())?;
            // A whole turn of the circle that frees nothing has nothing more to free.
            idle = if self.used() < least { 0 } else { idle + 1 };
            least = least.min(self.used());
            if idle > 4 * SEGMENTS {
                let left = self.room.bytes.saturating_sub(self.used() + own);
                return Err(Fault::Full { wanted: size, left });
            }
        }
        Ok(())
    }

    /// Cleans for about so many bytes read: a bounded part of compaction. Tells whether a segment went.
    ///
    /// # Errors
    /// As for [`Store::write`]. What counts stands in the log at every moment, once or twice.
    pub fn step(&mut self, bytes: u64) -> Result<bool, Fault> {
        if self.unsure {
            return Err(Fault::Unsure);
        }
        let Some((oldest, length)) = self.segments.first_key_value().map(|(n, s)| (*n, s.length)) else {
            return Ok(false);
        };
        if self.segments.len() == 1 {
            if length == HEAD as u64 {
                return Ok(false);
            }
            self.roll()?;
        }
        let walk = Walk::new(HEAD as u64, length);
        let Cleaning { mut walk } = self.cleaning.take().unwrap_or(Cleaning { walk });
        let until = walk.offset + bytes;
        while walk.offset < until {
            let Some(segment) = self.segments.get(&oldest) else { break };
            let name = segment::name(oldest);
            let step = walk.next(&mut self.files, &segment.file).map_err(Fault::io("reading", &name))?;
            match step {
                Step::Frame(at) => {
                    if let Err(fault) = self.carry(oldest, at, &walk) {
                        // This frame is looked at again.
                        self.cleaning = Some(Cleaning { walk: Walk::new(at, length) });
                        return Err(fault);
                    }
                }
                Step::End => return self.retire(oldest).map(|()| true),
                Step::Stuck(_) => {
                    let expected = "the record that was read at the start";
                    return Err(Fault::Damaged { file: name, offset: walk.offset, expected });
                }
            }
        }
        self.cleaning = Some(Cleaning { walk });
        Ok(false)
    }

    /// What still counts of a frame is appended anew.
    fn carry(&mut self, number: u64, at: u64, walk: &Walk) -> Result<(), Fault> {
        for (nth, change) in frame::changes(walk.body(at)).flatten().enumerate() {
            let Change::Put(key, _) = change else { continue };
            let here =
                |place: &Place| place.segment == number && place.offset == at && place.nth == nth as u32;
            if self.index.get(key).as_ref().is_some_and(here) {
                let place = self.append(&[change])?;
                self.index.moved(key, place);
                self.effort.carried += u64::from(place.length);
                self.unsynced |= self.durable();
            }
        }
        Ok(())
    }

    /// The oldest segment holds nothing that counts: the manifest says so, then it goes.
    fn retire(&mut self, oldest: u64) -> Result<(), Fault> {
        if self.durable() {
            self.sync()?;
        }
        let durable = self.durable();
        manifest::write(&mut self.files, oldest + 1, durable)?;
        self.segments.remove(&oldest);
        self.cleaning = None;
        self.effort.segments_retired += 1;
        let name = segment::name(oldest);
        // One that stays is left over, and goes at the next start.
        if let Err(fault) = self.files.remove(&name) {
            log::warn!("store: code=not_removed {name} {fault}");
        }
        Ok(())
    }
}
