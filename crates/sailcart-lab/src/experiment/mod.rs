//! An experiment as its file tells it: senders, destinations, load, troubles, bounds. Read with every unknown
//! key refused by name, checked once in [`check`], and turned into a [`crate::plan::Plan`] before anything runs.

mod check;
mod keys;
mod read;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use check::begins;
pub use keys::choose_by_key;
pub use read::{Fault, read, read_text};

/// Where the senders run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The module itself, in simulated time.
    #[default]
    Virtual,
    /// Sender processes on loopback, in real time.
    Sockets,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// What it shows, in a sentence.
    pub about: String,
    #[serde(default)]
    pub mode: Mode,
    #[serde(default = "one")]
    pub seed: u64,
    /// How long packets are handed in.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    pub senders: Senders,
    pub categories: Vec<Category>,
    /// How credit falls after the soft limit.
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
    /// Statements that must hold, as `credit >= 0.9` or `doubles = 0`.
    #[serde(default)]
    pub bounds: Vec<String>,
}

fn one() -> u64 {
    1
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    pub count: usize,
    /// Calls out at once, of each.
    pub slots: usize,
    /// Packets held, of each.
    pub hold: usize,
    #[serde(default = "six")]
    pub dispatches: u32,
    #[serde(default = "yes")]
    pub cancel: bool,
    /// The least time between two rounds.
    #[serde(default = "round", with = "humantime_serde")]
    pub round: Duration,
    #[serde(default = "second", with = "humantime_serde")]
    pub connect_time_out: Duration,
    /// How long clients can be told to stay away; absent where they are told nothing.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
    /// The destination list tells each destination's rate.
    #[serde(default)]
    pub rates_listed: bool,
    #[serde(default = "memory")]
    pub memory_mb: f64,
    #[serde(default = "sockets")]
    pub sockets: usize,
    #[serde(default = "disk")]
    pub disk_mb: f64,
}

fn six() -> u32 {
    6
}

fn round() -> Duration {
    Duration::from_millis(5)
}

fn second() -> Duration {
    Duration::from_secs(1)
}

fn memory() -> f64 {
    192.0
}

fn sockets() -> usize {
    1024
}

fn disk() -> f64 {
    3.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    Unrepeatable,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    /// Evenly until the patience ends.
    Line,
    /// By half with each further soft limit.
    #[default]
    Halves,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    pub repeat: Repeat,
    /// How long a destination knows a repeat, where `deduplicated`.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub memory: Option<Duration>,
    #[serde(default)]
    pub in_order: bool,
    #[serde(with = "humantime_serde")]
    pub soft_limit: Duration,
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    #[serde(default = "whole")]
    pub credit: f64,
    #[serde(default)]
    pub late_share: f64,
    /// Part of the packets, against the other categories.
    #[serde(default = "whole")]
    pub share: f64,
}

fn whole() -> f64 {
    1.0
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Agreed packets a second over all senders.
    pub quota: f64,
    #[serde(default = "whole")]
    pub share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    /// Packets that one call carries at most.
    #[serde(default = "single")]
    pub batch: usize,
    /// Endpoints are routes, each with a limit and outages of its own.
    #[serde(default)]
    pub own_limits: bool,
}

fn single() -> usize {
    1
}

/// A group of destinations that are alike but for chance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// What troubles and reports call the group.
    pub name: String,
    #[serde(default = "single")]
    pub count: usize,
    pub kind: String,
    #[serde(default = "single")]
    pub endpoints: usize,
    /// The usual service time; each destination's own is drawn around it.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// By how much service times vary: the sigma of a lognormal draw.
    #[serde(default = "spread")]
    pub spread: f64,
    /// By how much destinations of the group differ in pace: likewise.
    #[serde(default)]
    pub pace_spread: f64,
    /// Calls that an endpoint works on at once.
    #[serde(default = "servers")]
    pub servers: usize,
    /// Calls that wait at an endpoint; more are turned away.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Traffic of the group against other groups.
    #[serde(default = "whole")]
    pub weight: f64,
    #[serde(default)]
    pub limit: Limit,
    /// Connections that an endpoint holds, idle ones counted.
    #[serde(default = "sockets")]
    pub connections: usize,
    /// What a new connection costs the first call on it.
    #[serde(default, with = "humantime_serde")]
    pub handshake: Duration,
    /// Idle connections end after this.
    #[serde(default = "idle", with = "humantime_serde")]
    pub idle_close: Duration,
    /// Answers tell the share of the limit that is left, and the limit.
    #[serde(default)]
    pub report: bool,
}

fn spread() -> f64 {
    0.3
}

fn servers() -> usize {
    4
}

fn queue() -> usize {
    16
}

