//! What a sender keeps of destinations, endpoints, calls and keys. State, no decision: what is learned of a lane, and all that is
//! decided by it, stands in `control`.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::host::{DestinationId, EndpointId, KindId, PacketId};

/// A destination or, where routes have limits of their own, one route.
pub type LaneId = (DestinationId, Option<EndpointId>);

/// An endpoint of a destination that had traffic.
pub struct Endpoint {
    pub lane: LaneId,
    /// False once it drains or is gone: calls to it may still be out.
    pub live: bool,
    pub kind: KindId,
    /// Calls that it may have in flight.
    pub cap: usize,
}

/// A destination that had traffic.
#[derive(Default)]
pub struct Destination {
    pub endpoints: BTreeSet<EndpointId>,
    pub lanes: BTreeSet<LaneId>,
    /// Packets that one call carries at most.
    pub batch: usize,
    /// When a packet for it was last held.
    pub used: Duration,
}

/// A call that is out.
pub struct Call {
    pub endpoint: EndpointId,
    pub lane: LaneId,
    pub sent: Duration,
    /// Those without an outcome.
    pub packets: Vec<PacketId>,
    /// Its lane has learned from its outcome.
    pub judged: bool,
    /// It was called off.
    pub given_up: bool,
}

/// Where a packet stands. `Held` and `Out` say when the first dispatch that may have run was sent, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Held(Option<Duration>),
    /// In the call of this number.
    Out(u64, Option<Duration>),
    /// Its client took it back while a dispatch is out; nothing more is owed.
    Withdrawn(u64),
    Done,
    Dismissed,
    Scrapped,
}

/// The packets of one key in the order taken.
#[derive(Default)]
pub struct Turn {
    pub queue: VecDeque<PacketId>,
    /// None goes before.
    pub rests_until: Duration,
}
