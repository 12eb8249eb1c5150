//! Sudden ends of the sender at one named point between the acceptance of a packet and its acknowledged
//! notice. Each point is found from outside: by a record in the state folder, by a byte at a peer, or by a
//! file size limit at which the kernel ends the process (SIGXFSZ).

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
    let mut world = Harness::new(name, reply);
    world.kill();
    replace_in_config(&mut world, ADD_UNREPEATABLE);
    world.start();
    world.wait_until("the list", |world| world.log().matches("discovery: version 1, 1 entries").count() == 2);
    world
}

fn replace_in_config(world: &mut Harness, (from, to): (&str, &str)) {
    assert!(world.config.contains(from), "{from}");
    world.config = world.config.replace(from, to);
}

fn fields(category: &str, id: &str, destination: u64) -> String {
    format!("c={category},t=acme,d=20000,k={id},dest={destination}")
}

fn submit_accepted(world: &Harness, category: &str, id: &str, body: &str) {
    let reply = submit(world.listen_address, id, &fields(category, id, 7), body).expect("an answer");
    assert_eq!(reply, "+OK");
}

fn scrapped_notice(id: &str) -> String {
    format!(r#"{{"message":"{id}","outcome":"given_up"}}"#)
}

/// The notices that the platform has received, without repetitions: a notice of the killed process may arrive
/// late, and the next process sends it again.
fn distinct_notices(world: &Harness) -> Vec<String> {
    let mut notices = world.notices();
    notices.sort();
    notices.dedup();
    notices
}

/// Replies for an endpoint that answers only calls that arrive after `answers` has been set, and never
/// earlier ones.
fn reply_once_set(answers: &Arc<AtomicBool>) -> impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static {
    let answers = answers.clone();
    move |_, _| {
        while !answers.load(Ordering::SeqCst) {
            thread::park();
        }
        http_response("200 OK", "", "")
    }
}

/// Starts the next process over a packet whose call is in flight according to the journal and whose answer
/// was lost. A repeatable packet is sent again under the same idempotency key; an unrepeatable one is
/// scrapped.
fn restart_after_lost_answer(world: &mut Harness, category: &str, calls_before: &[&str]) {
    world.start();
    if category == REPEATABLE {
        let calls_after = [calls_before, &["a1"]].concat();
        world.wait_until("the repeated call", |world| world.received_ids() == calls_after);
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    } else {
        world.wait_until("the notice", |world| world.notices() == [scrapped_notice("a1")]);
        assert_eq!(world.received_ids(), calls_before, "an unrepeatable packet was sent again");
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [scrapped_notice("a1")]);
    }
}

/// The packet is in the journal, and its client has no answer yet. The next process delivers the packet once,
/// and the client, which submits it again, gets `+OK`.
#[test]
fn between_the_acceptance_record_and_ok() {
    let mut world = start_sender("record-ok", |_, _| http_response("200 OK", "", ""));
    world.kill();
    replace_in_config(&mut world, (PERIOD, LONG_PERIOD));
    world.start();
    submit_accepted(&world, REPEATABLE, "a0", ""); // a round has just run
    let mut client = TcpStream::connect(world.listen_address).expect("a connection");
    client.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    client
        .write_all(submit_command("a1", &fields(REPEATABLE, "a1", 7), "hello").as_bytes())
        .expect("the command is written");
    world.wait_until_store_shows("packet a1: ");
    world.kill();
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert_eq!(received, b"", "the client got an answer");
    let calls = world.received_ids();
    assert!(!calls.contains(&"a1".to_owned()), "the packet was dispatched");
    replace_in_config(&mut world, (LONG_PERIOD, PERIOD));
    world.start();
    submit_accepted(&world, REPEATABLE, "a1", "hello");
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.received_ids().iter().filter(|id| *id == "a1").count(), 1);
    assert_eq!(world.notices(), [""; 0]);
}

/// The packet was accepted, and its connection is still being opened. It was never dispatched, so the next
/// process sends it in either category.
#[test]
fn between_ok_and_the_connection() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut world = start_sender(&format!("untried-{category}"), |_, _| http_response("200 OK", "", ""));
        let late = DelayedConnectEndpoint::new();
        world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        world.wait_until("the list update", |world| world.log().contains("discovery: version 2"));
        let _queue_filler = late.fill_backlog();
        submit_accepted(&world, category, "a1", "");
        late.wait_for_pending_connect();
        world.kill();
        assert!(world.store_summary().contains("0 dispatches"), "{}", world.store_summary());
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        world.start();
        world.wait_until("the call", |world| world.received_ids() == ["a1"]);
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    }
}

