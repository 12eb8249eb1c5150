//! A packet as one handing in makes it; a client that hands in again makes another.

use std::time::Duration;

use sailcart::PacketId;

use crate::plan::{OriginId, SenderId};
use crate::watcher::{CallId, End};

/// A packet as handed in once.
pub struct Submission {
    pub origin: OriginId,
    pub sender: SenderId,
    /// How often it was handed in before, under other numbers.
    pub tries: u32,
    /// When it was handed in.
    pub handed: Duration,
    /// When its patience ends.
    pub ends: Duration,
    /// How often it was dispatched.
    pub dispatches: u32,
    /// Since when it may have run without its sender knowing, if it may.
    pub doubt: Option<Duration>,
    /// The call that it travels with, if it does.
    pub call: Option<CallId>,
    /// Its client has heard.
    pub answered: bool,
    /// How it ended, if it has.
    pub end: Option<End>,
}

impl Submission {
    /// A packet that a sender is being handed now.
    pub fn new(origin: OriginId, sender: SenderId, tries: u32, handed: Duration, ends: Duration) -> Self {
        Submission {
            origin,
            sender,
            tries,
            handed,
            ends,
            dispatches: 0,
            doubt: None,
            call: None,
            answered: false,
            end: None,
        }
    }

    /// The call of a certain dispatch, numbered from zero, while that is the last one and out.
    pub fn call_of(&self, dispatch: u32) -> Option<CallId> {
        self.call.filter(|_| self.dispatches == dispatch + 1)
    }
}

/// How a packet ended.
pub struct Ended {
    pub packet: PacketId,
    pub end: End,
    /// For how long its client is asked to wait before it hands in again.
    pub retry_after: Option<Duration>,
}
