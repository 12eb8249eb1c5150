//! What crosses a call to an endpoint: its connection dies before any byte of an answer, its endpoint drains while it comes up.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::delayed_connect::DelayedConnectEndpoint;
use common::harness::Harness;
use common::{http_response, list_entry};

/// Longer than anything is waited for here.
const LONGEST: Duration = Duration::from_secs(8);
const FRAGILE: (&str, &str) = (r#""repeat": "dedup""#, r#""repeat": "fragile""#);
/// More than the second after which the system knocks again.
const PATIENT: (&str, &str) = (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#);

/// A sender with another configuration, and an endpoint that delivers.
fn world(story: &str, changes: &[(&str, &str)]) -> Harness {
    let mut world = Harness::new(story, |_, _| http_response("200 OK", "", ""));
    world.kill();
    for (from, to) in changes {
        assert!(world.config.contains(from), "{from}");
        world.config = world.config.replace(from, to);
    }
    world.start();
    world.wait_until("the list", |world| world.log().matches("discovery: version 1, 1 entries").count() == 2);
    world
}

/// A listener in which nobody is waited for without end.
fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    SockRef::from(&listener).set_read_timeout(Some(LONGEST)).expect("a bounded wait");
    listener
}

fn read_call(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(LONGEST)).expect("a time-out");
    let mut came = Vec::new();
    while !came.ends_with(b"\r\n\r\nhello") {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).expect("a call");
        assert!(read > 0, "a whole call");
        came.extend_from_slice(&buffer[..read]);
    }
}

/// A connection that carried a call before gets another, and is closed or reset over it: the call may have run.
#[test]
fn a_reused_connection_that_dies_without_an_answer_may_have_run() {
    for (story, reset, changes) in [
        ("reused-closed", false, &[][..]),
        ("reused-reset", true, &[][..]),
        ("reused-fragile", true, &[FRAGILE][..]),
    ] {
        let mut world = world(story, changes);
        let endpoint = listener();
        world.platform.set_list(&[list_entry("f", endpoint.local_addr().expect("an address"), 7, "Ready")]);
        world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
        let calls = thread::spawn(move || {
            let (mut stream, _) = endpoint.accept().expect("a connection");
            read_call(&mut stream);
            stream.write_all(http_response("200 OK", "", "").expect("words").as_bytes()).expect("room");
            read_call(&mut stream);
            if reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a reset at its close");
            }
        });
        assert_eq!(world.submit("a0"), "+OK");
        world.wait_until_store_shows("0 packets not completed");
        assert_eq!(world.submit("a1"), "+OK");
        calls.join().expect("two calls on one connection");
        world.wait_until("its outcome", |world| world.log().contains("Reset after"));
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        if changes.is_empty() {
            world.wait_until("its repeat", |world| world.received_ids() == ["a1"]);
            world.assert_nothing_pending_after_restart();
            assert_eq!(world.notices(), [""; 0]);
        } else {
            let told = [r#"{"message":"a1","outcome":"given_up"}"#];
            world.wait_until("its end", |world| world.notices() == told);
            assert_eq!(world.received_ids(), [""; 0]);
            world.assert_nothing_pending_after_restart();
        }
    }
}

/// The endpoint drains while a connection to it comes up: it carries no call, and its packet goes elsewhere.
#[test]
fn a_connection_that_comes_up_at_a_drained_endpoint_carries_no_call() {
    let mut world = world("drained-late", &[PATIENT]);
    let late = DelayedConnectEndpoint::new();
    world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    let _filler = late.fill_backlog();
    assert_eq!(world.submit("a1"), "+OK");
    late.wait_for_pending_connect();
    world.platform.set_list(&[list_entry("f", late.address, 7, "Terminating")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 3"));
    let mut stream = late.accept_pending();
    let read = stream.read(&mut [0; 4096]);
    assert!(matches!(&read, Ok(0)) || read.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset), "no call");
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
    world.wait_until("its call", |world| world.received_ids() == ["a1"]);
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.notices(), [""; 0]);
}

/// One call is told to wait while the connection of another comes up: that one carries none before the wait is over.
#[test]
fn a_connection_that_comes_up_in_a_told_wait_carries_no_call() {
    const WAIT: Duration = Duration::from_millis(2500);
    let mut world = world("wait-late", &[PATIENT]);
    let late = DelayedConnectEndpoint::new();
    world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    assert_eq!(world.submit("a1"), "+OK");
    let (mut first, _) = late.listener.accept().expect("the first call");
    read_call(&mut first);
    let _filler = late.fill_backlog();
    assert_eq!(world.submit("a2"), "+OK");
    late.wait_for_pending_connect();
    let start = std::time::Instant::now();
    let turned_away = http_response("429 Too Many Requests", "Retry-After: 2.5\r\n", "").expect("words");
    first.write_all(turned_away.as_bytes()).expect("room");
    world.wait_until("its outcome", |world| world.log().contains("Full(Some("));
    let _second = late.accept_pending();
    world.wait_until("a call that did not go", |world| world.log().contains("NoSlot after"));
    assert!(start.elapsed() < WAIT, "it came up within the wait");
    assert!(!world.log().contains("packet a2: goes to"), "no byte of it went");
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
    world.wait_until("both", |world| world.received_ids().len() == 2);
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.notices(), [""; 0]);
}
