//! A sender process that stands still for a while (SIGSTOP, a host that holds it up): what arrived meanwhile is read
//! before it decides anything.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::harness::Harness;
use common::{http_response, list_entry, numbered_ok, serve_http, submit};

/// How long the process stands still.
const STOP: Duration = Duration::from_millis(1500);
/// Shorter than it takes until a call without a response counts as stalled.
const SHORT_STOP: Duration = Duration::from_millis(150);
/// Longer than a call that the process had written before it was stopped takes to arrive.
const CALLS_ARRIVED: Duration = Duration::from_millis(100);
/// How often the situation is played: the process is stopped at any point of its work.
const ROUNDS: usize = 5;

type Received = Arc<Mutex<Vec<String>>>;

fn count(received: &Received) -> usize {
    received.lock().expect("no panic").len()
}

/// An endpoint that accepts everything.
fn start_endpoint() -> (SocketAddr, Received) {
    let received = Received::default();
    let ids = received.clone();
    let address = serve_http("127.0.0.1:0", move |call| {
        ids.lock().expect("no panic").push(call.header("X-Call-Id").to_owned());
        http_response("200 OK", "", "")
    });
    (address, received)
}

/// An entry of a destination that accepts few calls, so that packets are held for it.
fn slow_entry(name: &str, address: SocketAddr, state: &str) -> String {
    list_entry(name, address, 7, state).replace(r#""weight":50.0"#, r#""weight":5.0"#)
}

fn submit_packets(harness: &Harness, prefix: &str, packets: usize) {
    for number in 0..packets {
        let id = format!("{prefix}-{number}");
        let fields = format!("c=notice,t=acme,d=8000,k={id},dest=7");
        let reply = submit(harness.listen_address, &id, &fields, "hello").expect("the sender replies");
        assert_eq!(reply, "+OK");
    }
}

// Guards against held packets going to an endpoint that drains because a stopped process acts before it reads.
#[test]
fn a_drain_that_was_told_while_the_process_stood_still_is_heeded_by_its_first_call() {
    let harness = Harness::new("stopped-drain", |_, _| http_response("200 OK", "", ""));
    let mut late_calls = 0;
    for round in 0..ROUNDS {
        let (old, old_received) = start_endpoint();
        let (new, new_received) = start_endpoint();
        harness.platform.set_list(&[slow_entry(&format!("old{round}"), old, "Ready")]);
        harness.wait_until("the list", |harness| {
            harness.log().contains(&format!("discovery: version {}", 2 + 2 * round))
        });
        submit_packets(&harness, &round.to_string(), 8);
        harness.wait_until("a first call", |_| count(&old_received) > 0);
        sleep(Duration::from_millis(37 * round as u64));
        harness.signal("-STOP");
        sleep(CALLS_ARRIVED);
        let before = count(&old_received);
        harness.platform.set_list(&[
            slow_entry(&format!("old{round}"), old, "Draining"),
            slow_entry(&format!("new{round}"), new, "Ready"),
        ]);
        sleep(STOP);
        harness.signal("-CONT");
        harness.wait_until("the rest goes to the new endpoint", |_| count(&new_received) > 0);
        sleep(Duration::from_millis(300));
        late_calls += count(&old_received) - before;
    }
    assert_eq!(late_calls, 0, "calls to an endpoint that drains");
}

// Guards against a packet going again because its response arrived while the process stood still.
#[test]
fn a_response_that_arrived_while_the_process_stood_still_is_not_taken_for_a_timeout() {
    let calls = Arc::new(AtomicUsize::new(0));
    let received = calls.clone();
    let mut harness = Harness::new("stopped-response", move |number, _| {
        received.fetch_add(1, Ordering::SeqCst);
        sleep(Duration::from_millis(250));
        numbered_ok(number)
    });
    // A call has a third of the patience: its time ends while the process stands still.
    harness.restart_with(&[(
        r#""aim_ms": 3000, "hard_limit_ms": 24000"#,
        r#""aim_ms": 1000, "hard_limit_ms": 3000"#,
    )]);
    for round in 0..ROUNDS {
        submit_packets(&harness, &round.to_string(), 1);
        harness.wait_until("the call", |_| calls.load(Ordering::SeqCst) == round + 1);
        sleep(Duration::from_millis(31 * round as u64));
        harness.signal("-STOP");
        sleep(STOP);
        harness.signal("-CONT");
        sleep(Duration::from_millis(600));
        assert_eq!(calls.load(Ordering::SeqCst), round + 1, "called again: {}", harness.log());
    }
    assert!(harness.notices().is_empty(), "{:?}", harness.notices());
}

// Guards against a wait being broken that a response told while the process stood still.
#[test]
fn a_wait_that_was_told_while_the_process_stood_still_is_heeded_by_its_first_call() {
    let (refuses, arrivals) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Instant>::new())));
    let (is_refusing, arrived) = (refuses.clone(), arrivals.clone());
    let harness = Harness::new("stopped-wait", move |number, _| {
        arrived.lock().expect("no panic").push(Instant::now());
        if !is_refusing.swap(false, Ordering::SeqCst) {
            return numbered_ok(number);
        }
        sleep(Duration::from_millis(20));
        http_response("429 Too Many Requests", "Retry-After: 1.9\r\n", "")
    });
    let entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    harness.platform.set_list(&[entry.replace(r#""weight":50.0"#, r#""weight":20.0"#)]);
    harness.wait_until("the list", |harness| harness.log().contains("discovery: version 2"));
    for round in 0..ROUNDS {
        submit_packets(&harness, &round.to_string(), 30);
        // Behind some that were answered, several calls may be in flight at once.
        let answered = arrivals.lock().expect("no panic").len() + 6;
        harness.wait_until("calls", |_| arrivals.lock().expect("no panic").len() >= answered);
        refuses.store(true, Ordering::SeqCst);
        harness.wait_until("the call that is refused", |_| !refuses.load(Ordering::SeqCst));
        harness.signal("-STOP");
        sleep(SHORT_STOP);
        let before = arrivals.lock().expect("no panic").len();
        harness.signal("-CONT");
        // The response was written 20 ms after the call, and its wait counts from then.
        sleep(Duration::from_millis(600));
        let calls = arrivals.lock().expect("no panic").len();
        assert_eq!(calls, before, "round {round}: called during a wait\n{}", harness.log());
        sleep(Duration::from_secs(3));
    }
}
