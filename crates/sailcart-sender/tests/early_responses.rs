//! An answer before its request is whole: it is this call's answer all the same, and its connection carries no other call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, submit};

/// Longer than anything is waited for here.
const LONGEST: Duration = Duration::from_secs(8);
const FRAGILE: (&str, &str) = (r#""repeat": "dedup""#, r#""repeat": "fragile""#);

/// What an endpoint does with a call of which it has not read all.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Closes,
    Stays,
}

/// A system keeps room for what is written by the size and number of the segments under way: with these few and small ones it takes
/// less than a large call before more of it is read.
const SMALL_SEGMENT: u32 = 300;
const LITTLE_ROOM: usize = 1; // the system's least
const BEGINNING: usize = 512;
const LARGE: usize = 65_000;

/// An endpoint that answers its first connection's call with this before it has read all, and later calls whole. Tells how many calls
/// came on which connection.
struct Early {
    address: SocketAddr,
    calls: JoinHandle<Vec<usize>>,
}

impl Early {
    fn new(first: &'static str, then: Then, connections: usize) -> Early {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_tcp_mss(SMALL_SEGMENT).expect("small segments");
        socket.set_recv_buffer_size(LITTLE_ROOM).expect("little room");
        socket.set_read_timeout(Some(LONGEST)).expect("a bounded wait for who connects");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).and_then(|()| socket.listen(16)).expect("a listener");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let calls = thread::spawn(move || {
            let mut held = Vec::new();
            (0..connections).map(|number| early(&listener, number, first, then, &mut held)).collect()
        });
        Early { address, calls }
    }
}

/// The calls of one connection.
fn early(listener: &TcpListener, number: usize, first: &str, then: Then, held: &mut Vec<TcpStream>) -> usize {
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(LONGEST)).expect("a time-out");
    if number > 0 {
        let whole = read_call(&mut stream);
        stream
            .write_all(http_response("200 OK", "Connection: close\r\n", "").expect("words").as_bytes())
            .expect("room");
        return usize::from(whole);
    }
    // Whoever connects after this answer finds room for a whole call.
    SockRef::from(listener).set_recv_buffer_size(16 * LARGE).expect("room");
    stream.read_exact(&mut [0; BEGINNING]).expect("the beginning of a call");
    stream.write_all(first.as_bytes()).expect("room");
    match then {
        Then::Closes => drop(stream),
        Then::Stays => held.push(stream),
    }
    1
}

/// A whole call, if one comes.
fn read_call(stream: &mut TcpStream) -> bool {
    let (mut came, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let head = came.windows(4).position(|four| four == b"\r\n\r\n");
        if head.is_some_and(|head| came.len() >= head + 4 + LARGE) {
            return true;
        }
        match stream.read(&mut buffer).expect("a call") {
            0 => return false,
            read => came.extend_from_slice(&buffer[..read]),
        }
    }
}

/// One large packet to an endpoint that answers early; tells once nothing is owed any more how many calls came on each connection.
fn answered_early(
    story: &str,
    first: &'static str,
    then: Then,
    connections: usize,
    changes: &[(&str, &str)],
) -> (Harness, Vec<usize>) {
    let mut world = Harness::new(story, |_, _| None);
    world.restart_with(changes);
    let endpoint = Early::new(first, then, connections);
    world.platform.set_list(&[list_entry("f", endpoint.address, 7, "Ready")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    let start = Instant::now();
    let body = "x".repeat(LARGE);
    assert_eq!(
        submit(world.listen_address, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", &body).expect("an answer"),
        "+OK"
    );
    world.wait_until_store_shows("0 packets not completed");
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "the answer is not waited for: {:?}\n{}",
        start.elapsed(),
        world.log()
    );
    let calls = endpoint.calls.join().expect("a bounded number of calls");
    world.wait_until_store_shows("0 packets not completed, 0 pending notices");
    (world, calls)
}

const TAKEN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const FAULT: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

#[test]
fn an_early_200_is_an_end() {
    for (story, then) in [("early-200-closes", Then::Closes), ("early-200-stays", Then::Stays)] {
        let (world, calls) = answered_early(story, TAKEN, then, 1, &[FRAGILE]);
        assert_eq!(calls, [1], "it is not sent again");
        assert_eq!(world.notices(), [""; 0]);
    }
}

#[test]
fn an_early_503_never_ran_and_goes_again_on_another_connection() {
    for (story, then) in [("early-503-closes", Then::Closes), ("early-503-stays", Then::Stays)] {
        let (world, calls) = answered_early(story, BUSY, then, 2, &[FRAGILE]);
        assert_eq!(calls, [1, 1]);
        assert_eq!(world.notices(), [""; 0]);
    }
}

#[test]
fn an_early_500_may_have_run() {
    for (story, then) in [("early-500-closes", Then::Closes), ("early-500-stays", Then::Stays)] {
        let (world, calls) = answered_early(story, FAULT, then, 1, &[FRAGILE]);
        assert_eq!(calls, [1], "one that may not run twice is not sent again");
        assert_eq!(world.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
    }
}

#[test]
fn an_early_500_of_one_that_may_be_repeated_goes_again_on_another_connection() {
    for (story, then) in [("early-again-closes", Then::Closes), ("early-again-stays", Then::Stays)] {
        let (world, calls) = answered_early(story, FAULT, then, 2, &[]);
        assert_eq!(calls, [1, 1]);
        assert_eq!(world.notices(), [""; 0]);
    }
}
