//! An experiment file: senders, destinations, load, troubles and bounds. Reading rejects unknown keys by name
//! and validates the values in `check`; a [`crate::plan::Plan`] is then made of it before anything runs.

mod check;
mod keys;
mod read;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use check::start_times;
pub use keys::choose_by_key;
pub use read::{LabError, read, read_text};

/// How the senders run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The sailcart crate, in simulated time.
    #[default]
    Virtual,
    /// Sender processes on the loopback interface, in real time.
    Sockets,
}

/// An experiment, as its file describes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// What it shows, in one sentence.
    pub about: String,
    #[serde(default)]
    pub mode: Mode,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long clients submit new packets.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    pub senders: Senders,
    pub categories: Vec<Category>,
    /// How the credit of a packet decays after its soft limit.
    #[serde(default)]
    pub late: Late,
    #[serde(default)]
    pub customers: Vec<Customer>,
    pub kinds: Vec<Kind>,
    pub destinations: Vec<Destinations>,
    pub load: Load,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// Bounds on figures of the result, as `credit >= 0.9` or `doubles = 0`.
    #[serde(default)]
    pub bounds: Vec<String>,
}

fn default_seed() -> u64 {
    1
}

fn default_cancel() -> bool {
    true
}

/// The senders: their number, limits and settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    /// Number of senders.
    pub count: usize,
    /// Maximum number of calls in flight, per sender.
    pub slots: usize,
    /// Maximum number of packets held, per sender.
    pub hold: usize,
    /// Maximum number of dispatches of a packet.
    #[serde(default = "default_dispatches")]
    pub dispatches: u32,
    /// Whether a sender may cancel calls in flight.
    #[serde(default = "default_cancel")]
    pub cancel: bool,
    /// Minimum time between two rounds.
    #[serde(default = "default_round", with = "humantime_serde")]
    pub round: Duration,
    /// Timeout of a connection attempt.
    #[serde(default = "one_second", with = "humantime_serde")]
    pub connect_time_out: Duration,
    /// Maximum wait that a sender requests of clients before they resubmit; absent if it requests none.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
    /// Whether the destination list states the rate of each destination.
    #[serde(default)]
    pub rates_listed: bool,
    /// Memory limit of a sender process, in MB (10^6 bytes).
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Maximum number of file descriptors of a sender process.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Limit of the state folder of a sender process, in MB (10^6 bytes).
    #[serde(default = "default_disk_mb")]
    pub disk_mb: f64,
}

fn default_dispatches() -> u32 {
    6
}

fn default_round() -> Duration {
    Duration::from_millis(5)
}

fn one_second() -> Duration {
    Duration::from_secs(1)
}

fn default_memory_mb() -> f64 {
    192.0
}

fn default_sockets() -> usize {
    1024
}

fn default_disk_mb() -> f64 {
    3.0
}

/// What happens if a packet is executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A repeat has no further effect.
    Idempotent,
    /// The receiver recognises repeats for a limited time.
    Deduplicated,
    /// A repeat must not happen.
    Unrepeatable,
}

/// How credit decays after the soft limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    /// Linearly until the patience ends.
    Line,
    /// By half with each further soft limit.
    #[default]
    Halves,
}

/// A category of packets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    pub repeat: Repeat,
    /// How long a destination recognises a repeat, for `deduplicated`.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub memory: Option<Duration>,
    /// Whether packets with the same key are delivered in order.
    #[serde(default)]
    pub in_order: bool,
    /// Time after which credit starts to decay.
    #[serde(with = "humantime_serde")]
    pub soft_limit: Duration,
    /// Time after which a packet is of no use.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    /// Credit for a delivery within the soft limit.
    #[serde(default = "unit_weight")]
    pub credit: f64,
    /// Minimum share of the credit for a delivery within the patience.
    #[serde(default)]
    pub late_share: f64,
    /// Share of the packets, relative to the other categories.
    #[serde(default = "unit_weight")]
    pub share: f64,
}

fn unit_weight() -> f64 {
    1.0
}

/// A customer, with an agreed quota of packets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Agreed packets per second over all senders.
    pub quota: f64,
    /// Share of the packets, relative to the other customers.
    #[serde(default = "unit_weight")]
    pub share: f64,
}

/// A kind of destinations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    /// Maximum number of packets in a call.
    #[serde(default = "default_count")]
    pub batch: usize,
    /// Whether endpoints are routes, each with its own limit and outages.
    #[serde(default)]
    pub own_limits: bool,
}

