//! Start: the log is read, and either stands as a whole or is refused. Only what a crash explains is mended: a torn
//! end of the last segment, a segment or a manifest that was being made, files that the manifest has left behind.

use crate::fault::Fault;
use crate::files::{Files, read_most};
use crate::frame::{self, Found};
use crate::index::Place;
use crate::manifest;
use crate::room::{Room, Sync, blocks};
use crate::segment::{self, HEAD, Listed, Step, Walk};
use crate::segmented_log::{Segment, SegmentedLog};

/// What was found at a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Keys that stand for something.
    pub keys: usize,
    /// Files of the log.
    pub segments: usize,
    /// Bytes of all segments, each counted in whole 512.
    pub bytes: u64,
    /// Frames that were read.
    pub records: u64,
    /// Bytes of a torn end that were cut: their record never counted.
    pub cut: u64,
}

/// A log that was read, and what was found in it.
pub(crate) struct Recovered<F: Files> {
    pub log: SegmentedLog<F>,
    pub standing: Standing,
}

/// Locks a folder, reads its log, and mends what a crash explains. Where nothing can be written just now, what stands is read all the
/// same, and mended by the first write that succeeds.
pub(crate) fn open<F: Files>(files: F, room: Room) -> Result<Recovered<F>, Fault> {
    let mut recovery = Recovery::new(files, room, true);
    let locked = recovery.log.lock();
    let there = recovery.log.files.list().map_err(Fault::io("listing", "the folder"))?;
    match locked {
        // Only a folder that no process has begun on has no lock.
        Err(fault @ Fault::Io { .. }) if segment::listed(&there).is_empty() => put_off(&fault),
        other => other?,
    }
    let mut recovered = recovery.read()?;
    if let Err(fault) = recovered.log.tidy() {
        put_off(&fault);
    }
    Ok(recovered)
}

fn put_off(fault: &Fault) {
    log::warn!("store: code=mended_later {fault}; nothing can be written yet");
}

/// Reads a folder without changing it: what stands in it, or the first fault.
///
/// # Errors
/// As for [`Store::open`](crate::Store::open); a folder without a store has none to read and is [`Fault::Missing`].
pub fn check<F: Files>(files: F, each: &mut dyn FnMut(&[u8], &[u8])) -> Result<Standing, Fault> {
    let room = Room { bytes: u64::MAX / 2, sync: Sync::None };
    let Recovered { mut log, standing } = Recovery::new(files, room, false).read()?;
    let keys: Vec<Vec<u8>> = log.index.range(&[], None).map(<[u8]>::to_vec).collect();
    for key in keys {
        if let Some(value) = log.get(&key)? {
            each(&key, &value);
        }
    }
    Ok(standing)
}

/// A log that is being read.
struct Recovery<F: Files> {
    log: SegmentedLog<F>,
    standing: Standing,
    /// What a crash explains is mended; else the folder stays as it is.
    mend: bool,
}

/// Where in the log a segment stands.
#[derive(Clone, Copy)]
struct Neighbours {
    /// How long the segment before it has become, unless it is the first.
    before: Option<u64>,
    last: bool,
}

impl<F: Files> Recovery<F> {
    fn new(files: F, room: Room, mend: bool) -> Self {
        Recovery { log: SegmentedLog::new(files, room), standing: Standing::default(), mend }
    }

    fn read(mut self) -> Result<Recovered<F>, Fault> {
        let there = self.log.files.list().map_err(Fault::io("listing", "the folder"))?;
        let listed = segment::listed(&there);
        match manifest::read(&mut self.log.files, &there)? {
            None => self.begin(&listed)?,
            Some(first) => self.read_from(first, &listed)?,
        }
        self.standing.keys = self.log.index.len();
        self.standing.segments = self.log.segments.len();
        self.standing.bytes = self.log.segments.values().map(|segment| blocks(segment.length)).sum();
        Ok(Recovered { log: self.log, standing: self.standing })
    }

    /// A folder without a manifest is new, or its first start was cut short: then no record stands in it.
    fn begin(&mut self, listed: &[Listed]) -> Result<(), Fault> {
        let begun = listed.iter().all(|file| file.number == 1 && file.length <= HEAD as u64);
        if !begun || !self.mend {
            return Err(Fault::Missing { file: manifest::NAME.to_owned() });
        }
        self.log.stray = listed.first().map(|file| file.number);
        Ok(())
    }

