//! The interface: what a carrier tells the [`Sender`](crate::Sender), and what the sender asks of it.
//! All times are spans since the sender's start, or since the oldest thing that it takes over from an earlier
//! life. Nothing is decided here.

use std::time::Duration;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $($(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);)*
    };
}

ids! {
    /// A packet, numbered by the carrier; not used twice in one sender's life.
    PacketId(u64);
    /// One address of a destination.
    EndpointId(u32);
    DestinationId(u64);
    /// Position in [`Terms::categories`].
    CategoryId(usize);
    /// Position in [`Terms::customers`].
    CustomerId(usize);
    /// Position in [`Terms::kinds`].
    KindId(usize);
    /// What packets of a category in order are about.
    KeyId(u64);
}

/// What a dispatch may do a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Repeat {
    Idempotent,
    /// Every endpoint of the destination knows a repeat for `memory`.
    Deduplicated {
        memory: Duration,
    },
    Unrepeatable,
}

#[derive(Clone, Copy, Debug)]
pub struct Category {
    pub repeat: Repeat,
    pub in_order: bool,
    /// Answer wanted by then, from the first handing in.
    pub soft_limit: Duration,
    /// The client gives up then, from the first handing in.
    pub patience: Duration,
    pub credit: f64,
    /// Share of the credit that is left in the end.
    pub late_share: f64,
}

/// How credit falls after the soft limit, down to the category's share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Late {
    /// Evenly until the patience ends.
    #[default]
    Line,
    /// By half with each further soft limit.
    Halves,
}

/// A customer's agreed packets a second over all senders.
#[derive(Clone, Debug)]
pub struct Customer {
    pub quota: f64,
}

#[derive(Clone, Debug)]
pub struct Kind {
    /// Endpoints are routes, each with a limit and outages of its own.
    pub own_limits: bool,
    /// Packets that one call carries at most.
    pub batch: usize,
}

/// How much a destination that comes back can take.
#[derive(Clone, Debug, Default)]
pub struct Return {
    /// Share of its capacity that it starts with.
    pub cold_from: f64,
    /// Warm after this.
    pub cold: Duration,
    /// It falls over at this multiple of its present capacity.
    pub fall_multiple: f64,
}

/// What a sender is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub senders: usize,
    pub slots: usize,
    /// Packets held at most, sent or not.
    pub hold: usize,
    pub dispatches: u32,
    /// A dispatch may be called off.
    pub cancel: bool,
    pub connect_time_out: Duration,
    /// How long clients can be told to stay away; `None` where they are told nothing.
    pub retry_after: Option<Duration>,
    /// How long a key rests after a dispatch that may still run.
    pub settle: Duration,
    pub categories: Vec<Category>,
    pub customers: Vec<Customer>,
    /// Share of the credit of a packet beyond its customer's quota.
    pub over_share: f64,
    pub kinds: Vec<Kind>,
    /// The destination list tells each destination's rate.
    pub rates_listed: bool,
    /// The list comes only when asked for: a sender is held to know what was listed so long ago. `None` where it
    /// comes unasked.
    pub list_asked: Option<Duration>,
    /// Answers tell of limits ([`Report`]).
    pub limits_told: bool,
    pub late: Late,
    pub back: Return,
}

/// A line of the destination list.
#[derive(Clone, Debug)]
pub struct Listing {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub kind: KindId,
    /// False once it drains or is gone.
    pub live: bool,
    /// Calls a second from all senders, where [`Terms::rates_listed`].
    pub rate: f64,
}

/// A packet as handed in, or as it comes back after a restart.
#[derive(Clone, Debug)]
pub struct Packet {
    pub id: PacketId,
    pub destination: DestinationId,
    pub category: CategoryId,
    pub customer: Option<CustomerId>,
    pub key: Option<KeyId>,
    /// When its client gives up.
    pub ends: Duration,
    /// Dispatches so far: some only where it comes back after a restart.
    pub dispatches: u32,
    /// When the first of them that may have run was sent.
    pub doubt: Option<Duration>,
    /// An earlier life of this sender took it on: its client heard so, and nobody hands it in again.
    pub taken_on: bool,
}

/// How a dispatch came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen, perhaps with a wait.
    Full(Option<Duration>),
    TimedOut,
    NoConnection,
    /// Turned away unseen with its connection closed: the endpoint holds all that it takes.
    NoRoom,
    /// The connection broke; it may have run.
    Reset,
    Cancelled,
    /// Not sent, as no slot was free.
    NoSlot,
    /// Not sent, as the packet was over or may not be sent again.
    Moot,
    /// Not sent for a reason of this machine, such as a journal that cannot be written or descriptors that ran out: no dispatch, and
    /// nothing is learned of the destination.
    Unsent,
}

/// What an answer tells of a lane's limit for all senders together, late and noisy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of the limit that is left just now.
    pub left: f64,
    /// Calls a second.
    pub limit: f64,
}

/// What carries out the decisions. All calls come from within [`Sender::decide`](crate::Sender::decide).
pub trait Host {
    /// Dispatches of one round to one endpoint travel as one call, up to the kind's batch.
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration);
    /// Call off a packet's dispatch, counted from 0; its outcome still comes.
    fn cancel(&mut self, packet: PacketId, dispatch: u32);
    /// Final answer: handing it in again is harmless.
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>);
    /// Final answer that promises nothing.
    fn scrap(&mut self, packet: PacketId);
    /// Close this sender's idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);
    /// Ask for the list and its changes from now on; answered by news of the list, or by
    /// [`Sender::list_failed`](crate::Sender::list_failed). Only where [`Terms::list_asked`].
    fn ask_list(&mut self);
    /// Ask for a round after this span at the latest.
    fn wake(&mut self, after: Duration);
}
