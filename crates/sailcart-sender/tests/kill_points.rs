//! A sender that ends suddenly at one named point of a packet's way. Each point is chosen by what is seen from outside: a record in
//! the folder, a byte at a peer, or the kernel's end of a process at its first write beyond the limit of a file's size.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::delayed_connect::DelayedConnectEndpoint;
use common::harness::Harness;
use common::{Call, HttpReply, http_response, list_entry, submit, submit_command};

/// A category of packets that may be repeated, in the example's configuration.
const REPEATABLE: &str = "notice";
/// A second one, of packets that may not.
const UNREPEATABLE: &str = "once";
const LANES: (&str, &str) = (
    r#""lanes": ["#,
    r#""lanes": [
      {
        "name": "once", "repeat": "fragile", "group": "all", "aim_ms": 3000, "hard_limit_ms": 24000,
        "gain": 1, "late_share": 0.5
      },"#,
);
const PACE: &str = r#""period_ms": 5,"#;
/// An answer waits for the next round, up to this long after the one before.
const SLOW_PACE: &str = r#""period_ms": 4000,"#;
/// More than the second after which the system knocks again.
const PATIENT: (&str, &str) = (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#);
/// More than the log grows to within a test.
const LARGE: usize = 40_000;

/// A sender that knows both categories, and one endpoint.
fn world(story: &str, reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static) -> Harness {
    let mut world = Harness::new(story, reply);
    world.kill();
    change(&mut world, LANES);
    world.start();
    world.wait_until("the list", |world| world.log().matches("discovery: version 1, 1 entries").count() == 2);
    world
}

fn change(world: &mut Harness, (from, to): (&str, &str)) {
    assert!(world.config.contains(from), "{from}");
    world.config = world.config.replace(from, to);
}

fn fields(category: &str, id: &str, destination: u64) -> String {
    format!("c={category},t=acme,d=20000,k={id},dest={destination}")
}

fn take(world: &Harness, category: &str, id: &str, body: &str) {
    let said = submit(world.listen_address, id, &fields(category, id, 7), body).expect("an answer");
    assert_eq!(said, "+OK");
}

fn given_up(id: &str) -> String {
    format!(r#"{{"message":"{id}","outcome":"given_up"}}"#)
}

/// The notices that the platform has, each once: a call of the life that was killed may reach it late, and is told again.
fn notices_heard(world: &Harness) -> Vec<String> {
    let mut notices = world.notices();
    notices.sort();
    notices.dedup();
    notices
}

/// A peer that answers only from the moment on that this is set, and never what came before.
fn once_told(answers: &Arc<AtomicBool>) -> impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static {
    let answers = answers.clone();
    move |_, _| {
        while !answers.load(Ordering::SeqCst) {
            thread::park();
        }
        http_response("200 OK", "", "")
    }
}

/// What the next life makes of a packet whose call is out in the journal and whose answer nobody heard: it goes again where that
/// does no harm, under the same mark, and is given up where it may.
fn ends_once_in_doubt(world: &mut Harness, category: &str, came_before: &[&str]) {
    world.start();
    if category == REPEATABLE {
        let again = [came_before, &["a1"]].concat();
        world.wait_until("its repeat", |world| world.received_ids() == again);
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    } else {
        world.wait_until("its end", |world| world.notices() == [given_up("a1")]);
        assert_eq!(world.received_ids(), came_before, "never sent again");
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [given_up("a1")]);
    }
}

/// The packet stands in the journal and its client has heard nothing: it is delivered by the next life, and its client, which
/// comes again, hears that it was taken.
#[test]
fn between_the_record_and_ok() {
    let mut world = world("record-ok", |_, _| http_response("200 OK", "", ""));
    world.kill();
    change(&mut world, (PACE, SLOW_PACE));
    world.start();
    take(&world, REPEATABLE, "a0", ""); // a round has just been
    let mut client = TcpStream::connect(world.listen_address).expect("a connection");
    client.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    client.write_all(submit_command("a1", &fields(REPEATABLE, "a1", 7), "hello").as_bytes()).expect("room");
    world.wait_until_store_shows("packet a1: ");
    world.kill();
    let mut heard = Vec::new();
    let _ = client.read_to_end(&mut heard);
    assert_eq!(heard, b"", "nothing was told");
    let called = world.received_ids();
    assert!(!called.contains(&"a1".to_owned()), "nothing was sent");
    change(&mut world, (SLOW_PACE, PACE));
    world.start();
    take(&world, REPEATABLE, "a1", "hello");
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.received_ids().iter().filter(|id| *id == "a1").count(), 1);
    assert_eq!(world.notices(), [""; 0]);
}

