//! List changes while discovery does not respond: the sender has to receive them within a bounded time.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry};

/// Time within which the sender must have a list that discovery has.
const MAX_LIST_DELAY: Duration = Duration::from_secs(6);

fn list_requests(harness: &Harness) -> usize {
    harness.platform.list_requests.load(Ordering::SeqCst)
}

/// Open watches are never answered, as in the experiment calm+brink. Guards against receiving a missed change
/// only when the watch times out after 21 s.
#[test]
fn a_change_missed_by_an_unresponsive_watch_is_received_in_time() {
    let harness = Harness::new("watch", |_, _| http_response("200 OK", "", ""));
    harness.wait_until("a watch after the first list", |harness| list_requests(harness) > 1);
    harness.platform.ignore_watches_before.store(list_requests(&harness), Ordering::SeqCst);
    let start = Instant::now();
    harness.platform.set_list(&[list_entry("f", harness.endpoint_address, 7, "Ready")]);
    harness
        .wait_until("the list change", |harness| harness.log().contains("discovery: version 2, 1 entries"));
    assert!(start.elapsed() < MAX_LIST_DELAY, "{:?}", start.elapsed());
}

/// Discovery does not respond for seconds and then recovers, as in the experiment herd+brink. Guards against
/// backoff delays that have grown during the outage.
#[test]
fn the_list_is_received_soon_after_discovery_recovers() {
    let harness = Harness::new("return", |_, _| http_response("200 OK", "", ""));
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    harness.platform.set_list(&[list_entry("f", harness.endpoint_address, 7, "Ready")]);
    let requests_before = list_requests(&harness);
    harness.wait_until("consecutive failed list requests", |harness| {
        list_requests(harness) > requests_before + 4
    });
    harness.platform.unresponsive.store(false, Ordering::SeqCst);
    let start = Instant::now();
    harness
        .wait_until("the list change", |harness| harness.log().contains("discovery: version 2, 1 entries"));
    assert!(start.elapsed() < MAX_LIST_DELAY, "{:?}", start.elapsed());
    assert_eq!(harness.log().matches("code=no_list").count(), 1, "log lines for one outage");
}

/// A starting sender must use the list that discovery has at that time: an endpoint that drained while the
/// sender was down gets no call, although the newest list that was known before names it as ready.
#[test]
fn a_start_receives_the_list_before_it_dispatches() {
    let mut harness = Harness::new("first", |_, _| http_response("200 OK", "", ""));
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    assert_eq!(harness.submit("a1"), "+OK");
    harness.kill();
    // Newer than what the first process recorded, and older than what discovery has.
    let ready = list_entry("e", harness.endpoint_address, 7, "Ready");
    let known_list = format!(r#""known": {{ "generation": 3, "reset": true, "instances": [{ready}] }}"#);
    harness.platform.set_list(&[ready]);
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
    harness.config = harness
        .config
        .replace(r#""known": { "generation": 0, "reset": true, "instances": [] }"#, &known_list);
    assert!(harness.config.contains(&known_list));
    *harness.platform.list_delay.lock().expect("mutex is not poisoned") = Duration::from_millis(300);
    harness.start();
    harness.wait_until("the list", |harness| harness.log().contains("discovery: version 4"));
    assert!(harness.log().contains("recovery: 1 packets"));
    assert!(!harness.log().contains("code=from_record"));
    assert_eq!(harness.received_ids(), [""; 0], "a draining endpoint received a call");
    harness.platform.set_list(&[list_entry("f", harness.endpoint_address, 7, "Ready")]);
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
}

/// A sender also starts while discovery does not respond, with the list of the previous process.
#[test]
fn a_start_waits_for_unresponsive_discovery_no_longer_than_a_call() {
    let mut harness = Harness::new("mute", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    let start = Instant::now();
    harness.start();
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
