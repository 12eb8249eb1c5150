//! What happens at a point of simulated time, and calls as these events know them.

use sailcart::Outcome;

use crate::plan::{OriginId, SenderId};
use crate::watcher::{CallId, GateId};

/// What happens at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client hands a packet in; `tries` earlier handings in were dismissed.
    HandIn { origin: OriginId, tries: u32 },
    /// A sender's round is due, if its life is still the one that asked for it.
    Round { sender: SenderId, life: u32 },
    /// A call's connection stands.
    Connected(CallId),
    /// A call gets no connection.
    NotConnected(CallId),
    /// A call's last byte has come to its receiver.
    Arrived(CallId),
    /// A call's answer has come back.
    Answered(CallId),
    /// A call is given up, unless it is over.
    GiveUp(CallId, Outcome),
    /// A sender hears of a change of the list, which the plan holds at this place.
    ListChange { sender: SenderId, change: usize },
    /// Clients no longer get through to a sender.
    StopTaking(SenderId),
    /// A sender dies without warning.
    Kill(SenderId),
    /// A sender starts, if it does not run.
    Start(SenderId),
    /// An outage begins at a receiver.
    OutageFrom(GateId),
    /// The figures of a second are taken.
    Sample,
}
