//! Sudden termination of the sender at each of several points between the acceptance of a packet and its
//! acknowledged notice. Each point is found from outside: by a record in the state folder, by a byte at a
//! peer, or by a file size limit at which the kernel ends the process (SIGXFSZ).

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::delayed_connect::DelayedConnectEndpoint;
use common::harness::Harness;
use common::{Call, HttpReply, http_response, list_entry, submit, submit_command};

/// Category of the example configuration whose packets may be repeated.
const REPEATABLE: &str = "notice";
/// Category, added by [`ADD_UNREPEATABLE`], whose packets must not be executed twice.
const UNREPEATABLE: &str = "once";
/// Replacement that adds the category [`UNREPEATABLE`] to the configuration.
const ADD_UNREPEATABLE: (&str, &str) = (
    r#""lanes": ["#,
    r#""lanes": [
      {
        "name": "once", "repeat": "fragile", "group": "all", "aim_ms": 3000, "hard_limit_ms": 24000,
        "gain": 1, "late_share": 0.5
      },"#,
);
/// The period of rounds in the example configuration.
const PERIOD: &str = r#""period_ms": 5,"#;
/// A client is answered in the next round, with this period up to 4 s after the previous one.
const LONG_PERIOD: &str = r#""period_ms": 4000,"#;
/// A connect time-out that exceeds the second after which the kernel sends the next SYN.
const LONG_CONNECT_TIMEOUT: (&str, &str) = (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#);
/// More bytes than the log reaches in a test.
const LARGE_BYTES: usize = 40_000;

/// Starts a sender that has both categories and one endpoint in its list.
fn start_sender(name: &str, reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static) -> Harness {
    let mut harness = Harness::new(name, reply);
    harness.kill();
    replace_in_config(&mut harness, ADD_UNREPEATABLE);
    harness.start();
    harness.wait_until("the list", |harness| harness.log().matches("discovery: version 1, ").count() == 2);
    harness
}

fn replace_in_config(harness: &mut Harness, (from, to): (&str, &str)) {
    assert!(harness.config.contains(from), "{from}");
    harness.config = harness.config.replace(from, to);
}

fn fields(category: &str, id: &str, destination: u64) -> String {
    format!("c={category},t=acme,d=20000,k={id},dest={destination}")
}

fn submit_accepted(harness: &Harness, category: &str, id: &str, body: &str) {
    let reply =
        submit(harness.listen_address, id, &fields(category, id, 7), body).expect("the sender replies");
    assert_eq!(reply, "+OK");
}

fn scrapped_notice(id: &str) -> String {
    format!(r#"{{"message":"{id}","outcome":"given_up"}}"#)
}

/// The notices that the platform has received, without repetitions: a notice of the killed process may arrive
/// late, and the next process sends it again.
fn distinct_notices(harness: &Harness) -> Vec<String> {
    let mut notices = harness.notices();
    notices.sort();
    notices.dedup();
    notices
}

/// Reply function of an endpoint that replies only to calls that arrive after `replies_enabled` has been set,
/// and never to earlier ones.
fn reply_once_enabled(
    replies_enabled: &Arc<AtomicBool>,
) -> impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static {
    let replies_enabled = replies_enabled.clone();
    move |_, _| {
        while !replies_enabled.load(Ordering::SeqCst) {
            thread::park();
        }
        http_response("200 OK", "", "")
    }
}

/// Starts the next process over a packet whose call is in flight according to the journal and whose response
/// was lost. A repeatable packet is sent again under the same idempotency key; an unrepeatable one is
/// scrapped.
fn restart_after_lost_response(harness: &mut Harness, category: &str, calls_before: &[&str]) {
    harness.start();
    if category == REPEATABLE {
        let calls_after = [calls_before, &["a1"]].concat();
        harness.wait_until("the repeated call", |harness| harness.received_ids() == calls_after);
        harness.assert_nothing_pending_after_restart();
        assert_eq!(harness.notices(), [""; 0]);
    } else {
        harness.wait_until("the notice", |harness| harness.notices() == [scrapped_notice("a1")]);
        assert_eq!(harness.received_ids(), calls_before, "an unrepeatable packet was sent again");
        harness.assert_nothing_pending_after_restart();
        assert_eq!(harness.notices(), [scrapped_notice("a1")]);
    }
}

/// The packet is in the journal, and its client has no reply yet. The next process delivers the packet once,
/// and the client, which submits it again, gets `+OK`.
#[test]
fn between_the_acceptance_record_and_ok() {
    let mut harness = start_sender("record-ok", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    replace_in_config(&mut harness, (PERIOD, LONG_PERIOD));
    harness.start();
    submit_accepted(&harness, REPEATABLE, "a0", ""); // a round has just run
    let mut client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    client.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read timeout");
    client
        .write_all(submit_command("a1", &fields(REPEATABLE, "a1", 7), "hello").as_bytes())
        .expect("the command is written");
    harness.wait_until_store_shows("packet a1: ");
    harness.kill();
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert_eq!(received, b"", "the client got a reply");
    let calls = harness.received_ids();
    assert!(!calls.contains(&"a1".to_owned()), "the packet was dispatched");
    replace_in_config(&mut harness, (LONG_PERIOD, PERIOD));
    harness.start();
    submit_accepted(&harness, REPEATABLE, "a1", "hello");
    harness.assert_nothing_pending_after_restart();
    assert_eq!(harness.received_ids().iter().filter(|id| *id == "a1").count(), 1);
    assert_eq!(harness.notices(), [""; 0]);
}

/// The packet was accepted, and its connection is still being opened. It was never dispatched, so the next
/// process sends it in either category.
#[test]
fn between_ok_and_the_connection() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut harness =
            start_sender(&format!("untried-{category}"), |_, _| http_response("200 OK", "", ""));
        let late = DelayedConnectEndpoint::new();
        harness.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
        let _queue_filler = late.fill_backlog();
        submit_accepted(&harness, category, "a1", "");
        late.wait_for_pending_connect();
        harness.kill();
        assert!(harness.store_summary().contains("0 dispatches"), "{}", harness.store_summary());
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        harness.start();
        harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
        harness.assert_nothing_pending_after_restart();
        assert_eq!(harness.notices(), [""; 0]);
    }
}

/// The dispatch is in the journal, but no byte of the call was sent. The next process cannot know that and
/// must assume that the packet may have been executed. The process ends at its next log line, which is
/// written between the two.
#[test]
fn between_the_dispatch_record_and_the_first_byte() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut harness =
            start_sender(&format!("first-byte-{category}"), |_, _| http_response("200 OK", "", ""));
        harness.kill();
        replace_in_config(&mut harness, LONG_CONNECT_TIMEOUT);
        harness.start();
        let late = DelayedConnectEndpoint::new();
        harness.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
        let log = OpenOptions::new().append(true).open(harness.folder.join("log"));
        log.and_then(|mut log| log.write_all(" ".repeat(LARGE_BYTES).as_bytes())).expect("write to the log");
        let _queue_filler = late.fill_backlog();
        submit_accepted(&harness, category, "a1", "");
        late.wait_for_pending_connect();
        let submission_logged = |harness: &Harness| {
            harness
                .log()
                .split("packet a1: taken")
                .nth(1)
                .is_some_and(|log_after| log_after.contains("connection ended"))
        };
        harness.wait_until("the last log line of the submission", submission_logged);
        assert!(harness.segment_bytes() < LARGE_BYTES as u64);
        harness.limit_file_size(harness.log_bytes());
        let mut connection = late.accept_pending();
        harness.wait_for_file_size_signal();
        let mut received = Vec::new();
        let _ = connection.read_to_end(&mut received);
        assert_eq!(received, b"", "bytes of the call were sent");
        assert!(
            harness.store_summary().contains("1 dispatches, one in flight"),
            "{}",
            harness.store_summary()
        );
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        restart_after_lost_response(&mut harness, category, &[]);
    }
}

