//! `sailcart.toml`: the documented configuration, in the project's words. It is turned into the same structure as the
//! platform's file, and checked and given defaults with it. The comments here are the reference (`config reference`).

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A time with its unit, as "3s", "250ms" or "2m".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(#[serde(with = "humantime_serde")] pub Duration);

/// Bytes with their unit, as "192 MB" or "64 MiB".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size(pub u64);

impl Serialize for Size {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&bytesize::ByteSize(self.0).display().si())
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        text.parse::<bytesize::ByteSize>().map(|size| Size(size.0)).map_err(serde::de::Error::custom)
    }
}

macro_rules! as_text {
    ($($name:ident: $format:literal),*) => {
        $(impl JsonSchema for $name {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({"type": "string", "format": $format})
            }
        })*
    };
}

as_text!(Span: "span", Size: "size", Address: "address");

/// An address and port, as "127.0.0.1:6379".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Address(pub std::net::SocketAddr);

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sender's name in its log. `ROUTER_NAME` goes before it.
    pub name: String,
    /// Where clients connect. `ROUTER_LISTEN` goes before it.
    pub listen: Address,
    /// The folder that lasts. `ROUTER_STATE` goes before it.
    pub state: String,
    /// Up to 16 hex digits for chance; the clock without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// What the machine gives.
    #[serde(default)]
    pub limits: Limits,
    /// How this sender and those beside it work.
    pub senders: Senders,
    /// What a destination can take after an outage, and how credit falls.
    #[serde(default)]
    pub rules: Rules,
    /// Where the list of destinations comes from.
    pub source: Source,
    /// What packets are.
    pub categories: Vec<Category>,
    /// Who hands packets in, with what is agreed.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    #[default]
    None,
    Each,
    Round,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory of the process, files counted. Three eighths are for the destination list, 192 bytes an endpoint: a list of more
    /// endpoints is refused (`sailcart check` tells how many fit).
    pub memory: Size,
    /// Descriptors.
    pub sockets: u64,
    /// Bytes in the state folder.
    pub disk: Size,
    /// When records outlive the machine's power: none, each record, or once a round before its answers.
    pub sync: Sync,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory: Size(192_000_000), sockets: 1024, disk: Size(3_000_000), sync: Sync::None }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    /// Senders that share the destinations, this one included.
    #[serde(default = "one")]
    pub count: u64,
    /// Calls out at once.
    pub slots: u64,
    /// Packets held at most, out or not.
    pub hold: u64,
    /// Dispatches of one packet at most.
    #[serde(default = "six")]
    pub dispatches: u64,
    /// Calls may be called off.
    #[serde(default = "yes")]
    pub cancel: bool,
    /// The least time from one round of decisions to the next.
    #[serde(default = "round")]
    pub round: Span,
    /// A connection that takes longer counts as none.
    #[serde(default = "second")]
    pub connect_time_out: Span,
    /// Endpoints close a connection that stood idle for so long.
    #[serde(default = "idle")]
    pub idle_close: Span,
    /// The longest that clients are told to stay away; they are told nothing without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Span>,
}

fn one() -> u64 {
    1
}

fn six() -> u64 {
    6
}

fn yes() -> bool {
    true
}

fn round() -> Span {
    Span(Duration::from_millis(5))
}

fn second() -> Span {
    Span(Duration::from_secs(1))
}

