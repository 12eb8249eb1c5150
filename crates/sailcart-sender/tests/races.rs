//! Races between the end of a connection, a process, a connection attempt or a packet and what is still in
//! progress at that time: requests, replies, notices and repeats.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::delayed_connect::DelayedConnectEndpoint;
use common::harness::Harness;
use common::{http_response, list_entry, send_command, submit_command, submit_command_for_key};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// Leaves descriptors for [`MAX_CLIENTS`] clients.
const FEW_SOCKETS: (&str, &str) = (r#""sockets": 1024"#, r#""sockets": 56"#);
const MAX_CLIENTS: usize = 12;

fn start_delivering(scenario: &str) -> Harness {
    Harness::new(scenario, |_, _| http_response("200 OK", "", ""))
}

/// Restarts the sender with each `(from, to)` replaced in its configuration; it may be stopped already.
fn restart(harness: &mut Harness, changes: &[(&str, &str)]) {
    if harness.sender.is_some() {
        harness.kill();
    }
    for (from, to) in changes {
        assert!(harness.config.contains(from), "{from}");
        harness.config = harness.config.replace(from, to);
    }
    harness.start();
}

fn connect(harness: &Harness) -> TcpStream {
    let stream = TcpStream::connect(harness.listen_address).expect("establish a connection");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read timeout");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    stream
}

/// A connection that has carried a command and is idle.
fn idle_connection(harness: &Harness) -> TcpStream {
    let mut stream = connect(harness);
    stream
        .write_all(PING.as_bytes())
        .and_then(|()| stream.read_exact(&mut [0; 7]))
        .expect("the sender replies");
    stream
}

/// Sends SIGTERM and waits until the sender has logged it.
fn begin_stop(harness: &Harness) {
    harness.signal("-TERM");
    harness.wait_until("the stop", |harness| harness.log().contains("code=sigterm"));
}

/// The sender has closed its side, and the client then writes a request byte by byte: the connection is not
/// reset, and the packet is not dispatched.
fn assert_request_after_close_is_discarded(harness: &Harness, mut stream: TcpStream, id: &str) {
    assert_eq!(
        stream.read(&mut [0; 64]).expect("read the end of the stream"),
        0,
        "the sender wrote data before it closed"
    );
    for byte in submit_command(id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello").bytes() {
        stream.write_all(&[byte]).expect("write without a reset");
    }
    assert_eq!(
        stream.take_error().expect("read SO_ERROR").map(|e| e.kind()),
        None,
        "the connection was reset"
    );
    stream.shutdown(std::net::Shutdown::Write).expect("shut down the write side");
    assert_eq!(stream.read(&mut [0; 64]).expect("read without a reset"), 0);
    assert_eq!(harness.received_ids(), [""; 0], "a packet written after the close was dispatched");
}

/// Guards against a plain close on eviction: bytes that arrive afterwards reset the connection, and a reply
/// still in transit is lost with it.
#[test]
fn a_request_sent_during_an_eviction_is_not_reset() {
    let mut harness = start_delivering("eviction");
    restart(&mut harness, &[FEW_SOCKETS]);
    let oldest = idle_connection(&harness);
    let others: Vec<TcpStream> = (1..MAX_CLIENTS).map(|_| idle_connection(&harness)).collect();
    let mut newcomer = connect(&harness);
    newcomer.write_all(PING.as_bytes()).expect("write to the socket");
    assert_request_after_close_is_discarded(&harness, oldest, "a1");
    newcomer.read_exact(&mut [0; 7]).expect("the sender replies");
    harness.wait_until("the log line of the eviction", |harness| harness.log().contains("code=evicted"));
    assert_eq!(
        (harness.submit("a1").as_str(), others.len()),
        ("+OK", MAX_CLIENTS - 1),
        "submission on another connection"
    );
}

#[test]
fn a_request_sent_during_a_stop_is_not_reset() {
    let mut harness = start_delivering("stop");
    let idle = idle_connection(&harness);
    begin_stop(&harness);
    assert_request_after_close_is_discarded(&harness, idle, "a1");
    harness.wait_for_exit();
}

/// Guards against dropping the listener together with the connections in its accept queue, which happened
/// after a fixed 400 ms.
#[test]
fn a_client_in_the_accept_queue_at_a_stop_gets_a_reply() {
    let mut harness = start_delivering("queue");
    restart(&mut harness, &[FEW_SOCKETS]);
    let half_a_command = |_| {
        let mut stream = connect(&harness);
        stream.write_all(b"*1\r\n$4\r\nPI").expect("write to the socket");
        stream
    };
    let clients: Vec<TcpStream> = (0..MAX_CLIENTS).map(half_a_command).collect();
    let mut queued = connect(&harness);
    let command = submit_command("a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello");
    queued.write_all(command.as_bytes()).expect("write to the socket");
    begin_stop(&harness);
    let mut replies = String::new();
    queued.read_to_string(&mut replies).expect("read without a reset");
    assert_eq!((replies.as_str(), clients.len()), ("-BUSY 2000\r\n", MAX_CLIENTS));
    harness.wait_for_exit();
    assert!(harness.log().contains("0 packets still out, 0 connections still open, 0 notices still owed"));
}

/// Guards against cutting off replies as soon as no call is in flight. The client has written all commands by
/// then, and the replies exceed the socket buffers because its receive buffer is small.
#[test]
fn a_slow_reader_gets_all_replies_before_the_process_exits() {
    const PINGS: usize = 120;
    let mut harness = start_delivering("reader");
    let echo = "x".repeat(60_000);
    let ping = format!("*2\r\n$4\r\nPING\r\n${}\r\n{echo}\r\n", echo.len());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket
        .set_recv_buffer_size(1 << 16)
        .and_then(|()| socket.connect(&harness.listen_address.into()))
        .expect("establish a connection");
    let mut reader: TcpStream = socket.into();
    reader.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read timeout");
    (0..PINGS).for_each(|_| reader.write_all(ping.as_bytes()).expect("write a command"));
    begin_stop(&harness);
    let late_phase_end = Instant::now() + Duration::from_millis(700);
    harness.wait_until("the end of the phase for late clients", |_| Instant::now() > late_phase_end);
    let mut received_bytes = 0;
    let mut buffer = vec![0; 1 << 16];
    while received_bytes < PINGS * (echo.len() + 10) {
        let read = reader.read(&mut buffer).expect("read without a reset");
        assert!(read > 0, "replies cut off after {received_bytes} bytes");
        received_bytes += read;
    }
    harness.wait_for_exit();
}

/// Guards against leaving a pending notice to the next process although the stop has time to send it.
#[test]
fn a_stop_sends_pending_notices() {
    let mut harness = Harness::new("pending-notice", |_, _| None);
    restart(&mut harness, &[(r#""repeat": "dedup""#, r#""repeat": "fragile""#)]);
    harness.platform.reject_notices.store(true, Ordering::SeqCst);
    assert_eq!(harness.submit("a1"), "+OK");
    harness
        .wait_until("a notice that is not acknowledged", |harness| harness.log().contains("code=not_told"));
    begin_stop(&harness);
    let late_phase_end = Instant::now() + Duration::from_millis(700);
    harness.wait_until("the end of the phase for late clients", |_| Instant::now() > late_phase_end);
    harness.platform.reject_notices.store(false, Ordering::SeqCst);
    harness.wait_for_exit();
    assert_eq!(harness.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
}

/// A second SIGTERM or a reload during a stop changes nothing: the call in flight still completes.
#[test]
fn signals_during_a_stop_are_ignored() {
    let mut harness = Harness::new("signals", |_, _| {
        thread::sleep(Duration::from_millis(700));
        http_response("200 OK", "", "")
    });
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids().len() == 1);
    begin_stop(&harness);
    harness.reload(&harness.config);
    begin_stop(&harness);
    harness.wait_for_exit();
    assert!(harness.log().contains("packet a1 from") && harness.log().contains("Done after"));
    assert!(harness.log().contains("0 packets still out"));
}

/// A packet that may have executed waits for a connection until the deduplication window of its key has
/// passed: it is not repeated on that connection. Guards against checking only the list and Retry-After
/// waits again once the connection is established, which let the repeat be sent.
#[test]
fn a_connection_established_after_the_dedup_window_carries_no_repeat() {
    let mut harness = start_delivering("window");
    let delayed_endpoint = DelayedConnectEndpoint::new();
    restart(
        &mut harness,
        &[
            (r#""dedup_window_ms": 25000"#, r#""dedup_window_ms": 1000"#),
            (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#),
        ],
    );
    harness.platform.set_list(&[list_entry("f", delayed_endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    assert_eq!(harness.submit("a1"), "+OK");
    let (mut first, _) = delayed_endpoint.listener.accept().expect("accept the first call");
    assert!(first.read(&mut [0; 4096]).expect("read a call") > 0);
    let queue_filler = delayed_endpoint.fill_backlog();
    drop(first); // the call may have executed
    delayed_endpoint.wait_for_pending_connect();
    let mut second = delayed_endpoint.accept_pending();
    second.set_read_timeout(Some(Duration::from_secs(8))).expect("set the read timeout");
    harness.wait_until("the completion of the packet", |harness| !harness.notices().is_empty());
    assert!(harness.notices()[0].contains("handed_back"), "{:?}", harness.notices());
    second.set_nonblocking(true).expect("set the socket to non-blocking");
    let read = second.read(&mut [0; 4096]);
    assert!(
        matches!(&read, Ok(0)) || read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "the new connection carried a call"
    );
    drop(queue_filler);
}

/// Guards against counting connection setup as response time: a connection established 1 s late made the
/// response, and with it the upstream, look slow.
#[test]
fn connection_setup_does_not_count_as_response_time() {
    let mut harness = start_delivering("handshake");
    let delayed_endpoint = DelayedConnectEndpoint::new();
    restart(&mut harness, &[(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#)]);
    harness.platform.set_list(&[list_entry("f", delayed_endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    let queue_filler = delayed_endpoint.fill_backlog();
    assert_eq!(harness.submit("a1"), "+OK");
    delayed_endpoint.wait_for_pending_connect();
    let mut call = delayed_endpoint.accept_pending();
    assert!(call.read(&mut [0; 4096]).expect("read a call") > 0);
    call.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("write to the socket");
    harness.wait_until("the outcome of the call", |harness| harness.log().contains("Done after "));
    let log = harness.log();
    let duration_text =
        log.split("Done after ").nth(1).and_then(|rest| rest.lines().next()).expect("a duration in the log");
    assert!(duration_text.ends_with("ms") || duration_text.ends_with("µs"), "{duration_text}");
    drop(queue_filler);
}

/// A restarted sender finds its port in use: it waits for the port instead of exiting.
#[test]
fn a_restart_waits_for_a_port_in_use() {
    let mut harness = start_delivering("port");
    harness.kill();
    let occupant = TcpListener::bind(harness.listen_address).expect("bind the port of the sender");
    let log = harness.folder.join("log");
    let release_port = thread::spawn(move || {
        while !std::fs::read_to_string(&log).is_ok_and(|log| log.contains("code=in_use")) {
            thread::yield_now();
        }
        drop(occupant);
    });
    harness.start();
    release_port.join().expect("the thread does not panic");
    assert!(harness.log().contains("code=in_use"));
    assert_eq!(harness.submit("a1"), "+OK");
}

/// Clients that send malformed commands and never close their side are in a lingering close. A new client is
/// accepted at once while there is capacity. Guards against a limit of eight lingering connections, beyond
/// which all others had to wait.
#[test]
fn lingering_closes_do_not_delay_new_clients() {
    let harness = start_delivering("linger");
    let start = Instant::now();
    let malformed_client = |_| {
        let mut stream = connect(&harness);
        stream.write_all(b"nonsense\r\n").expect("write to the socket");
        let _ = stream.read_to_end(&mut Vec::new()).expect("read an error reply and the end of the stream");
        stream
    };
    let malformed_clients: Vec<TcpStream> = (0..60).map(malformed_client).collect();
    drop(idle_connection(&harness));
    assert!(
        start.elapsed() < Duration::from_millis(800),
        "{:?} behind {}",
        start.elapsed(),
        malformed_clients.len()
    );
}

/// Idle clients use all client connections while discovery is unresponsive: packets are still accepted and
/// dispatched, and the list is received as soon as discovery responds again.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_endpoints() {
    let mut harness = start_delivering("places");
    restart(&mut harness, &[FEW_SOCKETS]);
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    let idle: Vec<TcpStream> =
        (0..MAX_CLIENTS * 4).filter_map(|_| TcpStream::connect(harness.listen_address).ok()).collect();
    harness.platform.set_list(&[
        list_entry("f", harness.endpoint_address, 7, "Ready"),
        list_entry("e", harness.endpoint_address, 7, "Ready"),
    ]);
    harness.wait_until("a failed list request", |harness| harness.log().contains("code=no_list"));
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    harness.platform.unresponsive.store(false, Ordering::SeqCst);
    harness.wait_until("the list", |harness| harness.log().contains("discovery: version 2, 2 entries"));
    assert!(!harness.log().contains("code=not_accepted") && idle.len() > MAX_CLIENTS);
}

/// With per-key order, a packet waits until the platform has the notice of the previous packet of its key,
/// also if the previous process decided it. Guards against dispatching it while that notice is still in
/// transit, as found in the variant talca-avisos of the short experiments.
#[test]
fn the_next_packet_of_a_key_waits_for_the_notice_of_the_previous_one() {
    let mut harness =
        Harness::new("order", |number, _| if number == 0 { None } else { http_response("200 OK", "", "") });
    let key_order = (r#""repeat": "dedup""#, r#""fifo_by_key": true, "repeat": "fragile""#);
    restart(&mut harness, &[key_order]);
    let submit_for_key = |harness: &Harness, id: &str| {
        send_command(
            harness.listen_address,
            &submit_command_for_key("77", id, "c=notice,t=acme,d=20000,dest=7", ""),
        )
        .expect("the sender replies")
    };
    harness.platform.reject_notices.store(true, Ordering::SeqCst);
    assert_eq!(submit_for_key(&harness, "a1"), "+OK");
    harness
        .wait_until("a notice that is not acknowledged", |harness| harness.log().contains("code=not_told"));
    assert_eq!(
        (submit_for_key(&harness, "a2"), harness.submit("other")),
        ("+OK".to_owned(), "+OK".to_owned())
    );
    harness.wait_until("the packet without an ordering key", |harness| {
        harness.log().contains("packet other from")
    });
    // The sender reads this command only after it has written the record.
    assert_eq!(send_command(harness.listen_address, PING).expect("the sender replies"), "+PONG");
    assert_eq!(harness.received_ids(), ["a1", "other"]);
    harness.kill();
    harness.start();
    harness.wait_until("the recovery of both", |harness| {
        harness.log().contains("recovery: 1 packets, 1 notices")
    });
    harness
        .wait_until("repeated notice requests", |harness| harness.log().matches("code=not_told").count() > 1);
    assert_eq!(submit_for_key(&harness, "a3"), "+OK");
    assert_eq!(harness.received_ids(), ["a1", "other"]);
    harness.platform.reject_notices.store(false, Ordering::SeqCst);
    harness.wait_until("the other packets, in order", |harness| {
        harness.received_ids() == ["a1", "other", "a2", "a3"]
    });
    assert_eq!(harness.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
}

/// The status line of a response arrives just before the packet's deadline and the rest never does, as found
/// in a variant of the short experiments. Guards against a packet that the sender counts as delivered and the
/// platform as lost: a notice is sent in this case too, which has no effect on a completed packet.
#[test]
fn an_incomplete_response_at_the_deadline_is_followed_by_a_notice() {
    let harness = Harness::new("end", |_, call| {
        let budget = call.header("X-Budget").trim_end_matches('m').parse().expect("a budget in milliseconds");
        thread::sleep(Duration::from_millis(budget) - Duration::from_millis(100));
        Some("HTTP/1.1 200 OK\r\n".to_owned())
    });
    let command = submit_command("a1", "c=notice,t=acme,d=1200,k=a1,dest=7", "hello");
    assert_eq!(send_command(harness.listen_address, &command).expect("the sender replies"), "+OK");
    harness.wait_until("the outcome of the call", |harness| harness.log().contains("Done after"));
    harness
        .wait_until("a notice", |harness| harness.notices() == [r#"{"message":"a1","outcome":"given_up"}"#]);
    assert_eq!(harness.received_ids(), ["a1"], "the packet was sent again");
}
