//! Options of a store: how many bytes its folder may hold and when writes are synced to disk, with the size
//! limits that follow from them.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::segment::SEGMENT_HEADER_BYTES;

/// File lengths are rounded up to whole blocks of this size.
pub(crate) const BLOCK_BYTES: u64 = 512;
/// The capacity divided by this gives the segment size, within [`SEGMENT_BYTES`].
pub(crate) const SEGMENTS_PER_STORE: u64 = 8;
/// Smallest and largest segment size.
const SEGMENT_BYTES: RangeInclusive<u64> = 4096..=(64 << 20);
/// Segments kept free beyond the live data: the one being written, the one being compacted, and one for
/// rounding to blocks.
const SPARE_SEGMENTS: u64 = 3;

/// When written data must be durable, that is, survive a power loss. A killed process (SIGKILL) loses nothing
/// under any policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncPolicy {
    /// Never synced. For a folder that is lost together with its machine, or a machine that does not lose
    /// power.
    #[default]
    None,
    /// Synced before [`Store::write`](crate::Store::write) returns.
    EachWrite,
    /// Synced by [`Store::sync`](crate::Store::sync), which the caller commits to calling at this interval.
    /// One sync covers all writes since the previous one (group commit).
    Interval(Duration),
}

/// Capacity and durability of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    /// Maximum total size of all files in bytes, each file rounded up to blocks of 512 bytes.
    pub capacity_bytes: u64,
    /// When written data must be durable.
    pub sync: SyncPolicy,
}

impl StoreOptions {
    /// Segment size in bytes: a write that would exceed it starts a new segment.
    pub(crate) fn segment_bytes(&self) -> u64 {
        (self.capacity_bytes / SEGMENTS_PER_STORE).clamp(*SEGMENT_BYTES.start(), *SEGMENT_BYTES.end())
    }

    /// Whether files are synced at all, that is, whether the store must survive a power loss.
    pub(crate) fn is_durable(&self) -> bool {
        self.sync != SyncPolicy::None
    }

    /// Maximum size of the live data in bytes, including the tombstones that will delete it.
    pub fn max_live_bytes(&self) -> u64 {
        let spare = SPARE_SEGMENTS * (self.segment_bytes() + BLOCK_BYTES) + 2 * BLOCK_BYTES;
        self.capacity_bytes.saturating_sub(spare)
    }

    /// Maximum size of one write in bytes as a frame: one that fills a segment.
    pub fn max_write_bytes(&self) -> u64 {
        (self.segment_bytes() - SEGMENT_HEADER_BYTES as u64).min(self.max_live_bytes())
    }
}

/// Rounds a file length in bytes up to whole blocks.
pub(crate) fn round_up_to_blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}
