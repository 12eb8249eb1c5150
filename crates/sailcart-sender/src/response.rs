//! Reads one HTTP response from a socket. A large body is passed on in pieces while it is received; a small
//! one may be collected.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::deadline::until;
use crate::wire::http::{self, BodyLength, Head};
use crate::wire::{ParseResult, chunked};

/// Largest number of body bytes passed on at once. The task yields after so many, to let other tasks on its
/// thread run.
pub const MAX_PIECE_BYTES: usize = 64 * 1024;
/// Smallest capacity of the buffer for one read.
const MIN_READ_BYTES: usize = 1024;
/// Largest capacity of the buffer for one read of a collected body: there may be many at once.
const MAX_COLLECTED_READ_BYTES: usize = 4 * 1024;
/// Largest number of interim responses (status below 200) before the final one, as a peer may send them
/// without end.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Largest number of trailers after the last chunk.
const MAX_TRAILERS: usize = 100;

/// A response, as far as it was received.
#[derive(Default)]
pub struct Response {
    /// The status, known as soon as the first line is complete.
    pub status: Option<u16>,
    /// The head, set once it is complete.
    pub head: Option<Head>,
    /// The body of a collected response, set once it is complete.
    pub body: Vec<u8>,
    /// The response was received completely, and nothing after it.
    pub complete: bool,
    /// When its first byte was received.
    pub first_byte_at: Option<std::time::Instant>,
    /// Number of bytes received after the response, which belong to no call.
    pub bytes_after: usize,
    /// Equal for responses with equal bytes; set for a collected response that is complete.
    pub fingerprint: Option<u64>,
    /// Hash of the bytes of the head.
    head_hash: u64,
}

impl Response {
    /// Whether the peer leaves the connection open after this response, which was received completely.
    pub fn leaves_open(&self) -> bool {
        self.fingerprint.is_some() && self.head.as_ref().is_some_and(|head| !head.close)
    }

    /// Whether the connection can be used for another call.
    pub fn is_reusable(&self) -> bool {
        self.complete && self.head.as_ref().is_some_and(|head| !head.close)
    }
}

/// The body is longer than allowed.
#[derive(Debug)]
pub struct TooLarge;

impl From<TooLarge> for io::Error {
    fn from(_: TooLarge) -> Self {
        invalid_data("too large")
    }
}

/// Receives a body while it is read.
pub trait BodySink {
    /// Why the body was not received to its end.
    type Error: From<io::Error> + From<TooLarge>;

    /// Receives the next bytes of the body, at most [`MAX_PIECE_BYTES`]. `head` is the head of the response.
    fn receive(&mut self, head: &Head, piece: &[u8]) -> Result<(), Self::Error>;
}

/// Collects a body.
impl BodySink for Vec<u8> {
    type Error = io::Error;

    fn receive(&mut self, _: &Head, piece: &[u8]) -> io::Result<()> {
        self.extend_from_slice(piece);
        Ok(())
    }
}

/// The time limit of a response: a fixed time from the start of the call, and more for a large body in
/// proportion to the bytes received. It applies only while waiting for bytes: those that have already arrived
/// are read, even if this thread was delayed.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimit {
    /// When the call began.
    pub started_at: Instant,
    /// Time for the call, the head, and the first [`MAX_PIECE_BYTES`] of the body.
    pub base_time: Duration,
    /// Smallest rate, in bytes per second, of a body that exceeds the fixed time. `None` grants no additional
    /// time.
    pub min_bytes_per_second: Option<u32>,
}

impl TimeLimit {
    /// The deadline of a response of which `received` body bytes have arrived.
    pub fn deadline(&self, received: usize) -> Instant {
        let extra = match self.min_bytes_per_second {
            Some(rate) => {
                Duration::from_secs_f64(received.saturating_sub(MAX_PIECE_BYTES) as f64 / f64::from(rate))
            }
            None => Duration::ZERO,
        };
        self.started_at + self.base_time + extra
    }
}

