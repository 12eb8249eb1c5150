//! A call on its way to an endpoint, and the interface to its owner.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::response_doubt::ConnectionChoice;
use sailcart::response_matching::{Attribution, Candidates};
use sailcart::{EndpointId, Outcome, PacketId};
use tokio::sync::Notify;

use crate::exchange::invariants::{Permit, Refusal};
use crate::memory::Packet;
use crate::memory::ledger::RecordedDispatch;
use crate::response::Response;
use crate::wire::call::{self, PacketOutcome};
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

impl Call {
    /// The ids of its packets, in the order of the call.
    pub fn packet_ids(&self) -> Vec<&str> {
        self.packets.iter().map(|packet| &*packet.id).collect()
    }
}

/// What came of a call.
pub struct CallResult {
    /// The outcome of each of its packets.
    pub outcomes: Vec<PacketOutcome>,
    /// The head of the response, which may report a limit.
    pub head: Option<Head>,
    /// Whether the response is known to belong to the call.
    pub attribution: Attribution,
    /// The journal's record of the call; `None` if it was never permitted to be sent.
    pub dispatch: Option<RecordedDispatch>,
}

impl CallResult {
    /// A call of which no byte was sent: all its packets have the same outcome.
    pub fn not_sent(call: &Call, outcome: Outcome, dispatch: Option<RecordedDispatch>) -> CallResult {
        let outcomes = vec![(outcome, false); call.packets.len()];
        CallResult { outcomes, head: None, attribution: Attribution::First, dispatch }
    }
}

/// A call that was sent: what is needed to read a later response as its response.
#[derive(Debug, PartialEq)]
pub struct SentCall {
    /// Number and id of each of its packets.
    pub packets: Box<[(PacketId, Box<str>)]>,
}

impl SentCall {
    /// What is kept of a call.
    pub fn of(call: &Call) -> Rc<SentCall> {
        let packets = call.packets.iter().map(|packet| (packet.number, packet.id.clone()));
        Rc::new(SentCall { packets: packets.collect() })
    }

    /// The outcome of each of its packets if this is its response.
    pub fn outcomes(&self, response: &ReceivedResponse) -> Vec<PacketOutcome> {
        let ids: Vec<&str> = self.packets.iter().map(|(_, id)| &**id).collect();
        response.outcomes(&ids).unwrap_or_else(|| vec![(Outcome::Error, false); ids.len()])
    }
}

/// Largest body that is kept of a response whose call is in doubt, in bytes: room for the states of some sixty
/// packets.
pub const MAX_KEPT_BODY_BYTES: usize = 4096;

/// A response that was received, perhaps not completely.
#[derive(Debug, PartialEq)]
pub struct ReceivedResponse {
    pub status: Option<u16>,
    pub head: Option<Head>,
    pub body: Vec<u8>,
}

impl ReceivedResponse {
    /// What is kept of a response.
    pub fn of(response: Response) -> ReceivedResponse {
        let Response { status, head, body, .. } = response;
        ReceivedResponse { status, head, body }
    }

    /// A copy that may be kept for long, without the report. It has the body only if that may list packets and has
    /// at most [`MAX_KEPT_BODY_BYTES`]. A list of packets without its body says of none of them that it was not
    /// executed.
    pub fn to_keep(&self, may_list_packets: bool) -> Rc<ReceivedResponse> {
        let has_body = may_list_packets && self.body.len() <= MAX_KEPT_BODY_BYTES;
        let body = if has_body { self.body.clone() } else { Vec::new() };
        let head = self.head.as_ref().map(|head| Head { load_report: None, ..head.clone() });
        Rc::new(ReceivedResponse { status: self.status, head, body })
    }

    /// The outcomes that this response gives to a call with these packets; `None` if it is incomplete and says
    /// nothing of them.
    pub fn outcomes(&self, ids: &[&str]) -> Option<Vec<PacketOutcome>> {
        // The status alone completes the packet, so that it is not sent again if the rest of the response is
        // malformed.
        if call::proves_delivery(self.status, ids.len()) {
            return Some(vec![(Outcome::Done, true)]);
        }
        self.head.as_ref().map(|head| call::packet_outcomes(head, &self.body, ids))
    }
}

/// The calls of a connection that are in doubt, each with the responses that may belong to it.
pub type CallsInDoubt = Vec<Candidates<Rc<SentCall>, Rc<ReceivedResponse>>>;

/// The owner of calls. It permits each call before its first byte is sent, and receives the outcome.
pub trait CallOwner: 'static {
    /// Waits until a call may be sent in the order of its packets' keys, or it has timed out or was
    /// cancelled.
    fn wait_for_key_order(&self, call: &Call) -> impl Future<Output = ()>;

    /// Which connections may carry a call.
    fn connection_choice(&self, call: &Call) -> ConnectionChoice;

    /// How long the response that a copy displaced is awaited.
    fn settle_time(&self) -> Duration;

    /// Whether a connection in doubt waits for the settle time before it carries another call.
    fn must_settle_before_reuse(&self) -> bool;

    /// Waits until the input that has arrived was read, unless it was read just now.
    fn read_input(&self) -> impl Future<Output = ()>;

    /// Decides, once a call is connected and before its first byte is sent, whether it may still be sent. If
    /// so, it has been recorded in the journal.
    fn permit(&self, call: &Call) -> Result<Permit, Refusal>;

    /// Whether an endpoint is still listed and live.
    fn is_listed(&self, endpoint: EndpointId) -> bool;

    /// Receives what came of a call.
    fn call_completed(&self, call: &Call, result: CallResult);

    /// Receives the wait that a response requests whose outcome is not known yet.
    fn wait_requested(&self, endpoint: EndpointId, wait: Duration);

    /// Receives a response that belongs to no call, as far as it was received.
    fn extra_response_received(&self, endpoint: EndpointId, head: Option<&Head>);

    /// Whether a connection is closed once it has settled in doubt.
    fn closes_settled_in_doubt(&self) -> bool;

    /// Receives calls whose deliveries were in doubt and are confirmed.
    fn confirm(&self, calls: &[Rc<SentCall>]);

    /// Receives the calls of a connection that were in doubt, after a response that belongs to no call.
    fn resolve(&self, calls: CallsInDoubt);
}
