//! Reads the settings of a deployment, which the platform provides as JSON.
//!
//! [`read`] returns the [`Settings`] that decisions depend on, and the [`Names`] that translate between the
//! wire and the positions used in `Settings`. [`read_host_settings`] returns what only the host needs.

mod value;

use std::collections::HashMap;
use std::time::Duration;

use sailcart::{Category, CreditDecay, Customer, Kind, LimitReport, RecoveryProfile, Repeat, Settings};
use serde_json::Value;

pub use value::{ValueError, member, read_milliseconds, read_number, read_text};

/// Maps the names used on the wire to positions in [`Settings`].
#[derive(Clone)]
pub struct Names {
    pub categories: HashMap<String, usize>,
    pub customers: HashMap<String, usize>,
    pub kinds: HashMap<String, usize>,
    /// The fields of load reports that contain an upstream's limit; `None` if answers report no limits.
    pub report_fields: Option<ReportFields>,
}

/// The position and name of the fields of a load report that contain an upstream's limit.
#[derive(Clone)]
pub struct ReportFields {
    /// The share of the limit that is unused.
    pub unused_share: (usize, String),
    /// The limit in calls per second.
    pub limit: (usize, String),
}

impl ReportFields {
    /// Builds a report from its fields, which `value` looks up by position and name. Returns `None` if a
    /// field is missing, the share is outside of 0 to 1, or the limit is not a positive finite number.
    pub fn read(&self, value: impl Fn(&(usize, String)) -> Option<f64>) -> Option<LimitReport> {
        let report = LimitReport { unused_share: value(&self.unused_share)?, limit: value(&self.limit)? };
        let valid =
            (0.0..=1.0).contains(&report.unused_share) && report.limit.is_finite() && report.limit > 0.0;
        valid.then_some(report)
    }
}

/// Settings that concern only the host and influence no decision.
pub struct HostSettings {
    pub min_round_interval: Duration,
    /// Endpoints close a connection that has been idle for this long, or earlier.
    pub idle_close: Duration,
}

/// Reads the settings of the host. A simulator is its own host and doesn't need them.
pub fn read_host_settings(value: &Value) -> Result<HostSettings, ValueError> {
    Ok(HostSettings {
        min_round_interval: milliseconds_in(value, "period_ms")?,
        idle_close: milliseconds_in(member(value, "bounds")?, "idle_close_ms")?,
    })
}

/// Reads the settings that decisions depend on. Unknown keys are ignored. The error names the key that is
/// missing or malformed.
pub fn read(value: &Value) -> Result<(Settings, Names), ValueError> {
    let bounds = member(value, "bounds")?;
    let domain = member(value, "domain")?;
    let rules = member(value, "rules")?;
    let categories = list_in(value, "lanes")?;
    let customers = match value.get("customers") {
        None | Some(Value::Null) => &[],
        Some(_) => list_in(value, "customers")?,
    };
    let kinds = read_texts(list_in(value, "kinds")?, "kinds")?;
    let names = Names {
        categories: index_by_name(entry_names(categories)?),
        customers: index_by_name(entry_names(customers)?),
        kinds: index_by_name(kinds.clone()),
        report_fields: report_fields(value)?,
    };
    let max_retry_after = match bool_in(bounds, "retry_after")? {
        true => Some(milliseconds_in(bounds, "max_retry_after_ms")?),
        false => None,
    };
    let settings = Settings {
        senders: positive(count_in(value, "balancers")?, "balancers")?,
        slots: positive(count_in(domain, "call_slots")?, "call_slots")?,
        max_held: count_in(bounds, "max_open")?,
        max_dispatches: u32::try_from(count_in(bounds, "send_cap")?).unwrap_or(u32::MAX),
        can_cancel: bool_in(bounds, "cancel")?,
        connect_timeout: milliseconds_in(bounds, "connect_timeout_ms")?,
        max_retry_after,
        key_block_time: match rules.get("settle_after_doubt_ms") {
            None | Some(Value::Null) => Duration::ZERO,
            Some(_) => milliseconds_in(rules, "settle_after_doubt_ms")?,
        },
        categories: categories.iter().map(read_category).collect::<Result<_, _>>()?,
        customers: customers
            .iter()
            .map(|customer| Ok(Customer { packets_per_second: number_in(customer, "quota_per_s")? }))
            .collect::<Result<_, ValueError>>()?,
        over_quota_credit_share: match value.get("over_share_worth") {
            None | Some(Value::Null) => 1.0,
            Some(_) => number_in(value, "over_share_worth")?,
        },
        kinds: (0..kinds.len()).map(|index| read_kind(domain, index)).collect::<Result<_, _>>()?,
        limits_reported: names.report_fields.is_some(),
        max_list_staleness: match value.get("registry_mode").and_then(Value::as_str) {
            Some("subscribe") => Some(milliseconds_in(rules, "ask_within_ms")?),
            _ => None,
        },
        rates_listed: matches!(text_in(value, "weights")?, "nominal" | "rough"),
        credit_decay: match text_in(domain, "late")? {
            "line" => CreditDecay::Linear,
            "halves" => CreditDecay::Halving,
            other => return Err(format!("expected line or halves in late, not {other}").into()),
        },
        recovery: RecoveryProfile {
            initial_capacity_share: number_in(rules, "cold_from")?,
            warm_up: positive(milliseconds_in(rules, "cold_ms")?, "cold_ms")?,
            overload_factor: number_in(rules, "fall_multiple")?,
        },
    };
    Ok((settings, names))
}