/// Reads one response and collects its body of at most `max_body` bytes. Waits without limit for its first
/// byte; from then on it must be complete within `read_timeout`. `response` holds what was received so far,
/// also after a failure and if the future is dropped. `buffer` holds bytes that were received before, and
/// afterwards those behind the response.
///
/// # Errors
/// Those of the stream, and [`InvalidData`](io::ErrorKind::InvalidData) for a response that is malformed, too
/// large or too slow.
pub async fn read_collected(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    max_body: usize,
    read_timeout: Duration,
    response: &mut Response,
) -> io::Result<()> {
    let mut reader = ResponseReader::new(stream, buffer, max_body, None);
    reader.max_read_bytes = MAX_COLLECTED_READ_BYTES;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        if reader.buffer.is_empty() {
            reader.read_more().await?;
        }
        response.first_byte_at.get_or_insert_with(std::time::Instant::now);
        let mut body = Vec::new();
        let reading = reader.read_response(response, &mut body);
        let status = until(Instant::now() + read_timeout, reading).await;
        // After an interim response, the final one is still to come.
        if status.unwrap_or_else(|_| Err(invalid_data("response incomplete at its time limit")))? >= 200 {
            response.fingerprint = Some(fingerprint(response.head_hash, &body));
            response.body = body;
            // Bytes after the response were not requested, and would be read as the next response.
            response.bytes_after = reader.buffer.len();
            response.complete = reader.buffer.is_empty();
            return Ok(());
        }
    }
    Err(invalid_data("too many interim responses"))
}

/// Reads one response within `time_limit` and passes its body, of at most `max_body` bytes, on to a
/// sink.
///
/// # Errors
/// Those of [`read_collected`], [`TimedOut`](io::ErrorKind::TimedOut) at the end of the time limit, and those
/// of the sink.
pub async fn read_to_sink<S: BodySink>(
    stream: &mut (impl AsyncRead + Unpin),
    max_body: usize,
    time_limit: TimeLimit,
    sink: &mut S,
) -> Result<Response, S::Error> {
    let mut buffer = BytesMut::new();
    let mut reader = ResponseReader::new(stream, &mut buffer, max_body, Some(time_limit));
    let mut response = Response::default();
    for _ in 0..=MAX_INTERIM_RESPONSES {
        if reader.read_response(&mut response, sink).await? >= 200 {
            response.complete = reader.buffer.is_empty();
            return Ok(response);
        }
    }
    Err(invalid_data("too many interim responses").into())
}

/// Reads responses from a stream.
struct ResponseReader<'a, Stream> {
    stream: &'a mut Stream,
    buffer: &'a mut BytesMut,
    /// Largest body in bytes.
    max_body: usize,
    time_limit: Option<TimeLimit>,
    /// Largest capacity of the buffer for one read of the body.
    max_read_bytes: usize,
    /// Number of bytes of the current body that were passed on.
    body_bytes: usize,
    /// Number of bytes passed on since the task last yielded.
    bytes_since_yield: usize,
}

impl<'a, Stream: AsyncRead + Unpin> ResponseReader<'a, Stream> {
    fn new(
        stream: &'a mut Stream,
        buffer: &'a mut BytesMut,
        max_body: usize,
        time_limit: Option<TimeLimit>,
    ) -> Self {
        ResponseReader {
            stream,
            buffer,
            max_body,
            time_limit,
            max_read_bytes: MAX_PIECE_BYTES,
            body_bytes: 0,
            bytes_since_yield: 0,
        }
    }

    /// Reads a complete response and returns its status.
    async fn read_response<S: BodySink>(
        &mut self,
        response: &mut Response,
        sink: &mut S,
    ) -> Result<u16, S::Error> {
        let head = self.read_head(response).await?;
        self.body_bytes = 0;
        match head.body_length {
            BodyLength::Invalid => return Err(invalid_data("invalid Content-Length").into()),
            BodyLength::Known(length) if length > self.max_body => return Err(TooLarge.into()),
            BodyLength::Known(length) => self.read_exactly(head, length, sink).await?,
            BodyLength::Chunked => self.read_chunks(head, sink).await?,
            BodyLength::UntilClose => self.read_to_end(head, sink).await?,
        }
        Ok(head.status)
    }

