//! The types of `sailcart.toml`, the documented configuration file.
//!
//! [`Document::to_platform_json`] converts a document to the structure of the platform's JSON configuration,
//! so that both are checked and given defaults by the same code. The doc comments of the fields are the user
//! reference: they are printed by `sailcart config reference` and included in the JSON Schema.
//!
//! The variants of the enums must not have doc comments: schemars would then describe the enum by `oneOf`
//! instead of `enum`, which `validation` and `show` don't read.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A duration with its unit, such as "3s", "250ms" or "2m".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HumanDuration(#[serde(with = "humantime_serde")] pub Duration);

/// A number of bytes with its unit, such as "192 MB" or "64 MiB".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HumanSize(pub u64);

impl Serialize for HumanSize {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&bytesize::ByteSize(self.0).display().si())
    }
}

impl<'de> Deserialize<'de> for HumanSize {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse::<bytesize::ByteSize>().map(|size| HumanSize(size.0)).map_err(serde::de::Error::custom)
    }
}

/// Describes types that are written as strings to the JSON Schema; `format` selects their check in
/// `validation`.
macro_rules! string_schema {
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

string_schema!(HumanDuration: "span", HumanSize: "size", Address: "address");

/// An IP address and port, such as "127.0.0.1:6379".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Address(pub std::net::SocketAddr);

/// The content of `sailcart.toml`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sender's name in its log. `ROUTER_NAME` overrides it.
    pub name: String,
    /// Address that the sender listens on for clients. `ROUTER_LISTEN` overrides it.
    pub listen: Address,
    /// Existing folder for data that must survive a restart. `ROUTER_STATE` overrides it.
    pub state: String,
    /// Seed of the random number generator: up to 16 hex digits. Without it, the seed is taken from the
    /// clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// The resources that the sender may use.
    #[serde(default)]
    pub limits: Limits,
    /// Operation of this sender and of the others that share its destinations.
    pub senders: Senders,
    /// How much load a destination can take after an outage, and how the credit of late packets falls.
    #[serde(default)]
    pub rules: Rules,
    /// Source of the destination list.
    pub source: Source,
    /// The categories of packets.
    pub categories: Vec<Category>,
    /// The customers that submit packets, with their agreed quotas.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// The kinds of endpoints.
    pub kinds: Vec<Kind>,
}

/// When records are synced to disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    #[default]
    None,
    Each,
    Round,
}

/// Resource limits of the process.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory limit of the process, its files included. Three eighths of it are for the destination list, at
    /// 192 bytes per endpoint; a list with more endpoints is rejected (`sailcart check` prints how many fit).
    pub memory: HumanSize,
    /// Maximum number of open file descriptors.
    pub sockets: u64,
    /// Maximum size of the state folder.
    pub disk: HumanSize,
    /// When records are synced to disk, so that they survive a power loss: never, after each record, or once
    /// per round before its replies.
    pub sync: Sync,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory: HumanSize(192_000_000), sockets: 1024, disk: HumanSize(3_000_000), sync: Sync::None }
    }
}

/// Settings of the sender and of the group of senders it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    /// Number of senders that share the destinations, this one included.
    #[serde(default = "default_one")]
    pub count: u64,
    /// Maximum number of calls in flight.
    pub slots: u64,
    /// Maximum number of packets held, whether in flight or not.
    pub hold: u64,
    /// Maximum number of dispatches of one packet.
    #[serde(default = "default_dispatches")]
    pub dispatches: u64,
    /// Whether calls in flight may be cancelled.
    #[serde(default = "default_true")]
    pub cancel: bool,
    /// Minimum time from one round of decisions to the next.
    #[serde(default = "default_round")]
    pub round: HumanDuration,
    /// Timeout for connecting to an endpoint. A connection that takes longer counts as failed.
    #[serde(default = "default_connect_timeout")]
    pub connect_time_out: HumanDuration,
    /// How long a connection may be idle before its endpoint closes it. The sender closes idle connections
    /// earlier.
    #[serde(default = "default_ten_seconds")]
    pub idle_close: HumanDuration,
    /// Longest wait that clients are asked for when a packet is dismissed. Without it, they are not asked to
    /// wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<HumanDuration>,
}

// The defaults that the `serde` attributes above and below refer to.

fn default_one() -> u64 {
    1
}

fn default_dispatches() -> u64 {
    6
}

