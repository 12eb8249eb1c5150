//! The protocol between the lab and the senders: configuration, list entries, client commands, calls and
//! responses, as `docs/protocol.md` and `docs/settings.md` specify them. The JSON keys and the texts are part
//! of that protocol.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sailcart::{EndpointId, LimitReport};
use serde_json::{Value, json};

use super::http::{Call, response};
use crate::experiment::{Category, Late, MalformedAnswer, Repeat};
use crate::plan::{ListState, Plan, PlannedPacketId, SenderId};
use crate::receivers::{Answer, PacketAnswer};

/// Socket addresses by endpoint number.
pub type Addresses = [SocketAddr];

/// Milliseconds, with microseconds as the fraction.
fn as_ms(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1000.0
}

/// One entry of the discovery list.
pub fn list_entry(plan: &Plan, endpoint: EndpointId, state: ListState, addresses: &Addresses) -> Value {
    let planned_endpoint = plan.endpoint(endpoint);
    let destination = plan.destination(planned_endpoint.destination);
    let lifecycle = match state {
        ListState::Ready => "Ready",
        ListState::Draining => "Terminating",
        ListState::Removed => "Gone",
    };
    let weight = if plan.experiment.senders.rates_listed { destination.rate } else { 1.0 };
    json!({
        "instanceId": format!("e-{}", endpoint.0),
        "hostPort": addresses[planned_endpoint.address_owner.0 as usize].to_string(),
        "zone": "z", "machineType": plan.experiment.kinds[destination.kind.0].name,
        "cell": planned_endpoint.destination.0, "lifecycle": lifecycle, "weight": weight, "startedAtMs": 0,
    })
}

/// The configuration file of a sender.
pub fn sender_config(
    plan: &Plan,
    sender: SenderId,
    listen: SocketAddr,
    discovery: SocketAddr,
    state: &Path,
    addresses: &Addresses,
) -> Value {
    let senders = &plan.experiment.senders;
    let initial = plan.endpoints.iter().filter(|planned_endpoint| planned_endpoint.added_at.is_zero());
    let initial_entries: Vec<Value> = initial
        .map(|planned_endpoint| list_entry(plan, planned_endpoint.endpoint, ListState::Ready, addresses))
        .collect();
    json!({
        "name": format!("s{}", sender.0), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "state": state, "seed": format!("{:x}", plan.seed.wrapping_mul(1000) + sender.0 as u64),
        "limits": {
            "cores": 1.0, "memory_mb": senders.memory_mb, "sockets": senders.sockets, "disk_mb": senders.disk_mb
        },
        "known": {"generation": 1, "reset": true, "instances": initial_entries},
        "settings": settings(plan),
    })
}

/// The settings of one category, an entry of `lanes`.
fn category_settings(category: &Category) -> Value {
    let repeat = match category.repeat {
        Repeat::Idempotent => "retryable",
        Repeat::Deduplicated => "dedup",
        Repeat::Unrepeatable => "fragile",
    };
    json!({
        "name": category.name, "repeat": repeat, "group": "all",
        "dedup_window_ms": as_ms(category.memory.unwrap_or_default()), "fifo_by_key": category.in_order,
        "aim_ms": as_ms(category.soft_limit), "hard_limit_ms": as_ms(category.patience),
        "gain": category.credit, "late_share": category.late_share,
    })
}

/// The settings that operators make for all senders.
fn settings(plan: &Plan) -> Value {
    let experiment = &plan.experiment;
    let (senders, rules) = (&experiment.senders, &experiment.rules);
    let categories: Vec<Value> = experiment.categories.iter().map(category_settings).collect();
    let customers: Vec<Value> =
        experiment.customers.iter().map(|c| json!({"name": c.name, "quota_per_s": c.quota})).collect();
    let idle = experiment.destinations.iter().map(|group| group.idle_close).min().unwrap_or_default();
    json!({
        "balancers": senders.count, "period_ms": as_ms(senders.round),
        "weights": if senders.rates_listed { "nominal" } else { "none" },
        "over_share_worth": rules.over_share,
        "report": {"how": "answers", "columns": ["x0", "x1"]},
        "kinds": experiment.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "lanes": categories, "customers": customers,
        "domain": {
            "call_slots": senders.slots,
            "kind_batch": experiment.kinds.iter().map(|kind| kind.batch).collect::<Vec<_>>(),
            "own_limits": experiment.kinds.iter().map(|kind| kind.own_limits).collect::<Vec<_>>(),
            "late": match experiment.late { Late::Line => "line", Late::Halves => "halves" },
        },
        "bounds": {
            "max_open": senders.hold, "send_cap": senders.dispatches, "cancel": senders.cancel,
            "connect_timeout_ms": as_ms(senders.connect_time_out), "idle_close_ms": as_ms(idle),
            "retry_after": senders.retry_after.is_some(),
            "max_retry_after_ms": as_ms(senders.retry_after.unwrap_or_default()),
        },
        "rules": {
            "cold_from": rules.cold_from, "cold_ms": as_ms(rules.cold), "fall_multiple": rules.fall_multiple,
            "settle_after_doubt_ms": as_ms(rules.settle),
        },
    })
}