/// A packet that was taken on and whose connection is still coming up: it never went, so the next life sends it, whatever it is.
#[test]
fn between_ok_and_a_connection() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut world = world(&format!("untried-{category}"), |_, _| http_response("200 OK", "", ""));
        let late = DelayedConnectEndpoint::new();
        world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
        let _filler = late.fill_backlog();
        take(&world, category, "a1", "");
        late.wait_for_pending_connect();
        world.kill();
        assert!(world.store_summary().contains("0 dispatches"), "{}", world.store_summary());
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        world.start();
        world.wait_until("its call", |world| world.received_ids() == ["a1"]);
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    }
}

/// The dispatch stands in the journal, its first byte never went: the next life must take it for one that may have run. The line in
/// the log, which comes between the two, is what the process ends at.
#[test]
fn between_the_record_of_a_dispatch_and_its_first_byte() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let mut world = world(&format!("first-byte-{category}"), |_, _| http_response("200 OK", "", ""));
        world.kill();
        change(&mut world, PATIENT);
        world.start();
        let late = DelayedConnectEndpoint::new();
        world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
        world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
        let log = OpenOptions::new().append(true).open(world.folder.join("log"));
        log.and_then(|mut log| log.write_all(" ".repeat(LARGE).as_bytes())).expect("a longer log");
        let _filler = late.fill_backlog();
        take(&world, category, "a1", "");
        late.wait_for_pending_connect();
        let quiet = |world: &Harness| {
            world.log().split("packet a1: taken").nth(1).is_some_and(|rest| rest.contains("connection ended"))
        };
        world.wait_until("the last line of the handing in", quiet);
        assert!(world.segment_bytes() < LARGE as u64);
        world.limit_file_size(world.log_bytes());
        let mut call = late.accept_pending();
        world.wait_for_file_size_signal();
        let mut heard = Vec::new();
        let _ = call.read_to_end(&mut heard);
        assert_eq!(heard, b"", "no byte went");
        assert!(world.store_summary().contains("1 dispatches, one in flight"), "{}", world.store_summary());
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        ends_once_in_doubt(&mut world, category, &[]);
    }
}

/// The endpoint has the whole call and has answered nothing.
#[test]
fn between_the_last_byte_and_the_answer() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let answers = Arc::new(AtomicBool::new(false));
        let mut world = world(&format!("last-byte-{category}"), once_told(&answers));
        take(&world, category, "a1", "");
        world.wait_until("the whole call", |world| world.received_ids() == ["a1"]);
        world.kill();
        answers.store(true, Ordering::SeqCst);
        ends_once_in_doubt(&mut world, category, &["a1"]);
    }
}

/// The answer came and was understood, and the process ends at the record of it.
#[test]
fn between_an_outcome_and_its_record() {
    for category in [REPEATABLE, UNREPEATABLE] {
        let answers = Arc::new(AtomicBool::new(false));
        let waits = answers.clone();
        let mut world = world(&format!("outcome-{category}"), move |_, _| {
            while !waits.load(Ordering::SeqCst) {
                thread::yield_now();
            }
            http_response("200 OK", "", "")
        });
        take(&world, category, "a1", &"x".repeat(LARGE));
        world.wait_until("the whole call", |world| world.received_ids() == ["a1"]);
        world.wait_until_store_shows("1 dispatches, one in flight");
        assert!(world.log_bytes() < LARGE as u64);
        world.limit_file_size(world.segment_bytes());
        answers.store(true, Ordering::SeqCst);
        world.wait_for_file_size_signal();
        assert!(world.log().contains("Done after"), "the outcome was understood");
        assert!(world.store_summary().contains("one in flight"), "{}", world.store_summary());
        ends_once_in_doubt(&mut world, category, &["a1"]);
    }
}

