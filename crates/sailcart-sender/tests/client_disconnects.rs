//! Clients that use up the descriptors of the sender or disconnect before they get a reply.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, numbered_ok, submit, submit_command};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// Longer than any expected wait in these tests.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Rounds every 3 s instead of 5 ms: the reply to a submission waits for the next round.
const SLOW_ROUNDS: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 3000,"#);

fn start_delivering(scenario: &str) -> Harness {
    Harness::new(scenario, |number, _| numbered_ok(number))
}

/// Restores the usual round period; takes effect with the next start.
fn restore_round_period(harness: &mut Harness) {
    harness.config = harness.config.replace(SLOW_ROUNDS.1, SLOW_ROUNDS.0);
}

/// The patience of a packet; the short one has passed before the next round under [`SLOW_ROUNDS`].
const USUAL_PATIENCE_MS: u32 = 8000;
const SHORT_PATIENCE_MS: u32 = 400;

fn fields(id: &str, patience_ms: u32) -> String {
    format!("c=notice,t=acme,d={patience_ms},k={id},dest=7")
}

fn connect(harness: &Harness) -> TcpStream {
    let stream = TcpStream::connect(harness.listen_address).expect("establish a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    stream
}

fn read_reply(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 64];
    let read = stream.read(&mut buffer).expect("the sender replies");
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

/// Processor time that the sender has used, in clock ticks of 10 ms.
fn processor_ticks(harness: &Harness) -> u64 {
    let pid = harness.sender.as_ref().expect("the sender is running").id();
    let line = fs::read_to_string(format!("/proc/{pid}/stat")).expect("read /proc/PID/stat");
    let fields_after_name = line.rsplit_once(") ").expect("a process name in parentheses").1;
    fields_after_name
        .split(' ')
        .skip(11)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().expect("a number of ticks"))
        .sum()
}

/// The descriptor limit of the process is far below the configured one, and clients use all descriptors: the
/// sender serves the connected clients, retries accept at a bounded rate, and accepts others once descriptors
/// are free.
#[test]
fn a_sender_without_descriptors_neither_exits_nor_spins() {
    const DESCRIPTORS: u32 = 64;
    /// One attempt every 10 ms, the pause after a failed accept, and a margin of 5.
    const MAX_ATTEMPTS_PER_SECOND: u128 = 105;
    let mut harness = start_delivering("descriptors");
    harness.kill();
    harness.spawn_sender(Some(DESCRIPTORS));
    harness.wait_until("the listener", |harness| harness.log().matches(" listens on ").count() == 2);
    let mut first = connect(&harness);
    first.write_all(PING.as_bytes()).expect("write to the socket");
    assert_eq!(read_reply(&mut first), "+PONG\r\n");
    let others: Vec<TcpStream> = (0..DESCRIPTORS).map(|_| connect(&harness)).collect();
    harness
        .wait_until("a client that is not accepted", |harness| harness.log().contains("code=not_accepted"));

    // The log has one line for the first failed accept and one for each doubling of their number.
    let log_lines = |harness: &Harness| harness.log().matches("code=not_accepted").count();
    let attempts = |harness: &Harness| 1u128 << (log_lines(harness) - 1);
    let (start, ticks, attempts_before) = (Instant::now(), processor_ticks(&harness), attempts(&harness));
    thread::sleep(Duration::from_secs(1)); // the interval measured
    let (ticks, attempts_after) = (processor_ticks(&harness) - ticks, attempts(&harness));
    // The logged number is more than half of the real one: less than twice `attempts_before` attempts
    // preceded the interval.
    let max_attempts = attempts_before * 2 + MAX_ATTEMPTS_PER_SECOND * start.elapsed().as_millis() / 1000;
    assert!(
        attempts_after <= max_attempts,
        "{attempts_after} attempts after {attempts_before} in {:?}",
        start.elapsed()
    );
    assert!(log_lines(&harness) < 16, "one log line per failed accept");
    assert!(ticks < 40, "{ticks} clock ticks of processor time in {:?}", start.elapsed());

    // A connected client is served; its packet waits until there is a descriptor for its call.
    first
        .write_all(submit_command("a1", &fields("a1", USUAL_PATIENCE_MS), "hello").as_bytes())
        .expect("write to the socket");
    assert_eq!(read_reply(&mut first), "+OK\r\n");
    harness.wait_until("a call without a descriptor", |harness| {
        harness.log().contains("no connection, code=own_fault")
    });
    assert!(
        !harness.log().contains("no connection, code=refused"),
        "the failure is attributed to the endpoint"
    );
    assert_eq!(harness.received_ids(), [""; 0]);
    drop(others);
    let mut new_client = connect(&harness);
    new_client.write_all(PING.as_bytes()).expect("write to the socket");
    assert_eq!(read_reply(&mut new_client), "+PONG\r\n");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
    assert_eq!((harness.received_ids().len(), harness.notices().len()), (1, 0));
    harness.kill();
}

/// How a client disconnects.
#[derive(Clone, Copy)]
enum Disconnect {
    /// It closes its connection.
    Close,
    /// It resets its connection.
    Reset,
}

fn disconnect(stream: TcpStream, how: Disconnect) {
    if let Disconnect::Reset = how {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set a zero linger time");
    }
    drop(stream);
}

