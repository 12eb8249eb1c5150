//! What crosses an end from outside: descriptors that run out, a client that goes before its answer.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, submit, submit_command};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// Longer than anything is waited for here.
const LONGEST: Duration = Duration::from_secs(8);
/// An answer waits for the next round, up to this long after the one before.
const SLOW_PACE: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 3000,"#);

fn delivers(story: &str) -> Harness {
    Harness::new(story, |_, _| http_response("200 OK", "", ""))
}

/// From the next start on.
fn usual_pace(world: &mut Harness) {
    world.config = world.config.replace(SLOW_PACE.1, SLOW_PACE.0);
}

/// A packet's patience in milliseconds; the shorter one is over before the next round of a slow pace.
const USUAL: u32 = 8000;
const SHORT: u32 = 400;

fn fields(id: &str, patience: u32) -> String {
    format!("c=notice,t=acme,d={patience},k={id},dest=7")
}

fn connect(world: &Harness) -> TcpStream {
    let stream = TcpStream::connect(world.listen_address).expect("a connection");
    stream.set_read_timeout(Some(LONGEST)).expect("a time-out");
    stream.set_nodelay(true).expect("small writes go at once");
    stream
}

fn said(stream: &mut TcpStream) -> String {
    let mut word = [0; 64];
    let read = stream.read(&mut word).expect("an answer");
    String::from_utf8_lossy(&word[..read]).into_owned()
}

/// Processor time that the sender has used, in hundredths of a second.
fn processor_ticks(world: &Harness) -> u64 {
    let pid = world.sender.as_ref().expect("a sender").id();
    let line = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let after_name = line.rsplit_once(") ").expect("a name in brackets").1;
    after_name.split(' ').skip(11).take(2).map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
}

/// The system's limit of descriptors is far below what the configuration claims, and clients use all of them: the sender serves whom
/// it has, tries again at a bounded pace, and lets others in once there is room.
#[test]
fn a_sender_without_descriptors_neither_ends_nor_spins() {
    const DESCRIPTORS: u32 = 64;
    /// One every 10 ms, by the guard, and what a second more may have in it.
    const MOST_TRIES: u128 = 105;
    let mut world = delivers("descriptors");
    world.kill();
    world.spawn_sender(Some(DESCRIPTORS));
    world.wait_until("it listens", |world| world.log().matches(" listens on ").count() == 2);
    let mut first = connect(&world);
    first.write_all(PING.as_bytes()).expect("room");
    assert_eq!(said(&mut first), "+PONG\r\n");
    let others: Vec<TcpStream> = (0..DESCRIPTORS).map(|_| connect(&world)).collect();
    world.wait_until("a client that is not let in", |world| world.log().contains("code=not_accepted"));

    // A line for the first and for each that doubles their number.
    let told = |world: &Harness| world.log().matches("code=not_accepted").count();
    let tries = |world: &Harness| 1u128 << (told(world) - 1);
    let (start, ticks, before) = (Instant::now(), processor_ticks(&world), tries(&world));
    thread::sleep(Duration::from_secs(1)); // what is measured: a second of it
    let (ticks, after) = (processor_ticks(&world) - ticks, tries(&world));
    // What is told is half of what was tried at least, and was told last at `before`, so what came since is less than this.
    let most = before * 2 + MOST_TRIES * start.elapsed().as_millis() / 1000;
    assert!(after <= most, "{after} tries after {before} in {:?}", start.elapsed());
    assert!(told(&world) < 16, "no line for each");
    assert!(ticks < 40, "{ticks} hundredths of a second in {:?}", start.elapsed());

    // A client that it has is served; its packet waits until there is a descriptor for its call.
    first.write_all(submit_command("a1", &fields("a1", USUAL), "hello").as_bytes()).expect("room");
    assert_eq!(said(&mut first), "+OK\r\n");
    world.wait_until("a call without a descriptor", |world| {
        world.log().contains("no connection, code=own_fault")
    });
    assert!(!world.log().contains("no connection, code=refused"), "nothing is said of the endpoint");
    assert_eq!(world.received_ids(), [""; 0]);
    drop(others);
    let mut late = connect(&world);
    late.write_all(PING.as_bytes()).expect("room");
    assert_eq!(said(&mut late), "+PONG\r\n");
    world.wait_until("its call", |world| world.received_ids() == ["a1"]);
    world.wait_until_store_shows("0 packets not completed, 0 pending notices");
    assert_eq!((world.received_ids().len(), world.notices().len()), (1, 0));
    world.kill();
}

/// How a client goes.
#[derive(Clone, Copy)]
enum Leaves {
    /// It ends its side, and closes.
    Closed,
    /// Its connection is reset.
    Reset,
}

fn leave(stream: TcpStream, how: Leaves) {
    if let Leaves::Reset = how {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a reset at its close");
    }
    drop(stream);
}

/// Hands a packet in, and goes as soon as it stands in the folder and before anything is told.
fn hand_in_and_leave(world: &Harness, id: &str, patience: u32, how: Leaves) {
    let mut client = connect(world);
    client.write_all(submit_command(id, &fields(id, patience), "hello").as_bytes()).expect("room");
    world.wait_until_store_shows(&format!("packet {id}: "));
    client.set_nonblocking(true).expect("a socket");
    let heard = client.read(&mut [0; 64]);
    assert!(heard.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock), "nothing was told yet");
    leave(client, how);
}

