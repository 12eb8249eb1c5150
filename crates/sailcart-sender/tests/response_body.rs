//! Response bodies are passed on in pieces for each kind of framing, and the reading task yields to the other
//! tasks of its thread between them.

use std::cell::Cell;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use sailcart_sender::outgoing::ReceivedResponse;
use sailcart_sender::response::{self, BodySink, MAX_PIECE_BYTES, Response, TimeLimit, TooLarge};
use sailcart_sender::wire::http::Head;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::Instant;

const BODY_BYTES: usize = 8 * 1024 * 1024;

/// The byte at this position of a test body.
fn byte_at(position: usize) -> u8 {
    (position % 251) as u8
}

fn body(size: usize) -> Vec<u8> {
    (0..size).map(byte_at).collect()
}

/// Starts a server that writes these bytes to the first connection and closes it.
fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept a connection");
        let _ = stream.write_all(&bytes); // the reader may close the connection early
    });
    address
}

/// Checks that a body arrives in order, and measures how many bytes arrive while no other task runs.
struct TrackingSink {
    received: usize,
    /// Number of times the other task ran.
    other_task_runs: Rc<Cell<usize>>,
    other_task_runs_seen: usize,
    bytes_since_yield: usize,
    max_bytes_without_yield: usize,
}

impl BodySink for TrackingSink {
    type Error = io::Error;

    fn receive(&mut self, head: &Head, piece: &[u8]) -> io::Result<()> {
        assert!(head.status == 200 && !piece.is_empty() && piece.len() <= MAX_PIECE_BYTES);
        assert!(
            piece.iter().enumerate().all(|(offset, actual)| *actual == byte_at(self.received + offset)),
            "bytes arrive in order"
        );
        if self.other_task_runs.get() != self.other_task_runs_seen {
            self.other_task_runs_seen = self.other_task_runs.get();
            self.bytes_since_yield = 0;
        }
        self.received += piece.len();
        self.bytes_since_yield += piece.len();
        self.max_bytes_without_yield = self.max_bytes_without_yield.max(self.bytes_since_yield);
        Ok(())
    }
}

/// Runs a future on a single-threaded runtime, as the sender does.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("create the runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Reads a response while another task on the same thread is always ready to run.
async fn read_beside_busy_task(
    bytes: Vec<u8>,
    max_body_bytes: usize,
) -> (io::Result<Response>, TrackingSink) {
    let other_task_runs = Rc::new(Cell::new(0));
    let run_counter = other_task_runs.clone();
    let busy_task = spawn_local(async move {
        loop {
            run_counter.set(run_counter.get() + 1);
            yield_now().await;
        }
    });
    let mut stream = TcpStream::connect(serve_once(bytes)).await.expect("connect to the listener");
    let time_limit = TimeLimit {
        started_at: Instant::now(),
        base_time: Duration::from_secs(20),
        min_bytes_per_second: None,
    };
    let mut sink = TrackingSink {
        received: 0,
        other_task_runs,
        other_task_runs_seen: 0,
        bytes_since_yield: 0,
        max_bytes_without_yield: 0,
    };
    let response = response::read_to_sink(&mut stream, max_body_bytes, time_limit, &mut sink).await;
    busy_task.abort();
    (response, sink)
}

fn response_bytes(headers: &str, encoded_body: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", headers.as_bytes(), b"\r\n", encoded_body].concat()
}

/// Encodes a body in chunks of this size, followed by a trailer.
fn encode_chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let chunk = |part: &[u8]| [format!("{:x};x\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    [body.chunks(chunk_bytes).flat_map(chunk).collect(), b"0\r\nTrailer: x\r\n\r\n".to_vec()].concat()
}

#[test]
fn reading_a_large_body_yields_after_each_piece() {
    let (length, chunked) = (format!("Content-Length: {BODY_BYTES}\r\n"), "Transfer-Encoding: chunked\r\n");
    for (framing, bytes, is_reusable) in [
        ("length", response_bytes(&length, &body(BODY_BYTES)), true),
        ("one chunk", response_bytes(chunked, &encode_chunked(&body(BODY_BYTES), BODY_BYTES)), true),
        ("chunks", response_bytes(chunked, &encode_chunked(&body(BODY_BYTES), 1000)), true),
        ("until the connection closes", response_bytes("", &body(BODY_BYTES)), false),
    ] {
        let (response, sink) = run(read_beside_busy_task(bytes, BODY_BYTES));
        let response = response.expect(framing);
        assert_eq!((sink.received, response.is_reusable()), (BODY_BYTES, is_reusable), "{framing}");
        assert!(
            sink.max_bytes_without_yield < 2 * MAX_PIECE_BYTES,
            "{framing}: {} bytes without a yield",
            sink.max_bytes_without_yield
        );
    }
}

#[test]
fn a_body_that_is_too_large_is_rejected() {
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let chunked = response_bytes("Transfer-Encoding: chunked\r\n", &encode_chunked(&body(BODY_BYTES), 1000));
    for (bytes, min_received) in [
        (response_bytes(&length, &body(BODY_BYTES)), 0),
        (chunked, BODY_BYTES - 1000),
        (response_bytes("", &body(BODY_BYTES)), BODY_BYTES - (1 << 20)),
    ] {
        let (response, sink) = run(read_beside_busy_task(bytes, BODY_BYTES - 1));
        let error = response.err().expect("too large").to_string();
        assert_eq!(error, io::Error::from(TooLarge).to_string());
        assert!((min_received..BODY_BYTES).contains(&sink.received), "{} bytes received", sink.received);
    }
}

/// `read_collected` joins a body that arrives in many parts, and fails if it is too large.
#[test]
fn a_small_body_is_collected() {
    for (headers, rest) in [
        ("Content-Length: 3000\r\n", body(3000)),
        ("Transfer-Encoding: chunked\r\n", encode_chunked(&body(3000), 7)),
        ("", body(3000)),
    ] {
        let bytes = response_bytes(headers, &rest);
        let collect_body = async |max_bytes: usize| {
            let mut stream =
                TcpStream::connect(serve_once(bytes.clone())).await.expect("connect to the listener");
            let mut response = Response::default();
            let result = response::read_collected(
                &mut stream,
                &mut bytes::BytesMut::new(),
                max_bytes,
                Duration::from_secs(20),
                &mut response,
            )
            .await;
            result.map(|()| response.body)
        };
        assert_eq!(run(collect_body(3000)).expect(headers), body(3000));
        let error = run(collect_body(2999)).expect_err(headers);
        assert_eq!((error.kind(), error.to_string().as_str()), (io::ErrorKind::InvalidData, "too large"));
    }
}

#[test]
fn a_large_body_of_a_response_in_doubt_is_not_kept() {
    for (length, kept) in [(4096, 4096), (4097, 0), (64 * 1024, 0)] {
        let mut response = Response::default();
        response.body = vec![b'x'; length];
        assert_eq!(ReceivedResponse::of(response).to_keep(true).body.len(), kept);
    }
}
