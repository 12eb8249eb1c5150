//! Races of a call with its endpoint: the connection closes before any byte of a response, or the endpoint
//! drains or requests a wait while the connection is being established.

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

/// Longer than any expected wait in these tests.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
const UNREPEATABLE: (&str, &str) = (r#""repeat": "dedup""#, r#""repeat": "fragile""#);
/// A connect timeout above 1 s, after which the kernel retransmits a SYN.
const LONG_CONNECT_TIMEOUT: (&str, &str) = (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#);

/// Starts a sender with a changed configuration and an endpoint that replies 200.
fn start_harness(scenario: &str, changes: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(scenario, |_, _| http_response("200 OK", "", ""));
    harness.kill();
    for (from, to) in changes {
        assert!(harness.config.contains(from), "{from}");
        harness.config = harness.config.replace(from, to);
    }
    harness.start();
    harness.wait_until("the list", |harness| harness.log().matches("discovery: version 1, ").count() == 2);
    harness
}

/// A listener whose accept fails after [`READ_TIMEOUT`].
fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    SockRef::from(&listener).set_read_timeout(Some(READ_TIMEOUT)).expect("set the accept timeout");
    listener
}

/// Reads one call, up to its body `hello`.
fn read_call(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nhello") {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).expect("read a call");
        assert!(read > 0, "the connection ended within a call");
        received.extend_from_slice(&buffer[..read]);
    }
}

/// A connection is closed or reset without a response to its second call: that call may have executed. A
/// packet that may be repeated is sent again, an unrepeatable one is not.
#[test]
fn a_call_on_a_reused_connection_that_closes_without_a_response_may_have_executed() {
    for (scenario, reset, changes) in [
        ("reused-closed", false, &[][..]),
        ("reused-reset", true, &[][..]),
        ("reused-fragile", true, &[UNREPEATABLE][..]),
    ] {
        let mut harness = start_harness(scenario, changes);
        let endpoint = listener();
        harness.platform.set_list(&[list_entry(
            "f",
            endpoint.local_addr().expect("read the local address"),
            7,
            "Ready",
        )]);
        harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
        let calls = thread::spawn(move || {
            let (mut stream, _) = endpoint.accept().expect("accept a connection");
            read_call(&mut stream);
            stream
                .write_all(http_response("200 OK", "", "").expect("an HTTP response").as_bytes())
                .expect("write to the socket");
            read_call(&mut stream);
            if reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set a zero linger time");
            }
        });
        assert_eq!(harness.submit("a0"), "+OK");
        harness.wait_until_store_shows("0 packets not completed");
        assert_eq!(harness.submit("a1"), "+OK");
        calls.join().expect("the endpoint read two calls on one connection");
        harness.wait_until("the outcome of the call", |harness| harness.log().contains("Reset after"));
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        if changes.is_empty() {
            harness.wait_until("the repeated call", |harness| harness.received_ids() == ["a1"]);
            harness.assert_nothing_pending_after_restart();
            assert_eq!(harness.notices(), [""; 0]);
        } else {
            let expected_notices = [r#"{"message":"a1","outcome":"given_up"}"#];
            harness
                .wait_until("the completion of the packet", |harness| harness.notices() == expected_notices);
            assert_eq!(harness.received_ids(), [""; 0]);
            harness.assert_nothing_pending_after_restart();
        }
    }
}

/// The endpoint drains while a connection to it is being established: the connection carries no call, and the
/// packet is sent to another endpoint.
#[test]
fn a_connection_established_after_its_endpoint_drained_carries_no_call() {
    let mut harness = start_harness("drained-late", &[LONG_CONNECT_TIMEOUT]);
    let delayed_endpoint = DelayedConnectEndpoint::new();
    harness.platform.set_list(&[list_entry("f", delayed_endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    let _queue_filler = delayed_endpoint.fill_backlog();
    assert_eq!(harness.submit("a1"), "+OK");
    delayed_endpoint.wait_for_pending_connect();
    harness.platform.set_list(&[list_entry("f", delayed_endpoint.address, 7, "Terminating")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 3"));
    let mut stream = delayed_endpoint.accept_pending();
    let read = stream.read(&mut [0; 4096]);
    assert!(
        matches!(&read, Ok(0)) || read.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset),
        "the connection carried a call"
    );
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    harness.assert_nothing_pending_after_restart();
    assert_eq!(harness.notices(), [""; 0]);
}

/// A response requests a wait (Retry-After) while the connection of another call is being established: that
/// connection carries no call before the wait has passed.
#[test]
fn a_connection_established_during_a_retry_after_wait_carries_no_call() {
    const RETRY_AFTER: Duration = Duration::from_millis(2500);
    let mut harness = start_harness("wait-late", &[LONG_CONNECT_TIMEOUT]);
    let delayed_endpoint = DelayedConnectEndpoint::new();
    harness.platform.set_list(&[list_entry("f", delayed_endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    assert_eq!(harness.submit("a1"), "+OK");
    let (mut first, _) = delayed_endpoint.listener.accept().expect("accept the first call");
    read_call(&mut first);
    let _queue_filler = delayed_endpoint.fill_backlog();
    assert_eq!(harness.submit("a2"), "+OK");
    delayed_endpoint.wait_for_pending_connect();
    let start = std::time::Instant::now();
    let too_many_requests =
        http_response("429 Too Many Requests", "Retry-After: 2.5\r\n", "").expect("an HTTP response");
    first.write_all(too_many_requests.as_bytes()).expect("write to the socket");
    harness.wait_until("the outcome of the call", |harness| harness.log().contains("Full(Some("));
    let _second = delayed_endpoint.accept_pending();
    harness.wait_until("a call that was not sent", |harness| harness.log().contains("NoSlot after"));
    assert!(start.elapsed() < RETRY_AFTER, "the connection was established after the wait");
    assert!(!harness.log().contains("packet a2: goes to"), "the call was sent");
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
    harness.wait_until("both calls", |harness| harness.received_ids().len() == 2);
    harness.assert_nothing_pending_after_restart();
    assert_eq!(harness.notices(), [""; 0]);
}