    async fn read_head<'r>(&mut self, response: &'r mut Response) -> io::Result<&'r Head> {
        loop {
            if let Some((status, _)) = http::status(self.buffer).map_err(invalid_data)? {
                response.status = Some(status);
            }
            if let Some((head, used)) = http::head(self.buffer).map_err(invalid_data)? {
                response.head_hash = hash(&self.buffer[..used]);
                self.buffer.advance(used);
                return Ok(response.head.insert(head));
            }
            self.read_more().await?;
        }
    }

    /// Passes on the next `length` bytes of a body.
    async fn read_exactly<S: BodySink>(
        &mut self,
        head: &Head,
        length: usize,
        sink: &mut S,
    ) -> Result<(), S::Error> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.read_more().await?;
            }
            left -= self.pass_on(head, left, sink).await?;
        }
        Ok(())
    }

    async fn read_chunks<S: BodySink>(&mut self, head: &Head, sink: &mut S) -> Result<(), S::Error> {
        loop {
            let size = self.read_value(chunked::size).await?;
            if size > self.max_body - self.body_bytes {
                return Err(TooLarge.into());
            }
            if size == 0 {
                return Ok(self.read_trailers().await?);
            }
            self.read_exactly(head, size, sink).await?;
            self.read_value(chunked::end).await?;
        }
    }

    async fn read_trailers(&mut self) -> io::Result<()> {
        for _ in 0..MAX_TRAILERS {
            if self.read_value(chunked::trailer).await? {
                return Ok(());
            }
        }
        Err(invalid_data("too many trailers"))
    }

    /// Passes on a body that ends when the connection is closed.
    async fn read_to_end<S: BodySink>(&mut self, head: &Head, sink: &mut S) -> Result<(), S::Error> {
        loop {
            while !self.buffer.is_empty() {
                if self.buffer.len() > self.max_body - self.body_bytes {
                    return Err(TooLarge.into());
                }
                self.pass_on(head, self.buffer.len(), sink).await?;
            }
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    /// Passes on up to `max` bytes from the buffer; returns how many.
    async fn pass_on<S: BodySink>(
        &mut self,
        head: &Head,
        max: usize,
        sink: &mut S,
    ) -> Result<usize, S::Error> {
        let length = self.buffer.len().min(max).min(MAX_PIECE_BYTES);
        sink.receive(head, &self.buffer[..length])?;
        self.buffer.advance(length);
        self.body_bytes += length;
        self.bytes_since_yield += length;
        if self.bytes_since_yield >= MAX_PIECE_BYTES {
            self.bytes_since_yield = 0;
            yield_now().await;
        }
        Ok(length)
    }

    async fn read_value<T>(&mut self, parser: impl Fn(&[u8]) -> ParseResult<T>) -> io::Result<T> {
        loop {
            if let Some(value) = self.parse(&parser)? {
                return Ok(value);
            }
            self.read_more().await?;
        }
    }

    /// Parses a value at the start of the buffer and removes it; `None` if it needs more bytes.
    fn parse<T>(&mut self, parser: impl Fn(&[u8]) -> ParseResult<T>) -> io::Result<Option<T>> {
        let Some((value, used)) = parser(self.buffer).map_err(invalid_data)? else { return Ok(None) };
        self.buffer.advance(used);
        Ok(Some(value))
    }

    /// Reads more bytes into the buffer; fails if the peer has closed the connection.
    async fn read_more(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the available bytes and returns their number, 0 if the peer has closed the connection. The
    /// capacity of the buffer grows with the body.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.buffer.is_empty() {
            self.buffer.reserve(self.body_bytes.clamp(MIN_READ_BYTES, self.max_read_bytes));
        }
        let reading = self.stream.read_buf(self.buffer);
        match self.time_limit {
            Some(time_limit) => until(time_limit.deadline(self.body_bytes), reading).await?,
            None => reading.await,
        }
    }
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn fingerprint(head_hash: u64, body: &[u8]) -> u64 {
    if body.is_empty() { head_hash } else { hash((head_hash, body)) }
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