/// The dispatch is in the journal, but no byte of the call was sent. The next process cannot know that and
/// must assume that the packet may have been executed. The process ends at its next log line, which is
/// written between the two.
#[test]
fn between_the_dispatch_record_and_the_first_byte() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut world =
            start_sender(&format!("first-byte-{category}"), |_, _| http_response("200 OK", "", ""));
        world.kill();
        replace_in_config(&mut world, LONG_CONNECT_TIMEOUT);
        world.start();
        let late = DelayedConnectEndpoint::new();
        world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        world.wait_until("the list update", |world| world.log().contains("discovery: version 2"));
        let log = OpenOptions::new().append(true).open(world.folder.join("log"));
        log.and_then(|mut log| log.write_all(" ".repeat(LARGE_BYTES).as_bytes()))
            .expect("the padding of the log");
        let _queue_filler = late.fill_backlog();
        submit_accepted(&world, category, "a1", "");
        late.wait_for_pending_connect();
        let submission_logged = |world: &Harness| {
            world
                .log()
                .split("packet a1: taken")
                .nth(1)
                .is_some_and(|log_after| log_after.contains("connection ended"))
        };
        world.wait_until("the last log line of the submission", submission_logged);
        assert!(world.segment_bytes() < LARGE_BYTES as u64);
        world.limit_file_size(world.log_bytes());
        let mut connection = late.accept_pending();
        world.wait_for_file_size_signal();
        let mut received = Vec::new();
        let _ = connection.read_to_end(&mut received);
        assert_eq!(received, b"", "bytes of the call were sent");
        assert!(world.store_summary().contains("1 dispatches, one in flight"), "{}", world.store_summary());
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        restart_after_lost_answer(&mut world, category, &[]);
    }
}

/// The endpoint has received the full call and has not answered.
#[test]
fn between_the_last_byte_and_the_answer() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let answers = Arc::new(AtomicBool::new(false));
        let mut world = start_sender(&format!("last-byte-{category}"), reply_once_set(&answers));
        submit_accepted(&world, category, "a1", "");
        world.wait_until("the full call", |world| world.received_ids() == ["a1"]);
        world.kill();
        answers.store(true, Ordering::SeqCst);
        restart_after_lost_answer(&mut world, category, &["a1"]);
    }
}

/// The answer was received and parsed, and the process ends while it writes the outcome to the journal.
#[test]
fn between_the_answer_and_its_record() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let answers = Arc::new(AtomicBool::new(false));
        let answer_allowed = answers.clone();
        let mut world = start_sender(&format!("outcome-{category}"), move |_, _| {
            while !answer_allowed.load(Ordering::SeqCst) {
                thread::yield_now();
            }
            http_response("200 OK", "", "")
        });
        submit_accepted(&world, category, "a1", &"x".repeat(LARGE_BYTES));
        world.wait_until("the full call", |world| world.received_ids() == ["a1"]);
        world.wait_until_store_shows("1 dispatches, one in flight");
        assert!(world.log_bytes() < LARGE_BYTES as u64);
        world.limit_file_size(world.segment_bytes());
        answers.store(true, Ordering::SeqCst);
        world.wait_for_file_size_signal();
        assert!(world.log().contains("Done after"), "the answer was not parsed");
        assert!(world.store_summary().contains("one in flight"), "{}", world.store_summary());
        restart_after_lost_answer(&mut world, category, &["a1"]);
    }
}

/// The completion is in the journal, and no notice was sent: the next process sends it.
#[test]
fn between_the_completion_record_and_the_notice() {
    let mut world = start_sender("end-notice", |_, _| None);
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    submit_accepted(&world, UNREPEATABLE, "a1", "");
    world.wait_until_store_shows("pending notice for a1: scrapped");
    world.kill();
    assert_eq!(world.notices(), [""; 0]);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("the notice", |world| distinct_notices(world) == [scrapped_notice("a1")]);
    assert_eq!(world.received_ids(), ["a1"]);
    world.assert_nothing_pending_after_restart();
    assert_eq!(distinct_notices(&world), [scrapped_notice("a1")]);
}