fn default_true() -> bool {
    true
}

fn default_round() -> HumanDuration {
    HumanDuration(Duration::from_millis(5))
}

fn default_connect_timeout() -> HumanDuration {
    HumanDuration(Duration::from_secs(1))
}

fn default_ten_seconds() -> HumanDuration {
    HumanDuration(Duration::from_secs(10))
}

/// How the credit of a packet falls after the soft limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    Line,
    #[default]
    Halves,
}

/// Behaviour of destinations after outages, and the credit of late packets.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Share of its capacity that a destination can take right after an outage.
    pub cold_from: f64,
    /// Time after an outage until a destination has its full capacity again.
    pub cold: HumanDuration,
    /// Load, as a multiple of its current capacity, at which a destination breaks down.
    pub fall_multiple: f64,
    /// How long the next packet of a key is held back after a call that may still be executing.
    pub settle: HumanDuration,
    /// Share of its credit that a packet beyond its customer's quota earns.
    pub over_share: f64,
    /// How the credit falls after the soft limit: linearly until the patience ends, or by half with each
    /// further soft limit.
    pub late: Late,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            cold_from: 0.3,
            cold: default_ten_seconds(),
            fall_multiple: 1.5,
            settle: HumanDuration(Duration::ZERO),
            over_share: 1.0,
            late: Late::Halves,
        }
    }
}

/// Where the destination list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum SourceKind {
    Platform,
    Static,
}

/// The source of the destination list.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Whether the list comes from the platform's discovery or from this file.
    pub kind: SourceKind,
    /// With `platform`: address of discovery, which also receives notices. `ROUTER_DISCOVERY` overrides it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Address>,
    /// Whether the list contains the calls per second that each destination takes.
    #[serde(default)]
    pub rates_listed: bool,
    /// With `static`: the endpoints. Notices are written to the log instead, as there is no platform.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint of a destination.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name of the endpoint. With another address or destination it is a different endpoint.
    pub name: String,
    /// Address that calls are sent to.
    pub address: Address,
    /// Number by which clients refer to the destination.
    pub destination: u64,
    /// Name of one of the `kinds`.
    pub kind: String,
    /// Calls per second that the destination takes from all senders together.
    #[serde(default = "default_one_f64")]
    pub rate: f64,
}

fn default_one_f64() -> f64 {
    1.0
}

/// Effect of a second dispatch of the same packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    Unrepeatable,
}

/// A category of packets.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Category {
    /// Name of the category, as used by clients.
    pub name: String,
    /// Effect of a second dispatch of the same packet: none, none within `memory`, or a second execution.
    pub repeat: Repeat,
    /// With `deduplicated`: how long every endpoint of a destination recognizes a repeated packet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<HumanDuration>,
    /// Whether packets with the same key are delivered in order.
    #[serde(default)]
    pub in_order: bool,
    /// Time within which a packet should be answered to earn its full credit.
    pub soft_limit: HumanDuration,
    /// Time after which the client no longer waits for the packet.
    pub patience: HumanDuration,
    /// Credit for a packet that is answered within the soft limit.
    #[serde(default = "default_one_f64")]
    pub credit: f64,
    /// Minimum share of the credit that a packet keeps when it is answered late.
    #[serde(default)]
    pub late_share: f64,
}

/// A customer and its quota.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer, as used by clients.
    pub name: String,
    /// Agreed packets per second over all senders.
    pub quota: f64,
}

/// A kind of endpoint.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind, as used by endpoints.
    pub name: String,
    /// Maximum number of packets in one call.
    #[serde(default = "default_one")]
    pub batch: u64,
    /// Whether each endpoint is a route with its own limit and its own outages. Otherwise these are common to
    /// the destination.
    #[serde(default)]
    pub own_limits: bool,
}

fn milliseconds(duration: HumanDuration) -> f64 {
    duration.0.as_micros() as f64 / 1000.0
}

