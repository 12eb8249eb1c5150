//! Compaction, in bounded steps: the log is a circle that is cleaned at its old end. What still counts in the oldest
//! segment is appended anew, then the manifest names the next one as the first, then the file goes. So an end in the
//! oldest segment has nothing before it that it could hide, and may go with it.

use crate::fault::Fault;
use crate::files::Files;
use crate::frame::{self, Change};
use crate::index::Place;
use crate::manifest;
use crate::room::{BLOCK, SEGMENTS};
use crate::segment::{self, HEAD, Step, Walk};
use crate::segmented_log::SegmentedLog;

/// The least that a write spends on compaction when there is some to do, in bytes.
const LEAST_STEP: u64 = 4096;
/// Turns of the circle after which cleaning that frees nothing has nothing more to free.
const IDLE_TURNS: u64 = 4;
/// The target of this module's log lines, by which operators filter them.
const LOG_TARGET: &str = "sailcart_store::store";

/// How far the oldest segment is cleaned, and what compaction has done since the store was opened.
#[derive(Default)]
pub(crate) struct Compaction {
    /// Where in the oldest segment the next step goes on; at its beginning without one.
    walk: Option<Walk>,
    /// Bytes that it wrote.
    pub carried: u64,
    /// Segments that it removed.
    pub segments_retired: u64,
    /// Writes that had to wait for it to make room at once.
    pub forced: u64,
}

impl Compaction {
    /// Where there is much that does not count, a write also cleans, in step with its own size.
    pub fn share<F: Files>(&mut self, log: &mut SegmentedLog<F>, size: u64) -> Result<(), Fault> {
        let used = log.used();
        if !worth_cleaning(log, used) {
            return Ok(());
        }
        // What one cleaned byte frees falls as more of it counts; twice that keeps ahead.
        let dead = used.saturating_sub(log.live()).max(1);
        let spent = (size.saturating_mul(2).saturating_mul(used) / dead).max(LEAST_STEP);
        self.step(log, spent).map(|_| ())
    }

    /// Guards against a folder above its room: where a write would not fit, cleaning makes room first.
    pub fn make_room<F: Files>(&mut self, log: &mut SegmentedLog<F>, size: u64) -> Result<(), Fault> {
        // What cleaning itself may need: a new segment for what counts in the oldest, and its manifest.
        let own = log.room.segment() + BLOCK * 4;
        if log.used() + size + own > log.room.bytes {
            self.forced += 1;
        }
        let (mut least, mut idle) = (log.used(), 0);
        while log.used() + size + own > log.room.bytes {
            self.step(log, log.room.segment())?;
            idle = if log.used() < least { 0 } else { idle + 1 };
            least = least.min(log.used());
            if idle > IDLE_TURNS * SEGMENTS {
                let left = log.room.bytes.saturating_sub(log.used() + own);
                return Err(Fault::Full { wanted: size, left });
            }
        }
        Ok(())
    }

    /// After a failed sync: what counts in the suspect segments is written anew, from the oldest on, and they go. Until then nothing
    /// is answered for.
    pub fn replace_suspect<F: Files>(&mut self, log: &mut SegmentedLog<F>) -> Result<(), Fault> {
        let Some(suspect) = log.suspect() else { return Ok(()) };
        log.leave_suspect()?;
        while log.oldest().is_some_and(|oldest| oldest.segment <= suspect) {
            self.step(log, log.room.segment())?;
        }
        log.sync()?;
        log.trust();
        Ok(())
    }

    /// Cleans for about so many bytes read. Tells whether a segment went.
    pub fn step<F: Files>(&mut self, log: &mut SegmentedLog<F>, bytes: u64) -> Result<bool, Fault> {
        let Some(oldest) = log.oldest() else { return Ok(false) };
        if log.segments.len() == 1 {
            if oldest.length == HEAD as u64 {
                return Ok(false);
            }
            log.roll()?;
        }
        let mut walk = self.walk.take().unwrap_or_else(|| Walk::new(HEAD as u64, oldest.length));
        let until = walk.offset + bytes;
        while walk.offset < until {
            let Some(segment) = log.segments.get(&oldest.segment) else { break };
            let name = segment::name(oldest.segment);
            let step = walk.next(&mut log.files, &segment.file).map_err(Fault::io("reading", &name))?;
            match step {
                Step::Frame(at) => {
                    if let Err(fault) = self.carry(log, oldest.segment, at, &walk) {
                        // This frame is looked at again.
                        self.walk = Some(Walk::new(at, oldest.length));
                        return Err(fault);
                    }
                }
                Step::End => return self.retire(log, oldest.segment).map(|()| true),
                Step::Stuck(_) => {
                    let expected = "the record that was read at the start";
                    return Err(Fault::Damaged { file: name, offset: walk.offset, expected });
                }
            }
        }
        self.walk = Some(walk);
        Ok(false)
    }

    /// What still counts of a frame is appended anew.
    fn carry<F: Files>(
        &mut self,
        log: &mut SegmentedLog<F>,
        number: u64,
        at: u64,
        walk: &Walk,
    ) -> Result<(), Fault> {
        for (nth, change) in frame::changes(walk.body(at)).flatten().enumerate() {
            let Change::Put(key, _) = change else { continue };
            let here =
                |place: &Place| place.segment == number && place.offset == at && place.nth == nth as u32;
            if log.index.get(key).as_ref().is_some_and(here) {
                let place = log.append(&[change])?;
                log.index.moved(key, place);
                log.unsynced |= log.room.is_durable();
                self.carried += u64::from(place.length);
            }
        }
        Ok(())
    }

    /// The oldest segment holds nothing that counts: the manifest says so, then it goes.
    fn retire<F: Files>(&mut self, log: &mut SegmentedLog<F>, oldest: u64) -> Result<(), Fault> {
        let durable = log.room.is_durable();
        if durable {
            log.sync()?;
        }
        manifest::write(&mut log.files, oldest + 1, durable)?;
        log.retire(oldest);
        self.segments_retired += 1;
        if log.left_over.contains(&oldest) {
            log::warn!(target: LOG_TARGET, "store: code=not_removed {}", segment::name(oldest));
        }
        Ok(())
    }
}

fn worth_cleaning<F: Files>(log: &SegmentedLog<F>, used: u64) -> bool {
    used > log.room.bytes / 2 || used > log.live() * 4 + log.room.segment() * 4
}