    /// Reads all segments from the first that counts; what stands before it is left over and goes.
    fn read_from(&mut self, first: u64, listed: &[Listed]) -> Result<(), Fault> {
        let (left_over, kept): (Vec<Listed>, Vec<Listed>) =
            listed.iter().partition(|file| file.number < first);
        if self.mend {
            self.log.left_over.extend(left_over.iter().map(|file| file.number));
            self.log.remove_left_over();
        }
        check_complete(first, &kept)?;
        let mut before = None;
        for (at, file) in kept.iter().enumerate() {
            let last = at + 1 == kept.len();
            before = self.read_segment(*file, Neighbours { before, last })?;
        }
        Ok(())
    }

    /// Reads one segment into the index. Tells its length, for the next one's head to agree with.
    fn read_segment(&mut self, listed: Listed, neighbours: Neighbours) -> Result<Option<u64>, Fault> {
        let number = listed.number;
        let name = segment::name(number);
        let file = self.log.files.open(&name).map_err(Fault::io("opening", &name))?;
        let mut head = [0u8; HEAD];
        let read = read_most(&mut self.log.files, &file, 0, &mut head);
        let head = &head[..read.map_err(Fault::io("reading", &name))?];
        if self.is_torn_head(head, number, neighbours) {
            // It counts for nothing yet: it goes before the segment before it is written to.
            self.standing.cut += listed.length;
            self.log.stray = Some(number);
            return Ok(neighbours.before);
        }
        let told = segment::read_head(head, number)?;
        if neighbours.before.is_some_and(|before| before != told) {
            let file = segment::name(number - 1);
            let expected = "as many bytes as the next segment tells";
            return Err(Fault::Damaged { file, offset: neighbours.before.unwrap_or(0), expected });
        }
        self.read_records(file, listed, neighbours).map(Some)
    }

    /// A new segment whose head was being written; the one before it is whole.
    fn is_torn_head(&self, head: &[u8], number: u64, neighbours: Neighbours) -> bool {
        let short = head.len() < HEAD;
        let unreadable = self.log.room.is_durable() && segment::read_head(head, number).is_err();
        neighbours.last && neighbours.before.is_some() && (short || unreadable)
    }

    /// Reads a segment's records into the index, up to its end or a torn one. Tells where that is.
    fn read_records(&mut self, file: F::File, listed: Listed, neighbours: Neighbours) -> Result<u64, Fault> {
        let name = segment::name(listed.number);
        let mut walk = Walk::new(HEAD as u64, listed.length);
        loop {
            match walk.next(&mut self.log.files, &file).map_err(Fault::io("reading", &name))? {
                Step::Frame(at) => self.apply(&walk, listed.number, at),
                Step::End => break,
                Step::Stuck(found) => {
                    self.check_torn_end(&file, listed, walk.offset, &found, neighbours.last)?;
                    self.standing.cut += listed.length - walk.offset;
                    self.log.torn = true;
                    break;
                }
            }
        }
        self.log.segments.insert(listed.number, Segment { file, length: walk.offset });
        Ok(walk.offset)
    }

    /// Takes the frame that a walk found last, which began at `at`, into the index.
    fn apply(&mut self, walk: &Walk, number: u64, at: u64) {
        let place = Place { segment: number, offset: at, length: (walk.offset - at) as u32, nth: 0 };
        self.log.apply(frame::changes(walk.body(at)).flatten(), place);
        self.standing.records += 1;
    }

    /// Whether what the walk got stuck at is a torn end, and not damage.
    fn check_torn_end(
        &mut self,
        file: &F::File,
        listed: Listed,
        at: u64,
        found: &Found,
        last: bool,
    ) -> Result<(), Fault> {
        let name = segment::name(listed.number);
        let expected = match found {
            Found::Damaged(expected) => expected,
            _ => "a whole record",
        };
        let damaged = Fault::Damaged { file: name.clone(), offset: at, expected };
        // Writes come in order: what a killed process leaves is short, never changed. Lost power may change it.
        if !last || (!self.log.room.is_durable() && *found != Found::Short) {
            return Err(damaged);
        }
        let rest = segment::find(&mut self.log.files, file, at + 1, listed.length);
        match rest.map_err(Fault::io("reading", &name))? {
            // A whole record behind it: it was no end.
            Some(_) => Err(damaged),
            None => Ok(()),
        }
    }
}

/// From the first segment on none may be missing.
fn check_complete(first: u64, kept: &[Listed]) -> Result<(), Fault> {
    for (expected, file) in (first..).zip(kept) {
        if file.number != expected {
            return Err(Fault::Missing { file: segment::name(expected) });
        }
    }
    if kept.is_empty() {
        return Err(Fault::Missing { file: segment::name(first) });
    }
    Ok(())
}