impl Document {
    /// Checks the conditions that the schema cannot express. Returns the key and message of each error.
    pub fn errors(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        let mut error = |key: String, message: &str| errors.push((key, message.to_owned()));
        for (key, amount) in [
            ("senders.slots", self.senders.slots),
            ("senders.count", self.senders.count),
            ("senders.hold", self.senders.hold),
        ] {
            if amount == 0 {
                error(key.to_owned(), "expected more than 0");
            }
        }
        if self.rules.cold.0.is_zero() {
            error("rules.cold".to_owned(), "expected more than 0");
        }
        let names = [
            ("categories", self.categories.iter().map(|item| &item.name).collect::<Vec<_>>()),
            ("customers", self.customers.iter().map(|item| &item.name).collect()),
            ("kinds", self.kinds.iter().map(|item| &item.name).collect()),
        ];
        for (list, names) in names {
            for (index, name) in names.iter().enumerate() {
                if names[..index].contains(name) {
                    error(format!("{list}.{index}.name"), &format!("{name} is there twice"));
                }
            }
        }
        for (index, category) in self.categories.iter().enumerate() {
            let key = |name: &str| format!("categories.{index}.{name}");
            if category.soft_limit.0.is_zero() {
                error(key("soft_limit"), "expected more than 0");
            }
            if category.patience.0 < category.soft_limit.0 {
                error(key("patience"), "expected at least soft_limit");
            }
            if (category.repeat == Repeat::Deduplicated) != category.memory.is_some() {
                error(key("repeat"), "expected memory if repeat is deduplicated, and only then");
            }
        }
        let is_platform = self.source.kind == SourceKind::Platform;
        if is_platform && !self.source.endpoints.is_empty() {
            error("source.endpoints".to_owned(), "expected only with kind = \"static\"");
        }
        if !is_platform && self.source.discovery.is_some() {
            error("source.discovery".to_owned(), "expected only with kind = \"platform\"");
        }
        if !is_platform && self.source.endpoints.is_empty() {
            error("source.kind".to_owned(), "expected source.endpoints with kind = \"static\"");
        }
        for (index, endpoint) in self.source.endpoints.iter().enumerate() {
            if !self.kinds.iter().any(|kind| kind.name == endpoint.kind) {
                error(format!("source.endpoints.{index}.kind"), &format!("no kind {}", endpoint.kind));
            }
        }
        errors
    }

    /// The same configuration in the structure of the platform's JSON file.
    pub fn to_platform_json(&self) -> Value {
        let categories: Vec<Value> = self.categories.iter().map(Category::to_platform_json).collect();
        let endpoints: Vec<Value> = self.source.endpoints.iter().map(Endpoint::to_platform_json).collect();
        let (senders, rules) = (&self.senders, &self.rules);
        let mut file = json!({
            "name": self.name, "listen": self.listen, "state": self.state,
            "limits": {
                "memory_mb": self.limits.memory.0 as f64 / 1e6, "sockets": self.limits.sockets,
                "disk_mb": self.limits.disk.0 as f64 / 1e6, "sync": self.limits.sync,
            },
            "known": {"generation": 0, "reset": true, "instances": endpoints},
            "settings": {
                "balancers": senders.count, "period_ms": milliseconds(senders.round),
                "weights": if self.source.rates_listed { "nominal" } else { "none" },
                "over_share_worth": rules.over_share,
                "kinds": self.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
                "lanes": categories,
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
                    "connect_timeout_ms": milliseconds(senders.connect_time_out),
                    "idle_close_ms": milliseconds(senders.idle_close),
                    "retry_after": senders.retry_after.is_some(),
                    "max_retry_after_ms": senders.retry_after.map_or(0.0, milliseconds),
                },
                "rules": {
                    "cold_from": rules.cold_from, "cold_ms": milliseconds(rules.cold),
                    "fall_multiple": rules.fall_multiple,
                    "settle_after_doubt_ms": milliseconds(rules.settle),
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
    fn to_platform_json(&self) -> Value {
        let repeat = match self.repeat {
            Repeat::Idempotent => "retryable",
            Repeat::Deduplicated => "dedup",
            Repeat::Unrepeatable => "fragile",
        };
        json!({
            "name": self.name, "repeat": repeat, "group": "all",
            "dedup_window_ms": self.memory.map_or(0.0, milliseconds), "fifo_by_key": self.in_order,
            "aim_ms": milliseconds(self.soft_limit), "hard_limit_ms": milliseconds(self.patience),
            "gain": self.credit, "late_share": self.late_share,
        })
    }
}

impl Endpoint {
    fn to_platform_json(&self) -> Value {
        json!({
            "instanceId": self.name, "hostPort": self.address, "zone": "", "machineType": self.kind,
            "cell": self.destination, "lifecycle": "Ready", "weight": self.rate, "startedAtMs": 0,
        })
    }
}
