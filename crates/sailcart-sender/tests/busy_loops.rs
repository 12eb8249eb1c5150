//! Peers that answer at once, again and again: nothing runs in a loop without a pause for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{Call, http_response, list_entry, serve_http};

/// An agent that answers each watch at once, and with nothing new.
#[test]
fn a_watch_that_ends_at_once_is_not_asked_again_without_a_pause() {
    let mut world = Harness::new("watch-at-once", |_, _| http_response("200 OK", "", ""));
    let asked = Arc::new(AtomicUsize::new(0));
    let (own, line) = (asked.clone(), list_entry("e", world.endpoint_address, 7, "Ready"));
    let agent = serve_http("127.0.0.1:0", move |call: &Call| {
        own.fetch_add(1, Ordering::SeqCst);
        let whole = !call.start.contains("from=1");
        let line = if whole { line.as_str() } else { "" };
        http_response("200 OK", "", &format!(r#"{{"generation":1,"reset":{whole},"instances":[{line}]}}"#))
    });
    let discovery = world.discovery_address.to_string();
    world.restart_with(&[(&discovery, &agent.to_string())]);
    sleep(Duration::from_millis(500));
    let before = asked.load(Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    let more = asked.load(Ordering::SeqCst) - before;
    assert!(more > 5, "it is asked all the same");
    assert!(more < 30, "asked {more} times in a second");
}

/// A list with many entries of kinds that the settings do not know: a few lines and their number, not a line each.
#[test]
fn entries_of_unknown_kinds_do_not_flood_the_log() {
    const ENTRIES: usize = 500;
    let world = Harness::new("unknown-kinds", |_, _| http_response("200 OK", "", ""));
    let line = |number: usize| {
        let name = format!("u{number}");
        list_entry(&name, world.endpoint_address, 7, "Ready")
            .replace(r#""machineType":"k""#, r#""machineType":"other""#)
    };
    let mut all: Vec<String> = (0..ENTRIES).map(line).collect();
    all.push(list_entry("e", world.endpoint_address, 7, "Ready"));
    world.platform.set_list(&all);
    world.wait_until("the list", |world| world.log().contains("discovery: version 2"));
    let lines = world.log().matches("unknown kind").count();
    assert!((1..6).contains(&lines), "{lines} lines");
    assert!(world.log().contains("500 entries"), "their number is told");
}
