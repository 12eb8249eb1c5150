//! Where each key's value stands in the log. Never written: it is read from the log at every start.

use std::collections::BTreeMap;
use std::ops::Bound;

/// The frame that holds a value, and which of its changes it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub segment: u64,
    pub offset: u64,
    pub length: u32,
    pub nth: u32,
}

#[derive(Default)]
pub(crate) struct Index {
    places: BTreeMap<Box<[u8]>, (Place, u32)>,
    /// Bytes that all values would take, each as a frame of its own.
    live: u64,
    /// Bytes that their ends will take.
    ends: u64,
}

impl Index {
    /// `size` is that of the value as a frame of its own, `end` that of its end.
    pub fn put(&mut self, key: &[u8], place: Place, size: u64, end: u64) {
        match self.places.get_mut(key) {
            Some((old, old_size)) => {
                self.live = self.live - u64::from(*old_size) + size;
                (*old, *old_size) = (place, size as u32);
            }
            None => {
                self.places.insert(key.into(), (place, size as u32));
                self.live += size;
                self.ends += end;
            }
        }
    }

    /// The same value stands elsewhere.
    pub fn moved(&mut self, key: &[u8], to: Place) {
        if let Some((place, _)) = self.places.get_mut(key) {
            *place = to;
        }
    }

    pub fn end(&mut self, key: &[u8], end: u64) {
        if let Some((_, size)) = self.places.remove(key) {
            self.live -= u64::from(size);
            self.ends -= end;
        }
    }

    pub fn get(&self, key: &[u8]) -> Option<Place> {
        self.places.get(key).map(|(place, _)| *place)
    }

    pub fn size(&self, key: &[u8]) -> u64 {
        self.places.get(key).map_or(0, |(_, size)| u64::from(*size))
    }

    pub fn range<'a>(
        &'a self,
        from: &[u8],
        until: Option<&[u8]>,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a> {
        let until = until.map_or(Bound::Unbounded, Bound::Excluded);
        self.places.range::<[u8], _>((Bound::Included(from), until)).map(|(key, _)| &**key)
    }

    pub fn live(&self) -> u64 {
        self.live
    }

    pub fn ends(&self) -> u64 {
        self.ends
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }
}
