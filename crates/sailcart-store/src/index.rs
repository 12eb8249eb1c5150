//! The in-memory index: where in the log the value of each key is. It is never written to disk, but rebuilt
//! from the log at every start.

use std::collections::BTreeMap;
use std::ops::Bound;

/// Where a value is stored: the frame, and which of the frame's changes puts the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// Number of the segment.
    pub segment: u64,
    /// Offset of the frame in the segment, in bytes.
    pub offset: u64,
    /// Length of the frame in bytes, header included.
    pub length: u32,
    /// Position of the change within the frame, from 0.
    pub change_index: u32,
}

/// Ordered map from keys to the locations of their values, with the size of the live data.
#[derive(Default)]
pub(crate) struct Index {
    /// Location of each value, and its size in bytes as a frame of its own.
    entries: BTreeMap<Box<[u8]>, (Location, u32)>,
    /// Bytes of all values, each counted as a frame of its own.
    value_bytes: u64,
    /// Bytes of the tombstones that will delete them.
    tombstone_bytes: u64,
}

impl Index {
    /// Sets the location of a key's value. `value_size` and `tombstone_size` count the bytes of the value and
    /// of its tombstone, each as a frame of its own.
    pub fn put(&mut self, key: &[u8], location: Location, value_size: u64, tombstone_size: u64) {
        match self.entries.get_mut(key) {
            Some((old, old_size)) => {
                self.value_bytes = self.value_bytes - u64::from(*old_size) + value_size;
                (*old, *old_size) = (location, value_size as u32);
            }
            None => {
                self.entries.insert(key.into(), (location, value_size as u32));
                self.value_bytes += value_size;
                self.tombstone_bytes += tombstone_size;
            }
        }
    }

    /// Records that the same value has been copied to another location.
    pub fn relocate(&mut self, key: &[u8], to: Location) {
        if let Some((location, _)) = self.entries.get_mut(key) {
            *location = to;
        }
    }

    /// Removes a key, if it has a value. `tombstone_size` must be the one that was passed to [`Index::put`].
    pub fn remove(&mut self, key: &[u8], tombstone_size: u64) {
        if let Some((_, value_size)) = self.entries.remove(key) {
            self.value_bytes -= u64::from(value_size);
            self.tombstone_bytes -= tombstone_size;
        }
    }

    pub fn get(&self, key: &[u8]) -> Option<Location> {
        self.entries.get(key).map(|(location, _)| *location)
    }

    /// Bytes of a key's value as a frame of its own; 0 for an unknown key.
    pub fn value_size(&self, key: &[u8]) -> u64 {
        self.entries.get(key).map_or(0, |(_, value_size)| u64::from(*value_size))
    }

    /// The keys from `from` (inclusive) to `until` (exclusive), in ascending order.
    pub fn range<'a>(
        &'a self,
        from: &[u8],
        until: Option<&[u8]>,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a> {
        let until = until.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range::<[u8], _>((Bound::Included(from), until)).map(|(key, _)| &**key)
    }

    pub fn value_bytes(&self) -> u64 {
        self.value_bytes
    }

    pub fn tombstone_bytes(&self) -> u64 {
        self.tombstone_bytes
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
