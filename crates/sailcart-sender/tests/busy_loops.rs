//! Peers whose behaviour could make the sender run in a busy loop or flood its log.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{Call, http_response, list_entry, serve_http};

/// Discovery answers each watch at once and without a change.
#[test]
fn a_watch_answered_at_once_is_repeated_with_a_delay() {
    let mut harness = Harness::new("watch-at-once", |_, _| http_response("200 OK", "", ""));
    let request_count = Arc::new(AtomicUsize::new(0));
    let (counter, entry) = (request_count.clone(), list_entry("e", harness.endpoint_address, 7, "Ready"));
    let discovery = serve_http("127.0.0.1:0", move |call: &Call| {
        counter.fetch_add(1, Ordering::SeqCst);
        let reset = !call.start.contains("from=1");
        let entry = if reset { entry.as_str() } else { "" };
        http_response("200 OK", "", &format!(r#"{{"generation":1,"reset":{reset},"instances":[{entry}]}}"#))
    });
    let old_address = harness.discovery_address.to_string();
    harness.restart_with(&[(&old_address, &discovery.to_string())]);
    sleep(Duration::from_millis(500));
    let requests_before = request_count.load(Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    let new_requests = request_count.load(Ordering::SeqCst) - requests_before;
    assert!(new_requests > 5, "the watch was not repeated");
    assert!(new_requests < 30, "{new_requests} list requests in a second");
}

/// A list has many entries of kinds that are not configured: the log gets a few lines and their number, not
/// one line per entry.
#[test]
fn entries_of_unknown_kinds_do_not_flood_the_log() {
    const ENTRIES: usize = 500;
    let harness = Harness::new("unknown-kinds", |_, _| http_response("200 OK", "", ""));
    let entry_of = |number: usize| {
        let name = format!("u{number}");
        list_entry(&name, harness.endpoint_address, 7, "Ready")
            .replace(r#""machineType":"k""#, r#""machineType":"other""#)
    };
    let mut entries: Vec<String> = (0..ENTRIES).map(entry_of).collect();
    entries.push(list_entry("e", harness.endpoint_address, 7, "Ready"));
    harness.platform.set_list(&entries);
    harness.wait_until("the list", |harness| harness.log().contains("discovery: version 2"));
    let log_lines = harness.log().matches("unknown kind").count();
    assert!((1..6).contains(&log_lines), "{log_lines} log lines");
    assert!(harness.log().contains("500 entries"), "the number of entries is not logged");
}