/// The endpoint has received the full call and has not responded.
#[test]
fn between_the_last_byte_and_the_response() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let replies_enabled = Arc::new(AtomicBool::new(false));
        let mut harness =
            start_sender(&format!("last-byte-{category}"), reply_once_enabled(&replies_enabled));
        submit_accepted(&harness, category, "a1", "");
        harness.wait_until("the full call", |harness| harness.received_ids() == ["a1"]);
        harness.kill();
        replies_enabled.store(true, Ordering::SeqCst);
        restart_after_lost_response(&mut harness, category, &["a1"]);
    }
}

/// The response was received and parsed, and the process ends while it writes the outcome to the journal.
#[test]
fn between_the_response_and_its_record() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let replies_enabled = Arc::new(AtomicBool::new(false));
        let endpoint_replies_enabled = replies_enabled.clone();
        let mut harness = start_sender(&format!("outcome-{category}"), move |_, _| {
            while !endpoint_replies_enabled.load(Ordering::SeqCst) {
                thread::yield_now();
            }
            http_response("200 OK", "", "")
        });
        submit_accepted(&harness, category, "a1", &"x".repeat(LARGE_BYTES));
        harness.wait_until("the full call", |harness| harness.received_ids() == ["a1"]);
        harness.wait_until_store_shows("1 dispatches, one in flight");
        assert!(harness.log_bytes() < LARGE_BYTES as u64);
        harness.limit_file_size(harness.segment_bytes());
        replies_enabled.store(true, Ordering::SeqCst);
        harness.wait_for_file_size_signal();
        assert!(harness.log().contains("Done after"), "the response was not parsed");
        assert!(harness.store_summary().contains("one in flight"), "{}", harness.store_summary());
        restart_after_lost_response(&mut harness, category, &["a1"]);
    }
}

