//! What is still owed in the instant in which something ends, and who pays it.

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
/// Room for twelve clients.
const SMALL: (&str, &str) = (r#""sockets": 1024"#, r#""sockets": 56"#);
const PLACES: usize = 12;

fn delivers(story: &str) -> Harness {
    Harness::new(story, |_, _| http_response("200 OK", "", ""))
}

/// Starts anew with another configuration, or with the same.
fn again(world: &mut Harness, changes: &[(&str, &str)]) {
    if world.sender.is_some() {
        world.kill();
    }
    for (from, to) in changes {
        assert!(world.config.contains(from), "{from}");
        world.config = world.config.replace(from, to);
    }
    world.start();
}

fn connect(world: &Harness) -> TcpStream {
    let stream = TcpStream::connect(world.listen_address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    stream.set_nodelay(true).expect("small writes go at once");
    stream
}

/// A connection that was used and rests.
fn resting(world: &Harness) -> TcpStream {
    let mut stream = connect(world);
    stream.write_all(PING.as_bytes()).and_then(|()| stream.read_exact(&mut [0; 7])).expect("an answer");
    stream
}

fn told_to_end(world: &Harness) {
    world.signal("-TERM");
    world.wait_until("the stop", |world| world.log().contains("code=sigterm"));
}

/// The other side has ended, and a request comes all the same, byte for byte: no reset meets it, and it goes nowhere.
fn crosses_an_end(world: &Harness, mut stream: TcpStream, id: &str) {
    assert_eq!(stream.read(&mut [0; 64]).expect("an end"), 0, "nothing but the end");
    for byte in submit_command(id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello").bytes() {
        stream.write_all(&[byte]).expect("no reset");
    }
    assert_eq!(stream.take_error().expect("a socket").map(|e| e.kind()), None, "no reset");
    stream.shutdown(std::net::Shutdown::Write).expect("an end");
    assert_eq!(stream.read(&mut [0; 64]).expect("no reset"), 0);
    assert_eq!(world.received_ids(), [""; 0], "what came after the end goes nowhere");
}

/// The connection was closed at once, and reset by the bytes that came: an answer on its way would have gone with it.
#[test]
fn a_request_that_crosses_an_eviction_meets_no_reset() {
    let mut world = delivers("eviction");
    again(&mut world, &[SMALL]);
    let oldest = resting(&world);
    let others: Vec<TcpStream> = (1..PLACES).map(|_| resting(&world)).collect();
    let mut newcomer = connect(&world);
    newcomer.write_all(PING.as_bytes()).expect("room");
    crosses_an_end(&world, oldest, "a1");
    newcomer.read_exact(&mut [0; 7]).expect("an answer");
    world.wait_until("its line in the log", |world| world.log().contains("code=evicted"));
    assert_eq!((world.submit("a1").as_str(), others.len()), ("+OK", PLACES - 1), "on another connection");
}

#[test]
fn a_request_that_crosses_a_stop_meets_no_reset() {
    let mut world = delivers("stop");
    let rests = resting(&world);
    told_to_end(&world);
    crosses_an_end(&world, rests, "a1");
    world.wait_for_exit();
}

/// The listener was dropped with whoever waited in its queue, after a fixed 400 ms.
#[test]
fn who_waits_in_the_queue_at_a_stop_gets_an_answer() {
    let mut world = delivers("queue");
    again(&mut world, &[SMALL]);
    let half = |_| {
        let mut stream = connect(&world);
        stream.write_all(b"*1\r\n$4\r\nPI").expect("room");
        stream
    };
    let busy: Vec<TcpStream> = (0..PLACES).map(half).collect();
    let mut queued = connect(&world);
    let put = submit_command("a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello");
    queued.write_all(put.as_bytes()).expect("room");
    told_to_end(&world);
    let mut words = String::new();
    queued.read_to_string(&mut words).expect("no reset");
    assert_eq!((words.as_str(), busy.len()), ("-BUSY 2000\r\n", PLACES));
    world.wait_for_exit();
    assert!(world.log().contains("0 packets still out, 0 connections still open, 0 notices still owed"));
}

/// Answers in hand were cut off as soon as no call was out. All its commands have been written by then, and the answers do not
/// fit into what the system holds for a reader that has little room.
#[test]
fn a_slow_reader_has_all_its_answers_before_the_process_ends() {
    const PINGS: usize = 120;
    let mut world = delivers("reader");
    let echo = "x".repeat(60_000);
    let ping = format!("*2\r\n$4\r\nPING\r\n${}\r\n{echo}\r\n", echo.len());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(1 << 16)
        .and_then(|()| socket.connect(&world.listen_address.into()))
        .expect("a connection");
    let mut reader: TcpStream = socket.into();
    reader.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    (0..PINGS).for_each(|_| reader.write_all(ping.as_bytes()).expect("room for all commands"));
    told_to_end(&world);
    let late = Instant::now() + Duration::from_millis(700); // those that come late have come by now
    world.wait_until("the time after late comers", |_| Instant::now() > late);
    let mut came = 0;
    let mut buffer = vec![0; 1 << 16];
    while came < PINGS * (echo.len() + 10) {
        let read = reader.read(&mut buffer).expect("no reset");
        assert!(read > 0, "cut off after {came} bytes");
        came += read;
    }
    world.wait_for_exit();
}

/// A notice that was owed was left to the next life although there was time to tell it.
#[test]
fn a_stop_tells_the_notices_that_are_owed() {
    let mut world = Harness::new("owed", |_, _| None);
    again(&mut world, &[(r#""repeat": "dedup""#, r#""repeat": "fragile""#)]);
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("a notice that is not told", |world| world.log().contains("code=not_told"));
    told_to_end(&world);
    let late = Instant::now() + Duration::from_millis(700);
    world.wait_until("the time after late comers", |_| Instant::now() > late);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.wait_for_exit();
    assert_eq!(world.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
}

/// A second signal, or a reload, in the midst of a stop changes nothing: what is out still comes back.
#[test]
fn signals_in_the_midst_of_a_stop_change_nothing() {
    let mut world = Harness::new("signals", |_, _| {
        thread::sleep(Duration::from_millis(700));
        http_response("200 OK", "", "")
    });
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids().len() == 1);
    told_to_end(&world);
    world.reload(&world.config);
    told_to_end(&world);
    world.wait_for_exit();
    assert!(world.log().contains("packet a1 from") && world.log().contains("Done after"));
    assert!(world.log().contains("0 packets still out"));
}

/// A packet that may have run waits for a connection until its key is forgotten: the call does not go on it. It went, as only
/// the list and told waits were looked at again.
#[test]
fn a_connection_that_comes_up_after_the_window_carries_no_repeat() {
    let mut world = delivers("window");
    let late = DelayedConnectEndpoint::new();
    again(
        &mut world,
        &[
            (r#""dedup_window_ms": 25000"#, r#""dedup_window_ms": 1000"#),
            (r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#),
        ],
    );
    world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    assert_eq!(world.submit("a1"), "+OK");
    let (mut first, _) = late.listener.accept().expect("the first call");
    assert!(first.read(&mut [0; 4096]).expect("a call") > 0);
    let filler = late.fill_backlog();
    drop(first); // it may have run
    late.wait_for_pending_connect();
    let mut second = late.accept_pending();
    second.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
    world.wait_until("its end", |world| !world.notices().is_empty());
    assert!(world.notices()[0].contains("handed_back"), "{:?}", world.notices());
    second.set_nonblocking(true).expect("a socket");
    let read = second.read(&mut [0; 4096]);
    assert!(
        matches!(&read, Ok(0)) || read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "no call on it"
    );
    drop(filler);
}

/// A connection that came up a second late made its answer look slow, and its lane with it.
#[test]
fn a_late_connection_is_no_slow_answer() {
    let mut world = delivers("handshake");
    let late = DelayedConnectEndpoint::new();
    again(&mut world, &[(r#""connect_timeout_ms": 1000"#, r#""connect_timeout_ms": 4000"#)]);
    world.platform.set_list(&[list_entry("f", late.address, 7, "Ready")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    let filler = late.fill_backlog();
    assert_eq!(world.submit("a1"), "+OK");
    late.wait_for_pending_connect();
    let mut call = late.accept_pending();
    assert!(call.read(&mut [0; 4096]).expect("a call") > 0);
    call.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("room");
    world.wait_until("its outcome", |world| world.log().contains("Done after "));
    let log = world.log();
    let took = log.split("Done after ").nth(1).and_then(|rest| rest.lines().next()).expect("a span");
    assert!(took.ends_with("ms") || took.ends_with("µs"), "{took}");
    drop(filler);
}

/// A restart finds its port still in use: it waits for it, and does not end.
#[test]
fn a_port_still_in_use_is_waited_for() {
    let mut world = delivers("port");
    world.kill();
    let other = TcpListener::bind(world.listen_address).expect("the port");
    let log = world.folder.join("log");
    let held = thread::spawn(move || {
        while !std::fs::read_to_string(&log).is_ok_and(|log| log.contains("code=in_use")) {
            thread::yield_now();
        }
        drop(other);
    });
    world.start();
    held.join().expect("no panic");
    assert!(world.log().contains("code=in_use"));
    assert_eq!(world.submit("a1"), "+OK");
}

/// Faulty clients that never end their side linger, and there is room for many more: the next is let in at once. Eight that lingered
/// held up all others.
#[test]
fn those_that_linger_hold_up_nobody_while_there_is_room() {
    let world = delivers("linger");
    let start = Instant::now();
    let faulty = |_| {
        let mut stream = connect(&world);
        stream.write_all(b"nonsense\r\n").expect("room");
        let _ = stream.read_to_end(&mut Vec::new()).expect("a word, and the end of its side");
        stream
    };
    let faulty: Vec<TcpStream> = (0..60).map(faulty).collect();
    drop(resting(&world));
    assert!(start.elapsed() < Duration::from_millis(800), "{:?} behind {}", start.elapsed(), faulty.len());
}

/// Idle clients hold all places while discovery is silent: packets are still taken and sent, and as soon as discovery is there
/// again its list is heard.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_endpoints() {
    let mut world = delivers("places");
    again(&mut world, &[SMALL]);
    world.platform.unresponsive.store(true, Ordering::SeqCst);
    let idle: Vec<TcpStream> =
        (0..PLACES * 4).filter_map(|_| TcpStream::connect(world.listen_address).ok()).collect();
    world.platform.set_list(&[
        list_entry("f", world.endpoint_address, 7, "Ready"),
        list_entry("e", world.endpoint_address, 7, "Ready"),
    ]);
    world.wait_until("a lost call for the list", |world| world.log().contains("code=no_list"));
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    world.platform.unresponsive.store(false, Ordering::SeqCst);
    world.wait_until("the list", |world| world.log().contains("discovery: version 2, 2 entries"));
    assert!(!world.log().contains("code=not_accepted") && idle.len() > PLACES);
}

/// A variant of ours, talca-avisos, short days: a packet went while the end of the one before it, of the same key, was decided
/// and on its way to the platform. It waits until the platform has it, also where an earlier life decided it.
#[test]
fn what_follows_in_order_waits_until_the_platform_has_the_end_before_it() {
    let mut world =
        Harness::new("order", |number, _| if number == 0 { None } else { http_response("200 OK", "", "") });
    let in_order = (r#""repeat": "dedup""#, r#""fifo_by_key": true, "repeat": "fragile""#);
    again(&mut world, &[in_order]);
    let put = |world: &Harness, id: &str| {
        send_command(
            world.listen_address,
            &submit_command_for_key("77", id, "c=notice,t=acme,d=20000,dest=7", ""),
        )
        .expect("an answer")
    };
    world.platform.reject_notices.store(true, Ordering::SeqCst);
    assert_eq!(put(&world, "a1"), "+OK");
    world.wait_until("an end that is not told", |world| world.log().contains("code=not_told"));
    assert_eq!((put(&world, "a2"), world.submit("other")), ("+OK".to_owned(), "+OK".to_owned()));
    world.wait_until("one that is about nothing", |world| world.log().contains("packet other from"));
    assert_eq!(send_command(world.listen_address, PING).expect("an answer"), "+PONG"); // it wrote its record before it read this
    assert_eq!(world.received_ids(), ["a1", "other"]);
    world.kill();
    world.start();
    world.wait_until("both come back", |world| world.log().contains("recovery: 1 packets, 1 notices"));
    world.wait_until("calls to the platform", |world| world.log().matches("code=not_told").count() > 1);
    assert_eq!(put(&world, "a3"), "+OK");
    assert_eq!(world.received_ids(), ["a1", "other"]);
    world.platform.reject_notices.store(false, Ordering::SeqCst);
    world.wait_until("the others, in order", |world| world.received_ids() == ["a1", "other", "a2", "a3"]);
    assert_eq!(world.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
}

/// A variant of ours, short days: the first line of an answer came in the last moments of its packet's time, the rest never. The
/// sender took it for delivered, the platform for lost. An end is told in that case too: it does no harm to what is over.
#[test]
fn an_answer_at_the_very_end_of_a_packets_time_is_followed_by_a_notice() {
    let world = Harness::new("end", |_, call| {
        let budget = call.header("X-Budget").trim_end_matches('m').parse().expect("a budget");
        thread::sleep(Duration::from_millis(budget) - Duration::from_millis(100));
        Some("HTTP/1.1 200 OK\r\n".to_owned())
    });
    let put = submit_command("a1", "c=notice,t=acme,d=1200,k=a1,dest=7", "hello");
    assert_eq!(send_command(world.listen_address, &put).expect("an answer"), "+OK");
    world.wait_until("its outcome", |world| world.log().contains("Done after"));
    world.wait_until("a notice", |world| world.notices() == [r#"{"message":"a1","outcome":"given_up"}"#]);
    assert_eq!(world.received_ids(), ["a1"], "and it is not sent on");
}
