//! The bytes and objects of the protocol, as `docs/protocol.md` and `docs/settings.md` have them.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sailcart::{EndpointId, LimitReport};
use serde_json::{Value, json};

use super::http::{Call, answer};
use crate::experiment::{Category, Late, Repeat, Spoil};
use crate::plan::{OriginId, Plan, SenderId, Standing};
use crate::receivers::{Answer, PieceAnswer};

/// Addresses of endpoints, by their number.
pub type Addresses = [SocketAddr];

fn ms(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

/// A line of the list.
pub fn entry(plan: &Plan, endpoint: EndpointId, standing: Standing, addresses: &Addresses) -> Value {
    let place = plan.place(endpoint);
    let destination = plan.destination(place.destination);
    let lifecycle = match standing {
        Standing::Ready => "Ready",
        Standing::Draining => "Terminating",
        Standing::Gone => "Gone",
    };
    let weight = if plan.experiment.senders.rates_listed { destination.rate } else { 1.0 };
    json!({
        "instanceId": format!("e-{}", endpoint.0), "hostPort": addresses[place.address.0 as usize].to_string(),
        "zone": "z", "machineType": plan.experiment.kinds[destination.kind.0].name,
        "cell": place.destination.0, "lifecycle": lifecycle, "weight": weight, "startedAtMs": 0,
    })
}

/// What a sender reads at its start.
pub fn config(
    plan: &Plan,
    sender: SenderId,
    listen: SocketAddr,
    discovery: SocketAddr,
    state: &Path,
    addresses: &Addresses,
) -> Value {
    let senders = &plan.experiment.senders;
    let first = plan.places.iter().filter(|place| place.from.is_zero());
    let known: Vec<Value> =
        first.map(|place| entry(plan, place.endpoint, Standing::Ready, addresses)).collect();
    json!({
        "name": format!("s{}", sender.0), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "state": state, "seed": format!("{:x}", plan.seed.wrapping_mul(1000) + sender.0 as u64),
        "limits": {
            "cores": 1.0, "memory_mb": senders.memory_mb, "sockets": senders.sockets, "disk_mb": senders.disk_mb
        },
        "known": {"generation": 1, "reset": true, "instances": known},
        "settings": settings(plan),
    })
}

/// The settings of one category.
fn lane(category: &Category) -> Value {
    let repeat = match category.repeat {
        Repeat::Idempotent => "retryable",
        Repeat::Deduplicated => "dedup",
        Repeat::Unrepeatable => "fragile",
    };
    json!({
        "name": category.name, "repeat": repeat, "group": "all",
        "dedup_window_ms": ms(category.memory.unwrap_or_default()), "fifo_by_key": category.in_order,
        "aim_ms": ms(category.soft_limit), "hard_limit_ms": ms(category.patience),
        "gain": category.credit, "late_share": category.late_share,
    })
}

/// What the operators set for all senders.
fn settings(plan: &Plan) -> Value {
    let experiment = &plan.experiment;
    let (senders, rules) = (&experiment.senders, &experiment.rules);
    let lanes: Vec<Value> = experiment.categories.iter().map(lane).collect();
    let customers: Vec<Value> =
        experiment.customers.iter().map(|c| json!({"name": c.name, "quota_per_s": c.quota})).collect();
    let idle = experiment.destinations.iter().map(|group| group.idle_close).min().unwrap_or_default();
    json!({
        "balancers": senders.count, "period_ms": ms(senders.round),
        "weights": if senders.rates_listed { "nominal" } else { "none" },
        "over_share_worth": rules.over_share,
        "report": {"how": "answers", "columns": ["x0", "x1"]},
        "kinds": experiment.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "lanes": lanes, "customers": customers,
        "domain": {
            "call_slots": senders.slots,
            "kind_batch": experiment.kinds.iter().map(|kind| kind.batch).collect::<Vec<_>>(),
            "own_limits": experiment.kinds.iter().map(|kind| kind.own_limits).collect::<Vec<_>>(),
            "late": match experiment.late { Late::Line => "line", Late::Halves => "halves" },
        },
        "bounds": {
            "max_open": senders.hold, "send_cap": senders.dispatches, "cancel": senders.cancel,
            "connect_timeout_ms": ms(senders.connect_time_out), "idle_close_ms": ms(idle),
            "retry_after": senders.retry_after.is_some(),
            "max_retry_after_ms": ms(senders.retry_after.unwrap_or_default()),
        },
        "rules": {
            "cold_from": rules.cold_from, "cold_ms": ms(rules.cold), "fall_multiple": rules.fall_multiple,
            "settle_after_doubt_ms": ms(rules.settle),
        },
    })
}

/// A client's command.
pub fn put(plan: &Plan, origin: OriginId, id: u64, left: Duration) -> Vec<u8> {
    let wanted = &plan.origins[origin.0];
    let category = plan.category(wanted.category);
    let mut fields = format!("c={}", category.name);
    if let Some(customer) = wanted.customer {
        let _ = write!(fields, ",t={}", plan.experiment.customers[customer.0].name);
    }
    let _ = write!(fields, ",d={}", left.as_millis());
    if category.repeat == Repeat::Deduplicated {
        let _ = write!(fields, ",k={:016x}", origin.0);
    }
    let _ = write!(fields, ",dest={}", wanted.destination.0);
    let (key, id) = (format!("{:016x}", wanted.key.map_or(0, |key| key.0 + 1)), format!("{id:016x}"));
    let body = "b".repeat(plan.experiment.load.body);
    let mut bytes = Vec::with_capacity(body.len() + 128);
    bytes.extend_from_slice(b"*5\r\n");
    for word in ["MSG.PUT", &key, &id, &fields, &body] {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// The packets that a call names: id and mark of each. `None` if it cannot be read.
pub fn named(call: &Call) -> Option<Vec<(String, Option<String>)>> {
    match call.path.as_str() {
        "/receive" => Some(vec![(call.id.clone()?, call.mark.clone())]),
        "/receive-many" => {
            let list: Value = serde_json::from_slice(&call.body).ok()?;
            let text = |one: &Value, key: &str| one.get(key).and_then(Value::as_str).map(str::to_owned);
            let each = list.as_array()?.iter().map(|one| {
                STANDARD.decode(one.get("body")?.as_str()?).ok()?;
                Some((text(one, "id")?, text(one, "key")))
            });
            each.collect::<Option<Vec<_>>>().filter(|all| !all.is_empty())
        }
        _ => None,
    }
}

/// An answer as it is written; `None` where the connection just ends.
pub fn written(what: &Answer, ids: &[String], report: Option<LimitReport>) -> Option<Vec<u8>> {
    let report = report.map_or(String::new(), |LimitReport { unused_share: left, limit }| {
        format!("X-Load-Report: x0={left:.3},x1={limit:.3}\r\n")
    });
    let several = ids.len() > 1;
    let states = |state: &dyn Fn(usize) -> &'static str| {
        let each: Vec<Value> =
            ids.iter().enumerate().map(|(at, id)| json!({"id": id, "state": state(at)})).collect();
        json!(each).to_string()
    };
    let done = if several { states(&|_| "accepted") } else { String::new() };
    let waits = |wait: &Option<Duration>| {
        wait.map_or(String::new(), |wait| format!("Retry-After: {:.3}\r\n", wait.as_secs_f64()))
    };
    Some(match what {
        Answer::Done => answer("200 OK", &report, &done),
        Answer::Error => answer("500 Internal Server Error", &report, ""),
        Answer::Full(Some(wait)) => {
            answer("429 Too Many Requests", &format!("{report}{}", waits(&Some(*wait))), "")
        }
        Answer::Full(None) => answer("503 Service Unavailable", &report, ""),
        Answer::Reset => return None,
        Answer::Mixed(each, wait) => {
            let state = |at: usize| match each[at] {
                PieceAnswer::Accepted => "accepted",
                PieceAnswer::Fault => "fault",
                PieceAnswer::Deferred => "deferred",
            };
            answer("200 OK", &format!("{report}{}", waits(wait)), &states(&state))
        }
        Answer::Spoilt(manner) => spoilt(*manner, &done),
    })
}

fn spoilt(manner: Spoil, done: &str) -> Vec<u8> {
    match manner {
        Spoil::Noise => (0u16..700).map(|nth| (nth.wrapping_mul(197) >> 3) as u8 | 0x80).collect(),
        Spoil::EndlessHead => {
            let lines = "X-More: of the same\r\n".repeat(4000);
            format!("HTTP/1.1 200 OK\r\n{lines}").into_bytes()
        }
        Spoil::WrongLength => format!("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n{done}").into_bytes(),
        Spoil::Huge => b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbegin".to_vec(),
        Spoil::SecondCopy => answer("200 OK", "", done).repeat(2),
        Spoil::Continue => [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), answer("200 OK", "", done)].concat(),
    }
}
