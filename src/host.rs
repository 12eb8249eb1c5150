//! The interface between a [`Sender`](crate::Sender) and its host: the data that the host passes in, and the
//! [`Host`] trait through which the sender acts. This module decides nothing.
//!
//! All times are spans since the sender's start or, if it takes over packets from a previous process, since
//! the oldest event that concerns them.

use std::time::Duration;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $($(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);)*
    };
}

ids! {
    /// A packet. The host assigns the number and does not reuse it while the process runs.
    PacketId(u64);
    /// One address of a destination.
    EndpointId(u32);
    /// What an endpoint keeps while it is listed under the same name: one that comes back is the same route, also
    /// with another address.
    RouteId(u64);
    /// An outside receiver, with one or more endpoints.
    DestinationId(u64);
    /// Index into [`Settings::categories`].
    CategoryId(usize);
    /// Index into [`Settings::customers`].
    CustomerId(usize);
    /// Index into [`Settings::kinds`].
    KindId(usize);
    /// The ordering key of a packet, for categories whose packets are dispatched in order.
    KeyId(u64);
}

/// Whether a packet may be dispatched again after a dispatch that may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Repeat {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Every endpoint of the destination recognizes a repeated dispatch for this long after the first one.
    Deduplicated {
        /// How long endpoints remember a dispatch.
        memory: Duration,
    },
    /// A dispatch that may have executed must not be repeated.
    Unrepeatable,
}

/// The rules for one category of packets.
#[derive(Clone, Copy, Debug)]
pub struct Category {
    /// Whether its packets may be dispatched again after a possible execution.
    pub repeat: Repeat,
    /// Packets with the same key are dispatched one after the other, in the order in which they were
    /// accepted.
    pub in_order: bool,
    /// Time from the first submission within which the answer is wanted.
    pub soft_limit: Duration,
    /// Time from the first submission after which the client abandons the packet.
    pub patience: Duration,
    /// Credit for an answer within the soft limit.
    pub credit: f64,
    /// Minimum share of the credit for a late answer, which is reached at the end of the patience.
    pub min_credit_share: f64,
}

/// How the credit falls after the soft limit, down to the category's [`Category::min_credit_share`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CreditDecay {
    /// Linearly until the end of the patience.
    #[default]
    Linear,
    /// By half with each further soft limit.
    Halving,
}

/// A customer, whose packets beyond the quota earn less credit.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Agreed packets per second over all senders.
    pub packets_per_second: f64,
}

/// The properties shared by all destinations of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Each endpoint is a route with a rate limit and outages of its own.
    pub per_route_limits: bool,
    /// Maximum number of packets per call.
    pub max_batch: usize,
}

/// The capacity of a destination while it recovers from an outage.
#[derive(Clone, Debug, Default)]
pub struct RecoveryProfile {
    /// Share of its normal capacity that is available at the start of the recovery.
    pub initial_capacity_share: f64,
    /// Time until the full capacity is available again.
    pub warm_up: Duration,
    /// The destination fails again when its load exceeds this multiple of its present capacity.
    pub overload_factor: f64,
}

/// The settings of a sender, fixed at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of senders that share the destinations.
    pub senders: usize,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of packets held, whether or not they have been dispatched.
    pub max_held: usize,
    /// Maximum number of dispatches per packet.
    pub max_dispatches: u32,
    /// Whether the host can cancel a dispatch in flight.
    pub can_cancel: bool,
    /// Timeout for opening a connection, applied by the host.
    pub connect_timeout: Duration,
    /// Maximum wait that a dismissal may ask of the client; `None` where dismissals carry no wait.
    pub max_retry_after: Option<Duration>,
    /// How long a key is blocked after a dispatch that may still execute.
    pub key_block_time: Duration,
    /// The categories, indexed by [`CategoryId`].
    pub categories: Vec<Category>,
    /// The customers, indexed by [`CustomerId`].
    pub customers: Vec<Customer>,
    /// Share of the credit for a packet beyond its customer's quota.
    pub over_quota_credit_share: f64,
    /// The kinds of destinations, indexed by [`KindId`].
    pub kinds: Vec<Kind>,
    /// The destination list contains each destination's rate.
    pub rates_listed: bool,
    /// Maximum staleness of the destination list, where the sender has to request it. `None` where updates
    /// are pushed to the sender.
    pub max_list_staleness: Option<Duration>,
    /// Answers report the remaining rate limit ([`LimitReport`]).
    pub limits_reported: bool,
    /// How the credit falls after the soft limit.
    pub credit_decay: CreditDecay,
    /// The capacity of destinations after an outage, for slow start.
    pub recovery: RecoveryProfile,
}

