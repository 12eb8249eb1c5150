//! A call on its way to an endpoint, and the interface to its owner.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::EndpointId;
use tokio::sync::Notify;

use crate::exchange::invariants::{Permit, Refusal};
use crate::memory::Packet;
use crate::wire::call::PacketOutcome;
use crate::wire::http::Head;

/// A call on its way to an endpoint.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub packets: Vec<Rc<Packet>>,
    /// Bounds the whole call, counted from `started_at`.
    pub timeout: Duration,
    pub started_at: Instant,
    /// When the call was permitted to send its first byte. Response times are counted from here, so that a
    /// slow connect does not count as a slow response.
    pub sent_at: Cell<Option<Instant>>,
    /// Signalled to cancel the call.
    pub cancelled: Rc<Notify>,
}

/// The owner of calls. It permits each call before its first byte is sent, and receives the outcome.
pub trait CallOwner {
    /// Waits until a call may be sent in the order of its packets' keys, or it has timed out or was
    /// cancelled.
    fn wait_for_key_order(&self, call: &Call) -> impl Future<Output = ()>;

    /// Decides, once a call is connected and before its first byte is sent, whether it may still be sent. If
    /// so, it has been recorded in the journal.
    fn permit(&self, call: &Call) -> Result<Permit, Refusal>;

    /// Whether an endpoint is still listed and live.
    fn is_listed(&self, endpoint: EndpointId) -> bool;

    /// Receives the outcome of each of the call's packets, and the head of the response, which may report a
    /// limit.
    fn call_completed(&self, call: &Call, outcomes: &[PacketOutcome], head: Option<&Head>);
}