/// The command `MSG.PUT` with which a client submits a packet. `time_left` is the time to its deadline.
pub fn submit_command(plan: &Plan, planned_packet: PlannedPacketId, id: u64, time_left: Duration) -> Vec<u8> {
    let planned = &plan.planned_packets[planned_packet.0];
    let category = plan.category(planned.category);
    let mut fields = format!("c={}", category.name);
    if let Some(customer) = planned.customer {
        let _ = write!(fields, ",t={}", plan.experiment.customers[customer.0].name);
    }
    let _ = write!(fields, ",d={}", time_left.as_millis());
    if category.repeat == Repeat::Deduplicated {
        let _ = write!(fields, ",k={:016x}", planned_packet.0);
    }
    let _ = write!(fields, ",dest={}", planned.destination.0);
    let (key, id) = (format!("{:016x}", planned.key.map_or(0, |key| key.0 + 1)), format!("{id:016x}"));
    let body = "b".repeat(plan.experiment.load.body);
    let mut bytes = Vec::with_capacity(body.len() + 128);
    bytes.extend_from_slice(b"*5\r\n");
    for argument in ["MSG.PUT", &key, &id, &fields, &body] {
        bytes.extend_from_slice(format!("${}\r\n{argument}\r\n", argument.len()).as_bytes());
    }
    bytes
}

/// Id and idempotency key of each packet in a call; `None` if the call is malformed.
pub fn packets_in_call(call: &Call) -> Option<Vec<(String, Option<String>)>> {
    match call.path.as_str() {
        "/receive" => Some(vec![(call.call_id.clone()?, call.idempotency_key.clone())]),
        "/receive-many" => {
            let items: Value = serde_json::from_slice(&call.body).ok()?;
            let text = |item: &Value, key: &str| item.get(key).and_then(Value::as_str).map(str::to_owned);
            let each = items.as_array()?.iter().map(|item| {
                STANDARD.decode(item.get("body")?.as_str()?).ok()?;
                Some((text(item, "id")?, text(item, "key")))
            });
            each.collect::<Option<Vec<_>>>().filter(|all| !all.is_empty())
        }
        _ => None,
    }
}

/// The response to a call with these packets; `None` if the connection is reset instead.
pub fn response_bytes(answer: &Answer, ids: &[String], report: Option<LimitReport>) -> Option<Vec<u8>> {
    let report = report.map_or(String::new(), |LimitReport { unused_share, limit }| {
        format!("X-Load-Report: x0={unused_share:.3},x1={limit:.3}\r\n")
    });
    let is_batch = ids.len() > 1;
    let batch_body = |state: &dyn Fn(usize) -> &'static str| {
        let each: Vec<Value> =
            ids.iter().enumerate().map(|(at, id)| json!({"id": id, "state": state(at)})).collect();
        json!(each).to_string()
    };
    let body = if is_batch { batch_body(&|_| "accepted") } else { String::new() };
    let retry_after = |wait: &Option<Duration>| {
        wait.map_or(String::new(), |wait| format!("Retry-After: {:.3}\r\n", wait.as_secs_f64()))
    };
    Some(match answer {
        Answer::Done => response("200 OK", &report, &body),
        Answer::Error => response("500 Internal Server Error", &report, ""),
        Answer::Rejected(Some(wait)) => {
            response("429 Too Many Requests", &format!("{report}{}", retry_after(&Some(*wait))), "")
        }
        Answer::Rejected(None) => response("503 Service Unavailable", &report, ""),
        Answer::Reset => return None,
        Answer::Mixed(each, wait) => {
            let state = |at: usize| match each[at] {
                PacketAnswer::Accepted => "accepted",
                PacketAnswer::Failed => "fault",
                PacketAnswer::Deferred => "deferred",
            };
            response("200 OK", &format!("{report}{}", retry_after(wait)), &batch_body(&state))
        }
        Answer::Malformed(kind) => malformed_response(*kind, &body),
    })
}

/// A malformed or misleading response to a call whose packets took effect.
fn malformed_response(kind: MalformedAnswer, body: &str) -> Vec<u8> {
    match kind {
        MalformedAnswer::Noise => {
            (0u16..700).map(|index| (index.wrapping_mul(197) >> 3) as u8 | 0x80).collect()
        }
        MalformedAnswer::EndlessHead => {
            let lines = "X-More: of the same\r\n".repeat(4000);
            format!("HTTP/1.1 200 OK\r\n{lines}").into_bytes()
        }
        MalformedAnswer::WrongLength => {
            format!("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n{body}").into_bytes()
        }
        MalformedAnswer::Huge => b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbegin".to_vec(),
        MalformedAnswer::SecondCopy => response("200 OK", "", body).repeat(2),
        MalformedAnswer::Continue => {
            [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), response("200 OK", "", body)].concat()
        }
    }
}