/// A client that goes between the record and `+OK`: its packet is delivered once, and whoever hands the same id in hears that it was
/// taken, also while the first answer is due.
#[test]
fn a_client_that_goes_before_ok_leaves_a_packet_with_one_end() {
    for (story, how) in [("gone-closed", Leaves::Closed), ("gone-reset", Leaves::Reset)] {
        let mut world = delivers(story);
        world.restart_with(&[SLOW_PACE]);
        assert_eq!(world.submit("a0"), "+OK"); // a round has just been
        hand_in_and_leave(&world, "a1", USUAL, how);
        assert_eq!(world.submit("a1"), "+OK", "with the next round");
        world.wait_until("its call", |world| world.received_ids() == ["a0", "a1"]);
        assert_eq!(world.submit("a1"), "+OK", "once it is over");
        usual_pace(&mut world);
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    }
}

/// The same where the first would have heard that its packet is not taken on, whose time is over by the next round: it ends with that
/// answer, of which the platform need not hear, and whoever hands the same id in hears the same, now and once it is over.
#[test]
fn a_client_that_goes_before_busy_leaves_the_same_answer_behind() {
    for (story, how) in [("busy-closed", Leaves::Closed), ("busy-reset", Leaves::Reset)] {
        let mut world = delivers(story);
        world.restart_with(&[SLOW_PACE]);
        assert_eq!(world.submit("a0"), "+OK"); // a round has just been
        world.wait_until_store_shows("0 packets not completed");
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Terminating")]);
        world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
        hand_in_and_leave(&world, "a1", SHORT, how);
        let heard = submit(world.listen_address, "a1", &fields("a1", SHORT), "hello").expect("an answer");
        assert!(heard.starts_with("-BUSY"), "{heard}");
        assert_eq!(world.submit("a1"), heard, "once it is over");
        world.wait_until_store_shows("0 packets not completed, 0 pending notices");
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        world.wait_until("the news", |world| world.log().contains("discovery: version 3"));
        usual_pace(&mut world);
        world.assert_nothing_pending_after_restart();
        assert!(!world.received_ids().contains(&"a1".to_owned()), "{}", world.log());
        assert_eq!(world.notices(), [""; 0], "{}", world.log());
    }
}

/// A client that goes while its packet's call is out changes nothing for it, and the same id hears `+OK`.
#[test]
fn a_client_that_goes_while_its_packet_is_called_changes_nothing() {
    for (story, how) in [("called-closed", Leaves::Closed), ("called-reset", Leaves::Reset)] {
        let (out, answers) = std::sync::mpsc::channel::<()>();
        let answers = std::sync::Mutex::new(answers);
        let mut world = Harness::new(story, move |number, _| {
            if number == 0 {
                let _ = answers.lock().expect("no panic").recv_timeout(LONGEST);
            }
            http_response("200 OK", "", "")
        });
        let mut client = connect(&world);
        client.write_all(submit_command("a1", &fields("a1", USUAL), "hello").as_bytes()).expect("room");
        world.wait_until("the call", |world| world.received_ids() == ["a1"]);
        leave(client, how);
        world.wait_until("its end", |world| {
            world.log().split("taken as").nth(1).is_some_and(|rest| rest.contains("connection ended"))
        });
        assert_eq!(world.submit("a1"), "+OK");
        out.send(()).expect("a call that waits");
        world.assert_nothing_pending_after_restart();
        assert_eq!(world.notices(), [""; 0]);
    }
}

/// A client that goes at each point of a command, by a close or a reset: nothing of it is taken on, no place stays taken, and the same id,
/// whole, on another connection is a packet like any other.
#[test]
fn a_client_that_goes_within_a_command_leaves_nothing_behind() {
    let world = delivers("half-command");
    let words = submit_command("a1", &fields("a1", USUAL), "hello");
    for at in (1..words.len()).step_by(3) {
        for leaves in [Leaves::Closed, Leaves::Reset] {
            let mut client = connect(&world);
            client.write_all(&words.as_bytes()[..at]).expect("room");
            if matches!(leaves, Leaves::Reset) {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a reset");
            }
        }
    }
    let ended = |world: &Harness| {
        let codes = ["code=cut", "code=reset", "code=closed", "code=broken"];
        codes.iter().map(|code| world.log().matches(code).count()).sum::<usize>()
    };
    let all = 2 * (1..words.len()).step_by(3).count();
    world.wait_until("all connections have ended", |world| ended(world) >= all);
    assert!(
        world.store_summary().contains("0 packets not completed, 0 pending notices"),
        "{}",
        world.store_summary()
    );
    assert_eq!(world.received_ids(), [""; 0]);
    assert_eq!(submit(world.listen_address, "a1", &fields("a1", USUAL), "hello").expect("an answer"), "+OK");
    world.wait_until("its call", |world| world.received_ids() == ["a1"]);
}
