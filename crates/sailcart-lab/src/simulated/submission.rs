//! One submission of a packet; a client that resubmits creates another submission with a new packet id.

use std::time::Duration;

use sailcart::PacketId;

use crate::plan::{PlannedPacketId, SenderId};
use crate::watcher::{CallId, CompletionKind};

/// A packet as submitted once to one sender.
pub struct Submission {
    pub planned_packet: PlannedPacketId,
    pub sender: SenderId,
    /// Number of earlier submissions of the same planned packet that were dismissed.
    pub resubmissions: u32,
    pub submitted_at: Duration,
    pub deadline: Duration,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// When the first dispatch that may have been executed was written, if any.
    pub possibly_executed_at: Option<Duration>,
    /// The call that carries the packet, while one is in flight.
    pub call: Option<CallId>,
    /// Whether its client has received an answer.
    pub answered: bool,
    /// The way in which it completed, if it has.
    pub completion: Option<CompletionKind>,
}

impl Submission {
    /// Creates a submission to a sender.
    pub fn new(
        planned_packet: PlannedPacketId,
        sender: SenderId,
        resubmissions: u32,
        submitted_at: Duration,
        deadline: Duration,
    ) -> Self {
        Submission {
            planned_packet,
            sender,
            resubmissions,
            submitted_at,
            deadline,
            dispatches: 0,
            possibly_executed_at: None,
            call: None,
            answered: false,
            completion: None,
        }
    }

    /// The call of a dispatch, numbered from 0, if it is the latest dispatch and in flight.
    pub fn call_of(&self, dispatch: u32) -> Option<CallId> {
        self.call.filter(|_| self.dispatches == dispatch + 1)
    }
}

/// The completion of a packet.
pub struct Completion {
    pub packet: PacketId,
    pub kind: CompletionKind,
    /// Time that the client is asked to wait before it resubmits.
    pub retry_after: Option<Duration>,
}
