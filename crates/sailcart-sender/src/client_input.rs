//! Input of clients that has been received and is not processed yet, in chunks of equal size. All connections share
//! a bounded number of chunks, so that the memory does not depend on how many clients stop where.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use sailcart::memory_budget::chunks_for_input;

/// Size of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 4096;
/// Least number of chunks: a command of the largest size and one read.
const MIN_CHUNKS: u64 = 32;
/// Number of unused chunks that are kept for reuse.
const MAX_FREE_CHUNKS: usize = 256;

type Chunk = Box<[u8]>;

/// The chunks of all connections.
pub struct ChunkPool {
    free: RefCell<Vec<Chunk>>,
    /// Number of chunks in use.
    used: Cell<usize>,
    /// Number of connections that have any in use.
    holders: Cell<usize>,
    max_chunks: usize,
}

impl ChunkPool {
    /// A pool whose chunks, in use or kept for reuse, take up to `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        let max_chunks = (max_bytes / CHUNK_BYTES as u64).max(MIN_CHUNKS) as usize;
        ChunkPool { free: RefCell::default(), used: Cell::new(0), holders: Cell::new(0), max_chunks }
    }

    /// Bytes of the chunks in use.
    pub fn used_bytes(&self) -> usize {
        self.used.get() * CHUNK_BYTES
    }

    /// Number of bytes that a connection with this input may store in addition, of so many connections that are open.
    pub fn room_for(&self, input: &PendingInput, open_connections: usize) -> usize {
        let (free, has_input) = (self.max_chunks - self.used.get(), !input.is_empty());
        let others = open_connections.saturating_sub(self.holders.get() + usize::from(!has_input));
        let chunks = chunks_for_input(free, self.max_chunks, others, has_input);
        input.chunks.len() * CHUNK_BYTES - input.length + chunks * CHUNK_BYTES
    }

    fn take(&self) -> Option<Chunk> {
        if self.used.get() >= self.max_chunks {
            return None;
        }
        self.used.set(self.used.get() + 1);
        let free = self.free.borrow_mut().pop();
        Some(free.unwrap_or_else(|| vec![0; CHUNK_BYTES].into_boxed_slice()))
    }

    fn put_back(&self, chunks: impl Iterator<Item = Chunk>) {
        let mut free = self.free.borrow_mut();
        for chunk in chunks {
            self.used.set(self.used.get() - 1);
            if free.len() < MAX_FREE_CHUNKS.min(self.max_chunks) {
                free.push(chunk);
            }
        }
    }
}

/// The input of one connection that is not processed yet.
pub struct PendingInput {
    chunks: Vec<Chunk>,
    /// Number of bytes.
    length: usize,
    /// Number of bytes from which on the input may contain a complete command.
    parseable_length: usize,
    last_received_at: Instant,
    was_discarded: bool,
}

impl PendingInput {
    /// No input.
    pub fn new() -> Self {
        PendingInput {
            chunks: Vec::new(),
            length: 0,
            parseable_length: 1,
            last_received_at: Instant::now(),
            was_discarded: false,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no input.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether the input was [discarded](Self::discard).
    pub fn was_discarded(&self) -> bool {
        self.was_discarded
    }

    /// Whether the input may contain a complete command.
    pub fn may_be_complete(&self) -> bool {
        self.length >= self.parseable_length
    }

    /// The least number of bytes without which no command is complete.
    pub fn missing_bytes(&self) -> usize {
        self.parseable_length.saturating_sub(self.length)
    }

    /// Records that a command is complete only with so many more bytes.
    pub fn expect_more(&mut self, missing: usize) {
        self.parseable_length = self.length + missing.max(1);
    }

    /// Time since input was last received.
    pub fn silent_for(&self) -> Duration {
        self.last_received_at.elapsed()
    }

    /// Appends received bytes. Returns how many: fewer than all if the pool has no chunk left.
    pub fn append(&mut self, pool: &ChunkPool, mut bytes: &[u8]) -> usize {
        let total = bytes.len();
        self.last_received_at = Instant::now();
        while !bytes.is_empty() {
            let offset = self.length % CHUNK_BYTES;
            if offset == 0 {
                let Some(chunk) = pool.take() else { break };
                if self.chunks.is_empty() {
                    pool.holders.set(pool.holders.get() + 1);
                }
                self.chunks.push(chunk);
            }
            let Some(chunk) = self.chunks.last_mut() else { break };
            let (now, later) = bytes.split_at(bytes.len().min(CHUNK_BYTES - offset));
            chunk[offset..offset + now.len()].copy_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
        total - bytes.len()
    }

    /// Copies all input to a buffer, which is cleared first.
    pub fn copy_to(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        let mut left = self.length;
        for chunk in &self.chunks {
            let length = left.min(CHUNK_BYTES);
            buffer.extend_from_slice(&chunk[..length]);
            left -= length;
        }
    }

    /// Replaces the input by its end, which needs no more chunks than it had.
    pub fn retain_end(&mut self, pool: &ChunkPool, end: &[u8]) {
        self.clear(pool);
        self.append(pool, end);
    }

    /// Removes all input.
    pub fn clear(&mut self, pool: &ChunkPool) {
        if !self.chunks.is_empty() {
            pool.holders.set(pool.holders.get() - 1);
        }
        pool.put_back(std::mem::take(&mut self.chunks).into_iter());
        self.length = 0;
        self.parseable_length = 1;
    }

    /// Removes all input, as its memory is needed: the connection can no longer be read.
    pub fn discard(&mut self, pool: &ChunkPool) {
        self.clear(pool);
        self.was_discarded = true;
    }
}

impl Default for PendingInput {
    fn default() -> Self {
        Self::new()
    }
}