/// An end that is decided and written is told by the next life.
#[test]
fn between_the_record_of_an_end_and_its_notice() {
    let mut world = world("end-notice", |_, _| None);
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    take(&world, UNREPEATABLE, "a1", "");
    world.wait_until_store_shows("pending notice for a1: scrapped");
    world.kill();
    assert_eq!(world.notices(), [""; 0]);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("its notice", |world| notices_heard(world) == [given_up("a1")]);
    assert_eq!(world.received_ids(), ["a1"]);
    world.assert_nothing_pending_after_restart();
    assert_eq!(notices_heard(&world), [given_up("a1")]);
}

/// The platform has the notice, and its word for it never came: the same notice is told again, and no other.
#[test]
fn between_a_notice_and_its_acknowledgement() {
    let mut world = world("notice-acknowledged", |_, _| None);
    world.platform.withhold_acknowledgements.store(true, Ordering::SeqCst);
    take(&world, UNREPEATABLE, "a1", "");
    world.wait_until("its notice", |world| !world.notices().is_empty());
    world.kill();
    let before = world.notices().len();
    world.platform.withhold_acknowledgements.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("its notice again", |world| world.notices().len() > before);
    assert_eq!(world.received_ids(), ["a1"]);
    world.assert_nothing_pending_after_restart();
    assert_eq!(world.notices(), vec![given_up("a1"); before + 1]);
}

/// Killed twice more before any client was let in: while discovery is silent, and while the port is in use and calls are out.
#[test]
fn within_recovery() {
    let answers = Arc::new(AtomicBool::new(false));
    let answered = once_told(&answers);
    let mut world =
        world(
            "recovery",
            move |number, call| {
                if call.header("X-Call-Id") == "reset" { None } else { answered(number, call) }
            },
        );
    let list = |state| {
        [
            list_entry("e", world.endpoint_address, 7, "Ready"),
            list_entry("g", world.endpoint_address, 8, state),
        ]
    };
    let (drained, ready) = (list("Terminating"), list("Ready"));
    world.platform.set_list(&drained);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    take(&world, UNREPEATABLE, "reset", "");
    world.wait_until_store_shows("pending notice for reset: scrapped");
    take(&world, REPEATABLE, "doubt", "");
    take(&world, UNREPEATABLE, "scrap", "");
    let untried = submit(world.listen_address, "untried", &fields(REPEATABLE, "untried", 8), "");
    assert_eq!(untried.expect("an answer"), "+OK");
    world.wait_until("the calls", |world| world.received_ids().len() == 3);
    world.kill();
    let stands = world.store_summary();
    assert!(stands.contains("3 packets not completed, 1 pending notices"), "{stands}");

    // Killed while the list is waited for.
    let lets_in = world.log().matches(" listens on ").count();
    world.platform.unresponsive.store(true, Ordering::SeqCst);
    let asked = world.platform.list_requests.load(Ordering::SeqCst);
    world.spawn_sender(None);
    world.wait_until("recovery", |world| world.log().matches("recovery: 3 packets, 1 notices").count() == 1);
    world.wait_until("a call for the list", |world| {
        world.platform.list_requests.load(Ordering::SeqCst) > asked
    });
    world.kill();
    assert!(
        world.store_summary().contains("3 packets not completed, 1 pending notices"),
        "{}",
        world.store_summary()
    );

    // Killed while its port is in use, its calls are out, and an end is decided.
    let port = TcpListener::bind(world.listen_address).expect("the port");
    world.platform.set_list(&ready);
    world.platform.unresponsive.store(false, Ordering::SeqCst);
    world.spawn_sender(None);
    world.wait_until("recovery", |world| world.log().matches("recovery: 3 packets, 1 notices").count() == 2);
    world.wait_until("the calls", |world| world.received_ids().len() == 5);
    world.wait_until_store_shows("pending notice for scrap: scrapped");
    world.kill();
    assert_eq!(world.log().matches(" listens on ").count(), lets_in, "no client was let in");
    drop(port);

    answers.store(true, Ordering::SeqCst);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.start();
    world.wait_until("the calls", |world| world.received_ids().len() == 7);
    world.assert_nothing_pending_after_restart();
    let times = |id: &str| world.received_ids().iter().filter(|other| *other == id).count();
    assert_eq!(["reset", "scrap", "doubt", "untried"].map(times), [1, 1, 3, 2], "{:?}", world.received_ids());
    assert_eq!(notices_heard(&world), [given_up("reset"), given_up("scrap")]);
}