fn idle() -> Duration {
    Duration::from_secs(10)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitBy {
    /// Its capacity alone.
    #[default]
    None,
    /// Calls a second, evenly.
    Rate,
    /// A count in each span.
    Span,
}

/// A limit that all senders share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    pub by: LimitBy,
    /// Calls a second.
    pub rate: f64,
    /// Where counted in each span.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// Refused calls use the limit up too.
    pub refused_count: bool,
    /// Share of refusals that tell how long to wait.
    pub tells: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { by: LimitBy::None, rate: 0.0, span: second(), refused_count: false, tells: 0.5 }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Packets a second over all.
    pub rate: f64,
    /// Exponent of the draw among the destinations of a group; 0 for even.
    #[serde(default)]
    pub zipf: f64,
    /// Share of the packets that come in clumps for one destination.
    #[serde(default)]
    pub clumped: f64,
    /// Packets in a clump.
    #[serde(default = "clump")]
    pub clump: usize,
    /// How often clients hand a dismissed packet in again at most.
    #[serde(default = "once")]
    pub again: u32,
    /// How long they stay away at least.
    #[serde(default = "half_second", with = "humantime_serde")]
    pub pause: Duration,
    /// Keys of order.
    #[serde(default = "keys")]
    pub keys: u64,
    /// Bytes of a body.
    #[serde(default = "body")]
    pub body: usize,
}

fn clump() -> usize {
    20
}

fn once() -> u32 {
    1
}

fn half_second() -> Duration {
    Duration::from_millis(500)
}

fn keys() -> u64 {
    50
}

fn body() -> usize {
    200
}

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new to an endpoint later than this after the sender was told that it drains.
    #[serde(with = "humantime_serde")]
    pub drain_grace: Duration,
    /// Share of its capacity that a destination starts with after an outage.
    pub cold_from: f64,
    /// It is warm after this.
    #[serde(with = "humantime_serde")]
    pub cold: Duration,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over.
    #[serde(with = "humantime_serde")]
    pub fall: Duration,
    /// How long a key rests after a dispatch that may still run.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// Share of the credit of a packet beyond its customer's quota.
    pub over_share: f64,
    /// What may cross on the way: an end and a call, a wait and a call.
    #[serde(with = "humantime_serde")]
    pub crossing: Duration,
    /// An end may come so long after the packet's time is up.
    #[serde(with = "humantime_serde")]
    pub slack: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace: second(),
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

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way, between a sender and an endpoint, in virtual mode.
    #[serde(with = "humantime_serde")]
    pub transit: Duration,
    /// How late each sender hears of a change of the list, at most.
    #[serde(with = "humantime_serde")]
    pub list_delay: Duration,
    /// When clients notice that a sender has died.
    #[serde(with = "humantime_serde")]
    pub notice_death: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Network { transit: Duration::from_millis(1), list_delay: second(), notice_death: second() }
    }
}

/// Kinds of trouble. What each takes beside its time stands in [`TroubleKind::takes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Connections are refused, open ones end.
    Refuse,
    /// Connections never come up.
    BlackHole,
    /// Calls are taken, none is answered.
    Silent,
    /// A share of the calls is answered with an error at once.
    Errors,
    /// All calls are turned away.
    Shut,
    /// Service times grow by a factor.
    Slow,
    /// Limits fall to a share of themselves.
    Lower,
    /// A share of the calls runs and its answer never comes.
    AnswerLost,
    /// A share of the connections breaks before a call's last byte.
    ResetBefore,
    /// A share of the connections breaks after it.
    ResetAfter,
    /// A share of the answers cannot be read.
    Spoilt,
    /// A share of the packets of a call with several is put off or fails alone.
    Partial,
    /// Endpoints drain, then are gone.
    Drain,
    /// Endpoints drain and are gone; others come in their place, at the same address if so said.
    Replace,
    /// Further packets for a destination.
    Hot,
    /// Discovery says nothing.
    ListSilent,
    /// Senders die without warning.
    Kill,
    /// Senders stop as told and come back, one wave after the other.
    Roll,
    /// Senders are told to read their configuration again (sockets only).
    Reload,
    /// Clients send what cannot be read (sockets only).
    BadClients,
}

/// What a spoilt answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spoil {
    Noise,
    EndlessHead,
    WrongLength,
    Huge,
    SecondCopy,
    Continue,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    /// A name that other troubles may follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// When it begins: from the start, or from the end of the trouble that it follows.
    #[serde(default, with = "humantime_serde")]
    pub at: Duration,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// How long it lasts.
    #[serde(rename = "for", with = "humantime_serde")]
    pub lasts: Duration,
    /// A group of destinations, or one of them as `name/0`; all without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub destinations: Option<String>,
    /// Only this endpoint of each destination, counted from 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<usize>,
    /// Which senders, counted from 0; all without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub senders: Option<Vec<usize>>,
    /// Share of calls, answers, connections or packets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// By how much.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Share of refusals that tell the wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tells: Option<f64>,
    /// Packets, connections or senders a wave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manner: Option<Spoil>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub same_address: Option<bool>,
    /// Again and again, so often.
    #[serde(default, with = "humantime_serde::option", skip_serializing_if = "Option::is_none")]
    pub every: Option<Duration>,
}

impl Spoil {
    /// Whether a sender may hold the packets for delivered: its status could be read, and told of one packet.
    pub fn settles(self, several: bool) -> bool {
        match self {
            Spoil::Noise => false,
            Spoil::EndlessHead | Spoil::WrongLength | Spoil::Huge => !several,
            Spoil::SecondCopy | Spoil::Continue => true,
        }
    }
}