/// Of the columns of the answers' load reports, those that contain an upstream's limit.
fn report_fields(value: &Value) -> Result<Option<ReportFields>, ValueError> {
    let Some(report) = value.get("report").filter(|report| !report.is_null()) else { return Ok(None) };
    if text_in(report, "how")? != "answers" {
        return Ok(None);
    }
    let columns = read_texts(list_in(report, "columns")?, "columns")?;
    let column = |name: &str| columns.iter().position(|c| *c == name).map(|index| (index, name.to_owned()));
    Ok(column("x0").zip(column("x1")).map(|(unused_share, limit)| ReportFields { unused_share, limit }))
}

fn read_category(category: &Value) -> Result<Category, ValueError> {
    let repeat = match text_in(category, "repeat")? {
        "retryable" => Repeat::Idempotent,
        "dedup" if text_in(category, "group")? == "all" => {
            Repeat::Deduplicated { memory: milliseconds_in(category, "dedup_window_ms")? }
        }
        // `Repeat` cannot express deduplication by only some of the endpoints, so this counts as
        // unrepeatable.
        "dedup" => Repeat::Unrepeatable,
        "fragile" => Repeat::Unrepeatable,
        other => return Err(format!("expected retryable, dedup or fragile in repeat, not {other}").into()),
    };
    Ok(Category {
        repeat,
        in_order: category.get("fifo_by_key").and_then(Value::as_bool).unwrap_or(false),
        soft_limit: positive(milliseconds_in(category, "aim_ms")?, "aim_ms")?,
        patience: positive(milliseconds_in(category, "hard_limit_ms")?, "hard_limit_ms")?,
        credit: number_in(category, "gain")?,
        min_credit_share: number_in(category, "late_share")?,
    })
}

/// Reads the kind at this position. The last element of each array applies to all later positions too.
fn read_kind(domain: &Value, index: usize) -> Result<Kind, ValueError> {
    let own_limits = list_in(domain, "own_limits")?;
    let batches = list_in(domain, "kind_batch")?;
    let per_route_limits = own_limits
        .get(index)
        .or(own_limits.last())
        .and_then(Value::as_bool)
        .ok_or("expected an array of true or false in own_limits")?;
    let max_batch = batches.get(index).or(batches.last()).and_then(Value::as_u64);
    let max_batch = max_batch.ok_or("expected an array of whole numbers in kind_batch")?;
    Ok(Kind { per_route_limits, max_batch: usize::try_from(max_batch).unwrap_or(1) })
}

fn index_by_name(names: Vec<&str>) -> HashMap<String, usize> {
    names.into_iter().enumerate().map(|(index, name)| (name.to_owned(), index)).collect()
}

fn entry_names(list: &[Value]) -> Result<Vec<&str>, ValueError> {
    list.iter().map(|entry| text_in(entry, "name")).collect()
}

fn read_texts<'a>(list: &'a [Value], what: &str) -> Result<Vec<&'a str>, ValueError> {
    list.iter().map(|entry| read_text(entry, what)).collect()
}

fn list_in<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], ValueError> {
    let list = member(value, key)?.as_array();
    list.map(Vec::as_slice).ok_or_else(|| format!("expected an array in {key}").into())
}

fn text_in<'a>(value: &'a Value, key: &str) -> Result<&'a str, ValueError> {
    read_text(member(value, key)?, key)
}

fn number_in(value: &Value, key: &str) -> Result<f64, ValueError> {
    read_number(member(value, key)?, key)
}

fn milliseconds_in(value: &Value, key: &str) -> Result<Duration, ValueError> {
    read_milliseconds(member(value, key)?, key)
}

fn count_in(value: &Value, key: &str) -> Result<usize, ValueError> {
    let count = member(value, key)?.as_u64().and_then(|n| usize::try_from(n).ok());
    count.ok_or_else(|| format!("expected a whole number in {key}").into())
}

/// Fails if the amount is zero.
fn positive<T: Default + PartialOrd>(amount: T, key: &str) -> Result<T, ValueError> {
    if amount > T::default() { Ok(amount) } else { Err(format!("expected more than 0 in {key}").into()) }
}

fn bool_in(value: &Value, key: &str) -> Result<bool, ValueError> {
    member(value, key)?.as_bool().ok_or_else(|| format!("expected true or false in {key}").into())
}
