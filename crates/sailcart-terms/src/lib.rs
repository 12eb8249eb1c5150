//! The settings of a sender, read into [`Terms`], the wire's names and what only the carrier needs.

mod value;

use std::collections::HashMap;
use std::time::Duration;

use sailcart::{Category, Customer, Kind, Late, Repeat, Report, Return, Terms};
use serde_json::Value;

pub use value::{Fault, member, span, take_number, take_text};

/// The wire's names for what the sender knows by position.
pub struct Names {
    pub categories: HashMap<String, usize>,
    pub customers: HashMap<String, usize>,
    pub kinds: HashMap<String, usize>,
    /// Where answers tell of limits.
    pub reports: Option<Reports>,
}

/// Where in a report, and under which name, a lane's limit stands.
pub struct Reports {
    pub left: (usize, String),
    pub limit: (usize, String),
}

impl Reports {
    /// From the values of a report. One that cannot be read is none, and neither is one of no limit.
    pub fn read(&self, value: impl Fn(&(usize, String)) -> Option<f64>) -> Option<Report> {
        let report = Report { left: value(&self.left)?, limit: value(&self.limit)? };
        let sane = (0.0..=1.0).contains(&report.left) && report.limit.is_finite() && report.limit > 0.0;
        sane.then_some(report)
    }
}

/// What the carrier keeps to, and no decision needs.
pub struct Carriage {
    /// The least time from one round to the next.
    pub round: Duration,
    /// Endpoints close a connection at the latest once it has stood idle for this long.
    pub idle_close: Duration,
}

/// The carrier's part of the settings; a simulator plays it itself.
pub fn read_carriage(env: &Value) -> Result<Carriage, Fault> {
    Ok(Carriage { round: ms(env, "period_ms")?, idle_close: ms(member(env, "bounds")?, "idle_close_ms")? })
}

pub fn read(env: &Value) -> Result<(Terms, Names), Fault> {
    let bounds = member(env, "bounds")?;
    let domain = member(env, "domain")?;
    let rules = member(env, "rules")?;
    let lanes = list(env, "lanes")?;
    let customers = match env.get("customers") {
        None | Some(Value::Null) => &[],
        Some(_) => list(env, "customers")?,
    };
    let kinds = texts(list(env, "kinds")?, "kinds")?;
    let names = Names {
        categories: positions(named(lanes)?),
        customers: positions(named(customers)?),
        kinds: positions(kinds.clone()),
        reports: reports(env)?,
    };
    let retry_after = match truth(bounds, "retry_after")? {
        true => Some(ms(bounds, "max_retry_after_ms")?),
        false => None,
    };
    let terms = Terms {
        senders: some(whole(env, "balancers")?, "balancers")?,
        slots: some(whole(domain, "call_slots")?, "call_slots")?,
        hold: whole(bounds, "max_open")?,
        dispatches: u32::try_from(whole(bounds, "send_cap")?).unwrap_or(u32::MAX),
        cancel: truth(bounds, "cancel")?,
        connect_time_out: ms(bounds, "connect_timeout_ms")?,
        retry_after,
        settle: match rules.get("settle_after_doubt_ms") {
            None | Some(Value::Null) => Duration::ZERO,
            Some(_) => ms(rules, "settle_after_doubt_ms")?,
        },
        categories: lanes.iter().map(category).collect::<Result<_, _>>()?,
        customers: customers
            .iter()
            .map(|c| Ok(Customer { quota: number(c, "quota_per_s")? }))
            .collect::<Result<_, Fault>>()?,
        over_share: match env.get("over_share_worth") {
            None | Some(Value::Null) => 1.0,
            Some(_) => number(env, "over_share_worth")?,
        },
        kinds: (0..kinds.len()).map(|i| kind(domain, i)).collect::<Result<_, _>>()?,
        limits_told: names.reports.is_some(),
        list_asked: match env.get("registry_mode").and_then(Value::as_str) {
            Some("subscribe") => Some(ms(rules, "ask_within_ms")?),
            _ => None,
        },
        rates_listed: matches!(text(env, "weights")?, "nominal" | "rough"),
        late: match text(domain, "late")? {
            "line" => Late::Line,
            "halves" => Late::Halves,
            other => return Err(format!("expected a known way in late, not {other}").into()),
        },
        back: Return {
            cold_from: number(rules, "cold_from")?,
            cold: some(ms(rules, "cold_ms")?, "cold_ms")?,
            fall_multiple: number(rules, "fall_multiple")?,
        },
    };
    Ok((terms, names))
}