/// The completion is in the journal, and no notice was sent: the next process sends it.
#[test]
fn between_the_completion_record_and_the_notice() {
    let mut harness = start_sender("end-notice", |_, _| None);
    harness.platform.reject_notices.store(true, Ordering::SeqCst);
    submit_accepted(&harness, UNREPEATABLE, "a1", "");
    harness.wait_until_store_shows("pending notice for a1: scrapped");
    harness.kill();
    assert_eq!(harness.notices(), [""; 0]);
    harness.platform.reject_notices.store(false, Ordering::SeqCst);
    harness.start();
    harness.wait_until("the notice", |harness| distinct_notices(harness) == [scrapped_notice("a1")]);
    assert_eq!(harness.received_ids(), ["a1"]);
    harness.assert_nothing_pending_after_restart();
    assert_eq!(distinct_notices(&harness), [scrapped_notice("a1")]);
}

/// The platform has received the notice, and its acknowledgement was lost: the next process sends the same
/// notice again and no other.
#[test]
fn between_the_notice_and_its_acknowledgement() {
    let mut harness = start_sender("notice-acknowledged", |_, _| None);
    harness.platform.withhold_acknowledgements.store(true, Ordering::SeqCst);
    submit_accepted(&harness, UNREPEATABLE, "a1", "");
    harness.wait_until("the notice", |harness| !harness.notices().is_empty());
    harness.kill();
    let notices_before = harness.notices().len();
    harness.platform.withhold_acknowledgements.store(false, Ordering::SeqCst);
    harness.start();
    harness.wait_until("the repeated notice", |harness| harness.notices().len() > notices_before);
    assert_eq!(harness.received_ids(), ["a1"]);
    harness.assert_nothing_pending_after_restart();
    assert_eq!(harness.notices(), vec![scrapped_notice("a1"); notices_before + 1]);
}

/// The process is killed twice during recovery, before it accepts clients: while discovery does not respond,
/// and while its port is in use and calls are in flight. Neither may lose a packet or a pending notice.
#[test]
fn during_recovery() {
    let replies_enabled = Arc::new(AtomicBool::new(false));
    let endpoint_reply = reply_once_enabled(&replies_enabled);
    let mut harness = start_sender("recovery", move |number, call| {
        if call.header("X-Call-Id") == "reset" { None } else { endpoint_reply(number, call) }
    });
    let list = |state| {
        [
            list_entry("e", harness.endpoint_address, 7, "Ready"),
            list_entry("g", harness.endpoint_address, 8, state),
        ]
    };
    let (drained, ready) = (list("Terminating"), list("Ready"));
    harness.platform.set_list(&drained);
    harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
    harness.platform.reject_notices.store(true, Ordering::SeqCst);
    submit_accepted(&harness, UNREPEATABLE, "reset", "");
    harness.wait_until_store_shows("pending notice for reset: scrapped");
    submit_accepted(&harness, REPEATABLE, "doubt", "");
    submit_accepted(&harness, UNREPEATABLE, "scrap", "");
    let reply = submit(harness.listen_address, "untried", &fields(REPEATABLE, "untried", 8), "");
    assert_eq!(reply.expect("the sender replies"), "+OK");
    harness.wait_until("the calls", |harness| harness.received_ids().len() == 3);
    harness.kill();
    let stored = harness.store_summary();
    assert!(stored.contains("3 packets not completed, 1 pending notices"), "{stored}");

    // Killed while it waits for the list.
    let listen_lines = harness.log().matches(" listens on ").count();
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    let list_requests = harness.platform.list_requests.load(Ordering::SeqCst);
    harness.spawn_sender(None);
    harness.wait_until("recovery", |harness| {
        harness.log().matches("recovery: 3 packets, 1 notices").count() == 1
    });
    harness.wait_until("a call for the list", |harness| {
        harness.platform.list_requests.load(Ordering::SeqCst) > list_requests
    });
    harness.kill();
    assert!(
        harness.store_summary().contains("3 packets not completed, 1 pending notices"),
        "{}",
        harness.store_summary()
    );

    // Killed while its port is in use, its calls are in flight, and a completion is recorded.
    let port = TcpListener::bind(harness.listen_address).expect("bind the port of the sender");
    harness.platform.set_list(&ready);
    harness.platform.unresponsive.store(false, Ordering::SeqCst);
    harness.spawn_sender(None);
    harness.wait_until("recovery", |harness| {
        harness.log().matches("recovery: 3 packets, 1 notices").count() == 2
    });
    harness.wait_until("the calls", |harness| harness.received_ids().len() == 5);
    harness.wait_until_store_shows("pending notice for scrap: scrapped");
    harness.kill();
    assert_eq!(harness.log().matches(" listens on ").count(), listen_lines, "the sender accepted clients");
    drop(port);

    replies_enabled.store(true, Ordering::SeqCst);
    harness.platform.reject_notices.store(false, Ordering::SeqCst);
    harness.start();
    harness.wait_until("the calls", |harness| harness.received_ids().len() == 7);
    harness.assert_nothing_pending_after_restart();
    let call_count = |id: &str| harness.received_ids().iter().filter(|other| *other == id).count();
    assert_eq!(
        ["reset", "scrap", "doubt", "untried"].map(call_count),
        [1, 1, 3, 2],
        "{:?}",
        harness.received_ids()
    );
    assert_eq!(distinct_notices(&harness), [scrapped_notice("reset"), scrapped_notice("scrap")]);
}
