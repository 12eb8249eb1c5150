//! The log answers when and on which connection each step of a packet's delivery happened.

use std::net::TcpListener;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, serve_http};

/// The monotonic time of a log line in seconds.
fn uptime(line: &str) -> f64 {
    let fields = line.strip_prefix('[').and_then(|rest| rest.split(' ').nth(1));
    fields.and_then(|field| field.parse().ok()).unwrap_or_else(|| panic!("no monotonic time: {line}"))
}

#[test]
fn the_log_tells_when_and_on_which_connection_a_packet_was_sent_and_answered() {
    let harness = Harness::new("log-evidence", |_, _| http_response("200 OK", "", ""));
    for id in ["a1", "a2"] {
        assert_eq!(harness.submit(id), "+OK");
        harness.wait_until_store_shows("0 packets not completed");
    }
    let log = harness.log();
    let lines_about_packet = log.lines().filter(|line| line.contains("packet a2: "));
    let expected = [
        "packet a2: taken as ",
        "packet a2: goes to ",
        "packet a2: written on connection=1 calls=1 idle=",
        "packet a2: read on connection=1 calls=2: status=200 first_byte=",
    ];
    let found: Vec<&str> = lines_about_packet.collect();
    let steps: Vec<&str> =
        found.iter().copied().filter(|line| expected.iter().any(|part| line.contains(part))).collect();
    assert_eq!(steps.len(), expected.len(), "{log}");
    for (line, part) in steps.iter().zip(expected) {
        assert!(line.contains(part), "{part} is not next\n{log}");
        assert!(line.starts_with("[20") && line.contains("Z "), "no wall clock time: {line}");
    }
    assert!(steps.is_sorted_by_key(|line| uptime(line)), "{log}");
}

#[test]
fn the_log_tells_when_the_health_of_a_destination_changes() {
    let harness = Harness::new("log-health", |_, _| http_response("200 OK", "", ""));
    let unused = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = unused.expect("a free port");
    harness.platform.set_list(&[list_entry("f", address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    for id in ["a1", "a2", "a3"] {
        assert_eq!(harness.submit(id), "+OK");
    }
    harness.wait_until("the outage", |harness| {
        harness.log().contains("destination 7: health=ejected before=healthy left_out=0")
    });
    serve_http(&address.to_string(), |_| http_response("200 OK", "", ""));
    harness.wait_until("the recovery", |harness| {
        harness.log().contains("destination 7: health=recovering before=ejected left_out=0")
    });
}