fn default_count() -> usize {
    1
}

/// A group of destinations with the same parameters, apart from random variation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// The name of the group in troubles and reports.
    pub name: String,
    /// Number of destinations.
    #[serde(default = "default_count")]
    pub count: usize,
    /// The name of their kind.
    pub kind: String,
    /// Endpoints per destination.
    #[serde(default = "default_count")]
    pub endpoints: usize,
    /// The median service time of the group; the one of each destination is drawn around it.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// Variation of service times: the sigma of a lognormal distribution.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Variation of the service time between destinations of the group: the sigma of a lognormal
    /// distribution.
    #[serde(default)]
    pub pace_spread: f64,
    /// Calls that an endpoint executes at once.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// Maximum number of calls that wait at an endpoint; further ones are rejected.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Traffic of the group, relative to the other groups.
    #[serde(default = "unit_weight")]
    pub weight: f64,
    #[serde(default)]
    pub limit: Limit,
    /// Maximum number of connections of an endpoint, including idle ones.
    #[serde(default = "default_sockets")]
    pub connections: usize,
    /// Delay of the first call on a new connection.
    #[serde(default, with = "humantime_serde")]
    pub handshake: Duration,
    /// Time after which an endpoint closes an idle connection.
    #[serde(default = "default_idle_close", with = "humantime_serde")]
    pub idle_close: Duration,
    /// Whether answers report the unused share of the limit and the limit.
    #[serde(default)]
    pub report: bool,
}

fn default_spread() -> f64 {
    0.3
}

fn default_servers() -> usize {
    4
}

fn default_queue() -> usize {
    16
}

fn default_idle_close() -> Duration {
    Duration::from_secs(10)
}

/// How a limit is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitBy {
    /// No limit other than the capacity.
    #[default]
    None,
    /// Calls per second, at an even rate.
    Rate,
    /// A number of calls in each span.
    Span,
}

/// A rate limit that all senders share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    pub by: LimitBy,
    /// Calls per second.
    pub rate: f64,
    /// Length of a span, for limits counted per span.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// Whether rejected calls count against the limit.
    pub refused_count: bool,
    /// Share of rejections that report how long to wait.
    pub tells: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { by: LimitBy::None, rate: 0.0, span: one_second(), refused_count: false, tells: 0.5 }
    }
}

/// The packets that clients submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Packets per second over all destinations.
    pub rate: f64,
    /// Exponent of the Zipf distribution over the destinations of a group; 0 for a uniform one.
    #[serde(default)]
    pub zipf: f64,
    /// Share of the packets that arrive in bursts for one destination.
    #[serde(default)]
    pub clumped: f64,
    /// Packets per burst.
    #[serde(default = "default_clump")]
    pub clump: usize,
    /// Maximum number of resubmissions of a dismissed packet.
    #[serde(default = "default_again")]
    pub again: u32,
    /// Minimum delay before a resubmission.
    #[serde(default = "default_pause", with = "humantime_serde")]
    pub pause: Duration,
    /// Number of keys per destination.
    #[serde(default = "default_keys")]
    pub keys: u64,
    /// Size of a packet body, in bytes.
    #[serde(default = "default_body")]
    pub body: usize,
}

fn default_clump() -> usize {
    20
}

fn default_again() -> u32 {
    1
}

fn default_pause() -> Duration {
    Duration::from_millis(500)
}

fn default_keys() -> u64 {
    50
}

fn default_body() -> usize {
    200
}

/// Parameters of the rules that the watcher checks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a sender may send new calls to an endpoint after it learned that the endpoint is draining.
    #[serde(with = "humantime_serde")]
    pub drain_grace: Duration,
    /// Share of its capacity that a destination has right after an outage.
    pub cold_from: f64,
    /// Time that a destination takes to reach its full capacity after an outage.
    #[serde(with = "humantime_serde")]
    pub cold: Duration,
    /// A recovering destination fails if the calls that it receives within `fall` exceed this multiple of its
    /// present capacity.
    pub fall_multiple: f64,
    /// Period over which calls are counted for `fall_multiple`.
    #[serde(with = "humantime_serde")]
    pub fall: Duration,
    /// How long a key is blocked after a dispatch that may still be executed.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Share of the credit for packets beyond the quota of their customer.
    pub over_share: f64,
    /// Tolerance for messages that cross in transit: a completion and a call, or a wait and a call.
    #[serde(with = "humantime_serde")]
    pub crossing: Duration,
    /// Tolerance for completions after the deadline of a packet.
    #[serde(with = "humantime_serde")]
    pub slack: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace: one_second(),
            cold_from: 0.3,
            cold: Duration::from_secs(10),
            fall_multiple: 2.0,
            fall: Duration::from_secs(2),
            settle: Duration::from_millis(100),
            over_share: 1.0,
            crossing: Duration::from_millis(100),
            slack: Duration::from_millis(300),
        }
    }
}