/// The platform has received the notice, and its acknowledgement was lost: the next process sends the same
/// notice again and no other.
#[test]
fn between_the_notice_and_its_acknowledgement() {
    let mut world = start_sender("notice-acknowledged", |_, _| None);
    world.platform.withhold_acknowledgements.store(true, Ordering::SeqCst);
    submit_accepted(&world, UNREPEATABLE, "a1", "");
    world.wait_until("the notice", |world| !world.notices().is_empty());
    world.kill();
    let notices_before = world.notices().len();
    world.platform.withhold_acknowledgements.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("the repeated notice", |world| world.notices().len() > notices_before);
    assert_eq!(world.received_ids(), ["a1"]);
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.notices(), vec![scrapped_notice("a1"); notices_before + 1]);
}

/// The process is killed twice during recovery, before it accepts clients: while discovery does not answer,
/// and while its port is in use and calls are in flight. Neither may lose a packet or a pending notice.
#[test]
fn during_recovery() {
    let answers = Arc::new(AtomicBool::new(false));
    let reply_when_set = reply_once_set(&answers);
    let mut world = start_sender("recovery", move |number, call| {
        if call.header("X-Call-Id") == "reset" { None } else { reply_when_set(number, call) }
    });
    let list = |state| {
        [
            list_entry("e", world.endpoint_address, 7, "Ready"),
            list_entry("g", world.endpoint_address, 8, state),
        ]
    };
    let (drained, ready) = (list("Terminating"), list("Ready"));
    world.platform.set_list(&drained);
    world.wait_until("the list update", |world| world.log().contains("discovery: version 2"));
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    submit_accepted(&world, UNREPEATABLE, "reset", "");
    world.wait_until_store_shows("pending notice for reset: scrapped");
    submit_accepted(&world, REPEATABLE, "doubt", "");
    submit_accepted(&world, UNREPEATABLE, "scrap", "");
    let reply = submit(world.listen_address, "untried", &fields(REPEATABLE, "untried", 8), "");
    assert_eq!(reply.expect("an answer"), "+OK");
    world.wait_until("the calls", |world| world.received_ids().len() == 3);
    world.kill();
    let stored = world.store_summary();
    assert!(stored.contains("3 packets not completed, 1 pending notices"), "{stored}");

    // Killed while it waits for the list.
    let listen_lines = world.log().matches(" listens on ").count();
    world.platform.unresponsive.store(true, Ordering::SeqCst);
    let list_requests = world.platform.list_requests.load(Ordering::SeqCst);
    world.spawn_sender(None);
    world.wait_until("recovery", |world| world.log().matches("recovery: 3 packets, 1 notices").count() == 1);
    world.wait_until("a call for the list", |world| {
        world.platform.list_requests.load(Ordering::SeqCst) > list_requests
    });
    world.kill();
    assert!(
        world.store_summary().contains("3 packets not completed, 1 pending notices"),
        "{}",
        world.store_summary()
    );

    // Killed while its port is in use, its calls are in flight, and a completion is recorded.
    let port = TcpListener::bind(world.listen_address).expect("the port");
    world.platform.set_list(&ready);
    world.platform.unresponsive.store(false, Ordering::SeqCst);
    world.spawn_sender(None);
    world.wait_until("recovery", |world| world.log().matches("recovery: 3 packets, 1 notices").count() == 2);
    world.wait_until("the calls", |world| world.received_ids().len() == 5);
    world.wait_until_store_shows("pending notice for scrap: scrapped");
    world.kill();
    assert_eq!(world.log().matches(" listens on ").count(), listen_lines, "the sender accepted clients");
    drop(port);

    answers.store(true, Ordering::SeqCst);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("the calls", |world| world.received_ids().len() == 7);
    world.assert_nothing_pending_after_restart();
    let call_count = |id: &str| world.received_ids().iter().filter(|other| *other == id).count();
    assert_eq!(
        ["reset", "scrap", "doubt", "untried"].map(call_count),
        [1, 1, 3, 2],
        "{:?}",
        world.received_ids()
    );
    assert_eq!(distinct_notices(&world), [scrapped_notice("reset"), scrapped_notice("scrap")]);
}