fn idle() -> Span {
    Span(Duration::from_secs(10))
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    Line,
    #[default]
    Halves,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Share of its capacity that a destination starts with after an outage.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold: Span,
    /// It falls over at this multiple of its present capacity.
    pub fall_multiple: f64,
    /// How long a key rests after a call that may still run.
    pub settle: Span,
    /// Share of the credit of a packet beyond its customer's quota.
    pub over_share: f64,
    /// How credit falls after the soft limit: evenly to the end of the patience, or by half with each soft limit.
    pub late: Late,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            cold_from: 0.3,
            cold: idle(),
            fall_multiple: 1.5,
            settle: Span(Duration::ZERO),
            over_share: 1.0,
            late: Late::Halves,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SourceKind {
    Platform,
    Static,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// The platform's discovery, or the endpoints listed here.
    pub kind: SourceKind,
    /// With platform: where discovery and the receiver of notices are. `ROUTER_DISCOVERY` goes before it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Address>,
    /// The list tells how many calls a second each destination takes.
    #[serde(default)]
    pub rates_listed: bool,
    /// With static: the endpoints. Without a platform, ends that would be notices are lines of the log.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its own; one that has another address or destination is another endpoint.
    pub name: String,
    /// Where calls go.
    pub address: Address,
    /// The number by which clients name the destination.
    pub destination: u64,
    /// One of the kinds.
    pub kind: String,
    /// Calls a second that the destination takes from all senders.
    #[serde(default = "whole")]
    pub rate: f64,
}

fn whole() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    Unrepeatable,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Category {
    /// As clients give it.
    pub name: String,
    /// What a second dispatch may do.
    pub repeat: Repeat,
    /// With deduplicated: how long every endpoint knows a repeat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<Span>,
    /// Packets of one key go in order.
    #[serde(default)]
    pub in_order: bool,
    /// An answer is wanted within this.
    pub soft_limit: Span,
    /// The client gives up after this.
    pub patience: Span,
    /// What a packet that is answered in time earns.
    #[serde(default = "whole")]
    pub credit: f64,
    /// Share of the credit that is left in the end.
    #[serde(default)]
    pub late_share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// As clients give it.
    pub name: String,
    /// Agreed packets a second over all senders.
    pub quota: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// As endpoints give it.
    pub name: String,
    /// Packets that one call carries at most.
    #[serde(default = "one")]
    pub batch: u64,
    /// Endpoints are routes, each with a limit and outages of its own.
    #[serde(default)]
    pub own_limits: bool,
}

fn ms(span: Span) -> f64 {
    span.0.as_micros() as f64 / 1000.0
}

impl Document {
    /// What must hold between values: the key at fault, and words.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut fault = |key: String, words: &str| faults.push((key, words.to_owned()));
        for (key, amount) in [
            ("senders.slots", self.senders.slots),
            ("senders.count", self.senders.count),
            ("senders.hold", self.senders.hold),
        ] {
            if amount == 0 {
                fault(key.to_owned(), "expected more than 0");
            }
        }
        if self.rules.cold.0.is_zero() {
            fault("rules.cold".to_owned(), "expected more than 0");
        }
        let names = [
            ("categories", self.categories.iter().map(|one| &one.name).collect::<Vec<_>>()),
            ("customers", self.customers.iter().map(|one| &one.name).collect()),
            ("kinds", self.kinds.iter().map(|one| &one.name).collect()),
        ];
        for (list, names) in names {
            for (at, name) in names.iter().enumerate() {
                if names[..at].contains(name) {
                    fault(format!("{list}.{at}.name"), &format!("{name} is there twice"));
                }
            }
        }
        for (at, category) in self.categories.iter().enumerate() {
            let key = |name: &str| format!("categories.{at}.{name}");
            if category.soft_limit.0.is_zero() {
                fault(key("soft_limit"), "expected more than 0");
            }
            if category.patience.0 < category.soft_limit.0 {
                fault(key("patience"), "expected no less than soft_limit");
            }
            if (category.repeat == Repeat::Deduplicated) != category.memory.is_some() {
                fault(key("repeat"), "expected memory with deduplicated, and only there");
            }
        }
        let platform = self.source.kind == SourceKind::Platform;
        if platform && !self.source.endpoints.is_empty() {
            fault("source.endpoints".to_owned(), "expected only with kind = \"static\"");
        }
        if !platform && self.source.discovery.is_some() {
            fault("source.discovery".to_owned(), "expected only with kind = \"platform\"");
        }
        if !platform && self.source.endpoints.is_empty() {
            fault("source.kind".to_owned(), "expected endpoints with static");
        }
        for (at, endpoint) in self.source.endpoints.iter().enumerate() {
            if !self.kinds.iter().any(|kind| kind.name == endpoint.kind) {
                fault(format!("source.endpoints.{at}.kind"), &format!("no kind {}", endpoint.kind));
            }
        }
        faults
    }

    /// The same as the platform tells it.
    pub fn as_platform(&self) -> Value {
        let lanes: Vec<Value> = self.categories.iter().map(Category::as_platform).collect();
        let endpoints: Vec<Value> = self.source.endpoints.iter().map(Endpoint::as_platform).collect();
        let (senders, rules) = (&self.senders, &self.rules);
        let mut file = json!({
            "name": self.name, "listen": self.listen, "state": self.state,
            "limits": {
                "memory_mb": self.limits.memory.0 as f64 / 1e6, "sockets": self.limits.sockets,
                "disk_mb": self.limits.disk.0 as f64 / 1e6, "sync": self.limits.sync,
            },
            "known": {"generation": 0, "reset": true, "instances": endpoints},
            "settings": {
                "balancers": senders.count, "period_ms": ms(senders.round),
                "weights": if self.source.rates_listed { "nominal" } else { "none" },
                "over_share_worth": rules.over_share,
                "kinds": self.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
                "lanes": lanes,
                "customers": self.customers.iter()
                    .map(|customer| json!({"name": customer.name, "quota_per_s": customer.quota}))
                    .collect::<Vec<_>>(),
                "domain": {
                    "call_slots": senders.slots,
                    "kind_batch": self.kinds.iter().map(|kind| kind.batch).collect::<Vec<_>>(),
                    "own_limits": self.kinds.iter().map(|kind| kind.own_limits).collect::<Vec<_>>(),
                    "late": rules.late,
                },
                "bounds": {
                    "max_open": senders.hold, "send_cap": senders.dispatches, "cancel": senders.cancel,
                    "connect_timeout_ms": ms(senders.connect_time_out), "idle_close_ms": ms(senders.idle_close),
                    "retry_after": senders.retry_after.is_some(),
                    "max_retry_after_ms": senders.retry_after.map_or(0.0, ms),
                },
                "rules": {
                    "cold_from": rules.cold_from, "cold_ms": ms(rules.cold), "fall_multiple": rules.fall_multiple,
                    "settle_after_doubt_ms": ms(rules.settle),
                },
            },
        });
        if let Some(seed) = &self.seed {
            file["seed"] = json!(seed);
        }
        match self.source.kind {
            SourceKind::Platform => {
                if let Some(discovery) = self.source.discovery {
                    file["discovery"] = json!(discovery);
                }
            }
            SourceKind::Static => file["static"] = json!(true),
        }
        file
    }
}

impl Category {
    fn as_platform(&self) -> Value {
        let repeat = match self.repeat {
            Repeat::Idempotent => "retryable",
            Repeat::Deduplicated => "dedup",
            Repeat::Unrepeatable => "fragile",
        };
        json!({
            "name": self.name, "repeat": repeat, "group": "all", "dedup_window_ms": self.memory.map_or(0.0, ms),
            "fifo_by_key": self.in_order, "aim_ms": ms(self.soft_limit), "hard_limit_ms": ms(self.patience),
            "gain": self.credit, "late_share": self.late_share,
        })
    }
}

impl Endpoint {
    fn as_platform(&self) -> Value {
        json!({
            "instanceId": self.name, "hostPort": self.address, "zone": "", "machineType": self.kind,
            "cell": self.destination, "lifecycle": "Ready", "weight": self.rate, "startedAtMs": 0,
        })
    }
}
