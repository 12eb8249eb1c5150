//! A call on its way to an endpoint, and what its owner is asked and told meanwhile.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::EndpointId;
use tokio::sync::Notify;

use crate::exchange::guard::{Permit, Refusal};
use crate::memory::Packet;
use crate::wire::call::Ending;
use crate::wire::http::Head;

/// A call on its way to an endpoint.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub packets: Vec<Rc<Packet>>,
    pub time_out: Duration,
    pub start: Instant,
    /// When its first byte went: a connection that comes up late is no slow answer.
    pub sent: Cell<Option<Instant>>,
    pub called_off: Rc<Notify>,
}

/// Who handed out a call: asked before it goes, and told what came of it.
pub trait CallOwner {
    /// Waits until a call may go in the order of its packets' keys, or its time is up, or it is called off.
    fn turn_comes(&self, call: &Call) -> impl Future<Output = ()>;

    /// Asked when a call's connection stands, before its first byte: whether it may still go. If so, the
    /// journal has it.
    fn permit(&self, call: &Call) -> Result<Permit, Refusal>;

    /// Whether an endpoint is still listed, and live.
    fn lists(&self, endpoint: EndpointId) -> bool;

    /// A call came back, with how each of its packets fared and perhaps what its answer tells of a limit.
    fn came_back(&self, call: &Call, endings: &[Ending], head: Option<&Head>);
}
