//! Calls with several packets hold what endpoints accept.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use common::harness::Harness;
use common::{Call, HttpReply, http_response, list_entry, numbered_ok, serve_http, submit};
use sailcart_sender::wire::call::{self, CallPacket};
use serde_json::Value;

/// Largest body that an endpoint accepts.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Accepts the packets of a call, or rejects a call that is too large, of which none is executed then.
fn accept(number: usize, call: &Call, delivered: &Mutex<Vec<(String, usize)>>) -> HttpReply {
    if call.body.len() > MAX_BODY_BYTES {
        return http_response("400 Bad Request", "", "");
    }
    if call.start.starts_with("POST /receive ") {
        delivered.lock().expect("no panic").push((call.header("X-Call-Id").to_owned(), call.body.len()));
        return numbered_ok(number);
    }
    let entries: Vec<Value> = serde_json::from_slice(&call.body).expect("an array");
    let states = entries.iter().map(|entry| {
        let id = entry["id"].as_str().expect("an id");
        let body = STANDARD.decode(entry["body"].as_str().expect("a body")).expect("Base64");
        delivered.lock().expect("no panic").push((id.to_owned(), body.len()));
        format!(r#"{{"id":"{id}","state":"accepted"}}"#)
    });
    let states: Vec<String> = states.collect();
    http_response("200 OK", &format!("X-Number: {number}\r\n"), &format!("[{}]", states.join(",")))
}

// Guards against large packets that come together being lost in one call that no endpoint accepts.
#[test]
fn large_packets_that_come_together_are_delivered_in_calls_that_endpoints_accept() {
    let delivered = Arc::new(Mutex::new(Vec::new()));
    let (calls, accepted) = (Mutex::new(0), delivered.clone());
    let address = serve_http("127.0.0.1:0", move |call| {
        let mut calls = calls.lock().expect("no panic");
        *calls += 1;
        accept(*calls, call, &accepted)
    });
    let mut harness = Harness::new("large-packets", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[
        (r#""kind_batch": [1]"#, r#""kind_batch": [10]"#),
        (r#""period_ms": 5"#, r#""period_ms": 200"#),
    ]);
    harness.platform.set_list(&[list_entry("f", address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    let sizes = [16_384, 16_384, 65_536, 100, 30_000, 16_384, 16_384, 24_000, 1, 16_384, 16_384, 48_000];
    let submissions = sizes.iter().enumerate().map(|(number, size)| {
        let (address, body) = (harness.listen_address, "x".repeat(*size));
        thread::spawn(move || {
            let id = format!("p{number}");
            let fields = format!("c=notice,t=acme,d=8000,k={id},dest=7");
            submit(address, &id, &fields, &body).expect("the sender replies")
        })
    });
    for submission in submissions.collect::<Vec<_>>() {
        assert_eq!(submission.join().expect("no panic"), "+OK");
    }
    harness.wait_until_store_shows("0 packets not completed");
    thread::sleep(Duration::from_millis(100));
    assert_eq!(harness.notices(), [""; 0]);
    let mut delivered = delivered.lock().expect("no panic").clone();
    delivered.sort();
    let mut expected: Vec<_> =
        sizes.iter().enumerate().map(|(number, size)| (format!("p{number}"), *size)).collect();
    expected.sort();
    assert_eq!(delivered, expected);
}

// Guards against sizes that are estimated: an entry's size is that of its bytes on the wire.
#[test]
fn the_size_of_an_entry_is_that_of_its_bytes() {
    for id in ["a", "quote\"back\\slash", "line\nfeed\u{1}\u{7f}", "größe→🦀", ""] {
        for key in [None, Some("k\t\u{8}\u{c}\r")] {
            for length in [0, 1, 2, 3, 4, 1000] {
                let body = vec![0xfe; length];
                let packet = || CallPacket { id, idempotency_key: key, body: &body };
                let request = call::write("h", &[packet(), packet()], Duration::from_secs(1));
                let request = String::from_utf8(request).expect("UTF-8");
                let (_, list) = request.split_once("\r\n\r\n").expect("a body");
                assert_eq!(list.len(), 2 * call::entry_bytes(&packet()) + 3, "{list}");
            }
        }
    }
}
