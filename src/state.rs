//! What a sender tracks of destinations, endpoints, calls and packets. These are plain records: what is
//! learned about an upstream, and every decision, is in `control`.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::host::{DestinationId, EndpointId, KindId, PacketId, RouteId};

/// The unit of rate limiting and health: a destination or, where each route has limits of its own, one route.
pub type UpstreamId = (DestinationId, Option<RouteId>);

/// An endpoint of a destination that had traffic.
pub struct Endpoint {
    pub upstream_id: UpstreamId,
    /// False once the endpoint drains or has left the list; calls to it may still be in flight.
    pub live: bool,
    pub kind: KindId,
    /// Maximum number of calls in flight to this endpoint.
    pub concurrency_limit: usize,
}

/// A destination that had traffic.
#[derive(Default)]
pub struct Destination {
    pub endpoints: BTreeSet<EndpointId>,
    pub upstreams: BTreeSet<UpstreamId>,
    /// Maximum number of packets per call.
    pub max_batch: usize,
    /// When a packet for this destination last entered the hold.
    pub last_held_at: Duration,
}

/// A call in flight.
pub struct Call {
    pub endpoint: EndpointId,
    pub upstream_id: UpstreamId,
    pub sent_at: Duration,
    /// The packets of this call that have no outcome yet.
    pub pending_packets: Vec<PacketId>,
    /// The outcome has been recorded for the upstream, which happens once per call.
    pub outcome_recorded: bool,
    /// The host has been asked to cancel the call.
    pub cancelled: bool,
}

/// The state of a packet. `Held` and `InFlight` contain the time at which the first dispatch that may have
/// executed was sent, if there is one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacketState {
    /// Waits for its next dispatch.
    Held(Option<Duration>),
    /// Dispatched in the call with this number.
    InFlight(u64, Option<Duration>),
    /// Withdrawn by its client during the call with this number; the client gets no answer.
    Withdrawn(u64),
    /// Completed by the outcome of a call.
    Completed,
    /// Rejected; the client may submit it again.
    Dismissed,
    /// Failed for good, or withdrawn by its client while held.
    Scrapped,
}
