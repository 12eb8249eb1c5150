//! Divides the memory limit of a process among everything that its peers can make it hold, and decides how
//! connections share that of client input and whose is discarded when it is used up.
//!
//! The shares add up to the limit. Each consumer keeps its own by counting the bytes that it has allocated.

use std::time::Duration;

/// Memory of a process without peers, in bytes.
const PROCESS_BYTES: u64 = 3_000_000;
/// Memory for an open connection of any kind, without the input and output that it holds, in bytes.
const BYTES_PER_CONNECTION: u64 = 4096;
/// Memory for a response that is being read, with the buffer in which its head is collected, in bytes.
const BYTES_PER_RESPONSE: u64 = 104 * 1024;
/// Memory for the calls with notices that may be in flight at once, in bytes.
const NOTICE_CALLS_BYTES: u64 = 512 * 1024;

/// The part of the state folder that records the list in force.
const LIST_RECORD_DIVISOR: u64 = 16;

/// The resource limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, including the files of the state folder, in bytes.
    pub memory_bytes: u64,
    /// Size of the state folder, in bytes.
    pub disk_bytes: u64,
    /// Number of file descriptors.
    pub descriptors: u64,
    /// Number of calls that may be in flight at once.
    pub slots: u64,
}

/// The share of each consumer of memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The process without peers.
    pub process: u64,
    /// Open connections, without the input and output that they hold.
    pub connections: u64,
    /// The files of the journal.
    pub journal: u64,
    /// The files of the record of the list in force, and their index.
    pub list_record: u64,
    /// Packets that are held, and the requests that carry them.
    pub packets: u64,
    /// Responses to calls.
    pub responses: u64,
    /// Responses that belong to no call in flight.
    pub extra_responses: u64,
    /// Commands that clients have not sent completely.
    pub client_input: u64,
    /// Replies that clients have not read.
    pub replies: u64,
    /// Delivered packets that may have to be dispatched again.
    pub unconfirmed_deliveries: u64,
    /// Calls with notices.
    pub notices: u64,
    /// Ids of completed packets.
    pub completed_ids: u64,
    /// Endpoints listed by discovery.
    pub lists: u64,
    /// Memory that the allocator keeps of what was freed.
    pub allocator: u64,
}

impl MemoryBudget {
    /// Divides the memory. Lists get what the others leave, three eighths at most. Memory that is too small for the
    /// fixed shares cannot be divided: lists get three eighths there, and the shares exceed the limit.
    pub fn new(limits: ProcessLimits) -> MemoryBudget {
        let memory = limits.memory_bytes;
        let disk = limits.disk_bytes.min(memory / 8);
        let list_record = disk / LIST_RECORD_DIVISOR;
        let journal = disk - list_record;
        let mut budget = MemoryBudget {
            process: PROCESS_BYTES,
            connections: limits.descriptors * BYTES_PER_CONNECTION,
            journal,
            list_record: list_record * 2,
            // The journal accepts packets up to half of its size; a request contains them in Base64 at most.
            packets: journal / 2 + journal * 2 / 3,
            responses: limits.slots * BYTES_PER_RESPONSE,
            extra_responses: memory / 16,
            client_input: memory / 8,
            replies: memory / 32,
            unconfirmed_deliveries: memory / 32,
            notices: NOTICE_CALLS_BYTES,
            completed_ids: memory / 64,
            lists: 0,
            allocator: memory / 8,
        };
        let largest = memory * 3 / 8;
        let left = memory.saturating_sub(budget.total()).min(largest);
        budget.lists = if left < memory / 16 { largest } else { left };
        budget
    }

    /// Each share with its name.
    pub fn shares(&self) -> [(&'static str, u64); 14] {
        [
            ("process", self.process),
            ("connections", self.connections),
            ("journal", self.journal),
            ("list record", self.list_record),
            ("packets", self.packets),
            ("responses", self.responses),
            ("extra responses", self.extra_responses),
            ("client input", self.client_input),
            ("replies", self.replies),
            ("unconfirmed deliveries", self.unconfirmed_deliveries),
            ("notices", self.notices),
            ("completed ids", self.completed_ids),
            ("lists", self.lists),
            ("allocator", self.allocator),
        ]
    }

    /// Sum of all shares, in bytes.
    pub fn total(&self) -> u64 {
        self.shares().iter().map(|(_, bytes)| bytes).sum()
    }

    /// Size of the files of the record of the list in force, in bytes.
    pub fn list_record_files(&self) -> u64 {
        self.list_record / 2
    }

    /// Number of responses that may be read at once while no call is waiting for them.
    pub fn max_extra_responses(&self) -> usize {
        (self.extra_responses / BYTES_PER_RESPONSE).max(1) as usize
    }
}

/// How many of the free chunks of input a connection may take, if so many of all chunks are free. The first chunk of
/// each connection is reserved for it, in at most half of all chunks: clients that send at full speed leave others
/// the memory for a command.
pub fn chunks_for_input(free: usize, total: usize, others_without_input: usize, has_input: bool) -> usize {
    let reserved = others_without_input.min(total / 2);
    let unreserved = free.saturating_sub(reserved);
    if has_input { unreserved } else { unreserved.max(free.min(1)) }
}

/// A pause in a client's input that the network or a busy machine may cause.
const INPUT_PAUSE: Duration = Duration::from_millis(100);

/// A command of which a client has sent only a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteCommand<Id> {
    /// The connection.
    pub id: Id,
    /// How long the client has sent nothing: zero while something that it has sent waits to be read.
    pub silent_for: Duration,
    /// Time since the first byte of the command.
    pub received_for: Duration,
}

/// Whose incomplete command is discarded when its memory is needed: that of the client that has sent nothing for the
/// longest time. Of clients that have hardly paused, it is the one that has been sending its command for the longest
/// time: how long their input waits to be read depends on the sender, not on them.
pub fn input_to_discard<Id>(candidates: impl Iterator<Item = IncompleteCommand<Id>>) -> Option<Id> {
    let order = |command: &IncompleteCommand<Id>| {
        (command.silent_for.saturating_sub(INPUT_PAUSE), command.received_for)
    };
    candidates.max_by_key(order).map(|command| command.id)
}