/// Delays between clients, senders, endpoints and discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay between a sender and an endpoint, in simulated mode (`mode = "virtual"`).
    #[serde(with = "humantime_serde")]
    pub transit: Duration,
    /// Maximum delay until a sender learns of a change of the list.
    #[serde(with = "humantime_serde")]
    pub list_delay: Duration,
    /// Time until clients notice that a sender has died.
    #[serde(with = "humantime_serde")]
    pub notice_death: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Network { transit: Duration::from_millis(1), list_delay: one_second(), notice_death: one_second() }
    }
}

/// A kind of trouble. [`TroubleKind::allowed_keys`] lists the keys that each accepts in addition to its
/// times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Connections are refused, open ones break.
    Refuse,
    /// Connection attempts are neither accepted nor refused.
    BlackHole,
    /// Calls are accepted but never answered.
    Silent,
    /// A share of the calls is answered with an error at once.
    Errors,
    /// All calls are rejected.
    Shut,
    /// Service times are multiplied by a factor.
    Slow,
    /// Limits are reduced to a share.
    Lower,
    /// A share of the calls is executed, but its answer is lost.
    AnswerLost,
    /// A share of the connections breaks before the last byte of a call.
    ResetBefore,
    /// A share of the connections breaks after the last byte of a call.
    ResetAfter,
    /// A share of the answers is malformed.
    Spoilt,
    /// In calls with several packets, a share of the packets is deferred or fails.
    Partial,
    /// Endpoints drain and are then removed.
    Drain,
    /// Endpoints drain and are replaced by others, at the same address if `same_address` is set.
    Replace,
    /// Additional packets for a destination.
    Hot,
    /// Discovery sends no updates.
    ListSilent,
    /// Senders die without warning.
    Kill,
    /// Senders are stopped gracefully and restarted, one wave after the other.
    Roll,
    /// Senders reload their configuration (sockets mode only).
    Reload,
    /// Clients send malformed requests (sockets mode only).
    BadClients,
}

/// The way in which an answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MalformedAnswer {
    /// Bytes that are not HTTP.
    Noise,
    /// A head of thousands of header lines that does not end.
    EndlessHead,
    /// A negative `Content-Length`.
    WrongLength,
    /// A `Content-Length` of 3 GiB, of which only the beginning is sent.
    Huge,
    /// A valid answer, sent twice.
    SecondCopy,
    /// A `100 Continue`, then a valid answer.
    Continue,
}

/// A trouble: what goes wrong, when and where.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    /// The name by which other troubles refer to this one in `after`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// When it starts, after the start of the run or, with `after`, after the end of another trouble.
    #[serde(default, with = "humantime_serde")]
    pub at: Duration,
    /// The name of the trouble whose end `at` is relative to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// How long it lasts.
    #[serde(rename = "for", with = "humantime_serde")]
    pub lasts: Duration,
    /// A group of destinations, or one of them as `name/0`; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub destinations: Option<String>,
    /// Only this endpoint of each destination, counted from 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<usize>,
    /// The senders, counted from 0; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub senders: Option<Vec<usize>>,
    /// Share of the calls, answers, connections or packets that are affected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Factor on service times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Share of rejections that report how long to wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tells: Option<f64>,
    /// Senders per wave (`roll`), or malformed requests per second (`bad-clients`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    /// How answers are malformed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manner: Option<MalformedAnswer>,
    /// Whether a replacement has the address of the endpoint that it replaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub same_address: Option<bool>,
    /// Interval at which the trouble repeats.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub every: Option<Duration>,
}

impl MalformedAnswer {
    /// Whether a sender may regard the packets of a call as delivered: if the answer contains a complete
    /// valid response, or if its status is readable and the call carried a single packet.
    pub fn counts_as_delivered(self, has_several_packets: bool) -> bool {
        match self {
            MalformedAnswer::Noise => false,
            MalformedAnswer::EndlessHead | MalformedAnswer::WrongLength | MalformedAnswer::Huge => {
                !has_several_packets
            }
            MalformedAnswer::SecondCopy | MalformedAnswer::Continue => true,
        }
    }
}
