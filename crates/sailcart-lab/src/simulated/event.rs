//! Events of the simulation.

use sailcart::Outcome;

use crate::plan::{PlannedPacketId, SenderId};
use crate::watcher::{CallId, UpstreamId};

/// Something that happens at a point of simulated time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submits a packet that has been resubmitted `resubmissions` times so far after a dismissal.
    Submit { planned_packet: PlannedPacketId, resubmissions: u32 },
    /// A round of a sender is due. It is ignored if the process that requested it has ended.
    Round { sender: SenderId, process_number: u32 },
    /// The connection of a call is established.
    Connected(CallId),
    /// A call could not be connected.
    ConnectFailed(CallId),
    /// The last byte of a call has arrived at its receiver.
    Arrived(CallId),
    /// The answer to a call has arrived at its sender.
    Answered(CallId),
    /// A call is aborted with this outcome, unless it has completed.
    AbortCall(CallId, Outcome),
    /// A sender receives a change of the list; `change` is its index in the plan.
    ListChange { sender: SenderId, change: usize },
    /// A sender stops accepting packets from clients.
    StopAccepting(SenderId),
    /// A sender process dies without warning.
    Kill(SenderId),
    /// A sender process starts, unless one is running.
    Start(SenderId),
    /// An outage begins at a receiver.
    OutageStarted(UpstreamId),
    /// The figures of the past second are sampled.
    Sample,
}
