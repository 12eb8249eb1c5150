//! The state that the sender holds between rounds: accepted packets and pending notices with their journal in
//! the state folder, the record of the list in force, scheduled rounds, and idle connections to endpoints.

pub mod backlog;
pub mod closed_files;
pub mod format1;
pub mod ledger;
pub mod list_record;
pub mod moment;
pub mod pool;
pub mod records;
pub mod scheduled_rounds;
pub mod unacknowledged;

use std::time::Duration;

use sailcart::{DestinationId, PacketId};

use self::moment::Moment;

/// A packet as its client submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// Assigned by this sender in the order of acceptance.
    pub number: PacketId,
    /// Chosen by the client.
    pub id: Box<str>,
    pub category: Box<str>,
    pub customer: Option<Box<str>>,
    /// The idempotency key that endpoints receive with each dispatch.
    pub idempotency_key: Option<Box<str>>,
    /// The key whose packets are dispatched in order of acceptance, in categories with ordered delivery.
    pub order_key: Option<Box<str>>,
    pub destination: DestinationId,
    /// The end of the patience that the client requested.
    pub deadline: Moment,
    pub body: Box<[u8]>,
}

/// The dispatch state of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DispatchState {
    /// The number of dispatches so far.
    pub dispatches: u32,
    /// When the first dispatch that may have executed was sent.
    pub possibly_executed_at: Option<Moment>,
    /// When the dispatch in flight was sent.
    pub in_flight_since: Option<Moment>,
}

/// Whether a dispatch that has completed was executed by its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Not one byte of its call was sent.
    NotSent,
    /// The endpoint has not executed it and never will.
    NotExecuted,
    /// It was executed, may have been, or may still be.
    Possible,
}

impl DispatchState {
    /// The state once a dispatch sent at `sent_at` is in flight. One that was in flight before was sent by a
    /// previous process: its outcome stays unknown.
    pub fn after_dispatch(self, sent_at: Moment) -> DispatchState {
        DispatchState {
            dispatches: self.dispatches + 1,
            possibly_executed_at: self.possibly_executed_at.or(self.in_flight_since),
            in_flight_since: Some(sent_at),
        }
    }

    /// The state once the dispatch in flight, sent at `sent_at`, has completed.
    pub fn after_outcome(self, sent_at: Moment, execution: Execution) -> DispatchState {
        let possibly_executed = (execution == Execution::Possible).then_some(sent_at);
        DispatchState {
            dispatches: self.dispatches.saturating_sub(u32::from(execution == Execution::NotSent)),
            possibly_executed_at: self.possibly_executed_at.or(possibly_executed),
            in_flight_since: None,
        }
    }
}

/// Notifies the platform of a packet that completed without being delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The packet may be submitted again, after the wait if there is one.
    Dismissed(Option<Duration>),
    /// The packet failed; it must not be submitted again.
    Scrapped,
}
