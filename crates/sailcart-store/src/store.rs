//! The store: what callers write, read and list. The log, its recovery and its compaction stand beside it.

use crate::compaction::Compaction;
use crate::fault::Fault;
use crate::files::Files;
use crate::frame::{self, Change, MOST_KEY};
use crate::recovery::{self, Standing};
use crate::room::{Room, Sync};
use crate::segmented_log::SegmentedLog;

/// What the store has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Bytes that callers wrote, as frames.
    pub written: u64,
    /// Bytes that compaction wrote.
    pub carried: u64,
    /// Segments that compaction removed.
    pub segments_retired: u64,
    /// Writes that had to wait for compaction to make room at once.
    pub forced: u64,
}

/// Keys and values in one folder.
pub struct Store<F: Files> {
    log: SegmentedLog<F>,
    compaction: Compaction,
    /// Bytes that callers wrote.
    written: u64,
}

impl<F: Files> Store<F> {
    /// Opens a folder, a new one too, and restores what stands in it or says why that cannot be.
    ///
    /// # Errors
    /// [`Fault::InUse`] beside another process; [`Fault::Damaged`], [`Fault::Missing`] and [`Fault::Newer`] with the
    /// folder as it was; [`Fault::Io`] as the files fail.
    pub fn open(files: F, room: Room) -> Result<(Self, Standing), Fault> {
        let recovered = recovery::open(files, room)?;
        let store = Store { log: recovered.log, compaction: Compaction::default(), written: 0 };
        Ok((store, recovered.standing))
    }

    /// Bytes that the folder takes.
    pub fn used(&self) -> u64 {
        self.log.used()
    }

    /// Bytes of what counts, and of the ends that it will take.
    pub fn live(&self) -> u64 {
        self.log.live()
    }

    /// Bytes that a value takes of [`Room::budget`], with its end.
    pub fn cost(key: &[u8], value: &[u8]) -> u64 {
        (frame::size(&[Change::Put(key, value)]) + frame::size(&[Change::End(key)])) as u64
    }

    /// The room that the store was opened with.
    pub fn room(&self) -> Room {
        self.log.room
    }

    /// Keys that stand for something.
    pub fn len(&self) -> usize {
        self.log.index.len()
    }

    /// No key stands for anything.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What the store has done since it was opened.
    pub fn effort(&self) -> Effort {
        Effort {
            written: self.written,
            carried: self.compaction.carried,
            segments_retired: self.compaction.segments_retired,
            forced: self.compaction.forced,
        }
    }

    /// Writes changes that count together or not at all. Ends always fit: room is kept for them.
    ///
    /// # Errors
    /// [`Fault::Full`] and [`Fault::TooLarge`] with nothing changed; [`Fault::Io`] as the disk fails, after which
    /// nothing of these changes counts and the next write may do; [`Fault::Unsure`] as a sync fails, after which these changes
    /// may count or not, and are synced with the next write or sync that succeeds if they do.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), Fault> {
        self.check_sizes(changes)?;
        self.admit(changes)?;
        self.log.tidy()?;
        self.compaction.replace_suspect(&mut self.log).map_err(Fault::unwritten)?;
        let size = frame::size(changes) as u64;
        self.compaction.make_room(&mut self.log, size)?;
        let place = self.log.append(changes)?;
        self.written += size;
        self.log.apply(changes.iter().copied(), place);
        match self.log.room.sync {
            Sync::Each => self.log.sync()?,
            Sync::Every(_) => self.log.unsynced = true,
            Sync::None => {}
        }
        // The write counts, whatever becomes of its share of cleaning: what stands in the way there is told by the
        // first write that finds no room.
        if let Err(fault) = self.compaction.share(&mut self.log, size) {
            log::warn!("store: code=compaction_put_off {fault}");
        }
        Ok(())
    }

    /// Whether the keys and the whole may be so large.
    fn check_sizes(&self, changes: &[Change]) -> Result<(), Fault> {
        if changes.iter().any(|change| change.key().len() > MOST_KEY) {
            return Err(Fault::TooLarge { wanted: MOST_KEY as u64 + 1, most: MOST_KEY as u64 });
        }
        let size = frame::size(changes) as u64;
        let most = self.log.room.most_change();
        if size > most {
            return Err(Fault::TooLarge { wanted: size, most });
        }
        Ok(())
    }

    /// Whether what will count afterwards, with its ends, still fits.
    fn admit(&self, changes: &[Change]) -> Result<(), Fault> {
        let more: i64 = changes.iter().map(|change| self.growth(change)).sum();
        let (live, budget) = (self.live(), self.log.room.budget());
        if more > 0 && live + more as u64 > budget {
            return Err(Fault::Full { wanted: more as u64, left: budget.saturating_sub(live) });
        }
        Ok(())
    }

    /// Bytes that a change adds to what counts, with its end.
    fn growth(&self, change: &Change) -> i64 {
        let before = self.log.index.size(change.key()) as i64;
        let end = frame::size(&[Change::End(change.key())]) as i64;
        match change {
            Change::Put(..) if before > 0 => frame::size(&[*change]) as i64 - before,
            Change::Put(..) => frame::size(&[*change]) as i64 + end,
            Change::End(_) if before > 0 => -before - end,
            Change::End(_) => 0,
        }
    }

    /// What was written until now outlives the power.
    ///
    /// # Errors
    /// [`Fault::Unsure`] as a sync fails: what was written since the last one that succeeded is written anew, into new files, by
    /// the next call that writes or syncs.
    pub fn sync(&mut self) -> Result<(), Fault> {
        self.compaction.replace_suspect(&mut self.log)?;
        self.log.sync()
    }

    /// Whether something waits for [`Store::sync`].
    pub fn wants_sync(&self) -> bool {
        self.log.unsynced
    }

    /// The value that a key stands for, read from the log and checked.
    ///
    /// # Errors
    /// [`Fault::Damaged`] where the log no longer holds what was read at the start.
    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        self.log.get(key)
    }

    /// The keys from one on, up to but without another, in order.
    pub fn keys<'a>(
        &'a self,
        from: &[u8],
        until: Option<&[u8]>,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, F> {
        self.log.index.range(from, until)
    }

    /// Cleans for about so many bytes read: a bounded part of compaction. Tells whether a segment went.
    ///
    /// # Errors
    /// As for [`Store::write`]. What counts stands in the log at every moment, once or twice.
    pub fn step(&mut self, bytes: u64) -> Result<bool, Fault> {
        self.compaction.step(&mut self.log, bytes)
    }
}
