//! A share of the process's memory that is kept by counting the bytes that are reserved from it.

use std::cell::Cell;
use std::rc::Rc;

/// A bounded number of bytes. Clones count together.
#[derive(Clone, Debug)]
pub struct MemoryShare {
    reserved: Rc<Cell<usize>>,
    max_bytes: usize,
}

/// Bytes of a [`MemoryShare`], released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    share: MemoryShare,
    bytes: usize,
}

impl MemoryShare {
    /// A share of `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        MemoryShare { reserved: Rc::default(), max_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX) }
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Reserves bytes if as many are left.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let fits = bytes <= self.max_bytes.saturating_sub(self.reserved.get());
        fits.then(|| self.reserve_unchecked(bytes))
    }

    /// Reserves bytes even if fewer are left.
    pub fn reserve_unchecked(&self, bytes: usize) -> Reservation {
        self.reserved.set(self.reserved.get() + bytes);
        Reservation { share: self.clone(), bytes }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.share.reserved.set(self.share.reserved.get() - self.bytes);
    }
}
