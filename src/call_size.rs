//! Bounds calls with several packets by number and by size: an endpoint rejects a larger call as a whole.

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The brackets around the entries of a call, in bytes.
const BRACKETS_BYTES: usize = 2;
/// What separates two entries of a call, in bytes.
const SEPARATOR_BYTES: usize = 1;

/// The size of a call that is being put together.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallSize {
    packets: usize,
    body_bytes: usize,
}

impl CallSize {
    /// Adds a packet whose entry takes this many bytes, if a call of up to `max_packets` has room for it. The first
    /// packet always has: alone, it is sent without an entry.
    pub fn try_add(&mut self, entry_bytes: usize, max_packets: usize) -> bool {
        let framing = if self.packets == 0 { BRACKETS_BYTES } else { SEPARATOR_BYTES };
        let body_bytes = self.body_bytes + framing + entry_bytes;
        let has_room = self.packets < max_packets && body_bytes <= MAX_BODY_BYTES;
        if has_room || self.packets == 0 {
            *self = CallSize { packets: self.packets + 1, body_bytes };
            return true;
        }
        false
    }
}