/// Of the fields that an answer's report may have, those of a destination's limit.
fn reports(env: &Value) -> Result<Option<Reports>, Fault> {
    let Some(report) = env.get("report").filter(|report| !report.is_null()) else { return Ok(None) };
    if text(report, "how")? != "answers" {
        return Ok(None);
    }
    let columns = texts(list(report, "columns")?, "columns")?;
    let place = |name: &str| columns.iter().position(|c| *c == name).map(|at| (at, name.to_owned()));
    Ok(place("x0").zip(place("x1")).map(|(left, limit)| Reports { left, limit }))
}

fn category(lane: &Value) -> Result<Category, Fault> {
    let repeat = match text(lane, "repeat")? {
        "retryable" => Repeat::Idempotent,
        "dedup" if text(lane, "group")? == "all" => {
            Repeat::Deduplicated { memory: ms(lane, "dedup_window_ms")? }
        }
        // The interface knows no memory of only some endpoints.
        "dedup" => Repeat::Unrepeatable,
        "fragile" => Repeat::Unrepeatable,
        other => return Err(format!("expected a known repeat, not {other}").into()),
    };
    Ok(Category {
        repeat,
        in_order: lane.get("fifo_by_key").and_then(Value::as_bool).unwrap_or(false),
        soft_limit: some(ms(lane, "aim_ms")?, "aim_ms")?,
        patience: some(ms(lane, "hard_limit_ms")?, "hard_limit_ms")?,
        credit: number(lane, "gain")?,
        late_share: number(lane, "late_share")?,
    })
}

/// The last of a list serves for the rest.
fn kind(domain: &Value, at: usize) -> Result<Kind, Fault> {
    let own = list(domain, "own_limits")?;
    let batch = list(domain, "kind_batch")?;
    let own =
        own.get(at).or(own.last()).and_then(Value::as_bool).ok_or("expected truth values in own_limits")?;
    let batch = batch.get(at).or(batch.last()).and_then(Value::as_u64);
    let batch = batch.ok_or("expected whole numbers in kind_batch")?;
    Ok(Kind { own_limits: own, batch: usize::try_from(batch).unwrap_or(1) })
}

fn positions(names: Vec<&str>) -> HashMap<String, usize> {
    names.into_iter().enumerate().map(|(at, name)| (name.to_owned(), at)).collect()
}

fn named(list: &[Value]) -> Result<Vec<&str>, Fault> {
    list.iter().map(|entry| text(entry, "name")).collect()
}

fn texts<'a>(list: &'a [Value], what: &str) -> Result<Vec<&'a str>, Fault> {
    list.iter().map(|entry| take_text(entry, what)).collect()
}

fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], Fault> {
    let list = member(value, key)?.as_array();
    list.map(Vec::as_slice).ok_or_else(|| format!("expected an array in {key}").into())
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, Fault> {
    take_text(member(value, key)?, key)
}

fn number(value: &Value, key: &str) -> Result<f64, Fault> {
    take_number(member(value, key)?, key)
}

fn ms(value: &Value, key: &str) -> Result<Duration, Fault> {
    span(member(value, key)?, key)
}

fn whole(value: &Value, key: &str) -> Result<usize, Fault> {
    let whole = member(value, key)?.as_u64().and_then(|n| usize::try_from(n).ok());
    whole.ok_or_else(|| format!("expected a whole number in {key}").into())
}

/// What may not be nothing.
fn some<T: Default + PartialOrd>(amount: T, key: &str) -> Result<T, Fault> {
    if amount > T::default() { Ok(amount) } else { Err(format!("expected more than 0 in {key}").into()) }
}

fn truth(value: &Value, key: &str) -> Result<bool, Fault> {
    member(value, key)?.as_bool().ok_or_else(|| format!("expected true or false in {key}").into())
}
