//! How much a folder may hold, and when what was written must be on the disk.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::segment::HEAD;

/// Files are counted in whole blocks of so many bytes.
pub(crate) const BLOCK: u64 = 512;
/// A segment is this part of the room.
pub(crate) const SEGMENTS: u64 = 8;
/// Bytes of a segment at least and at most.
const SEGMENT: RangeInclusive<u64> = 4096..=(64 << 20);
/// Segments' worth of room beyond what counts: the one written to, the one being cleaned, and what rounding takes.
const SPARE: u64 = 3;

/// When what was written must outlive the power. SIGKILL loses nothing in any case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// Never asked for: the folder is lost with the machine, or the machine is not.
    #[default]
    None,
    /// Before [`Store::write`](crate::Store::write) returns.
    Each,
    /// By [`Store::sync`](crate::Store::sync), which its caller promises to call so often; one for all that was
    /// written meanwhile.
    Every(Duration),
}

/// How much the folder may hold.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes over all files, each counted in whole 512.
    pub bytes: u64,
    /// When what was written must outlive the power.
    pub sync: Sync,
}

impl Room {
    /// Bytes of a segment, from which on a new one begins.
    pub(crate) fn segment(&self) -> u64 {
        (self.bytes / SEGMENTS).clamp(*SEGMENT.start(), *SEGMENT.end())
    }

    /// Whether this store is meant for machines that lose power.
    pub(crate) fn is_durable(&self) -> bool {
        self.sync != Sync::None
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

/// Bytes that a file of this length takes, in whole blocks.
pub(crate) fn blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK) * BLOCK
}
