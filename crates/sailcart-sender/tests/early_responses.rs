//! Responses that arrive before the request is completely sent: they count as the response to the call, and
//! the connection carries no other call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, submit};

/// Longer than any expected wait in these tests.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
const UNREPEATABLE: (&str, &str) = (r#""repeat": "dedup""#, r#""repeat": "fragile""#);

/// What an endpoint does with the connection after its early response.
#[derive(Clone, Copy, PartialEq)]
enum AfterResponse {
    Close,
    KeepOpen,
}

/// The kernel sizes the send buffer by the size and number of segments in flight. With small segments and a
/// small receive buffer it accepts less than a large call before the endpoint reads more.
const SMALL_MSS_BYTES: u32 = 300;
const MIN_RECEIVE_BUFFER_BYTES: usize = 1; // raised to the kernel's minimum
const BYTES_READ_BEFORE_RESPONSE: usize = 512;
const LARGE_BODY_BYTES: usize = 65_000;

/// An endpoint that responds to the call on its first connection before it has read all of it, and to later
/// calls after reading them. `calls` yields the number of calls per connection.
struct EarlyEndpoint {
    address: SocketAddr,
    calls: JoinHandle<Vec<usize>>,
}

impl EarlyEndpoint {
    fn new(first_response: &'static str, after_response: AfterResponse, connections: usize) -> EarlyEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        socket.set_tcp_mss(SMALL_MSS_BYTES).expect("set the maximum segment size");
        socket.set_recv_buffer_size(MIN_RECEIVE_BUFFER_BYTES).expect("set the receive buffer size");
        socket.set_read_timeout(Some(READ_TIMEOUT)).expect("set the accept timeout");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
        socket.bind(&any.into()).and_then(|()| socket.listen(16)).expect("bind and listen");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("read the local address");
        let calls = thread::spawn(move || {
            let mut open_connections = Vec::new();
            (0..connections)
                .map(|number| {
                    serve_connection(&listener, number, first_response, after_response, &mut open_connections)
                })
                .collect()
        });
        EarlyEndpoint { address, calls }
    }
}

/// Serves one connection; returns the number of calls on it.
fn serve_connection(
    listener: &TcpListener,
    number: usize,
    first_response: &str,
    after_response: AfterResponse,
    open_connections: &mut Vec<TcpStream>,
) -> usize {
    let (mut stream, _) = listener.accept().expect("accept a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
    if number > 0 {
        let complete = read_call(&mut stream);
        stream
            .write_all(
                http_response("200 OK", "Connection: close\r\n", "").expect("an HTTP response").as_bytes(),
            )
            .expect("write to the socket");
        return usize::from(complete);
    }
    // Connections established after this response have a receive buffer for a complete call.
    SockRef::from(listener).set_recv_buffer_size(16 * LARGE_BODY_BYTES).expect("set the receive buffer size");
    stream.read_exact(&mut [0; BYTES_READ_BEFORE_RESPONSE]).expect("read the beginning of a call");
    stream.write_all(first_response.as_bytes()).expect("write to the socket");
    match after_response {
        AfterResponse::Close => drop(stream),
        AfterResponse::KeepOpen => open_connections.push(stream),
    }
    1
}

/// Reads a complete call; false if the connection ends before.
fn read_call(stream: &mut TcpStream) -> bool {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let head = received.windows(4).position(|four| four == b"\r\n\r\n");
        if head.is_some_and(|head| received.len() >= head + 4 + LARGE_BODY_BYTES) {
            return true;
        }
        match stream.read(&mut buffer).expect("read a call") {
            0 => return false,
            read => received.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Submits one large packet for an endpoint that responds early. Returns the number of calls on each
/// connection once no packet and no notice is pending.
fn submit_large_packet(
    scenario: &str,
    first_response: &'static str,
    after_response: AfterResponse,
    connections: usize,
    changes: &[(&str, &str)],
) -> (Harness, Vec<usize>) {
    let mut harness = Harness::new(scenario, |_, _| None);
    harness.restart_with(changes);
    let endpoint = EarlyEndpoint::new(first_response, after_response, connections);
    harness.platform.set_list(&[list_entry("f", endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    let start = Instant::now();
    let body = "x".repeat(LARGE_BODY_BYTES);
    assert_eq!(
        submit(harness.listen_address, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", &body)
            .expect("the sender replies"),
        "+OK"
    );
    harness.wait_until_store_shows("0 packets not completed");
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "completed only after {:?}, not with the early response\n{}",
        start.elapsed(),
        harness.log()
    );
    let calls = endpoint.calls.join().expect("the endpoint thread does not panic");
    harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
    (harness, calls)
}

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const ERROR_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

#[test]
fn an_early_200_completes_the_packet() {
    for (scenario, after_response) in
        [("early-200-closes", AfterResponse::Close), ("early-200-stays", AfterResponse::KeepOpen)]
    {
        let (harness, calls) = submit_large_packet(scenario, OK_RESPONSE, after_response, 1, &[UNREPEATABLE]);
        assert_eq!(calls, [1], "the packet was sent again");
        assert_eq!(harness.notices(), [""; 0]);
    }
}

#[test]
fn an_early_503_is_sent_again_on_another_connection() {
    for (scenario, after_response) in
        [("early-503-closes", AfterResponse::Close), ("early-503-stays", AfterResponse::KeepOpen)]
    {
        let (harness, calls) =
            submit_large_packet(scenario, UNAVAILABLE_RESPONSE, after_response, 2, &[UNREPEATABLE]);
        assert_eq!(calls, [1, 1]);
        assert_eq!(harness.notices(), [""; 0]);
    }
}

#[test]
fn an_unrepeatable_packet_is_not_sent_again_after_an_early_500() {
    for (scenario, after_response) in
        [("early-500-closes", AfterResponse::Close), ("early-500-stays", AfterResponse::KeepOpen)]
    {
        let (harness, calls) =
            submit_large_packet(scenario, ERROR_RESPONSE, after_response, 1, &[UNREPEATABLE]);
        assert_eq!(calls, [1], "an unrepeatable packet was sent again");
        assert_eq!(harness.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
    }
}

#[test]
fn a_repeatable_packet_is_sent_again_on_another_connection_after_an_early_500() {
    for (scenario, after_response) in
        [("early-again-closes", AfterResponse::Close), ("early-again-stays", AfterResponse::KeepOpen)]
    {
        let (harness, calls) = submit_large_packet(scenario, ERROR_RESPONSE, after_response, 2, &[]);
        assert_eq!(calls, [1, 1]);
        assert_eq!(harness.notices(), [""; 0]);
    }
}