/// An entry of the destination list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub endpoint: EndpointId,
    pub route: RouteId,
    pub destination: DestinationId,
    pub kind: KindId,
    /// False once the endpoint drains or has been removed.
    pub live: bool,
    /// Calls per second from all senders, where [`Settings::rates_listed`] is set.
    pub rate: f64,
}

/// A packet as submitted by a client, or as restored after a restart.
#[derive(Clone, Debug)]
pub struct Packet {
    pub id: PacketId,
    pub destination: DestinationId,
    pub category: CategoryId,
    /// The customer whose quota it counts against, if any.
    pub customer: Option<CustomerId>,
    /// Its ordering key (see [`Category::in_order`]).
    pub key: Option<KeyId>,
    /// When the client abandons the packet.
    pub deadline: Duration,
    /// Number of dispatches so far; more than zero only for a packet restored after a restart.
    pub dispatches: u32,
    /// When the first dispatch that may have executed was sent.
    pub possibly_executed_at: Option<Duration>,
    /// Accepted by the previous process of this sender. The client was notified of that, so nobody submits
    /// the packet again.
    pub accepted_by_previous_process: bool,
}

/// The result of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The destination answered with success.
    Done,
    /// The destination answered with an error; the dispatch may have executed.
    Error,
    /// Refused before execution, perhaps with a Retry-After wait.
    Full(Option<Duration>),
    /// No answer within the timeout; the dispatch may have executed.
    TimedOut,
    /// No connection could be opened.
    NoConnection,
    /// Refused before execution and the connection closed: the endpoint's connection limit is reached.
    NoRoom,
    /// The connection was lost during the call; the dispatch may have executed.
    Reset,
    /// Cancelled by the sender; the dispatch may have executed.
    Cancelled,
    /// Not sent, because no slot was free. The sender reports it too for a call that it refused before its
    /// first byte (`Refusal::NotNow` in sailcart-sender), such as one to an endpoint that has left the list.
    NoSlot,
    /// Not sent, because the packet was completed or must not be dispatched again.
    Moot,
    /// Not sent because of a local error, such as a journal that cannot be written or exhausted file
    /// descriptors. It does not count as a dispatch and says nothing about the destination.
    Unsent,
}

/// The health of a destination or, where each route has limits of its own, of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Calls are answered.
    Healthy,
    /// Calls are stalled and nothing is answered, but no outage has been detected.
    Unresponsive,
    /// An outage has been detected.
    Ejected,
    /// Calls are answered again; it may be cold.
    Recovering,
}

/// A change of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthChange {
    pub destination: DestinationId,
    /// The route, where each has limits of its own.
    pub endpoint: Option<EndpointId>,
    pub before: HealthState,
    pub after: HealthState,
}

/// What an answer reports about an upstream's rate limit, which all senders share. The values are delayed and
/// noisy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Share of the limit that is unused at present, from 0 to 1.
    pub unused_share: f64,
    /// The limit in calls per second.
    pub limit: f64,
}

/// Carries out the decisions of a sender. All methods are called from within
/// [`Sender::decide`](crate::Sender::decide).
pub trait Host {
    /// Dispatches a packet. Dispatches of one round to one endpoint are sent as one call, up to the maximum
    /// batch of the kind ([`Kind::max_batch`]) and the size of a call ([`CallSize`](crate::call_size::CallSize)).
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration);
    /// Bytes that a packet takes in a call with several; 0 if calls are not limited by size.
    fn entry_bytes(&self, _packet: PacketId) -> usize {
        0
    }
    /// Cancels a packet's dispatch, numbered from 0. Its outcome is still reported.
    fn cancel(&mut self, packet: PacketId, dispatch: u32);
    /// Completes a packet as dismissed: submitting it again is harmless.
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>);
    /// Completes a packet as scrapped: it failed, and submitting it again may execute it twice.
    fn scrap(&mut self, packet: PacketId);
    /// Closes this sender's idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);
    /// Requests the destination list and its updates from now on. The response is an update of the list or
    /// [`Sender::list_request_failed`](crate::Sender::list_request_failed). Called only where
    /// [`Settings::max_list_staleness`] is set.
    fn request_list(&mut self);
    /// Requests a round no later than after this span.
    fn wake(&mut self, after: Duration);
}
