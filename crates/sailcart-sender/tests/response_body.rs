//! A body is handed on in pieces, whatever its frame, and others on the thread have their turn in between.

use std::cell::Cell;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use sailcart_sender::response::{self, BodySink, MAX_PIECE_BYTES, Response, TimeLimit, TooLarge};
use sailcart_sender::wire::http::Head;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::Instant;

/// A body's bytes.
const SIZE: usize = 8 * 1024 * 1024;

/// The n-th byte of a body.
fn byte(number: usize) -> u8 {
    (number % 251) as u8
}

fn body(size: usize) -> Vec<u8> {
    (0..size).map(byte).collect()
}

/// Somebody who writes this to the first that connects, and ends the connection.
fn peer(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.write_all(&bytes); // who has heard enough may go
    });
    address
}

/// Sees to it that a body comes in order, and counts what comes without a turn for others.
struct Watcher {
    came: usize,
    /// How often others had their turn.
    turns: Rc<Cell<usize>>,
    turns_seen: usize,
    in_a_row: usize,
    longest: usize,
}

impl BodySink for Watcher {
    type Error = io::Error;

    fn receive(&mut self, head: &Head, piece: &[u8]) -> io::Result<()> {
        assert!(head.status == 200 && !piece.is_empty() && piece.len() <= MAX_PIECE_BYTES);
        assert!(piece.iter().enumerate().all(|(nth, told)| *told == byte(self.came + nth)), "in order");
        if self.turns.get() != self.turns_seen {
            self.turns_seen = self.turns.get();
            self.in_a_row = 0;
        }
        self.came += piece.len();
        self.in_a_row += piece.len();
        self.longest = self.longest.max(self.in_a_row);
        Ok(())
    }
}

/// On a thread of its own, as a sender has it.
fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// Reads what a peer writes, beside a task that always has something to do.
async fn read(bytes: Vec<u8>, most: usize) -> (io::Result<Response>, Watcher) {
    let turns = Rc::new(Cell::new(0));
    let counted = turns.clone();
    let other = spawn_local(async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    });
    let mut stream = TcpStream::connect(peer(bytes)).await.expect("a connection");
    let term = TimeLimit {
        started_at: Instant::now(),
        base_time: Duration::from_secs(20),
        min_bytes_per_second: None,
    };
    let mut watcher = Watcher { came: 0, turns, turns_seen: 0, in_a_row: 0, longest: 0 };
    let response = response::read_to_sink(&mut stream, most, term, &mut watcher).await;
    other.abort();
    (response, watcher)
}

fn answer(headers: &str, rest: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", headers.as_bytes(), b"\r\n", rest].concat()
}

/// A body in chunks of this size, with a trailer behind it.
fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |part: &[u8]| [format!("{:x};x\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    [body.chunks(size).flat_map(chunk).collect(), b"0\r\nTrailer: x\r\n\r\n".to_vec()].concat()
}

#[test]
fn a_large_body_leaves_the_thread_to_others_after_each_piece() {
    let (length, chunked) = (format!("Content-Length: {SIZE}\r\n"), "Transfer-Encoding: chunked\r\n");
    for (frame, bytes, is_reusable) in [
        ("length", answer(&length, &body(SIZE)), true),
        ("one chunk", answer(chunked, &chunks(&body(SIZE), SIZE)), true),
        ("chunks", answer(chunked, &chunks(&body(SIZE), 1000)), true),
        ("until the end", answer("", &body(SIZE)), false),
    ] {
        let (response, watcher) = run(read(bytes, SIZE));
        let response = response.expect(frame);
        assert_eq!((watcher.came, response.is_reusable()), (SIZE, is_reusable), "{frame}");
        assert!(watcher.longest < 2 * MAX_PIECE_BYTES, "{frame}: {} bytes without a turn", watcher.longest);
    }
}

#[test]
fn a_body_that_is_too_large_is_refused() {
    let length = format!("Content-Length: {SIZE}\r\n");
    let chunked = answer("Transfer-Encoding: chunked\r\n", &chunks(&body(SIZE), 1000));
    for (bytes, least) in [
        (answer(&length, &body(SIZE)), 0),
        (chunked, SIZE - 1000),
        (answer("", &body(SIZE)), SIZE - (1 << 20)),
    ] {
        let (response, watcher) = run(read(bytes, SIZE - 1));
        let fault = response.err().expect("a fault").to_string();
        assert_eq!(fault, io::Error::from(TooLarge).to_string());
        assert!((least..SIZE).contains(&watcher.came), "{} bytes came", watcher.came);
    }
}

/// A small one is gathered: what comes in many parts is put together, and one that is too large is a fault.
#[test]
fn a_small_body_is_gathered() {
    for (headers, rest) in [
        ("Content-Length: 3000\r\n", body(3000)),
        ("Transfer-Encoding: chunked\r\n", chunks(&body(3000), 7)),
        ("", body(3000)),
    ] {
        let bytes = answer(headers, &rest);
        let gather = async |most: usize| {
            let mut stream = TcpStream::connect(peer(bytes.clone())).await.expect("a connection");
            let mut response = Response::default();
            let read =
                response::read_collected(&mut stream, most, Duration::from_secs(20), &mut response).await;
            read.map(|()| response.body)
        };
        assert_eq!(run(gather(3000)).expect(headers), body(3000));
        let fault = run(gather(2999)).expect_err(headers);
        assert_eq!((fault.kind(), fault.to_string().as_str()), (io::ErrorKind::InvalidData, "too large"));
    }
}