/// Submits a packet and disconnects as soon as the packet is on disk, before any reply.
fn submit_and_disconnect(harness: &Harness, id: &str, patience_ms: u32, how: Disconnect) {
    let mut client = connect(harness);
    client
        .write_all(submit_command(id, &fields(id, patience_ms), "hello").as_bytes())
        .expect("write to the socket");
    harness.wait_until_store_shows(&format!("packet {id}: "));
    client.set_nonblocking(true).expect("set the socket to non-blocking");
    let reply = client.read(&mut [0; 64]);
    assert!(reply.is_err_and(|error| error.kind() == ErrorKind::WouldBlock), "there was already a reply");
    disconnect(client, how);
}

/// A client disconnects between the record of its packet and `+OK`: the packet is delivered once, and a
/// resubmission of the same id gets `+OK`, also while the first reply is pending.
#[test]
fn a_packet_of_a_client_that_disconnects_before_ok_completes_once() {
    for (scenario, how) in [("gone-closed", Disconnect::Close), ("gone-reset", Disconnect::Reset)] {
        let mut harness = start_delivering(scenario);
        harness.restart_with(&[SLOW_ROUNDS]);
        assert_eq!(harness.submit("a0"), "+OK"); // a round has just passed
        submit_and_disconnect(&harness, "a1", USUAL_PATIENCE_MS, how);
        assert_eq!(harness.submit("a1"), "+OK", "reply with the next round");
        harness.wait_until("the call", |harness| harness.received_ids() == ["a0", "a1"]);
        assert_eq!(harness.submit("a1"), "+OK", "reply after completion");
        restore_round_period(&mut harness);
        harness.assert_nothing_pending_after_restart();
        assert_eq!(harness.notices(), [""; 0]);
    }
}

/// As above, but the deadline of the packet passes before the next round, so that it is rejected with
/// `-BUSY`: the packet completes with that reply without a notice, and a resubmission of the same id gets the
/// same reply, before and after completion.
#[test]
fn a_resubmission_after_a_disconnect_before_busy_gets_the_same_reply() {
    for (scenario, how) in [("busy-closed", Disconnect::Close), ("busy-reset", Disconnect::Reset)] {
        let mut harness = start_delivering(scenario);
        harness.restart_with(&[SLOW_ROUNDS]);
        assert_eq!(harness.submit("a0"), "+OK"); // a round has just passed
        harness.wait_until_store_shows("0 packets not completed");
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
        harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
        submit_and_disconnect(&harness, "a1", SHORT_PATIENCE_MS, how);
        let reply = submit(harness.listen_address, "a1", &fields("a1", SHORT_PATIENCE_MS), "hello")
            .expect("the sender replies");
        assert!(reply.starts_with("-BUSY"), "{reply}");
        assert_eq!(harness.submit("a1"), reply, "reply after completion");
        harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 3"));
        restore_round_period(&mut harness);
        harness.assert_nothing_pending_after_restart();
        assert!(!harness.received_ids().contains(&"a1".to_owned()), "{}", harness.log());
        assert_eq!(harness.notices(), [""; 0], "{}", harness.log());
    }
}

/// A client disconnects while the call of its packet is in flight: the packet is delivered, and a
/// resubmission of the same id gets `+OK`.
#[test]
fn a_disconnect_during_the_call_does_not_affect_the_packet() {
    for (scenario, how) in [("called-closed", Disconnect::Close), ("called-reset", Disconnect::Reset)] {
        let (release_call, release_received) = std::sync::mpsc::channel::<()>();
        let release_received = std::sync::Mutex::new(release_received);
        let mut harness = Harness::new(scenario, move |number, _| {
            if number == 0 {
                let _ = release_received.lock().expect("mutex is not poisoned").recv_timeout(READ_TIMEOUT);
            }
            http_response("200 OK", "", "")
        });
        let mut client = connect(&harness);
        client
            .write_all(submit_command("a1", &fields("a1", USUAL_PATIENCE_MS), "hello").as_bytes())
            .expect("write to the socket");
        harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
        disconnect(client, how);
        harness.wait_until("the completion of the packet", |harness| {
            harness.log().split("taken as").nth(1).is_some_and(|rest| rest.contains("connection ended"))
        });
        assert_eq!(harness.submit("a1"), "+OK");
        release_call.send(()).expect("release the waiting call");
        harness.assert_nothing_pending_after_restart();
        assert_eq!(harness.notices(), [""; 0]);
    }
}

/// A client closes or resets its connection at every third byte of a command: no packet is accepted, the
/// connection is released, and the complete command with the same id is accepted on another connection.
#[test]
fn a_disconnect_within_a_command_leaves_no_state() {
    let harness = start_delivering("half-command");
    let command = submit_command("a1", &fields("a1", USUAL_PATIENCE_MS), "hello");
    for bytes_sent in (1..command.len()).step_by(3) {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let mut client = connect(&harness);
            client.write_all(&command.as_bytes()[..bytes_sent]).expect("write to the socket");
            if matches!(how, Disconnect::Reset) {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set a zero linger time");
            }
        }
    }
    let closed_connections = |harness: &Harness| {
        let codes = ["code=cut", "code=reset", "code=closed", "code=broken"];
        codes.iter().map(|code| harness.log().matches(code).count()).sum::<usize>()
    };
    let total = 2 * (1..command.len()).step_by(3).count();
    harness.wait_until("the end of all connections", |harness| closed_connections(harness) >= total);
    assert!(
        harness.store_summary().contains("0 packets not completed, 0 pending notices"),
        "{}",
        harness.store_summary()
    );
    assert_eq!(harness.received_ids(), [""; 0]);
    assert_eq!(
        submit(harness.listen_address, "a1", &fields("a1", USUAL_PATIENCE_MS), "hello")
            .expect("the sender replies"),
        "+OK"
    );
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
}
